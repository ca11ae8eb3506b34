//! Time that passes also while the machine is suspended.
//!
//! A permission that others count on to end must end by this clock: [`std::time::Instant`] stands still while a machine
//! is suspended, so that a process that wakes would go on with a lease that ran out meanwhile.

use std::fmt;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Time at which a [`Clock`] begins, so that a time of 0 always lies in the past.
const BEGIN: Duration = Duration::from_secs(1);

/// Milliseconds from the start of a process.
#[derive(Clone, Copy)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// A clock that starts now, at 1 s.
    pub fn new() -> Clock {
        Clock::with_source(since_boot)
    }

    /// A clock that starts now and follows a source of its own.
    pub fn with_source(source: fn() -> Duration) -> Clock {
        Clock { source, start: source() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        let passed = (self.source)().saturating_sub(self.start);
        (passed + BEGIN).as_millis() as u64
    }

    /// Time on this clock of an instant that lies so far from now as this process has run.
    pub fn at_ms(&self, instant: Instant) -> u64 {
        let now = Instant::now();
        let ahead_ms = instant.saturating_duration_since(now).as_millis() as u64;
        let passed_ms = now.saturating_duration_since(instant).as_millis() as u64;
        (self.now_ms() + ahead_ms).saturating_sub(passed_ms)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now_ms", &self.now_ms()).finish()
    }
}

/// Time since the machine was started, with the time in which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
