//! Value of requests and expected loss of value through latency.

/// Prompt tokens per unit of value; requests with longer prompts are worth more.
const TOKENS_PER_VALUE: f64 = 10_000.0;

/// Value of a request without its prompt, in the unit of [`TOKENS_PER_VALUE`].
const BASE_VALUE: f64 = 0.8;

/// Upper limit of the value of one request.
const MAX_VALUE: f64 = 60.0;

/// Fraction of its value that a response loses when it misses its SLO.
const LATE_LOSS: f64 = 0.75;

/// Forecast, as a fraction of the deadline, at which missing the deadline has a probability of one half; below 1 since
/// forecasts tend to be too short.
const MISS_MIDPOINT: f64 = 0.85;

/// Scale of the logistic curve of the probability of missing a deadline, as a fraction of the deadline.
const MISS_SCALE: f64 = 0.07;

/// Value of a response that meets its SLO.
pub(crate) fn value(prompt_tokens: u64) -> f64 {
    (BASE_VALUE + prompt_tokens as f64 / TOKENS_PER_VALUE).min(MAX_VALUE)
}

/// Probability that something forecast to take `expected_ms` exceeds `deadline_ms`.
pub(crate) fn miss_probability(expected_ms: f64, deadline_ms: f64) -> f64 {
    if deadline_ms <= 0.0 {
        return 1.0;
    }
    let distance = (expected_ms / deadline_ms - MISS_MIDPOINT) / MISS_SCALE;
    1.0 / (1.0 + (-distance).exp())
}

/// Times from now by which an event is due, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Deadlines {
    /// Time until the SLO is missed.
    pub latency_slo_ms: f64,

    /// Time until the caller gives up.
    pub give_up_ms: f64,
}

/// Probabilities that a response misses its SLO and that its caller gives up first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Risk {
    pub late: f64,
    pub abandoned: f64,
}

impl Risk {
    pub(crate) const NONE: Risk = Risk { late: 0.0, abandoned: 0.0 };

    /// Combines two risks: a response counts as late once, whether its start or an event gap is too long. The
    /// probabilities are added, up to 1, since both result from the same load.
    pub(crate) fn and(self, other: Risk) -> Risk {
        let either = |a: f64, b: f64| (a + b).min(1.0);
        Risk {
            late: either(self.late, other.late),
            abandoned: either(self.abandoned, other.abandoned),
        }
    }

    /// Expected fraction of its value that the response loses.
    pub(crate) fn loss(self) -> f64 {
        LATE_LOSS * self.late + (1.0 - LATE_LOSS) * self.abandoned
    }
}

/// Minimum time after which a caller gives up.
const MIN_GIVE_UP_MS: u64 = 2_000;

/// Time that a caller waits for the first event, as a multiple of the latency SLO.
const GIVE_UP_SLOS: u64 = 4;

/// Time that a caller waits for an event, as a multiple of the maximum event gap.
const GIVE_UP_EVENT_GAPS: u64 = 8;

/// Time for which the caller of a stream waits for an event before it gives up, in milliseconds.
pub fn abandonment_timeout_ms(latency_slo_ms: u64, max_event_gap_ms: u64) -> u64 {
    MIN_GIVE_UP_MS.max(GIVE_UP_SLOS * latency_slo_ms).max(GIVE_UP_EVENT_GAPS * max_event_gap_ms)
}

impl Deadlines {
    /// Deadlines of the next event within a stream.
    pub(crate) fn of_event_gap(max_event_gap_ms: u64) -> Deadlines {
        let give_up_ms = abandonment_timeout_ms(0, max_event_gap_ms);
        Deadlines { latency_slo_ms: max_event_gap_ms as f64, give_up_ms: give_up_ms as f64 }
    }

    pub(crate) fn new(slo_left_ms: u64, max_event_gap_ms: u64, time_left_ms: u64) -> Deadlines {
        let give_up_ms = abandonment_timeout_ms(slo_left_ms, max_event_gap_ms);
        Deadlines {
            latency_slo_ms: slo_left_ms as f64,
            give_up_ms: give_up_ms.min(time_left_ms) as f64,
        }
    }

    /// Risk of a response whose next event takes `wait_ms`.
    pub(crate) fn risk(&self, wait_ms: f64) -> Risk {
        Risk {
            late: miss_probability(wait_ms, self.latency_slo_ms),
            abandoned: miss_probability(wait_ms, self.give_up_ms),
        }
    }

    /// Expected fraction of its value that a response loses when its next event takes `wait_ms`.
    pub(crate) fn loss(&self, wait_ms: f64) -> f64 {
        self.risk(wait_ms).loss()
    }

    /// Milliseconds of arrivals whose value is lost when all requests that arrive within `busy_ms` wait for its end,
    /// each weighted by the fraction of its value that it loses.
    pub(crate) fn loss_of_arrivals(&self, busy_ms: f64) -> f64 {
        LATE_LOSS * (busy_ms - self.latency_slo_ms).max(0.0)
            + (1.0 - LATE_LOSS) * (busy_ms - self.give_up_ms).max(0.0)
    }

    /// The same deadlines relative to a time `passed_ms` later.
    pub(crate) fn after(&self, passed_ms: f64) -> Deadlines {
        Deadlines {
            latency_slo_ms: self.latency_slo_ms - passed_ms,
            give_up_ms: self.give_up_ms - passed_ms,
        }
    }
}
