//! Targets by id.
//!
//! Announcements may be delayed, duplicated, reordered and received over several paths. Tables that have received the
//! same announcements converge to the same records, in any order of arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{TargetRecord, TargetState};

/// Targets by id, with the time at which each was last seen.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<Arc<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    record: TargetRecord,
    last_seen_ms: u64,

    /// Time of the last announcement that changed the record.
    changed_ms: u64,
}

/// Effect of an announcement on a [`TargetTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// Not newer than the known record; ignored.
    Outdated,

    /// Newer, but equal to the known record except for the sequence and the remaining cold time. The target is still
    /// cold, or still warm.
    Refreshed,

    /// The target is new or its record has changed.
    Changed,
}

impl TargetTable {
    /// Applies an announcement that arrived at `now_ms`.
    pub fn apply(&mut self, now_ms: u64, record: TargetRecord) -> AnnouncementOutcome {
        let Some(entry) = self.targets.get_mut(&record.id) else {
            let id = record.id.clone();
            self.targets.insert(id, Entry { record, last_seen_ms: now_ms, changed_ms: now_ms });
            return AnnouncementOutcome::Changed;
        };
        let known = &entry.record;
        if (record.started_ms, precedence(&record)) <= (known.started_ms, precedence(known)) {
            return AnnouncementOutcome::Outdated;
        }
        let is_same = TargetRecord {
            sequence: known.sequence,
            cold_remaining_ms: known.cold_remaining_ms,
            ..record.clone()
        } == *known
            && (record.cold_remaining_ms > 0) == (known.cold_remaining_ms > 0);
        let changed_ms = if is_same { entry.changed_ms } else { now_ms };
        *entry = Entry { record, last_seen_ms: now_ms, changed_ms };
        if is_same { AnnouncementOutcome::Refreshed } else { AnnouncementOutcome::Changed }
    }

    /// Marks a target as gone. Returns the new record if this changed the table. Without `started_ms`, the last known
    /// start is assumed.
    ///
    /// `wall_ms` is the current wall-clock time. It stands in for the start time of an unknown target without
    /// `started_ms`, so that later announcements of an earlier start are ignored.
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

    /// Updates the time at which a target was last seen, here or by another registry.
    pub fn mark_seen(&mut self, now_ms: u64, id: &str) {
        if let Some(entry) = self.targets.get_mut(id) {
            entry.last_seen_ms = entry.last_seen_ms.max(now_ms);
        }
    }

    pub fn get(&self, id: &str) -> Option<&TargetRecord> {
        self.targets.get(id).map(|entry| &entry.record)
    }

    /// Records with the times at which they were last seen.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetRecord, u64)> {
        self.targets.values().map(|entry| (&entry.record, entry.last_seen_ms))
    }

    /// Records that have changed since `since_ms`, and all departures.
    pub fn changes_since(&self, since_ms: u64) -> impl Iterator<Item = &TargetRecord> {
        self.targets
            .values()
            .filter(move |entry| {
                entry.changed_ms >= since_ms || entry.record.state != TargetState::Ready
            })
            .map(|entry| &entry.record)
    }

    /// Removes targets last seen before `before_ms`. Returns those that had not left.
    pub fn expire(&mut self, before_ms: u64) -> Vec<TargetRecord> {
        let expired: Vec<Arc<str>> = self
            .targets
            .iter()
            .filter(|(_, entry)| entry.last_seen_ms < before_ms)
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .iter()
            .filter_map(|id| self.targets.remove(id))
            .map(|entry| entry.record)
            .filter(|record| record.state != TargetState::Gone)
            .collect()
    }
}

/// Sort key of the announcements of one start; `Gone` comes last.
fn precedence(record: &TargetRecord) -> (bool, u64) {
    (record.state == TargetState::Gone, record.sequence)
}
