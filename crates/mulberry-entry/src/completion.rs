//! Serves one completion, from the caller's request to the last token, over one or more attempts.

use std::sync::Arc;
use std::time::Instant;

use mulberry_callers::{AnswerShape, CallerError, CompletionRequest, Endpoint, ErrorCode, Outcome};
use mulberry_http::{Request, Responder};
use mulberry_policy::{Backoff, FailedAttempt, FailedOutcome, RetryDecision};
use mulberry_targets::{Completion, EngineError, EngineEvent, EngineStream, Segment};
use mulberry_types::{ReleaseOutcome, Repeatability, ServiceKind};
use xxhash_rust::xxh3::xxh3_64;

use crate::acquire::{AcquireError, Acquired, ReservationSpec, acquire};
use crate::active_configuration::ActiveConfiguration;
use crate::clock::unix_s;
use crate::entry::Entry;
use crate::request_context::{RequestContext, check_may_start};
use crate::reservations::{Reservation, ReservationGuard};
use crate::response_sink::ResponseSink;
use crate::split::prefill_segments;

/// Length of the prompt prefix that is hashed for cache affinity. Shorter prompts have no prefix
/// worth caching.
const PREFIX_BYTES: usize = 4 * 1024;

/// Base and maximum of the random backoff before a retry.
const RETRY_BACKOFF_MS: (u64, u64) = (10, 500);

/// Result of one attempt.
pub enum AttemptEnd {
    Finished {
        prompt_tokens: u64,
        finish_reason: String,
    },
    CallerGone,

    /// The reservation or the lease was lost before anything was sent to the engine.
    NotStarted,

    /// The engine failed or the deadline passed.
    Failed(EngineError),
}

/// Serves one completion request.
pub fn serve_completion(
    entry: &Entry,
    endpoint: Endpoint,
    request: &Request,
    responder: Responder,
    started: Instant,
) {
    let (context, completion, needed_ms) = match prepare(entry, endpoint, request, started) {
        Ok(prepared) => prepared,
        Err(error) => {
            entry.metrics.record_finished(error.code.name());
            tracing::info!(code = error.code.name(), "request_refused");
            return responder.send(error.to_response());
        }
    };
    let shape = AnswerShape::new(endpoint, context.id, context.service.clone(), unix_s());
    let sink = ResponseSink::new(responder, shape, &completion, started);
    CompletionRun {
        entry,
        context: &context,
        completion: &completion,
        needed_ms,
        sink,
        outcome: Outcome::NotRun,
    }
    .run();
}

/// Validates and admits a request. Also returns the minimum time in milliseconds that it needs.
fn prepare(
    entry: &Entry,
    endpoint: Endpoint,
    request: &Request,
    started: Instant,
) -> Result<(RequestContext, CompletionRequest, u64), CallerError> {
    check_may_start(entry)?;
    let active = entry.configuration.current();
    let workspace = active.api_keys.authenticate(request)?;
    let completion = CompletionRequest::parse(endpoint, request)?;
    let (name, service) = find_model(&active, &completion)?;
    let context =
        RequestContext::new(entry, &active, &workspace, (name, service), request, started)?;
    let (prompt, answer) = (completion.prompt_tokens(), u64::from(completion.max_tokens));
    let needed_ms = context.admit(entry, &active, prompt, answer)?;
    Ok((context, completion, needed_ms))
}

/// Looks up the model of a request.
///
/// # Errors
/// There is no such model, or the request asks for more tokens than it allows.
fn find_model<'a>(
    active: &'a ActiveConfiguration,
    completion: &CompletionRequest,
) -> Result<(Arc<str>, &'a mulberry_types::Service), CallerError> {
    let unknown = || {
        let message = format!("there is no model {}; see GET /v1/models", completion.model);
        CallerError::new(ErrorCode::UnknownModel, Outcome::NotRun, message)
    };
    let services = &active.configuration.services;
    let (name, service) = services.get_key_value(&completion.model).ok_or_else(unknown)?;
    let ServiceKind::Model { max_answer_tokens } = service.kind else { return Err(unknown()) };
    if completion.max_tokens > max_answer_tokens {
        let message =
            format!("max_tokens: is {}; use at most {max_answer_tokens}", completion.max_tokens);
        return Err(CallerError::new(ErrorCode::InvalidRequest, Outcome::NotRun, message));
    }
    Ok((name.clone(), service))
}

/// An admitted completion with its state over all attempts.
struct CompletionRun<'a> {
    entry: &'a Entry,
    context: &'a RequestContext,
    completion: &'a CompletionRequest,
    needed_ms: u64,
    sink: ResponseSink,

    /// Outcome of the request by the attempts so far.
    outcome: Outcome,
}

impl CompletionRun<'_> {
    fn run(mut self) {
        self.entry.metrics.in_flight.inc();
        let result = self.run_attempts();
        self.entry.metrics.in_flight.dec();
        let code = match &result {
            Ok(()) => "ok",
            Err(AcquireError::CallerGone) => "caller_gone",
            Err(AcquireError::Failed(error)) => {
                self.sink.fail(error);
                error.code.name()
            }
        };
        self.entry.metrics.record_finished(code);
        tracing::info!(
            request = %self.context.id,
            workspace = %self.context.workspace,
            model = %self.context.service,
            prompt_tokens = self.completion.prompt_tokens(),
            answer_tokens = self.sink.tokens(),
            first_token_ms = self.sink.first_token_ms().unwrap_or(0),
            total_ms = self.context.started.elapsed().as_millis() as u64,
            outcome = code,
            "request_finished"
        );
    }

    fn run_attempts(&mut self) -> Result<(), AcquireError> {
        let (base_ms, max_ms) = RETRY_BACKOFF_MS;
        let mut backoff = Backoff::new(self.context.id.counter, base_ms, max_ms);
        let mut spec = ReservationSpec {
            prompt_tokens: self.completion.prompt_tokens(),
            max_answer_tokens: u64::from(self.completion.max_tokens),
            prefix_hash: prefix_hash(&self.completion.prompt),
            needed_ms: self.needed_ms,
            excluded: Vec::new(),
        };
        loop {
            let acquired =
                acquire(self.entry, self.context, &spec, self.outcome, || self.sink.is_closed())?;
            let (end, failed_target) = self.run_attempt(acquired);
            match end {
                AttemptEnd::Finished { prompt_tokens, finish_reason } => {
                    return self.finish(prompt_tokens, &finish_reason);
                }
                AttemptEnd::CallerGone => return Err(AcquireError::CallerGone),
                AttemptEnd::NotStarted => {}
                AttemptEnd::Failed(error) => {
                    self.after_failure(&error)?;
                    spec.excluded.extend(failed_target);
                    std::thread::sleep(std::time::Duration::from_millis(
                        backoff.next_ms().min(self.context.remaining_ms()),
                    ));
                }
            }
        }
    }

    /// Runs one attempt and releases its reservations. Also returns the target that failed, if any.
    fn run_attempt(&mut self, acquired: Acquired<'_>) -> (AttemptEnd, Option<Arc<str>>) {
        match acquired {
            Acquired::Single(reservation) => {
                let body = self.completion.engine_body();
                let (end, first_token_ms) =
                    self.stream(&reservation, self.completion.endpoint, &body, &[]);
                let target = reservation.reserve.target.clone();
                reservation.release(release_outcome(&end), first_token_ms);
                let is_failure = matches!(end, AttemptEnd::Failed(_));
                (end, is_failure.then_some(target))
            }
            Acquired::Split { plan, reservations } => self.run_split_attempt(&plan, reservations),
        }
    }

    fn run_split_attempt(
        &mut self,
        plan: &mulberry_policy::SplitPlan,
        reservations: Vec<ReservationGuard<'_>>,
    ) -> (AttemptEnd, Option<Arc<str>>) {
        let prefilled = prefill_segments(
            self.entry,
            self.context,
            &self.completion.prompt,
            plan,
            &reservations,
        );
        let (end, failed_target) = match (&prefilled.failure, reservations.last()) {
            (None, Some(last)) => {
                let body = self.completion.last_segment_body(prefilled.last_text);
                let (end, _) = self.stream(last, Endpoint::Text, &body, &prefilled.segments);
                let is_failure = matches!(end, AttemptEnd::Failed(_));
                (end, is_failure.then(|| last.reserve.target.clone()))
            }
            (Some((target, error)), _) => (AttemptEnd::Failed(error.clone()), Some(target.clone())),
            (None, None) => (AttemptEnd::NotStarted, None),
        };
        prefilled.free(self.entry);
        for reservation in reservations {
            let outcome = match &failed_target {
                Some(target) if *target == reservation.reserve.target => release_outcome(&end),
                Some(_) => ReleaseOutcome::Cancelled,
                None => release_outcome(&end),
            };
            reservation.release(outcome, None);
        }
        (end, failed_target)
    }

    /// Streams the completion from one engine. Also returns the time to first token of this attempt.
    fn stream(
        &mut self,
        reservation: &Reservation,
        endpoint: Endpoint,
        body: &[u8],
        imports: &[Segment],
    ) -> (AttemptEnd, Option<u64>) {
        if !reservation.may_start(self.entry) {
            return (AttemptEnd::NotStarted, None);
        }
        let attempt_started = Instant::now();
        let completion = Completion {
            address: reservation.reserved.address,
            path: endpoint.path(),
            request: reservation.reserve.request,
            priority: reservation.reserve.priority,
            resume_from: self.sink.tokens(),
            imports,
            body,
            deadline: self.context.deadline,
        };
        tracing::debug!(
            request = %self.context.id, attempt = %reservation.reserve.request,
            target = %reservation.reserve.target, resume_from = completion.resume_from,
            "attempt_started"
        );
        match self.entry.engines.start(&completion) {
            Ok(stream) => self.forward_stream(reservation, stream, attempt_started),
            Err(error) => (AttemptEnd::Failed(error), None),
        }
    }

    /// Forwards the tokens of an engine to the caller until the stream ends or fails.
    fn forward_stream(
        &mut self,
        reservation: &Reservation,
        mut stream: EngineStream,
        attempt_started: Instant,
    ) -> (AttemptEnd, Option<u64>) {
        let mut first_token_ms = None;
        loop {
            if self.sink.is_closed() {
                return (AttemptEnd::CallerGone, first_token_ms);
            }
            if self.context.remaining_ms() == 0 {
                return (AttemptEnd::Failed(EngineError::DeadlinePassed), first_token_ms);
            }
            match stream.next_event() {
                Ok(EngineEvent::KeepAlive) => {}
                Ok(EngineEvent::Token { text, .. }) => {
                    if first_token_ms.is_none() {
                        let elapsed_ms = attempt_started.elapsed().as_millis() as u64;
                        first_token_ms = Some(elapsed_ms);
                        self.record_first_token(reservation);
                    }
                    if self.sink.write_token(&text).is_err() {
                        return (AttemptEnd::CallerGone, first_token_ms);
                    }
                }
                Ok(EngineEvent::End { prompt_tokens, finish_reason, .. }) => {
                    let end = AttemptEnd::Finished { prompt_tokens, finish_reason };
                    return (end, first_token_ms);
                }
                Err(error) => return (AttemptEnd::Failed(error), first_token_ms),
            }
        }
    }

    fn record_first_token(&mut self, reservation: &Reservation) {
        self.entry.reservations.first_token(self.entry, reservation);
        if self.sink.tokens() == 0 {
            let elapsed_ms = self.context.started.elapsed().as_millis() as u64;
            self.entry.metrics.record_first_token(self.completion.prompt_tokens(), elapsed_ms);
        }
    }

    fn finish(&mut self, prompt_tokens: u64, finish_reason: &str) -> Result<(), AcquireError> {
        let service = &self.context.service;
        let (tokens, decode_ms) = (self.sink.tokens(), self.sink.decode_ms());
        self.entry.admissions.answer_finished(service, tokens, decode_ms);
        self.sink.finish(finish_reason, prompt_tokens).map_err(|_| AcquireError::CallerGone)
    }

    /// Decides whether to retry after a failure.
    ///
    /// # Errors
    /// The request fails; otherwise there is another attempt.
    fn after_failure(&mut self, error: &EngineError) -> Result<(), AcquireError> {
        tracing::warn!(request = %self.context.id, %error, "attempt_failed");
        if matches!(error, EngineError::Mismatch { .. } | EngineError::Incomplete) {
            self.entry.metrics.mismatched.inc();
        }
        if self.sink.tokens() > 0 {
            self.outcome = Outcome::Ran;
        } else if !error.is_not_run() && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        if let Some(error) = self.non_retryable_error(error) {
            return Err(AcquireError::Failed(error));
        }
        let key = self.context.retry_key();
        let now_ms = self.entry.clock.now_ms();
        let decision = RetryDecision::decide(&FailedAttempt {
            repeatability: Repeatability::Repeatable,
            may_have_been_sent: !matches!(error, EngineError::NotSent { .. }),
            target_reports_not_run: error.is_not_run(),
            target_answered: false,
            sent_to_caller: self.sink.tokens(),
            engine_can_resume: true,
            remaining_ms: self.context.remaining_ms(),
            needed_ms: self.needed_ms,
            budget_left: self.entry.retry_budget().may_retry(now_ms, &key),
        });
        match decision {
            RetryDecision::Retry => self.entry.metrics.retries.inc(),
            RetryDecision::Resume { .. } => self.entry.metrics.resumed.inc(),
            RetryDecision::Fail { outcome } => {
                return Err(AcquireError::Failed(self.failure_error(outcome, error)));
            }
        };
        self.entry.retry_budget().try_retry(now_ms, &key);
        Ok(())
    }

    /// Error to return for a failure that a retry cannot fix.
    fn non_retryable_error(&self, error: &EngineError) -> Option<CallerError> {
        match error {
            EngineError::DeadlinePassed => Some(CallerError::new(
                ErrorCode::DeadlineExceeded,
                self.outcome,
                "the deadline has passed; set a longer X-Deadline-Ms or ask for a shorter answer",
            )),
            EngineError::Refused { status: 400 | 422, code } => Some(CallerError::new(
                ErrorCode::InvalidRequest,
                Outcome::NotRun,
                format!("the engine does not accept the request ({code}); check its fields"),
            )),
            _ => None,
        }
    }

    /// Error to return when the retry policy allows no further attempt.
    fn failure_error(&self, outcome: FailedOutcome, error: &EngineError) -> CallerError {
        let outcome = match (outcome, self.outcome) {
            (FailedOutcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (FailedOutcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (FailedOutcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
        };
        let code = match error {
            EngineError::Mismatch { .. } | EngineError::Incomplete => ErrorCode::AnswerIncomplete,
            _ => ErrorCode::TargetFailed,
        };
        let message = format!("{error}; no further attempt is possible, send the request again");
        CallerError::new(code, outcome, message).retry_after_ms(1_000)
    }
}

/// Outcome of an attempt as reported to the home of the target.
fn release_outcome(end: &AttemptEnd) -> ReleaseOutcome {
    match end {
        AttemptEnd::Finished { .. } => ReleaseOutcome::Succeeded,
        AttemptEnd::CallerGone | AttemptEnd::Failed(EngineError::DeadlinePassed) => {
            ReleaseOutcome::Cancelled
        }
        AttemptEnd::NotStarted | AttemptEnd::Failed(EngineError::Refused { .. }) => {
            ReleaseOutcome::Unused
        }
        AttemptEnd::Failed(EngineError::Overloaded { .. }) => ReleaseOutcome::Overloaded,
        AttemptEnd::Failed(_) => ReleaseOutcome::Failed,
    }
}

fn prefix_hash(prompt: &str) -> Option<u64> {
    prompt.as_bytes().get(..PREFIX_BYTES).map(xxh3_64)
}
