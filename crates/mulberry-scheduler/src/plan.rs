//! Possible placements of a request and their costs.

use std::collections::HashMap;
use std::sync::Arc;

use crate::engine_state::{EngineState, ValueByEventGap};
use crate::tracked_job::TrackedJob;
use crate::{Helper, JobId, JobSpec, SchedulerSettings};

/// An engine as a candidate for one request.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub engine: &'a EngineState,
    pub iteration_ms: f64,
    pub backlog_ms: f64,

    /// Value of the requests held there.
    pub value_by_event_gap: ValueByEventGap,

    /// Whether it may be the primary engine, which decodes the request.
    pub may_decode: bool,

    /// Free KV cache memory.
    pub free_tokens: u64,

    /// Cost of adding the request to those that the engine already holds.
    pub hold_cost: f64,

    /// Whether a short request placed there starts at once.
    pub is_free: bool,
}

/// What the plans for one request are computed from.
#[derive(Debug)]
pub(crate) struct PlanInput<'a> {
    pub now_ms: u64,
    pub spec: &'a JobSpec,
    pub candidates: &'a [Candidate<'a>],
    pub jobs: &'a HashMap<JobId, TrackedJob>,

    /// Price of a millisecond of engine time.
    pub price_per_ms: f64,

    pub settings: &'a SchedulerSettings,
}

/// A possible placement of a request.
#[derive(Debug)]
pub(crate) struct Plan {
    pub primary: Arc<str>,
    pub helpers: Vec<Helper>,
    pub first_event_ms: f64,
    pub cost: PlanCost,
}

/// Expected cost of a placement by cause, in the unit of request values.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PlanCost {
    /// Loss of the request itself by a late start or long event gaps.
    pub own_loss: f64,

    /// Wait until the first event, also if it is in time.
    pub wait: f64,

    /// Loss of the requests that the engines already have.
    pub interference: f64,

    /// Memory borrowed from other engines.
    pub borrowing: f64,

    pub helpers: f64,

    /// Engine time that other recent requests need as well.
    pub engine_time: f64,

    /// Loss of short requests that are expected to arrive during the prefill.
    pub arrivals: f64,

    /// Choice of engine, such as packing and zone. It steers placement and must not lead to a refusal.
    pub packing: f64,
}

impl PlanCost {
    pub(crate) fn total(&self) -> f64 {
        self.without_packing() + self.packing
    }

    /// The cost that decides whether the request is refused.
    pub(crate) fn without_packing(&self) -> f64 {
        let PlanCost {
            own_loss,
            wait,
            interference,
            borrowing,
            helpers,
            engine_time,
            arrivals,
            ..
        } = self;
        own_loss + wait + interference + borrowing + helpers + engine_time + arrivals
    }
}
