//! Metrics of an entry.

use std::sync::atomic::AtomicI64;

use mulberry_types::LengthClass;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Histogram bounds for time to first token; 0.79 s is the latency goal.
const FIRST_TOKEN_BUCKETS_S: [f64; 14] =
    [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.79, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0];

/// Label set with a single `name`, such as an error code.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NameLabel {
    pub name: &'static str,
}

/// Metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Finished requests by outcome: `ok`, `caller_gone` or the error code.
    pub requests: Family<NameLabel, Counter>,

    /// Time to first token by length class.
    pub first_token_s: Family<NameLabel, Histogram>,

    pub in_flight: Gauge,
    pub queued: Gauge,
    pub retries: Counter,
    pub resumed: Counter,

    /// Refused reservations by reason.
    pub refused: Family<NameLabel, Counter>,

    /// Chunks that did not belong to their request, and streams that ended before their end event.
    pub mismatched: Counter,

    /// Orders to cancel a stream or free an export that no reservation covers.
    pub cleanup_orders: Counter,

    /// Reservations that expired because the entry holding them did not extend them.
    pub expired_reservations: Gauge,

    pub reservations: Gauge,
    pub home_targets: Gauge,

    /// Targets of all homes that accept new work, by the digests known to this entry.
    pub ready_targets: Gauge,

    pub configuration_version: Gauge,
    pub membership_epoch: Gauge,
    pub lease_remaining_ms: Gauge<i64, AtomicI64>,
}

impl EntryMetrics {
    /// Creates all metrics and registers them.
    pub fn register(registry: &mut Registry) -> EntryMetrics {
        let metrics = EntryMetrics {
            requests: Family::default(),
            first_token_s: Family::new_with_constructor(|| Histogram::new(FIRST_TOKEN_BUCKETS_S)),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            refused: Family::default(),
            mismatched: Counter::default(),
            cleanup_orders: Counter::default(),
            expired_reservations: Gauge::default(),
            reservations: Gauge::default(),
            home_targets: Gauge::default(),
            ready_targets: Gauge::default(),
            configuration_version: Gauge::default(),
            membership_epoch: Gauge::default(),
            lease_remaining_ms: Gauge::default(),
        };
        metrics.register_requests(registry);
        metrics.register_home(registry);
        metrics
    }

    fn register_requests(&self, registry: &mut Registry) {
        registry.register(
            "mulberry_requests",
            "Finished requests by outcome",
            self.requests.clone(),
        );
        registry.register(
            "mulberry_first_token_seconds",
            "Time to first token by length class",
            self.first_token_s.clone(),
        );
        registry.register("mulberry_in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("mulberry_queued", "Requests waiting for a target", self.queued.clone());
        registry.register("mulberry_retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "mulberry_resumed",
            "Streams resumed on another engine",
            self.resumed.clone(),
        );
        registry.register(
            "mulberry_reserve_refused",
            "Refused reservations by reason",
            self.refused.clone(),
        );
        registry.register(
            "mulberry_mismatched",
            "Answers of engines that did not match their request",
            self.mismatched.clone(),
        );
    }

    fn register_home(&self, registry: &mut Registry) {
        registry.register(
            "mulberry_cleanup_orders",
            "Orders that ended what no reservation covers",
            self.cleanup_orders.clone(),
        );
        registry.register(
            "mulberry_expired_reservations",
            "Reservations that were not extended in time, since the start",
            self.expired_reservations.clone(),
        );
        registry.register(
            "mulberry_reservations",
            "Live reservations at this home",
            self.reservations.clone(),
        );
        registry.register(
            "mulberry_home_targets",
            "Targets that this entry is the home of",
            self.home_targets.clone(),
        );
        registry.register(
            "mulberry_ready_targets",
            "Targets of all homes that take new work",
            self.ready_targets.clone(),
        );
        registry.register(
            "mulberry_configuration_version",
            "Configuration version in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "mulberry_membership_epoch",
            "Newest applied membership epoch",
            self.membership_epoch.clone(),
        );
        registry.register(
            "mulberry_lease_remaining_ms",
            "Time until the lease ends without renewal",
            self.lease_remaining_ms.clone(),
        );
    }

    /// Records the time to first token, labelled by the length class of the prompt.
    pub fn record_first_token(&self, prompt_tokens: u64, first_token_ms: u64) {
        let label = NameLabel { name: LengthClass::of(prompt_tokens).name() };
        self.first_token_s.get_or_create(&label).observe(first_token_ms as f64 / 1_000.0);
    }

    /// Counts a finished request. `outcome` is `ok`, `caller_gone` or the error code.
    pub fn record_finished(&self, outcome: &'static str) {
        self.requests.get_or_create(&NameLabel { name: outcome }).inc();
    }
}
