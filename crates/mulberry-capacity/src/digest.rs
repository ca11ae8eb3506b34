//! What gateways tell the home of a service, and what it returns to them.
//!
//! Counts in a digest are totals since the start of the gateway, so that a lost or repeated datagram changes nothing.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum number of targets in a digest or view. A service with more targets is not learned.
pub const MAX_TARGETS: usize = 200;

/// What one gateway has seen of the targets of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    pub service: Arc<str>,

    /// Incarnation of the gateway.
    pub gateway: u64,

    /// Increases with each digest of this incarnation.
    pub sequence: u32,

    /// Targets that have requests in flight, or whose counts have changed lately.
    pub targets: Vec<TargetLoad>,
}

/// What one gateway has seen of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    pub target: Arc<str>,
    pub in_flight: u32,

    /// Requests that the target did not run because it was full.
    pub refused: u32,

    /// Requests that failed at the target.
    pub failed: u32,

    /// Route and age of the oldest request in flight.
    pub oldest: Option<(u32, u32)>,

    /// Times of the served requests by route.
    pub served: Vec<RouteTimes>,
}

/// Times of the requests of one route that a target has served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTimes {
    /// Hash of the route's name.
    pub route: u32,

    pub count: u32,

    /// Sum of the natural logarithms of the times in milliseconds, in thousandths. A sum of logarithms gives a single
    /// very long time little weight.
    pub log_sum: u64,
}

/// What the home of a service knows about its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityView {
    pub service: Arc<str>,

    /// Incarnation of the home.
    pub home: u64,

    /// Increases with each view of this home.
    pub sequence: u32,

    pub routes: Vec<RouteReference>,
    pub targets: Vec<TargetCapacity>,
}

/// Usual time of the requests of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReference {
    pub route: u32,

    /// Time at a target with a slowness of 100 %.
    pub usual_us: u32,
}

/// What the home knows about one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCapacity {
    pub target: Arc<str>,

    /// Requests of all gateways in flight, smoothed, in tenths.
    pub load_tenths: u32,

    /// Requests that it takes at once before its time per request rises, in tenths; at least 10.
    pub limit_tenths: u32,

    /// Time per request as a percentage of the usual one of its route.
    pub slowness_percent: u32,

    /// Percentage of requests that fail at it beyond the usual.
    pub failure_percent: u32,

    /// Share of the requests of the service, in thousandths, that try this target although others are expected to be
    /// faster.
    pub trial_permille: u32,
}

impl TargetCapacity {
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.load_tenths) / 10.0
    }

    pub(crate) fn limit(&self) -> f64 {
        f64::from(self.limit_tenths.max(10)) / 10.0
    }

    pub(crate) fn slowness(&self) -> f64 {
        f64::from(self.slowness_percent.max(1)) / 100.0
    }
}
