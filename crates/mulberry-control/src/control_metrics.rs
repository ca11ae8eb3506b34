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

type Level = Gauge<i64, AtomicI64>;
type Count = Counter<u64, AtomicU64>;

/// Metrics that the replica thread keeps.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// 0 follower, 1 pre-candidate, 2 candidate, 3 leader.
    pub role: Level,
    pub term: Level,
    pub commit_index: Level,
    pub applied_index: Level,
    pub snapshot_index: Level,
    pub log_bytes: Count,
    pub syncs: Count,
    pub sync_seconds: Histogram,
    pub snapshots: Count,
    pub proposals: Count,
    pub changes_accepted: Count,
    pub changes_rejected: Count,
    pub renewals_granted: Count,
    pub confirmation_rounds: Count,
    pub members_expired: Count,
    pub leases: Level,
    pub epoch: Level,
    pub settled_epoch: Level,
    pub version: Level,
    pub connections: Level,
    pub pushes: Count,
    pub peers_connected: Level,
    pub messages_dropped: Level,
    pub misdirected_messages: Count,
    pub inputs_refused: Count,
    pub disk_failed: Level,

    /// Milliseconds since this instance led or last heard from a leader.
    pub leader_contact_age_ms: Level,
}

impl Default for ControlMetrics {
    fn default() -> ControlMetrics {
        ControlMetrics {
            role: Level::default(),
            term: Level::default(),
            commit_index: Level::default(),
            applied_index: Level::default(),
            snapshot_index: Level::default(),
            log_bytes: Count::default(),
            syncs: Count::default(),
            sync_seconds: Histogram::new(exponential_buckets(0.000_1, 2.0, 16)),
            snapshots: Count::default(),
            proposals: Count::default(),
            changes_accepted: Count::default(),
            changes_rejected: Count::default(),
            renewals_granted: Count::default(),
            confirmation_rounds: Count::default(),
            members_expired: Count::default(),
            leases: Level::default(),
            epoch: Level::default(),
            settled_epoch: Level::default(),
            version: Level::default(),
            connections: Level::default(),
            pushes: Count::default(),
            peers_connected: Level::default(),
            messages_dropped: Level::default(),
            misdirected_messages: Count::default(),
            inputs_refused: Count::default(),
            disk_failed: Level::default(),
            leader_contact_age_ms: Level::default(),
        }
    }
}

impl ControlMetrics {
    /// Registers all metrics, and the counters of the peer port and the peer links.
    pub fn register(&self, registry: &mut Registry, stats: &Arc<PeerStats>) {
        let registry = registry.sub_registry_with_prefix("mulberry_control");
        let mut gauge = |name: &str, help: &str, gauge: &Level| {
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
        gauge("disk_failed", "1 after a failed write, until the restart", &self.disk_failed);
        gauge(
            "leader_contact_age_ms",
            "Milliseconds since this instance led or heard from a leader",
            &self.leader_contact_age_ms,
        );
        let mut counter = |name: &str, help: &str, counter: &Count| {
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

/// Reads the counters of the transport when metrics are asked for.
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
