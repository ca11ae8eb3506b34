//! Settings of the scheduler.

use crate::PlacementPolicy;

/// Settings of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// How engines are selected.
    pub policy: PlacementPolicy,

    /// Maximum number of helpers for one prompt; a limit of the engines' protocol.
    pub max_helpers: usize,

    /// Minimum prefill time of a part, in milliseconds. With shorter parts, waiting for the current iteration of a
    /// helper takes longer than the helper saves.
    pub min_prefill_part_ms: f64,

    /// Factor on the price of engine time; 0 if engine time is free.
    pub engine_time_price: f64,

    /// Requests placed on one engine at a time, as a fraction of its slots; the rest is reserved for requests already
    /// in transit.
    pub slot_share: f64,

    /// Fraction of an engine's memory that is allocated; the rest covers outputs longer than announced.
    pub memory_share: f64,

    /// Requests sent to a cold engine within [`SchedulerSettings::start_window_ms`], as a fraction of the published
    /// limit.
    pub cold_share: f64,

    /// Like [`SchedulerSettings::cold_share`], for an engine that is not known to be cold.
    pub warm_share: f64,

    /// Gateways among which the allowed requests are divided, by their ranks at each engine; 0 if this scheduler may
    /// use all of them.
    pub sharing_gateways: u32,

    /// Window of the cold-start rate limit, in milliseconds.
    pub start_window_ms: u64,

    /// Time for which an engine gets no new requests after a failure, in milliseconds; doubled with each further
    /// failure.
    pub first_suspension_ms: u64,

    /// Upper limit of the suspension time, in milliseconds.
    pub max_suspension_ms: u64,

    /// Minimum retry delay given in a refusal, in milliseconds.
    pub min_retry_after_ms: u64,

    /// Maximum retry delay given in a refusal, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for SchedulerSettings {
    fn default() -> SchedulerSettings {
        SchedulerSettings {
            policy: PlacementPolicy::default(),
            max_helpers: 16,
            min_prefill_part_ms: 20.0,
            engine_time_price: 1.0,
            slot_share: 1.0,
            memory_share: 0.95,
            cold_share: 0.8,
            warm_share: 0.8,
            sharing_gateways: 0,
            start_window_ms: 1_000,
            first_suspension_ms: 250,
            max_suspension_ms: 4_000,
            min_retry_after_ms: 100,
            max_retry_after_ms: 3_000,
        }
    }
}
