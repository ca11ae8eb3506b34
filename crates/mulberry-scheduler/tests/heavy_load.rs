//! Overload scenarios on simulated engines.
//!
//! The thresholds follow the service level objective: nine in ten responses are on time while the engines have enough
//! capacity.

mod common;

use common::{Placer, mixed_load, on_time_fractions, scheduler, simulate};

const ENGINES: usize = 23;

fn scheduler_placer() -> Placer {
    Placer::Scheduler(Box::new(scheduler(ENGINES)))
}

#[test]
fn many_short_and_some_long_prompts_are_on_time_fractions() {
    for seed in 1..=3 {
        let load = mixed_load(seed, 8, 60.0, 1.5);
        let (shorts, longs) = on_time_fractions(&simulate(ENGINES, &load, scheduler_placer()));
        assert!(shorts >= 0.9, "seed {seed}: {shorts:.3} of the short prompts on time");
        assert!(longs >= 0.9, "seed {seed}: {longs:.3} of the long prompts on time");
    }
}

#[test]
fn a_burst_of_long_prompts_leaves_the_short_ones_on_time_fractions() {
    for seed in 1..=3 {
        let load = mixed_load(seed, 8, 15.0, 3.2);
        let (shorts, longs) = on_time_fractions(&simulate(ENGINES, &load, scheduler_placer()));
        assert!(shorts >= 0.9, "seed {seed}: {shorts:.3} of the short prompts on time");
        assert!(longs >= 0.8, "seed {seed}: {longs:.3} of the long prompts on time");
    }
}

#[test]
fn a_burst_of_short_prompts_is_on_time_fractions() {
    for seed in 1..=3 {
        let load = mixed_load(seed, 6, 120.0, 0.1);
        let (shorts, _) = on_time_fractions(&simulate(ENGINES, &load, scheduler_placer()));
        assert!(shorts >= 0.95, "seed {seed}: {shorts:.3} of the short prompts on time");
    }
}

#[test]
fn expected_cost_placement_beats_round_robin_for_short_and_long_prompts() {
    let load = mixed_load(1, 8, 60.0, 1.5);
    let (shorts, longs) = on_time_fractions(&simulate(ENGINES, &load, scheduler_placer()));
    let (round_robin_shorts, round_robin_longs) =
        on_time_fractions(&simulate(ENGINES, &load, Placer::RoundRobin(0)));
    assert!(
        shorts > round_robin_shorts + 0.1,
        "shorts {shorts:.3} against {round_robin_shorts:.3}"
    );
    assert!(longs > round_robin_longs + 0.1, "longs {longs:.3} against {round_robin_longs:.3}");
}

#[test]
fn light_load_is_not_refused_and_heavy_load_is_served_or_refused() {
    let light = mixed_load(4, 6, 10.0, 0.5);
    let results = simulate(ENGINES, &light, scheduler_placer());
    assert!(results.iter().all(|result| result.is_served && !result.is_refused));
    let heavy = mixed_load(5, 6, 150.0, 8.0);
    let results = simulate(ENGINES, &heavy, scheduler_placer());
    let lost = results.iter().filter(|result| !result.is_served && !result.is_refused).count();
    assert!(
        lost * 20 <= results.len(),
        "{lost} of {} were neither served nor refused",
        results.len()
    );
}

/// Short prompts at 2.5 times the usual rate fill most slots of the engines while some long prompts are prefilled.
#[test]
fn a_burst_of_short_prompts_with_some_long_ones_is_on_time_fractions() {
    let fractions: Vec<f64> = (1..=6)
        .map(|seed| {
            let load = mixed_load(seed, 10, 92.0, 0.4);
            on_time_fractions(&simulate(15, &load, Placer::Scheduler(Box::new(scheduler(15))))).0
        })
        .collect();
    let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
    assert!(mean >= 0.95, "{mean:.3} of the short prompts on time: {fractions:.3?}");
}
