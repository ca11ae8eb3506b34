//! Maps addresses of control instances to member ids.
//!
//! The settings list the addresses of all control instances, while the group identifies its members by
//! the ids of their data folders. Each instance announces its id and address to the others in hello
//! messages. An instance that restarts with an empty disk has a new id at the same address. The new id
//! then replaces the former one in the directory, so that nothing is sent to the former id.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mulberry_consensus::{MemberId, Members};
use mulberry_types::ReplicaHello;

/// Control instances by address, as announced in their hello messages.
#[derive(Debug)]
pub struct PeerDirectory {
    own_id: MemberId,
    own_address: SocketAddr,
    own_operator_address: SocketAddr,

    /// All other addresses in the settings, with the latest hello from each.
    peers: BTreeMap<SocketAddr, Option<ReplicaHello>>,
}

/// Result of recording a hello.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The hello is the first one from its address, or differs from the previous one.
    Updated,

    Unchanged,

    /// The address is not in the settings, or is the address of this instance.
    UnknownAddress,

    /// Another instance has the id of this one, because the data folder was copied.
    DuplicateIdentity,
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

    pub fn record_hello(&mut self, hello: ReplicaHello) -> HelloOutcome {
        if hello.address == self.own_address {
            return HelloOutcome::UnknownAddress;
        }
        if hello.member == self.own_id.0 {
            return HelloOutcome::DuplicateIdentity;
        }
        let Some(known) = self.peers.get_mut(&hello.address) else {
            return HelloOutcome::UnknownAddress;
        };
        let outcome = if known.as_ref() == Some(&hello) {
            HelloOutcome::Unchanged
        } else {
            HelloOutcome::Updated
        };
        *known = Some(hello);
        outcome
    }

    /// Peer address of a member, if a hello was received from it.
    pub fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        if member == self.own_id {
            return Some(self.own_address);
        }
        let mut hellos = self.peers.values().flatten();
        hellos.find(|hello| hello.member == member.0).map(|hello| hello.address)
    }

    /// Operator API address of a member, if a hello was received from it.
    pub fn operator_address_of(&self, member: MemberId) -> Option<SocketAddr> {
        if member == self.own_id {
            return Some(self.own_operator_address);
        }
        let mut hellos = self.peers.values().flatten();
        hellos.find(|hello| hello.member == member.0).map(|hello| hello.operator_address)
    }

    /// Members from which a hello was received, this one included, in order of their ids.
    pub fn known_members(&self) -> Vec<(MemberId, SocketAddr)> {
        let others = self.peers.values().flatten();
        let mut known: Vec<_> = others.map(|h| (MemberId(h.member), h.address)).collect();
        known.push((self.own_id, self.own_address));
        known.sort_unstable();
        known
    }

    /// Whether a hello was received from every other address in the settings.
    pub fn is_complete(&self) -> bool {
        self.peers.values().all(Option::is_some)
    }

    /// Sorted ids of all known members, with which this instance would form a group while it has none.
    pub fn known_ids(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.known_members().iter().map(|(member, _)| member.0).collect();
        ids.dedup();
        ids
    }

    /// Initial members of the group that this instance may bootstrap with an empty data folder.
    ///
    /// Either all instances in the settings have empty data folders and announce the same ids, or one of
    /// them has already formed the group and this instance's id is in it. An instance forms a group only
    /// after all have announced the same ids, so all of them write the same first log entry. An instance
    /// that has lost its disk has an id that no group contains. It forms no group and waits to be added.
    pub fn initial_members(&self) -> Option<Members> {
        let hellos: Vec<&ReplicaHello> = self.peers.values().flatten().collect();
        let formed_group = hellos
            .iter()
            .find(|hello| hello.has_group && hello.known_members.contains(&self.own_id.0));
        if let Some(hello) = formed_group {
            return Some(members(&hello.known_members));
        }
        let ids = self.known_ids();
        let all_agree = self.is_complete()
            && ids.len() == self.peers.len() + 1
            && hellos.iter().all(|hello| !hello.has_group && hello.known_members == ids);
        all_agree.then(|| members(&ids))
    }
}

fn members(ids: &[u64]) -> Members {
    Members { voters: ids.iter().copied().map(MemberId).collect(), learners: Vec::new() }
}
