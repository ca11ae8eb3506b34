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

    /// Factors on the terms of a placement's cost.
    pub cost_factors: CostFactors,

    /// Whether requests are refused if they would cost others more than they are worth.
    pub refuses_costly: bool,

    /// Whether requests are refused if their callers would give up before the first event.
    pub refuses_late: bool,

    /// Whether a request may borrow memory from several engines.
    pub borrows_memory: bool,

    /// Maximum forecast of the first event of a request that borrows memory, in milliseconds. The lenders' memory is
    /// unused until the request runs, and an engine that hangs is noticed only some time after the forecast.
    pub max_borrowing_wait_ms: f64,

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

    /// Whether a refused request gets a turn: a time at which room is kept for it.
    pub keeps_turns: bool,

    /// Minimum retry delay given in a refusal, in milliseconds.
    pub min_retry_after_ms: u64,

    /// Maximum retry delay given in a refusal, in milliseconds.
    pub max_retry_after_ms: u64,
}

/// Factors on the terms of a placement's cost. A factor of 0 ignores the term; meant for measuring what each is worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostFactors {
    /// Each helper engine.
    pub helper: f64,

    /// An engine without similar requests.
    pub unpacked: f64,

    /// An engine with many requests.
    pub crowding: f64,

    /// Each prompt part queued at the engine.
    pub queued_part: f64,

    /// An engine in another zone.
    pub cross_zone: f64,

    /// Wait until the first event.
    pub wait: f64,

    /// Risk of long event gaps because of the engine's backlog.
    pub gap_risk: f64,

    /// Stall of requests that decode on the engine.
    pub stall: f64,

    /// Delay of prompts that the engine prefills.
    pub delay: f64,

    /// Expected arrivals that would find no free engine.
    pub arrivals: f64,

    /// Price of engine time.
    pub engine_time: f64,
}

impl Default for CostFactors {
    fn default() -> CostFactors {
        CostFactors {
            helper: 1.0,
            unpacked: 1.0,
            crowding: 1.0,
            queued_part: 1.0,
            cross_zone: 1.0,
            wait: 1.0,
            gap_risk: 1.0,
            stall: 1.0,
            delay: 1.0,
            arrivals: 1.0,
            engine_time: 1.0,
        }
    }
}

impl Default for SchedulerSettings {
    fn default() -> SchedulerSettings {
        SchedulerSettings {
            policy: PlacementPolicy::default(),
            max_helpers: 16,
            min_prefill_part_ms: 20.0,
            cost_factors: CostFactors::default(),
            refuses_costly: true,
            refuses_late: true,
            borrows_memory: true,
            max_borrowing_wait_ms: f64::INFINITY,
            slot_share: 1.0,
            memory_share: 0.95,
            cold_share: 0.8,
            warm_share: 0.8,
            sharing_gateways: 0,
            start_window_ms: 1_000,
            first_suspension_ms: 250,
            max_suspension_ms: 4_000,
            keeps_turns: false,
            min_retry_after_ms: 100,
            max_retry_after_ms: 3_000,
        }
    }
}
