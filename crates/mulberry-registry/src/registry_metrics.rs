//! Metrics of a registry.

use mulberry_telemetry::log_lines_left_out;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::gateway_links::LinkLoad;

/// Labels of a request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub call: &'static str,
    pub status: u16,
}

/// Label of a counter of sent bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SentBytesLabels {
    pub kind: &'static str,
}

/// Metrics of a registry.
#[derive(Debug, Clone)]
pub(crate) struct RegistryMetrics {
    pub requests: Family<RequestLabels, Counter>,
    pub sync_seconds: Histogram,
    pub disk_failures: Counter,
    pub is_leader: Gauge,
    pub is_member: Gauge,
    pub voters: Gauge,
    pub learners: Gauge,
    pub config_version: Gauge,
    pub targets: Gauge,
    pub gateways: Gauge,
    pub sent_bytes: Family<SentBytesLabels, Counter>,
    pub catching_up_gateways: Gauge,
    pub waiting_gateways: Gauge,
    pub crashed_requests: Counter,
    pub quarantined_parts: Gauge,
}

impl Default for RegistryMetrics {
    fn default() -> RegistryMetrics {
        RegistryMetrics {
            requests: Family::default(),
            sync_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            disk_failures: Counter::default(),
            is_leader: Gauge::default(),
            is_member: Gauge::default(),
            voters: Gauge::default(),
            learners: Gauge::default(),
            config_version: Gauge::default(),
            targets: Gauge::default(),
            gateways: Gauge::default(),
            sent_bytes: Family::default(),
            catching_up_gateways: Gauge::default(),
            waiting_gateways: Gauge::default(),
            crashed_requests: Counter::default(),
            quarantined_parts: Gauge::default(),
        }
    }
}

impl RegistryMetrics {
    pub(crate) fn set_link_load(&self, load: LinkLoad) {
        self.catching_up_gateways.set(load.catching_up as i64);
        self.waiting_gateways.set(load.waiting as i64);
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let r = registry;
        r.register(
            "mulberry_registry_calls",
            "Calls of operators and targets",
            self.requests.clone(),
        );
        r.register(
            "mulberry_registry_crashed_requests",
            "Reported requests that were waiting at an engine that crashed",
            self.crashed_requests.clone(),
        );
        r.register(
            "mulberry_registry_quarantined_parts",
            "Parts of prompts that crash engines; requests with them are refused",
            self.quarantined_parts.clone(),
        );
        r.register(
            "mulberry_registry_sync_seconds",
            "Time of a write with its sync",
            self.sync_seconds.clone(),
        );
        r.register(
            "mulberry_registry_disk_failures",
            "Failures of the data folder",
            self.disk_failures.clone(),
        );
        r.register("mulberry_registry_is_leader", "1 on the leader", self.is_leader.clone());
        r.register(
            "mulberry_registry_is_member",
            "1 on a member of the group, 0 where no leader has admitted the registry",
            self.is_member.clone(),
        );
        r.register("mulberry_registry_voters", "Voters of the group", self.voters.clone());
        r.register("mulberry_registry_learners", "Learners of the group", self.learners.clone());
        r.register(
            "mulberry_registry_config_version",
            "Version of the configuration",
            self.config_version.clone(),
        );
        r.register("mulberry_registry_targets", "Targets that have not left", self.targets.clone());
        r.register("mulberry_registry_gateways", "Gateways linked", self.gateways.clone());
        r.register(
            "mulberry_registry_sent_bytes",
            "Bytes of messages to gateways and other registries, by kind",
            self.sent_bytes.clone(),
        );
        r.register(
            "mulberry_registry_catching_up_gateways",
            "Gateways that are far behind the changes of targets and are getting them",
            self.catching_up_gateways.clone(),
        );
        r.register(
            "mulberry_registry_waiting_gateways",
            "Gateways that are far behind the changes of targets and wait for their turn",
            self.waiting_gateways.clone(),
        );
        r.register(
            "mulberry_log_lines_left_out",
            "Lines of the log that were left out",
            log_lines_left_out().clone(),
        );
    }
}
