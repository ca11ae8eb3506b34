//! Clients for the other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberry_peers::{PeerClient, PeerClientSettings, PeerSecret};
use mulberry_types::{HomeReply, HomeRequest, Member, Membership, NodeId};

/// Client for calls to another entry as a home.
pub type HomeClient = PeerClient<HomeRequest, HomeReply>;

/// Clients for all other members. The map is replaced as a whole when the membership changes.
#[derive(Debug)]
pub struct PeerClients {
    own_node: NodeId,
    secret: PeerSecret,
    settings: PeerClientSettings,
    clients: ArcSwap<HashMap<SocketAddr, Arc<HomeClient>>>,
}

impl PeerClients {
    pub fn new(own_node: NodeId, secret: PeerSecret, settings: PeerClientSettings) -> PeerClients {
        PeerClients { own_node, secret, settings, clients: ArcSwap::default() }
    }

    /// Replaces the clients with those for the given members. Members that remain keep their connection.
    pub fn membership_applied(&self, membership: &Membership) {
        let current = self.clients.load_full();
        let others = membership.members.iter().filter(|member| member.node != self.own_node);
        let next = others.map(|member| {
            let address = member.peer_address;
            let client = current.get(&address).cloned().unwrap_or_else(|| self.new_client(address));
            (address, client)
        });
        self.clients.store(Arc::new(next.collect()));
    }

    /// Client for a member; `None` for this entry itself and for a member that has just left.
    pub fn client(&self, member: &Member) -> Option<Arc<HomeClient>> {
        if member.node == self.own_node {
            return None;
        }
        self.clients.load().get(&member.peer_address).cloned()
    }

    /// Clients for all other members.
    pub fn all(&self) -> Vec<Arc<HomeClient>> {
        self.clients.load().values().cloned().collect()
    }

    fn new_client(&self, address: SocketAddr) -> Arc<HomeClient> {
        Arc::new(PeerClient::new(address, self.secret.clone(), self.settings.clone(), |_| {}))
    }
}
