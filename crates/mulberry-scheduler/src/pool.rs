//! Engines of one service and the evaluation of placements on them.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::baseline::BaselineState;
use crate::cost::{Deadlines, Risk, value};
use crate::demand::Demand;
use crate::engine_state::EngineState;
use crate::engine_time_price::EngineTimePrice;
use crate::plan::{Candidate, Plan, PlanCost, PlanInput};
use crate::turns::Turns;
use crate::workspace_shares::{BeyondShare, Need, WorkspaceShares};
use crate::{Helper, JobId, JobSpec, SchedulerSettings, ShareUse};

/// Cost of an engine in another zone, as a fraction of the request's value, for the traffic between zones.
const CROSS_ZONE_COST: f64 = 0.01;

/// Cost of each helper, since the additional prefill lengthens its iterations.
const HELPER_COST: f64 = 0.02;

/// Cost of placing a request on an engine that serves none with an equal or stricter event gap yet, so that engines
/// stay free for long prompts. It falls with each such request already there.
const UNPACKED_COST: f64 = 0.5;

/// Cost of a wait as long as the latency SLO, as a fraction of the request's value, whether or not the SLO is met.
const WAIT_COST: f64 = 0.1;

/// Wait beyond which the wait cost no longer grows, as a multiple of the latency SLO.
const MAX_WAIT_SLOS: f64 = 3.0;

/// Prefill backlog at which an engine counts as fully busy.
const BUSY_BACKLOG_MS: f64 = 400.0;

/// Occupied fraction of the engines below which no request is refused for a share: the recent arrivals that would need
/// the engines did not come, or ended early.
const MIN_OCCUPANCY: f64 = 0.25;

/// Time constant of the moving average of the prefill load.
const LOAD_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Prefill backlog below which an engine can take a short request at once: about a third of the strictest common
/// latency SLO.
const FREE_BACKLOG_MS: f64 = 100.0;

/// Cost of holding all of a prompt's KV cache on other engines; borrowing takes a command to each of them.
const BORROWING_COST: f64 = 1.0;

/// Fraction of an engine's memory that a request must need before it borrows memory. Smaller requests wait for an
/// engine with room, since borrowing takes commands to several engines.
const BORROWING_MIN_FRACTION: f64 = 0.9;

/// Number of prompt tokens for which the primary engine must have room even if the rest is borrowed.
const MIN_HELD_TOKENS: u64 = 4_096;

/// Block size in which KV cache memory is lent.
const LENT_BLOCK_TOKENS: u64 = 64;

/// Fraction of an engine's prefill backlog still left when a request placed now begins to decode there.
const REMAINING_BACKLOG_FRACTION: f64 = 0.5;

/// Cost of each prompt part already queued for prefill at an engine: the prefill of later requests stalls the decoding
/// of earlier ones.
const QUEUED_PART_COST: f64 = 0.05;

/// Maximum fraction of engines that are avoided because of broken connections.
const MAX_AVOIDED_FRACTION: f64 = 0.5;

/// Number of requests with an equal or stricter event gap that are packed on one engine.
const MAX_PACKED_REQUESTS: f64 = 10.0;

/// Engines of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub profile: EngineProfile,
    pub cold: Option<ColdStartLimit>,
    pub engines: BTreeMap<Arc<str>, EngineState>,

    /// Moving average of the prefill load, from 0 to 1, and the time of its last update.
    pub prefill_load: f64,
    pub prefill_load_at_ms: u64,

    /// Rate of recent arrivals.
    pub demand: Demand,

    pub price: EngineTimePrice,
    pub turns: Turns,
    pub baseline: BaselineState,

    /// Shares of the workspaces, if the engines are divided among them.
    pub shares: Option<WorkspaceShares>,
}

/// A candidate evaluated for one part of a prompt.
#[derive(Debug)]
struct ScoredCandidate<'a> {
    cost: f64,

    /// Time until it has prefilled the part.
    end_ms: f64,

    /// Loss of the requests already there.
    interference: f64,

    candidate: &'a Candidate<'a>,
}

impl Pool {
    pub(crate) fn candidates(
        &self,
        now_ms: u64,
        spec: &JobSpec,
        settings: &SchedulerSettings,
    ) -> Vec<Candidate<'_>> {
        let profile = &self.profile;
        let factors = &settings.cost_factors;
        let cold = self.cold;
        let max_requests = (f64::from(profile.slots) * settings.slot_share).max(1.0);
        let max_tokens = (profile.memory_tokens as f64 * settings.memory_share) as u64;
        let avoided = self.engines.values().filter(|engine| engine.is_avoided(now_ms)).count();
        // When connections to most engines break at once, the cause is the network rather than the engines.
        let is_avoidance_enabled =
            avoided as f64 <= self.engines.len() as f64 * MAX_AVOIDED_FRACTION;
        let mut candidates = Vec::with_capacity(self.engines.len());
        for engine in self.engines.values() {
            let is_avoided = is_avoidance_enabled && engine.is_avoided(now_ms);
            if is_avoided || engine.is_suspended(now_ms) || spec.excluded.contains(&engine.id) {
                continue;
            }
            let share = engine.cold_share(now_ms, settings);
            let is_at_cold_limit = engine.is_at_cold_limit(now_ms, cold, share, settings);
            let packed = engine.held_with_event_gap(spec.max_event_gap_ms) as f64;
            let unpacked =
                factors.unpacked * UNPACKED_COST * (1.0 - (packed / MAX_PACKED_REQUESTS).min(1.0));
            let crowding = (engine.held_requests() as f64 / max_requests).powi(3)
                * UNPACKED_COST
                * factors.crowding;
            let queued =
                engine.queued_prefill_parts() as f64 * QUEUED_PART_COST * factors.queued_part;
            let cross_zone = if engine.zone == spec.zone {
                0.0
            } else {
                CROSS_ZONE_COST * value(spec.prompt_tokens) * factors.cross_zone
            };
            let may_decode = (engine.held_requests() as f64) < max_requests && !is_at_cold_limit;
            let backlog_ms = engine.backlog_ms(now_ms);
            candidates.push(Candidate {
                engine,
                iteration_ms: engine.iteration_ms(profile),
                backlog_ms,
                value_by_event_gap: engine.value_by_event_gap(),
                may_decode,
                is_free: may_decode && backlog_ms < FREE_BACKLOG_MS,
                free_tokens: max_tokens.saturating_sub(engine.used_tokens()),
                hold_cost: unpacked + crowding + cross_zone + queued,
            });
        }
        candidates
    }

    /// The cheapest placement with prefill on `size` engines; `None` if there is none.
    pub(crate) fn plan(&self, input: &PlanInput<'_>, size: usize) -> Option<Plan> {
        let PlanInput { now_ms, spec, candidates, jobs, price_per_ms, settings } = *input;
        let factors = &settings.cost_factors;
        let part_ms = self.profile.prefill_ms(spec.prompt_tokens) / size as f64;
        let request_value = value(spec.prompt_tokens);
        let deadlines = deadlines(spec);
        let wait_cost = |end_ms: f64| {
            request_value
                * WAIT_COST
                * factors.wait
                * (end_ms / deadlines.latency_slo_ms.max(1.0)).min(MAX_WAIT_SLOS)
        };
        let own_loss =
            |end_ms: f64, gap: Risk| request_value * deadlines.risk(end_ms).and(gap).loss();
        // Time until an engine has prefilled its part, and the loss of the requests already there.
        let score = |candidate: &Candidate<'_>, is_helper: bool| {
            let Candidate { engine, iteration_ms, backlog_ms, .. } = candidate;
            let ahead_ms = if is_helper { 0.0 } else { *backlog_ms };
            let end_ms = EngineState::prefill_end_ms(ahead_ms, part_ms, *iteration_ms);
            let stall = candidate.value_by_event_gap.stall_loss(iteration_ms + backlog_ms, part_ms);
            let delay =
                if is_helper { engine.prefill_delay_loss(now_ms, part_ms, jobs) } else { 0.0 };
            (end_ms, stall * factors.stall + delay * factors.delay)
        };
        let tokens = spec.prompt_tokens + spec.max_output_tokens;
        let may_borrow = settings.borrows_memory
            && size > 1
            && tokens as f64 > self.profile.memory_tokens as f64 * BORROWING_MIN_FRACTION;
        let has_room = |candidate: &&Candidate<'_>| {
            let needed = if may_borrow { spec.max_output_tokens + MIN_HELD_TOKENS } else { tokens };
            candidate.may_decode && candidate.free_tokens >= needed
        };
        let primary = candidates
            .iter()
            .filter(has_room)
            .map(|candidate| {
                let (end_ms, interference) = score(candidate, false);
                let borrowing = tokens.saturating_sub(candidate.free_tokens) as f64 / tokens as f64;
                let begin_ms = end_ms + candidate.iteration_ms;
                let cost = own_loss(begin_ms, gap_risk(spec, candidate, factors.gap_risk))
                    + wait_cost(begin_ms)
                    + interference
                    + candidate.hold_cost
                    + borrowing * BORROWING_COST;
                ScoredCandidate { cost, end_ms, interference, candidate }
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let ScoredCandidate {
            end_ms: primary_end_ms,
            interference: primary_interference,
            candidate: primary,
            ..
        } = primary;
        let mut helpers: Vec<ScoredCandidate<'_>> = candidates
            .iter()
            .filter(|candidate| size > 1 && candidate.engine.id != primary.engine.id)
            .map(|candidate| {
                let (end_ms, interference) = score(candidate, true);
                let cost = own_loss(end_ms, Risk::NONE) + wait_cost(end_ms) + interference;
                ScoredCandidate { cost, end_ms, interference, candidate }
            })
            .collect();
        helpers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        helpers.truncate(size - 1);
        let lent = lend(tokens, primary, &helpers)?;
        let prefill_end_ms =
            helpers.iter().map(|helper| helper.end_ms).fold(primary_end_ms, f64::max);
        let interference: f64 = helpers.iter().map(|helper| helper.interference).sum();
        // The first event carries the tokens of one complete iteration.
        let first_event_ms = prefill_end_ms
            + self.profile.iteration_ms(1, spec.prompt_tokens).max(primary.iteration_ms);
        let is_borrowing = lent.iter().any(|tokens| *tokens > 0);
        if is_borrowing && first_event_ms > settings.max_borrowing_wait_ms {
            return None;
        }
        let borrowing = tokens.saturating_sub(primary.free_tokens) as f64 / tokens as f64;
        let arrivals = match self.demand.expected_loss(now_ms, part_ms) {
            loss if loss > 0.0 => loss * self.shortage(spec, candidates, primary, &helpers),
            _ => 0.0,
        };
        let cost = PlanCost {
            own_loss: own_loss(first_event_ms, gap_risk(spec, primary, factors.gap_risk)),
            wait: wait_cost(first_event_ms),
            interference: primary_interference + interference,
            borrowing: borrowing * BORROWING_COST,
            helpers: HELPER_COST * helpers.len() as f64 * factors.helper,
            engine_time: self.profile.prefill_ms(spec.prompt_tokens)
                * price_per_ms
                * factors.engine_time,
            arrivals: arrivals * factors.arrivals,
            packing: primary.hold_cost,
        };
        let helpers = helpers.iter().zip(lent).map(|(helper, lent_tokens)| Helper {
            engine: helper.candidate.engine.id.clone(),
            lent_tokens,
        });
        Some(Plan {
            primary: primary.engine.id.clone(),
            helpers: helpers.collect(),
            first_event_ms,
            cost,
        })
    }

    /// Engine time that decoding an output of mean length takes, if all slots are in use.
    pub(crate) fn mean_decode_share_ms(&self) -> f64 {
        self.profile.mean_output_tokens as f64 * self.profile.step_ms
            / f64::from(self.profile.slots.max(1))
    }

    /// Records an arrived request in the shares. Returns how far it is beyond the share of its workspace, if it is and the
    /// engines are not mostly idle.
    pub(crate) fn compare_with_share(
        &mut self,
        now_ms: u64,
        job: JobId,
        spec: &JobSpec,
    ) -> Option<BeyondShare> {
        let (need, engines) = (self.need(spec), self.engines.len());
        let shares = self.shares.as_mut().filter(|_| engines > 0)?;
        let beyond = shares.arrive(now_ms, job, &spec.origin, need, engines)?;
        (self.occupancy(now_ms) >= MIN_OCCUPANCY).then_some(beyond)
    }

    /// Occupied fraction of the engines: of their prefill, memory or slots, whichever is the most.
    fn occupancy(&self, now_ms: u64) -> f64 {
        let mean = |occupied: &dyn Fn(&EngineState) -> f64| {
            self.engines.values().map(occupied).sum::<f64>() / self.engines.len().max(1) as f64
        };
        let slots = f64::from(self.profile.slots.max(1));
        let memory_tokens = self.profile.memory_tokens.max(1) as f64;
        mean(&|engine| (engine.backlog_ms(now_ms) / BUSY_BACKLOG_MS).min(1.0))
            .max(mean(&|engine| engine.used_tokens() as f64 / memory_tokens))
            .max(mean(&|engine| engine.held_requests() as f64 / slots))
    }

    /// Records in the shares that a request was refused for being beyond the share of its workspace.
    pub(crate) fn record_share_refusal(&mut self, now_ms: u64, spec: &JobSpec, share: ShareUse) {
        let (need, engines) = (self.need(spec), self.engines.len());
        if let Some(shares) = &mut self.shares {
            shares.refuse(now_ms, &spec.origin, need, share, engines);
        }
    }

    /// Records a placed request in the shares.
    pub(crate) fn record_share_use(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) {
        let need = self.need(spec);
        if let Some(shares) = &mut self.shares {
            shares.place(now_ms, job, &spec.origin, need);
        }
    }

    fn need(&self, spec: &JobSpec) -> Need {
        Need::of(spec, &self.profile, self.mean_decode_share_ms())
    }

    /// Updates the moving average of the prefill load.
    pub(crate) fn update_prefill_load(&mut self, now_ms: u64) {
        if self.engines.is_empty() {
            return;
        }
        let busy: f64 = self
            .engines
            .values()
            .map(|engine| (engine.backlog_ms(now_ms) / BUSY_BACKLOG_MS).min(1.0))
            .sum();
        let load = busy / self.engines.len() as f64;
        let passed_ms = now_ms.saturating_sub(self.prefill_load_at_ms) as f64;
        self.prefill_load_at_ms = now_ms;
        let weight = 1.0 - (-passed_ms / LOAD_TIME_CONSTANT_MS).exp();
        self.prefill_load += (load - self.prefill_load) * weight;
    }

    /// Expected fraction of the requests with stricter event gaps that find no free engine during the prefill.
    fn shortage(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        primary: &Candidate<'_>,
        helpers: &[ScoredCandidate<'_>],
    ) -> f64 {
        let group = helpers.iter().map(|helper| helper.candidate).chain([primary]);
        let taken = group.filter(|engine| engine.is_free).count();
        let free = candidates.iter().filter(|engine| engine.is_free).count() - taken;
        let stricter_gap_ms = spec.max_event_gap_ms.saturating_sub(1);
        let held: usize =
            self.engines.values().map(|e| e.held_with_event_gap(stricter_gap_ms)).sum();
        let needed = (held as f64 / f64::from(self.profile.slots.max(1))).ceil() + 1.0;
        (1.0 - free as f64 / needed).max(0.0)
    }
}

/// Risk that the prefill backlog of an engine causes too long event gaps for a request that decodes there.
fn gap_risk(spec: &JobSpec, candidate: &Candidate<'_>, factor: f64) -> Risk {
    if spec.max_event_gap_ms == 0 {
        return Risk::NONE;
    }
    let gap_ms = candidate.iteration_ms + candidate.backlog_ms * REMAINING_BACKLOG_FRACTION;
    let Risk { late, abandoned } = Deadlines::of_event_gap(spec.max_event_gap_ms).risk(gap_ms);
    Risk { late: late * factor, abandoned: abandoned * factor }
}

/// Tokens of KV cache that each helper lends to a request that does not fit its primary engine; `None` if all of them
/// together have too little memory.
fn lend(tokens: u64, primary: &Candidate<'_>, helpers: &[ScoredCandidate<'_>]) -> Option<Vec<u64>> {
    if tokens <= primary.free_tokens {
        return Some(vec![0; helpers.len()]);
    }
    let missing_tokens = tokens - primary.free_tokens;
    let free: Vec<u64> = helpers.iter().map(|helper| helper.candidate.free_tokens).collect();
    let total: u64 = free.iter().sum();
    if total < missing_tokens {
        return None;
    }
    // Each helper lends in proportion to its free memory, rounded up to whole blocks.
    let share = missing_tokens as f64 / total as f64;
    let lent = |free: u64| {
        let tokens = (free as f64 * share).ceil() as u64;
        tokens.next_multiple_of(LENT_BLOCK_TOKENS).min(free)
    };
    let lent: Vec<u64> = free.into_iter().map(lent).collect();
    (lent.iter().sum::<u64>() >= missing_tokens).then_some(lent)
}

/// Deadlines of the first event of a request.
pub(crate) fn deadlines(spec: &JobSpec) -> Deadlines {
    Deadlines::new(spec.slo_left_ms, spec.max_event_gap_ms, spec.time_left_ms)
}
