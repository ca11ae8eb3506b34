//! Accounting of the emulated engines and services at the end of an experiment.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::outcome::Outcome;

/// Time limit of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two looks at the held tokens.
const POLL: Duration = Duration::from_millis(200);

/// What the stand-ins say at the end.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FinalAccounting {
    /// Stand-ins that did not answer. What they ran is unknown, so absent doubles prove nothing about them.
    pub unreachable: Vec<SocketAddr>,

    /// Tokens still held after the settling time, by engine.
    pub leaked_tokens: BTreeMap<String, u64>,

    /// Time until no engine held tokens; `None` if that did not happen within the settling time.
    pub settled_after_ms: Option<u64>,

    /// Completions that engines started, resumed ones included.
    pub engine_runs: u64,

    /// Runs beyond the first of a request id, such as resumed ones.
    pub engine_reruns: u64,

    pub prefilled_tokens: u64,
    pub cached_tokens: u64,
    pub engine_refusals: u64,
    pub over_memory_attempts: u64,

    /// Queries of at-most-once calls that ran more than once.
    pub doubled_calls: Vec<String>,

    /// Queries of calls that ran although every answer said "not run".
    pub false_not_run: Vec<String>,

    /// Queries of calls that never ran although an answer said that they had.
    pub missing_calls: Vec<String>,
}

/// Reads the accounting. `calls` holds the outcomes of each at-most-once call by its query.
pub(crate) fn collect(
    engines: &[SocketAddr],
    services: &[SocketAddr],
    settle: Duration,
    calls: &HashMap<String, Vec<Outcome>>,
) -> FinalAccounting {
    let mut accounting = FinalAccounting::default();
    wait_until_settled(engines, settle, &mut accounting);
    for engine in engines {
        let Some(report) = query(*engine) else {
            accounting.unreachable.push(*engine);
            continue;
        };
        for runs in counts(&report["runs"]).map(|(_, runs)| runs) {
            accounting.engine_runs += runs;
            accounting.engine_reruns += runs.saturating_sub(1);
        }
        let number = |name: &str| report[name].as_u64().unwrap_or_default();
        accounting.prefilled_tokens += number("prefilled_tokens");
        accounting.cached_tokens += number("cached_tokens");
        accounting.engine_refusals += number("refused");
        accounting.over_memory_attempts += number("over_memory_attempts");
    }
    let mut runs: HashMap<String, u64> = HashMap::new();
    let mut missing_service = false;
    for service in services {
        let Some(report) = query(*service) else {
            missing_service = true;
            accounting.unreachable.push(*service);
            continue;
        };
        for (path, count) in counts(&report["runs_by_path"]) {
            // The path may carry a prefix that names the service; the query is unique by itself.
            let query = path.split_once('?').map_or("", |(_, query)| query);
            *runs.entry(query.to_owned()).or_default() += count;
        }
    }
    for (query, outcomes) in calls {
        let ran = runs.get(query).copied().unwrap_or_default();
        if ran > 1 {
            accounting.doubled_calls.push(query.clone());
        }
        if ran > 0 && outcomes.iter().all(|outcome| outcome.is_not_run()) {
            accounting.false_not_run.push(query.clone());
        }
        let answered = outcomes.contains(&Outcome::Right);
        if ran == 0 && answered && !missing_service && !services.is_empty() {
            accounting.missing_calls.push(query.clone());
        }
    }
    accounting
}

fn wait_until_settled(engines: &[SocketAddr], settle: Duration, accounting: &mut FinalAccounting) {
    let started = Instant::now();
    loop {
        let held: BTreeMap<String, u64> = engines
            .iter()
            .filter_map(|engine| query(*engine))
            .filter_map(|report| {
                let held = report["held_tokens"].as_u64().filter(|held| *held > 0)?;
                Some((report["target"].as_str().unwrap_or("unnamed").to_owned(), held))
            })
            .collect();
        if held.is_empty() {
            accounting.settled_after_ms = Some(started.elapsed().as_millis() as u64);
            return;
        }
        if started.elapsed() >= settle {
            accounting.leaked_tokens = held;
            return;
        }
        std::thread::sleep(POLL);
    }
}

fn counts(value: &Value) -> impl Iterator<Item = (&String, u64)> {
    let entries = value.as_object().into_iter().flatten();
    entries.map(|(key, count)| (key, count.as_u64().unwrap_or_default()))
}

fn query(address: SocketAddr) -> Option<Value> {
    let answer = attohttpc::get(format!("http://{address}/accounting"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(QUERY_TIMEOUT)
        .read_timeout(QUERY_TIMEOUT)
        .send()
        .ok()?
        .bytes()
        .ok()?;
    // Parsed from memory, because the client library panics if it is read again after an error.
    serde_json::from_slice(&answer).ok()
}
