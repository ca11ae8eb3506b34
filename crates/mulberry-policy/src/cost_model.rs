//! Estimate of the time to first token at one engine.
//!
//! The estimate is the number of queued prompt tokens plus those of the request, divided by the
//! prefill speed that the engine states, plus a fixed time. It is multiplied by a correction factor
//! per length class that tracks the observed times. The home keeps the model of each of its engines,
//! because it sees the releases of all entries. Digests carry the corrected speed, so entries must
//! not correct it again.

use mulberry_types::LengthClass;

/// Time to first token of an empty prompt: network, scheduling and one decoding step.
const FIXED_MS: u64 = 20;

/// Assumed speed of an engine that states none.
const DEFAULT_TOKENS_PER_S: u32 = 5_000;

/// Decay of earlier observations of the speed with each new one.
const SPEED_DECAY: f64 = 0.02;

/// Initial weight of the stated speed against observations, in milliseconds of prefill.
const STATED_WEIGHT_MS: f64 = 1_000.0;

/// Weight of a new observation in the correction factor.
const FACTOR_WEIGHT: f64 = 0.1;

/// Bounds of the correction factor. Ratios outside them mean that the engine is faulty or the prompt
/// was cached, not that the estimate is wrong.
const MIN_FACTOR: f64 = 0.25;
const MAX_FACTOR: f64 = 4.0;

/// Cost model of one engine.
#[derive(Debug, Clone, Copy)]
pub struct CostModel {
    /// Ratio of observed to estimated time, by length class.
    factors: [f64; 4],

    /// Decayed sums of observed and estimated times, for the speed in digests.
    observed_ms: f64,
    estimated_ms: f64,
}

impl Default for CostModel {
    fn default() -> CostModel {
        CostModel {
            factors: [1.0; 4],
            observed_ms: STATED_WEIGHT_MS,
            estimated_ms: STATED_WEIGHT_MS,
        }
    }
}

impl CostModel {
    /// Uncorrected estimate.
    #[must_use]
    pub fn estimate_ms(stated_tokens_per_s: u32, tokens_ahead: u64, prompt_tokens: u64) -> u64 {
        let speed =
            if stated_tokens_per_s == 0 { DEFAULT_TOKENS_PER_S } else { stated_tokens_per_s };
        let tokens = tokens_ahead.saturating_add(prompt_tokens);
        FIXED_MS + tokens.saturating_mul(1_000) / u64::from(speed)
    }

    /// Expected time to first token behind `tokens_ahead` tokens of other prompts.
    #[must_use]
    pub fn expected_first_token_ms(
        &self,
        stated_tokens_per_s: u32,
        tokens_ahead: u64,
        prompt_tokens: u64,
    ) -> u64 {
        let estimate_ms = CostModel::estimate_ms(stated_tokens_per_s, tokens_ahead, prompt_tokens);
        let factor = self.factors[LengthClass::of(prompt_tokens) as usize];
        (estimate_ms as f64 * factor) as u64
    }

    /// Records an observed time to first token and the estimate that [`CostModel::estimate_ms`] gave
    /// when the work was admitted.
    pub fn observe(&mut self, prompt_tokens: u64, estimate_ms: u64, observed_ms: u64) {
        let ratio =
            (observed_ms.max(1) as f64 / estimate_ms.max(1) as f64).clamp(MIN_FACTOR, MAX_FACTOR);
        let factor = &mut self.factors[LengthClass::of(prompt_tokens) as usize];
        *factor += FACTOR_WEIGHT * (ratio - *factor);
        let estimate_ms = estimate_ms.max(1) as f64;
        self.observed_ms += ratio * estimate_ms - SPEED_DECAY * self.observed_ms;
        self.estimated_ms += estimate_ms - SPEED_DECAY * self.estimated_ms;
    }

    /// Correction factor of a length class, between 0.25 and 4.
    #[must_use]
    pub fn factor(&self, class: LengthClass) -> f64 {
        self.factors[class as usize]
    }

    /// Prefill speed for digests, corrected by observations. Long prompts count more than short ones,
    /// whose time to first token depends little on the speed.
    #[must_use]
    pub fn tokens_per_s(&self, stated_tokens_per_s: u32) -> u32 {
        let speed =
            if stated_tokens_per_s == 0 { DEFAULT_TOKENS_PER_S } else { stated_tokens_per_s };
        (f64::from(speed) * self.estimated_ms / self.observed_ms) as u32
    }
}
