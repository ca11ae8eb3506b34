//! All engines and jobs of the services that have model engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::baseline::BaselineState;
use crate::cost::{Bounds, value};
use crate::demand::Demand;
use crate::engine_state::EngineState;
use crate::pool::{Plan, Pool, bounds};
use crate::{
    ActiveJob, Decision, EngineInfo, Helper, JobId, JobSpec, Outcome, Placement, PlacementPolicy,
    Refusal, RefusalCause, SchedulerSettings,
};

/// Numbers of engines that are compared for reading a prompt.
const TEAM_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Cost of a refusal, as a part of the request's value: more than the whole, since the caller must come again.
const REFUSAL_COST: f64 = 1.3;

/// Time from the end of a prompt's reading to its first event, roughly.
const FIRST_PASS_MS: f64 = 60.0;

/// All engines and jobs as one gateway knows them.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    pools: HashMap<Arc<str>, Pool>,
    jobs: HashMap<JobId, Job>,
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

    /// Forecast of the first event when it was placed.
    first_event_ms: u64,
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
        profile: &EngineProfile,
        cold: Option<ColdStartLimit>,
        engines: &[EngineInfo],
    ) {
        let pool = self.pools.entry(service.clone()).or_insert_with(|| Pool {
            profile: profile.clone(),
            cold,
            engines: BTreeMap::new(),
            reading_share: 0.0,
            share_at_ms: now_ms,
            demand: Demand::default(),
            baseline: BaselineState::default(),
        });
        pool.profile = profile.clone();
        pool.cold = cold;
        let listed: HashSet<&Arc<str>> = engines.iter().map(|engine| &engine.id).collect();
        pool.engines.retain(|id, _| listed.contains(id));
        for info in engines {
            let state = pool
                .engines
                .entry(info.id.clone())
                .or_insert_with(|| EngineState::new(info, now_ms));
            state.cold_until_ms = now_ms + info.cold_remaining_ms;
        }
    }

    /// Drops the services that are not listed.
    pub fn retain_services(&mut self, services: &HashSet<Arc<str>>) {
        self.pools.retain(|service, _| services.contains(service));
    }

    /// Jobs that are placed.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn contains_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Where a job was placed, for a question that is sent again.
    pub fn placement(&self, job: JobId) -> Option<Placement> {
        self.jobs.get(&job).map(|entry| Placement {
            engine: entry.engine.clone(),
            helpers: entry.helpers.clone(),
            first_event_ms: entry.first_event_ms,
        })
    }

    /// Part of the engines of a service that have been reading lately, in percent.
    pub fn prefill_load_percent(&self, service: &str) -> u8 {
        self.pools.get(service).map_or(0, |pool| (pool.reading_share * 100.0) as u8)
    }

    /// Decides where a request runs and counts it there.
    pub fn place(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) -> Decision {
        self.forget(job);
        let Some(plan) = self.best_plan(now_ms, spec) else {
            return self.no_room(now_ms, spec);
        };
        let refusal_cost = value(spec.prompt_tokens) * REFUSAL_COST;
        let cause = if plan.first_event_ms > longest_wait_ms(spec) {
            Some(RefusalCause::TooLate)
        } else if plan.cost - plan.order_cost > refusal_cost {
            Some(RefusalCause::TooCostly)
        } else {
            None
        };
        if let Some(cause) = cause {
            return Decision::Refused(self.refusal(spec, cause, plan.first_event_ms));
        }
        let placement = Placement {
            engine: plan.first,
            helpers: plan.helpers,
            first_event_ms: plan.first_event_ms.round() as u64,
        };
        self.add(now_ms, job, spec, &placement, false);
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
                Outcome::Disconnected => engine.disconnected(now_ms, &self.settings),
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
        let is_unknown = |number: &u64| !self.contains_job(JobId { gateway, number: *number });
        active.iter().copied().filter(is_unknown).collect()
    }

    /// Counts a job that was placed elsewhere.
    pub fn add_active_job(&mut self, now_ms: u64, gateway: u64, told: &ActiveJob) {
        let job = JobId { gateway, number: told.number };
        if self.jobs.contains_key(&job) {
            return;
        }
        let placement = Placement {
            engine: told.engine.clone(),
            helpers: told.helpers.clone(),
            first_event_ms: 0,
        };
        self.add(now_ms, job, &told.spec, &placement, told.is_decoding);
    }

    /// Sets the parts of the limit for cold engines that this scheduler may use for engines that are cold, and for
    /// others: an engine may turn cold before it says so.
    pub fn set_cold_start_shares(&mut self, cold_share: f64, warm_share: f64) {
        self.settings.cold_share = cold_share;
        self.settings.warm_share = warm_share;
        self.settings.sharing_gateways = 0;
    }

    /// The same for one of several gateways that decide without each other. `rank` gives its rank among all of them at
    /// an engine; it is asked once for each engine until [`Scheduler::clear_ranks`].
    pub fn divide_cold_start_limit(
        &mut self,
        cold_share: f64,
        warm_share: f64,
        gateways: u32,
        rank: impl Fn(&Arc<str>) -> u32,
    ) {
        self.set_cold_start_shares(cold_share, warm_share);
        self.settings.sharing_gateways = gateways;
        let engines = self.pools.values_mut().flat_map(|pool| pool.engines.values_mut());
        engines.for_each(|engine| engine.set_rank(&rank));
    }

    /// Forgets the ranks of this gateway at all engines, since there are other gateways now.
    pub fn clear_ranks(&mut self) {
        let engines = self.pools.values_mut().flat_map(|pool| pool.engines.values_mut());
        engines.for_each(EngineState::clear_rank);
    }

    /// Drops the jobs of gateways that are gone.
    pub fn retain_gateways(&mut self, alive: &HashSet<u64>) {
        let gone: Vec<JobId> =
            self.jobs.keys().filter(|job| !alive.contains(&job.gateway)).copied().collect();
        gone.into_iter().for_each(|job| self.forget(job));
    }

    fn add(
        &mut self,
        now_ms: u64,
        job: JobId,
        spec: &JobSpec,
        placement: &Placement,
        is_decoding: bool,
    ) {
        let Some(pool) = self.pools.get_mut(&spec.service) else { return };
        let team = 1 + placement.helpers.len();
        let part_ms = pool.profile.prefill_ms(spec.prompt_tokens) / team as f64;
        let mut lent_tokens = 0;
        let mut read_end_ms = now_ms as f64;
        let mut displaced = Vec::new();
        let mut read = |engine: &mut EngineState, is_helper| {
            if is_decoding {
                return;
            }
            let (ends_ms, moved) = engine.add_part(job, now_ms, part_ms, &pool.profile, is_helper);
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
            let tokens = (spec.prompt_tokens + spec.max_output_tokens).saturating_sub(lent_tokens);
            engine.hold(job, now_ms, spec, tokens, is_decoding);
        }
        for (other, ends_ms) in displaced {
            if let Some(other) = self.jobs.get_mut(&other) {
                other.read_end_ms = other.read_end_ms.max(ends_ms);
            }
        }
        let entry = Job {
            service: spec.service.clone(),
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
            read_end_ms,
            placed_ms: now_ms as f64,
            bounds: bounds(spec),
            worth: value(spec.prompt_tokens),
            first_event_ms: placement.first_event_ms,
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

    fn best_plan(&mut self, now_ms: u64, spec: &JobSpec) -> Option<Plan> {
        let settings = self.settings.clone();
        let pool = self.pools.get_mut(&spec.service)?;
        pool.update_reading_share(now_ms);
        pool.demand.arrived(now_ms, spec.max_event_gap_ms, value(spec.prompt_tokens));
        if settings.policy != PlacementPolicy::ExpectedCost {
            pool.baseline.next(now_ms, &pool.engines);
        }
        let pool = &*pool;
        let candidates = pool.candidates(now_ms, spec, &settings);
        if settings.policy != PlacementPolicy::ExpectedCost {
            return pool.baseline_plan(spec, &candidates, settings.policy);
        }
        let alone_ms = pool.profile.prefill_ms(spec.prompt_tokens);
        let mut best: Option<Plan> = None;
        for size in TEAM_SIZES {
            if size > 1 && alone_ms / (size as f64) < settings.min_prefill_part_ms {
                break;
            }
            if size > candidates.len() || size > settings.max_helpers + 1 {
                break;
            }
            let Some(plan) = pool.plan(now_ms, spec, &candidates, size, &self.jobs) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
                best = Some(plan);
            }
        }
        best
    }

    /// The answer when no engine can take the request now.
    fn no_room(&self, now_ms: u64, spec: &JobSpec) -> Decision {
        let Some(pool) = self.pools.get(&spec.service) else { return Decision::NoEngine };
        let usable = pool.engines.values().filter(|engine| !spec.excluded.contains(&engine.id));
        let Some(wait_ms) = usable.map(|engine| engine.suspended_left_ms(now_ms)).min() else {
            return Decision::NoEngine;
        };
        let refusal = self.refusal(spec, RefusalCause::NoRoom, wait_ms as f64);
        Decision::Refused(Refusal { forecast_ms: 0, ..refusal })
    }

    fn refusal(&self, spec: &JobSpec, cause: RefusalCause, forecast_ms: f64) -> Refusal {
        Refusal {
            cause,
            retry_after_ms: self.retry_after_ms(forecast_ms, spec),
            forecast_ms: forecast_ms as u64,
            prefill_load_percent: self.prefill_load_percent(&spec.service),
        }
    }

    fn retry_after_ms(&self, wait_ms: f64, spec: &JobSpec) -> u64 {
        let usual = wait_ms.max(0.0) as u64 / 2 + spec.slo_left_ms / 4;
        usual.clamp(self.settings.min_retry_after_ms, self.settings.max_retry_after_ms)
    }
}

/// Time after which the caller has left without a first event. Only callers of streams leave before their deadline.
fn longest_wait_ms(spec: &JobSpec) -> f64 {
    if spec.max_event_gap_ms > 0 { bounds(spec).give_up_ms } else { spec.time_left_ms as f64 }
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
