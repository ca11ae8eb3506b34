//! Forwarding of one request, from routing to the last byte of its response.

mod admission;
mod caller_stream;
mod pass_on;
mod quarantine;
mod relay;
mod responses;
mod selection;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_capacity::RequestEnd;
use mulberry_http1::{Http1Connection, RequestHead, ResponseHead};
use mulberry_routes::{Route, RouteKind, RouteTable};
use mulberry_scheduler::{Outcome, abandonment_timeout_ms};
use tokio::time::{Instant, timeout_at};

use self::admission::STOPPING_RETRY_AFTER_MS;
pub(crate) use self::admission::serve;
pub(crate) use self::pass_on::{decline, serve_passed};
use self::quarantine::wait_until_quarantined;
use self::responses::{send_complete, send_error};
use crate::attempt::{Attempt, SendError, TargetResponse};
use crate::capacity::LoadTicket;
use crate::dialect::CallerFields;
use crate::held_memory::BodyHold;
use crate::hex_list::HexList;
use crate::memory_reservation::MemoryReservation;
use crate::metrics::{AttemptLabels, LengthLabels, RequestLabels, prompt_class};
use crate::path_probes;
use crate::peer_forwarding::DECLINED;
use crate::placed_job::PlacedJob;
use crate::response_memory::Body;
use crate::shared::Shared;
use crate::{EventRelay, RetryBudget};

/// Maximum number of attempts that reached no target; they do not count towards the maximum attempts of the route.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// Share of the time until a caller abandons its request after which a silent engine is replaced. A shorter timeout
/// would discard the work of engines that are only slow; a lost engine is detected by its connection.
const SILENCE_TIMEOUT_SHARE: f64 = 0.75;

/// Maximum idle time of a pooled connection for requests that must not run twice. Such requests never reuse a
/// connection, since the target may be closing it at that moment.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::ZERO;

/// Maximum idle time of a pooled connection for requests that may be sent again.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(60);

/// `Retry-After` if no target of a service is known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 400;

/// Maximum time for which a request waits until a configuration or a target is known. A gateway learns both within this
/// time after its start.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(2_000);

/// Maximum share of a request's timeout that is spent on this wait, so that the request can still be served afterwards.
const MAX_STARTUP_WAIT_SHARE: f64 = 0.4;

/// `Retry-After` if all targets are full.
const FULL_RETRY_AFTER_MS: u64 = 250;

/// Whether the caller's connection stays open after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    KeepAlive,
    Close,
}

/// A request and the state of its attempts.
pub(crate) struct Exchange {
    shared: Rc<Shared>,
    table: Rc<RouteTable>,
    route: Route,
    service: Arc<str>,
    tenant: Option<Arc<str>>,
    priority: u32,
    head: RequestHead,
    body: Vec<u8>,
    body_hold: Option<BodyHold>,
    fields: CallerFields,
    arrived: Instant,
    deadline: Instant,

    /// Attempts that reached a target.
    sent_attempts: u32,

    /// Attempts that reached no target.
    unsent_attempts: u32,

    may_have_run: bool,

    /// Whether an attempt has begun whose outcome is not known yet.
    is_attempting: bool,

    excluded: Vec<Arc<str>>,

    /// Targets to which the request was sent.
    sent_to: Vec<Arc<str>>,

    /// Whether a home has counted the request for the retry budget.
    is_counted: bool,

    /// Sends to targets by the gateway that has passed the request on, if one has.
    sends_elsewhere: Option<u32>,

    /// Whether other gateways have been asked to take the request.
    has_asked_peers: bool,

    /// Whether another gateway has taken the request.
    is_passed_on: bool,

    last_target: Option<Arc<str>>,

    /// The most recent error response of a target.
    last_failure: Option<(ResponseHead, Body)>,

    first_event_at: Option<Instant>,

    /// Number of helper engines of the most recent placement, and its forecast of the first event.
    helpers: usize,
    forecast_ms: u64,

    reason: String,

    /// Whether the request waited for a configuration or a target to become known.
    has_waited: bool,

    /// Parts of the prompt that other requests may have.
    shared_parts: Rc<[u64]>,

    /// Whether the request is a trial of a quarantined part.
    is_trial: bool,
}

/// Result of forwarding a request.
enum ForwardOutcome {
    Complete { head: ResponseHead, body: Body },
    Stream(Box<LiveStream>),
    Error(ErrorResponse),
}

/// A stream whose first bytes have arrived.
struct LiveStream {
    response: TargetResponse,
    first_bytes: Vec<u8>,
    target_id: Arc<str>,
    job: Option<PlacedJob>,
    reservation: Option<MemoryReservation>,
    in_flight_guard: InFlightGuard,
    progress: ResponseProgress,
}

/// How far the response of one attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseProgress {
    /// No event has arrived.
    NotBegun,

    /// The first event arrived at `since`.
    Begun { since: Instant },

    /// The engine has gone on for long enough that the request cannot be what crashes it.
    Survived,
}

/// An error response generated by the gateway because no target returned a usable one.
struct ErrorResponse {
    status: u16,
    retry_after_ms: Option<u64>,
}

/// The target selected for an attempt.
struct SelectedTarget {
    target_id: Arc<str>,
    address: SocketAddr,
    job: Option<PlacedJob>,
    helpers: Vec<(SocketAddr, Option<String>)>,
    reservation: Option<MemoryReservation>,
    attempt_deadline: Instant,

    /// Counts the request at a target of a plain service.
    load_ticket: Option<LoadTicket>,
}

impl SelectedTarget {
    /// Records how the request ended at its target.
    fn end_load(&mut self, end: RequestEnd) {
        if let Some(ticket) = self.load_ticket.take() {
            ticket.end(end);
        }
    }

    fn was_cold(&self) -> bool {
        self.load_ticket.as_ref().is_some_and(|ticket| ticket.was_cold)
    }

    /// Records that the target failed, or that it did not respond in time.
    fn end_load_failed(&mut self, error: &SendError) {
        let end = match error {
            SendError::NotRun { status: 503, .. } => RequestEnd::Refused,
            SendError::NotSent(_) | SendError::NotRun { .. } => RequestEnd::Unknown,
            _ if Instant::now() >= self.attempt_deadline => RequestEnd::TimedOut,
            SendError::Unknown(_) | SendError::Unreachable(_) | SendError::Disconnected(_) => {
                RequestEnd::Failed
            }
        };
        self.end_load(end);
    }
}

/// Counts a request as in flight at its target until dropped.
struct InFlightGuard {
    shared: Rc<Shared>,
    target_id: Arc<str>,
}

impl InFlightGuard {
    fn new(shared: &Rc<Shared>, target_id: &Arc<str>) -> InFlightGuard {
        shared.health.borrow_mut().request_started(target_id);
        InFlightGuard { shared: shared.clone(), target_id: target_id.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.health.borrow_mut().request_ended(&self.target_id);
    }
}

/// Returns once open requests must be answered because this gateway stops.
async fn stop_time_over(shared: &Shared) {
    let must_answer_set = shared.must_answer_set.notified();
    if !shared.must_answer.get() {
        must_answer_set.await;
    }
}

impl Exchange {
    async fn run(&mut self, client: &mut Http1Connection, keeps_alive: bool) -> AfterResponse {
        let relay = EventRelay::new(self.fields.last_event);
        let shared = self.shared.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.forward(relay.last_event()) => Some(outcome),
            () = client.wait_closed() => None,
            () = stop_time_over(&shared) => {
                return self.answer_at_end_of_stop(client).await;
            }
        };
        match outcome {
            None => {
                self.finish("left", 0);
                AfterResponse::Close
            }
            Some(ForwardOutcome::Complete { head, body }) => {
                let status = head.status;
                let outcome = match status {
                    200..400 => "served",
                    503 if self.is_passed_on => "refused",
                    _ => "failed_at_target",
                };
                let limit = self.answer_limit();
                let next = send_complete(client, head, &body, keeps_alive, limit).await;
                self.finish(outcome, status);
                next
            }
            Some(ForwardOutcome::Stream(live)) => {
                self.relay(client, *live, relay, keeps_alive).await
            }
            Some(ForwardOutcome::Error(_)) if self.can_decline() => {
                self.finish("declined", DECLINED);
                let reason = std::mem::take(&mut self.reason);
                decline(client, &reason).await;
                AfterResponse::Close
            }
            Some(ForwardOutcome::Error(error_response)) => {
                let outcome = if error_response.status == 503 { "refused" } else { "failed" };
                self.finish(outcome, error_response.status);
                let reason = std::mem::take(&mut self.reason);
                send_error(client, &error_response, &reason, keeps_alive).await
            }
        }
    }

    /// Answers a request for which the stop of this gateway leaves no more time.
    async fn answer_at_end_of_stop(&mut self, client: &mut Http1Connection) -> AfterResponse {
        let may_have_run = self.may_have_run || self.sent_attempts > 0 || self.is_attempting;
        let error_response = if may_have_run {
            ErrorResponse { status: 504, retry_after_ms: None }
        } else {
            ErrorResponse { status: 503, retry_after_ms: Some(STOPPING_RETRY_AFTER_MS) }
        };
        self.finish("stopped", error_response.status);
        send_error(client, &error_response, "this gateway has stopped", false).await
    }

    /// Sends the request to targets until one responds or no further attempt is allowed. A stream resumes after event
    /// `after`.
    async fn forward(&mut self, after: Option<u64>) -> ForwardOutcome {
        loop {
            if Instant::now() >= self.deadline {
                return self.fail_deadline_exceeded();
            }
            if let Some(refusal) = self.refuse_quarantined() {
                return ForwardOutcome::Error(refusal);
            }
            if self.should_pass_on()
                && let Some(outcome) = self.pass_on(after).await
            {
                return outcome;
            }
            let selected = match self.select_target().await {
                Ok(selected) => selected,
                Err(_) if self.unsent_attempts > 0 && self.may_pass_on() => {
                    match self.pass_on(after).await {
                        Some(outcome) => return outcome,
                        None => continue,
                    }
                }
                Err(error_response) => return ForwardOutcome::Error(error_response),
            };
            if let Some(refusal) = self.refuse_quarantined() {
                return ForwardOutcome::Error(refusal);
            }
            let is_granted = selected.job.as_ref().is_some_and(|job| job.is_granted);
            if self.sent_attempts > 0 && !is_granted && !self.take_retry_budget() {
                "retry budget exhausted".clone_into(&mut self.reason);
                return self.fail();
            }
            let (shared, parts) = (self.shared.clone(), self.shared_parts.clone());
            let can_be_cancelled = !self.is_trial && !parts.is_empty();
            self.is_attempting = true;
            let outcome = tokio::select! {
                biased;
                outcome = self.attempt(selected, after) => outcome,
                () = wait_until_quarantined(&shared, &parts), if can_be_cancelled => {
                    return ForwardOutcome::Error(self.cancel_quarantined());
                }
            };
            self.is_attempting = false;
            if let Some(outcome) = outcome {
                return outcome;
            }
            if !self.may_try_again() {
                return self.fail();
            }
        }
    }

    /// Makes one attempt. Returns `None` if it failed in a way that may allow another one.
    async fn attempt(
        &mut self,
        mut selected: SelectedTarget,
        after: Option<u64>,
    ) -> Option<ForwardOutcome> {
        let shared = self.shared.clone();
        let target_id = selected.target_id.clone();
        self.log_selected(&selected);
        let in_flight_guard = InFlightGuard::new(&shared, &target_id);
        self.last_target = Some(target_id.clone());
        let head = self.forwarded_head(&selected, after);
        let is_idempotent = self.route.kind.is_idempotent();
        let attempt = Attempt {
            target_id: &target_id,
            address: selected.address,
            head: &head,
            body: &self.body,
            request_id: self.fields.request_id.as_deref(),
            max_idle: if is_idempotent { MAX_IDLE_IDEMPOTENT } else { MAX_IDLE_NON_IDEMPOTENT },
        };
        let sent = timeout_at(selected.attempt_deadline, attempt.send(&shared)).await;
        let sent = sent.unwrap_or_else(|_| {
            Err(SendError::Unknown("no response before the timeout".to_owned()))
        });
        if !matches!(sent, Err(SendError::NotSent(_))) {
            self.sent_attempts += 1;
            self.sent_to.push(target_id.clone());
        }
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                let job = selected.job.take();
                selected.end_load_failed(&error);
                self.record_failure(&error, &target_id, ResponseProgress::NotBegun, job);
                return None;
            }
        };
        let is_success = (200..300).contains(&response.head.status);
        let is_stream = is_success && self.route.kind.is_stream();
        let result = if is_stream {
            self.begin_stream(response, selected, in_flight_guard).await
        } else {
            self.read_response_body(response, &mut selected, is_idempotent).await
        };
        match result {
            Ok(outcome) => outcome,
            Err((error, job)) => {
                self.record_failure(&error, &target_id, ResponseProgress::NotBegun, job);
                None
            }
        }
    }

    /// Waits for the first bytes of a stream. The error says why the attempt failed.
    async fn begin_stream(
        &mut self,
        mut response: TargetResponse,
        mut selected: SelectedTarget,
        in_flight_guard: InFlightGuard,
    ) -> Result<Option<ForwardOutcome>, (SendError, Option<PlacedJob>)> {
        let first = timeout_at(selected.attempt_deadline, response.next()).await;
        let first_bytes = match first {
            Ok(Ok(None)) if response.ends_with_connection => {
                let error = SendError::Disconnected("the stream ended without an event".to_owned());
                return Err((error, selected.job.take()));
            }
            Ok(Ok(bytes)) => bytes.unwrap_or_default(),
            Ok(Err(error)) => return Err((error.into(), selected.job.take())),
            Err(_) => {
                let error = SendError::Unknown("no event before the timeout".to_owned());
                return Err((error, selected.job.take()));
            }
        };
        if let Some(job) = &selected.job {
            job.first_event();
        }
        let live = LiveStream {
            response,
            first_bytes,
            target_id: selected.target_id,
            job: selected.job,
            reservation: selected.reservation,
            in_flight_guard,
            progress: ResponseProgress::NotBegun,
        };
        Ok(Some(ForwardOutcome::Stream(Box::new(live))))
    }

    /// Reads a response that is not a stream. Returns `None` if it is an error response and another attempt may
    /// follow.
    async fn read_response_body(
        &mut self,
        mut response: TargetResponse,
        selected: &mut SelectedTarget,
        is_idempotent: bool,
    ) -> Result<Option<ForwardOutcome>, (SendError, Option<PlacedJob>)> {
        let body = timeout_at(
            selected.attempt_deadline,
            response.read_whole(&self.shared.response_memory),
        )
        .await;
        let body = match body {
            Ok(body) => body.map_err(SendError::from),
            Err(_) => Err(SendError::Unknown("response body incomplete at the timeout".to_owned())),
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                selected.end_load_failed(&error);
                return Err((error, selected.job.take()));
            }
        };
        let now_ms = self.shared.now_ms();
        let released = response.release(&self.shared, &selected.target_id);
        let status = released.head.status;
        let is_failure = status >= 500 || matches!(status, 408 | 421 | 429);
        {
            let mut health = self.shared.health.borrow_mut();
            if is_failure {
                health.error_response(&selected.target_id);
            } else {
                health.succeeded(now_ms, &selected.target_id);
            }
        }
        let served = RequestEnd::Served { is_cold: selected.was_cold() };
        selected.end_load(if is_failure { RequestEnd::Failed } else { served });
        self.count_attempt(if is_failure { "failure_answered" } else { "answered" });
        if let Some(job) = selected.job.take() {
            job.finish(if is_failure { Outcome::Failed } else { Outcome::Done });
        }
        if !is_failure {
            // An engine may reject a request before it begins with it.
            if (200..300).contains(&status) {
                self.shared.parts_survived(&self.shared_parts);
            }
            return Ok(Some(ForwardOutcome::Complete { head: released.head, body }));
        }
        self.may_have_run = true;
        self.reason = format!("target {} answered {status}", selected.target_id);
        let is_last = !is_idempotent || !self.may_try_again();
        self.excluded.push(selected.target_id.clone());
        self.last_failure = Some((released.head, body));
        if is_last {
            return Ok(Some(self.fail()));
        }
        // The error response is kept as a fallback if no later attempt succeeds.
        Ok(None)
    }

    fn log_selected(&self, selected: &SelectedTarget) {
        let now = Instant::now();
        tracing::info!(
            event = "target_chosen",
            request_id = self.request_id(),
            target_id = %selected.target_id,
            decided_by = selected.job.as_ref().map_or("self", |job| job.decided_by),
            in_flight = self.shared.health.borrow().in_flight(&selected.target_id),
            sends_before = self.sent_attempts,
            excluded = self.excluded.len(),
            helpers = selected.job.as_ref().map_or_else(String::new, PlacedJob::helper_ids),
            prompt_tokens = self.fields.prompt_tokens,
            forecast_ms = self.forecast_ms,
            waited_ms = (now - self.arrived).as_millis(),
            left_ms = self.deadline.saturating_duration_since(now).as_millis(),
            links = self.shared.links.get(),
            config_version = self.table.version()
        );
    }

    /// Records a failed attempt.
    fn record_failure(
        &mut self,
        error: &SendError,
        target_id: &Arc<str>,
        progress: ResponseProgress,
        job: Option<PlacedJob>,
    ) {
        let now_ms = self.shared.now_ms();
        self.reason = format!("target {target_id}: {error}");
        if matches!(error, SendError::Disconnected(_)) && progress != ResponseProgress::Survived {
            self.check_for_crash(target_id);
        }
        if let Some(failure) = error.path_failure() {
            path_probes::record_failure(&self.shared, target_id, failure);
        }
        self.excluded.push(target_id.clone());
        let outcome = match error {
            SendError::NotSent(_) => {
                self.unsent_attempts += 1;
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
            SendError::Unknown(_) | SendError::Unreachable(_) | SendError::Disconnected(_) => {
                self.may_have_run = true;
                self.shared.health.borrow_mut().failed(now_ms, target_id);
                match error {
                    SendError::Disconnected(_) => Outcome::Disconnected,
                    _ => Outcome::Failed,
                }
            }
        };
        if let Some(job) = job {
            // Homes act on failures of engines for all gateways.
            let is_doubtful = error.path_failure().is_some()
                && path_probes::is_path_suspected(&self.shared, target_id);
            if is_doubtful {
                path_probes::finish_after_verdict(&self.shared, job, outcome);
            } else {
                job.finish(outcome);
            }
        }
        let label = match error {
            SendError::NotSent(_) => "not_sent",
            SendError::NotRun { .. } => "not_run",
            SendError::Unknown(_) | SendError::Unreachable(_) | SendError::Disconnected(_) => {
                "unknown"
            }
        };
        self.count_attempt(label);
        tracing::info!(
            event = "attempt_failed",
            request_id = self.request_id(),
            target_id = %target_id,
            sends = self.sent_attempts,
            error = %error,
            has_begun = progress != ResponseProgress::NotBegun,
            cold_left_ms = self.shared.fleet.borrow().cold_left_ms(now_ms, target_id),
            prompt_parts = %HexList(&self.fields.prompt_parts)
        );
    }

    /// Time without an event of a stream after which another engine is tried.
    fn engine_silence_timeout(&self) -> Duration {
        let abandonment_ms =
            abandonment_timeout_ms(self.route.latency_slo_ms, self.route.max_event_gap_ms);
        Duration::from_millis(abandonment_ms).mul_f64(SILENCE_TIMEOUT_SHARE)
    }

    fn has_further_attempt(&self) -> bool {
        self.sent_attempts + 1 < self.route.max_attempts
    }

    fn may_try_again(&self) -> bool {
        let is_allowed = !self.may_have_run || self.route.kind.is_idempotent();
        is_allowed
            && !self.is_trial
            && !self.is_passed_on
            && self.sent_attempts < self.route.max_attempts
            && self.unsent_attempts <= self.max_unsent_attempts()
            && Instant::now() < self.deadline
    }

    /// While no target can be reached, one failure shows that this still holds.
    fn max_unsent_attempts(&self) -> u32 {
        let is_lost = self.shared.reachability.borrow().is_lost(&self.service);
        if is_lost && self.has_asked_peers { 0 } else { MAX_UNSENT_ATTEMPTS }
    }

    fn take_retry_budget(&self) -> bool {
        self.shared.with_budget(&self.service, RetryBudget::try_take)
    }

    fn fail_deadline_exceeded(&mut self) -> ForwardOutcome {
        "deadline exceeded".clone_into(&mut self.reason);
        self.fail()
    }

    /// Returns the final result if no further attempt is allowed.
    fn fail(&mut self) -> ForwardOutcome {
        if let Some((head, body)) = self.last_failure.take() {
            // Callers would take these statuses to mean that the request has not run.
            if !matches!(head.status, 408 | 421 | 429 | 503) {
                return ForwardOutcome::Complete { head, body };
            }
        }
        ForwardOutcome::Error(self.error_response(FULL_RETRY_AFTER_MS))
    }

    /// Returns a gateway-generated response, with a `Retry-After` if the request has not run.
    fn error_response(&self, retry_after_ms: u64) -> ErrorResponse {
        let is_past_deadline = Instant::now() >= self.deadline;
        match (self.may_have_run, is_past_deadline) {
            (true, true) => ErrorResponse { status: 504, retry_after_ms: None },
            (true, false) => ErrorResponse { status: 502, retry_after_ms: None },
            (false, _) => ErrorResponse { status: 503, retry_after_ms: Some(retry_after_ms) },
        }
    }

    fn record_first_event(&mut self) {
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

    /// Records the end of the request in metrics and log.
    fn finish(&self, outcome: &'static str, status: u16) {
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
            workspace = self.tenant.as_deref().unwrap_or(""),
            priority = self.priority,
            outcome,
            status,
            target_id = self.last_target.as_deref().unwrap_or(""),
            sends = self.sent_attempts,
            unsent = self.unsent_attempts,
            helpers = self.helpers,
            forecast_ms = self.forecast_ms,
            prompt_tokens = self.fields.prompt_tokens,
            first_event_ms,
            total_ms = (now - self.arrived).as_millis(),
            config_version = self.table.version(),
            reason = %OrDash(reason)
        );
    }
}

/// Displays a string, or a dash if it is empty.
struct OrDash<'a>(&'a str);

impl fmt::Display for OrDash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "-" } else { self.0 })
    }
}
