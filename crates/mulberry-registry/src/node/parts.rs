//! Parts of prompts that crash engines: reports of gateways, and the quarantine.

use mulberry_directory::{RegistryMessage, TargetRecord, TargetState};
use mulberry_quarantine::{CrashReport, PartChange, PartStatus, TimeMs};

use super::Node;
use super::targets::WARM_START_SAVE_DELAY_MS;

/// Maximum number of crashed requests or statuses in one message. Gateways send fewer.
const MAX_REPORTS: usize = 512;

impl Node {
    fn part_now_ms(&self) -> TimeMs {
        TimeMs::try_from(self.now_ms()).unwrap_or(TimeMs::MAX)
    }

    /// Statuses of all parts, for a gateway that has just been linked.
    pub(super) fn all_part_statuses(&self) -> RegistryMessage {
        RegistryMessage::PartStatuses(self.part_statuses())
    }

    /// Statuses of all quarantined, suspected and released parts.
    pub(super) fn part_statuses(&self) -> Vec<PartStatus> {
        self.parts.statuses(self.part_now_ms())
    }

    pub(super) fn handle_part_reports(&mut self, crashes: &[CrashReport], statuses: &[PartStatus]) {
        let now_ms = self.part_now_ms();
        for crash in crashes.iter().take(MAX_REPORTS) {
            tracing::debug!(
                event = "crash_told",
                target_id = %crash.engine,
                request_key = format_args!("{:x}", crash.request_key),
                parts = crash.parts.len()
            );
            self.metrics.crashed_requests.inc();
            self.correlator.record_crash(now_ms, crash);
        }
        self.merge_part_statuses(&statuses[..statuses.len().min(MAX_REPORTS)], "gateway");
    }

    /// Merges statuses from a gateway or the warm-start file, and publishes changes to the gateways.
    pub(super) fn merge_part_statuses(&mut self, statuses: &[PartStatus], source: &'static str) {
        let now_ms = self.part_now_ms();
        let mut changed = Vec::new();
        for status in statuses {
            if let Some(age_ms) = status.survived_age_ms {
                let age_ms = TimeMs::try_from(age_ms).unwrap_or(TimeMs::MAX);
                self.correlator.record_survival(now_ms.saturating_sub(age_ms), status.id);
            }
            let change = self.parts.merge(now_ms, status);
            if change != PartChange::Unchanged {
                log_change(status.id, change, source);
                changed.push(status.id);
            }
        }
        self.publish_parts(&changed);
    }

    /// Asks the gateways about newly suspected parts, and quarantines those that no engine has survived.
    pub(super) fn judge_parts(&mut self) {
        let now_ms = self.part_now_ms();
        let parts = &self.parts;
        let suspects = self.correlator.new_suspects(now_ms, |part| parts.is_quarantined(part));
        if !suspects.is_empty() {
            let statuses = suspects
                .iter()
                .map(|part| {
                    tracing::info!(event = "part_suspected", part = format_args!("{part:x}"));
                    PartStatus {
                        id: *part,
                        quarantined_age_ms: None,
                        requested_age_ms: 0,
                        survived_age_ms: None,
                    }
                })
                .collect();
            self.gateways.send_parts(&RegistryMessage::PartStatuses(statuses));
        }
        let confirmed = self.correlator.take_confirmed(now_ms, |part| parts.is_quarantined(part));
        for part in &confirmed {
            let change = self.parts.quarantine(now_ms, *part);
            log_change(*part, change, "registry");
        }
        self.publish_parts(&confirmed);
    }

    /// Sends the statuses of parts to all gateways, and saves them for the next start.
    fn publish_parts(&mut self, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        let now_ms = self.part_now_ms();
        let statuses = parts.iter().filter_map(|part| self.parts.status(now_ms, *part)).collect();
        self.gateways.send_parts(&RegistryMessage::PartStatuses(statuses));
        self.metrics.quarantined_parts.set(self.parts.quarantined_count() as i64);
        self.warm_start_save_due_ms.get_or_insert(self.now_ms() + WARM_START_SAVE_DELAY_MS);
    }

    pub(super) fn expire_parts(&mut self) {
        let now_ms = self.part_now_ms();
        let is_present = |record: &TargetRecord| record.state != TargetState::Gone;
        let engines = self.targets.iter().filter(|(record, _)| is_present(record)).count();
        self.correlator.set_engines(engines);
        self.correlator.expire(now_ms);
        for part in self.parts.expire(now_ms) {
            tracing::info!(event = "part_expired", part = format_args!("{part:x}"));
        }
        self.metrics.quarantined_parts.set(self.parts.quarantined_count() as i64);
    }
}

fn log_change(part: u64, change: PartChange, source: &'static str) {
    let part = format_args!("{part:x}");
    match change {
        PartChange::Unchanged | PartChange::Refreshed => {}
        PartChange::Quarantined => tracing::warn!(event = "part_quarantined", part, source),
        PartChange::Released => tracing::info!(event = "part_released", part, source),
    }
}
