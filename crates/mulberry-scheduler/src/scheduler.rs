//! All engines and jobs of the services that have model engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdLimit, EngineTerms};

use crate::cost::{LATE_LOSS, lateness, value};
use crate::engine_state::EngineState;
use crate::{ActiveJob, Decision, EngineInfo, JobId, Outcome, Placement, SchedulerSettings, Work};

/// Numbers of engines that are compared for reading a prompt.
const TEAM_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Cost of an engine in another zone, as a part of the request's value: its bytes cross between zones.
const OTHER_ZONE_COST: f64 = 0.01;

/// Cost of each engine that helps, which is disturbed in its passes.
const HELPER_COST: f64 = 0.02;

/// Cost of using an engine for a request with tight pauses that serves none yet, so that engines stay free for long
/// prompts; for each request there already, it falls.
const OPENING_COST: f64 = 0.5;

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
}

#[derive(Debug)]
struct Job {
    service: Arc<str>,
    engine: Arc<str>,
    helpers: Vec<Arc<str>>,
}

/// An engine as a candidate for one request.
#[derive(Debug)]
struct Candidate {
    id: Arc<str>,
    pass_ms: f64,

    /// Whether it may hold the prompt and write the answer.
    may_hold: bool,

    /// Cost of holding the request there beside all others.
    hold_cost: f64,
}

/// A way to place a request.
#[derive(Debug)]
struct Plan {
    first: Arc<str>,
    helpers: Vec<Arc<str>>,
    first_event_ms: f64,
    cost: f64,
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
            return self.refusal(now_ms, work);
        };
        if plan.first_event_ms > work.time_left_ms as f64 {
            return Decision::Refused { retry_after_ms: self.retry_after_ms(plan.first_event_ms, work) };
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
        for id in entry.helpers.iter().chain([&entry.engine]) {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.first_event(job);
            }
        }
    }

    /// A request has ended at its engine.
    pub fn finish(&mut self, now_ms: u64, job: JobId, outcome: Outcome) {
        let Some(entry) = self.jobs.get(&job) else { return };
        if let Some(engine) = self
            .pools
            .get_mut(&entry.service)
            .and_then(|pool| pool.engines.get_mut(&entry.engine))
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

    /// Sets the part of the limit for cold engines that this scheduler may use.
    pub fn set_cold_share(&mut self, cold_share: f64) {
        self.settings.cold_share = cold_share;
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
        if !is_writing {
            for id in placement.helpers.iter().chain([&placement.engine]) {
                if let Some(engine) = pool.engines.get_mut(id) {
                    let pass_ms = engine.pass_ms(&pool.terms);
                    let end_ms = engine.read_end_ms(now_ms, part_ms, pass_ms);
                    engine.add_read(job, now_ms, part_ms, end_ms);
                }
            }
        }
        if let Some(engine) = pool.engines.get_mut(&placement.engine) {
            engine.hold(job, now_ms, work, is_writing);
        }
        let entry = Job {
            service: work.service.clone(),
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
        };
        self.jobs.insert(job, entry);
    }

    fn forget(&mut self, job: JobId) {
        let Some(entry) = self.jobs.remove(&job) else { return };
        let Some(pool) = self.pools.get_mut(&entry.service) else { return };
        for id in entry.helpers.iter().chain([&entry.engine]) {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.forget(job);
            }
        }
    }

    fn best_plan(&mut self, now_ms: u64, work: &Work) -> Option<Plan> {
        let settings = self.settings.clone();
        let pool = self.pools.get_mut(&work.service)?;
        let candidates = pool.candidates(now_ms, work, &settings);
        let alone_ms = pool.terms.read_ms(work.prompt_tokens);
        let mut best: Option<Plan> = None;
        for size in TEAM_SIZES {
            if size > 1 && alone_ms / (size as f64) < settings.min_part_ms {
                break;
            }
            if size > candidates.len() || size > settings.max_helpers + 1 {
                break;
            }
            let Some(plan) = pool.plan(now_ms, work, &candidates, size) else { continue };
            if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
                best = Some(plan);
            }
        }
        best
    }

    /// The answer when no engine can take the request now.
    fn refusal(&self, now_ms: u64, work: &Work) -> Decision {
        let Some(pool) = self.pools.get(&work.service) else { return Decision::NoEngine };
        let usable =
            pool.engines.values().filter(|engine| !work.excluded.contains(&engine.id));
        let Some(wait_ms) = usable.map(|engine| engine.suspended_left_ms(now_ms)).min() else {
            return Decision::NoEngine;
        };
        Decision::Refused { retry_after_ms: self.retry_after_ms(wait_ms as f64, work) }
    }

    fn retry_after_ms(&self, wait_ms: f64, work: &Work) -> u64 {
        let usual = wait_ms.max(0.0) as u64 / 2 + work.aim_left_ms / 4;
        usual.clamp(self.settings.min_retry_after_ms, self.settings.max_retry_after_ms)
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
        let max_tokens = terms.memory_tokens as f64 * settings.memory_share;
        let tokens = (work.prompt_tokens + work.answer_tokens) as f64;
        let mut candidates = Vec::with_capacity(self.engines.len());
        for engine in self.engines.values_mut() {
            if engine.is_suspended(now_ms) || work.excluded.contains(&engine.id) {
                continue;
            }
            let is_free = (engine.held_requests() as f64) < max_requests
                && (engine.held_tokens() == 0 || engine.held_tokens() as f64 + tokens <= max_tokens)
                && tokens <= terms.memory_tokens as f64;
            let is_cold_full = engine.is_cold_full(now_ms, cold, settings);
            let pass_ms = engine.pass_ms(terms);
            let kin = engine.held_with_pause(work.max_pause_ms) as f64;
            let opening = OPENING_COST * (1.0 - (kin / PACKED_REQUESTS).min(1.0));
            let crowd = (engine.held_requests() as f64 / max_requests).powi(3) * OPENING_COST;
            let distance = if engine.zone == work.zone {
                0.0
            } else {
                OTHER_ZONE_COST * value(work.prompt_tokens)
            };
            candidates.push(Candidate {
                id: engine.id.clone(),
                pass_ms,
                may_hold: is_free && !is_cold_full,
                hold_cost: opening + crowd + distance,
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
    ) -> Option<Plan> {
        let part_ms = self.terms.read_ms(work.prompt_tokens) / size as f64;
        let worth = value(work.prompt_tokens);
        let aim_ms = work.aim_left_ms as f64;
        // Per engine: when it has read its part, and what the part costs those who are there.
        let mut scored: Vec<(f64, f64, &Candidate)> = candidates
            .iter()
            .map(|candidate| {
                let engine = &self.engines[&candidate.id];
                let end_ms = engine.read_end_ms(now_ms, part_ms, candidate.pass_ms);
                let harm = engine.harm(now_ms, part_ms, candidate.pass_ms);
                (end_ms, harm, candidate)
            })
            .collect();
        let own_loss = |end_ms: f64| worth * LATE_LOSS * lateness(end_ms, aim_ms)
            + worth * 0.1 * (end_ms / aim_ms.max(1.0)).min(3.0);
        scored.sort_by(|a, b| {
            (own_loss(a.0) + a.1).total_cmp(&(own_loss(b.0) + b.1))
        });
        let first = scored
            .iter()
            .enumerate()
            .filter(|(_, (_, _, candidate))| candidate.may_hold)
            .min_by(|(_, a), (_, b)| {
                let cost = |(end_ms, harm, candidate): &(f64, f64, &Candidate)| {
                    own_loss(*end_ms + candidate.pass_ms)
                        + harm
                        + candidate.hold_cost
                        + self.pause_loss(now_ms, work, candidate)
                };
                cost(a).total_cmp(&cost(b))
            })
            .map(|(index, _)| index)?;
        let (first_end_ms, first_harm, holder) = scored.remove(first);
        let pause_loss = self.pause_loss(now_ms, work, holder);
        let helpers = &scored[..size - 1];
        let read_end_ms = helpers.iter().map(|helper| helper.0).fold(first_end_ms, f64::max);
        let harm: f64 = first_harm + helpers.iter().map(|helper| helper.1).sum::<f64>();
        // The first event holds the tokens of one whole pass.
        let first_event_ms = read_end_ms + self.terms.pass_ms(1, work.prompt_tokens).max(holder.pass_ms);
        let cost = own_loss(first_event_ms)
            + harm
            + holder.hold_cost
            + pause_loss
            + HELPER_COST * helpers.len() as f64;
        Some(Plan {
            first: holder.id.clone(),
            helpers: helpers.iter().map(|helper| helper.2.id.clone()).collect(),
            first_event_ms,
            cost,
        })
    }

    /// What the reading that goes on at an engine costs a request that writes there.
    fn pause_loss(&self, now_ms: u64, work: &Work, candidate: &Candidate) -> f64 {
        if work.max_pause_ms == 0 {
            return 0.0;
        }
        let engine = &self.engines[&candidate.id];
        let others = engine.reading_parts() as f64;
        let backlog_ms = engine.backlog_ms(now_ms);
        let pause_ms = candidate.pass_ms + backlog_ms * (others / (others + 1.0));
        value(work.prompt_tokens) * LATE_LOSS * lateness(pause_ms, work.max_pause_ms as f64)
    }
}
