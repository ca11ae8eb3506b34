//! Requests as the scheduler sees them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Part of the time to the aim within which the forecast of a request placed at ease lies. Prompts that come later may
/// displace it.
const EASE_SHARE: f64 = 0.4;

/// Identity of a request: the gateway that serves it, with its start, and a number of that gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    pub gateway: u64,
    pub number: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub service: Arc<str>,
    pub prompt_tokens: u64,

    /// Tokens of the answer at most.
    pub max_output_tokens: u64,

    /// Time until the first event within which the answer is on time, from now on.
    pub slo_left_ms: u64,

    /// Longest pause between two events that is still on time; 0 if there is no bound.
    pub max_event_gap_ms: u64,

    /// Time until the client gives up.
    pub time_left_ms: u64,

    /// Zone of the gateway.
    pub zone: Arc<str>,

    /// Engines that must not get the request, because they failed it or the gateway cannot reach them.
    pub excluded: Vec<Arc<str>>,
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Engine that receives the request, writes the answer and holds the prompt.
    pub engine: Arc<str>,

    /// Engines that read parts of the prompt.
    pub helpers: Vec<Helper>,

    /// Expected time until the first event.
    pub first_event_ms: u64,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    pub engine: Arc<str>,

    /// Memory that it lends to the prompt, in tokens; 0 for none.
    pub lent_tokens: u64,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    Placed(Placement),

    Refused(Refusal),

    /// No engine of the service can be used at all.
    NoEngine,
}

impl Decision {
    /// Whether a request is placed so that its first event should come well on time.
    pub fn has_slo_margin(&self, spec: &JobSpec) -> bool {
        let bound_ms = spec.slo_left_ms as f64 * EASE_SHARE;
        self.first_event_ms().is_some_and(|at_ms| at_ms as f64 <= bound_ms)
    }

    pub fn is_placed(&self) -> bool {
        matches!(self, Decision::Placed(_))
    }

    /// Whether it serves a request, and sooner than another decision does.
    pub fn is_sooner_than(&self, other: &Decision) -> bool {
        match (self.first_event_ms(), other.first_event_ms()) {
            (Some(own_ms), Some(other_ms)) => own_ms < other_ms,
            (own_ms, _) => own_ms.is_some(),
        }
    }

    fn first_event_ms(&self) -> Option<u64> {
        match self {
            Decision::Placed(placement) => Some(placement.first_event_ms),
            Decision::Refused(_) | Decision::NoEngine => None,
        }
    }
}

/// Why a request is not placed, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub cause: RefusalCause,
    pub retry_after_ms: u64,

    /// Forecast of the first event; 0 when there is no engine for one.
    pub forecast_ms: u64,

    /// Part of the engines that have been reading lately, in percent.
    pub prefill_load_percent: u8,
}

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No engine that could be used has room for it.
    NoRoom,

    /// The first event would come after the caller has left.
    TooLate,

    /// It would make others late that are worth more.
    TooCostly,
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalCause::NoRoom => "no engine has room",
            RefusalCause::TooLate => "an answer in time is out of reach",
            RefusalCause::TooCostly => "the engines are busy with other requests",
        })
    }
}

/// A placed request, told to a scheduler that does not know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveJob {
    pub number: u64,
    pub spec: JobSpec,
    pub engine: Arc<str>,
    pub helpers: Vec<Helper>,

    /// Whether the first event has come.
    pub is_decoding: bool,
}

/// How a request ended at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered, or left by its client.
    Done,

    /// The engine said that it did not run the request.
    Rejected,

    /// The connection broke off. The engine may be well: all connections of a machine may break at once.
    Disconnected,

    /// The engine failed, could not be reached or broke off.
    Failed,
}
