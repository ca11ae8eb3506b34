//! Writes that the driver must sync, and the sync progress.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Entry, HardState, Position, Snapshot};

/// Writes that must be synced, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writes {
    pub hard_state: Option<HardState>,

    /// Snapshot received from the leader. It replaces the log up to its index.
    pub snapshot: Option<Snapshot>,

    /// Index from which on the existing entries are removed.
    pub truncate_from: Option<u64>,

    /// Entries that follow the last remaining entry, or the snapshot.
    pub entries: Vec<Entry>,
}

/// Write batches that the driver has not taken yet, or has taken but not synced yet.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    pending: Writes,

    /// Sequence number of the batch that `pending` will become. The first batch has number 1.
    pending_sequence: u64,

    in_flight: VecDeque<Batch>,
    synced_sequence: u64,

    /// Every entry up to this index is on disk.
    synced_index: u64,

    /// Sequence number of the batch with the latest hard state; 0 if there was none.
    hard_state_sequence: u64,

    /// Sequence number of the batch with the latest change to the log or the snapshot; 0 if there was none.
    log_sequence: u64,
}

/// A batch that the driver has taken.
#[derive(Debug)]
struct Batch {
    sequence: u64,

    /// Last index that is on disk once the batch is synced. Lowered when a later batch truncates the log.
    last_index: Option<u64>,

    /// Position of the last entry in the batch, or of its snapshot. Identifies the batch when it is reported as synced.
    last: Option<Position>,

    hard_state: Option<HardState>,
}

impl Writes {
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
    }

    fn last(&self) -> Option<Position> {
        let entry = self.entries.last().map(Entry::position);
        entry.or_else(|| self.snapshot.as_ref().map(Snapshot::position))
    }
}

impl WriteQueue {
    pub(crate) fn new(synced_index: u64) -> WriteQueue {
        WriteQueue {
            pending: Writes::default(),
            pending_sequence: 1,
            in_flight: VecDeque::new(),
            synced_sequence: 0,
            synced_index,
            hard_state_sequence: 0,
            log_sequence: 0,
        }
    }

    pub(crate) fn synced_sequence(&self) -> u64 {
        self.synced_sequence
    }

    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    pub(crate) fn hard_state_sequence(&self) -> u64 {
        self.hard_state_sequence
    }

    /// Sequence number of the batch whose sync makes everything written so far durable.
    pub(crate) fn newest_sequence(&self) -> u64 {
        self.hard_state_sequence.max(self.log_sequence)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.pending.hard_state = Some(hard_state);
        self.hard_state_sequence = self.pending_sequence;
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        self.pending.entries.push(entry);
        self.log_sequence = self.pending_sequence;
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.pending.entries.retain(|entry| entry.index < index);
        let truncate_from = self.pending.truncate_from.map_or(index, |earlier| earlier.min(index));
        self.pending.truncate_from = Some(truncate_from);
        self.limit_synced_index(index - 1);
        self.log_sequence = self.pending_sequence;
    }

    /// Replaces the whole log with `snapshot`. The snapshot includes the entries up to `commit_index`.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot, commit_index: u64) {
        self.pending.entries.clear();
        self.pending.truncate_from = Some(snapshot.index + 1);
        self.pending.snapshot = Some(snapshot);
        self.limit_synced_index(commit_index);
        self.log_sequence = self.pending_sequence;
    }

    pub(crate) fn take(&mut self) -> Writes {
        if self.pending.is_empty() {
            return Writes::default();
        }
        let writes = std::mem::take(&mut self.pending);
        let last = writes.last();
        self.in_flight.push_back(Batch {
            sequence: self.pending_sequence,
            last_index: last.map(|position| position.index),
            last,
            hard_state: writes.hard_state,
        });
        self.pending_sequence += 1;
        writes
    }

    /// Records that `writes`, the oldest batch in flight, is synced.
    pub(crate) fn mark_synced(&mut self, writes: &Writes) {
        if writes.is_empty() {
            return;
        }
        let batch = self.in_flight.pop_front().expect("writes reported as synced were not taken");
        assert!(
            batch.last == writes.last() && batch.hard_state == writes.hard_state,
            "writes must be reported as synced in the order in which they were taken"
        );
        self.synced_sequence = batch.sequence;
        self.synced_index = self.synced_index.max(batch.last_index.unwrap_or(0));
    }

    fn limit_synced_index(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index);
        for batch in &mut self.in_flight {
            batch.last_index = batch.last_index.map(|last| last.min(index));
        }
    }
}
