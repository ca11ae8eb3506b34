//! Deadline-based admission control.
//!
//! A request that cannot finish in time is refused on arrival, with the time after which it could
//! finish if nothing else arrives. The estimate is optimistic: it ignores what is uncertain, such as
//! the queues of other entries and answers longer than usual, so that no request is refused that
//! would clearly finish. The deadline itself stops the few that are admitted wrongly.

use crate::{Backlog, CostModel};

/// Weight of a new observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.05;

/// Number of finished answers before their mean length and speed are used.
const MIN_OBSERVATIONS: u32 = 8;

/// Retry time if no target is ready: the interval of announcements.
const NO_TARGET_RETRY_MS: u64 = 1_000;

/// Minimum retry time reported to a caller.
const MIN_RETRY_MS: u64 = 100;

/// A request to admit or refuse.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    pub prompt_tokens: u64,
    pub max_answer_tokens: u64,
    pub remaining_ms: u64,

    /// Tokens in this entry's own queue at or above the priority.
    pub waiting_tokens: u64,
}

/// Whether a request may enter the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    Admit,

    /// The request was not run.
    Refuse {
        /// Time after which the same request could finish; `None` if its deadline is too short even
        /// for an idle fleet, so that a retry does not help.
        retry_after_ms: Option<u64>,
    },
}

/// Decides whether requests of one model or service can finish in time.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    observations: u32,
    mean_answer_tokens: f64,
    mean_ms_per_token: f64,
}

impl AdmissionController {
    /// Starts without observations; the answer time is estimated as 0 until there are enough.
    #[must_use]
    pub fn new() -> AdmissionController {
        AdmissionController::default()
    }

    /// Records a finished answer: its tokens, and the time from its first to its last token.
    pub fn answer_finished(&mut self, answer_tokens: u64, decode_ms: u64) {
        if answer_tokens == 0 {
            return;
        }
        let tokens = answer_tokens as f64;
        let ms_per_token = decode_ms as f64 / tokens;
        if self.observations == 0 {
            self.mean_answer_tokens = tokens;
            self.mean_ms_per_token = ms_per_token;
        } else {
            self.mean_answer_tokens += OBSERVATION_WEIGHT * (tokens - self.mean_answer_tokens);
            self.mean_ms_per_token += OBSERVATION_WEIGHT * (ms_per_token - self.mean_ms_per_token);
        }
        self.observations = self.observations.saturating_add(1);
    }

    /// Decides whether to admit a request.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest, backlog: &Backlog) -> AdmissionDecision {
        if request.remaining_ms == 0 {
            return AdmissionDecision::Refuse { retry_after_ms: None };
        }
        if backlog.ready_targets == 0 {
            return AdmissionDecision::Refuse { retry_after_ms: Some(NO_TARGET_RETRY_MS) };
        }
        let service_time_ms = self.service_time_ms(request, backlog);
        if service_time_ms > request.remaining_ms {
            return AdmissionDecision::Refuse { retry_after_ms: None };
        }
        let finish_ms = service_time_ms.saturating_add(wait_ms(request, backlog));
        if finish_ms <= request.remaining_ms {
            return AdmissionDecision::Admit;
        }
        // Time until the backlog has drained enough, if nothing else arrives.
        let retry_after_ms = (finish_ms - request.remaining_ms).max(MIN_RETRY_MS);
        AdmissionDecision::Refuse { retry_after_ms: Some(retry_after_ms) }
    }

    /// Estimated duration of the request without queueing.
    #[must_use]
    pub fn service_time_ms(&self, request: &AdmissionRequest, backlog: &Backlog) -> u64 {
        if request.prompt_tokens == 0 {
            return 0;
        }
        let prefill_ms =
            CostModel::estimate_ms(backlog.best_tokens_per_s, 0, request.prompt_tokens);
        let answer_ms = if self.observations < MIN_OBSERVATIONS {
            0.0
        } else {
            self.mean_answer_tokens.min(request.max_answer_tokens as f64) * self.mean_ms_per_token
        };
        prefill_ms.saturating_add(answer_ms as u64)
    }
}

/// Estimated queueing time.
fn wait_ms(request: &AdmissionRequest, backlog: &Backlog) -> u64 {
    let queue_ms = if request.waiting_tokens == 0 || backlog.tokens_per_s == 0 {
        0
    } else {
        request.waiting_tokens.saturating_mul(1_000) / backlog.tokens_per_s
    };
    // A plain service has no prefill queue.
    if request.prompt_tokens == 0 {
        queue_ms
    } else {
        queue_ms.saturating_add(backlog.shortest_queue_ms)
    }
}
