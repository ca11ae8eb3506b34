//! Departures: targets that drain or have left.
//!
//! A departure is told to all gateways and registries at once, but acknowledged only after a majority of the registries
//! has it on disk. After a restart of all processes, targets are used that a majority of the registries restored; a
//! departure on the disks of a majority excludes that, also after the loss of one disk.

use std::sync::Arc;

use mulberry_consensus::MemberId;
use mulberry_directory::{TargetRecord, TargetState};
use tokio::sync::oneshot;

use super::Node;
use crate::disk_thread::DiskJob;
use crate::peer_message::PeerMessage;

/// Requester of a departure's storage, to be told when it is synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DepartureRequester {
    Own { request_id: u64 },
    Peer { member: u64, request_id: u64 },
}

/// Departure that waits to be stored by a majority.
#[derive(Debug)]
pub(super) struct PendingDeparture {
    record: TargetRecord,
    is_any_start: bool,

    /// Members that have stored the record.
    stored_by: Vec<u64>,

    sender: oneshot::Sender<()>,
}

impl Node {
    /// Asks all registries to store the departure of a target. The receiver resolves once a majority has stored it.
    /// `None` if the target neither drains nor has left. With `is_any_start`, the target has left without naming its
    /// start, and the departure is that of the newest start that any of these registries knows.
    pub(crate) fn store_departure(
        &mut self,
        id: &Arc<str>,
        is_any_start: bool,
    ) -> Option<oneshot::Receiver<()>> {
        let record = self.targets.get(id).filter(|record| record.state != TargetState::Ready)?;
        let record = record.clone();
        let (sender, receiver) = oneshot::channel();
        let is_stored = self.stored_departures.get(id) == Some(&(record.started_ms, record.state));
        if is_stored && !is_any_start {
            let _ = sender.send(());
        } else {
            self.request_copies(record, is_any_start, sender);
        }
        Some(receiver)
    }

    fn request_copies(
        &mut self,
        record: TargetRecord,
        is_any_start: bool,
        sender: oneshot::Sender<()>,
    ) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let requester = DepartureRequester::Own { request_id };
        self.disk.submit(DiskJob::StoreDeparture { requester, record: record.clone() });
        let from = self.own_member();
        for address in self.known_peers() {
            if self.stores_departures(address) {
                let record = record.clone();
                let message =
                    PeerMessage::StoreDeparture { from, request_id, record, is_any_start };
                self.peers.send(address, message);
            }
        }
        let pending = PendingDeparture { record, is_any_start, stored_by: Vec::new(), sender };
        self.pending_departures.insert(request_id, pending);
    }

    /// Stores a departure for another registry.
    pub(super) fn store_departure_for(
        &mut self,
        from: u64,
        request_id: u64,
        record: TargetRecord,
        is_any_start: bool,
    ) {
        let now_ms = self.now_ms();
        let id = record.id.clone();
        self.apply_target_records(now_ms, vec![record]);
        if is_any_start {
            self.deregister(&id, None);
        }
        let Some(known) = self.targets.get(&id).cloned() else { return };
        let requester = DepartureRequester::Peer { member: from, request_id };
        self.disk.submit(DiskJob::StoreDeparture { requester, record: known });
    }

    /// Handles the end of a sync of a departure on the own disk.
    pub(super) fn departure_synced(&mut self, requester: DepartureRequester, record: TargetRecord) {
        let own = self.own_member();
        match requester {
            DepartureRequester::Own { request_id } => {
                self.departure_stored(own, request_id, &record);
            }
            DepartureRequester::Peer { member, request_id } => {
                let message = PeerMessage::DepartureStored { from: own, request_id, record };
                self.send_to(MemberId(member), message);
            }
        }
    }

    /// Handles a member's report that it has stored a departure.
    pub(super) fn departure_stored(&mut self, from: u64, request_id: u64, record: &TargetRecord) {
        let pending = self.pending_departures.get(&request_id);
        if pending.is_some_and(|pending| pending.record.started_ms < record.started_ms) {
            self.follow_newer_start(request_id, record);
            return;
        }
        let Some(required) = self.required_departure_copies() else { return };
        let counts = self.counts_for_departures(from);
        let Some(pending) = self.pending_departures.get_mut(&request_id) else { return };
        let is_same =
            (record.started_ms, record.state) == (pending.record.started_ms, pending.record.state);
        if is_same && counts && !pending.stored_by.contains(&from) {
            pending.stored_by.push(from);
        }
        if pending.stored_by.len() < required {
            return;
        }
        let Some(pending) = self.pending_departures.remove(&request_id) else { return };
        let PendingDeparture { record, sender, .. } = pending;
        tracing::info!(
            event = "departure_stored",
            target_id = %record.id,
            state = ?record.state,
            copies = required
        );
        self.stored_departures.insert(record.id.clone(), (record.started_ms, record.state));
        let _ = sender.send(());
    }

    /// Handles that another registry knows a newer start of a target than this one, which then asks for copies of the
    /// newer record.
    fn follow_newer_start(&mut self, request_id: u64, record: &TargetRecord) {
        let Some(pending) = self.pending_departures.remove(&request_id) else { return };
        tracing::info!(
            event = "newer_start_known",
            target_id = %record.id,
            started_ms = record.started_ms,
            state = ?record.state
        );
        let now_ms = self.now_ms();
        self.apply_target_records(now_ms, vec![record.clone()]);
        if record.state != TargetState::Ready {
            self.request_copies(record.clone(), pending.is_any_start, pending.sender);
        }
    }

    /// Forgets departures of targets that are no longer known, and requests whose caller has left.
    pub(super) fn expire_departures(&mut self) {
        let targets = &self.targets;
        self.stored_departures.retain(|id, _| targets.get(id).is_some());
        self.pending_departures.retain(|_, pending| !pending.sender.is_closed());
    }

    /// Number of registries that must have stored a departure: a majority of the voters, or all that can store
    /// departures while fewer can, during an upgrade. `None` outside a group, where the voters are not known.
    fn required_departure_copies(&self) -> Option<usize> {
        let voters = self.replica.as_ref().map_or(&[][..], |r| &r.raft.members().voters);
        if voters.is_empty() {
            return None;
        }
        let is_able = |voter: &MemberId| {
            self.hellos
                .values()
                .all(|(hello, _)| hello.member != voter.0 || hello.stores_departures)
        };
        let able = voters.iter().filter(|voter| is_able(voter)).count();
        Some((voters.len() / 2 + 1).min(able).max(1))
    }

    fn counts_for_departures(&self, member: u64) -> bool {
        let voters = self.replica.as_ref().map_or(&[][..], |r| &r.raft.members().voters);
        voters.contains(&MemberId(member))
    }

    /// Whether the registry at `address` understands [`PeerMessage::StoreDeparture`].
    fn stores_departures(&self, address: std::net::SocketAddr) -> bool {
        self.hellos.get(&address).is_some_and(|(hello, _)| hello.stores_departures)
    }

    fn own_member(&self) -> u64 {
        self.replica.as_ref().map_or(0, |replica| replica.raft.id().0)
    }
}
