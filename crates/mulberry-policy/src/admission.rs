//! Admission by deadline.
//!
//! A request that cannot finish in time is refused when it arrives, with the time after which the
//! same request could finish if nothing else arrives. The estimate leaves out what is uncertain
//! (the other entries' queues, an answer longer than usual), so that nothing is refused that would
//! clearly finish; the deadline itself stops the few that are admitted wrongly.

use crate::{Backlog, CostModel};

/// Weight of a new observation.
const WEIGHT: f64 = 0.05;

/// Finished answers before their length and speed are used.
const MIN_OBSERVATIONS: u32 = 8;

/// A fleet without a ready target is asked again after the interval of announcements.
const NO_TARGET_RETRY_MS: u64 = 1_000;

/// Shortest wait that is announced to a caller.
const MIN_RETRY_MS: u64 = 100;

/// What is to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    pub prompt_tokens: u64,
    pub max_answer_tokens: u64,
    pub remaining_ms: u64,

    /// Prompt tokens that wait in this entry's own queue at or above the priority.
    pub waiting_tokens: u64,
}

/// Whether a request may wait for its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    Admit,

    /// The request was not run.
    Refuse {
        /// When the same request could finish; `None` if its deadline is too short for an empty
        /// fleet, so that a retry does not help.
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
    /// Without observations the time of an answer counts as 0.
    #[must_use]
    pub fn new() -> AdmissionController {
        AdmissionController::default()
    }

    /// Takes a finished answer: its tokens, and the time from its first to its last token.
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
            self.mean_answer_tokens += WEIGHT * (tokens - self.mean_answer_tokens);
            self.mean_ms_per_token += WEIGHT * (ms_per_token - self.mean_ms_per_token);
        }
        self.observations = self.observations.saturating_add(1);
    }

    /// Decides at once.
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
        // After this time the backlog has drained enough, if nothing else arrives.
        let retry_after_ms = (finish_ms - request.remaining_ms).max(MIN_RETRY_MS);
        AdmissionDecision::Refuse { retry_after_ms: Some(retry_after_ms) }
    }

    /// Time that the request needs by itself.
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

/// Time until the request has its turn.
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
