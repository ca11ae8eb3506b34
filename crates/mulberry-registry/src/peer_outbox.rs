//! What one registry still has to send to another.
//!
//! Messages of the group, orders and departures keep their order and go first. Announcements are merged to the newest
//! record of each target and sent in batches, so that they never crowd out the former.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use mulberry_directory::{TargetRecord, TargetState};

use crate::peer_message::PeerMessage;

/// Maximum number of queued messages that are not merged. Excess messages are dropped; senders retry those that matter.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Minimum interval between batches of announcements.
const BATCH_INTERVAL_MS: u64 = 100;

/// Time without a connection after which merged announcements are dropped. A registry that was silent for that long is
/// sent the changes that it has missed.
const MAX_UNSENT_MS: u64 = 1_200;

/// Maximum number of records in one message.
const MAX_RECORDS: usize = 512;

/// What one registry still has to send to another.
#[derive(Debug, Default)]
pub(crate) struct PeerOutbox {
    queue: VecDeque<PeerMessage>,
    targets: BTreeMap<Arc<str>, TargetRecord>,
    seen: BTreeSet<Arc<str>>,
    gateways: Option<PeerMessage>,
    batch_sent_ms: Option<u64>,
    unsent_since_ms: Option<u64>,
}

impl PeerOutbox {
    /// Adds a message. False if it was dropped.
    pub(crate) fn push(&mut self, message: PeerMessage) -> bool {
        match message {
            PeerMessage::Targets(records) => self.push_targets(records),
            PeerMessage::TargetsSeen(ids) => {
                self.seen.extend(ids);
                true
            }
            message @ PeerMessage::Gateways { .. } => {
                self.gateways = Some(message);
                true
            }
            message => self.push_queued(message),
        }
    }

    fn push_targets(&mut self, records: Vec<TargetRecord>) -> bool {
        let mut departures = Vec::new();
        for record in records {
            let order = |record: &TargetRecord| {
                (record.started_ms, record.state == TargetState::Gone, record.sequence)
            };
            if self.targets.get(&record.id).is_some_and(|known| order(known) >= order(&record)) {
                continue;
            }
            if record.state == TargetState::Ready {
                self.targets.insert(record.id.clone(), record);
            } else {
                self.targets.remove(&record.id);
                departures.push(record);
            }
        }
        departures.is_empty() || self.push_queued(PeerMessage::Targets(departures))
    }

    fn push_queued(&mut self, message: PeerMessage) -> bool {
        let has_room = self.queue.len() < MAX_QUEUED_MESSAGES;
        if has_room {
            self.queue.push_back(message);
        }
        has_room
    }

    /// Time until there is something to send. `None` if nothing waits.
    pub(crate) fn due_in_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.queue.is_empty() {
            return Some(0);
        }
        let has_batch =
            !self.targets.is_empty() || !self.seen.is_empty() || self.gateways.is_some();
        let due_ms = self.batch_sent_ms.map_or(0, |at_ms| at_ms + BATCH_INTERVAL_MS);
        has_batch.then_some(due_ms.saturating_sub(now_ms))
    }

    /// Takes what is to be sent now.
    pub(crate) fn take(&mut self, now_ms: u64) -> Vec<PeerMessage> {
        let mut messages: Vec<PeerMessage> = self.queue.drain(..).collect();
        let due_ms = self.batch_sent_ms.map_or(0, |at_ms| at_ms + BATCH_INTERVAL_MS);
        if now_ms < due_ms {
            return messages;
        }
        let queued = messages.len();
        while !self.targets.is_empty() {
            let rest = match self.targets.keys().nth(MAX_RECORDS).cloned() {
                Some(next) => self.targets.split_off(&next),
                None => BTreeMap::new(),
            };
            let records = std::mem::replace(&mut self.targets, rest);
            messages.push(PeerMessage::Targets(records.into_values().collect()));
        }
        if !self.seen.is_empty() {
            let seen = std::mem::take(&mut self.seen);
            messages.push(PeerMessage::TargetsSeen(seen.into_iter().collect()));
        }
        messages.extend(self.gateways.take());
        if messages.len() > queued {
            self.batch_sent_ms = Some(now_ms);
        }
        messages
    }

    /// Handles that a connection was made.
    pub(crate) fn connected(&mut self) {
        self.unsent_since_ms = None;
    }

    /// Handles that messages could not be sent: keeps the announcements among them for a while, and drops the rest,
    /// which would be outdated.
    pub(crate) fn not_sent(&mut self, now_ms: u64, messages: Vec<PeerMessage>) {
        let since_ms = *self.unsent_since_ms.get_or_insert(now_ms);
        self.queue.clear();
        self.seen.clear();
        if since_ms + MAX_UNSENT_MS <= now_ms {
            self.targets.clear();
            return;
        }
        for message in messages {
            if let PeerMessage::Targets(records) = message {
                let newer = std::mem::take(&mut self.targets);
                self.targets = records.into_iter().map(|r| (r.id.clone(), r)).collect();
                self.targets.extend(newer);
            }
        }
    }
}
