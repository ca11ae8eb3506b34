//! What lateness costs.

/// Prompt tokens that are worth as much as the request itself; a caller's wait for a long prompt weighs more.
const TOKENS_PER_VALUE: f64 = 10_000.0;

/// Value of any request, in the unit of [`TOKENS_PER_VALUE`].
const BASE_VALUE: f64 = 0.8;

/// Most that the value of one request counts.
const MAX_VALUE: f64 = 60.0;

/// Part of the value that is lost when an answer is late.
pub(crate) const LATE_LOSS: f64 = 0.75;

/// Point, as a part of the bound, at which an answer is as likely late as not: forecasts are too short rather than too
/// long.
const EVEN_POINT: f64 = 0.85;

/// Width of the step between surely on time and surely late, as a part of the bound.
const STEP_WIDTH: f64 = 0.07;

/// Value of an answer in time.
pub(crate) fn value(prompt_tokens: u64) -> f64 {
    (BASE_VALUE + prompt_tokens as f64 / TOKENS_PER_VALUE).min(MAX_VALUE)
}

/// Likelihood that something forecast to take `expected_ms` exceeds `bound_ms`.
pub(crate) fn lateness(expected_ms: f64, bound_ms: f64) -> f64 {
    if bound_ms <= 0.0 {
        return 1.0;
    }
    let distance = (expected_ms / bound_ms - EVEN_POINT) / STEP_WIDTH;
    1.0 / (1.0 + (-distance).exp())
}
