//! Monotonic time of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now, at 1 s, so that a time of 0 always lies in the past.
    pub fn new() -> Clock {
        let now = Instant::now();
        Clock { start: now.checked_sub(Duration::from_secs(1)).unwrap_or(now) }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Time on this clock of an instant.
    pub fn at_ms(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.start).as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Wall clock in seconds since 1970, for the `created` field of answers.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Time from now until a deadline, in milliseconds; 0 once it has passed.
pub fn remaining_ms(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}
