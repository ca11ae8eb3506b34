//! Cold-start ramp of one target.
//!
//! A target that has just started loads weights and fills caches on its first requests. The home is
//! the only one that admits work to it, so the ramp holds for all entries together.

/// Longest prompt for a cold target.
const MAX_COLD_PROMPT_TOKENS: u64 = 16_000;

/// Limit from which a ramping target takes prompts of any length.
const LIMIT_FOR_LONG_PROMPTS: u32 = 4;

/// Measurements below half of the usual speed in a row that count as cold. A single one also occurs
/// when a prefill meets a burst of decoding.
const SLOW_MEASUREMENTS: u32 = 2;

/// Weight of a new measurement in the usual speed.
const SPEED_WEIGHT: f64 = 0.1;

/// Limits the work of a target that is cold.
#[derive(Debug, Clone)]
pub struct ColdRamp {
    boot_id: u64,
    slots: u32,
    limit: u32,
    successes_in_row: u32,

    /// Usual prefill speed in tokens per second, 0 before the first measurement.
    usual_speed: f64,
    slow_in_row: u32,
}

impl ColdRamp {
    /// Ramp of a target that has just started.
    #[must_use]
    pub fn new(boot_id: u64, slots: u32) -> ColdRamp {
        ColdRamp { boot_id, slots, limit: 1, successes_in_row: 0, usual_speed: 0.0, slow_in_row: 0 }
    }

    /// Ramp of a target that a new home finds `running` requests on: the target bears that many
    /// already, and a home change alone must not cut a warm target down to one request.
    #[must_use]
    pub fn taken_over(boot_id: u64, slots: u32, running: u32) -> ColdRamp {
        ColdRamp { limit: running.clamp(1, slots.max(1)), ..ColdRamp::new(boot_id, slots) }
    }

    /// Notes the boot id and slots of an announcement. Returns whether the ramp restarted.
    pub fn announced(&mut self, boot_id: u64, slots: u32) -> bool {
        self.slots = slots;
        if boot_id == self.boot_id {
            self.limit = self.limit.min(slots.max(1));
            return false;
        }
        *self = ColdRamp::new(boot_id, slots);
        true
    }

    /// Restarts the ramp, for example when the availability zone is put back in.
    pub fn restart(&mut self) {
        self.limit = 1;
        self.successes_in_row = 0;
        self.slow_in_row = 0;
    }

    /// Requests that the target may run at the same time now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.min(self.slots)
    }

    /// Whether the ramp is over.
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

    /// Counts a success.
    pub fn succeeded(&mut self) {
        self.successes_in_row += 1;
        if self.successes_in_row >= self.limit {
            self.successes_in_row = 0;
            self.limit = self.limit.saturating_mul(2).min(self.slots.max(1));
        }
    }

    /// Counts a failure or a refusal for overload.
    pub fn failed(&mut self) {
        self.successes_in_row = 0;
        self.limit = (self.limit / 2).max(1);
    }

    /// Takes a measured prefill speed. Returns whether the ramp restarted.
    ///
    /// `stated_tokens_per_s` bounds the usual speed, because prompts with a cached prefix look
    /// faster than the engine is.
    pub fn measured(&mut self, tokens_per_s: f64, stated_tokens_per_s: u32) -> bool {
        let stated = f64::from(stated_tokens_per_s);
        let measured = if stated > 0.0 { tokens_per_s.min(stated) } else { tokens_per_s };
        if self.usual_speed <= 0.0 {
            self.usual_speed = measured;
            return false;
        }
        if measured >= self.usual_speed / 2.0 {
            self.slow_in_row = 0;
            self.usual_speed += SPEED_WEIGHT * (measured - self.usual_speed);
            return false;
        }
        self.slow_in_row += 1;
        if self.slow_in_row < SLOW_MEASUREMENTS {
            return false;
        }
        // The slow speed becomes the usual one, or a target that stays slow would restart forever.
        self.restart();
        self.usual_speed = measured;
        true
    }
}
