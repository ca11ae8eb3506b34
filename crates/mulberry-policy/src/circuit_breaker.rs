//! Circuit breaker of one target.

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;

/// Time for which the breaker stays open before it allows a probe.
const OPEN_MS: u64 = 2_000;

/// A probe without a result is considered lost after this time, so that the breaker does not stay
/// open forever.
const PROBE_TIMEOUT_MS: u64 = 30_000;

/// Opens after several consecutive failures, then allows one probe at a time.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures_in_row: u32,
    open_until_ms: Option<u64>,
    probe_started_ms: Option<u64>,
}

impl CircuitBreaker {
    /// Whether requests may be sent to the target now.
    #[must_use]
    pub fn allows(&self, now_ms: u64) -> bool {
        self.retry_after_ms(now_ms) == 0
    }

    /// Time until requests may be sent to the target again; 0 if they may be sent now.
    #[must_use]
    pub fn retry_after_ms(&self, now_ms: u64) -> u64 {
        let Some(open_until_ms) = self.open_until_ms else {
            return 0;
        };
        let probe_until_ms = self.probe_started_ms.map_or(0, |started| started + PROBE_TIMEOUT_MS);
        open_until_ms.max(probe_until_ms).saturating_sub(now_ms)
    }

    /// Records that a request was sent. An open breaker treats it as its probe.
    pub fn request_sent(&mut self, now_ms: u64) {
        if self.open_until_ms.is_some() {
            self.probe_started_ms = Some(now_ms);
        }
    }

    /// Records a success and closes the breaker.
    pub fn succeeded(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a failure.
    pub fn failed(&mut self, now_ms: u64) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row >= FAILURES_TO_OPEN {
            self.open_until_ms = Some(now_ms + OPEN_MS);
            self.probe_started_ms = None;
        }
    }

    /// Records a request that ended without indicating whether the target is healthy, so that
    /// another probe may start.
    pub fn cancelled(&mut self) {
        self.probe_started_ms = None;
    }
}
