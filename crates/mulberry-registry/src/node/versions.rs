//! The newest known configuration and evacuated zones, and their publication to the gateways.

use std::sync::Arc;

use mulberry_consensus::Role;
use mulberry_directory::RegistryMessage;

use super::{MAX_RECENT_CONFIGS, Node, targets};
use crate::OperatorState;
use crate::gateway_links::LatestMessage;

impl Node {
    /// State applied from the log by this replica.
    pub(crate) fn state(&self) -> Option<&OperatorState> {
        self.replica.as_ref().map(|replica| &replica.state)
    }

    /// The newest state known to be committed: applied by this replica or restored from the warm-start file.
    pub(super) fn known_state(&self) -> Option<&OperatorState> {
        let applied = self.state();
        let restored = self.restored_state.as_ref();
        match (applied, restored) {
            (Some(applied), Some(restored)) if restored.applied_index > applied.applied_index => {
                Some(restored)
            }
            (applied, restored) => applied.or(restored),
        }
    }

    /// Whether the group has a leader and this registry has applied everything that was on its disk at the start.
    pub(super) fn is_confirmed(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| {
            let applied = replica.state.applied_index;
            let restored =
                self.restored_state.as_ref().map_or(0, |restored| restored.applied_index);
            replica.raft.leader().is_some() && applied >= self.recovered_index.max(restored)
        })
    }

    pub(super) fn version_message(&self) -> RegistryMessage {
        RegistryMessage::ConfigVersion {
            version: self.published_versions.0,
            is_confirmed: self.is_confirmed(),
        }
    }

    /// Publishes newly committed changes to the gateways.
    pub(super) fn publish(&mut self) {
        if let Some(replica) = &self.replica {
            let raft = &replica.raft;
            self.metrics.is_leader.set(i64::from(raft.role() == Role::Leader));
            self.metrics.voters.set(raft.members().voters.len() as i64);
            self.metrics.learners.set(raft.members().learners.len() as i64);
        }
        let Some(state) = self.known_state() else { return };
        let index = state.applied_index;
        let config = state.config.clone();
        let zones: Vec<Arc<str>> = state.evacuated.iter().cloned().collect();
        let versions = (state.version(), state.evacuated_index);
        if versions > self.published_versions {
            self.warm_start_save_due_ms
                .get_or_insert(self.now_ms() + targets::WARM_START_SAVE_DELAY_MS);
        }
        let mut is_changed = self.is_confirmed() != self.published_confirmed;
        self.published_confirmed = self.is_confirmed();
        if versions.0 > self.published_versions.0 {
            self.published_versions.0 = versions.0;
            self.recent_configs.extend(config);
            while self.recent_configs.len() > MAX_RECENT_CONFIGS {
                self.recent_configs.pop_front();
            }
            self.metrics.config_version.set(i64::try_from(versions.0).unwrap_or(i64::MAX));
            tracing::info!(event = "config_in_force", version = versions.0, index);
            is_changed = true;
        }
        if is_changed {
            self.gateways.send_latest(LatestMessage::ConfigVersion, &self.version_message());
        }
        if versions.1 > self.published_versions.1 {
            self.published_versions.1 = versions.1;
            tracing::info!(event = "zones_evacuated", zones = ?zones, index = versions.1);
            let message = RegistryMessage::EvacuatedZones { index: versions.1, zones };
            self.gateways.send_latest(LatestMessage::EvacuatedZones, &message);
        }
    }
}
