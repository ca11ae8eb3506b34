//! Success and failure history of each target, as seen by one gateway.

use std::collections::HashMap;
use std::sync::Arc;

/// Time for which a target gets no new requests after a failure; doubled with each consecutive failure.
const FIRST_SUSPENSION_MS: u64 = 200;

/// Maximum suspension.
const MAX_SUSPENSION_MS: u64 = 3_200;

/// Maximum time for which a target can ask for no new requests.
const MAX_BACKOFF_MS: u64 = 24 * 60 * 60 * 1_000;

/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// Success and failure history of each target, as seen by one gateway.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: HashMap<Arc<str>, Record>,
}

#[derive(Debug, Default)]
struct Record {
    in_flight: u32,
    consecutive_failures: u32,
    failure_share: f64,
    suspended_until_ms: u64,

    /// Time until which the target has asked for no new requests.
    back_off_until_ms: u64,

    last_success_ms: Option<u64>,
}

impl TargetHealth {
    pub fn request_started(&mut self, id: &Arc<str>) {
        self.targets.entry(id.clone()).or_default().in_flight += 1;
    }

    /// Counts the end of a request, before or after its outcome is recorded.
    pub fn request_ended(&mut self, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    pub fn succeeded(&mut self, now_ms: u64, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.consecutive_failures = 0;
            record.failure_share *= 1.0 - NEWEST_WEIGHT;
            record.last_success_ms = Some(now_ms);
        }
    }

    /// The target returned an error response: it is reachable, but is used less.
    pub fn error_response(&mut self, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.failure_share += (1.0 - record.failure_share) * NEWEST_WEIGHT;
        }
    }

    /// The target was unreachable, disconnected or sent an invalid response.
    pub fn failed(&mut self, now_ms: u64, id: &Arc<str>) {
        let record = self.targets.entry(id.clone()).or_default();
        let suspension_ms =
            (FIRST_SUSPENSION_MS << record.consecutive_failures.min(8)).min(MAX_SUSPENSION_MS);
        record.consecutive_failures += 1;
        record.failure_share += (1.0 - record.failure_share) * NEWEST_WEIGHT;
        record.suspended_until_ms = now_ms + suspension_ms;
    }

    /// The target has asked for no new requests for a time.
    pub fn back_off(&mut self, now_ms: u64, id: &Arc<str>, time_ms: u64) {
        let record = self.targets.entry(id.clone()).or_default();
        let until_ms = now_ms + time_ms.min(MAX_BACKOFF_MS);
        record.back_off_until_ms = record.back_off_until_ms.max(until_ms);
    }

    /// The target has started anew and knows nothing of what it asked for.
    pub fn restarted(&mut self, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.back_off_until_ms = 0;
        }
    }

    /// Remaining time for which the target has asked for no new requests; 0 if it has not.
    pub fn back_off_left_ms(&self, now_ms: u64, id: &str) -> u64 {
        self.targets.get(id).map_or(0, |record| record.back_off_until_ms.saturating_sub(now_ms))
    }

    /// Removes targets that are no longer present and have no request in flight.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.targets.retain(|id, record| record.in_flight > 0 || is_present(id));
    }

    pub fn is_suspended(&self, now_ms: u64, id: &str) -> bool {
        self.targets.get(id).is_some_and(|record| now_ms < record.suspended_until_ms)
    }

    pub fn in_flight(&self, id: &str) -> u32 {
        self.targets.get(id).map_or(0, |record| record.in_flight)
    }

    /// Moving average of the share of failed requests.
    pub fn failure_share(&self, id: &str) -> f64 {
        self.targets.get(id).map_or(0.0, |record| record.failure_share)
    }

    /// Whether the target has served a request since `since_ms`.
    pub fn has_served_since(&self, since_ms: u64, id: &str) -> bool {
        let last = self.targets.get(id).and_then(|record| record.last_success_ms);
        last.is_some_and(|last_ms| last_ms >= since_ms)
    }
}
