//! Requests as the scheduler sees them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ShareUse;

/// Maximum forecast of the first event, as a fraction of the remaining latency SLO, that leaves enough margin for
/// prompts placed later to delay the request.
const SLO_MARGIN_FRACTION: f64 = 0.4;

/// Identity of a request: the incarnation of the gateway that serves it, and a number assigned by that gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    pub gateway: u64,
    pub number: u64,
}

/// Who sent a request and how urgent it is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobOrigin {
    /// Workspace that owns the caller's API key; empty if it is unknown.
    pub workspace: Arc<str>,

    /// Priority of the workspace, or else of the route; 0 is served first.
    pub priority: u32,

    /// Equal for a request and its repetitions by the caller; 0 if it is unknown.
    pub retry_key: u64,
}

/// Resource needs and deadlines of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub service: Arc<str>,
    pub prompt_tokens: u64,

    /// Maximum number of output tokens.
    pub max_output_tokens: u64,

    /// Time left until the first event must arrive to meet the latency SLO.
    pub slo_left_ms: u64,

    /// Latency objective for the gap between two events; 0 if there is none.
    pub max_event_gap_ms: u64,

    /// Time left until the deadline of the client.
    pub time_left_ms: u64,

    /// Zone of the gateway.
    pub zone: Arc<str>,

    /// Engines that must not receive the request, because they failed it or the gateway cannot reach them.
    pub excluded: Vec<Arc<str>>,

    /// Not part of the encoding, which gateways of older versions share; messages carry it separately.
    #[serde(skip)]
    pub origin: JobOrigin,
}

impl JobSpec {
    /// The same request for a home to which its caller will not return.
    #[must_use]
    pub fn without_retry_key(&self) -> JobSpec {
        let origin = JobOrigin { retry_key: 0, ..self.origin.clone() };
        JobSpec { origin, ..self.clone() }
    }
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Primary engine: receives the request, holds its KV cache and decodes the output.
    pub engine: Arc<str>,

    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<Helper>,

    /// Forecast of the time until the first event.
    pub first_event_ms: u64,
}

/// An engine that prefills a part of a prompt for another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    pub engine: Arc<str>,

    /// KV cache memory that it lends to the request, in tokens; 0 for none.
    pub lent_tokens: u64,
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    Placed(Placement),

    Refused(Refusal),

    /// The service has no usable engine.
    NoEngine,
}

impl Decision {
    /// Whether the request is placed and the forecast of its first event is well within the latency SLO.
    pub fn has_slo_margin(&self, spec: &JobSpec) -> bool {
        let limit_ms = spec.slo_left_ms as f64 * SLO_MARGIN_FRACTION;
        self.first_event_ms().is_some_and(|at_ms| at_ms as f64 <= limit_ms)
    }

    pub fn is_placed(&self) -> bool {
        matches!(self, Decision::Placed(_))
    }

    /// Whether the request is placed and its first event is expected earlier than by `other`.
    pub fn is_sooner_than(&self, other: &Decision) -> bool {
        match (self.first_event_ms(), other.first_event_ms()) {
            (Some(own_ms), Some(other_ms)) => own_ms < other_ms,
            (own_ms, _) => own_ms.is_some(),
        }
    }

    /// What a refusal for a share was decided from.
    pub fn share_use(&self) -> Option<ShareUse> {
        match self {
            Decision::Refused(refusal) => refusal.share,
            Decision::Placed(_) | Decision::NoEngine => None,
        }
    }

    fn first_event_ms(&self) -> Option<u64> {
        match self {
            Decision::Placed(placement) => Some(placement.first_event_ms),
            Decision::Refused(_) | Decision::NoEngine => None,
        }
    }
}

/// Why a request is refused, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub cause: RefusalCause,
    pub retry_after_ms: u64,

    /// Forecast of the time until the first event; 0 if no engine has room.
    pub forecast_ms: u64,

    /// Recent prefill load of the engines, in percent.
    pub prefill_load_percent: u8,

    /// Set if the request is beyond the share of its workspace. Not part of the encoding, which gateways of older
    /// versions share; the reply carries it separately.
    #[serde(skip)]
    pub share: Option<ShareUse>,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(share) = &self.share {
            return share.fmt(f);
        }
        let Refusal { cause, forecast_ms, prefill_load_percent, .. } = self;
        write!(
            f,
            "{cause}; forecast {forecast_ms} ms, {prefill_load_percent} % of the engines are prefilling"
        )
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No usable engine has room for it.
    NoRoom,

    /// The first event would arrive after the caller has given up.
    TooLate,

    /// It would delay other requests of a higher total value.
    TooCostly,
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalCause::NoRoom => "no engine has room",
            RefusalCause::TooLate => "the response would begin too late",
            RefusalCause::TooCostly => "the engines are busy with other requests",
        })
    }
}

/// A request that another scheduler placed, as reported to one that does not know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveJob {
    pub number: u64,
    pub spec: JobSpec,
    pub engine: Arc<str>,
    pub helpers: Vec<Helper>,

    /// Whether the first event has been received.
    pub is_decoding: bool,
}

/// How a request ended at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Completed, or cancelled by its client.
    Done,

    /// The engine reported that it did not run the request.
    Rejected,

    /// The connection broke. The engine may be healthy: all connections of a host may break at once.
    Disconnected,

    /// The engine failed, was unreachable or aborted the response.
    Failed,
}
