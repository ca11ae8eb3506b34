//! Crashes by part.

use std::collections::HashSet;

use crate::TimeMs;

/// Crashes at which requests with one part were waiting.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Ascending.
    pub times_ms: Vec<TimeMs>,

    /// Keys of the requests.
    pub requests: HashSet<u64>,

    /// Highest position of the part in a prompt.
    pub position: usize,
}

impl Tally {
    /// Time between the first and the last crash.
    pub(crate) fn span_ms(&self) -> TimeMs {
        match (self.times_ms.first(), self.times_ms.last()) {
            (Some(first_ms), Some(last_ms)) => last_ms - first_ms,
            _ => 0,
        }
    }

    /// Number of crashes that are at least `min_gap_ms` apart.
    pub(crate) fn separate_crashes(&self, min_gap_ms: TimeMs) -> usize {
        let mut count = 0;
        let mut counted_ms = TimeMs::MIN;
        for at_ms in &self.times_ms {
            if *at_ms >= counted_ms.saturating_add(min_gap_ms) {
                count += 1;
                counted_ms = *at_ms;
            }
        }
        count
    }
}
