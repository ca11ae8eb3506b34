//! Which member is behind which address.
//!
//! The settings list the addresses of all control instances; the group's members are known by the ids
//! of their data folders. Each instance tells the others its id and address with a hello. An instance
//! that returns with an empty disk has a new id at the same address: the directory then forgets the
//! former id, so nothing is sent to it any more.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mulberry_consensus::{MemberId, Members};
use mulberry_types::ReplicaHello;

/// Control instances as they have introduced themselves.
#[derive(Debug)]
pub struct PeerDirectory {
    own_id: MemberId,
    own_address: SocketAddr,
    own_operator_address: SocketAddr,

    /// All other addresses of the settings, with the newest hello from there.
    peers: BTreeMap<SocketAddr, Option<ReplicaHello>>,
}

/// What a hello tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloEffect {
    New,
    Known,

    /// The address is not in the settings, or is this instance's own.
    Foreign,

    /// Another instance has the id of this one: the data folder was copied.
    OwnIdentity,
}

impl PeerDirectory {
    pub fn new(
        own_id: MemberId,
        own_address: SocketAddr,
        own_operator_address: SocketAddr,
        peers: &[SocketAddr],
    ) -> PeerDirectory {
        let others = peers.iter().filter(|peer| **peer != own_address);
        let peers = others.map(|peer| (*peer, None)).collect();
        PeerDirectory { own_id, own_address, own_operator_address, peers }
    }

    /// Records a hello.
    pub fn record(&mut self, hello: ReplicaHello) -> HelloEffect {
        if hello.address == self.own_address {
            return HelloEffect::Foreign;
        }
        if hello.member == self.own_id.0 {
            return HelloEffect::OwnIdentity;
        }
        let Some(known) = self.peers.get_mut(&hello.address) else { return HelloEffect::Foreign };
        let effect =
            if known.as_ref() == Some(&hello) { HelloEffect::Known } else { HelloEffect::New };
        *known = Some(hello);
        effect
    }

    /// Address of a member, if it has introduced itself.
    pub fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        if member == self.own_id {
            return Some(self.own_address);
        }
        let mut hellos = self.peers.values().flatten();
        hellos.find(|hello| hello.member == member.0).map(|hello| hello.address)
    }

    /// Address of the operator API of a member, if it has introduced itself.
    pub fn operator_address_of(&self, member: MemberId) -> Option<SocketAddr> {
        if member == self.own_id {
            return Some(self.own_operator_address);
        }
        let mut hellos = self.peers.values().flatten();
        hellos.find(|hello| hello.member == member.0).map(|hello| hello.operator_address)
    }

    /// Members that have introduced themselves, this one included.
    pub fn known(&self) -> Vec<(MemberId, SocketAddr)> {
        let others = self.peers.values().flatten();
        let mut known: Vec<_> = others.map(|h| (MemberId(h.member), h.address)).collect();
        known.push((self.own_id, self.own_address));
        known.sort_unstable();
        known
    }

    /// Whether every address of the settings has introduced itself.
    pub fn is_complete(&self) -> bool {
        self.peers.values().all(Option::is_some)
    }

    /// Ids that this instance, as long as it has no group, would form one with.
    pub fn first_members(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.known().iter().map(|(member, _)| member.0).collect();
        ids.dedup();
        ids
    }

    /// The first group that this instance with an empty data folder may form.
    ///
    /// Either all instances of the settings have empty folders and name the same ids, or one has formed
    /// the group already and this instance's id is in it. An instance forms a group only after all have
    /// named the same ids, so all of them write the same first entry. An instance that has lost its disk
    /// has an id that no group contains; it forms none and waits to be added.
    pub fn first_group(&self) -> Option<Members> {
        let hellos: Vec<&ReplicaHello> = self.peers.values().flatten().collect();
        let formed = hellos
            .iter()
            .find(|hello| hello.has_group && hello.known_members.contains(&self.own_id.0));
        if let Some(hello) = formed {
            return Some(members(&hello.known_members));
        }
        let ids = self.first_members();
        let agreed = self.is_complete()
            && ids.len() == self.peers.len() + 1
            && hellos.iter().all(|hello| !hello.has_group && hello.known_members == ids);
        agreed.then(|| members(&ids))
    }
}

fn members(ids: &[u64]) -> Members {
    Members { voters: ids.iter().copied().map(MemberId).collect(), learners: Vec::new() }
}
