//! Speed of the engines of a service, as the operator publishes it.

use serde::{Deserialize, Serialize};

/// What an engine's work costs. An engine works in passes: one pass reads prompts in chunks and, while requests write,
/// takes [`EngineProfile::steps_per_iteration`] token steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineProfile {
    /// Requests that one engine works on at a time.
    pub slots: u32,

    /// Tokens that fit into the memory of one engine.
    pub memory_tokens: u64,

    /// One token step of all writing requests.
    pub step_ms: f64,

    /// Added to a step for each writing request.
    pub step_per_request_ms: f64,

    /// Added to a step for each 1,000 tokens of context of the writing requests.
    pub step_per_1k_context_ms: f64,

    /// Prompt tokens read in a millisecond, apart from the pairs.
    pub prefill_tokens_per_ms: f64,

    /// Reading time of a million pairs of a token and an earlier one.
    pub prefill_per_1m_pairs_ms: f64,

    /// Prompt tokens read in one step at most.
    pub prefill_chunk_tokens: u64,

    /// Token steps of a pass in which requests write.
    pub steps_per_iteration: u32,

    /// Added to a step of a request whose memory lies at several engines.
    pub remote_kv_step_ms: f64,

    /// Mean prompt of the service.
    pub mean_prompt_tokens: u64,

    /// Mean answer of the service.
    pub mean_output_tokens: u64,
}

impl Default for EngineProfile {
    /// An engine without a published speed: one request at a time, read and written at once.
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
    /// Time to read a prompt on one idle engine, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms + pairs_m * self.prefill_per_1m_pairs_ms
    }

    /// Time of one pass in which `writers` requests with `context_tokens` in all write and nothing is read.
    pub fn iteration_ms(&self, writers: usize, context_tokens: u64) -> f64 {
        let step = self.step_ms
            + self.step_per_request_ms * writers as f64
            + self.step_per_1k_context_ms * context_tokens as f64 / 1_000.0;
        step * f64::from(self.steps_per_iteration)
    }
}
