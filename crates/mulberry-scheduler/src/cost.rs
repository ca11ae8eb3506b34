//! What lateness costs.

/// Prompt tokens that are worth as much as the request itself; a caller's wait for a long prompt weighs more.
const TOKENS_PER_VALUE: f64 = 10_000.0;

/// Value of any request, in the unit of [`TOKENS_PER_VALUE`].
const BASE_VALUE: f64 = 0.8;

/// Most that the value of one request counts.
const MAX_VALUE: f64 = 60.0;

/// Part of the value that is lost when an answer is late.
const LATE_LOSS: f64 = 0.75;

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

/// Until when an answer is of use, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Bounds {
    /// Until when it is on time.
    pub aim_ms: f64,

    /// Until when its caller waits.
    pub give_up_ms: f64,
}

/// Shortest wait for a first event after which a caller gives up.
const GIVE_UP_MS: u64 = 2_000;

/// Times the aim that a caller waits for the first event.
const GIVE_UP_AIMS: u64 = 4;

/// Times the longest pause that is on time that a caller waits for an event.
const GIVE_UP_PAUSES: u64 = 8;

impl Bounds {
    /// Bounds of a pause within a stream.
    pub(crate) fn of_pause(max_pause_ms: u64) -> Bounds {
        let patience = GIVE_UP_MS.max(GIVE_UP_PAUSES * max_pause_ms);
        Bounds { aim_ms: max_pause_ms as f64, give_up_ms: patience as f64 }
    }

    pub(crate) fn new(aim_left_ms: u64, max_pause_ms: u64, time_left_ms: u64) -> Bounds {
        let patience =
            GIVE_UP_MS.max(GIVE_UP_AIMS * aim_left_ms).max(GIVE_UP_PAUSES * max_pause_ms);
        Bounds { aim_ms: aim_left_ms as f64, give_up_ms: patience.min(time_left_ms) as f64 }
    }

    /// Likely part of its value that an answer loses when its first event takes `wait_ms`.
    pub(crate) fn loss(&self, wait_ms: f64) -> f64 {
        LATE_LOSS * lateness(wait_ms, self.aim_ms)
            + (1.0 - LATE_LOSS) * lateness(wait_ms, self.give_up_ms)
    }

    /// The same bounds seen `passed_ms` later.
    pub(crate) fn after(&self, passed_ms: f64) -> Bounds {
        Bounds { aim_ms: self.aim_ms - passed_ms, give_up_ms: self.give_up_ms - passed_ms }
    }
}
