//! In-memory part of the log.

use std::collections::VecDeque;

use crate::{Entry, Position};

/// Consecutive entries after `base`, the position of the last compacted entry.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(base: Position) -> Log {
        Log { base, entries: VecDeque::new() }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// Term of the entry at `index`, or `None` if `index` is before the base or after the last entry.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `first` to `last`, both inclusive.
    pub(crate) fn range(&self, first: u64, last: u64) -> impl Iterator<Item = &Entry> {
        let start = first.saturating_sub(self.base.index + 1) as usize;
        let end = last.saturating_sub(self.base.index) as usize;
        self.entries.range(start.min(self.entries.len())..end.min(self.entries.len()).max(start))
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log entries must have consecutive indexes");
        assert!(entry.term >= self.last().term, "terms in the log must not decrease");
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Drops the entries up to and including `index` from memory.
    pub(crate) fn compact_through(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = Position { term, index };
    }

    /// Last position at or before `index` whose term is at most `term`, or the base if there is none.
    pub(crate) fn last_with_term_at_most(&self, index: u64, term: u64) -> Position {
        let below = self.entries.partition_point(|entry| entry.term <= term) as u64;
        let index = index.min(self.base.index + below).max(self.base.index);
        Position { term: self.term_at(index).unwrap_or(0), index }
    }
}
