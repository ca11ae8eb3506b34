//! Targets by id.
//!
//! Announcements may arrive late, twice, in another order and over several ways. Each table that has seen the same
//! announcements holds the same records, whatever their order.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{TargetRecord, TargetState};

/// Targets by id, with the time at which each was last heard from.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<Arc<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    record: TargetRecord,
    last_seen_ms: u64,
}

/// What an announcement did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// Older than what is known.
    Outdated,

    /// Newer, and the same but for its sequence.
    Refreshed,

    Changed,
}

impl TargetTable {
    /// Records an announcement that arrived at `now_ms`.
    pub fn apply(&mut self, now_ms: u64, record: TargetRecord) -> AnnouncementOutcome {
        let Some(entry) = self.targets.get_mut(&record.id) else {
            self.targets.insert(record.id.clone(), Entry { record, last_seen_ms: now_ms });
            return AnnouncementOutcome::Changed;
        };
        let known = &entry.record;
        if (record.started_ms, rank(&record)) <= (known.started_ms, rank(known)) {
            return AnnouncementOutcome::Outdated;
        }
        let is_same = TargetRecord {
            sequence: known.sequence,
            cold_remaining_ms: known.cold_remaining_ms,
            ..record.clone()
        } == *known
            && (record.cold_remaining_ms > 0) == (known.cold_remaining_ms > 0);
        *entry = Entry { record, last_seen_ms: now_ms };
        if is_same { AnnouncementOutcome::Refreshed } else { AnnouncementOutcome::Changed }
    }

    /// Records that a target says goodbye without naming its start. Returns the record, if that changed anything.
    ///
    /// `wall_ms` is the time of day; announcements of starts before it no longer count for a target that is not known.
    pub fn deregister(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        started_ms: Option<u64>,
        wall_ms: u64,
    ) -> Option<TargetRecord> {
        let mut record = match self.targets.get(id) {
            Some(entry) => entry.record.clone(),
            None => TargetRecord {
                id: id.clone(),
                started_ms: wall_ms,
                sequence: 0,
                service: "".into(),
                address: ([0, 0, 0, 0], 0).into(),
                zone: "".into(),
                slots: 0,
                state: TargetState::Gone,
                cold_remaining_ms: 0,
            },
        };
        record.started_ms = started_ms.unwrap_or(record.started_ms);
        record.state = TargetState::Gone;
        (self.apply(now_ms, record.clone()) == AnnouncementOutcome::Changed).then_some(record)
    }

    /// Records that a target was heard from, directly or by another table.
    pub fn mark_seen(&mut self, now_ms: u64, id: &str) {
        if let Some(entry) = self.targets.get_mut(id) {
            entry.last_seen_ms = entry.last_seen_ms.max(now_ms);
        }
    }

    pub fn get(&self, id: &str) -> Option<&TargetRecord> {
        self.targets.get(id).map(|entry| &entry.record)
    }

    /// Records and the times at which they were last heard.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetRecord, u64)> {
        self.targets.values().map(|entry| (&entry.record, entry.last_seen_ms))
    }

    /// Drops targets that were not heard from since `before_ms`. Returns those that had not left.
    pub fn expire(&mut self, before_ms: u64) -> Vec<TargetRecord> {
        let old: Vec<Arc<str>> = self
            .targets
            .iter()
            .filter(|(_, entry)| entry.last_seen_ms < before_ms)
            .map(|(id, _)| id.clone())
            .collect();
        old.iter()
            .filter_map(|id| self.targets.remove(id))
            .map(|entry| entry.record)
            .filter(|record| record.state != TargetState::Gone)
            .collect()
    }
}

/// Order of the announcements of one start; a goodbye is the last.
fn rank(record: &TargetRecord) -> (bool, u64) {
    (record.state == TargetState::Gone, record.sequence)
}
