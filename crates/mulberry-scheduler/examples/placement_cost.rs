//! Measures the time of one placement, by number of engines and prompt length.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::workspaces::spec_of;
use common::{engines, job, profile, spec};
use mulberry_scheduler::{JobSpec, Scheduler, SchedulerSettings};

/// Number of requests that run on each engine while another one is placed.
const RUNNING_PER_ENGINE: u64 = 6;

/// Number of placements per measurement.
const ROUNDS: u64 = 400;

fn main() {
    println!("engines  workspaces  short us  medium us  long us");
    for (engine_count, workspaces) in [(23, 0), (78, 0), (300, 0), (78, 390), (300, 390)] {
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_engines(0, &"pool".into(), &profile(), None, &engines(engine_count));
        scheduler.set_shares("pool", workspaces > 0);
        let of_workspace = |number: u64, spec: JobSpec| match workspaces {
            0 => spec,
            _ => spec_of(&format!("w{}", number % workspaces), 0, &spec),
        };
        for number in 0..engine_count as u64 * RUNNING_PER_ENGINE {
            let spec = of_workspace(number, spec(4_000, 300, 250));
            // With shares, all of them are recent.
            let at_ms = if workspaces > 0 { 9_000 + number % 1_000 } else { number };
            let _ = scheduler.place(at_ms, job(number), &spec);
            scheduler.first_event(job(number));
        }
        let mean_us = [(4_000, 300, 250), (45_000, 1_500, 600), (154_000, 3_000, 1_000)].map(
            |(tokens, latency_slo_ms, max_event_gap_ms)| {
                let mut spent = Duration::ZERO;
                for round in 0..ROUNDS {
                    let spec = of_workspace(round, spec(tokens, latency_slo_ms, max_event_gap_ms));
                    let begin = Instant::now();
                    let _ = scheduler.place(10_000 + round * 20, job(1 << 40), &spec);
                    spent += begin.elapsed();
                }
                spent.as_secs_f64() * 1e6 / ROUNDS as f64
            },
        );
        println!(
            "{engine_count:7}  {workspaces:10}  {:8.0}  {:9.0}  {:7.0}",
            mean_us[0], mean_us[1], mean_us[2]
        );
    }
}
