//! Metadata of the log: indexes, terms and segments, without the contents of entries.

use std::collections::VecDeque;

use mulberry_consensus::HardState;

/// Indexes and terms of the log's entries and the segments that hold them. Writing a record and
/// replaying it update the metadata in the same way.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogMetadata {
    pub(crate) hard_state: HardState,

    /// Index of the snapshot that precedes the log; 0 if there is none.
    pub(crate) base_index: u64,

    /// Index of the next entry.
    pub(crate) next_index: u64,

    /// Segments from the oldest to the current one.
    pub(crate) segments: VecDeque<Segment>,

    /// First index and term of each run of consecutive entries with equal terms.
    pub(crate) term_runs: VecDeque<(u64, u64)>,
}

/// One segment file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,

    /// Highest index in this segment that is still part of the log; 0 if there is none.
    pub(crate) last_index: u64,
}

impl LogMetadata {
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index >= self.next_index {
            return None;
        }
        let run = self.term_runs.partition_point(|(first, _)| *first <= index);
        Some(self.term_runs[run.checked_sub(1)?].1)
    }

    pub(crate) fn push(&mut self, index: u64, term: u64) {
        self.next_index = index + 1;
        if self.term_runs.back().is_none_or(|(_, last)| *last != term) {
            self.term_runs.push_back((index, term));
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.last_index = index;
        }
    }

    pub(crate) fn truncate(&mut self, from: u64) {
        self.next_index = from;
        while self.term_runs.back().is_some_and(|(first, _)| *first >= from) {
            self.term_runs.pop_back();
        }
        for segment in &mut self.segments {
            segment.last_index = segment.last_index.min(from.saturating_sub(1));
        }
    }

    /// Records that the log now continues a snapshot up to `index`.
    pub(crate) fn install_snapshot(&mut self, index: u64, keep_later_entries: bool) {
        if !keep_later_entries {
            self.term_runs.clear();
            self.segments.iter_mut().for_each(|segment| segment.last_index = 0);
            self.next_index = index + 1;
        }
        self.base_index = index;
        self.next_index = self.next_index.max(index + 1);
        while self.term_runs.get(1).is_some_and(|(first, _)| *first <= index + 1) {
            self.term_runs.pop_front();
        }
    }
}
