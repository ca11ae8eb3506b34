//! Link addresses of the other registries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mulberry_consensus::{DurableState, MemberId, Payload};

use super::Node;
use crate::peer_message::PeerMessage;
use crate::{Command, OperatorState};

impl Node {
    /// Link addresses of all registries, including this one: the members and those that have said hello, since seeds
    /// may be gone. Without a group, nothing but the seeds may be known.
    pub(super) fn registries(&self) -> Vec<SocketAddr> {
        let members = self.current_member_addresses();
        let mut all: BTreeSet<SocketAddr> = if members.is_empty() {
            self.known_peers().into_iter().collect()
        } else {
            members.into_iter().chain(self.hellos.keys().copied()).collect()
        };
        all.insert(self.settings.link_address);
        all.into_iter().collect()
    }

    pub(super) fn known_peers(&self) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        peers.extend(self.hellos.keys());
        peers.extend(self.introduced.keys());
        peers.extend(self.current_member_addresses());
        peers.remove(&self.settings.link_address);
        peers.into_iter().collect()
    }

    /// Addresses of the members of the group, of those that are known.
    pub(super) fn current_member_addresses(&self) -> Vec<SocketAddr> {
        let Some(replica) = &self.replica else { return Vec::new() };
        replica.raft.members().all().filter_map(|member| self.address_of(member)).collect()
    }

    /// Whether the registry that says hello from `address` is a member of the group.
    pub(super) fn is_member_at(&self, address: SocketAddr) -> bool {
        let hello = self.hellos.get(&address).map(|(hello, _)| MemberId(hello.member));
        let members = self.replica.as_ref().map(|replica| replica.raft.members());
        hello.zip(members).is_some_and(|(member, members)| members.contains(member))
    }

    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        let hello = self.hellos.values().find(|(hello, _)| hello.member == member.0);
        hello
            .map(|(hello, _)| hello.address)
            .or_else(|| self.member_addresses().get(&member.0).copied())
    }

    /// Last known addresses of members. After a restart of all registries nothing is committed until voters have
    /// elected a leader, and voters that know only the seeds reach each other by the addresses in their logs.
    pub(super) fn member_addresses(&self) -> &BTreeMap<u64, SocketAddr> {
        match self.state() {
            Some(state) if state.applied_index >= self.recovered_index => &state.addresses,
            _ => &self.recovered_addresses,
        }
    }

    pub(super) fn send_to(&mut self, member: MemberId, message: PeerMessage) {
        if let Some(address) = self.address_of(member) {
            self.peers.send(address, message);
        }
    }
}

/// Addresses of members after the last entry of a log.
pub(super) fn recovered_addresses(durable: &DurableState) -> BTreeMap<u64, SocketAddr> {
    let snapshot = durable.snapshot.as_ref();
    let mut state: OperatorState =
        snapshot.and_then(|snapshot| postcard::from_bytes(&snapshot.data).ok()).unwrap_or_default();
    for entry in &durable.entries {
        let Payload::Command(bytes) = &entry.payload else { continue };
        if let Ok(command @ Command::SetMemberAddress { .. }) = postcard::from_bytes(bytes) {
            state.apply(entry.index, command);
        }
    }
    state.addresses
}
