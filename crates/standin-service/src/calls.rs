//! State of the emulated service and its answers.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use mulberry_http::{HeaderMap, Method, Request, Responder, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{ColdStartSettings, ServiceSettings};

/// Pause between two looks at a flag.
pub(crate) const POLL: Duration = Duration::from_millis(20);

/// A fault, as `POST /faults` takes it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Drops all connections and never comes back; the program exits.
    Die,

    /// Drops all connections, and comes back cold with a new boot id. The accounting stays.
    RestartCold { down_ms: u64 },

    /// The next call takes the service down before its side effect.
    DieBeforeEffect { down_ms: u64 },

    /// The next call takes the service down after its side effect and before its answer.
    DieAfterEffect { down_ms: u64 },

    /// Makes each call last this many times as long, until set to 1 again.
    Slow { factor: f64 },

    /// Makes the service cold again without a restart, and slower by a factor until it is warm.
    GoCold { slow_factor: f64 },

    /// The next answers are cut in the middle.
    CutAnswer { count: u32 },

    /// Neither reads nor answers for a time; connections stay open.
    Freeze { ms: u64 },
}

/// What the supervisor is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command {
    Die,
    Restart { down_ms: u64 },
    Stop,
}

/// Calls of the service, over all of its lives.
#[derive(Debug)]
pub(crate) struct Calls {
    pub(crate) settings: ServiceSettings,
    pub(crate) leaving: AtomicBool,
    commands: Sender<Command>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    boot_id: u64,

    /// Grows with each restart, so that a call of an earlier life neither takes effect nor answers.
    life: u64,
    cold_since: Instant,
    successes: u32,

    /// Factor on the duration of a call while the service is cold, and always.
    cold_slow_factor: f64,
    slow_factor: f64,
    running: u32,
    frozen_until: Option<Instant>,
    die_before: Option<u64>,
    die_after: Option<u64>,
    cut_answers: u32,
    counts: Counts,
}

/// What `GET /accounting` reports besides the current state.
#[derive(Debug, Default, Serialize)]
struct Counts {
    /// Side effects in all.
    effects: u64,

    /// Side effects by `Idempotency-Key`.
    runs_by_key: HashMap<String, u32>,

    /// Side effects by path with query, for calls that have neither a key nor a known id.
    runs_by_path: HashMap<String, u32>,

    /// Side effects by `X-Request-Id`.
    runs_by_request: HashMap<String, u32>,

    peak_running: u32,
    refused: u64,
    fell_over: u64,
    accepted_while_leaving: u64,
}

/// Number in the answer to a call, derived from the body of the call.
pub fn expected_number(body: &[u8]) -> u64 {
    let digest = Sha256::digest(body);
    // 48 bits are exact in every JSON reader.
    digest.iter().take(6).fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// SHA-256 of a body in hexadecimal.
pub fn body_sha256(body: &[u8]) -> String {
    Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Calls {
    pub(crate) fn new(settings: ServiceSettings, commands: Sender<Command>) -> Calls {
        let state = State {
            boot_id: rand::random(),
            life: 0,
            cold_since: Instant::now(),
            successes: 0,
            cold_slow_factor: 1.0,
            running: 0,
            slow_factor: 1.0,
            frozen_until: None,
            die_before: None,
            die_after: None,
            cut_answers: 0,
            counts: Counts::default(),
        };
        let leaving = AtomicBool::new(false);
        Calls { settings, leaving, commands, state: Mutex::new(state) }
    }

    /// Answers one request.
    pub(crate) fn handle(&self, request: &Request, responder: Responder) {
        self.wait_while_frozen();
        match (&request.method, request.path()) {
            (&Method::GET, "/accounting") => responder.send(answer(&self.accounting())),
            (&Method::POST, "/faults") => self.take_fault(request, responder),
            _ => self.call(request, responder),
        }
    }

    fn call(&self, request: &Request, responder: Responder) {
        let Some(life) = self.begin() else {
            let message = "all slots are taken; retry after the given time";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let refused = Response::error(status, "slots_full", "not_run", message);
            return responder.send(refused.header("retry-after", "1"));
        };
        if self.run(life, request) {
            return self.send(request, responder);
        }
        // The connection closes without an answer when the server goes down.
        while !responder.is_closed() {
            std::thread::sleep(POLL);
        }
    }

    /// Runs a call. Returns `false` if the service goes down before the answer.
    fn run(&self, life: u64, request: &Request) -> bool {
        let half = Duration::from_millis(self.settings.delay_ms) / 2;
        self.delay(half);
        if self.falls(life, |state| state.die_before.take()) || !self.take_effect(life, request) {
            return false;
        }
        if self.falls(life, |state| state.die_after.take()) {
            return false;
        }
        self.delay(half);
        self.finish(life)
    }

    /// Takes a slot. A cold service with too many calls falls over.
    fn begin(&self) -> Option<u64> {
        let mut state = self.state();
        if state.running >= self.settings.slots {
            state.counts.refused += 1;
            return None;
        }
        state.running += 1;
        state.counts.peak_running = state.counts.peak_running.max(state.running);
        if self.leaving.load(Ordering::Acquire) {
            state.counts.accepted_while_leaving += 1;
        }
        let cold = &self.settings.cold_start;
        if state.is_cold(cold) && state.running > cold.max_concurrent {
            state.counts.fell_over += 1;
            self.fall(&mut state, cold.down_ms);
            // The call belongs to the life that has just ended.
            return Some(state.life - 1);
        }
        Some(state.life)
    }

    /// Ends the current life: none of its calls takes effect or answers any more.
    fn fall(&self, state: &mut State, down_ms: u64) {
        state.restart();
        // Without a supervisor the service is stopping anyway.
        let _ = self.commands.send(Command::Restart { down_ms });
    }

    fn falls(&self, life: u64, fault: impl Fn(&mut State) -> Option<u64>) -> bool {
        let mut state = self.state();
        if state.life != life {
            return true;
        }
        let Some(down_ms) = fault(&mut state) else { return false };
        self.fall(&mut state, down_ms);
        true
    }

    fn take_effect(&self, life: u64, request: &Request) -> bool {
        let mut state = self.state();
        if state.life != life {
            return false;
        }
        let counts = &mut state.counts;
        counts.effects += 1;
        *counts.runs_by_path.entry(path_and_query(request).to_owned()).or_default() += 1;
        if let Some(key) = request.header("idempotency-key") {
            *counts.runs_by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = request.header("x-request-id") {
            *counts.runs_by_request.entry(id.to_owned()).or_default() += 1;
        }
        true
    }

    fn finish(&self, life: u64) -> bool {
        let mut state = self.state();
        if state.life != life {
            return false;
        }
        state.running -= 1;
        state.successes += 1;
        true
    }

    fn send(&self, request: &Request, responder: Responder) {
        let headers: BTreeMap<&str, &str> = request
            .headers
            .iter()
            .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
            .collect();
        let echo = json!({
            "target": self.settings.target,
            "method": request.method.as_str(),
            "path": path_and_query(request),
            "headers": headers,
            "body_length": request.body.len(),
            "body_sha256": body_sha256(&request.body),
            "number": expected_number(&request.body),
        });
        let cut = {
            let mut state = self.state();
            let cut = state.cut_answers > 0;
            state.cut_answers = state.cut_answers.saturating_sub(1);
            cut
        };
        if !cut {
            return responder.send(answer(&echo));
        }
        let text = echo.to_string();
        let writer = responder.stream(StatusCode::OK, HeaderMap::new());
        // The writer is dropped unfinished, which cuts the connection.
        let _ = writer.write(text[..text.len() / 2].to_owned());
    }

    /// Answers and injects a fault; one that cuts all connections waits until its own answer has been written.
    fn take_fault(&self, request: &Request, responder: Responder) {
        let fault = match serde_json::from_slice(&request.body) {
            Ok(fault) => fault,
            Err(error) => {
                let message = format!("the body is no fault: {error}");
                let status = StatusCode::BAD_REQUEST;
                let code = "invalid_request";
                return responder.send(Response::error(status, code, "not_run", &message));
            }
        };
        let accepted = answer(&json!({ "accepted": true }));
        if matches!(fault, Fault::Die | Fault::RestartCold { .. }) {
            responder.send(accepted);
            std::thread::sleep(POLL);
            self.inject(fault);
        } else {
            self.inject(fault);
            responder.send(accepted);
        }
    }

    pub(crate) fn inject(&self, fault: Fault) {
        tracing::info!(target_id = %self.settings.target, ?fault, "fault");
        let mut state = self.state();
        match fault {
            Fault::Die => {
                state.restart();
                // Without a supervisor the service is stopping anyway.
                let _ = self.commands.send(Command::Die);
            }
            Fault::RestartCold { down_ms } => self.fall(&mut state, down_ms),
            Fault::DieBeforeEffect { down_ms } => state.die_before = Some(down_ms),
            Fault::DieAfterEffect { down_ms } => state.die_after = Some(down_ms),
            Fault::Slow { factor } => state.slow_factor = factor.max(0.0),
            Fault::GoCold { slow_factor } => state.go_cold(slow_factor.max(0.0)),
            Fault::CutAnswer { count } => state.cut_answers = count,
            Fault::Freeze { ms } => {
                state.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
            }
        }
    }

    /// What was run, for the checks at the end of an experiment.
    pub(crate) fn accounting(&self) -> Value {
        let state = self.state();
        let mut report = json!(state.counts);
        report["target"] = json!(self.settings.target);
        report["boot_id"] = json!(state.boot_id);
        report["running"] = json!(state.running);
        report
    }

    pub(crate) fn running(&self) -> u32 {
        self.state().running
    }

    pub(crate) fn boot_id(&self) -> u64 {
        self.state().boot_id
    }

    pub(crate) fn wait_while_frozen(&self) {
        loop {
            let until = self.state().frozen_until;
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if !left.is_zero() => std::thread::sleep(left.min(POLL)),
                _ => return,
            }
        }
    }

    fn delay(&self, duration: Duration) {
        let factor = {
            let state = self.state();
            let is_cold = state.is_cold(&self.settings.cold_start);
            let cold_factor = if is_cold { state.cold_slow_factor } else { 1.0 };
            let load_factor = match self.settings.knee {
                0 => 1.0,
                knee => (f64::from(state.running) / f64::from(knee)).max(1.0),
            };
            state.slow_factor * cold_factor * load_factor
        };
        std::thread::sleep(duration.mul_f64(factor));
        self.wait_while_frozen();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn restart(&mut self) {
        self.life += 1;
        self.boot_id = rand::random();
        self.running = 0;
        self.go_cold(1.0);
    }

    fn go_cold(&mut self, slow_factor: f64) {
        self.cold_since = Instant::now();
        self.successes = 0;
        self.cold_slow_factor = slow_factor;
    }

    fn is_cold(&self, cold: &ColdStartSettings) -> bool {
        self.successes < cold.successes
            && self.cold_since.elapsed() < Duration::from_millis(cold.cold_ms)
    }
}

fn path_and_query(request: &Request) -> &str {
    request.uri.path_and_query().map_or("/", |path| path.as_str())
}

fn answer(value: &Value) -> Response {
    Response::json(StatusCode::OK, value.to_string())
}
