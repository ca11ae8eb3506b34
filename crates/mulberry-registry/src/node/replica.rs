//! The replica of the log and the requests that wait for it.

use std::collections::{BTreeMap, HashMap};

use mulberry_consensus::{
    Committed, Confirmation, MemberId, Members, Payload, Raft, RaftSettings, Role,
};
use tokio::sync::oneshot;

use crate::membership::REPLACE_AFTER_MS;
use crate::{Command, OperatorState};

/// Heartbeat interval of the leader. Not shorter, because a registry may run on a small CPU share.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Minimum and maximum election timeout.
const ELECTION_TIMEOUT_MS: (u64, u64) = (400, 700);

/// Number of entries applied since the last snapshot after which another one is written.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 48;

/// Number of entries before the snapshot that stay in memory. Small, because each may hold a whole configuration.
const RETAINED_ENTRIES: u64 = 8;

/// Maximum unacknowledged bytes sent to one member.
const MAX_IN_FLIGHT_BYTES: usize = 2 << 20;

/// The replica of the log.
#[derive(Debug)]
pub(super) struct Replica {
    pub raft: Raft,
    pub state: OperatorState,

    /// Member ids of the initial group; empty if unknown.
    pub initial_members: Vec<u64>,

    pub is_writing: bool,
    pub is_saving: bool,

    /// Term and index of the last change of the evacuated zones that this replica proposed as the leader.
    pub proposed_zone_change: (u64, u64),

    /// Commands proposed on this replica: term and waiter by index.
    pub pending_proposals: BTreeMap<u64, (u64, ProposalWaiter)>,

    pub pending_reads: HashMap<u64, ReadWaiter>,
    /// Id of the last requested read index.
    pub last_read_id: u64,

    /// Requests that wait until an index is applied, with that index.
    pub applied_waiters: Vec<(u64, oneshot::Sender<()>)>,
}

#[derive(Debug)]
pub(super) enum ProposalWaiter {
    NoReply,
    Local(oneshot::Sender<bool>),
    Peer { member: MemberId, request_id: u64 },
}

#[derive(Debug)]
pub(super) enum ReadWaiter {
    Local(oneshot::Sender<Option<u64>>),
    Peer { member: MemberId, request_id: u64 },
}

impl Replica {
    /// Proposes a command. With `last_zone_change`, a change of the evacuated zones is refused if the log contains a
    /// later one: its caller may have given up, sent the change again through another registry and then the opposite.
    pub(super) fn propose(
        &mut self,
        command: &Command,
        last_zone_change: Option<u64>,
        waiter: ProposalWaiter,
    ) {
        let is_overtaken = last_zone_change.is_some_and(|index| !self.is_last_zone_change(index));
        if is_overtaken {
            tracing::info!(event = "zone_change_overtaken", command = ?command, last_zone_change);
        }
        let proposed = (!is_overtaken)
            .then(|| postcard::to_stdvec(command))
            .and_then(|encoded| {
                encoded.map_err(|error| tracing::error!(event = "command_not_encoded", %error)).ok()
            })
            .and_then(|bytes| self.raft.propose(bytes).ok());
        match proposed {
            Some(position) => {
                if command.is_zone_change() {
                    self.proposed_zone_change = (position.term, position.index);
                }
                self.pending_proposals.insert(position.index, (position.term, waiter));
            }
            // No entry has index 0, so `take_lost_proposals` fails the waiter in the next round.
            None => {
                self.pending_proposals.insert(0, (0, waiter));
            }
        }
    }

    /// Whether the leader's log contains no change of the evacuated zones after `index`. Only known once the leader has
    /// applied all entries of earlier terms.
    fn is_last_zone_change(&self, index: u64) -> bool {
        let applied = self.state.applied_index;
        let is_current = self.raft.first_index_of_term().is_some_and(|first| first <= applied);
        let (term, proposed) = self.proposed_zone_change;
        let is_pending_later = term == self.raft.term() && proposed > index;
        is_current && self.state.evacuated_index <= index && !is_pending_later
    }

    /// Requests an index that covers all entries acknowledged so far.
    ///
    /// # Errors
    /// This replica is not the leader. The waiter is returned.
    pub(super) fn request_read_index(&mut self, waiter: ReadWaiter) -> Result<(), ReadWaiter> {
        self.last_read_id += 1;
        let context = self.last_read_id;
        if self.raft.confirm_leadership(context).is_err() {
            return Err(waiter);
        }
        self.pending_reads.insert(context, waiter);
        Ok(())
    }

    pub(super) fn apply_committed(&mut self) {
        for committed in self.raft.take_committed() {
            match committed {
                Committed::Snapshot(snapshot) => match postcard::from_bytes(&snapshot.data) {
                    Ok(state) => {
                        self.state = state;
                        self.state.applied_index = snapshot.index;
                    }
                    Err(error) => tracing::error!(event = "snapshot_unreadable", %error),
                },
                Committed::Entry(entry) => match entry.payload {
                    Payload::Command(bytes) => match postcard::from_bytes(&bytes) {
                        Ok(command) => self.state.apply(entry.index, command),
                        Err(error) => tracing::error!(event = "command_unreadable", %error),
                    },
                    Payload::Noop | Payload::Members(_) => self.state.applied_index = entry.index,
                },
            }
        }
        let applied = self.state.applied_index;
        let waiters = std::mem::take(&mut self.applied_waiters);
        for (index, sender) in waiters {
            if index <= applied {
                let _ = sender.send(());
            } else {
                self.applied_waiters.push((index, sender));
            }
        }
    }

    /// Removes and returns the waiters of commands that this replica can no longer commit as leader of their term.
    pub(super) fn take_lost_proposals(&mut self) -> Vec<ProposalWaiter> {
        let term = self.raft.term();
        let is_leader = self.raft.role() == Role::Leader;
        let applied = self.state.applied_index;
        let lost: Vec<u64> = self
            .pending_proposals
            .iter()
            .filter(|(index, (proposal_term, _))| {
                **index == 0 || (**index > applied && !(is_leader && *proposal_term == term))
            })
            .map(|(index, _)| *index)
            .collect();
        lost.iter()
            .filter_map(|index| self.pending_proposals.remove(index))
            .map(|(_, waiter)| waiter)
            .collect()
    }

    /// Removes and returns the waiters of applied indexes. The flag is true if the applied entry is certainly the
    /// proposed one.
    pub(super) fn take_completed_proposals(&mut self) -> Vec<(ProposalWaiter, bool)> {
        let not_applied = self.pending_proposals.split_off(&(self.state.applied_index + 1));
        let applied = std::mem::replace(&mut self.pending_proposals, not_applied);
        let raft = &self.raft;
        // Another entry may have replaced a proposal of an earlier term at its index.
        let leads_term = |term| raft.role() == Role::Leader && raft.term() == term;
        applied.into_values().map(|(term, waiter)| (waiter, leads_term(term))).collect()
    }

    pub(super) fn take_completed_reads(&mut self) -> Vec<(ReadWaiter, Option<u64>)> {
        let confirmed = self.raft.take_confirmations();
        confirmed
            .into_iter()
            .filter_map(|confirmation| {
                let (context, index) = match confirmation {
                    Confirmation::Confirmed { context, commit_index } => {
                        (context, Some(commit_index))
                    }
                    Confirmation::Lost { context } => (context, None),
                };
                self.pending_reads.remove(&context).map(|waiter| (waiter, index))
            })
            .collect()
    }

    pub(super) fn take_due_snapshot(&mut self) -> Option<mulberry_consensus::Snapshot> {
        let new_entries = self.state.applied_index.saturating_sub(self.raft.snapshot_index());
        if self.is_saving || new_entries < SNAPSHOT_INTERVAL_ENTRIES {
            return None;
        }
        let data = postcard::to_stdvec(&self.state)
            .map_err(|error| tracing::error!(event = "snapshot_not_encoded", %error))
            .ok()?;
        let snapshot = self.raft.create_snapshot(self.state.applied_index, data)?;
        self.is_saving = true;
        Some(snapshot)
    }
}

pub(super) fn raft_settings(id: MemberId) -> RaftSettings {
    // A silent voter must not be replaced while an election may still be running.
    const _: () = assert!(REPLACE_AFTER_MS > ELECTION_TIMEOUT_MS.0);
    RaftSettings {
        id,
        seed: rand::random(),
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_min_ms: ELECTION_TIMEOUT_MS.0,
        election_timeout_max_ms: ELECTION_TIMEOUT_MS.1,
        max_in_flight_bytes: MAX_IN_FLIGHT_BYTES,
        retained_entries: RETAINED_ENTRIES,
        ..RaftSettings::default()
    }
}

pub(super) fn sorted_ids(members: &Members) -> Vec<u64> {
    let mut ids: Vec<u64> = members.voters.iter().map(|voter| voter.0).collect();
    ids.sort_unstable();
    ids
}
