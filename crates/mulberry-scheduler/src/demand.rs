//! Requests that are about to come.
//!
//! Answers the load of short prompts beside long ones: an engine that reads a long part keeps whoever comes meanwhile
//! waiting, and who comes is like who came lately.

use std::collections::BTreeMap;

use crate::cost::Bounds;

/// Time over which arrivals are averaged; the mix of a fleet may change within ten seconds.
const MEMORY_MS: f64 = 2_000.0;

/// Value that arrived lately, by the longest pause that is on time.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    kinds: BTreeMap<u64, Rate>,
}

/// An average that fades, per millisecond.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_ms: f64,
    at_ms: u64,
}

impl Rate {
    fn add(&mut self, now_ms: u64, amount: f64) {
        *self = Rate { per_ms: self.at(now_ms) + amount / MEMORY_MS, at_ms: now_ms };
    }

    fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_ms * (-passed_ms / MEMORY_MS).exp()
    }
}

impl Demand {
    /// Counts a request that has come.
    pub(crate) fn arrived(&mut self, now_ms: u64, max_event_gap_ms: u64, value: f64) {
        if max_event_gap_ms == 0 {
            return;
        }
        self.kinds.entry(max_event_gap_ms).or_default().add(now_ms, value);
    }

    /// Value that is likely lost when every engine reads for `part_ms`: who comes within that time waits for its end.
    pub(crate) fn loss_by(&self, now_ms: u64, part_ms: f64) -> f64 {
        let loss = |(max_event_gap_ms, rate): (&u64, &Rate)| {
            rate.at(now_ms) * Bounds::of_pause(*max_event_gap_ms).loss_of_arrivals(part_ms)
        };
        self.kinds.iter().map(loss).sum()
    }
}
