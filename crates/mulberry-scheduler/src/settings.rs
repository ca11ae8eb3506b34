//! Settings of the scheduler.

use crate::PlacementPolicy;

/// Settings of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// How engines are chosen.
    pub policy: PlacementPolicy,

    /// Engines beside the first that may read one prompt; the limit of the engines' own protocol.
    pub max_helpers: usize,

    /// Least reading time that is worth a further engine, in milliseconds. Below it the pass that the helper is in
    /// takes longer than what it saves.
    pub min_prefill_part_ms: f64,

    /// Requests that one engine may write at a time, as a share of its slots; the rest is room for requests that are
    /// already on their way.
    pub slot_share: f64,

    /// Part of an engine's memory that is given out; the rest covers answers that get longer than announced.
    pub memory_share: f64,

    /// Requests that one engine gets within [`SchedulerSettings::start_window_ms`] while it is cold, as a part of the
    /// published limit.
    pub cold_share: f64,

    /// The same for an engine that is not known to be cold.
    pub warm_share: f64,

    /// Gateways among which these parts are divided in whole requests, by their ranks at each engine; 0 when one
    /// scheduler has all of them.
    pub sharing_gateways: u32,

    /// Window of the limit for cold engines, in milliseconds.
    pub start_window_ms: u64,

    /// Time for which an engine gets nothing new after a failure, in milliseconds; doubled with each further one.
    pub first_suspension_ms: u64,

    /// Longest such time.
    pub max_suspension_ms: u64,

    /// Shortest time to come back that a refusal names, in milliseconds.
    pub min_retry_after_ms: u64,

    /// Longest time to come back that a refusal names, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for SchedulerSettings {
    fn default() -> SchedulerSettings {
        SchedulerSettings {
            policy: PlacementPolicy::default(),
            max_helpers: 16,
            min_prefill_part_ms: 20.0,
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
