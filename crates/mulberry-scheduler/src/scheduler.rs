//! Placement of requests on the engines of all services that run model engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::baseline::BaselineState;
use crate::cost::value;
use crate::demand::Demand;
use crate::engine_state::EngineState;
use crate::engine_time_price::EngineTimePrice;
use crate::plan::{Plan, PlanInput};
use crate::pool::{Pool, deadlines};
use crate::tracked_job::TrackedJob;
use crate::turns::{Claim, Turns};
use crate::workspace_shares::BeyondShare;
use crate::{
    ActiveJob, Decision, EngineInfo, JobId, JobSpec, Outcome, Placement, PlacementPolicy, Refusal,
    RefusalCause, SchedulerSettings, ShareReport, ShareUse,
};

/// Numbers of engines considered for the prefill of one prompt.
const PREFILL_GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Cost of a refusal, as a multiple of the request's value; above 1 since the caller has to retry.
const REFUSAL_COST: f64 = 1.3;

/// State of all engines and jobs known to one gateway.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) pools: HashMap<Arc<str>, Pool>,
    jobs: HashMap<JobId, TrackedJob>,

    /// Time from which cold engines may be sent requests.
    pub(crate) cold_starts_from_ms: u64,
}

impl Scheduler {
    pub fn new(settings: SchedulerSettings) -> Scheduler {
        Scheduler { settings, pools: HashMap::new(), jobs: HashMap::new(), cold_starts_from_ms: 0 }
    }

    /// Replaces the usable engines of a service. Engines that remain listed keep their jobs.
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
            prefill_load: 0.0,
            prefill_load_at_ms: now_ms,
            demand: Demand::default(),
            price: EngineTimePrice::default(),
            turns: Turns::default(),
            baseline: BaselineState::default(),
            shares: None,
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
            state.cold_until_ms = now_ms.saturating_add(info.cold_remaining_ms);
        }
    }

    /// Divides the engines of a service among workspaces while they do not suffice, or stops doing so.
    pub fn set_shares(&mut self, service: &str, is_divided: bool) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        if is_divided {
            pool.shares.get_or_insert_default();
        } else {
            pool.shares = None;
        }
    }

    /// Use of a service's engines by the `count` heaviest workspaces; `None` if the engines are not divided.
    pub fn share_report(
        &mut self,
        now_ms: u64,
        service: &str,
        count: usize,
    ) -> Option<ShareReport> {
        let pool = self.pools.get_mut(service)?;
        Some(pool.shares.as_mut()?.report(now_ms, pool.engines.len(), count))
    }

    /// Removes the services that are not in `services`.
    pub fn retain_services(&mut self, services: &HashSet<Arc<str>>) {
        self.pools.retain(|service, _| services.contains(service));
    }

    /// Number of placed jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn contains_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Placement of a known job, to answer a repeated request.
    pub fn placement(&self, job: JobId) -> Option<Placement> {
        self.jobs.get(&job).map(|entry| Placement {
            engine: entry.engine.clone(),
            helpers: entry.helpers.clone(),
            first_event_ms: entry.first_event_ms,
        })
    }

    /// Recent prefill load of a service's engines, in percent.
    pub fn prefill_load_percent(&self, service: &str) -> u8 {
        self.pools.get(service).map_or(0, |pool| (pool.prefill_load * 100.0) as u8)
    }

    /// Decides where a request runs and reserves a slot and memory there.
    pub fn place(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) -> Decision {
        self.remove(job);
        let claim = self.claim_turn(now_ms, spec);
        let decision = self.decide(now_ms, job, spec, claim);
        self.settle_turn(now_ms, spec, claim, decision)
    }

    fn decide(&mut self, now_ms: u64, job: JobId, spec: &JobSpec, claim: Claim) -> Decision {
        let beyond_share = self.compare_with_share(now_ms, job, spec);
        let bid = beyond_share.map_or(1.0, |beyond| beyond.bid);
        let plan = self.best_plan(now_ms, spec, bid, claim);
        let Some(plan) = plan.filter(|_| !self.is_start_kept(now_ms, spec, claim)) else {
            return self.no_capacity(now_ms, spec);
        };
        let refusal_cost = value(spec.prompt_tokens) * REFUSAL_COST;
        if let Some(BeyondShare { share, bid }) = beyond_share
            && plan.cost.without_packing() > refusal_cost * bid
        {
            return Decision::Refused(self.share_refusal(now_ms, spec, share, plan.first_event_ms));
        }
        let cause = if self.settings.refuses_late && plan.first_event_ms > max_wait_ms(spec) {
            Some(RefusalCause::TooLate)
        } else if self.settings.refuses_costly && plan.cost.without_packing() > refusal_cost {
            Some(RefusalCause::TooCostly)
        } else {
            None
        };
        if let Some(cause) = cause {
            return Decision::Refused(self.refusal(spec, cause, plan.first_event_ms));
        }
        let placement = Placement {
            engine: plan.primary,
            helpers: plan.helpers,
            first_event_ms: plan.first_event_ms.round() as u64,
        };
        self.add(now_ms, job, spec, &placement, false);
        Decision::Placed(placement)
    }

    /// Handles the first event of a request: its prefill has finished.
    pub fn first_event(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(pool) = self.pools.get_mut(&entry.service) else { return };
        for id in entry.engines() {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.first_event(job);
            }
        }
    }

    /// Handles the end of a request at its engine.
    pub fn finish(&mut self, now_ms: u64, job: JobId, outcome: Outcome) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let mut pool = self.pools.get_mut(&entry.service);
        let engines = pool.as_mut().map(|pool| &mut pool.engines);
        if let Some(engine) = engines.and_then(|engines| engines.get_mut(&entry.engine)) {
            match outcome {
                Outcome::Done => engine.succeeded(),
                Outcome::Rejected => {}
                Outcome::Disconnected => engine.disconnected(now_ms, &self.settings),
                Outcome::Failed => engine.failed(now_ms, &self.settings),
            }
        }
        if let Some(shares) = pool.and_then(|pool| pool.shares.as_mut())
            && outcome == Outcome::Rejected
        {
            shares.forget(job, &entry.workspace);
        }
        self.remove(job);
    }

    /// Removes the jobs of a gateway that are not in its list `active`. Jobs with a number above `up_to` are kept: they
    /// were placed after the gateway made the list. Returns the listed numbers that are unknown here.
    pub fn retain_jobs(&mut self, gateway: u64, up_to: u64, active: &[u64]) -> Vec<u64> {
        let listed: HashSet<u64> = active.iter().copied().collect();
        let removed: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|job| job.gateway == gateway && job.number <= up_to)
            .filter(|job| !listed.contains(&job.number))
            .copied()
            .collect();
        removed.into_iter().for_each(|job| self.remove(job));
        let is_unknown = |number: &u64| !self.contains_job(JobId { gateway, number: *number });
        active.iter().copied().filter(is_unknown).collect()
    }

    /// Adds a running job that another scheduler placed.
    pub fn add_active_job(&mut self, now_ms: u64, gateway: u64, active: &ActiveJob) {
        let job = JobId { gateway, number: active.number };
        if self.jobs.contains_key(&job) {
            return;
        }
        let placement = Placement {
            engine: active.engine.clone(),
            helpers: active.helpers.clone(),
            first_event_ms: 0,
        };
        self.add(now_ms, job, &active.spec, &placement, active.is_decoding);
    }

    /// Sets the shares of the cold-start rate limit that this scheduler may use, for cold engines and for the others.
    /// The limit also applies to engines not known to be cold, since one may have restarted without having reported it.
    pub fn set_cold_start_shares(&mut self, cold_share: f64, warm_share: f64) {
        self.settings.cold_share = cold_share;
        self.settings.warm_share = warm_share;
        self.settings.sharing_gateways = 0;
    }

    /// Like [`Scheduler::set_cold_start_shares`], for one of `gateways` that place requests independently of each
    /// other. `rank` returns the rank of this gateway among them at an engine; it is called once per engine until
    /// [`Scheduler::clear_ranks`].
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

    /// Clears the ranks of this gateway at all engines; to be called when the set of gateways changes.
    pub fn clear_ranks(&mut self) {
        let engines = self.pools.values_mut().flat_map(|pool| pool.engines.values_mut());
        engines.for_each(EngineState::clear_rank);
    }

    /// Removes the jobs of gateways that are not in `alive`.
    pub fn retain_gateways(&mut self, alive: &HashSet<u64>) {
        let removed: Vec<JobId> =
            self.jobs.keys().filter(|job| !alive.contains(&job.gateway)).copied().collect();
        removed.into_iter().for_each(|job| self.remove(job));
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
        pool.record_share_use(now_ms, job, spec);
        let group_size = 1 + placement.helpers.len();
        let part_ms = pool.profile.prefill_ms(spec.prompt_tokens) / group_size as f64;
        let mut lent_tokens = 0;
        let mut prefill_end_ms = now_ms as f64;
        let mut delayed = Vec::new();
        let mut add_prefill = |engine: &mut EngineState, is_helper| {
            if is_decoding {
                return;
            }
            let (end_ms, other_jobs) =
                engine.add_part(job, now_ms, part_ms, &pool.profile, is_helper);
            prefill_end_ms = prefill_end_ms.max(end_ms);
            delayed.extend(other_jobs);
        };
        for helper in &placement.helpers {
            lent_tokens += helper.lent_tokens;
            let Some(engine) = pool.engines.get_mut(&helper.engine) else { continue };
            add_prefill(engine, true);
            if helper.lent_tokens > 0 {
                engine.lend(job, helper.lent_tokens);
            }
        }
        if let Some(engine) = pool.engines.get_mut(&placement.engine) {
            add_prefill(engine, false);
            let tokens = (spec.prompt_tokens + spec.max_output_tokens).saturating_sub(lent_tokens);
            engine.hold(job, now_ms, spec, tokens, is_decoding);
        }
        for (other, end_ms) in delayed {
            if let Some(other) = self.jobs.get_mut(&other) {
                other.prefill_end_ms = other.prefill_end_ms.max(end_ms);
            }
        }
        let entry = TrackedJob {
            service: spec.service.clone(),
            workspace: spec.origin.workspace.clone(),
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
            prefill_end_ms,
            placed_ms: now_ms as f64,
            deadlines: deadlines(spec),
            value: value(spec.prompt_tokens),
            first_event_ms: placement.first_event_ms,
        };
        self.jobs.insert(job, entry);
    }

    fn remove(&mut self, job: JobId) {
        let Some(entry) = self.jobs.remove(&job) else { return };
        let Some(pool) = self.pools.get_mut(&entry.service) else { return };
        for id in entry.engines() {
            if let Some(engine) = pool.engines.get_mut(id) {
                engine.remove(job);
            }
        }
    }

    fn best_plan(&mut self, now_ms: u64, spec: &JobSpec, bid: f64, claim: Claim) -> Option<Plan> {
        let settings = self.settings.clone();
        let pool = self.pools.get_mut(&spec.service)?;
        pool.update_prefill_load(now_ms);
        let request_value = value(spec.prompt_tokens);
        pool.demand.record_arrival(now_ms, spec.max_event_gap_ms, request_value);
        let engine_ms = pool.profile.prefill_ms(spec.prompt_tokens) + pool.mean_decode_share_ms();
        pool.price.record_arrival(
            now_ms,
            spec.slo_left_ms,
            engine_ms,
            request_value * bid,
            spec.origin.retry_key,
        );
        let kept_engines = pool.turns.engines_ahead(now_ms, spec.origin.priority);
        let price_per_ms = match claim {
            Claim::Due => 0.0,
            Claim::Newcomer | Claim::Early { .. } => {
                pool.price.per_ms(now_ms, pool.engines.len(), kept_engines)
            }
        };
        if settings.policy != PlacementPolicy::ExpectedCost {
            pool.baseline.begin_placement(now_ms, &pool.engines);
        }
        let pool = &*pool;
        let candidates = pool.candidates(now_ms, spec, &settings);
        if settings.policy != PlacementPolicy::ExpectedCost {
            return pool.baseline.plan(&pool.profile, spec, &candidates, settings.policy);
        }
        let single_engine_ms = pool.profile.prefill_ms(spec.prompt_tokens);
        let input = PlanInput {
            now_ms,
            spec,
            candidates: &candidates,
            jobs: &self.jobs,
            price_per_ms,
            settings: &settings,
        };
        let mut best: Option<Plan> = None;
        for size in PREFILL_GROUP_SIZES {
            if size > 1 && single_engine_ms / (size as f64) < settings.min_prefill_part_ms {
                break;
            }
            if size > candidates.len() || size > settings.max_helpers + 1 {
                break;
            }
            let Some(plan) = pool.plan(&input, size) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.cost.total() < best.cost.total()) {
                best = Some(plan);
            }
        }
        best
    }

    /// How far a request is beyond the share of its workspace, if it is.
    fn compare_with_share(
        &mut self,
        now_ms: u64,
        job: JobId,
        spec: &JobSpec,
    ) -> Option<BeyondShare> {
        self.pools.get_mut(&spec.service)?.compare_with_share(now_ms, job, spec)
    }

    /// The decision for a request that no engine can take now.
    fn no_capacity(&self, now_ms: u64, spec: &JobSpec) -> Decision {
        let Some(pool) = self.pools.get(&spec.service) else { return Decision::NoEngine };
        let usable = pool.engines.values().filter(|engine| !spec.excluded.contains(&engine.id));
        let Some(wait_ms) = usable.map(|engine| engine.suspension_remaining_ms(now_ms)).min()
        else {
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
            share: None,
        }
    }

    /// A refusal of what a workspace asks for beyond its share.
    fn share_refusal(
        &mut self,
        now_ms: u64,
        spec: &JobSpec,
        share: ShareUse,
        forecast_ms: f64,
    ) -> Refusal {
        if let Some(pool) = self.pools.get_mut(&spec.service) {
            pool.record_share_refusal(now_ms, spec, share);
        }
        let retry_after_ms = share.allowed_in_ms.max(self.settings.min_retry_after_ms);
        let refusal = self.refusal(spec, RefusalCause::TooCostly, forecast_ms);
        Refusal { retry_after_ms, share: Some(share), ..refusal }
    }

    fn retry_after_ms(&self, wait_ms: f64, spec: &JobSpec) -> u64 {
        let estimate_ms = wait_ms.max(0.0) as u64 / 2 + spec.slo_left_ms / 4;
        estimate_ms.clamp(self.settings.min_retry_after_ms, self.settings.max_retry_after_ms)
    }
}

/// Maximum time to the first event for which the caller waits. Only callers of streams give up before the deadline.
fn max_wait_ms(spec: &JobSpec) -> f64 {
    if spec.max_event_gap_ms > 0 { deadlines(spec).give_up_ms } else { spec.time_left_ms as f64 }
}
