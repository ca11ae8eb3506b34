//! Engines of one service, and the ways to place a request on them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::baseline::BaselineState;
use crate::cost::{Bounds, Risk, value};
use crate::demand::Demand;
use crate::engine_state::{EngineState, WritersByPause};
use crate::scheduler::Job;
use crate::{Helper, JobId, JobSpec, SchedulerSettings};

/// Cost of an engine in another zone, as a part of the request's value: its bytes cross between zones.
const OTHER_ZONE_COST: f64 = 0.01;

/// Cost of each engine that helps, which is disturbed in its passes.
const HELPER_COST: f64 = 0.02;

/// Cost of using an engine for a request with tight pauses that serves none yet, so that engines stay free for long
/// prompts; for each request there already, it falls.
const OPENING_COST: f64 = 0.5;

/// Cost of a wait that is as long as the aim, as a part of the request's value, on time or not.
const WAIT_COST: f64 = 0.1;

/// Times the aim up to which a longer wait costs more.
const MAX_WAIT: f64 = 3.0;

/// Cost of a millisecond of reading while all engines read: what other prompts that wait for it are worth.
const READ_MS_COST: f64 = 0.005;

/// Backlog from which on an engine counts as wholly busy.
const BUSY_BACKLOG_MS: f64 = 400.0;

/// Time over which the part of busy engines is averaged.
const SHARE_MEMORY_MS: f64 = 1_000.0;

/// Backlog up to which an engine can take a short request at once: about a third of the tightest usual aim.
const FREE_BACKLOG_MS: f64 = 100.0;

/// Cost of a prompt that lies at other engines as a whole; lending takes orders to each of them.
const BORROWING_COST: f64 = 1.0;

/// Part of an engine's memory that a prompt must need before it borrows: smaller ones wait for an engine with room,
/// since each loan takes orders to several engines.
const BORROWING_SHARE: f64 = 0.9;

/// Tokens of a prompt that its holder has room for at least.
const MIN_HELD_TOKENS: u64 = 4_096;

/// Unit in which memory is lent.
const LENT_BLOCK_TOKENS: u64 = 64;

/// Part of the reading at an engine that still goes on when a request placed now begins to write there.
const READ_ON: f64 = 0.5;

/// Cost of each part that an engine reads already: requests that are read one after the other there begin to write in
/// the pauses of each other.
const TURN_COST: f64 = 0.05;

/// Part of the engines that may be avoided because connections to them broke off.
const MAX_AVOIDED_SHARE: f64 = 0.5;

/// Requests with tight pauses on one engine up to which they are kept together.
const PACKED_REQUESTS: f64 = 10.0;

/// Engines of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub profile: EngineProfile,
    pub cold: Option<ColdStartLimit>,
    pub engines: BTreeMap<Arc<str>, EngineState>,

    /// Part of the engines that have been reading lately, from 0 to 1, and when it was last brought up to date.
    pub reading_share: f64,
    pub share_at_ms: u64,

    /// Requests that came lately.
    pub demand: Demand,

    pub baseline: BaselineState,
}

/// An engine as a candidate for one request.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub engine: &'a EngineState,
    pub iteration_ms: f64,
    pub backlog_ms: f64,

    /// Value of its writers.
    writers: WritersByPause,

    /// Whether it may write the answer.
    pub may_write: bool,

    /// Memory that is left.
    pub free_tokens: u64,

    /// Cost of holding the request there beside all others.
    hold_cost: f64,

    /// Whether a short request that is placed there begins at once.
    is_free: bool,
}

/// A candidate for one part of a prompt.
#[derive(Debug)]
struct Scored<'a> {
    cost: f64,

    /// Time until it has read the part.
    end_ms: f64,

    /// What the part costs those who are there.
    harm: f64,

    candidate: &'a Candidate<'a>,
}

/// A way to place a request.
#[derive(Debug)]
pub(crate) struct Plan {
    pub first: Arc<str>,
    pub helpers: Vec<Helper>,
    pub first_event_ms: f64,
    pub cost: f64,

    /// The part of the cost that only keeps requests of a kind together, and is no reason to refuse one.
    pub order_cost: f64,
}

impl Pool {
    pub(crate) fn candidates(
        &self,
        now_ms: u64,
        spec: &JobSpec,
        settings: &SchedulerSettings,
    ) -> Vec<Candidate<'_>> {
        let profile = &self.profile;
        let cold = self.cold;
        let max_requests = (f64::from(profile.slots) * settings.slot_share).max(1.0);
        let max_tokens = (profile.memory_tokens as f64 * settings.memory_share) as u64;
        let avoided = self.engines.values().filter(|engine| engine.is_avoided(now_ms)).count();
        // When connections to most engines break off at once, the cause lies in the network.
        let avoids = avoided as f64 <= self.engines.len() as f64 * MAX_AVOIDED_SHARE;
        let mut candidates = Vec::with_capacity(self.engines.len());
        for engine in self.engines.values() {
            let is_avoided = avoids && engine.is_avoided(now_ms);
            if is_avoided || engine.is_suspended(now_ms) || spec.excluded.contains(&engine.id) {
                continue;
            }
            let share = if engine.cold_until_ms > now_ms {
                settings.cold_share
            } else {
                settings.warm_share
            };
            let is_cold_full = engine.is_cold_full(now_ms, cold, share, settings);
            let kin = engine.held_with_pause(spec.max_event_gap_ms) as f64;
            let opening = OPENING_COST * (1.0 - (kin / PACKED_REQUESTS).min(1.0));
            let crowd = (engine.held_requests() as f64 / max_requests).powi(3) * OPENING_COST;
            let turns = engine.reading_parts() as f64 * TURN_COST;
            let distance = if engine.zone == spec.zone {
                0.0
            } else {
                OTHER_ZONE_COST * value(spec.prompt_tokens)
            };
            let may_write = (engine.held_requests() as f64) < max_requests && !is_cold_full;
            let backlog_ms = engine.backlog_ms(now_ms);
            candidates.push(Candidate {
                engine,
                iteration_ms: engine.iteration_ms(profile),
                backlog_ms,
                writers: engine.writers_by_pause(),
                may_write,
                is_free: may_write && backlog_ms < FREE_BACKLOG_MS,
                free_tokens: max_tokens.saturating_sub(engine.used_tokens()),
                hold_cost: opening + crowd + distance + turns,
            });
        }
        candidates
    }

    /// The best way to read the prompt on `size` engines.
    pub(crate) fn plan(
        &self,
        now_ms: u64,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        size: usize,
        jobs: &HashMap<JobId, Job>,
    ) -> Option<Plan> {
        let part_ms = self.profile.prefill_ms(spec.prompt_tokens) / size as f64;
        let worth = value(spec.prompt_tokens);
        let bounds = bounds(spec);
        let wait_cost = |end_ms: f64| {
            worth * WAIT_COST * (end_ms / bounds.latency_slo_ms.max(1.0)).min(MAX_WAIT)
        };
        let own_loss = |end_ms: f64, pause: Risk| worth * bounds.risk(end_ms).and(pause).loss();
        // When each engine has read its part, and what that costs those who are there.
        let score = |candidate: &Candidate<'_>, is_helper: bool| {
            let Candidate { engine, iteration_ms, backlog_ms, .. } = candidate;
            let ahead_ms = if is_helper { 0.0 } else { *backlog_ms };
            let end_ms = EngineState::read_end_ms(ahead_ms, part_ms, *iteration_ms);
            let harm = candidate.writers.harm(iteration_ms + backlog_ms, part_ms);
            let displaced = if is_helper { engine.displaced(now_ms, part_ms, jobs) } else { 0.0 };
            (end_ms, harm + displaced)
        };
        let tokens = spec.prompt_tokens + spec.max_output_tokens;
        let may_borrow =
            size > 1 && tokens as f64 > self.profile.memory_tokens as f64 * BORROWING_SHARE;
        let has_room = |candidate: &&Candidate<'_>| {
            let needed = if may_borrow { spec.max_output_tokens + MIN_HELD_TOKENS } else { tokens };
            candidate.may_write && candidate.free_tokens >= needed
        };
        let holder = candidates
            .iter()
            .filter(has_room)
            .map(|candidate| {
                let (end_ms, harm) = score(candidate, false);
                let borrowing = tokens.saturating_sub(candidate.free_tokens) as f64 / tokens as f64;
                let begin_ms = end_ms + candidate.iteration_ms;
                let cost = own_loss(begin_ms, pause_risk(spec, candidate))
                    + wait_cost(begin_ms)
                    + harm
                    + candidate.hold_cost
                    + borrowing * BORROWING_COST;
                Scored { cost, end_ms, harm, candidate }
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let Scored { end_ms: holder_end_ms, harm: holder_harm, candidate: holder, .. } = holder;
        let mut helpers: Vec<Scored<'_>> = candidates
            .iter()
            .filter(|candidate| size > 1 && candidate.engine.id != holder.engine.id)
            .map(|candidate| {
                let (end_ms, harm) = score(candidate, true);
                let cost = own_loss(end_ms, Risk::NONE) + wait_cost(end_ms) + harm;
                Scored { cost, end_ms, harm, candidate }
            })
            .collect();
        helpers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        helpers.truncate(size - 1);
        let lent = lend(tokens, holder, &helpers)?;
        let read_end_ms = helpers.iter().map(|helper| helper.end_ms).fold(holder_end_ms, f64::max);
        let harm: f64 = helpers.iter().map(|helper| helper.harm).sum();
        // The first event holds the tokens of one whole pass.
        let first_event_ms =
            read_end_ms + self.profile.iteration_ms(1, spec.prompt_tokens).max(holder.iteration_ms);
        let borrowing = tokens.saturating_sub(holder.free_tokens) as f64 / tokens as f64;
        let order_cost = holder.hold_cost;
        let coming = match self.demand.loss_by(now_ms, part_ms) {
            loss if loss > 0.0 => loss * self.shortage(spec, candidates, holder, &helpers),
            _ => 0.0,
        };
        let cost = own_loss(first_event_ms, pause_risk(spec, holder))
            + holder_harm
            + harm
            + borrowing * BORROWING_COST
            + HELPER_COST * helpers.len() as f64
            + self.profile.prefill_ms(spec.prompt_tokens)
                * READ_MS_COST
                * self.reading_share.powi(2)
            + coming
            + wait_cost(first_event_ms)
            + order_cost;
        let helpers = helpers.iter().zip(lent).map(|(helper, lent_tokens)| Helper {
            engine: helper.candidate.engine.id.clone(),
            lent_tokens,
        });
        Some(Plan {
            first: holder.engine.id.clone(),
            helpers: helpers.collect(),
            first_event_ms,
            cost,
            order_cost,
        })
    }

    /// Brings the part of the engines that are reading up to date.
    pub(crate) fn update_reading_share(&mut self, now_ms: u64) {
        if self.engines.is_empty() {
            return;
        }
        let busy: f64 = self
            .engines
            .values()
            .map(|engine| (engine.backlog_ms(now_ms) / BUSY_BACKLOG_MS).min(1.0))
            .sum();
        let share = busy / self.engines.len() as f64;
        let passed_ms = now_ms.saturating_sub(self.share_at_ms) as f64;
        self.share_at_ms = now_ms;
        let weight = 1.0 - (-passed_ms / SHARE_MEMORY_MS).exp();
        self.reading_share += (share - self.reading_share) * weight;
    }

    /// Part of the requests with tighter pauses for which no engine is left while a team reads, from 0 to 1.
    fn shortage(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        holder: &Candidate<'_>,
        helpers: &[Scored<'_>],
    ) -> f64 {
        let team = helpers.iter().map(|helper| helper.candidate).chain([holder]);
        let taken = team.filter(|engine| engine.is_free).count();
        let free = candidates.iter().filter(|engine| engine.is_free).count() - taken;
        let tighter = spec.max_event_gap_ms.saturating_sub(1);
        let held: usize = self.engines.values().map(|e| e.held_with_pause(tighter)).sum();
        let needed = (held as f64 / f64::from(self.profile.slots.max(1))).ceil() + 1.0;
        (1.0 - free as f64 / needed).max(0.0)
    }
}

/// Risk of the pauses that the reading that goes on at an engine makes for a request that writes there.
fn pause_risk(spec: &JobSpec, candidate: &Candidate<'_>) -> Risk {
    if spec.max_event_gap_ms == 0 {
        return Risk::NONE;
    }
    let pause_ms = candidate.iteration_ms + candidate.backlog_ms * READ_ON;
    Bounds::of_pause(spec.max_event_gap_ms).risk(pause_ms)
}

/// Memory that each helper lends to a prompt that does not fit its holder; `None` when all of it is not enough.
fn lend(tokens: u64, holder: &Candidate<'_>, helpers: &[Scored<'_>]) -> Option<Vec<u64>> {
    if tokens <= holder.free_tokens {
        return Some(vec![0; helpers.len()]);
    }
    let lacking = tokens - holder.free_tokens;
    let free: Vec<u64> = helpers.iter().map(|helper| helper.candidate.free_tokens).collect();
    let total: u64 = free.iter().sum();
    if total < lacking {
        return None;
    }
    // Each lends in proportion to what it has, rounded up to whole blocks.
    let share = lacking as f64 / total as f64;
    let lent = |free: u64| {
        let tokens = (free as f64 * share).ceil() as u64;
        tokens.next_multiple_of(LENT_BLOCK_TOKENS).min(free)
    };
    let lent: Vec<u64> = free.into_iter().map(lent).collect();
    (lent.iter().sum::<u64>() >= lacking).then_some(lent)
}

/// Until when an answer to `work` is of use.
pub(crate) fn bounds(spec: &JobSpec) -> Bounds {
    Bounds::new(spec.slo_left_ms, spec.max_event_gap_ms, spec.time_left_ms)
}
