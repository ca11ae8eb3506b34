//! Estimate of one target: how slow it is, and how many requests it takes at once.
//!
//! The limit follows the gradient of the time per request against the time that the target needs while it has few
//! requests. While the time stays close to it, a target that is in use gets a higher limit; when the time rises with
//! the load, or the target refuses requests, the limit falls to below that load. A target that is slow at any load
//! keeps its limit: its slowness alone makes gateways prefer others.

/// Weight of one served request in the moving average of the slowness.
const REQUEST_WEIGHT: f64 = 0.5;

/// Highest weight of the requests that were served since the last update.
const MAX_WEIGHT: f64 = 0.3;

/// Like [`MAX_WEIGHT`] for a target that is seldom used, so that a few trials show that it has recovered.
const TRIAL_WEIGHT: f64 = 0.5;

/// Share by which the time of the unloaded target moves towards the present one with each update, while there are few
/// requests, and while the present one is lower under load.
const UNLOADED_WEIGHT: f64 = 0.2;
const FASTER_WEIGHT: f64 = 0.05;

/// Share of refused requests from which the limit falls towards the load. A few show only that requests came in a
/// crowd.
const REFUSED_SHARE: f64 = 0.1;
const REFUSED_FACTOR: f64 = 0.9;

/// Weight of one request in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Share by which a smoothed load moves towards the newest sample. The samples of one target vary widely, since most
/// requests are shorter than the time between two of them.
pub(crate) const LOAD_WEIGHT: f64 = 0.25;

/// Time per request relative to the unloaded target, above which the limit falls.
const FALLING_GRADIENT: f64 = 1.4;

/// Time per request relative to the unloaded target, below which the limit rises.
const RISING_GRADIENT: f64 = 1.25;

/// Lowest factor by which the limit falls at once, so that one slow moment does not empty a target.
const MAX_FALL: f64 = 0.7;

/// Minimum time between two falls: the effect of the first one is not seen earlier.
const MIN_FALL_INTERVAL_MS: u64 = 500;

/// Rise of the limit per second, as a share of the limit and as a number of requests.
const RISE_SHARE_PER_S: f64 = 0.8;
const MIN_RISE_PER_S: f64 = 2.0;

/// Share of the limit from which a target counts as in use, so that its times say something about the limit.
const USED_SHARE: f64 = 0.6;

/// Share of the limit up to which a target counts as unloaded.
const UNLOADED_SHARE: f64 = 0.4;

/// Time in which the time of the unloaded target approaches the time under load, so that an estimate from a faster
/// past is forgotten.
const BASE_MEMORY_MS: f64 = 60_000.0;

/// Half-life of what is known about an unused target.
const IDLE_HALF_LIFE_MS: f64 = 5_000.0;

/// Time without a served request after which a target counts as unused.
const IDLE_AFTER_MS: u64 = 1_000;

/// Bounds of the logarithm of the slowness: a 50th to 50 times.
const MAX_LOG_SLOWNESS: f64 = 3.9;

/// What all gateways together have seen of a target since the last update.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observation {
    pub served: u32,

    /// Sum of the logarithms of the times of the served requests relative to the usual times of their routes.
    pub log_ratio_sum: f64,

    pub refused: u32,
    pub failed: u32,
    pub in_flight: u32,

    /// Like the summands of `log_ratio_sum`, for the age of the oldest request in flight.
    pub oldest_log_ratio: Option<f64>,
}

/// Estimate of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEstimate {
    slots: f64,
    limit: f64,
    load: f64,
    log_slowness: f64,

    /// Like `log_slowness`, while the target has few requests.
    log_base: f64,

    failure_share: f64,
    oldest_log_ratio: Option<f64>,
    updated_ms: u64,
    observed_ms: u64,
    fell_ms: Option<u64>,
}

impl TargetEstimate {
    /// Begins with the number of requests that the target declares to take at once.
    pub fn new(now_ms: u64, slots: u32) -> TargetEstimate {
        let slots = f64::from(slots.max(1));
        TargetEstimate {
            slots,
            limit: slots,
            load: 0.0,
            log_slowness: 0.0,
            log_base: 0.0,
            failure_share: 0.0,
            oldest_log_ratio: None,
            updated_ms: now_ms,
            observed_ms: now_ms,
            fell_ms: None,
        }
    }

    /// Continues an estimate of an earlier home.
    pub fn resume(&mut self, limit: f64, slowness: f64) {
        self.set_limit(limit);
        self.log_slowness = slowness.ln().clamp(-MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS);
        self.log_base = self.log_slowness;
    }

    pub fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        if slots > self.slots && self.limit >= self.slots {
            self.limit = slots;
        }
        self.slots = slots;
        self.set_limit(self.limit);
    }

    /// Requests that the target takes at once before its time per request rises: at least 1, at most its slots.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Smoothed number of requests in flight.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Moving average of the share of requests that fail.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Time per request relative to the usual times of the routes. A request that is in flight for longer counts as if
    /// it ended now.
    pub fn slowness(&self) -> f64 {
        let late = self.oldest_log_ratio.filter(|oldest| *oldest > self.log_slowness);
        let log = late
            .map_or(self.log_slowness, |oldest| blend(self.log_slowness, oldest, 1, MAX_WEIGHT));
        log.clamp(-MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS).exp()
    }

    /// Lowers all logarithms of the slowness by `shift`.
    pub(crate) fn shift(&mut self, shift: f64) {
        self.log_slowness -= shift;
        self.log_base -= shift;
    }

    /// Logarithm of the slowness without requests in flight.
    pub(crate) fn log_slowness(&self) -> f64 {
        self.log_slowness
    }

    /// Whether no request has been served for a while.
    pub fn is_idle(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.observed_ms) >= IDLE_AFTER_MS
    }

    /// Evaluates what was seen since the last update. `usual_log_slowness` is that of the other targets, towards which
    /// the slowness of an unused target drifts.
    pub fn update(&mut self, now_ms: u64, seen: &Observation, usual_log_slowness: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        self.load += (f64::from(seen.in_flight) - self.load) * LOAD_WEIGHT;
        self.oldest_log_ratio = seen.oldest_log_ratio;
        self.count_failures(seen);
        if seen.served > 0 {
            let max_weight = if self.is_idle(now_ms) { TRIAL_WEIGHT } else { MAX_WEIGHT };
            self.observed_ms = now_ms;
            let mean = seen.log_ratio_sum / f64::from(seen.served);
            let mean = mean.clamp(-MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS);
            self.log_slowness = blend(self.log_slowness, mean, seen.served, max_weight);
        } else if self.is_idle(now_ms) {
            let kept = 0.5_f64.powf(elapsed_ms / IDLE_HALF_LIFE_MS);
            self.log_slowness =
                usual_log_slowness + (self.log_slowness - usual_log_slowness) * kept;
            self.failure_share *= kept;
        }
        self.update_base(elapsed_ms);
        self.update_limit(now_ms, elapsed_ms, seen);
    }

    fn count_failures(&mut self, seen: &Observation) {
        for (count, outcome) in [(seen.served, 0.0), (seen.failed, 1.0)] {
            let kept = (1.0 - FAILURE_WEIGHT).powi(count.min(1_000) as i32);
            self.failure_share = outcome + (self.failure_share - outcome) * kept;
        }
    }

    fn update_base(&mut self, elapsed_ms: f64) {
        let is_unloaded = self.load <= (self.limit * UNLOADED_SHARE).max(1.0);
        let weight = if is_unloaded {
            UNLOADED_WEIGHT
        } else if self.log_slowness < self.log_base {
            FASTER_WEIGHT
        } else {
            (elapsed_ms / BASE_MEMORY_MS).min(1.0)
        };
        self.log_base += (self.log_slowness - self.log_base) * weight;
    }

    fn update_limit(&mut self, now_ms: u64, elapsed_ms: f64, seen: &Observation) {
        let gradient = (self.log_slowness - self.log_base).exp();
        let is_used = self.load > self.limit * USED_SHARE;
        let has_settled =
            self.fell_ms.is_none_or(|fell_ms| now_ms >= fell_ms + MIN_FALL_INTERVAL_MS);
        let has_refused = f64::from(seen.refused) > f64::from(seen.served) * REFUSED_SHARE;
        if gradient > FALLING_GRADIENT && is_used {
            if has_settled {
                // A target beyond its limit serves all its requests more slowly, in proportion.
                let fallen = (self.load / gradient).max(self.limit * MAX_FALL);
                self.set_limit(self.limit.min(fallen));
                self.fell_ms = Some(now_ms);
            }
        } else if has_refused && self.load < self.limit {
            if has_settled {
                self.set_limit(self.load.max(self.limit * REFUSED_FACTOR));
                self.fell_ms = Some(now_ms);
            }
        } else if gradient < RISING_GRADIENT && is_used {
            let rise_per_s = (self.limit * RISE_SHARE_PER_S).max(MIN_RISE_PER_S);
            self.set_limit(self.limit + rise_per_s * elapsed_ms / 1_000.0);
        } else if self.load < self.limit * UNLOADED_SHARE {
            let kept = 0.5_f64.powf(elapsed_ms / IDLE_HALF_LIFE_MS);
            self.set_limit(self.slots + (self.limit - self.slots) * kept);
        }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = if limit.is_finite() { limit.clamp(1.0, self.slots) } else { 1.0 };
    }
}

/// Moves a logarithm towards the mean of `count` newer ones.
fn blend(old: f64, mean: f64, count: u32, max_weight: f64) -> f64 {
    let kept = (1.0 - REQUEST_WEIGHT).powi(count.min(1_000) as i32).max(1.0 - max_weight);
    mean + (old - mean) * kept
}
