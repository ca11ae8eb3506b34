//! Which entries the log holds, without their contents.

use std::collections::VecDeque;

use mulberry_consensus::HardState;

/// Indexes and terms of the log and where they are stored. Changed in the same way by writing and by
/// replaying a record.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogShape {
    pub(crate) hard_state: HardState,

    /// Index of the snapshot that the log continues; 0 without one.
    pub(crate) base: u64,

    /// Index of the next entry.
    pub(crate) next: u64,

    /// From the oldest to the current one.
    pub(crate) segments: VecDeque<Segment>,

    /// First index of each run of entries with equal terms, and the term.
    pub(crate) term_runs: VecDeque<(u64, u64)>,
}

/// One segment file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,

    /// Highest index of an entry in this segment that is part of the log; 0 without any.
    pub(crate) last_index: u64,
}

impl LogShape {
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index >= self.next {
            return None;
        }
        let run = self.term_runs.partition_point(|(first, _)| *first <= index);
        Some(self.term_runs[run.checked_sub(1)?].1)
    }

    pub(crate) fn push(&mut self, index: u64, term: u64) {
        self.next = index + 1;
        if self.term_runs.back().is_none_or(|(_, last)| *last != term) {
            self.term_runs.push_back((index, term));
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.last_index = index;
        }
    }

    pub(crate) fn truncate(&mut self, from: u64) {
        self.next = from;
        while self.term_runs.back().is_some_and(|(first, _)| *first >= from) {
            self.term_runs.pop_back();
        }
        for segment in &mut self.segments {
            segment.last_index = segment.last_index.min(from.saturating_sub(1));
        }
    }

    /// The log now continues a snapshot up to `index`.
    pub(crate) fn start_after(&mut self, index: u64, keep_after: bool) {
        if !keep_after {
            self.term_runs.clear();
            self.segments.iter_mut().for_each(|segment| segment.last_index = 0);
            self.next = index + 1;
        }
        self.base = index;
        self.next = self.next.max(index + 1);
        while self.term_runs.get(1).is_some_and(|(first, _)| *first <= index + 1) {
            self.term_runs.pop_front();
        }
    }
}
