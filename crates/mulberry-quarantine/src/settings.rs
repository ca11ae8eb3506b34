//! Limits and thresholds of the quarantine.

use crate::TimeMs;

/// Limits and thresholds of the quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// Evidence from which a part is suspected that no engine is known to have survived: minus the logarithm of the
    /// probability that all its crashes have other causes.
    pub min_evidence: f64,

    /// Like [`Self::min_evidence`], for a part that engines have survived before.
    pub min_evidence_of_proven_part: f64,

    /// Number of distinct requests at the crashes of a suspected part.
    pub min_requests: usize,

    /// Number of crashes from which a part is suspected that fewer requests have, sent several times.
    pub min_crashes_of_one_request: usize,

    /// Minimum time between two crashes that count separately. Engines of a failed rack crash at once.
    pub min_crash_gap_ms: TimeMs,

    /// Minimum time between the first and the last crash of a part that engines have survived before. Requests with a
    /// harmless part are survived again within this time.
    pub min_span_of_proven_part_ms: TimeMs,

    /// Lowest probability that an engine crashes for another reason while it begins to answer a request. Keeps few
    /// crashes in a calm fleet from being convincing.
    pub min_other_crash_probability: f64,

    /// Time for which a request is exposed to other crashes before the engine has survived it.
    pub exposure_ms: TimeMs,

    /// Time for which crashes count.
    pub crash_window_ms: TimeMs,

    /// Time for which it is remembered that engines have survived a part.
    pub survival_window_ms: TimeMs,

    /// Time between the suspicion and the quarantine of a part, in which gateways report survivals.
    pub confirmation_time_ms: TimeMs,

    /// Time without a request after which the quarantine of a part ends.
    pub idle_time_ms: TimeMs,

    /// Time after which one request with a quarantined part is let through, to learn whether engines survive it now.
    /// Doubles with each trial.
    pub trial_interval_ms: TimeMs,

    /// Time for which an engine must go on after the first event of an answer to have survived the request.
    pub survival_time_ms: u64,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            min_evidence: 10.0,
            min_evidence_of_proven_part: 17.0,
            min_requests: 2,
            min_crashes_of_one_request: 4,
            min_crash_gap_ms: 100,
            min_span_of_proven_part_ms: 1_000,
            min_other_crash_probability: 0.03,
            exposure_ms: 2_500,
            crash_window_ms: 300_000,
            survival_window_ms: 600_000,
            confirmation_time_ms: 250,
            idle_time_ms: 600_000,
            trial_interval_ms: 600_000,
            survival_time_ms: 500,
        }
    }
}
