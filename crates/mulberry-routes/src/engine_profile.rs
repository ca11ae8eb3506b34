//! Performance of the engines of a service, as published by the operator.

use serde::{Deserialize, Serialize};

/// Timing model and capacity of an engine. An engine runs iterations: each one prefills prompts in chunks and, while
/// requests are decoding, runs [`EngineProfile::steps_per_iteration`] decode steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineProfile {
    /// Requests that one engine runs concurrently.
    pub slots: u32,

    /// KV cache capacity of one engine, in tokens.
    pub memory_tokens: u64,

    /// Base duration of one decode step of the batch.
    pub step_ms: f64,

    /// Added to a decode step for each decoding request.
    pub step_per_request_ms: f64,

    /// Added to a decode step for each 1,000 context tokens of the decoding requests.
    pub step_per_1k_context_ms: f64,

    /// Prompt tokens prefilled per millisecond, without the attention cost of
    /// [`EngineProfile::prefill_per_1m_pairs_ms`].
    pub prefill_tokens_per_ms: f64,

    /// Attention cost of prefill: milliseconds per million pairs of a token and an earlier token.
    pub prefill_per_1m_pairs_ms: f64,

    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u64,

    /// Number of decode steps in an iteration, if any request is decoding.
    pub steps_per_iteration: u32,

    /// Added to a decode step of a request whose KV cache is spread over several engines.
    pub remote_kv_step_ms: f64,

    /// Mean prompt length of the service.
    pub mean_prompt_tokens: u64,

    /// Mean output length of the service.
    pub mean_output_tokens: u64,
}

impl Default for EngineProfile {
    /// An engine without a published profile: one request at a time, prefill and decode take no time.
    fn default() -> EngineProfile {
        EngineProfile {
            slots: 1,
            memory_tokens: 0,
            step_ms: 0.0,
            step_per_request_ms: 0.0,
            step_per_1k_context_ms: 0.0,
            prefill_tokens_per_ms: f64::INFINITY,
            prefill_per_1m_pairs_ms: 0.0,
            prefill_chunk_tokens: 1,
            steps_per_iteration: 1,
            remote_kv_step_ms: 0.0,
            mean_prompt_tokens: 0,
            mean_output_tokens: 0,
        }
    }
}

impl EngineProfile {
    /// Time to prefill a prompt on one idle engine, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms + pairs_m * self.prefill_per_1m_pairs_ms
    }

    /// Duration of one iteration without prefill, in milliseconds: `decoding` requests with `context_tokens` in total.
    pub fn iteration_ms(&self, decoding: usize, context_tokens: u64) -> f64 {
        let step = self.step_ms
            + self.step_per_request_ms * decoding as f64
            + self.step_per_1k_context_ms * context_tokens as f64 / 1_000.0;
        step * f64::from(self.steps_per_iteration)
    }
}
