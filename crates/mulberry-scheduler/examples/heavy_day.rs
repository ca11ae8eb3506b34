//! Simulates the load of a heavy day and prints the value delivered by each placement policy.
//!
//! Ten seconds with 2.6 times the usual rate of long prompts, ten with 2.5 times the rate of short ones, then ten with
//! the long ones again. Refused callers retry after the delay given in the refusal. The printed bound is an upper limit
//! for any placement: it assumes that the requests with the most value per engine time are served first, that engine time
//! can be divided in any way, and that every iteration decodes as many requests as there are slots.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Arrival, Placer, RequestResult, engines, profile, simulate_with_retries, spec};
use mulberry_scheduler::{JobSpec, PlacementPolicy, Scheduler, SchedulerSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: std::ops::Range<u64> = 1..9;

/// Usual rate of each kind in requests per second.
const RATES_PER_S: [f64; 3] = [46.9, 2.39, 1.44];

/// Begin and end of each phase in milliseconds, and the factor on the usual rate of each kind.
const PHASES: [(u64, u64, [f64; 3]); 5] = [
    (0, 4_000, [1.0, 1.0, 1.0]),
    (4_000, 14_000, [0.5, 2.0, 2.6]),
    (14_000, 24_000, [2.5, 0.5, 0.2]),
    (24_000, 34_000, [0.5, 2.0, 2.6]),
    (34_000, 38_000, [1.0, 1.0, 1.0]),
];

/// A kind of request.
struct Kind {
    median_tokens: f64,

    /// Standard deviation of the logarithm of the prompt length.
    tokens_log_sd: f64,

    mean_tokens: f64,

    /// Mean number of events per response.
    events: f64,

    latency_slo_ms: u64,
    max_event_gap_ms: u64,
    time_left_ms: u64,

    /// Value of a request with a prompt of mean length.
    value: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        median_tokens: 3_300.0,
        tokens_log_sd: 0.94,
        mean_tokens: 4_960.0,
        events: 33.0,
        latency_slo_ms: 300,
        max_event_gap_ms: 250,
        time_left_ms: 10_000,
        value: 1.3,
    },
    Kind {
        median_tokens: 38_000.0,
        tokens_log_sd: 0.53,
        mean_tokens: 45_000.0,
        events: 20.0,
        latency_slo_ms: 1_500,
        max_event_gap_ms: 600,
        time_left_ms: 10_000,
        value: 4.2,
    },
    Kind {
        median_tokens: 131_000.0,
        tokens_log_sd: 0.57,
        mean_tokens: 154_000.0,
        events: 16.0,
        latency_slo_ms: 3_000,
        max_event_gap_ms: 1_000,
        time_left_ms: 15_000,
        value: 21.0,
    },
];

/// Fraction of its value that a late response keeps.
const LATE_VALUE_FRACTION: f64 = 0.25;

/// Standard deviation of the logarithm of the number of events per response.
const EVENTS_LOG_SD: f64 = 0.7;

/// Maximum number of retries after a refusal.
const MAX_RETRIES: u32 = 3;

/// Maximum prompt length.
const MAX_TOKENS: f64 = 900_000.0;

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn load(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (begin_ms, end_ms, factors) in PHASES {
        for at_ms in begin_ms..end_ms {
            for ((kind, rate), factor) in KINDS.iter().zip(RATES_PER_S).zip(factors) {
                if !rng.random_bool(rate * factor / 1_000.0) {
                    continue;
                }
                let tokens = kind.median_tokens * (kind.tokens_log_sd * normal(&mut rng)).exp();
                let events = kind.events
                    * (EVENTS_LOG_SD * normal(&mut rng) - EVENTS_LOG_SD.powi(2) / 2.0).exp();
                let spec = JobSpec {
                    time_left_ms: kind.time_left_ms,
                    ..spec(
                        tokens.clamp(200.0, MAX_TOKENS) as u64,
                        kind.latency_slo_ms,
                        kind.max_event_gap_ms,
                    )
                };
                arrivals.push(Arrival { at_ms, spec, events: events.max(1.0) as u32 });
            }
        }
    }
    arrivals
}

fn kind_of(arrival: &Arrival) -> usize {
    KINDS
        .iter()
        .position(|kind| kind.max_event_gap_ms == arrival.spec.max_event_gap_ms)
        .unwrap_or(0)
}

fn value(arrival: &Arrival) -> f64 {
    let kind = &KINDS[kind_of(arrival)];
    let size = arrival.spec.prompt_tokens as f64 / kind.mean_tokens;
    kind.value * (0.3 + 0.7 * size).min(4.0)
}

/// Fraction of the value delivered, by kind and in total.
fn delivered(load: &[Arrival], results: &[RequestResult]) -> [f64; 4] {
    let mut sums = [[0.0; 2]; 4];
    for (arrival, result) in load.iter().zip(results) {
        let fraction = match (result.is_on_time, result.is_served) {
            (true, _) => 1.0,
            (false, true) => LATE_VALUE_FRACTION,
            (false, false) => 0.0,
        };
        for kind in [kind_of(arrival), 3] {
            sums[kind][0] += value(arrival) * fraction;
            sums[kind][1] += value(arrival);
        }
    }
    sums.map(|[delivered, total]| delivered / total)
}

/// Fractions of the value refused in the end, refused at least once, and refused again after a retry.
fn refused(load: &[Arrival], results: &[RequestResult]) -> [f64; 3] {
    let total: f64 = load.iter().map(value).sum();
    let fraction = |is_counted: fn(&RequestResult) -> bool| {
        let counted = load.iter().zip(results).filter(|(_, result)| is_counted(result));
        counted.map(|(arrival, _)| value(arrival)).sum::<f64>() / total
    };
    [
        fraction(|result| result.is_refused),
        fraction(|result| result.refusals > 0),
        fraction(|result| result.refusals > 1),
    ]
}

/// Upper limit of the fraction of the value that the available engine time can deliver.
fn bound(load: &[Arrival], engine_count: usize) -> f64 {
    let profile = profile();
    let iteration_ms = profile.step_ms * f64::from(profile.steps_per_iteration);
    let mut delivered = 0.0;
    for (begin_ms, end_ms, _) in PHASES {
        let cost = |arrival: &Arrival| {
            profile.prefill_ms(arrival.spec.prompt_tokens)
                + f64::from(arrival.events) * iteration_ms / f64::from(profile.slots)
        };
        let mut phase: Vec<&Arrival> =
            load.iter().filter(|a| (begin_ms..end_ms).contains(&a.at_ms)).collect();
        phase.sort_by(|a, b| (value(b) / cost(b)).total_cmp(&(value(a) / cost(a))));
        // Requests at the end of a phase may still be on time in the next one.
        let mut left_ms =
            engine_count as f64 * (end_ms - begin_ms + KINDS[2].latency_slo_ms) as f64;
        for arrival in phase {
            let fraction = (left_ms / cost(arrival)).min(1.0);
            left_ms -= cost(arrival) * fraction;
            delivered += value(arrival) * (fraction + (1.0 - fraction) * LATE_VALUE_FRACTION);
        }
    }
    delivered / load.iter().map(value).sum::<f64>()
}

fn main() {
    let policies = [
        ("expected cost", PlacementPolicy::ExpectedCost),
        ("round robin", PlacementPolicy::RoundRobin),
        ("least reported load", PlacementPolicy::LeastReportedLoad),
    ];
    println!(
        "engines  placement            short  medium  long   all    bound  refused  once   again"
    );
    for engine_count in [23, 18, 15] {
        for (name, policy) in policies {
            let mut mean = [0.0; 8];
            for seed in SEEDS {
                let load = load(seed);
                let settings = SchedulerSettings { policy, ..SchedulerSettings::default() };
                let mut scheduler = Scheduler::new(settings);
                scheduler.set_engines(0, &"pool".into(), &profile(), None, &engines(engine_count));
                let placer = Placer::Scheduler(Box::new(scheduler));
                let results = simulate_with_retries(engine_count, &load, placer, MAX_RETRIES);
                let [short, medium, long, all] = delivered(&load, &results);
                let [lost, once, again] = refused(&load, &results);
                let bound = bound(&load, engine_count);
                let figures = [short, medium, long, all, bound, lost, once, again];
                let seeds = (SEEDS.end - SEEDS.start) as f64;
                mean.iter_mut().zip(figures).for_each(|(mean, figure)| *mean += figure / seeds);
            }
            let [short, medium, long, all, bound, lost, once, again] = mean;
            println!(
                "{engine_count:7}  {name:19}  {short:.3}  {medium:.3}   {long:.3}  {all:.3}  {bound:.3}  {lost:.3}    {once:.3}  {again:.3}"
            );
        }
    }
}
