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
    pub latency_slo_ms: f64,

    /// Until when its caller waits.
    pub give_up_ms: f64,
}

/// Likelihoods that an answer is late, and that its caller leaves before it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Risk {
    pub late: f64,
    pub left: f64,
}

impl Risk {
    pub(crate) const NONE: Risk = Risk { late: 0.0, left: 0.0 };

    /// Both risks together: an answer is late once, whether it begins late or pauses for long. Risks are summed up to
    /// certainty, as they come from the same load.
    pub(crate) fn and(self, other: Risk) -> Risk {
        let either = |a: f64, b: f64| (a + b).min(1.0);
        Risk { late: either(self.late, other.late), left: either(self.left, other.left) }
    }

    /// Likely part of its value that the answer loses.
    pub(crate) fn loss(self) -> f64 {
        LATE_LOSS * self.late + (1.0 - LATE_LOSS) * self.left
    }
}

/// Shortest wait for a first event after which a caller gives up.
const GIVE_UP_MS: u64 = 2_000;

/// Times the aim that a caller waits for the first event.
const GIVE_UP_AIMS: u64 = 4;

/// Times the longest pause that is on time that a caller waits for an event.
const GIVE_UP_PAUSES: u64 = 8;

/// Time for which the caller of a stream waits for an event before it leaves.
pub fn abandonment_timeout_ms(latency_slo_ms: u64, max_event_gap_ms: u64) -> u64 {
    GIVE_UP_MS.max(GIVE_UP_AIMS * latency_slo_ms).max(GIVE_UP_PAUSES * max_event_gap_ms)
}

impl Bounds {
    /// Bounds of a pause within a stream.
    pub(crate) fn of_pause(max_event_gap_ms: u64) -> Bounds {
        let patience = abandonment_timeout_ms(0, max_event_gap_ms);
        Bounds { latency_slo_ms: max_event_gap_ms as f64, give_up_ms: patience as f64 }
    }

    pub(crate) fn new(slo_left_ms: u64, max_event_gap_ms: u64, time_left_ms: u64) -> Bounds {
        let patience = abandonment_timeout_ms(slo_left_ms, max_event_gap_ms);
        Bounds { latency_slo_ms: slo_left_ms as f64, give_up_ms: patience.min(time_left_ms) as f64 }
    }

    /// What happens to an answer when its next event takes `wait_ms`.
    pub(crate) fn risk(&self, wait_ms: f64) -> Risk {
        Risk {
            late: lateness(wait_ms, self.latency_slo_ms),
            left: lateness(wait_ms, self.give_up_ms),
        }
    }

    /// Likely part of its value that an answer loses when its next event takes `wait_ms`.
    pub(crate) fn loss(&self, wait_ms: f64) -> f64 {
        self.risk(wait_ms).loss()
    }

    /// Milliseconds of arrivals that are lost when all who come within `busy_ms` wait for its end, weighed by what each
    /// loses.
    pub(crate) fn loss_of_arrivals(&self, busy_ms: f64) -> f64 {
        LATE_LOSS * (busy_ms - self.latency_slo_ms).max(0.0)
            + (1.0 - LATE_LOSS) * (busy_ms - self.give_up_ms).max(0.0)
    }

    /// The same bounds seen `passed_ms` later.
    pub(crate) fn after(&self, passed_ms: f64) -> Bounds {
        Bounds {
            latency_slo_ms: self.latency_slo_ms - passed_ms,
            give_up_ms: self.give_up_ms - passed_ms,
        }
    }
}
