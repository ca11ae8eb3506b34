//! One request from its route to the last byte of its answer.

mod admission;
mod answers;
mod choice;
mod relay;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, RequestHead, ResponseHead};
use mulberry_routes::{Route, RouteKind, RouteTable};
use mulberry_scheduler::{Outcome, caller_patience_ms};
use tokio::time::{Instant, timeout_at};

pub(crate) use self::admission::serve;
use self::answers::{send_own, send_whole};
use crate::answer_memory::Body;
use crate::attempt::{Answer, Attempt, SendError};
use crate::dialect::CallerFields;
use crate::loans::Loan;
use crate::metrics::{AttemptLabels, LengthLabels, RequestLabels, prompt_class};
use crate::placed_job::PlacedJob;
use crate::shared::Shared;
use crate::{EventRelay, RetryBudget};

/// Sends that reached no target and may be made beyond the attempts of the route.
const MAX_UNSENT: u32 = 3;

/// Part of a caller's patience after which another engine is tried. Earlier, the work of an engine that is only slow
/// would be thrown away; an engine that is gone shows by its connection.
const ENGINE_PATIENCE: f64 = 0.75;

/// Idle time of a kept connection for requests that must not run twice: a target may close an older one just then.
const FRESH: Duration = Duration::ZERO;

/// The same for requests that may be sent again.
const KEPT: Duration = Duration::from_secs(60);

/// Time to come back when no target of a service is known.
const NO_TARGET_RETRY_MS: u64 = 400;

/// Longest wait for a configuration or a target that is about to become known: a gateway that has just started learns
/// both within this time.
const LEARNING: Duration = Duration::from_millis(2_000);

/// Part of its time that a request spends on that wait at most, so that it can still be served afterwards.
const LEARNING_SHARE: f64 = 0.4;

/// Time to come back when the targets are full.
const FULL_RETRY_MS: u64 = 250;

/// Whether the connection of the caller may be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    KeepAlive,
    Close,
}

/// A request with what is known of its fate.
pub(crate) struct Exchange {
    shared: Rc<Shared>,
    table: Rc<RouteTable>,
    route: Route,
    service: Arc<str>,
    tenant: Option<Arc<str>>,
    priority: u32,
    head: RequestHead,
    body: Vec<u8>,
    fields: CallerFields,
    arrived: Instant,
    deadline: Instant,

    /// Sends that reached a target.
    sends: u32,

    /// Sends that did not.
    unsent: u32,

    may_have_run: bool,
    excluded: Vec<Arc<str>>,
    last_target: Option<Arc<str>>,

    /// The newest failure that a target answered with.
    last_failure: Option<(ResponseHead, Body)>,

    first_event_at: Option<Instant>,

    /// Helpers of the newest placement, and its forecast of the first event.
    helpers: usize,
    forecast_ms: u64,

    reason: String,

    /// Whether it waited for a configuration or a target to become known.
    has_waited: bool,
}

/// What a target was asked and has begun to answer.
enum Obtained {
    Whole { head: ResponseHead, body: Body },
    Stream(Box<LiveStream>),
    GivenUp(GivenUp),
}

/// A stream of which the first bytes have come.
struct LiveStream {
    answer: Answer,
    first_bytes: Vec<u8>,
    target_id: Arc<str>,
    job: Option<PlacedJob>,
    loan: Option<Loan>,
    running: RunningGuard,
}

/// A request that gets no answer of a target.
struct GivenUp {
    status: u16,
    retry_after_ms: Option<u64>,
}

/// A target that was chosen.
struct Chosen {
    target_id: Arc<str>,
    address: SocketAddr,
    job: Option<PlacedJob>,
    helpers: Vec<(SocketAddr, Option<String>)>,
    loan: Option<Loan>,
    patience: Instant,
}

/// Counts a request at its target while it lives.
struct RunningGuard {
    shared: Rc<Shared>,
    target_id: Arc<str>,
}

impl RunningGuard {
    fn new(shared: &Rc<Shared>, target_id: &Arc<str>) -> RunningGuard {
        shared.health.borrow_mut().started(target_id);
        RunningGuard { shared: shared.clone(), target_id: target_id.clone() }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.health.borrow_mut().ended(&self.target_id);
    }
}

impl Exchange {
    async fn run(&mut self, client: &mut Http1Connection, keeps_alive: bool) -> Next {
        let relay = EventRelay::new(self.fields.last_event);
        let obtained = tokio::select! {
            biased;
            obtained = self.obtain(relay.last_event()) => Some(obtained),
            () = client.wait_closed() => None,
        };
        match obtained {
            None => {
                self.end("left", 0);
                Next::Close
            }
            Some(Obtained::Whole { head, body }) => {
                let status = head.status;
                let outcome =
                    if (200..400).contains(&status) { "served" } else { "failed_at_target" };
                let next = send_whole(client, head, &body, keeps_alive).await;
                self.end(outcome, status);
                next
            }
            Some(Obtained::Stream(live)) => self.relay(client, *live, relay, keeps_alive).await,
            Some(Obtained::GivenUp(given_up)) => {
                let outcome = if given_up.status == 503 { "refused" } else { "failed" };
                self.end(outcome, given_up.status);
                let reason = std::mem::take(&mut self.reason);
                send_own(client, &given_up, &reason, keeps_alive).await
            }
        }
    }

    /// Sends the request to targets until one answers or nothing more may be tried.
    /// A stream goes on after the event `after`.
    async fn obtain(&mut self, after: Option<u64>) -> Obtained {
        loop {
            if Instant::now() >= self.deadline {
                return self.give_up_late();
            }
            let chosen = match self.choose().await {
                Ok(chosen) => chosen,
                Err(given_up) => return Obtained::GivenUp(given_up),
            };
            let is_granted = chosen.job.as_ref().is_some_and(|job| job.is_granted);
            if self.sends > 0 && !is_granted && !self.take_budget() {
                "no budget for another attempt".clone_into(&mut self.reason);
                return self.give_up();
            }
            if let Some(obtained) = self.attempt(chosen, after).await {
                return obtained;
            }
            if !self.may_try_again() {
                return self.give_up();
            }
        }
    }

    /// One attempt. `None` when another one may follow.
    async fn attempt(&mut self, mut chosen: Chosen, after: Option<u64>) -> Option<Obtained> {
        let shared = self.shared.clone();
        let target_id = chosen.target_id.clone();
        self.log_chosen(&chosen);
        let running = RunningGuard::new(&shared, &target_id);
        self.last_target = Some(target_id.clone());
        let head = self.forwarded_head(&chosen, after);
        let is_idempotent = self.route.kind.is_idempotent();
        let attempt = Attempt {
            target_id: &target_id,
            address: chosen.address,
            head: &head,
            body: &self.body,
            request_id: self.fields.request_id.as_deref(),
            max_idle: if is_idempotent { KEPT } else { FRESH },
        };
        let sent = timeout_at(chosen.patience, attempt.send(&shared)).await;
        let sent = sent.unwrap_or_else(|_| Err(SendError::Unknown("no answer in time".to_owned())));
        if !matches!(sent, Err(SendError::NotSent(_))) {
            self.sends += 1;
        }
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                self.failed(&error, &target_id, chosen.job.take());
                return None;
            }
        };
        let is_success = (200..300).contains(&answer.head.status);
        let is_stream = is_success && self.route.kind.is_stream();
        let result = if is_stream {
            self.begin_stream(answer, chosen, running).await
        } else {
            self.read_answer(answer, &mut chosen, is_idempotent).await
        };
        match result {
            Ok(obtained) => obtained,
            Err((error, job)) => {
                self.failed(&error, &target_id, job);
                None
            }
        }
    }

    /// Waits for the first bytes of a stream. An error says why it broke off.
    async fn begin_stream(
        &mut self,
        mut answer: Answer,
        mut chosen: Chosen,
        running: RunningGuard,
    ) -> Result<Option<Obtained>, (SendError, Option<PlacedJob>)> {
        let first = timeout_at(chosen.patience, answer.next()).await;
        let first_bytes = match first {
            Ok(Ok(bytes)) => bytes.unwrap_or_default(),
            Ok(Err(error)) => return Err((error.into(), chosen.job.take())),
            Err(_) => {
                let error = SendError::Unknown("no event in time".to_owned());
                return Err((error, chosen.job.take()));
            }
        };
        if let Some(job) = &chosen.job {
            job.first_event();
        }
        let live = LiveStream {
            answer,
            first_bytes,
            target_id: chosen.target_id,
            job: chosen.job,
            loan: chosen.loan,
            running,
        };
        Ok(Some(Obtained::Stream(Box::new(live))))
    }

    /// Reads an answer that is no stream. `None` when it is a failure and another attempt may follow.
    async fn read_answer(
        &mut self,
        mut answer: Answer,
        chosen: &mut Chosen,
        is_idempotent: bool,
    ) -> Result<Option<Obtained>, (SendError, Option<PlacedJob>)> {
        let body = match timeout_at(chosen.patience, answer.read_whole(&self.shared.answer_memory))
            .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err((error.into(), chosen.job.take())),
            Err(_) => {
                let error = SendError::Unknown("the answer did not end in time".to_owned());
                return Err((error, chosen.job.take()));
            }
        };
        let now_ms = self.shared.now_ms();
        let kept = answer.keep(&self.shared, &chosen.target_id);
        let status = kept.head.status;
        let is_failure = status >= 500 || matches!(status, 408 | 421 | 429);
        {
            let mut health = self.shared.health.borrow_mut();
            if is_failure {
                health.answered_failure(&chosen.target_id);
            } else {
                health.succeeded(now_ms, &chosen.target_id);
            }
        }
        self.count_attempt(if is_failure { "failure_answered" } else { "answered" });
        if let Some(job) = chosen.job.take() {
            job.finish(if is_failure { Outcome::Failed } else { Outcome::Done });
        }
        if !is_failure {
            return Ok(Some(Obtained::Whole { head: kept.head, body }));
        }
        self.may_have_run = true;
        self.reason = format!("target {} answered {status}", chosen.target_id);
        let is_last = !is_idempotent || !self.may_try_again();
        self.excluded.push(chosen.target_id.clone());
        self.last_failure = Some((kept.head, body));
        if is_last {
            return Ok(Some(self.give_up()));
        }
        // The failure is kept in case nothing better comes.
        Ok(None)
    }

    fn log_chosen(&self, chosen: &Chosen) {
        let now = Instant::now();
        tracing::info!(
            event = "target_chosen",
            request_id = self.request_id(),
            target_id = %chosen.target_id,
            decided_by = chosen.job.as_ref().map_or("self", |job| job.decided_by),
            in_flight = self.shared.health.borrow().in_flight(&chosen.target_id),
            sends_before = self.sends,
            excluded = self.excluded.len(),
            helpers = chosen.job.as_ref().map_or_else(String::new, PlacedJob::helper_ids),
            prompt_tokens = self.fields.prompt_tokens,
            forecast_ms = self.forecast_ms,
            waited_ms = (now - self.arrived).as_millis(),
            left_ms = self.deadline.saturating_duration_since(now).as_millis(),
            links = self.shared.links.get(),
            config_version = self.table.version()
        );
    }

    /// Records a failed attempt.
    fn failed(&mut self, error: &SendError, target_id: &Arc<str>, job: Option<PlacedJob>) {
        let now_ms = self.shared.now_ms();
        self.reason = format!("target {target_id}: {error}");
        self.excluded.push(target_id.clone());
        let outcome = match error {
            SendError::NotSent(_) => {
                self.unsent += 1;
                self.shared.health.borrow_mut().failed(now_ms, target_id);
                Outcome::Failed
            }
            SendError::NotRun { fields, status } => {
                if let Some(cold_ms) = fields.cold_ms {
                    self.shared.fleet.borrow_mut().set_cold(now_ms, target_id, cold_ms);
                }
                if let (Some(fault), Some(job)) = (fields.faulty_engine, &job) {
                    let helpers = job.helpers().into_iter();
                    self.excluded.extend(helpers.filter(|h| h.address == fault).map(|h| h.id));
                }
                if *status == 421 {
                    self.shared.health.borrow_mut().failed(now_ms, target_id);
                }
                Outcome::Rejected
            }
            SendError::Unknown(_) | SendError::Disconnected(_) => {
                self.may_have_run = true;
                self.shared.health.borrow_mut().failed(now_ms, target_id);
                match error {
                    SendError::Disconnected(_) => Outcome::Disconnected,
                    _ => Outcome::Failed,
                }
            }
        };
        if let Some(job) = job {
            job.finish(outcome);
        }
        let label = match error {
            SendError::NotSent(_) => "not_sent",
            SendError::NotRun { .. } => "not_run",
            SendError::Unknown(_) | SendError::Disconnected(_) => "unknown",
        };
        self.count_attempt(label);
        tracing::info!(
            event = "attempt_failed",
            request_id = self.request_id(),
            target_id = %target_id,
            sends = self.sends,
            error = %error
        );
    }

    /// Pause in a stream after which its engine counts as lost.
    fn engine_patience(&self) -> Duration {
        let patience_ms = caller_patience_ms(self.route.aim_ms, self.route.max_pause_ms);
        Duration::from_millis(patience_ms).mul_f64(ENGINE_PATIENCE)
    }

    fn has_further_attempt(&self) -> bool {
        self.sends + 1 < self.route.max_attempts
    }

    fn may_try_again(&self) -> bool {
        let is_allowed = !self.may_have_run || self.route.kind.is_idempotent();
        is_allowed
            && self.sends < self.route.max_attempts
            && self.unsent <= MAX_UNSENT
            && Instant::now() < self.deadline
    }

    fn take_budget(&self) -> bool {
        self.shared.with_budget(&self.service, RetryBudget::take)
    }

    fn give_up_late(&mut self) -> Obtained {
        "out of time".clone_into(&mut self.reason);
        self.give_up()
    }

    /// The answer to a request for which nothing more may be tried.
    fn give_up(&mut self) -> Obtained {
        if let Some((head, body)) = self.last_failure.take() {
            // These statuses promise that the request has not run.
            if !matches!(head.status, 408 | 421 | 429 | 503) {
                return Obtained::Whole { head, body };
            }
        }
        Obtained::GivenUp(self.refusal(FULL_RETRY_MS))
    }

    /// A refusal with the time to come back if the request has not run.
    fn refusal(&self, retry_after_ms: u64) -> GivenUp {
        let is_late = Instant::now() >= self.deadline;
        match (self.may_have_run, is_late) {
            (true, true) => GivenUp { status: 504, retry_after_ms: None },
            (true, false) => GivenUp { status: 502, retry_after_ms: None },
            (false, _) => GivenUp { status: 503, retry_after_ms: Some(retry_after_ms) },
        }
    }

    fn first_event(&mut self) {
        let now = Instant::now();
        self.first_event_at = Some(now);
        let labels = LengthLabels { prompt: prompt_class(self.fields.prompt_tokens) };
        let seconds = (now - self.arrived).as_secs_f64();
        self.shared.metrics.first_event_seconds.get_or_create(&labels).observe(seconds);
    }

    fn count_attempt(&self, outcome: &'static str) {
        self.shared.metrics.attempts.get_or_create(&AttemptLabels { outcome }).inc();
    }

    fn request_id(&self) -> &str {
        self.fields.request_id.as_deref().unwrap_or("")
    }

    /// Counts and logs the end of the request.
    fn end(&self, outcome: &'static str, status: u16) {
        let now = Instant::now();
        let kind = match self.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable_stream",
        };
        let metrics = &self.shared.metrics;
        metrics.requests.get_or_create(&RequestLabels { kind, outcome }).inc();
        metrics.request_seconds.observe((now - self.arrived).as_secs_f64());
        let reason = match outcome {
            "left" if self.reason.is_empty() => "the caller closed its connection",
            _ => &self.reason,
        };
        let first_event_ms = self.first_event_at.map_or(0, |at| (at - self.arrived).as_millis());
        tracing::info!(
            event = "request_ended",
            request_id = self.request_id(),
            route = %self.route.name,
            outcome,
            status,
            target_id = self.last_target.as_deref().unwrap_or(""),
            sends = self.sends,
            unsent = self.unsent,
            helpers = self.helpers,
            forecast_ms = self.forecast_ms,
            prompt_tokens = self.fields.prompt_tokens,
            first_event_ms,
            total_ms = (now - self.arrived).as_millis(),
            config_version = self.table.version(),
            reason = %Shown(reason)
        );
    }
}

/// Shows why a request failed, or a dash.
struct Shown<'a>(&'a str);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "-" } else { self.0 })
    }
}
