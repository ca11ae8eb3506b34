//! All engines and jobs of the services that have model engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdLimit, EngineTerms};

use crate::cost::{Bounds, value};
use crate::engine_state::EngineState;
use crate::{
    ActiveJob, Decision, EngineInfo, Helper, JobId, Outcome, Placement, Refusal, RefusalCause,
    SchedulerSettings, Work,
};

/// Numbers of engines that are compared for reading a prompt.
const TEAM_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Cost of an engine in another zone, as a part of the request's value: its bytes cross between zones.
const OTHER_ZONE_COST: f64 = 0.01;

/// Cost of each engine that helps, which is disturbed in its passes.
const HELPER_COST: f64 = 0.02;

/// Cost of using an engine for a request with tight pauses that serves none yet, so that engines stay free for long
/// prompts; for each request there already, it falls.
const OPENING_COST: f64 = 0.5;

/// Cost of a wait that is as long as the aim, as a part of the request's value, on time or not.
const WAIT_COST: f64 = 0.1;

/// Cost of a refusal, as a part of the request's value: more than the whole, since the caller must come again.
const REFUSAL_COST: f64 = 1.3;

/// Cost of a millisecond of reading while all engines read: what other prompts that wait for it are worth.
const READ_MS_COST: f64 = 0.005;

/// Backlog from which on an engine counts as wholly busy.
const BUSY_BACKLOG_MS: f64 = 400.0;

/// Time over which the part of busy engines is averaged.
const SHARE_MEMORY_MS: f64 = 1_000.0;

/// Cost of a prompt that lies at other engines as a whole; lending takes orders to each of them.
const BORROWING_COST: f64 = 1.0;

/// Tokens of a prompt that its holder has room for at least.
const MIN_HELD_TOKENS: u64 = 4_096;

/// Unit in which memory is lent.
const LENT_BLOCK_TOKENS: u64 = 64;

/// Part of the reading at an engine that still goes on when a request placed now begins to write there.
const READ_ON: f64 = 0.5;

/// Time from the end of a prompt's reading to its first event, roughly.
const FIRST_PASS_MS: f64 = 60.0;

/// Cost of each part that an engine reads already: requests that are read one after the other there begin to write in
/// the pauses of each other.
const TURN_COST: f64 = 0.05;

/// Requests with tight pauses on one engine up to which they are kept together.
const PACKED_REQUESTS: f64 = 10.0;

/// All engines and jobs as one gateway knows them.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    pools: HashMap<Arc<str>, Pool>,
    jobs: HashMap<JobId, Job>,
}

/// Engines of one service.
#[derive(Debug)]
struct Pool {
    terms: EngineTerms,
    cold: Option<ColdLimit>,
    engines: BTreeMap<Arc<str>, EngineState>,

    /// Part of the engines that have been reading lately, from 0 to 1, and when it was last brought up to date.
    reading_share: f64,
    share_at_ms: u64,
}

/// A placed request.
#[derive(Debug)]
pub(crate) struct Job {
    service: Arc<str>,
    engine: Arc<str>,
    helpers: Vec<Helper>,

    /// When the last part of its prompt should have been read.
    read_end_ms: f64,

    placed_ms: f64,

    /// Bounds of its first event when it was placed.
    bounds: Bounds,

    worth: f64,
}

/// An engine as a candidate for one request.
#[derive(Debug)]
struct Candidate {
    id: Arc<str>,
    pass_ms: f64,

    /// Whether it may write the answer.
    may_write: bool,

    /// Memory that is left.
    free_tokens: u64,

    /// Cost of holding the request there beside all others.
    hold_cost: f64,
}

/// A way to place a request.
#[derive(Debug)]
struct Plan {
    first: Arc<str>,
    helpers: Vec<Helper>,
    first_event_ms: f64,
    cost: f64,

    /// The part of the cost that only keeps requests of a kind together, and is no reason to refuse one.
    order_cost: f64,
}

impl Scheduler {
    pub fn new(settings: SchedulerSettings) -> Scheduler {
        Scheduler { settings, pools: HashMap::new(), jobs: HashMap::new() }
    }

    /// Replaces the engines of a service that may be used. Engines that are listed again keep their jobs.
    pub fn set_engines(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        terms: &EngineTerms,
        cold: Option<ColdLimit>,
        engines: &[EngineInfo],
    ) {
        let pool = self.pools.entry(service.clone()).or_insert_with(|| Pool {
            terms: terms.clone(),
            cold,
            engines: BTreeMap::new(),
            reading_share: 0.0,
            share_at_ms: now_ms,
        });
        pool.terms = terms.clone();
        pool.cold = cold;
        let listed: HashSet<&Arc<str>> = engines.iter().map(|engine| &engine.id).collect();
        pool.engines.retain(|id, _| listed.contains(id));
        for info in engines {
            let state = pool
                .engines
                .entry(info.id.clone())
                .or_insert_with(|| EngineState::new(info, now_ms));
            state.cold_until_ms = now_ms + info.cold_left_ms;
        }
    }

    /// Drops the services that are not listed.
    pub fn keep_services(&mut self, services: &HashSet<Arc<str>>) {
        self.pools.retain(|service, _| services.contains(service));
    }

    /// Jobs that are placed.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn knows(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Decides where a request runs and counts it there.
    pub fn place(&mut self, now_ms: u64, job: JobId, work: &Work) -> Decision {
        self.forget(job);
        let Some(plan) = self.best_plan(now_ms, work) else {
            return self.no_room(now_ms, work);
        };
        let refusal_cost = value(work.prompt_tokens) * REFUSAL_COST;
        let cause = if plan.first_event_ms > work.time_left_ms as f64 {
            Some(RefusalCause::TooLate)
        } else if plan.cost - plan.order_cost > refusal_cost {
            Some(RefusalCause::TooCostly)
        } else {
            None
        };
        if let Some(cause) = cause {
            return Decision::Refused(self.refusal(work, cause, plan.first_event_ms));
        }
        let placement = Placement {
            engine: plan.first,
            helpers: plan.helpers,
            first_event_ms: plan.first_event_ms.round() as u64,
        };
        self.add(now_ms, job, work, &placement, false);
        Decision::Placed(placement)
    }

    /// The first event of a request has come: its prompt is read.
    pub fn first_event(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(pool) = self.pools.get_mut(&entry.service) else { return };
        for id in entry.engines() {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.first_event(job);
            }
        }
    }

    /// A request has ended at its engine.
    pub fn finish(&mut self, now_ms: u64, job: JobId, outcome: Outcome) {
        let Some(entry) = self.jobs.get(&job) else { return };
        if let Some(engine) =
            self.pools.get_mut(&entry.service).and_then(|pool| pool.engines.get_mut(&entry.engine))
        {
            match outcome {
                Outcome::Done => engine.succeeded(),
                Outcome::Rejected => {}
                Outcome::Failed => engine.failed(now_ms, &self.settings),
            }
        }
        self.forget(job);
    }

    /// Drops the jobs of a gateway that it no longer lists. Jobs newer than `up_to` are kept: they were placed after the
    /// gateway made its list. Returns the listed numbers that are not known here.
    pub fn retain_jobs(&mut self, gateway: u64, up_to: u64, active: &[u64]) -> Vec<u64> {
        let listed: HashSet<u64> = active.iter().copied().collect();
        let gone: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|job| job.gateway == gateway && job.number <= up_to)
            .filter(|job| !listed.contains(&job.number))
            .copied()
            .collect();
        gone.into_iter().for_each(|job| self.forget(job));
        let is_unknown = |number: &u64| !self.knows(JobId { gateway, number: *number });
        active.iter().copied().filter(is_unknown).collect()
    }

    /// Counts a job that was placed elsewhere.
    pub fn tell(&mut self, now_ms: u64, gateway: u64, told: &ActiveJob) {
        let job = JobId { gateway, number: told.number };
        if self.jobs.contains_key(&job) {
            return;
        }
        let placement = Placement {
            engine: told.engine.clone(),
            helpers: told.helpers.clone(),
            first_event_ms: 0,
        };
        self.add(now_ms, job, &told.work, &placement, told.is_writing);
    }

    /// Sets the parts of the limit for cold engines that this scheduler may use for engines that are cold, and for
    /// others: an engine may turn cold before it says so.
    pub fn set_start_shares(&mut self, cold_share: f64, warm_share: f64) {
        self.settings.cold_share = cold_share;
        self.settings.warm_share = warm_share;
    }

    /// Drops the jobs of gateways that are gone.
    pub fn keep_gateways(&mut self, alive: &HashSet<u64>) {
        let gone: Vec<JobId> =
            self.jobs.keys().filter(|job| !alive.contains(&job.gateway)).copied().collect();
        gone.into_iter().for_each(|job| self.forget(job));
    }

    fn add(
        &mut self,
        now_ms: u64,
        job: JobId,
        work: &Work,
        placement: &Placement,
        is_writing: bool,
    ) {
        let Some(pool) = self.pools.get_mut(&work.service) else { return };
        let team = 1 + placement.helpers.len();
        let part_ms = pool.terms.read_ms(work.prompt_tokens) / team as f64;
        let mut lent_tokens = 0;
        let mut read_end_ms = now_ms as f64;
        let mut displaced = Vec::new();
        let mut read = |engine: &mut EngineState, is_helper| {
            if is_writing {
                return;
            }
            let (ends_ms, moved) = engine.add_part(job, now_ms, part_ms, &pool.terms, is_helper);
            read_end_ms = read_end_ms.max(ends_ms);
            displaced.extend(moved);
        };
        for helper in &placement.helpers {
            lent_tokens += helper.lent_tokens;
            let Some(engine) = pool.engines.get_mut(&helper.engine) else { continue };
            read(engine, true);
            if helper.lent_tokens > 0 {
                engine.lend(job, helper.lent_tokens);
            }
        }
        if let Some(engine) = pool.engines.get_mut(&placement.engine) {
            read(engine, false);
            let tokens = (work.prompt_tokens + work.answer_tokens).saturating_sub(lent_tokens);
            engine.hold(job, now_ms, work, tokens, is_writing);
        }
        for (other, ends_ms) in displaced {
            if let Some(other) = self.jobs.get_mut(&other) {
                other.read_end_ms = other.read_end_ms.max(ends_ms);
            }
        }
        let entry = Job {
            service: work.service.clone(),
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
            read_end_ms,
            placed_ms: now_ms as f64,
            bounds: bounds(work),
            worth: value(work.prompt_tokens),
        };
        self.jobs.insert(job, entry);
    }

    fn forget(&mut self, job: JobId) {
        let Some(entry) = self.jobs.remove(&job) else { return };
        let Some(pool) = self.pools.get_mut(&entry.service) else { return };
        for id in entry.engines() {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.forget(job);
            }
        }
    }

    fn best_plan(&mut self, now_ms: u64, work: &Work) -> Option<Plan> {
        let settings = self.settings.clone();
        let pool = self.pools.get_mut(&work.service)?;
        let candidates = pool.candidates(now_ms, work, &settings);
        pool.update_reading_share(now_ms);
        let alone_ms = pool.terms.read_ms(work.prompt_tokens);
        let mut best: Option<Plan> = None;
        for size in TEAM_SIZES {
            if size > 1 && alone_ms / (size as f64) < settings.min_part_ms {
                break;
            }
            if size > candidates.len() || size > settings.max_helpers + 1 {
                break;
            }
            let Some(plan) = pool.plan(now_ms, work, &candidates, size, &self.jobs) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
                best = Some(plan);
            }
        }
        best
    }

    /// The answer when no engine can take the request now.
    fn no_room(&self, now_ms: u64, work: &Work) -> Decision {
        let Some(pool) = self.pools.get(&work.service) else { return Decision::NoEngine };
        let usable = pool.engines.values().filter(|engine| !work.excluded.contains(&engine.id));
        let Some(wait_ms) = usable.map(|engine| engine.suspended_left_ms(now_ms)).min() else {
            return Decision::NoEngine;
        };
        let refusal = self.refusal(work, RefusalCause::NoRoom, wait_ms as f64);
        Decision::Refused(Refusal { forecast_ms: 0, ..refusal })
    }

    fn refusal(&self, work: &Work, cause: RefusalCause, forecast_ms: f64) -> Refusal {
        let reading_share = self.pools.get(&work.service).map_or(0.0, |pool| pool.reading_share);
        Refusal {
            cause,
            retry_after_ms: self.retry_after_ms(forecast_ms, work),
            forecast_ms: forecast_ms as u64,
            reading_percent: (reading_share * 100.0) as u8,
        }
    }

    fn retry_after_ms(&self, wait_ms: f64, work: &Work) -> u64 {
        let usual = wait_ms.max(0.0) as u64 / 2 + work.aim_left_ms / 4;
        usual.clamp(self.settings.min_retry_after_ms, self.settings.max_retry_after_ms)
    }
}

impl Job {
    /// What the request loses when its prompt is read at `ends_ms` instead of when it should be.
    pub(crate) fn loss_by(&self, now_ms: u64, ends_ms: f64) -> f64 {
        if ends_ms <= self.read_end_ms {
            return 0.0;
        }
        let now_ms = now_ms as f64;
        let bounds = self.bounds.after(now_ms - self.placed_ms);
        let loss = |at_ms: f64| bounds.loss((at_ms - now_ms).max(0.0) + FIRST_PASS_MS);
        (loss(ends_ms) - loss(self.read_end_ms)) * self.worth
    }

    /// All engines that it uses.
    fn engines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.helpers.iter().map(|helper| &helper.engine).chain([&self.engine])
    }
}

impl Pool {
    fn candidates(
        &mut self,
        now_ms: u64,
        work: &Work,
        settings: &SchedulerSettings,
    ) -> Vec<Candidate> {
        let terms = &self.terms;
        let cold = self.cold;
        let max_requests = (f64::from(terms.slots) * settings.slot_share).max(1.0);
        let max_tokens = (terms.memory_tokens as f64 * settings.memory_share) as u64;
        let mut candidates = Vec::with_capacity(self.engines.len());
        for engine in self.engines.values_mut() {
            if engine.is_suspended(now_ms) || work.excluded.contains(&engine.id) {
                continue;
            }
            let share = if engine.cold_until_ms > now_ms {
                settings.cold_share
            } else {
                settings.warm_share
            };
            let is_cold_full = engine.is_cold_full(now_ms, cold, share, settings);
            let kin = engine.held_with_pause(work.max_pause_ms) as f64;
            let opening = OPENING_COST * (1.0 - (kin / PACKED_REQUESTS).min(1.0));
            let crowd = (engine.held_requests() as f64 / max_requests).powi(3) * OPENING_COST;
            let turns = engine.reading_parts() as f64 * TURN_COST;
            let distance = if engine.zone == work.zone {
                0.0
            } else {
                OTHER_ZONE_COST * value(work.prompt_tokens)
            };
            candidates.push(Candidate {
                id: engine.id.clone(),
                pass_ms: engine.pass_ms(terms),
                may_write: (engine.held_requests() as f64) < max_requests && !is_cold_full,
                free_tokens: max_tokens.saturating_sub(engine.used_tokens()),
                hold_cost: opening + crowd + distance + turns,
            });
        }
        candidates
    }

    /// The best way to read the prompt on `size` engines.
    fn plan(
        &self,
        now_ms: u64,
        work: &Work,
        candidates: &[Candidate],
        size: usize,
        jobs: &HashMap<JobId, Job>,
    ) -> Option<Plan> {
        let part_ms = self.terms.read_ms(work.prompt_tokens) / size as f64;
        let worth = value(work.prompt_tokens);
        let bounds = bounds(work);
        let aim_ms = bounds.aim_ms;
        let own_loss = |end_ms: f64| {
            worth * bounds.loss(end_ms) + worth * WAIT_COST * (end_ms / aim_ms.max(1.0)).min(3.0)
        };
        // When each engine has read its part, and what that costs those who are there.
        let score = |candidate: &Candidate, is_helper: bool| {
            let engine = &self.engines[&candidate.id];
            let end_ms = engine.read_end_ms(now_ms, part_ms, candidate.pass_ms, is_helper);
            let displaced = is_helper.then_some(jobs);
            (end_ms, engine.harm(now_ms, part_ms, candidate.pass_ms, displaced))
        };
        let tokens = work.prompt_tokens + work.answer_tokens;
        let holder = candidates
            .iter()
            .filter(|candidate| candidate.may_write)
            .filter(|candidate| {
                candidate.free_tokens >= tokens
                    || (size > 1
                        && tokens as f64 > self.terms.memory_tokens as f64 * 0.9
                        && candidate.free_tokens >= work.answer_tokens + MIN_HELD_TOKENS)
            })
            .map(|candidate| {
                let (end_ms, harm) = score(candidate, false);
                let borrowing = tokens.saturating_sub(candidate.free_tokens) as f64 / tokens as f64;
                let cost = own_loss(end_ms + candidate.pass_ms)
                    + harm
                    + candidate.hold_cost
                    + borrowing * BORROWING_COST
                    + self.pause_loss(now_ms, work, candidate);
                (cost, end_ms, candidate)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let (holder_cost, holder_end_ms, holder) = holder?;
        let mut helpers: Vec<(f64, f64, f64, &Candidate)> = candidates
            .iter()
            .filter(|candidate| candidate.id != holder.id)
            .map(|candidate| {
                let (end_ms, harm) = score(candidate, true);
                (own_loss(end_ms) + harm, end_ms, harm, candidate)
            })
            .collect();
        helpers.sort_by(|a, b| a.0.total_cmp(&b.0));
        helpers.truncate(size - 1);
        let lent = lend(tokens, holder, &helpers)?;
        let read_end_ms = helpers.iter().map(|helper| helper.1).fold(holder_end_ms, f64::max);
        let harm: f64 = helpers.iter().map(|helper| helper.2).sum();
        // The first event holds the tokens of one whole pass.
        let first_event_ms =
            read_end_ms + self.terms.pass_ms(1, work.prompt_tokens).max(holder.pass_ms);
        let cost = own_loss(first_event_ms) - own_loss(holder_end_ms + holder.pass_ms)
            + holder_cost
            + harm
            + HELPER_COST * helpers.len() as f64
            + self.terms.read_ms(work.prompt_tokens) * READ_MS_COST * self.reading_share.powi(2);
        let helpers = helpers
            .iter()
            .zip(lent)
            .map(|(helper, lent_tokens)| Helper { engine: helper.3.id.clone(), lent_tokens });
        Some(Plan {
            first: holder.id.clone(),
            helpers: helpers.collect(),
            first_event_ms,
            cost,
            order_cost: holder.hold_cost,
        })
    }

    /// Brings the part of the engines that are reading up to date.
    fn update_reading_share(&mut self, now_ms: u64) {
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

    /// What the reading that goes on at an engine costs a request that writes there.
    fn pause_loss(&self, now_ms: u64, work: &Work, candidate: &Candidate) -> f64 {
        if work.max_pause_ms == 0 {
            return 0.0;
        }
        let pause_ms = candidate.pass_ms + self.engines[&candidate.id].backlog_ms(now_ms) * READ_ON;
        value(work.prompt_tokens) * Bounds::of_pause(work.max_pause_ms).loss(pause_ms)
    }
}

fn bounds(work: &Work) -> Bounds {
    Bounds::new(work.aim_left_ms, work.max_pause_ms, work.time_left_ms)
}

/// Memory that each helper lends to a prompt that does not fit its holder; `None` when all of it is not enough.
fn lend(
    tokens: u64,
    holder: &Candidate,
    helpers: &[(f64, f64, f64, &Candidate)],
) -> Option<Vec<u64>> {
    if tokens <= holder.free_tokens {
        return Some(vec![0; helpers.len()]);
    }
    let lacking = tokens - holder.free_tokens;
    let free: Vec<u64> = helpers.iter().map(|helper| helper.3.free_tokens).collect();
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
