//! Price of engine time, derived from recent arrivals.
//!
//! Answers the load of a burst of long prompts, or of usual load on fewer engines: when recent requests need more engine
//! time than there is within their latency objectives, those with the highest value per engine time should be served and
//! the others refused at once. The price is the value per engine time of the first request that no longer fits. A request
//! pays it for its own prefill, so it is refused if its time is worth more to others. In the literature this is the bid
//! price, or dual price, of the capacity. While the time suffices for all requests, the price is 0.

/// Minimum time over which the engine time of an arrival is spread. Contains several long prompts, so that the price
/// does not follow each of them.
const MIN_SPREAD_MS: u64 = 3_000;

/// Fraction of the engines' time that placements can use. The rest is lost while a prompt waits for engines that decode
/// streams with short event gaps.
const USABLE_FRACTION: f64 = 0.8;

/// Time for which a computed price is used, since sorting the arrivals of a large fleet takes longer than a placement.
const PRICE_VALID_MS: u64 = 50;

/// Recent arrivals at the engines of one service.
#[derive(Debug, Default)]
pub(crate) struct EngineTimePrice {
    arrivals: Vec<RecentArrival>,
    last: Option<ComputedPrice>,
}

/// A price and what it was computed for.
#[derive(Debug, Clone, Copy)]
struct ComputedPrice {
    at_ms: u64,
    engines: usize,
    kept_engines: f64,
    per_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct RecentArrival {
    /// End of its latency objective.
    due_ms: u64,

    /// Engines that it needs until then, on average.
    engines: f64,

    /// Value per millisecond of engine time.
    value_per_ms: f64,

    /// See [`crate::JobOrigin::retry_key`].
    retry_key: u64,
}

impl EngineTimePrice {
    /// Records a request that arrived, should begin within `slo_left_ms`, needs `engine_ms` of one engine's time and is
    /// worth `value`.
    pub(crate) fn record_arrival(
        &mut self,
        now_ms: u64,
        slo_left_ms: u64,
        engine_ms: f64,
        value: f64,
        retry_key: u64,
    ) {
        self.arrivals.retain(|arrival| arrival.due_ms > now_ms);
        let spread_ms = spread_ms(slo_left_ms);
        self.arrivals.push(RecentArrival {
            due_ms: now_ms + spread_ms,
            engines: engine_ms / spread_ms as f64,
            value_per_ms: value / engine_ms.max(f64::MIN_POSITIVE),
            retry_key,
        });
    }

    /// Withdraws the arrivals of a request that returns.
    pub(crate) fn withdraw(&mut self, retry_key: u64) {
        self.arrivals.retain(|arrival| arrival.retry_key != retry_key);
    }

    /// Engines that the recorded arrivals need.
    pub(crate) fn needed_engines(&self) -> f64 {
        self.arrivals.iter().map(|arrival| arrival.engines).sum()
    }

    /// Price of a millisecond of one engine's time while `engines` engines are usable, `kept_engines` of them for others.
    pub(crate) fn per_ms(&mut self, now_ms: u64, engines: usize, kept_engines: f64) -> f64 {
        let valid = self.last.filter(|last| {
            last.engines == engines
                && last.kept_engines == kept_engines
                && now_ms.saturating_sub(last.at_ms) < PRICE_VALID_MS
        });
        if let Some(last) = valid {
            return last.per_ms;
        }
        let per_ms = self.marginal_value_per_ms(usable(engines as f64) - kept_engines);
        self.last = Some(ComputedPrice { at_ms: now_ms, engines, kept_engines, per_ms });
        per_ms
    }

    /// Value per engine time of the first arrival that does not fit, when those with the highest come first.
    fn marginal_value_per_ms(&self, mut left: f64) -> f64 {
        if self.needed_engines() <= left {
            return 0.0;
        }
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_by(|a, b| b.value_per_ms.total_cmp(&a.value_per_ms));
        let marginal = arrivals.iter().find(|arrival| {
            left -= arrival.engines;
            left < 0.0
        });
        marginal.map_or(0.0, |arrival| arrival.value_per_ms)
    }
}

/// Engines whose time placements can use.
pub(crate) fn usable(engines: f64) -> f64 {
    engines * USABLE_FRACTION
}

/// Time over which the engine time of a request is spread.
pub(crate) fn spread_ms(slo_left_ms: u64) -> u64 {
    slo_left_ms.max(MIN_SPREAD_MS)
}
