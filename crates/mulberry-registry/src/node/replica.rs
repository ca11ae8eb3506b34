//! The replica of the log, as the node drives it.

use std::collections::{BTreeMap, HashMap};

use mulberry_consensus::{
    Committed, Confirmation, MemberId, Members, Payload, Raft, RaftSettings, Role,
};
use tokio::sync::oneshot;

use crate::membership::REPLACE_AFTER_MS;
use crate::{Command, OperatorState};

/// Time between two heartbeats of the leader. A registry may have a small share of a core.
const HEARTBEAT_MS: u64 = 100;

/// Shortest and longest time without a leader before an election.
const ELECTION_MS: (u64, u64) = (400, 700);

/// Commands after which a snapshot is written.
const SNAPSHOT_COMMANDS: u64 = 48;

/// Entries kept in memory before a snapshot. Each may hold a whole configuration.
const KEPT_ENTRIES: u64 = 8;

/// Bytes sent to one member and not yet acknowledged.
const MAX_IN_FLIGHT_BYTES: usize = 2 << 20;

/// The replica of the log.
#[derive(Debug)]
pub(super) struct Replica {
    pub raft: Raft,
    pub state: OperatorState,

    /// Ids of the first group; empty when not known.
    pub first_members: Vec<u64>,

    pub is_writing: bool,
    pub is_saving: bool,

    /// Commands proposed here, by index.
    pub waiting: BTreeMap<u64, (u64, Waiter)>,

    pub reads: HashMap<u64, Reader>,
    pub next_read: u64,

    /// Who waits until an index is applied.
    pub applied_waiters: Vec<(u64, oneshot::Sender<()>)>,
}

#[derive(Debug)]
pub(super) enum Waiter {
    Nobody,
    Here(oneshot::Sender<bool>),
    Peer { member: MemberId, ticket: u64 },
}

#[derive(Debug)]
pub(super) enum Reader {
    Here(oneshot::Sender<Option<u64>>),
    Peer { member: MemberId, ticket: u64 },
}

impl Replica {
    pub(super) fn propose(&mut self, command: &Command, waiter: Waiter) {
        let proposed = postcard::to_stdvec(command)
            .map_err(|error| tracing::error!(event = "command_not_encoded", %error))
            .ok()
            .and_then(|bytes| self.raft.propose(bytes).ok());
        match proposed {
            Some(position) => {
                self.waiting.insert(position.index, (position.term, waiter));
            }
            // Index 0 is never committed, so that the waiter is told with the next round.
            None => {
                self.waiting.insert(0, (0, waiter));
            }
        }
    }

    pub(super) fn read(&mut self, reader: Reader) {
        self.next_read += 1;
        let context = self.next_read;
        if self.raft.confirm_leadership(context).is_ok() {
            self.reads.insert(context, reader);
        } else if let Reader::Here(sender) = reader {
            let _ = sender.send(None);
        }
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

    /// Who waits for commands that this replica no longer leads to a commit.
    pub(super) fn take_lost(&mut self) -> Vec<Waiter> {
        let term = self.raft.term();
        let leads = self.raft.role() == Role::Leader;
        let applied = self.state.applied_index;
        let lost: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(index, (at_term, _))| {
                **index == 0 || (**index > applied && !(leads && *at_term == term))
            })
            .map(|(index, _)| *index)
            .collect();
        lost.iter().filter_map(|index| self.waiting.remove(index)).map(|(_, w)| w).collect()
    }

    /// Who waits for commands that are applied, and whether it was theirs.
    pub(super) fn take_done(&mut self) -> Vec<(Waiter, bool)> {
        let later = self.waiting.split_off(&(self.state.applied_index + 1));
        let done = std::mem::replace(&mut self.waiting, later);
        let raft = &self.raft;
        // A proposal of an earlier term may have been replaced by another entry at its index.
        let own_term = |term| raft.role() == Role::Leader && raft.term() == term;
        done.into_values().map(|(term, waiter)| (waiter, own_term(term))).collect()
    }

    pub(super) fn take_read_answers(&mut self) -> Vec<(Reader, Option<u64>)> {
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
                self.reads.remove(&context).map(|reader| (reader, index))
            })
            .collect()
    }

    pub(super) fn due_snapshot(&mut self) -> Option<mulberry_consensus::Snapshot> {
        let commands = self.state.applied_index.saturating_sub(self.raft.snapshot_index());
        if self.is_saving || commands < SNAPSHOT_COMMANDS {
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
    // The replacement of a silent voter must not race with an election.
    const _: () = assert!(REPLACE_AFTER_MS > ELECTION_MS.0);
    RaftSettings {
        id,
        seed: rand::random(),
        heartbeat_interval_ms: HEARTBEAT_MS,
        election_timeout_min_ms: ELECTION_MS.0,
        election_timeout_max_ms: ELECTION_MS.1,
        max_in_flight_bytes: MAX_IN_FLIGHT_BYTES,
        retained_entries: KEPT_ENTRIES,
        ..RaftSettings::default()
    }
}

pub(super) fn sorted_ids(members: &Members) -> Vec<u64> {
    let mut ids: Vec<u64> = members.voters.iter().map(|voter| voter.0).collect();
    ids.sort_unstable();
    ids
}
