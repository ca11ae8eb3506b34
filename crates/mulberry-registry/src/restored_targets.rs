//! Targets that were noted before this start and have not been heard from since.
//!
//! A registry that was away for longer than others remember a target that has left would bring it into use again. What
//! it recalls is therefore told as such, and counts once the target is heard from, or once most registries recall it.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_directory::TargetRecord;

/// Targets that were noted before this start and have not been heard from since.
#[derive(Debug, Default)]
pub(crate) struct RestoredTargets {
    records: BTreeMap<Arc<str>, TargetRecord>,
    restored_ms: u64,

    /// Those that were heard from since the last round of gossip.
    seen_targets: Vec<Arc<str>>,
}

impl RestoredTargets {
    pub(crate) fn restore(&mut self, now_ms: u64, records: Vec<TargetRecord>) {
        self.restored_ms = now_ms;
        self.records = records.into_iter().map(|record| (record.id.clone(), record)).collect();
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Takes out a target that was heard from.
    pub(crate) fn take(&mut self, id: &Arc<str>) -> Option<TargetRecord> {
        let record = self.records.remove(id)?;
        self.seen_targets.push(id.clone());
        Some(record)
    }

    pub(crate) fn take_seen(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.seen_targets)
    }

    /// Those that may still be heard from, when a target is silent after `limit_ms`.
    pub(crate) fn recent(&self, now_ms: u64, limit_ms: u64) -> impl Iterator<Item = &TargetRecord> {
        let is_recent = self.restored_ms + limit_ms >= now_ms;
        self.records.values().filter(move |_| is_recent)
    }

    /// Those that should have been heard from by then.
    pub(crate) fn silent(&self, now_ms: u64, limit_ms: u64) -> impl Iterator<Item = &TargetRecord> {
        let is_silent = self.restored_ms + limit_ms < now_ms;
        self.records.values().filter(move |_| is_silent)
    }

    /// Forgets all of them, and returns them, if they were recalled before `before_ms`.
    pub(crate) fn expire(&mut self, before_ms: u64) -> Vec<TargetRecord> {
        if self.restored_ms >= before_ms {
            return Vec::new();
        }
        std::mem::take(&mut self.records).into_values().collect()
    }
}
