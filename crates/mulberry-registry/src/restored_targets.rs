//! Targets restored from disk that have not announced themselves since the restart.
//!
//! A registry that was down for longer than the others remember a departed target would otherwise put it back into
//! use. Restored targets are therefore published separately, and become usable once the target announces itself or a
//! majority of the registries has restored it.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_directory::TargetRecord;

/// Targets restored from disk that have not announced themselves since the restart.
#[derive(Debug, Default)]
pub(crate) struct RestoredTargets {
    records: BTreeMap<Arc<str>, TargetRecord>,
    restored_ms: u64,
}

impl RestoredTargets {
    pub(crate) fn restore(&mut self, now_ms: u64, records: Vec<TargetRecord>) {
        self.restored_ms = now_ms;
        self.records = records.into_iter().map(|record| (record.id.clone(), record)).collect();
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Removes a target that was seen, and returns its record.
    pub(crate) fn take(&mut self, id: &Arc<str>) -> Option<TargetRecord> {
        self.records.remove(id)
    }

    /// Targets restored at most `limit_ms` ago, which may still announce themselves.
    pub(crate) fn recent(&self, now_ms: u64, limit_ms: u64) -> impl Iterator<Item = &TargetRecord> {
        let is_recent = self.restored_ms + limit_ms >= now_ms;
        self.records.values().filter(move |_| is_recent)
    }

    /// Targets restored more than `limit_ms` ago, which count as silent.
    pub(crate) fn silent(&self, now_ms: u64, limit_ms: u64) -> impl Iterator<Item = &TargetRecord> {
        let is_silent = self.restored_ms + limit_ms < now_ms;
        self.records.values().filter(move |_| is_silent)
    }

    /// Removes and returns all targets if they were restored before `before_ms`.
    pub(crate) fn expire(&mut self, before_ms: u64) -> Vec<TargetRecord> {
        if self.restored_ms >= before_ms {
            return Vec::new();
        }
        std::mem::take(&mut self.records).into_values().collect()
    }
}
