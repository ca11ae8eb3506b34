//! Target records: announcements, updates from other registries, and the state saved for the next start.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use mulberry_directory::{AnnouncementOutcome, RegistryMessage, TargetRecord, TargetState};
use mulberry_quarantine::PartStatus;
use serde::{Deserialize, Serialize};

use super::{GOSSIP_INTERVAL_MS, Node};
use crate::OperatorState;
use crate::disk_thread::DiskJob;
use crate::peer_message::PeerMessage;

/// Number of missed announcements after which a target counts as silent.
const SILENT_AFTER_MISSED_ANNOUNCEMENTS: u64 = 3;

/// Delay that batches changes before the warm-start state is saved.
pub(super) const WARM_START_SAVE_DELAY_MS: u64 = 250;

/// State saved outside the log, for use right after a restart.
#[derive(Debug, Serialize, Deserialize)]
struct WarmStartState {
    targets: Vec<TargetRecord>,
    operator: OperatorState,

    /// Missing in files of older versions.
    parts: Vec<PartStatus>,
}

impl WarmStartState {
    fn decode(bytes: &[u8]) -> postcard::Result<WarmStartState> {
        postcard::from_bytes(bytes).or_else(|_| {
            let (targets, operator) = postcard::from_bytes(bytes)?;
            Ok(WarmStartState { targets, operator, parts: Vec::new() })
        })
    }
}

impl Node {
    /// Restores the targets and the last known configuration from the warm-start file, until newer ones are known.
    /// Restarted gateways use them while the group elects a leader.
    pub(super) fn restore_warm_start(&mut self, bytes: &[u8], departures: Vec<TargetRecord>) {
        let now_ms = self.now_ms();
        if !departures.is_empty() {
            tracing::info!(event = "departures_recalled", count = departures.len());
        }
        self.apply_target_records(now_ms, departures);
        if bytes.is_empty() {
            return;
        }
        match WarmStartState::decode(bytes) {
            Ok(saved) => {
                tracing::info!(
                    event = "notes_recalled",
                    targets = saved.targets.len(),
                    version = saved.operator.version()
                );
                self.merge_part_statuses(&saved.parts, "disk");
                self.restored_state = Some(saved.operator);
                self.publish();
                let is_gone = |record: &TargetRecord| record.state == TargetState::Gone;
                let (gone, mut restored): (Vec<_>, Vec<_>) =
                    saved.targets.into_iter().partition(is_gone);
                self.apply_target_records(now_ms, gone);
                let targets = &self.targets;
                restored.retain(|record| {
                    let known = targets.get(&record.id);
                    known.is_none_or(|known| known.started_ms < record.started_ms)
                });
                self.restored.restore(now_ms, restored);
                self.gateways.resend_restored();
            }
            // The file was truncated by a power failure or written by another version. Announcements and the log
            // supply all of the state again.
            Err(error) => tracing::warn!(event = "notes_unreadable", %error),
        }
    }

    /// Applies target records from other registries or the warm-start file, and publishes changes to the gateways.
    pub(super) fn apply_target_records(&mut self, now_ms: u64, records: Vec<TargetRecord>) {
        let position = self.feed.last();
        let mut departures = Vec::new();
        for record in records {
            self.confirm_restored(now_ms, &record.id);
            if self.targets.apply(now_ms, record.clone()) == AnnouncementOutcome::Changed {
                self.feed.changed(&record.id);
                if record.state != TargetState::Ready {
                    departures.push(record);
                }
            }
        }
        if self.feed.last() > position {
            self.warm_start_save_due_ms.get_or_insert(now_ms + WARM_START_SAVE_DELAY_MS);
        }
        // Those that are alone are the only changes since `position`.
        self.publish_departures(departures, position);
        self.flush_gateways(now_ms);
    }

    /// Tells gateways at once of targets that drain or have left. `position` is the position of the feed before.
    fn publish_departures(&mut self, departures: Vec<TargetRecord>, position: u64) {
        if departures.is_empty() {
            return;
        }
        let is_alone = self.feed.last() == position + departures.len() as u64;
        // Links that lack other changes get the departures again with these.
        let before = if is_alone { position } else { self.feed.last() };
        let message = RegistryMessage::Targets(departures);
        self.gateways.send_departures(&message, before, &self.feed);
    }

    /// Moves a restored target to the table of targets, after the target was seen.
    pub(super) fn confirm_restored(&mut self, now_ms: u64, id: &Arc<str>) {
        if let Some(record) = self.restored.take(id) {
            self.targets.apply(now_ms, record);
            self.feed.confirmed(id);
        }
    }

    /// Saves the warm-start state.
    pub(super) fn save_warm_start(&mut self, now_ms: u64) {
        let Some(operator) = self.known_state().cloned() else { return };
        let silent_after_ms = self.silent_after_ms();
        let targets = self
            .targets
            .iter()
            .filter(|(_, last_seen_ms)| last_seen_ms + silent_after_ms >= now_ms)
            .map(|(record, _)| record)
            .chain(self.restored.recent(now_ms, silent_after_ms))
            .cloned()
            .collect();
        // The document isn't needed: reads of the configuration are served from the log.
        let operator = OperatorState { document: Arc::default(), ..operator };
        let parts = self.part_statuses();
        match postcard::to_stdvec(&WarmStartState { targets, operator, parts }) {
            Ok(bytes) => self.disk.submit(DiskJob::SaveWarmStart(bytes)),
            Err(error) => tracing::error!(event = "notes_not_encoded", %error),
        }
    }

    /// Time without an announcement after which a target counts as silent.
    pub(super) fn silent_after_ms(&self) -> u64 {
        SILENT_AFTER_MISSED_ANNOUNCEMENTS * self.settings.announce_interval_ms + GOSSIP_INTERVAL_MS
    }

    pub(crate) fn announce(&mut self, record: TargetRecord) -> AnnouncementOutcome {
        let now_ms = self.now_ms();
        self.seen_targets.insert(record.id.clone());
        self.confirm_restored(now_ms, &record.id);
        let outcome = self.targets.apply(now_ms, record.clone());
        if outcome == AnnouncementOutcome::Changed {
            tracing::info!(
                event = "target_changed",
                target_id = %record.id,
                state = ?record.state,
                address = %record.address,
                zone = %record.zone,
                sequence = record.sequence,
                cold_left_ms = record.cold_remaining_ms
            );
            self.publish_target(record);
        }
        outcome
    }

    pub(crate) fn deregister(&mut self, id: &Arc<str>, started_ms: Option<u64>) {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = self.now_ms();
        self.confirm_restored(now_ms, id);
        let changed = self.targets.deregister(now_ms, id, started_ms, wall_ms.as_millis() as u64);
        if let Some(record) = changed {
            tracing::info!(event = "target_left", target_id = %id);
            self.publish_target(record);
        }
    }

    /// Tells the other registries and the gateways of a change that was announced here.
    fn publish_target(&mut self, record: TargetRecord) {
        let now_ms = self.now_ms();
        self.warm_start_save_due_ms.get_or_insert(now_ms + WARM_START_SAVE_DELAY_MS);
        for address in self.known_peers() {
            self.peers.send(address, PeerMessage::Targets(vec![record.clone()]));
        }
        let position = self.feed.last();
        self.feed.changed(&record.id);
        if record.state != TargetState::Ready {
            self.publish_departures(vec![record], position);
        }
        self.flush_gateways(now_ms);
    }
}
