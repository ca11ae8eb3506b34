//! A placed request whose engines and deadlines are known.

use std::sync::Arc;

use crate::Helper;
use crate::cost::Deadlines;

/// Approximate time from the end of prefill to the first event.
const FIRST_EVENT_DELAY_MS: f64 = 60.0;

/// A placed request.
#[derive(Debug)]
pub(crate) struct TrackedJob {
    pub service: Arc<str>,
    pub workspace: Arc<str>,
    pub engine: Arc<str>,
    pub helpers: Vec<Helper>,

    /// Expected time at which all parts of its prompt have been prefilled.
    pub prefill_end_ms: f64,

    pub placed_ms: f64,

    /// Deadlines of its first event, relative to `placed_ms`.
    pub deadlines: Deadlines,

    pub value: f64,

    /// Forecast of the time to its first event, made at placement.
    pub first_event_ms: u64,
}

impl TrackedJob {
    /// Expected loss of value when the prefill ends at `end_ms` instead of at the expected time.
    pub(crate) fn delay_loss(&self, now_ms: u64, end_ms: f64) -> f64 {
        if end_ms <= self.prefill_end_ms {
            return 0.0;
        }
        let now_ms = now_ms as f64;
        let deadlines = self.deadlines.after(now_ms - self.placed_ms);
        let loss = |at_ms: f64| deadlines.loss((at_ms - now_ms).max(0.0) + FIRST_EVENT_DELAY_MS);
        (loss(end_ms) - loss(self.prefill_end_ms)) * self.value
    }

    /// All engines that the job uses.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.helpers.iter().map(|helper| &helper.engine).chain([&self.engine])
    }
}
