//! Changes of targets in the order in which gateways learn them.
//!
//! Each change gets the next position, and a target keeps only its newest one. What a gateway lacks is therefore the
//! part of the feed behind its position: never more than one record of each target, however slowly it reads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use mulberry_directory::{FeedPosition, TargetRecord, TargetState, TargetTable};

/// Time for which the departure of an expired target is kept for gateways that return.
const EXPIRED_KEPT_MS: u64 = 60_000;

/// Changes of targets in the order in which gateways learn them.
#[derive(Debug)]
pub(crate) struct TargetFeed {
    id: u64,
    last: u64,

    /// Last position of a removed change. A gateway behind it needs the feed from the start.
    floor: u64,

    changes: BTreeMap<u64, Change>,
    positions: HashMap<Arc<str>, u64>,

    /// Departures of targets that were removed from the table because they were silent, with the time of that.
    expired: HashMap<Arc<str>, (TargetRecord, u64)>,
}

#[derive(Debug)]
struct Change {
    id: Arc<str>,

    /// Whether a target restored from disk was seen, and nothing about it has changed since.
    is_confirmation: bool,
}

/// What a reader of the feed gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum FeedContent {
    /// Each changed target.
    All,

    /// Like `All`, with ids only for restored targets that were seen; for readers that have all restored targets.
    IdsOfRestored,
}

/// A part of the feed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FeedBatch {
    pub records: Vec<TargetRecord>,

    /// Restored targets that were seen.
    pub seen: Vec<Arc<str>>,

    /// Position after this part.
    pub position: u64,
}

impl TargetFeed {
    /// `id` distinguishes the feed from those of other registries and other starts.
    pub(crate) fn new(id: u64) -> TargetFeed {
        TargetFeed {
            id,
            last: 0,
            floor: 0,
            changes: BTreeMap::new(),
            positions: HashMap::new(),
            expired: HashMap::new(),
        }
    }

    /// Position of the newest change.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    pub(crate) fn position(&self, position: u64) -> FeedPosition {
        FeedPosition { feed: self.id, position }
    }

    /// Position at which a returning reader goes on; 0 if it needs everything.
    pub(crate) fn resume(&self, from: Option<FeedPosition>) -> u64 {
        from.filter(|from| from.feed == self.id && from.position <= self.last)
            .filter(|from| from.position >= self.floor)
            .map_or(0, |from| from.position)
    }

    /// Whether there are more than `count` changes after a position.
    pub(crate) fn has_more_after(&self, position: u64, count: usize) -> bool {
        self.changes.range(position + 1..).nth(count).is_some()
    }

    /// Records that a target was added or has changed.
    pub(crate) fn changed(&mut self, id: &Arc<str>) {
        self.push(id, false);
    }

    /// Records that a target restored from disk was seen.
    pub(crate) fn confirmed(&mut self, id: &Arc<str>) {
        // A change that is already in the feed must still be told in full.
        let is_confirmation = self
            .positions
            .get(id)
            .and_then(|position| self.changes.get(position))
            .is_none_or(|change| change.is_confirmation);
        self.push(id, is_confirmation);
    }

    /// Records that a target was removed from the table because it was silent.
    pub(crate) fn expired(&mut self, now_ms: u64, record: TargetRecord) {
        let record = TargetRecord { state: TargetState::Gone, ..record };
        self.push(&record.id, false);
        self.expired.insert(record.id.clone(), (record, now_ms));
    }

    fn push(&mut self, id: &Arc<str>, is_confirmation: bool) {
        self.expired.remove(id);
        self.last += 1;
        if let Some(previous) = self.positions.insert(id.clone(), self.last) {
            self.changes.remove(&previous);
        }
        self.changes.insert(self.last, Change { id: id.clone(), is_confirmation });
    }

    /// Removes changes of targets that are no longer in the table, and expired departures that are old.
    pub(crate) fn prune(&mut self, now_ms: u64, targets: &TargetTable) {
        self.expired.retain(|_, (_, at_ms)| *at_ms + EXPIRED_KEPT_MS > now_ms);
        let expired = &self.expired;
        let (positions, floor) = (&mut self.positions, &mut self.floor);
        self.changes.retain(|position, change| {
            let is_kept = targets.get(&change.id).is_some() || expired.contains_key(&change.id);
            if !is_kept {
                positions.remove(&change.id);
                *floor = (*floor).max(*position);
            }
            is_kept
        });
    }

    /// At most `limit` changes after `after` and up to `until`, each with the newest record of its target.
    pub(crate) fn batch(
        &self,
        targets: &TargetTable,
        after: u64,
        until: u64,
        limit: usize,
        content: FeedContent,
    ) -> FeedBatch {
        let mut batch = FeedBatch { position: until, ..FeedBatch::default() };
        if after >= until {
            return batch;
        }
        for (count, (position, change)) in self.changes.range(after + 1..=until).enumerate() {
            if count == limit {
                return batch;
            }
            batch.position = if count + 1 == limit { *position } else { until };
            if change.is_confirmation && content == FeedContent::IdsOfRestored {
                batch.seen.push(change.id.clone());
            } else {
                let expired = self.expired.get(&change.id).map(|(record, _)| record);
                batch.records.extend(targets.get(&change.id).or(expired).cloned());
            }
        }
        batch
    }
}
