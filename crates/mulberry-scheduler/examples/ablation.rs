//! Measures what each mechanism of the scheduler is worth in the played load.
//!
//! Switches off one mechanism at a time and prints how much less value callers get without it, with the standard error of
//! the mean difference. `cargo run --release --example ablation [FLEETS]` plays the scenarios in `examples/scenarios` with
//! eight loads each and FLEETS drawn fleets (100 by default) with one load each.

#[path = "../tests/common/mod.rs"]
mod common;

use std::path::Path;

use common::scenario::Scenario;
use mulberry_scheduler::{CostFactors, PlacementPolicy, SchedulerSettings};

/// Number of drawn fleets if none is given.
const DEFAULT_FLEETS: u64 = 100;

/// Number of loads of each scenario file.
const LOADS: u64 = 8;

/// Loss of value above which a drawn fleet counts as worse.
const WORSE_BY: f64 = 0.01;

fn switches() -> Vec<(&'static str, SchedulerSettings)> {
    let all = SchedulerSettings::default();
    let without = |change: fn(&mut CostFactors)| {
        let mut cost_factors = CostFactors::default();
        change(&mut cost_factors);
        SchedulerSettings { cost_factors, ..SchedulerSettings::default() }
    };
    vec![
        ("prefill by several engines", SchedulerSettings { max_helpers: 0, ..all.clone() }),
        ("borrowed memory", SchedulerSettings { borrows_memory: false, ..all.clone() }),
        ("refusals as too costly", SchedulerSettings { refuses_costly: false, ..all.clone() }),
        ("refusals as too late", SchedulerSettings { refuses_late: false, ..all.clone() }),
        ("price of engine time", without(|factors| factors.engine_time = 0.0)),
        ("cost of a helper", without(|factors| factors.helper = 0.0)),
        ("packing", without(|factors| factors.unpacked = 0.0)),
        ("crowding", without(|factors| factors.crowding = 0.0)),
        ("queued parts", without(|factors| factors.queued_part = 0.0)),
        ("zone preference", without(|factors| factors.cross_zone = 0.0)),
        ("wait", without(|factors| factors.wait = 0.0)),
        ("gap risk", without(|factors| factors.gap_risk = 0.0)),
        ("stall of others", without(|factors| factors.stall = 0.0)),
        ("delay of others", without(|factors| factors.delay = 0.0)),
        ("expected arrivals", without(|factors| factors.arrivals = 0.0)),
        (
            "all: round robin",
            SchedulerSettings { policy: PlacementPolicy::RoundRobin, ..all.clone() },
        ),
        (
            "all: least reported load",
            SchedulerSettings { policy: PlacementPolicy::LeastReportedLoad, ..all },
        ),
    ]
}

/// Loss of value without a mechanism in each play.
fn losses(plays: &[(Scenario, u64)], full: &[f64], settings: &SchedulerSettings) -> Vec<f64> {
    let mut losses = vec![0.0; plays.len()];
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let chunk = plays.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        for ((plays, full), losses) in
            plays.chunks(chunk).zip(full.chunks(chunk)).zip(losses.chunks_mut(chunk))
        {
            scope.spawn(move || {
                for (((scenario, seed), full), loss) in plays.iter().zip(full).zip(losses) {
                    *loss = full - scenario.play(*seed, settings.clone()).total;
                }
            });
        }
    });
    losses
}

fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (mean, (variance / count).sqrt())
}

fn main() {
    let argument = std::env::args().nth(1);
    let fleets =
        argument.map_or(DEFAULT_FLEETS, |count| count.parse().expect("a number of fleets"));
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder of scenarios")
        .flatten()
        .map(|entry| entry.path())
        .collect();
    files.sort();
    let mut groups: Vec<(String, Vec<(Scenario, u64)>)> = files
        .iter()
        .map(|file| {
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let scenario = Scenario::read(file);
            (name, (1..=LOADS).map(|seed| (scenario.clone(), seed)).collect())
        })
        .collect();
    let drawn = (1..=fleets).map(|seed| (Scenario::draw(seed), seed)).collect();
    groups.push((format!("{fleets} drawn fleets"), drawn));
    println!(
        "{:28}{}",
        "without",
        groups.iter().map(|(name, _)| format!("{name:>20}")).collect::<String>()
    );
    let settings = SchedulerSettings::default();
    let full: Vec<Vec<f64>> = groups
        .iter()
        .map(|(_, plays)| {
            let losses = losses(plays, &vec![0.0; plays.len()], &settings);
            losses.iter().map(|loss| -loss).collect()
        })
        .collect();
    let means = full.iter().map(|full| format!("{:>20.3}", mean_and_error(full).0));
    println!("{:28}{}", "nothing", means.collect::<String>());
    for (name, settings) in switches() {
        let mut row = format!("{name:28}");
        let mut worse = 0;
        for ((_, plays), full) in groups.iter().zip(&full) {
            let losses = losses(plays, full, &settings);
            let (mean, error) = mean_and_error(&losses);
            row += &format!("{:>20}", format!("{mean:+.4} +-{error:.4}"));
            worse = losses.iter().filter(|loss| **loss < -WORSE_BY).count();
        }
        println!("{row}   worse with it by over {WORSE_BY}: {worse} of {fleets}");
    }
}
