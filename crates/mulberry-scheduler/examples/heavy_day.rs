//! Plays the load of heavy days and prints the value delivered by each placement policy.
//!
//! The arguments are scenario files; without any, all files in `examples/scenarios` are played. Refused callers retry
//! once, after the delay given in the refusal. The printed bound is an upper limit for any placement: it assumes that the
//! requests with the most value for the scarcer of engine time and memory are served first, that both can be divided in
//! any way, and that every iteration decodes as many requests as there are slots.

#[path = "../tests/common/mod.rs"]
mod common;

use std::path::{Path, PathBuf};

use common::scenario::Scenario;
use mulberry_scheduler::{PlacementPolicy, SchedulerSettings};

const SEEDS: std::ops::Range<u64> = 1..9;

fn scenario_files() -> Vec<PathBuf> {
    let given: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if !given.is_empty() {
        return given;
    }
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/scenarios");
    let entries = std::fs::read_dir(folder).expect("the folder of scenarios");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.sort();
    files
}

fn main() {
    let policies = [
        ("expected cost", PlacementPolicy::ExpectedCost),
        ("round robin", PlacementPolicy::RoundRobin),
        ("least reported load", PlacementPolicy::LeastReportedLoad),
    ];
    println!(
        "scenario          placement            short  medium  long   all    windows  bound  refused  again"
    );
    for file in scenario_files() {
        let scenario = Scenario::read(&file);
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        for (policy_name, policy) in policies {
            let mut means = [0.0; 8];
            for seed in SEEDS {
                let settings = SchedulerSettings { policy, ..SchedulerSettings::default() };
                let got = scenario.play(seed, settings);
                let bound = scenario.bound(&scenario.load(seed));
                let [short, medium, long] = got.by_kind[..] else { panic!("three kinds") };
                let figures = [
                    short,
                    medium,
                    long,
                    got.total,
                    got.worst_windows,
                    bound,
                    got.refused,
                    got.refused_again,
                ];
                let seeds = (SEEDS.end - SEEDS.start) as f64;
                means.iter_mut().zip(figures).for_each(|(mean, figure)| *mean += figure / seeds);
            }
            let [short, medium, long, all, windows, bound, refused, again] = means;
            println!(
                "{name:16}  {policy_name:19}  {short:.3}  {medium:.3}   {long:.3}  {all:.3}  {windows:.3}    {bound:.3}  {refused:.3}    {again:.3}"
            );
        }
    }
}
