//! Metrics of a control instance.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use mulberry_peers::{FrameRejectReason, PeerStats};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type IntGauge = Gauge<i64, AtomicI64>;
type IntCounter = Counter<u64, AtomicU64>;

/// Metrics updated by the replica thread.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// 0 follower, 1 pre-candidate, 2 candidate, 3 leader.
    pub role: IntGauge,
    pub term: IntGauge,
    pub commit_index: IntGauge,
    pub applied_index: IntGauge,
    pub snapshot_index: IntGauge,
    pub log_bytes: IntCounter,
    pub syncs: IntCounter,
    pub sync_seconds: Histogram,
    pub snapshots: IntCounter,
    pub proposals: IntCounter,
    pub changes_accepted: IntCounter,
    pub changes_rejected: IntCounter,
    pub renewals_granted: IntCounter,
    pub confirmation_rounds: IntCounter,
    pub members_expired: IntCounter,
    pub leases: IntGauge,
    pub epoch: IntGauge,
    pub settled_epoch: IntGauge,
    pub version: IntGauge,
    pub connections: IntGauge,
    pub pushes: IntCounter,
    pub peers_connected: IntGauge,
    pub messages_dropped: IntGauge,
    pub misdirected_messages: IntCounter,
    pub inputs_refused: IntCounter,
    pub disk_failed: IntGauge,

    /// Milliseconds since this instance last led or knew a leader.
    pub leader_contact_age_ms: IntGauge,
}

impl Default for ControlMetrics {
    fn default() -> ControlMetrics {
        ControlMetrics {
            role: IntGauge::default(),
            term: IntGauge::default(),
            commit_index: IntGauge::default(),
            applied_index: IntGauge::default(),
            snapshot_index: IntGauge::default(),
            log_bytes: IntCounter::default(),
            syncs: IntCounter::default(),
            sync_seconds: Histogram::new(exponential_buckets(0.000_1, 2.0, 16)),
            snapshots: IntCounter::default(),
            proposals: IntCounter::default(),
            changes_accepted: IntCounter::default(),
            changes_rejected: IntCounter::default(),
            renewals_granted: IntCounter::default(),
            confirmation_rounds: IntCounter::default(),
            members_expired: IntCounter::default(),
            leases: IntGauge::default(),
            epoch: IntGauge::default(),
            settled_epoch: IntGauge::default(),
            version: IntGauge::default(),
            connections: IntGauge::default(),
            pushes: IntCounter::default(),
            peers_connected: IntGauge::default(),
            messages_dropped: IntGauge::default(),
            misdirected_messages: IntCounter::default(),
            inputs_refused: IntCounter::default(),
            disk_failed: IntGauge::default(),
            leader_contact_age_ms: IntGauge::default(),
        }
    }
}

impl ControlMetrics {
    /// Registers all metrics, including the counters of the peer port and the peer links.
    pub fn register(&self, registry: &mut Registry, stats: &Arc<PeerStats>) {
        let registry = registry.sub_registry_with_prefix("mulberry_control");
        let mut gauge = |name: &str, help: &str, gauge: &IntGauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("role", "0 follower, 1 pre-candidate, 2 candidate, 3 leader", &self.role);
        gauge("term", "Term of the replica", &self.term);
        gauge("commit_index", "Last committed log index", &self.commit_index);
        gauge("applied_index", "Last applied log index", &self.applied_index);
        gauge("snapshot_index", "Log index of the newest snapshot", &self.snapshot_index);
        gauge("leases", "Members with a valid lease, on the leader", &self.leases);
        gauge("epoch", "Membership epoch", &self.epoch);
        gauge("settled_epoch", "Newest epoch applied by all, on the leader", &self.settled_epoch);
        gauge("version", "Version of the configuration", &self.version);
        gauge("entry_connections", "Connections that get pushes", &self.connections);
        gauge("peers_connected", "Links to control instances that are up", &self.peers_connected);
        gauge(
            "link_messages_dropped",
            "Raft messages dropped by full or dead links",
            &self.messages_dropped,
        );
        gauge(
            "disk_failed",
            "1 after a failed write, until the data folder is open again",
            &self.disk_failed,
        );
        gauge(
            "leader_contact_age_ms",
            "Milliseconds since this instance led or heard from a leader",
            &self.leader_contact_age_ms,
        );
        let mut counter = |name: &str, help: &str, counter: &IntCounter| {
            registry.register(name, help, counter.clone());
        };
        counter("log_bytes", "Bytes of commands written to the log", &self.log_bytes);
        counter("syncs", "Synced writes of the data folder", &self.syncs);
        counter("snapshots", "Snapshots written", &self.snapshots);
        counter("proposals", "Commands proposed", &self.proposals);
        counter("changes_accepted", "Changes accepted", &self.changes_accepted);
        counter("changes_rejected", "Changes rejected", &self.changes_rejected);
        counter("renewals_granted", "Renewals answered with a lease", &self.renewals_granted);
        counter("confirmation_rounds", "Leadership confirmations", &self.confirmation_rounds);
        counter("members_expired", "Members removed after their lease", &self.members_expired);
        counter("pushes", "Updates pushed to entries", &self.pushes);
        counter(
            "misdirected_messages",
            "Raft messages meant for another member id",
            &self.misdirected_messages,
        );
        counter(
            "inputs_refused",
            "Requests refused because the queue was full",
            &self.inputs_refused,
        );
        registry.register("sync_seconds", "Time of a synced write", self.sync_seconds.clone());
        registry.register_collector(Box::new(PeerCollector { stats: stats.clone() }));
    }
}

/// Reads the transport counters on each scrape.
struct PeerCollector {
    stats: Arc<PeerStats>,
}

impl fmt::Debug for PeerCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerCollector")
    }
}

impl Collector for PeerCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let stats = &self.stats;
        let counts = [
            ("peer_bytes_in", "Bytes received on the peer port and links", &stats.bytes_in),
            ("peer_bytes_out", "Bytes sent on the peer port and links", &stats.bytes_out),
            ("peer_frames_in", "Frames received", &stats.frames_in),
            ("peer_frames_out", "Frames sent", &stats.frames_out),
            ("peer_reconnects", "Connections of links after the first", &stats.reconnects),
            ("peer_queue_overflows", "Messages refused by a full queue", &stats.queue_overflows),
        ];
        for (name, help, count) in counts {
            let counter = ConstCounter::new(count.load(Ordering::Relaxed));
            let encoder = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
            counter.encode(encoder)?;
        }
        let mut rejected = encoder.encode_descriptor(
            "peer_frames_rejected",
            "Frames and connections rejected",
            None,
            MetricType::Counter,
        )?;
        for reason in FrameRejectReason::ALL {
            let counter = ConstCounter::new(stats.rejected(reason));
            counter.encode(rejected.encode_family(&[("reason", reason.name())])?)?;
        }
        Ok(())
    }
}
