//! Prints what callers get by policy when one of seven targets turns six times slower and recovers.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Figures, Play, PlayedTarget, Policy, target};

const SEEDS: u64 = 5;
const SLOW_TARGET: usize = 2;

/// Parts of the play: before the change, the 2 s after it, then until the recovery, and from 2 s after that.
const PARTS: [(u64, u64); 4] =
    [(5_000, 10_000), (10_000, 12_000), (12_000, 21_000), (24_000, 35_000)];

fn main() {
    let uneven: Vec<PlayedTarget> = [1.0, 1.0, 2.0, 2.0, 0.7, 1.5, 1.0]
        .iter()
        .zip([2.0, 3.0, 6.0, 4.0, 3.0, 5.0, 2.0])
        .map(|(speed, knee)| target(6, knee, *speed))
        .collect();
    let even = vec![target(6, 4.0, 1.0); 7];
    println!("p50 ms, p99 ms, refused %, missed %: before | 2 s after | slow | recovered");
    for gateways in [1, 71, 300] {
        for (load, per_s, targets) in [
            ("light", 16.0, &even),
            ("medium", 250.0, &even),
            ("uneven", 250.0, &uneven),
            ("beyond", 600.0, &even),
        ] {
            for policy in [
                Policy::FixedWeights,
                Policy::LeastOutstanding,
                Policy::Learned,
                Policy::AllKnowing,
            ] {
                let parts = PARTS.map(|_| Vec::new());
                let parts = (0..SEEDS).fold(parts, |mut parts, seed| {
                    let mut play = Play::new(policy, gateways, per_s, targets).seed(seed);
                    run(&mut play);
                    for (part, (from_ms, to_ms)) in parts.iter_mut().zip(PARTS) {
                        part.push(play.figures(from_ms, to_ms));
                    }
                    parts
                });
                let row = parts.map(|part| mean(&part)).join(" | ");
                println!("{gateways:>3} {load:>6} {:<16} {row}", format!("{policy:?}"));
            }
        }
    }
}

fn run(play: &mut Play) {
    play.run_until(10_000);
    play.targets[SLOW_TARGET].speed /= 6.0;
    play.run_until(22_000);
    play.targets[SLOW_TARGET].speed *= 6.0;
    play.run_until(36_000);
}

fn mean(figures: &[Figures]) -> String {
    let of =
        |value: fn(&Figures) -> f64| figures.iter().map(value).sum::<f64>() / figures.len() as f64;
    format!(
        "{:3.0} {:4.0} {:4.1} {:4.1}",
        of(|f| f.p50_ms as f64),
        of(|f| f.p99_ms as f64),
        of(|f| f.refused * 100.0),
        of(|f| f.missed * 100.0)
    )
}
