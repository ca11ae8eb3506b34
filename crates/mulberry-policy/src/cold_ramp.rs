//! Slow start of one target.
//!
//! A target that has just started loads weights and fills caches on its first requests, so its
//! concurrency limit starts at 1 and doubles. Only the home admits work to a target, so the limit
//! covers the requests of all entries.

/// Longest prompt that a target takes while its limit is below [`LIMIT_FOR_LONG_PROMPTS`].
const MAX_COLD_PROMPT_TOKENS: u64 = 16_000;

/// Concurrency limit from which a ramping target takes prompts of any length.
const LIMIT_FOR_LONG_PROMPTS: u32 = 4;

/// Consecutive measurements below half of the baseline speed after which the ramp restarts. A single
/// slow measurement also occurs when a prefill coincides with a burst of decoding.
const SLOW_MEASUREMENTS_TO_RESTART: u32 = 2;

/// Weight of a new measurement in the moving average of the baseline speed.
const BASELINE_WEIGHT: f64 = 0.1;

/// Concurrency limit of a target that is warming up.
#[derive(Debug, Clone)]
pub struct ColdRamp {
    boot_id: u64,
    slots: u32,
    limit: u32,
    successes_in_row: u32,

    /// Moving average of the prefill speed; 0 before the first measurement.
    baseline_tokens_per_s: f64,
    slow_measurements_in_row: u32,
}

impl ColdRamp {
    /// Ramp of a target that has just started.
    #[must_use]
    pub fn new(boot_id: u64, slots: u32) -> ColdRamp {
        ColdRamp {
            boot_id,
            slots,
            limit: 1,
            successes_in_row: 0,
            baseline_tokens_per_s: 0.0,
            slow_measurements_in_row: 0,
        }
    }

    /// Ramp of a target that a new home takes over with `running` requests. The limit starts at
    /// that number, so that a change of home does not cut a warm target down to one request.
    #[must_use]
    pub fn taken_over(boot_id: u64, slots: u32, running: u32) -> ColdRamp {
        ColdRamp { limit: running.clamp(1, slots.max(1)), ..ColdRamp::new(boot_id, slots) }
    }

    /// Applies the boot id and slots of an announcement. Returns whether the ramp restarted.
    pub fn announced(&mut self, boot_id: u64, slots: u32) -> bool {
        self.slots = slots;
        if boot_id == self.boot_id {
            self.limit = self.limit.min(slots.max(1));
            return false;
        }
        *self = ColdRamp::new(boot_id, slots);
        true
    }

    /// Restarts the ramp, for example when the availability zone returns to service.
    pub fn restart(&mut self) {
        self.limit = 1;
        self.successes_in_row = 0;
        self.slow_measurements_in_row = 0;
    }

    /// Current limit on concurrent requests.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.min(self.slots)
    }

    /// Whether the limit has reached the number of slots.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    /// Whether a prompt of this length may start.
    #[must_use]
    pub fn allows_prompt(&self, prompt_tokens: u64) -> bool {
        prompt_tokens <= MAX_COLD_PROMPT_TOKENS
            || self.limit >= LIMIT_FOR_LONG_PROMPTS.min(self.slots)
    }

    /// Records a success. The limit doubles after as many consecutive successes as the limit.
    pub fn succeeded(&mut self) {
        self.successes_in_row += 1;
        if self.successes_in_row >= self.limit {
            self.successes_in_row = 0;
            self.limit = self.limit.saturating_mul(2).min(self.slots.max(1));
        }
    }

    /// Records a failure or a rejection because of overload, and halves the limit.
    pub fn failed(&mut self) {
        self.successes_in_row = 0;
        self.limit = (self.limit / 2).max(1);
    }

    /// Records a measured prefill speed. Returns whether the ramp restarted.
    ///
    /// `stated_tokens_per_s` bounds the measurement, because prompts with a cached prefix appear to
    /// be prefilled faster than the engine can.
    pub fn measured(&mut self, tokens_per_s: f64, stated_tokens_per_s: u32) -> bool {
        let stated = f64::from(stated_tokens_per_s);
        let measured = if stated > 0.0 { tokens_per_s.min(stated) } else { tokens_per_s };
        if self.baseline_tokens_per_s <= 0.0 {
            self.baseline_tokens_per_s = measured;
            return false;
        }
        if measured >= self.baseline_tokens_per_s / 2.0 {
            self.slow_measurements_in_row = 0;
            self.baseline_tokens_per_s += BASELINE_WEIGHT * (measured - self.baseline_tokens_per_s);
            return false;
        }
        self.slow_measurements_in_row += 1;
        if self.slow_measurements_in_row < SLOW_MEASUREMENTS_TO_RESTART {
            return false;
        }
        // Use the slow speed as the new baseline; otherwise a target that stays slow would restart
        // its ramp forever.
        self.restart();
        self.baseline_tokens_per_s = measured;
        true
    }
}
