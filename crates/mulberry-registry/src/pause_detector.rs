//! Detects that the process or its machine was paused, and requests that may have waited meanwhile.
//!
//! A request that is read after a pause may have been sent long ago. Its caller may have given up, although the close of
//! the connection has not arrived yet, and may have sent another request elsewhere since.

use mulberry_clock::Clock;

/// Time without activity that counts as a pause. Callers give up after one second.
const PAUSE_MS: u64 = 500;

/// Time after a pause within which new connections are accepted that callers opened before its end.
const BACKLOG_MS: u64 = 1_000;

/// Detects pauses of the process by the time between calls of [`PauseDetector::record_activity`].
#[derive(Debug)]
pub(crate) struct PauseDetector {
    clock: Clock,
    last_activity_ms: u64,

    /// End of the last pause; 0 if there was none.
    resumed_ms: u64,
}

impl Default for PauseDetector {
    fn default() -> PauseDetector {
        PauseDetector::with_clock(Clock::new())
    }
}

impl PauseDetector {
    pub(crate) fn with_clock(clock: Clock) -> PauseDetector {
        PauseDetector { clock, last_activity_ms: clock.now_ms(), resumed_ms: 0 }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records that the process runs. Must be called several times within [`PAUSE_MS`].
    pub(crate) fn record_activity(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms.saturating_sub(self.last_activity_ms) >= PAUSE_MS {
            tracing::warn!(event = "resumed", paused_ms = now_ms - self.last_activity_ms);
            self.resumed_ms = now_ms;
        }
        self.last_activity_ms = now_ms;
    }

    /// Whether a request on a connection that was accepted at `accepted_ms` may have waited during a pause.
    pub(crate) fn has_paused_since(&mut self, accepted_ms: u64) -> bool {
        self.record_activity();
        self.resumed_ms > 0 && accepted_ms < self.resumed_ms + BACKLOG_MS
    }
}
