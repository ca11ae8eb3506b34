//! Plays a load of workspaces that compete for too little room and prints what each of them gets: first come, first
//! served; with shares; and by an all-knowing max-min division.

#[path = "../tests/common/mod.rs"]
mod common;

use common::workspaces::{Fairness, WorkspaceLoad};

const SEEDS: std::ops::Range<u64> = 1..9;

fn main() {
    let engines_per_zone =
        std::env::args().nth(1).map_or(20, |text| text.parse().expect("a number"));
    let bursts = WorkspaceLoad::bursts(engines_per_zone);
    println!(
        "load, division          total  jain   worst  entitled  kinds                  of small workspaces    six largest"
    );
    for (load_name, glutton) in [("bursts", 1.0), ("glutton", 4.0)] {
        let ranked = WorkspaceLoad { glutton, ..bursts.clone() };
        let unranked = WorkspaceLoad { priorities: vec![0; 3], ..ranked.clone() };
        let best: Vec<Fairness> = SEEDS.map(|seed| ranked.max_min(&ranked.load(seed))).collect();
        for (name, load, has_shares) in [
            ("first come", &ranked, Some(false)),
            ("shares, ranked", &ranked, Some(true)),
            ("shares", &unranked, Some(true)),
            ("max-min", &ranked, None),
        ] {
            let results: Vec<Fairness> = SEEDS
                .map(|seed| match has_shares {
                    Some(has_shares) => load.play(seed, has_shares),
                    None => load.max_min(&load.load(seed)),
                })
                .collect();
            let entitled =
                results.iter().zip(&best).map(|(result, best)| result.entitled(best)).sum::<f64>()
                    / results.len() as f64;
            let Fairness { satisfied, total, worst_tenth, jain, small_by_kind, by_kind } =
                Fairness::mean(&results);
            println!(
                "{load_name:8} {name:14} {total:.3}  {jain:.3}  {worst_tenth:.3}  {entitled:.3}     {by_kind:.3?}  {small_by_kind:.3?}  {:.3?}",
                &satisfied[..6]
            );
        }
    }
}
