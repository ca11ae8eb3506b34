//! Results of an experiment.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use mulberry_types::LengthClass;
use serde::{Deserialize, Serialize};

use crate::accounting::FinalAccounting;
use crate::client::Sent;
use crate::experiment::Experiment;
use crate::outcome::Outcome;

/// Longest time that is told apart; longer ones count as this.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Results of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    pub seed: u64,
    pub started_unix_ms: u64,
    pub warm_up_ms: u64,
    pub duration_ms: u64,

    /// Results by kind of request, in the measured time.
    pub loads: BTreeMap<String, LoadResult>,

    /// Outcomes of the requests of the warm-up.
    pub warm_up_outcomes: BTreeMap<Outcome, u64>,

    /// Time to the first token by length class.
    pub first_token: BTreeMap<String, Percentiles>,

    /// Time between two tokens of an answer.
    pub token_gap: Percentiles,

    pub series: Vec<Second>,
    pub actions: Vec<ActionReport>,
    pub accounting: FinalAccounting,

    /// Number of cases in which a rule of the system was broken, by kind; warm-up included.
    pub violations: BTreeMap<String, u64>,
}

/// Results of one kind of request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    pub outcomes: BTreeMap<Outcome, u64>,

    /// What went wrong, with error codes.
    pub details: BTreeMap<String, u64>,

    pub first_token: Percentiles,

    /// Time to the end of right and of late answers.
    pub total: Percentiles,
}

/// Percentiles of a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    pub count: u64,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// One second of the measured time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub second: u64,

    /// Requests that ended in this second, and how many of them with the right answer.
    pub completed: u64,
    pub right: u64,

    /// 95th percentile of the time to the first token, of those that arrived in this second.
    pub p95_first_token_ms: Option<f64>,

    /// The same for the shortest length class.
    pub p95_short_first_token_ms: Option<f64>,
}

/// What became of a timed action.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActionReport {
    pub at_ms: u64,
    pub url: String,

    /// Status of the answer, or the error.
    pub result: String,
}

/// One request that has ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Name of the kind of request.
    pub(crate) load: String,

    pub(crate) length_class: Option<LengthClass>,

    /// Query of a call that must run at most once.
    pub(crate) at_most_once: Option<String>,

    /// Time of sending after the start, warm-up included.
    pub(crate) at: Duration,

    pub(crate) sent: Sent,
}

/// Gathers the results of a run.
pub(crate) struct Collector {
    warm_up: Duration,
    loads: BTreeMap<String, Gathered>,
    warm_up_outcomes: BTreeMap<Outcome, u64>,
    first_token: BTreeMap<LengthClass, Times>,
    token_gap: Times,
    seconds: BTreeMap<u64, GatheredSecond>,
    violations: BTreeMap<String, u64>,

    /// Outcomes of each call that must run at most once by its query, warm-up included.
    pub(crate) calls: HashMap<String, Vec<Outcome>>,
}

#[derive(Default)]
struct Gathered {
    outcomes: BTreeMap<Outcome, u64>,
    details: BTreeMap<String, u64>,
    first_token: Times,
    total: Times,
}

#[derive(Default)]
struct GatheredSecond {
    completed: u64,
    right: u64,
    first_token: Times,
    short_first_token: Times,
}

/// Histogram of times, made on first use.
#[derive(Default)]
struct Times(Option<Histogram<u64>>);

impl Times {
    fn record(&mut self, time: Duration) {
        if self.0.is_none() {
            self.0 = Histogram::new_with_bounds(1, MAX_TIME_US, 3).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((time.as_micros() as u64).clamp(1, MAX_TIME_US));
        }
    }

    fn percentiles(&self) -> Percentiles {
        let Some(histogram) = &self.0 else { return Percentiles::default() };
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Percentiles {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }

    fn p95_ms(&self) -> Option<f64> {
        self.0.is_some().then(|| self.percentiles().p95_ms)
    }
}

impl Collector {
    pub(crate) fn new(warm_up: Duration) -> Collector {
        Collector {
            warm_up,
            loads: BTreeMap::new(),
            warm_up_outcomes: BTreeMap::new(),
            first_token: BTreeMap::new(),
            token_gap: Times::default(),
            seconds: BTreeMap::new(),
            violations: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    pub(crate) fn add(&mut self, ended: Ended) {
        let Ended { load, length_class, at_most_once, at, sent } = ended;
        let outcome = sent.outcome;
        if let Some(query) = at_most_once {
            self.calls.entry(query).or_default().push(outcome);
        }
        if outcome.is_violation() {
            *self.violations.entry(outcome.name().to_owned()).or_default() += 1;
        }
        self.add_to_series(length_class, at, &sent);
        if at < self.warm_up {
            *self.warm_up_outcomes.entry(outcome).or_default() += 1;
            return;
        }
        let gathered = self.loads.entry(load).or_default();
        *gathered.outcomes.entry(outcome).or_default() += 1;
        if outcome != Outcome::Right {
            let detail = format!("{}: {}", outcome.name(), sent.detail);
            *gathered.details.entry(detail).or_default() += 1;
        }
        if let Some(time) = sent.first_token {
            gathered.first_token.record(time);
            if let Some(class) = length_class {
                self.first_token.entry(class).or_default().record(time);
            }
        }
        if matches!(outcome, Outcome::Right | Outcome::Late) {
            gathered.total.record(sent.total);
        }
        for gap in sent.gaps {
            self.token_gap.record(gap);
        }
    }

    fn add_to_series(&mut self, length_class: Option<LengthClass>, at: Duration, sent: &Sent) {
        let second = |time: Duration| time.checked_sub(self.warm_up).map(|time| time.as_secs());
        if sent.outcome == Outcome::NotSent {
            return;
        }
        if let Some(second) = second(at + sent.total) {
            let gathered = self.seconds.entry(second).or_default();
            gathered.completed += 1;
            gathered.right += u64::from(sent.outcome == Outcome::Right);
        }
        let Some(time) = sent.first_token else { return };
        if let Some(second) = second(at + time) {
            let gathered = self.seconds.entry(second).or_default();
            gathered.first_token.record(time);
            if length_class == Some(LengthClass::Short) {
                gathered.short_first_token.record(time);
            }
        }
    }

    pub(crate) fn into_report(
        self,
        experiment: &Experiment,
        started_unix_ms: u64,
        actions: Vec<ActionReport>,
        accounting: FinalAccounting,
    ) -> Report {
        let mut violations = self.violations;
        for (name, count) in [
            ("leaked_engines", accounting.leaked_tokens.len()),
            ("doubled_calls", accounting.doubled_calls.len()),
            ("false_not_run", accounting.false_not_run.len()),
            ("missing_calls", accounting.missing_calls.len()),
        ] {
            if count > 0 {
                violations.insert(name.to_owned(), count as u64);
            }
        }
        let loads = self.loads.into_iter().map(|(name, gathered)| {
            let result = LoadResult {
                outcomes: gathered.outcomes,
                details: gathered.details,
                first_token: gathered.first_token.percentiles(),
                total: gathered.total.percentiles(),
            };
            (name, result)
        });
        let first_token = self
            .first_token
            .iter()
            .map(|(class, times)| (class.name().to_owned(), times.percentiles()));
        let measured_s = experiment.duration_ms.div_ceil(1_000);
        let last = self.seconds.keys().max().map_or(measured_s, |last| measured_s.max(last + 1));
        let series = (0..last).map(|second| {
            let mut result = Second { second, ..Second::default() };
            if let Some(gathered) = self.seconds.get(&second) {
                result.completed = gathered.completed;
                result.right = gathered.right;
                result.p95_first_token_ms = gathered.first_token.p95_ms();
                result.p95_short_first_token_ms = gathered.short_first_token.p95_ms();
            }
            result
        });
        Report {
            name: experiment.name.clone(),
            seed: experiment.seed,
            started_unix_ms,
            warm_up_ms: experiment.warm_up_ms,
            duration_ms: experiment.duration_ms,
            loads: loads.collect(),
            warm_up_outcomes: self.warm_up_outcomes,
            first_token: first_token.collect(),
            token_gap: self.token_gap.percentiles(),
            series: series.collect(),
            actions,
            accounting,
            violations,
        }
    }
}

impl Report {
    /// The result as a table for people.
    pub fn table(&self) -> String {
        let mut text = format!("{} (seed {}, {} ms)\n\n", self.name, self.seed, self.duration_ms);
        // Writing to a string does not fail.
        let _ = write!(text, "{:<16}{:>8}", "requests", "sent");
        for outcome in self.used_outcomes() {
            let _ = write!(text, "{:>width$}", outcome.name(), width = width(outcome));
        }
        let _ = writeln!(text, "{:>10}{:>10}{:>10}", "p50 ms", "p95 ms", "p99 ms");
        for (name, load) in &self.loads {
            let _ = write!(text, "{name:<16}{:>8}", load.outcomes.values().sum::<u64>());
            for outcome in self.used_outcomes() {
                let count = load.outcomes.get(&outcome).copied().unwrap_or_default();
                let _ = write!(text, "{count:>width$}", width = width(outcome));
            }
            let Percentiles { p50_ms, p95_ms, p99_ms, .. } = load.total;
            let _ = writeln!(text, "{p50_ms:>10.1}{p95_ms:>10.1}{p99_ms:>10.1}");
        }
        let _ = writeln!(
            text,
            "\n{:<16}{:>8}{:>10}{:>10}{:>10}{:>10}",
            "first token", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"
        );
        // In the order of length.
        let classes = LengthClass::ALL.map(LengthClass::name);
        let by_class =
            classes.iter().filter_map(|name| Some((*name, self.first_token.get(*name)?)));
        for (name, times) in by_class.chain([("token gap", &self.token_gap)]) {
            let Percentiles { count, p50_ms, p95_ms, p99_ms, max_ms } = times;
            let _ = writeln!(
                text,
                "{name:<16}{count:>8}{p50_ms:>10.1}{p95_ms:>10.1}{p99_ms:>10.1}{max_ms:>10.1}"
            );
        }
        self.write_problems(&mut text);
        text
    }

    fn write_problems(&self, text: &mut String) {
        for (name, load) in &self.loads {
            for (detail, count) in &load.details {
                let _ = writeln!(text, "\n{name}: {count} x {detail}");
            }
        }
        for action in &self.actions {
            let _ =
                writeln!(text, "\naction at {} ms: {} {}", action.at_ms, action.url, action.result);
        }
        for address in &self.accounting.unreachable {
            let _ = writeln!(text, "\nno accounting from {address}: what it ran is unknown");
        }
        if self.violations.is_empty() {
            text.push_str("\nno violations\n");
        }
        for (name, count) in &self.violations {
            let _ = writeln!(text, "\nviolation: {count} x {name}");
        }
    }

    fn used_outcomes(&self) -> impl Iterator<Item = Outcome> {
        let is_used = |outcome: &Outcome| {
            *outcome == Outcome::Right
                || self.loads.values().any(|load| load.outcomes.contains_key(outcome))
        };
        Outcome::ALL.into_iter().filter(is_used)
    }
}

/// Width of the column of an outcome.
fn width(outcome: Outcome) -> usize {
    outcome.name().len().max(6) + 2
}
