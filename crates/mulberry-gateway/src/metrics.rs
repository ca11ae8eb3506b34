//! Metrics of a gateway.

use std::sync::atomic::AtomicU64;

use mulberry_capacity::CapacityView;
use mulberry_telemetry::log_lines_left_out;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::share_metrics::ShareMetrics;

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub kind: &'static str,
    pub outcome: &'static str,
}

/// Labels of an attempt at a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    pub outcome: &'static str,
}

/// Labels of a request that is passed on to another gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PassedLabels {
    pub outcome: &'static str,
}

/// Labels of a placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PlacementLabels {
    pub decided_by: &'static str,
    pub decision: &'static str,
}

/// Labels of what happens to turns of refused requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TurnLabels {
    pub step: &'static str,
}

/// Labels of the time to the first event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LengthLabels {
    pub prompt: &'static str,
}

/// Labels of metrics by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub service: String,
}

/// Labels of the bytes that are held.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct HeldLabels {
    pub reason: &'static str,
}

/// Labels of streams that were ended because of their callers' pace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    pub reason: &'static str,
}

/// Labels of metrics by target of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CapacityLabels {
    pub service: String,
    pub target: String,
}

/// Labels of a choice of a target by its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ChoiceLabels {
    pub choice: &'static str,
}

type CapacityFamily = Family<CapacityLabels, Gauge<f64, AtomicU64>>;

/// Metrics of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct GatewayMetrics {
    pub requests: Family<RequestLabels, Counter>,
    pub attempts: Family<AttemptLabels, Counter>,
    pub placements: Family<PlacementLabels, Counter>,
    pub turns: Gauge,
    pub turn_steps: Family<TurnLabels, Counter>,
    pub first_event_seconds: Family<LengthLabels, Histogram>,
    pub request_seconds: Histogram,
    pub placement_seconds: Histogram,
    pub active_requests: Gauge,
    pub connections: Gauge,
    pub target_connections: Counter,
    pub links: Gauge,
    pub config_version: Gauge,
    pub usable_targets: Gauge,
    pub config_age_seconds: Gauge<f64, AtomicU64>,
    pub retry_budget_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    pub lost_services: Gauge,
    pub passed_requests: Family<PassedLabels, Counter>,
    pub crashed_requests: Counter,
    pub quarantined_parts: Gauge,
    pub quarantine_refusals: Counter,
    pub held_bytes: Family<HeldLabels, Gauge>,
    pub paused_streams: Counter,
    pub ended_streams: Family<EndLabels, Counter>,
    pub capacity_choices: Family<ChoiceLabels, Counter>,
    capacity_limit: CapacityFamily,
    capacity_load: CapacityFamily,
    capacity_slowness: CapacityFamily,
    capacity_trial_share: CapacityFamily,
    pub shares: ShareMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> GatewayMetrics {
        let seconds = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        GatewayMetrics {
            requests: Family::default(),
            attempts: Family::default(),
            placements: Family::default(),
            turns: Gauge::default(),
            turn_steps: Family::default(),
            first_event_seconds: Family::new_with_constructor(seconds),
            request_seconds: seconds(),
            placement_seconds: Histogram::new(exponential_buckets(0.0005, 2.0, 10)),
            active_requests: Gauge::default(),
            connections: Gauge::default(),
            target_connections: Counter::default(),
            links: Gauge::default(),
            config_version: Gauge::default(),
            usable_targets: Gauge::default(),
            config_age_seconds: Gauge::default(),
            retry_budget_left: Family::default(),
            lost_services: Gauge::default(),
            passed_requests: Family::default(),
            crashed_requests: Counter::default(),
            quarantined_parts: Gauge::default(),
            quarantine_refusals: Counter::default(),
            held_bytes: Family::default(),
            paused_streams: Counter::default(),
            ended_streams: Family::default(),
            capacity_choices: Family::default(),
            capacity_limit: Family::default(),
            capacity_load: Family::default(),
            capacity_slowness: Family::default(),
            capacity_trial_share: Family::default(),
            shares: ShareMetrics::default(),
        }
    }
}

impl GatewayMetrics {
    pub(crate) fn register(&self, r: &mut Registry) {
        r.register("mulberry_gateway_requests", "Requests of callers", self.requests.clone());
        r.register("mulberry_gateway_attempts", "Sends to targets", self.attempts.clone());
        r.register("mulberry_gateway_placements", "Placements", self.placements.clone());
        r.register(
            "mulberry_gateway_turns",
            "Turns that this gateway keeps for refused requests as a home",
            self.turns.clone(),
        );
        r.register(
            "mulberry_gateway_turn_steps",
            "What happened to turns of refused requests",
            self.turn_steps.clone(),
        );
        r.register(
            "mulberry_gateway_first_event_seconds",
            "Time to the first event of a stream",
            self.first_event_seconds.clone(),
        );
        r.register(
            "mulberry_gateway_request_seconds",
            "Time of a request",
            self.request_seconds.clone(),
        );
        r.register(
            "mulberry_gateway_placement_seconds",
            "Time to learn where a request runs",
            self.placement_seconds.clone(),
        );
        r.register(
            "mulberry_gateway_active_requests",
            "Requests that are served",
            self.active_requests.clone(),
        );
        r.register("mulberry_gateway_connections", "Callers connected", self.connections.clone());
        r.register(
            "mulberry_gateway_target_connections",
            "Connections made to targets",
            self.target_connections.clone(),
        );
        r.register("mulberry_gateway_links", "Registries linked", self.links.clone());
        r.register(
            "mulberry_gateway_config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "mulberry_gateway_usable_targets",
            "Targets that may get requests",
            self.usable_targets.clone(),
        );
        r.register(
            "mulberry_gateway_config_age_seconds",
            "Time since the configuration came into force here",
            self.config_age_seconds.clone(),
        );
        r.register(
            "mulberry_gateway_retry_budget_left",
            "Further sends that this gateway may make now",
            self.retry_budget_left.clone(),
        );
        r.register(
            "mulberry_gateway_lost_services",
            "Services of which this gateway reaches no target",
            self.lost_services.clone(),
        );
        r.register(
            "mulberry_gateway_passed_requests",
            "Requests that were passed on to another gateway",
            self.passed_requests.clone(),
        );
        r.register(
            "mulberry_gateway_crashed_requests",
            "Requests that were waiting at an engine that crashed",
            self.crashed_requests.clone(),
        );
        r.register(
            "mulberry_gateway_quarantined_parts",
            "Parts of prompts that crash engines; requests with them are refused",
            self.quarantined_parts.clone(),
        );
        r.register(
            "mulberry_gateway_quarantine_refusals",
            "Requests that were refused because of a part of their prompts",
            self.quarantine_refusals.clone(),
        );
        self.shares.register(r);
        r.register(
            "mulberry_gateway_held_bytes",
            "Bytes held for callers and targets that read slowly",
            self.held_bytes.clone(),
        );
        r.register(
            "mulberry_gateway_paused_streams",
            "Times that a target was not read because its caller was behind",
            self.paused_streams.clone(),
        );
        r.register(
            "mulberry_gateway_ended_streams",
            "Streams that were ended because their callers read slowly",
            self.ended_streams.clone(),
        );
        r.register(
            "mulberry_log_lines_left_out",
            "Lines of the log that were left out",
            log_lines_left_out().clone(),
        );
    }

    /// Registers what exists only while the capacity of targets is learned.
    pub(crate) fn register_capacity(&self, r: &mut Registry) {
        r.register(
            "mulberry_gateway_capacity_choices",
            "Choices of a target by its capacity",
            self.capacity_choices.clone(),
        );
        r.register(
            "mulberry_gateway_capacity_limit",
            "Requests that a target takes at once before its time per request rises",
            self.capacity_limit.clone(),
        );
        r.register(
            "mulberry_gateway_capacity_load",
            "Requests of all gateways at a target",
            self.capacity_load.clone(),
        );
        r.register(
            "mulberry_gateway_capacity_slowness",
            "Time per request of a target, relative to the usual one",
            self.capacity_slowness.clone(),
        );
        r.register(
            "mulberry_gateway_capacity_trial_share",
            "Share of requests that try a target from which gateways turn away",
            self.capacity_trial_share.clone(),
        );
    }

    /// Sets the gauges of a service's targets.
    pub(crate) fn set_capacity(&self, view: &CapacityView) {
        for target in &view.targets {
            let labels = CapacityLabels {
                service: view.service.to_string(),
                target: target.target.to_string(),
            };
            let set = |family: &CapacityFamily, value: f64| {
                family.get_or_create(&labels).set(value);
            };
            set(&self.capacity_limit, f64::from(target.limit_tenths) / 10.0);
            set(&self.capacity_load, f64::from(target.load_tenths) / 10.0);
            set(&self.capacity_slowness, f64::from(target.slowness_percent) / 100.0);
            set(&self.capacity_trial_share, f64::from(target.trial_permille) / 1_000.0);
        }
    }

    /// Removes the gauges of a target that has left.
    pub(crate) fn remove_capacity(&self, service: &str, target: &str) {
        let labels = CapacityLabels { service: service.to_owned(), target: target.to_owned() };
        for family in [
            &self.capacity_limit,
            &self.capacity_load,
            &self.capacity_slowness,
            &self.capacity_trial_share,
        ] {
            family.remove(&labels);
        }
    }
}

/// Returns the length class of a prompt.
pub(crate) fn prompt_class(tokens: u64) -> &'static str {
    match tokens {
        0..2_000 => "up_to_2k",
        2_000..16_000 => "2k_to_16k",
        16_000..128_000 => "16k_to_128k",
        _ => "over_128k",
    }
}
