//! Runs an experiment.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::unbounded;
use mulberry_types::LengthClass;

use crate::accounting::collect;
use crate::client::{Call, Completion, Route, Sent, send_call, send_completion};
use crate::experiment::{Action, Entry, Experiment};
use crate::outcome::Outcome;
use crate::plan::{Planned, PlannedKind, plan};
use crate::prompt::Prompt;
use crate::report::{ActionReport, Collector, Ended, Report};

/// Stack of a thread that sends one request.
const STACK_BYTES: usize = 512 * 1024;

/// Pause between two looks at whether an entry is ready.
const READY_POLL: Duration = Duration::from_millis(250);

/// Time limit of a look at an entry and of an action.
const SIDE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the threads of a run share.
#[derive(Debug)]
struct Run {
    experiment: Experiment,

    /// Tells the keys of this run from those of earlier ones, which claims outlive.
    nonce: u64,

    is_ready: Vec<AtomicBool>,
    in_flight: AtomicUsize,
    is_over: AtomicBool,
}

/// Runs an experiment to its end.
///
/// # Errors
/// A thread cannot be started.
pub fn run(experiment: &Experiment) -> io::Result<Report> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_unix_ms = since_1970.as_millis() as u64;
    let warm_up = Duration::from_millis(experiment.warm_up_ms);
    let planned = plan(experiment);
    let run = Arc::new(Run {
        experiment: experiment.clone(),
        nonce: started_unix_ms,
        is_ready: experiment.entries.iter().map(|_| AtomicBool::new(true)).collect(),
        in_flight: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
    });
    let side_threads = watch_entries(&run)?;
    let (results, ended) = unbounded::<Ended>();
    let collector = spawn(move || {
        let mut collector = Collector::new(warm_up);
        for ended in ended {
            collector.add(ended);
        }
        collector
    })?;
    let start = Instant::now();
    let actions = spawn({
        let actions = experiment.actions.clone();
        move || act(actions, start + warm_up)
    })?;
    for planned in planned {
        sleep_until(start + planned.at);
        let at = start.elapsed();
        if run.in_flight.load(Ordering::Acquire) >= experiment.max_in_flight {
            let sent = Sent {
                outcome: Outcome::NotSent,
                detail: "too many requests in flight".to_owned(),
                first_token: None,
                gaps: Vec::new(),
                total: Duration::ZERO,
            };
            // The collector lives as long as this sender.
            let _ = results.send(run.ended(&planned, at, sent));
            continue;
        }
        run.in_flight.fetch_add(1, Ordering::AcqRel);
        let (run, results) = (run.clone(), results.clone());
        spawn(move || {
            let (at, sent) = run.send(&planned, start);
            run.in_flight.fetch_sub(1, Ordering::AcqRel);
            let _ = results.send(run.ended(&planned, at, sent));
        })?;
    }
    drop(results);
    // Each request ends by itself at the latest when it counts as lost.
    let collector = join(collector)?;
    let actions = join(actions)?;
    run.is_over.store(true, Ordering::Release);
    for thread in side_threads {
        join(thread)?;
    }
    let settle = Duration::from_millis(experiment.settle_ms);
    let accounting = collect(&experiment.engines, &experiment.services, settle, &collector.calls);
    Ok(collector.into_report(experiment, started_unix_ms, actions, accounting))
}

fn spawn<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> io::Result<JoinHandle<T>> {
    Builder::new().stack_size(STACK_BYTES).spawn(work)
}

fn join<T>(thread: JoinHandle<T>) -> io::Result<T> {
    thread.join().map_err(|_| io::Error::other("a thread of the load generator panicked"))
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Follows `/readyz` of each entry as the platform's balancer does.
fn watch_entries(run: &Arc<Run>) -> io::Result<Vec<JoinHandle<()>>> {
    let mut threads = Vec::new();
    for (index, entry) in run.experiment.entries.iter().enumerate() {
        let Some(platform) = entry.platform else { continue };
        let run = run.clone();
        threads.push(spawn(move || {
            while !run.is_over.load(Ordering::Acquire) {
                run.is_ready[index].store(is_ready(platform), Ordering::Release);
                std::thread::sleep(READY_POLL);
            }
        })?);
    }
    Ok(threads)
}

fn is_ready(platform: SocketAddr) -> bool {
    attohttpc::get(format!("http://{platform}/readyz"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(SIDE_TIMEOUT)
        .read_timeout(SIDE_TIMEOUT)
        .send()
        .is_ok_and(|response| response.is_success())
}

fn act(mut actions: Vec<Action>, measured_from: Instant) -> Vec<ActionReport> {
    actions.sort_by_key(|action| action.at_ms);
    let post = |action: &Action| -> attohttpc::Result<u16> {
        let response = attohttpc::post(&action.url)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .connect_timeout(SIDE_TIMEOUT)
            .read_timeout(SIDE_TIMEOUT)
            .json(&action.body)?
            .send()?;
        Ok(response.status().as_u16())
    };
    actions
        .iter()
        .map(|action| {
            sleep_until(measured_from + Duration::from_millis(action.at_ms));
            let result = match post(action) {
                Ok(status) => format!("status {status}"),
                Err(error) => error.to_string(),
            };
            ActionReport { at_ms: action.at_ms, url: action.url.clone(), result }
        })
        .collect()
}

impl Run {
    /// Sends a request. Returns when it was sent, after its text was made.
    fn send(&self, planned: &Planned, start: Instant) -> (Duration, Sent) {
        let experiment = &self.experiment;
        match planned.kind {
            PlannedKind::Completion { load, prompt, max_tokens } => {
                let load = &experiment.completions[load];
                let completion = Completion {
                    model: experiment.model.clone(),
                    text: prompt.text(),
                    max_tokens,
                    stream: load.stream,
                    chat: load.chat,
                };
                let route = self.route(planned, load.deadline_ms);
                (start.elapsed(), send_completion(&route, &completion))
            }
            PlannedKind::Call { load: index, number, body_bytes, .. } => {
                let load = &experiment.calls[index];
                let has_body = load.method != "GET";
                let prompt =
                    Prompt { tokens: 1 + body_bytes as u64 / 4, seed: number, prefix_seed: None };
                let call = Call {
                    method: load.method.clone(),
                    path: format!(
                        "/services/{}{}?{}",
                        load.service,
                        load.path,
                        self.call_query(index, number)
                    ),
                    body: if has_body { prompt.text() } else { String::new() },
                    idempotency_key: self.idempotency_key(planned),
                };
                let route = self.route(planned, load.deadline_ms);
                (start.elapsed(), send_call(&route, &call))
            }
        }
    }

    /// Query of a call. No other call of this or another run has it.
    fn call_query(&self, load: usize, number: u64) -> String {
        format!("call={:x}-{load}-{number}", self.nonce)
    }

    fn idempotency_key(&self, planned: &Planned) -> Option<String> {
        match planned.kind {
            PlannedKind::Call { load, number, .. } if self.experiment.calls[load].with_key => {
                Some(format!("bench-{:x}-{load}-{number}", self.nonce))
            }
            _ => None,
        }
    }

    fn route(&self, planned: &Planned, deadline_ms: u64) -> Route {
        let experiment = &self.experiment;
        let ready: Vec<&Entry> = experiment
            .entries
            .iter()
            .zip(&self.is_ready)
            .filter(|(_, is_ready)| is_ready.load(Ordering::Acquire))
            .map(|(entry, _)| entry)
            .collect();
        // A balancer without a ready instance tries all of them.
        let mut entries: Vec<SocketAddr> = match ready.is_empty() {
            true => experiment.entries.iter().map(|entry| entry.address).collect(),
            false => ready.iter().map(|entry| entry.address).collect(),
        };
        let first = planned.entry_draw % entries.len();
        entries.rotate_left(first);
        Route {
            entries,
            api_key: experiment.workspaces[planned.workspace].api_key.clone(),
            deadline: Duration::from_millis(deadline_ms),
            late_after: Duration::from_millis(experiment.late_after_ms),
            lost_after: Duration::from_millis(experiment.lost_after_ms),
        }
    }

    fn ended(&self, planned: &Planned, at: Duration, sent: Sent) -> Ended {
        match planned.kind {
            PlannedKind::Completion { load, prompt, .. } => {
                let load = self.experiment.completions[load].name.to_string();
                let length_class = Some(LengthClass::of(prompt.tokens));
                Ended { load, length_class, at_most_once: None, at, sent }
            }
            PlannedKind::Call { load: index, number, is_resend, .. } => {
                let call = &self.experiment.calls[index];
                let suffix = if is_resend { "_resent" } else { "" };
                let load = format!("{}{suffix}", call.name);
                let at_most_once = call.at_most_once.then(|| self.call_query(index, number));
                Ended { load, length_class: None, at_most_once, at, sent }
            }
        }
    }
}
