//! A discrete-time simulation of engines, and load scenarios for it.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use mulberry_routes::EngineProfile;
use mulberry_scheduler::{
    Decision, EngineGroups, EngineInfo, GroupCoordinator, GroupLoads, JobId, JobSpec, Outcome,
    Placement, Refusal, Scheduler, SchedulerSettings, ServiceEngines,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time step of the simulation.
const TICK_MS: u64 = 2;

/// Profile of an engine with 16 slots and memory for 315,000 tokens.
pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: 315_000,
        step_ms: 0.85,
        step_per_request_ms: 0.004_25,
        step_per_1k_context_ms: 0.002_85,
        prefill_tokens_per_ms: 177.0,
        prefill_per_1m_pairs_ms: 0.184,
        prefill_chunk_tokens: 2_048,
        steps_per_iteration: 51,
        remote_kv_step_ms: 0.05,
        mean_prompt_tokens: 11_000,
        mean_output_tokens: 1_600,
    }
}

pub fn engines(count: usize) -> Vec<EngineInfo> {
    (0..count)
        .map(|index| EngineInfo {
            id: format!("e{index:02}").into(),
            zone: format!("z{}", index % 3).into(),
            cold_remaining_ms: 0,
        })
        .collect()
}

pub fn scheduler(engine_count: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.set_engines(0, &"pool".into(), &profile(), None, &engines(engine_count));
    scheduler
}

pub fn job(number: u64) -> JobId {
    JobId { gateway: 1, number }
}

pub fn spec(prompt_tokens: u64, latency_slo_ms: u64, max_event_gap_ms: u64) -> JobSpec {
    JobSpec {
        service: "pool".into(),
        prompt_tokens,
        max_output_tokens: 1_600,
        slo_left_ms: latency_slo_ms,
        max_event_gap_ms,
        time_left_ms: 10_000,
        zone: "z0".into(),
        excluded: Vec::new(),
    }
}

/// A request of a load scenario: its arrival time, what it needs, and the number of events in its response.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub spec: JobSpec,
    pub events: u32,
}

/// Result of one simulated request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    pub prompt_tokens: u64,

    /// Whether its last attempt was refused.
    pub is_refused: bool,

    /// Number of refusals.
    pub refusals: u32,
    pub is_on_time: bool,
    pub is_served: bool,
}

/// How requests are placed.
pub enum Placer {
    Scheduler(Box<Scheduler>),

    /// Each engine in turn, without helpers. Holds the index of the last engine.
    RoundRobin(usize),

    /// A coordinator per zone; the one in the zone of the request is asked first.
    Groups(Box<Groups>),
}

/// Coordinators by zone, and the state with which gateways choose among them.
pub struct Groups {
    coordinators: BTreeMap<Arc<str>, GroupCoordinator>,
    loads: GroupLoads,
    /// Number of usable engines in each zone.
    usable: BTreeMap<Arc<str>, usize>,

    /// Zone in which each job was placed.
    placed: BTreeMap<JobId, Arc<str>>,

    rng: ChaCha8Rng,

    /// Whether a second coordinator is asked when the first one cannot place a request with margin to its SLO.
    tries_other_groups: bool,
}

impl Groups {
    pub fn new(engine_count: usize, tries_other_groups: bool) -> Groups {
        let all = ServiceEngines {
            service: "pool".into(),
            profile: profile(),
            cold: None,
            engines: engines(engine_count),
        };
        let mut usable: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for engine in &all.engines {
            *usable.entry(engine.zone.clone()).or_default() += 1;
        }
        assert_eq!(EngineGroups::for_zones(&usable), EngineGroups::ByZone);
        let coordinator = |zone: &Arc<str>| {
            let mut coordinator = GroupCoordinator::new(SchedulerSettings::default(), 0);
            coordinator.set_engines(0, &[all.for_group(EngineGroups::ByZone, zone)]);
            coordinator
        };
        Groups {
            coordinators: usable.keys().map(|zone| (zone.clone(), coordinator(zone))).collect(),
            loads: GroupLoads::default(),
            usable,
            placed: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
            tries_other_groups,
        }
    }

    fn place_in(&mut self, now_ms: u64, zone: &Arc<str>, job: JobId, spec: &JobSpec) -> Decision {
        let coordinator = self.coordinators.get_mut(zone).expect("a known zone");
        let decision = coordinator.place(now_ms, job, spec);
        self.loads.record(now_ms, zone, &decision, coordinator.prefill_load_percent(&spec.service));
        decision
    }

    fn place(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) -> Decision {
        let mut zone = spec.zone.clone();
        let mut decision = self.place_in(now_ms, &zone, job, spec);
        let drawn = self.rng.random_range(0.0..1.0);
        let (tried, is_refused) = (std::slice::from_ref(&zone), !decision.is_placed());
        let other = self.loads.choose_fallback(now_ms, tried, is_refused, &self.usable, drawn);
        if let Some(other) =
            other.filter(|_| self.tries_other_groups && !decision.has_slo_margin(spec))
        {
            let second_decision = self.place_in(now_ms, &other, job, spec);
            let unused = if second_decision.is_sooner_than(&decision) {
                decision = second_decision;
                std::mem::replace(&mut zone, other)
            } else {
                other
            };
            let coordinator = self.coordinators.get_mut(&unused).expect("a known zone");
            coordinator.finish(now_ms, job, Outcome::Rejected);
        }
        if decision.is_placed() {
            self.placed.insert(job, zone);
        }
        decision
    }

    fn coordinator_for(&mut self, job: JobId) -> Option<&mut GroupCoordinator> {
        self.coordinators.get_mut(self.placed.get(&job)?)
    }
}

/// A simulated engine.
#[derive(Debug, Default)]
struct Engine {
    /// Prompt parts to prefill, with the request and the remaining time in milliseconds. Helper parts come first.
    prefills: Vec<(usize, f64)>,

    /// Decoding requests, with the steps until their next event.
    decoding: Vec<(usize, u32)>,

    /// End of the last step.
    free_at_ms: f64,
}

/// A placed request in simulation.
#[derive(Debug)]
struct RunningRequest {
    /// Number of prompt parts that are not yet prefilled.
    parts_left: usize,
    engine: usize,
    events_left: u32,
    last_event_ms: Option<f64>,
    max_gap_ms: f64,
    first_event_ms: Option<f64>,
}

/// Simulates a load without retries and returns the result of each request.
pub fn simulate(engine_count: usize, arrivals: &[Arrival], placer: Placer) -> Vec<RequestResult> {
    simulate_with_retries(engine_count, arrivals, placer, 0)
}

/// Simulates a load whose callers retry a refused request after the given delay, up to `max_retries` times, and returns
/// the result of each request. Callers wait at most a third of the time left until their deadline.
pub fn simulate_with_retries(
    engine_count: usize,
    arrivals: &[Arrival],
    mut placer: Placer,
    max_retries: u32,
) -> Vec<RequestResult> {
    let profile = profile();
    let ids: Vec<Arc<str>> = engines(engine_count).into_iter().map(|e| e.id).collect();
    let index_of = |id: &Arc<str>| ids.iter().position(|known| known == id).expect("known engine");
    let mut engines: Vec<Engine> = (0..engine_count).map(|_| Engine::default()).collect();
    let mut running: BTreeMap<usize, RunningRequest> = BTreeMap::new();
    let mut refused = HashSet::new();
    let mut refusals = vec![0; arrivals.len()];
    let first_attempts =
        arrivals.iter().enumerate().map(|(request, arrival)| (arrival.at_ms, request));
    let mut attempts: BTreeSet<(u64, usize)> = first_attempts.collect();
    let mut completed: BTreeMap<usize, RunningRequest> = BTreeMap::new();
    let end_ms = arrivals.iter().map(|arrival| arrival.at_ms).max().unwrap_or(0) + 20_000;
    let mut now_ms = 0;
    while now_ms < end_ms {
        while attempts.first().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, request)) = attempts.pop_first() else { break };
            let arrival = &arrivals[request];
            let passed_ms = now_ms - arrival.at_ms;
            let spec = JobSpec {
                time_left_ms: arrival.spec.time_left_ms.saturating_sub(passed_ms),
                slo_left_ms: if std::env::var("L").is_ok() {
                    arrival.spec.slo_left_ms.saturating_sub(passed_ms)
                } else {
                    arrival.spec.slo_left_ms
                },
                ..arrival.spec.clone()
            };
            let decision = match &mut placer {
                Placer::Scheduler(scheduler) => scheduler.place(now_ms, job(request as u64), &spec),
                Placer::Groups(groups) => groups.place(now_ms, job(request as u64), &spec),
                Placer::RoundRobin(last) => {
                    *last = (*last + 1) % engine_count;
                    Decision::Placed(Placement {
                        engine: ids[*last].clone(),
                        helpers: Vec::new(),
                        first_event_ms: 0,
                    })
                }
            };
            match decision {
                Decision::Placed(placement) => {
                    let group_size = 1 + placement.helpers.len();
                    let part_ms =
                        profile.prefill_ms(arrival.spec.prompt_tokens) / group_size as f64;
                    let engine = index_of(&placement.engine);
                    engines[engine].prefills.push((request, part_ms));
                    for helper in &placement.helpers {
                        engines[index_of(&helper.engine)].prefills.insert(0, (request, part_ms));
                    }
                    running.insert(
                        request,
                        RunningRequest {
                            parts_left: group_size,
                            engine,
                            events_left: arrival.events,
                            last_event_ms: None,
                            max_gap_ms: 0.0,
                            first_event_ms: None,
                        },
                    );
                }
                Decision::Refused(Refusal { retry_after_ms, .. })
                    if refusals[request] < max_retries =>
                {
                    refusals[request] += 1;
                    let wait_ms = retry_after_ms.min(spec.time_left_ms / 3);
                    attempts.insert((now_ms + wait_ms.max(TICK_MS), request));
                }
                Decision::Refused(_) | Decision::NoEngine => {
                    refusals[request] += 1;
                    refused.insert(request);
                }
            }
        }
        for engine in 0..engine_count {
            step_engine(
                engine,
                now_ms as f64,
                &profile,
                &mut engines,
                &mut running,
                |request, is_end| {
                    let job = job(request as u64);
                    match &mut placer {
                        Placer::Scheduler(scheduler) if is_end => {
                            scheduler.finish(now_ms, job, Outcome::Done);
                        }
                        Placer::Scheduler(scheduler) => scheduler.first_event(job),
                        Placer::Groups(groups) => match groups.coordinator_for(job) {
                            Some(coordinator) if is_end => {
                                coordinator.finish(now_ms, job, Outcome::Done);
                            }
                            Some(coordinator) => coordinator.first_event(job),
                            None => {}
                        },
                        Placer::RoundRobin(_) => {}
                    }
                },
            );
        }
        let finished: Vec<usize> =
            running.iter().filter(|(_, r)| r.events_left == 0).map(|(id, _)| *id).collect();
        for request in finished {
            completed.extend(running.remove(&request).map(|state| (request, state)));
        }
        now_ms += TICK_MS;
    }
    let result_of = |(request, arrival): (usize, &Arrival)| {
        let state = completed.get(&request);
        let is_on_time = state.is_some_and(|state| {
            let first_ms = state.first_event_ms.unwrap_or(f64::MAX) - arrival.at_ms as f64;
            first_ms <= arrival.spec.slo_left_ms as f64
                && state.max_gap_ms <= arrival.spec.max_event_gap_ms as f64
        });
        RequestResult {
            prompt_tokens: arrival.spec.prompt_tokens,
            is_refused: refused.contains(&request),
            refusals: refusals[request],
            is_on_time,
            is_served: state.is_some(),
        }
    };
    arrivals.iter().enumerate().map(result_of).collect()
}

/// Runs the steps of an engine up to `now_ms`. Each step prefills at most one chunk and decodes one token of each
/// decoding request. Calls `on_event` for the first event (`false`) and the end (`true`) of each request.
fn step_engine(
    index: usize,
    now_ms: f64,
    profile: &EngineProfile,
    engines: &mut [Engine],
    running: &mut BTreeMap<usize, RunningRequest>,
    mut on_event: impl FnMut(usize, bool),
) {
    let chunk_ms = profile.prefill_chunk_tokens as f64 / profile.prefill_tokens_per_ms;
    loop {
        let engine = &mut engines[index];
        if engine.free_at_ms > now_ms || (engine.prefills.is_empty() && engine.decoding.is_empty())
        {
            return;
        }
        let begin_ms = engine.free_at_ms.max(now_ms - TICK_MS as f64);
        let mut step_ms = 0.0;
        let mut prefilled = None;
        if let Some((request, left_ms)) = engine.prefills.first_mut() {
            let prefill_ms = left_ms.min(chunk_ms);
            *left_ms -= prefill_ms;
            step_ms += prefill_ms;
            if *left_ms <= 0.0 {
                prefilled = Some(*request);
                engine.prefills.remove(0);
            }
        }
        if !engine.decoding.is_empty() {
            let context = engine.decoding.len() as u64 * 6_600;
            let iteration_ms = profile.iteration_ms(engine.decoding.len(), context);
            step_ms += iteration_ms / f64::from(profile.steps_per_iteration);
        }
        let end_ms = begin_ms + step_ms;
        engine.free_at_ms = end_ms;
        for (_, steps) in &mut engine.decoding {
            *steps -= 1;
        }
        let due: Vec<usize> =
            engine.decoding.iter().filter(|(_, steps)| *steps == 0).map(|(id, _)| *id).collect();
        for request in due {
            let Some(state) = running.get_mut(&request) else { continue };
            let gap_ms = state.last_event_ms.map_or(0.0, |last| end_ms - last);
            state.max_gap_ms = state.max_gap_ms.max(gap_ms);
            state.last_event_ms = Some(end_ms);
            if state.first_event_ms.is_none() {
                state.first_event_ms = Some(end_ms);
                on_event(request, false);
            }
            state.events_left -= 1;
            if state.events_left == 0 {
                engine.decoding.retain(|(id, _)| *id != request);
                on_event(request, true);
            }
        }
        for (_, steps) in &mut engine.decoding {
            if *steps == 0 {
                *steps = profile.steps_per_iteration;
            }
        }
        let Some(state) = prefilled.and_then(|request| running.get_mut(&request)) else { continue };
        state.parts_left -= 1;
        if state.parts_left == 0 {
            let primary = state.engine;
            engines[primary].decoding.extend(prefilled.map(|id| (id, profile.steps_per_iteration)));
        }
    }
}

/// Random arrivals for `seconds`; `shorts` and `longs` are the mean numbers of short and long prompts per second.
pub fn mixed_load(seed: u64, seconds: u64, shorts: f64, longs: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at_ms in 0..seconds * 1_000 {
        if rng.random_bool(shorts / 1_000.0) {
            let tokens = rng.random_range(1_000..9_000);
            arrivals.push(Arrival { at_ms, spec: spec(tokens, 300, 250), events: 33 });
        }
        if rng.random_bool(longs / 1_000.0) {
            let tokens = rng.random_range(80_000..230_000);
            let spec = JobSpec { time_left_ms: 15_000, ..spec(tokens, 3_000, 1_000) };
            arrivals.push(Arrival { at_ms, spec, events: 16 });
        }
    }
    arrivals
}

/// Fractions of the short and of the long prompts that were on time.
pub fn on_time_fractions(results: &[RequestResult]) -> (f64, f64) {
    let fraction = |is_long: bool| {
        let of_length: Vec<&RequestResult> =
            results.iter().filter(|result| (result.prompt_tokens > 16_000) == is_long).collect();
        let on_time = of_length.iter().filter(|result| result.is_on_time).count();
        on_time as f64 / of_length.len().max(1) as f64
    };
    (fraction(false), fraction(true))
}
