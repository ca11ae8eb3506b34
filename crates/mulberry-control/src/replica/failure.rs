//! Failures of a replica: a failed write, after which the data folder is opened again, and a duplicate identity, which
//! only a restart ends.
//!
//! A write that failed may be on the disk in part or as a whole, so the memory of the replica may differ from the disk.
//! After a failed write, a replica therefore continues only from what it recovers from the disk.

use mulberry_consensus::{DurableState, Payload, Raft};
use mulberry_log::LogError;
use mulberry_state::{FleetState, StateLimits};

use super::{Replica, raft_settings, sorted_ids};

/// Delay before the data folder is opened again after a failure.
const REOPEN_DELAY_MS: u64 = 300;

impl Replica {
    /// Marks the replica as failed until the data folder is open again.
    pub(super) fn fail_disk(&mut self, error: &LogError) {
        self.metrics.disk_failed.set(1);
        self.reopen_due_ms = Some(self.now_ms() + REOPEN_DELAY_MS);
        self.fail("disk_failed", error.to_string());
    }

    /// Marks the replica as failed until the instance is restarted.
    pub(super) fn fail_for_good(&mut self, cause: &'static str, reason: String) {
        if self.failure.is_none() || self.reopen_due_ms.take().is_some() {
            self.fail(cause, reason);
        }
    }

    /// Opens the data folder again after a failed write. The replica then continues like a restarted one.
    pub(super) fn reopen_folder_if_due(&mut self) {
        let now_ms = self.now_ms();
        if self.reopen_due_ms.is_none_or(|due_ms| now_ms < due_ms) {
            return;
        }
        let durable = match self.folder.reopen() {
            Ok(durable) => durable,
            Err(error) => {
                let reason = error.to_string();
                if self.failure.as_ref() != Some(&reason) {
                    tracing::error!(event = "data_folder_not_reopened", reason);
                    self.failure = Some(reason);
                }
                self.reopen_due_ms = Some(now_ms + REOPEN_DELAY_MS);
                return;
            }
        };
        self.hard_state = durable.hard_state;
        self.initial_members = initial_members(&durable);
        self.raft = Raft::new(raft_settings(self.folder.member_id()), durable, now_ms);
        self.state = FleetState::new(StateLimits::default());
        self.applied_index = 0;
        self.failure = None;
        self.reopen_due_ms = None;
        self.metrics.disk_failed.set(0);
        self.hello_due_ms = 0;
        self.status_due_ms = 0;
        self.has_more_work = true;
        tracing::info!(event = "data_folder_reopened", last_index = self.raft.last_index());
    }

    /// Marks the replica as failed. It acknowledges nothing until the failure is cleared.
    fn fail(&mut self, cause: &'static str, reason: String) {
        tracing::error!(event = "replica_failed", cause, reason);
        self.failure = Some(reason);
        self.lose_leadership(cause);
        self.health.set_ready(false);
        self.status_due_ms = 0;
    }
}

/// Voters of the initial group; empty if the first log entry has been compacted away.
pub(super) fn initial_members(durable: &DurableState) -> Vec<u64> {
    match durable.entries.first() {
        Some(entry) if entry.index == 1 => match &entry.payload {
            Payload::Members(members) => sorted_ids(&members.voters),
            _ => Vec::new(),
        },
        _ => Vec::new(),
    }
}
