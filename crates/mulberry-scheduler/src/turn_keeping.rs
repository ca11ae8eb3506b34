//! How the scheduler gives turns to refused requests and keeps them.

use crate::engine_state::EngineState;
use crate::engine_time_price::{spread_ms, usable};
use crate::pool::Pool;
use crate::turns::{Claim, RoomForecast, Shortage, TurnRequest, TurnStep};
use crate::{Decision, JobSpec, Refusal, Scheduler, SchedulerSettings};

impl Scheduler {
    /// Sets the time from which cold engines may be sent requests, to forecast when there is room.
    pub(crate) fn set_cold_starts_from(&mut self, at_ms: u64) {
        self.cold_starts_from_ms = at_ms;
    }

    /// Ends the turns of callers that have not returned.
    pub fn expire_turns(&mut self, now_ms: u64) {
        self.pools.values_mut().for_each(|pool| pool.turns.expire(now_ms));
    }

    /// Number of turns that are kept for refused requests.
    pub fn turn_count(&self) -> usize {
        self.pools.values().map(|pool| pool.turns.len()).sum()
    }

    /// Returns what happened to turns since the last call, with the retry keys of the requests.
    pub fn take_turn_steps(&mut self) -> Vec<(u64, TurnStep)> {
        self.pools.values_mut().flat_map(|pool| pool.turns.take_steps()).collect()
    }

    pub(crate) fn claim_turn(&mut self, now_ms: u64, spec: &JobSpec) -> Claim {
        if !self.keeps_turn_of(spec) {
            return Claim::Newcomer;
        }
        let Some(pool) = self.pools.get_mut(&spec.service) else { return Claim::Newcomer };
        // A request that returns needs the engine time once.
        pool.price.withdraw(spec.origin.retry_key);
        pool.turns.claim(now_ms, spec.origin.retry_key)
    }

    /// Whether the starts that are possible now are kept for turns.
    pub(crate) fn is_start_kept(&self, now_ms: u64, spec: &JobSpec, claim: Claim) -> bool {
        if !self.settings.keeps_turns || claim == Claim::Due {
            return false;
        }
        let Some(pool) = self.pools.get(&spec.service) else { return false };
        let ahead = pool.turns.starts_ahead(now_ms, spec.origin.priority);
        ahead > 0 && pool.free_starts(now_ms, &self.settings) <= ahead
    }

    /// Applies a decision to the turn of the request, and names the time of its turn in a refusal.
    pub(crate) fn settle_turn(
        &mut self,
        now_ms: u64,
        spec: &JobSpec,
        claim: Claim,
        decision: Decision,
    ) -> Decision {
        if !self.settings.keeps_turns {
            return decision;
        }
        let keeps_turn = self.keeps_turn_of(spec);
        let settings = self.settings.clone();
        let Some(pool) = self.pools.get_mut(&spec.service) else { return decision };
        let key = spec.origin.retry_key;
        if claim == Claim::Due && decision != Decision::NoEngine {
            pool.turns.settle(key, decision.is_placed());
        }
        let refusal = match decision {
            Decision::Refused(refusal) => refusal,
            Decision::Placed(_) => {
                pool.turns.end(key);
                return decision;
            }
            Decision::NoEngine => return decision,
        };
        let retry_after_ms = match claim {
            Claim::Early { due_ms } => due_ms.saturating_sub(now_ms),
            Claim::Newcomer | Claim::Due => {
                if !keeps_turn {
                    return Decision::Refused(refusal);
                }
                let request = TurnRequest {
                    key,
                    priority: spec.origin.priority,
                    shortage: pool.shortage_of(now_ms, spec, &settings),
                    earliest_ms: now_ms + refusal.retry_after_ms,
                    time_left_ms: spec.time_left_ms,
                };
                let room = pool.room_forecast(&settings, self.cold_starts_from_ms);
                let due_ms = pool.turns.give(now_ms, &request, &room);
                due_ms.map_or(spec.time_left_ms, |due_ms| due_ms - now_ms)
            }
        };
        Decision::Refused(Refusal { retry_after_ms, ..refusal })
    }

    fn keeps_turn_of(&self, spec: &JobSpec) -> bool {
        self.settings.keeps_turns && spec.origin.retry_key != 0
    }
}

impl Pool {
    /// Number of requests that the engines could start at once.
    fn free_starts(&self, now_ms: u64, settings: &SchedulerSettings) -> usize {
        let max_requests = (f64::from(self.profile.slots) * settings.slot_share).max(1.0) as usize;
        let free = |engine: &EngineState| {
            let share = engine.cold_share(now_ms, settings);
            let slots = max_requests.saturating_sub(engine.held_requests());
            engine.cold_starts_left(now_ms, self.cold, share, settings).min(slots)
        };
        self.engines.values().filter(|engine| !engine.is_suspended(now_ms)).map(free).sum()
    }

    /// What a refused request lacks.
    fn shortage_of(&self, now_ms: u64, spec: &JobSpec, settings: &SchedulerSettings) -> Shortage {
        if self.free_starts(now_ms, settings) == 0 {
            return Shortage::Start;
        }
        let prefill_ms = self.profile.prefill_ms(spec.prompt_tokens);
        Shortage::EngineTime {
            engine_ms: prefill_ms + self.mean_decode_share_ms(),
            spread_ms: spread_ms(spec.slo_left_ms) as f64,
        }
    }

    fn room_forecast(
        &self,
        settings: &SchedulerSettings,
        cold_starts_from_ms: u64,
    ) -> RoomForecast {
        let engines = self.engines.len() as f64;
        let slots = f64::from(self.profile.slots);
        let context_tokens = self.profile.mean_prompt_tokens * u64::from(self.profile.slots);
        let iteration_ms = self.profile.iteration_ms(self.profile.slots as usize, context_tokens);
        let iterations = self.profile.mean_output_tokens as f64
            / f64::from(self.profile.steps_per_iteration.max(1));
        let by_slots = engines * slots / (iterations * iteration_ms).max(1.0);
        let by_cold_limit = self.cold.map(|cold| {
            let share = if settings.cold_share > 0.0 { settings.cold_share } else { 0.5 };
            engines * (cold.requests_per_s * share).max(1.0) / 1_000.0
        });
        RoomForecast {
            engines: usable(engines),
            needed_engines: self.price.needed_engines(),
            starts_per_ms: by_cold_limit.map_or(by_slots, |by_cold| by_cold.min(by_slots)),
            starts_from_ms: cold_starts_from_ms,
        }
    }
}
