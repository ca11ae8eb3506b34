//! Compares the results of several runs.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::outcome::Outcome;
use crate::report::Report;

/// Table of several results: one column for each run, and the spread between runs of the same experiment.
pub fn compare(reports: &[Report]) -> String {
    let mut by_name: BTreeMap<&str, Vec<&Report>> = BTreeMap::new();
    for report in reports {
        by_name.entry(&report.name).or_default().push(report);
    }
    let mut text = String::new();
    for (name, runs) in by_name {
        // Writing to a string does not fail.
        let _ = write!(text, "{name:<34}");
        for run in 1..=runs.len() {
            let _ = write!(text, "{:>12}", format!("run {run}"));
        }
        let _ = writeln!(text, "{:>12}{:>10}", "median", "spread");
        let measures: Vec<BTreeMap<String, f64>> = runs.iter().map(|run| measure(run)).collect();
        let mut rows: Vec<&String> = measures.iter().flat_map(BTreeMap::keys).collect();
        rows.sort_unstable();
        rows.dedup();
        for row in rows {
            let values: Vec<f64> =
                measures.iter().map(|run| run.get(row).copied().unwrap_or(f64::NAN)).collect();
            let _ = write!(text, "{row:<34}");
            for value in &values {
                let _ = write!(text, "{value:>12.1}");
            }
            let (median, spread) = median_and_spread(&values);
            let _ = writeln!(text, "{median:>12.1}{spread:>9.1}%");
        }
        text.push('\n');
    }
    text
}

fn measure(report: &Report) -> BTreeMap<String, f64> {
    let mut measures = BTreeMap::new();
    for (class, times) in &report.first_token {
        measures.insert(format!("first token {class} p50 ms"), times.p50_ms);
        measures.insert(format!("first token {class} p95 ms"), times.p95_ms);
        measures.insert(format!("first token {class} p99 ms"), times.p99_ms);
    }
    measures.insert("token gap p95 ms".to_owned(), report.token_gap.p95_ms);
    for (name, load) in &report.loads {
        let sent: u64 = load.outcomes.values().sum();
        let right = load.outcomes.get(&Outcome::Right).copied().unwrap_or_default();
        measures.insert(format!("{name} right %"), 100.0 * right as f64 / sent.max(1) as f64);
        measures.insert(format!("{name} total p95 ms"), load.total.p95_ms);
    }
    measures.insert("violations".to_owned(), report.violations.values().sum::<u64>() as f64);
    measures
}

/// Median, and the distance between the largest and the smallest value in percent of it.
fn median_and_spread(values: &[f64]) -> (f64, f64) {
    let mut sorted: Vec<f64> = values.iter().copied().filter(|value| value.is_finite()).collect();
    sorted.sort_by(f64::total_cmp);
    let (Some(smallest), Some(largest)) = (sorted.first(), sorted.last()) else {
        return (f64::NAN, f64::NAN);
    };
    let middle = sorted.len() / 2;
    let median = match sorted.len() % 2 {
        0 => (sorted[middle - 1] + sorted[middle]) / 2.0,
        _ => sorted[middle],
    };
    let spread = if median == 0.0 { 0.0 } else { 100.0 * (largest - smallest) / median };
    (median, spread)
}
