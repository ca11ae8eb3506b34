//! How a gateway has fared with each target.

use std::collections::HashMap;
use std::sync::Arc;

/// Time for which a target gets nothing new after a failure; doubled with each further one.
const FIRST_SUSPENSION_MS: u64 = 200;

/// Longest such time.
const MAX_SUSPENSION_MS: u64 = 3_200;

/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// How a gateway has fared with each target.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: HashMap<Arc<str>, Record>,
}

#[derive(Debug, Default)]
struct Record {
    in_flight: u32,
    failures_in_row: u32,
    failure_share: f64,
    suspended_until_ms: u64,
    last_success_ms: Option<u64>,
}

impl TargetHealth {
    pub fn started(&mut self, id: &Arc<str>) {
        self.targets.entry(id.clone()).or_default().in_flight += 1;
    }

    /// A request has ended; counted before or after the outcome.
    pub fn ended(&mut self, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    pub fn succeeded(&mut self, now_ms: u64, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.failures_in_row = 0;
            record.failure_share *= 1.0 - NEWEST_WEIGHT;
            record.last_success_ms = Some(now_ms);
        }
    }

    /// The target answered with a failure of its own: it lives, but is used less.
    pub fn answered_failure(&mut self, id: &str) {
        if let Some(record) = self.targets.get_mut(id) {
            record.failure_share += (1.0 - record.failure_share) * NEWEST_WEIGHT;
        }
    }

    /// The target could not be reached, broke off or answered with bytes that are no answer.
    pub fn failed(&mut self, now_ms: u64, id: &Arc<str>) {
        let record = self.targets.entry(id.clone()).or_default();
        let pause = (FIRST_SUSPENSION_MS << record.failures_in_row.min(8)).min(MAX_SUSPENSION_MS);
        record.failures_in_row += 1;
        record.failure_share += (1.0 - record.failure_share) * NEWEST_WEIGHT;
        record.suspended_until_ms = now_ms + pause;
    }

    /// Drops targets that are gone.
    pub fn keep(&mut self, is_present: impl Fn(&str) -> bool) {
        self.targets.retain(|id, record| record.in_flight > 0 || is_present(id));
    }

    pub fn is_suspended(&self, now_ms: u64, id: &str) -> bool {
        self.targets.get(id).is_some_and(|record| now_ms < record.suspended_until_ms)
    }

    pub fn in_flight(&self, id: &str) -> u32 {
        self.targets.get(id).map_or(0, |record| record.in_flight)
    }

    /// Share of the latest requests that failed.
    pub fn failure_share(&self, id: &str) -> f64 {
        self.targets.get(id).map_or(0.0, |record| record.failure_share)
    }

    /// Whether the target has served a request since `since_ms`.
    pub fn has_served_since(&self, since_ms: u64, id: &str) -> bool {
        let last = self.targets.get(id).and_then(|record| record.last_success_ms);
        last.is_some_and(|last_ms| last_ms >= since_ms)
    }
}
