//! A leader's view of the replication to each other member.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::log::Log;
use crate::{Entry, MemberId, MessageBody, Position, RaftSettings, Snapshot};

/// Replication status of one member, for status pages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberProgress {
    pub member: MemberId,
    pub is_voter: bool,

    /// Index up to which the member has synced the leader's log.
    pub match_index: u64,

    /// Time of the member's last reply in this term; `None` before the first reply and for the leader itself.
    pub last_reply_ms: Option<u64>,

    /// Whether the member has replied within the shortest election timeout. Always true for the leader itself.
    pub recently_active: bool,

    /// Whether the leader is sending a snapshot to the member.
    pub is_receiving_snapshot: bool,
}

/// State of the replication to one member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) match_index: u64,
    pub(crate) last_reply_ms: Option<u64>,

    /// Latest heartbeat round to which the member has replied.
    pub(crate) round: u64,

    next_index: u64,
    state: State,
}

#[derive(Debug)]
enum State {
    /// The member's last matching entry is unknown. Only one message is in flight at a time.
    Probe { sent_ms: Option<u64> },

    /// Entries are pipelined without waiting for replies.
    Replicate { in_flight: VecDeque<InFlight>, bytes: usize, entries: usize, last_check_ms: u64 },

    /// The entries that the member needs are compacted. Snapshot chunks are sent one at a time.
    Snapshot { snapshot: Arc<Snapshot>, received_bytes: usize, sent_ms: Option<u64> },
}

#[derive(Debug)]
struct InFlight {
    last_index: u64,
    bytes: usize,
    entries: usize,
}

impl Progress {
    pub(crate) fn new(next_index: u64) -> Progress {
        Progress {
            match_index: 0,
            last_reply_ms: None,
            round: 0,
            next_index,
            state: State::Probe { sent_ms: None },
        }
    }

    pub(crate) fn is_receiving_snapshot(&self) -> bool {
        matches!(self.state, State::Snapshot { .. })
    }

    /// Returns the next message to the member, or `None` if there is nothing to send or the in-flight limits are
    /// reached.
    pub(crate) fn next_message(
        &mut self,
        log: &Log,
        snapshot: Option<&Arc<Snapshot>>,
        settings: &RaftSettings,
        commit_index: u64,
        now_ms: u64,
    ) -> Option<MessageBody> {
        let previous = self.next_index - 1;
        let previous_term = log.term_at(previous);
        if previous_term.is_none() && !self.is_receiving_snapshot() {
            let snapshot = snapshot.expect("a compacted log has a snapshot").clone();
            self.state = State::Snapshot { snapshot, received_bytes: 0, sent_ms: None };
        }
        match &mut self.state {
            State::Probe { sent_ms: Some(_) } | State::Snapshot { sent_ms: Some(_), .. } => None,
            State::Probe { sent_ms } => {
                *sent_ms = Some(now_ms);
                let (entries, _) = next_batch(log, self.next_index, settings);
                let previous = Position { term: previous_term?, index: previous };
                Some(MessageBody::AppendEntries { previous, entries, commit_index })
            }
            State::Replicate { in_flight, bytes, entries, last_check_ms } => {
                let full = *bytes >= settings.max_in_flight_bytes
                    || *entries >= settings.max_in_flight_entries;
                if full || self.next_index > log.last_index() {
                    return None;
                }
                if in_flight.is_empty() {
                    *last_check_ms = now_ms;
                }
                let (batch, batch_bytes) = next_batch(log, self.next_index, settings);
                self.next_index += batch.len() as u64;
                *bytes += batch_bytes;
                *entries += batch.len();
                in_flight.push_back(InFlight {
                    last_index: self.next_index - 1,
                    bytes: batch_bytes,
                    entries: batch.len(),
                });
                let previous = Position { term: previous_term?, index: previous };
                Some(MessageBody::AppendEntries { previous, entries: batch, commit_index })
            }
            State::Snapshot { snapshot, received_bytes, sent_ms } => {
                *sent_ms = Some(now_ms);
                let start = (*received_bytes).min(snapshot.data.len());
                let end = (start + settings.snapshot_chunk_bytes.max(1)).min(snapshot.data.len());
                Some(MessageBody::InstallSnapshot {
                    position: snapshot.position(),
                    members: snapshot.members.clone(),
                    offset: start as u64,
                    total_bytes: snapshot.data.len() as u64,
                    data: snapshot.data[start..end].to_vec(),
                })
            }
        }
    }

    /// Handles a heartbeat reply. The member is reachable, so a probe or snapshot chunk that has had no reply for too
    /// long is sent again. Returns a message that checks whether the entries in flight have arrived, if a check is due.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        log: &Log,
        settings: &RaftSettings,
        commit_index: u64,
        now_ms: u64,
    ) -> Option<MessageBody> {
        match &mut self.state {
            State::Probe { sent_ms } => {
                sent_ms.take_if(|sent| now_ms >= *sent + settings.heartbeat_interval_ms);
                None
            }
            State::Snapshot { sent_ms, .. } => {
                // A chunk of 1 MiB can take longer than a heartbeat interval on a slow link or disk.
                sent_ms.take_if(|sent| now_ms >= *sent + settings.election_timeout_min_ms);
                None
            }
            State::Replicate { in_flight, last_check_ms, .. } => {
                if in_flight.is_empty() || now_ms < *last_check_ms + settings.heartbeat_interval_ms
                {
                    return None;
                }
                *last_check_ms = now_ms;
                let index = self.next_index - 1;
                let previous = Position { term: log.term_at(index)?, index };
                Some(MessageBody::AppendEntries { previous, entries: Vec::new(), commit_index })
            }
        }
    }

    pub(crate) fn on_accepted(&mut self, match_index: u64, log: &Log, now_ms: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let match_index = self.match_index;
        match &mut self.state {
            State::Replicate { in_flight, bytes, entries, last_check_ms } => {
                while let Some(first) = in_flight.front() {
                    if first.last_index > match_index {
                        break;
                    }
                    *bytes -= first.bytes;
                    *entries -= first.entries;
                    *last_check_ms = now_ms;
                    in_flight.pop_front();
                }
            }
            State::Snapshot { snapshot, .. }
                if match_index < snapshot.index && log.term_at(match_index).is_none() => {}
            State::Probe { .. } | State::Snapshot { .. } => {
                self.next_index = match_index + 1;
                self.state = State::Replicate {
                    in_flight: VecDeque::new(),
                    bytes: 0,
                    entries: 0,
                    last_check_ms: now_ms,
                };
            }
        }
    }

    pub(crate) fn on_rejected(&mut self, previous_index: u64, hint: Position, log: &Log) {
        let current = match self.state {
            State::Probe { .. } => previous_index + 1 == self.next_index,
            State::Replicate { .. } => previous_index < self.next_index,
            State::Snapshot { .. } => false,
        };
        // Ignores stale rejections, which later replies have superseded.
        if !current || previous_index <= self.match_index {
            return;
        }
        let last_common = if hint.index < log.base().index {
            hint.index
        } else {
            log.last_with_term_at_most(hint.index, hint.term).index
        };
        self.next_index = last_common.min(previous_index - 1).max(self.match_index) + 1;
        self.state = State::Probe { sent_ms: None };
    }

    pub(crate) fn on_snapshot_chunk_received(&mut self, index: u64, bytes: u64) {
        let State::Snapshot { snapshot, received_bytes, sent_ms } = &mut self.state else { return };
        if snapshot.index == index && bytes != *received_bytes as u64 {
            *received_bytes = bytes as usize;
            *sent_ms = None;
        }
    }
}

/// Returns the entries from `first` on that fit into one message, and their total size in bytes.
fn next_batch(log: &Log, first: u64, settings: &RaftSettings) -> (Vec<Entry>, usize) {
    let mut entries = Vec::new();
    let mut bytes = 0;
    for entry in log.range(first, log.last_index()) {
        let size = entry.size_bytes();
        if !entries.is_empty() && bytes + size > settings.max_message_bytes {
            break;
        }
        bytes += size;
        entries.push(entry.clone());
        if entries.len() >= settings.max_in_flight_entries {
            break;
        }
    }
    (entries, bytes)
}
