//! Wall-clock time and remaining time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the Unix epoch, for the `created` field of responses.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Time from now until a deadline, in milliseconds; 0 once it has passed.
pub fn remaining_ms(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}
