//! Forecast of arriving requests from recent ones.
//!
//! Short requests that arrive while an engine prefills a long part wait for its end. Their value is estimated from recent
//! arrivals.

use std::collections::BTreeMap;

use crate::cost::Deadlines;

/// Time constant of the moving average of arrivals. Short, because the mix of requests may change within ten seconds.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// Rate of recently arrived value, by `max_event_gap_ms`.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_event_gap: BTreeMap<u64, Rate>,
}

/// An exponentially decaying rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    per_ms: f64,
    at_ms: u64,
}

impl Rate {
    pub(crate) fn add(&mut self, now_ms: u64, amount: f64) {
        *self = Rate { per_ms: self.at(now_ms) + amount / TIME_CONSTANT_MS, at_ms: now_ms };
    }

    pub(crate) fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_ms * (-passed_ms / TIME_CONSTANT_MS).exp()
    }
}

impl Demand {
    /// Records an arrived request.
    pub(crate) fn record_arrival(&mut self, now_ms: u64, max_event_gap_ms: u64, value: f64) {
        if max_event_gap_ms == 0 {
            return;
        }
        self.by_event_gap.entry(max_event_gap_ms).or_default().add(now_ms, value);
    }

    /// Expected loss of value when every engine is busy with prefill for `part_ms` and requests that arrive within that
    /// time wait for its end.
    pub(crate) fn expected_loss(&self, now_ms: u64, part_ms: f64) -> f64 {
        let loss = |(max_event_gap_ms, rate): (&u64, &Rate)| {
            rate.at(now_ms) * Deadlines::of_event_gap(*max_event_gap_ms).loss_of_arrivals(part_ms)
        };
        self.by_event_gap.iter().map(loss).sum()
    }
}
