//! A discrete-time simulation of the engines of one service and of callers that retry refused requests.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use mulberry_routes::EngineProfile;
use mulberry_scheduler::{Decision, EngineInfo, JobSpec, Outcome, Placement, Refusal};

use super::{Arrival, Placer, engines, job, profile};

/// Time step of the simulation.
const TICK_MS: u64 = 2;

/// Time simulated after the last arrival.
const DRAIN_MS: u64 = 20_000;

/// The engines of a service, and changes to the set that may receive requests.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub profile: EngineProfile,
    pub engines: Vec<EngineInfo>,

    /// Times at which other engines become usable, with those engines. Requests continue on engines that are no longer
    /// listed.
    pub changes: Vec<(u64, Vec<EngineInfo>)>,

    /// Times at which engines fail, with their ids. Their requests are placed again.
    pub failures: Vec<(u64, Vec<Arc<str>>)>,
}

impl Fleet {
    /// `count` engines with the default profile of the tests.
    pub fn new(count: usize) -> Fleet {
        Fleet {
            profile: profile(),
            engines: engines(count),
            changes: Vec::new(),
            failures: Vec::new(),
        }
    }
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
    helpers: Vec<usize>,

    prompt_tokens: u64,
    events_left: u32,
    last_event_ms: Option<f64>,
    max_gap_ms: f64,
    first_event_ms: Option<f64>,
}

/// Simulates a load without retries and returns the result of each request.
pub fn simulate(engine_count: usize, arrivals: &[Arrival], placer: Placer) -> Vec<RequestResult> {
    simulate_with_retries(&Fleet::new(engine_count), arrivals, placer, 0)
}

/// Simulates a load whose callers retry a refused request after the given delay, up to `max_retries` times, and returns
/// the result of each request. Callers wait at most a third of the time left until their deadline.
pub fn simulate_with_retries(
    fleet: &Fleet,
    arrivals: &[Arrival],
    placer: Placer,
    max_retries: u32,
) -> Vec<RequestResult> {
    let first_attempts =
        arrivals.iter().enumerate().map(|(request, arrival)| (arrival.at_ms, request));
    let mut simulation = Simulation {
        fleet,
        arrivals,
        placer,
        max_retries,
        engines: fleet.engines.iter().map(|_| Engine::default()).collect(),
        running: BTreeMap::new(),
        completed: BTreeMap::new(),
        refused: HashSet::new(),
        refusals: vec![0; arrivals.len()],
        attempts: first_attempts.collect(),
    };
    let end_ms = arrivals.iter().map(|arrival| arrival.at_ms).max().unwrap_or(0) + DRAIN_MS;
    let mut changes = fleet.changes.iter().peekable();
    let mut failures = fleet.failures.iter().peekable();
    for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
        while let Some((_, usable)) = changes.next_if(|(at_ms, _)| *at_ms <= now_ms) {
            simulation.placer.set_engines(now_ms, &fleet.profile, usable);
        }
        while let Some((_, failed)) = failures.next_if(|(at_ms, _)| *at_ms <= now_ms) {
            simulation.fail_engines(now_ms, failed);
        }
        simulation.start_attempts(now_ms);
        for engine in 0..simulation.engines.len() {
            simulation.step_engine(engine, now_ms);
        }
        simulation.finish_requests();
    }
    simulation.results()
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    arrivals: &'a [Arrival],
    placer: Placer,
    max_retries: u32,
    engines: Vec<Engine>,
    running: BTreeMap<usize, RunningRequest>,
    completed: BTreeMap<usize, RunningRequest>,
    refused: HashSet<usize>,

    /// Number of refusals of each request.
    refusals: Vec<u32>,

    /// Times of the next attempts, with the request.
    attempts: BTreeSet<(u64, usize)>,
}

impl Simulation<'_> {
    fn index_of(&self, id: &Arc<str>) -> usize {
        let mut engines = self.fleet.engines.iter();
        engines.position(|engine| engine.id == *id).expect("a known engine")
    }

    /// Places the requests that arrive now or are retried.
    fn start_attempts(&mut self, now_ms: u64) {
        while self.attempts.first().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, request)) = self.attempts.pop_first() else { return };
            let spec = self.current_spec(now_ms, request);
            let decision = match &mut self.placer {
                Placer::Scheduler(scheduler) => scheduler.place(now_ms, job(request as u64), &spec),
                Placer::Groups(groups) => groups.place(now_ms, job(request as u64), &spec),
                Placer::RoundRobin(last) => {
                    *last = (*last + 1) % self.engines.len();
                    Decision::Placed(Placement {
                        engine: self.fleet.engines[*last].id.clone(),
                        helpers: Vec::new(),
                        first_event_ms: 0,
                    })
                }
            };
            self.handle_decision(now_ms, request, decision);
        }
    }

    /// The spec of a request with the times that are left.
    fn current_spec(&self, now_ms: u64, request: usize) -> JobSpec {
        let arrival = &self.arrivals[request];
        let passed_ms = now_ms - arrival.at_ms;
        JobSpec {
            time_left_ms: arrival.spec.time_left_ms.saturating_sub(passed_ms),
            ..arrival.spec.clone()
        }
    }

    fn handle_decision(&mut self, now_ms: u64, request: usize, decision: Decision) {
        match decision {
            Decision::Placed(placement) => self.start(request, &placement),
            Decision::Refused(Refusal { retry_after_ms, .. })
                if self.refusals[request] < self.max_retries =>
            {
                self.refusals[request] += 1;
                let spec = self.current_spec(now_ms, request);
                let wait_ms = retry_after_ms.min(spec.time_left_ms / 3);
                self.attempts.insert((now_ms + wait_ms.max(TICK_MS), request));
            }
            Decision::Refused(_) | Decision::NoEngine => {
                self.refusals[request] += 1;
                self.refused.insert(request);
            }
        }
    }

    fn start(&mut self, request: usize, placement: &Placement) {
        let arrival = &self.arrivals[request];
        let group_size = 1 + placement.helpers.len();
        let prefill_ms = self.fleet.profile.prefill_ms(arrival.spec.prompt_tokens);
        let part_ms = prefill_ms / group_size as f64;
        let engine = self.index_of(&placement.engine);
        let helpers: Vec<usize> =
            placement.helpers.iter().map(|helper| self.index_of(&helper.engine)).collect();
        self.engines[engine].prefills.push((request, part_ms));
        for helper in &helpers {
            self.engines[*helper].prefills.insert(0, (request, part_ms));
        }
        let running = RunningRequest {
            parts_left: group_size,
            engine,
            helpers,
            prompt_tokens: arrival.spec.prompt_tokens,
            events_left: arrival.events,
            last_event_ms: None,
            max_gap_ms: 0.0,
            first_event_ms: None,
        };
        self.running.insert(request, running);
    }

    /// Ends the requests that use failed engines; their callers' gateways place them again.
    fn fail_engines(&mut self, now_ms: u64, failed: &[Arc<str>]) {
        let failed: Vec<usize> = failed.iter().map(|id| self.index_of(id)).collect();
        let uses_failed = |state: &RunningRequest| {
            failed.contains(&state.engine)
                || state.helpers.iter().any(|helper| failed.contains(helper))
        };
        let lost: Vec<usize> =
            self.running.iter().filter(|(_, s)| uses_failed(s)).map(|(id, _)| *id).collect();
        for request in lost {
            self.running.remove(&request);
            for engine in &mut self.engines {
                engine.prefills.retain(|(id, _)| *id != request);
                engine.decoding.retain(|(id, _)| *id != request);
            }
            self.placer.finish(now_ms, job(request as u64), Outcome::Failed);
            self.attempts.insert((now_ms + TICK_MS, request));
        }
    }

    /// Runs the steps of an engine up to `now_ms`. Each step prefills at most one chunk and decodes one token of each
    /// decoding request.
    fn step_engine(&mut self, index: usize, now_ms: u64) {
        let profile = &self.fleet.profile;
        let chunk_ms = profile.prefill_chunk_tokens as f64 / profile.prefill_tokens_per_ms;
        loop {
            let engine = &mut self.engines[index];
            let is_idle = engine.prefills.is_empty() && engine.decoding.is_empty();
            if engine.free_at_ms > now_ms as f64 || is_idle {
                return;
            }
            let begin_ms = engine.free_at_ms.max(now_ms.saturating_sub(TICK_MS) as f64);
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
                let running = &self.running;
                let context: u64 = engine
                    .decoding
                    .iter()
                    .filter_map(|(request, _)| running.get(request))
                    .map(|state| state.prompt_tokens)
                    .sum();
                let iteration_ms = profile.iteration_ms(engine.decoding.len(), context);
                step_ms += iteration_ms / f64::from(profile.steps_per_iteration);
            }
            let end_ms = begin_ms + step_ms;
            engine.free_at_ms = end_ms;
            for (_, steps) in &mut engine.decoding {
                *steps -= 1;
            }
            self.deliver_events(index, now_ms, end_ms);
            let Some(state) = prefilled.and_then(|request| self.running.get_mut(&request)) else {
                continue;
            };
            state.parts_left -= 1;
            if state.parts_left == 0 {
                let primary = state.engine;
                let steps = self.fleet.profile.steps_per_iteration;
                self.engines[primary].decoding.extend(prefilled.map(|id| (id, steps)));
            }
        }
    }

    /// Delivers the events that are due at the end of a step.
    fn deliver_events(&mut self, index: usize, now_ms: u64, end_ms: f64) {
        let engine = &mut self.engines[index];
        let due: Vec<usize> =
            engine.decoding.iter().filter(|(_, steps)| *steps == 0).map(|(id, _)| *id).collect();
        for request in due {
            let Some(state) = self.running.get_mut(&request) else { continue };
            let gap_ms = state.last_event_ms.map_or(0.0, |last| end_ms - last);
            state.max_gap_ms = state.max_gap_ms.max(gap_ms);
            state.last_event_ms = Some(end_ms);
            if state.first_event_ms.is_none() {
                state.first_event_ms = Some(end_ms);
                self.placer.first_event(job(request as u64));
            }
            state.events_left -= 1;
            if state.events_left == 0 {
                engine.decoding.retain(|(id, _)| *id != request);
                self.placer.finish(now_ms, job(request as u64), Outcome::Done);
            }
        }
        for (_, steps) in &mut engine.decoding {
            if *steps == 0 {
                *steps = self.fleet.profile.steps_per_iteration;
            }
        }
    }

    fn finish_requests(&mut self) {
        let finished: Vec<usize> =
            self.running.iter().filter(|(_, r)| r.events_left == 0).map(|(id, _)| *id).collect();
        for request in finished {
            self.completed.extend(self.running.remove(&request).map(|state| (request, state)));
        }
    }

    fn results(&self) -> Vec<RequestResult> {
        let result_of = |(request, arrival): (usize, &Arrival)| {
            let state = self.completed.get(&request);
            let is_on_time = state.is_some_and(|state| {
                let first_ms = state.first_event_ms.unwrap_or(f64::MAX) - arrival.at_ms as f64;
                first_ms <= arrival.spec.slo_left_ms as f64
                    && state.max_gap_ms <= arrival.spec.max_event_gap_ms as f64
            });
            RequestResult {
                prompt_tokens: arrival.spec.prompt_tokens,
                is_refused: self.refused.contains(&request),
                refusals: self.refusals[request],
                is_on_time,
                is_served: state.is_some(),
            }
        };
        self.arrivals.iter().enumerate().map(result_of).collect()
    }
}
