//! One completion from the caller's request to the last token.

use std::sync::Arc;
use std::time::Instant;

use mulberry_callers::{AnswerShape, CallerError, CompletionRequest, Endpoint, ErrorCode, Outcome};
use mulberry_http::{Request, Responder};
use mulberry_policy::{Backoff, FailedAttempt, FailedOutcome, RetryDecision};
use mulberry_targets::{Completion, EngineError, EngineEvent, EngineStream, Segment};
use mulberry_types::{ReleaseOutcome, Repeatability, ServiceKind};
use xxhash_rust::xxh3::xxh3_64;

use crate::acquire::{Acquired, Ask, NotAcquired, acquire};
use crate::answer_sink::AnswerSink;
use crate::clock::unix_s;
use crate::entry::Entry;
use crate::in_force::InForce;
use crate::job::{Job, check_may_start};
use crate::rooms::{HeldRoom, Room};
use crate::split::prefill_segments;

/// Bytes at the start of a prompt that decide its prefix; shorter prompts have none worth keeping.
const PREFIX_BYTES: usize = 4 * 1024;

/// First and longest range of the random pause before a retry.
const RETRY_BACKOFF_MS: (u64, u64) = (10, 500);

/// How an attempt ended.
pub enum AttemptEnd {
    Finished {
        prompt_tokens: u64,
        finish_reason: String,
    },
    CallerGone,

    /// The reservation or the lease was lost before anything was sent.
    NotStarted,

    /// The engine failed.
    Failed(EngineError),
}

/// Answers one request for a completion.
pub fn serve_completion(
    entry: &Entry,
    endpoint: Endpoint,
    request: &Request,
    responder: Responder,
    started: Instant,
) {
    let (job, completion, needed_ms) = match prepare(entry, endpoint, request, started) {
        Ok(prepared) => prepared,
        Err(error) => {
            entry.metrics.finished(error.code.name());
            tracing::info!(code = error.code.name(), "request_refused");
            return responder.send(error.to_response());
        }
    };
    let shape = AnswerShape::new(endpoint, job.id, job.service.clone(), unix_s());
    let sink = AnswerSink::new(responder, shape, &completion, started);
    Run { entry, job: &job, completion: &completion, needed_ms, sink, outcome: Outcome::NotRun }
        .run();
}

/// Checks a request and admits it.
fn prepare(
    entry: &Entry,
    endpoint: Endpoint,
    request: &Request,
    started: Instant,
) -> Result<(Job, CompletionRequest, u64), CallerError> {
    check_may_start(entry)?;
    let in_force = entry.configuration.current();
    let workspace = in_force.api_keys.authenticate(request)?;
    let completion = CompletionRequest::parse(endpoint, request)?;
    let (name, service) = model(&in_force, &completion)?;
    let job = Job::new(entry, &in_force, &workspace, (name, service), request, started)?;
    let (prompt, answer) = (completion.prompt_tokens(), u64::from(completion.max_tokens));
    let needed_ms = job.admit(entry, &in_force, prompt, answer)?;
    Ok((job, completion, needed_ms))
}

fn model<'a>(
    in_force: &'a InForce,
    completion: &CompletionRequest,
) -> Result<(Arc<str>, &'a mulberry_types::Service), CallerError> {
    let unknown = || {
        let message = format!("there is no model {}; see GET /v1/models", completion.model);
        CallerError::new(ErrorCode::UnknownModel, Outcome::NotRun, message)
    };
    let services = &in_force.configuration.services;
    let (name, service) = services.get_key_value(&completion.model).ok_or_else(unknown)?;
    let ServiceKind::Model { max_answer_tokens } = service.kind else { return Err(unknown()) };
    if completion.max_tokens > max_answer_tokens {
        let message =
            format!("max_tokens: is {}; use at most {max_answer_tokens}", completion.max_tokens);
        return Err(CallerError::new(ErrorCode::InvalidRequest, Outcome::NotRun, message));
    }
    Ok((name.clone(), service))
}

/// One admitted completion.
struct Run<'a> {
    entry: &'a Entry,
    job: &'a Job,
    completion: &'a CompletionRequest,
    needed_ms: u64,
    sink: AnswerSink,

    /// What is true of the request so far.
    outcome: Outcome,
}

impl Run<'_> {
    fn run(mut self) {
        self.entry.metrics.in_flight.inc();
        let result = self.attempts();
        self.entry.metrics.in_flight.dec();
        let code = match &result {
            Ok(()) => "ok",
            Err(NotAcquired::CallerGone) => "caller_gone",
            Err(NotAcquired::Failed(error)) => {
                self.sink.fail(error);
                error.code.name()
            }
        };
        self.entry.metrics.finished(code);
        tracing::info!(
            request = %self.job.id,
            workspace = %self.job.workspace,
            model = %self.job.service,
            prompt_tokens = self.completion.prompt_tokens(),
            answer_tokens = self.sink.tokens(),
            first_token_ms = self.sink.first_token_ms().unwrap_or(0),
            total_ms = self.job.started.elapsed().as_millis() as u64,
            outcome = code,
            "request_finished"
        );
    }

    fn attempts(&mut self) -> Result<(), NotAcquired> {
        let (base_ms, max_ms) = RETRY_BACKOFF_MS;
        let mut backoff = Backoff::new(self.job.id.counter, base_ms, max_ms);
        let mut ask = Ask {
            prompt_tokens: self.completion.prompt_tokens(),
            max_answer_tokens: u64::from(self.completion.max_tokens),
            prefix_hash: prefix_hash(&self.completion.prompt),
            needed_ms: self.needed_ms,
            excluded: Vec::new(),
        };
        loop {
            let acquired =
                acquire(self.entry, self.job, &ask, self.outcome, || self.sink.is_closed())?;
            let (end, failed_target) = self.attempt(acquired);
            match end {
                AttemptEnd::Finished { prompt_tokens, finish_reason } => {
                    return self.finish(prompt_tokens, &finish_reason);
                }
                AttemptEnd::CallerGone => return Err(NotAcquired::CallerGone),
                AttemptEnd::NotStarted => {}
                AttemptEnd::Failed(error) => {
                    self.after_failure(&error)?;
                    ask.excluded.extend(failed_target);
                    std::thread::sleep(std::time::Duration::from_millis(
                        backoff.next_ms().min(self.job.remaining_ms()),
                    ));
                }
            }
        }
    }

    /// Runs one attempt and releases its room. Returns the target that failed, if one did.
    fn attempt(&mut self, acquired: Acquired<'_>) -> (AttemptEnd, Option<Arc<str>>) {
        match acquired {
            Acquired::One(room) => {
                let body = self.completion.engine_body();
                let (end, first_token_ms) =
                    self.stream(&room, self.completion.endpoint, &body, &[]);
                let target = room.reserve.target.clone();
                room.release(release_outcome(&end), first_token_ms);
                let is_failure = matches!(end, AttemptEnd::Failed(_));
                (end, is_failure.then_some(target))
            }
            Acquired::Split { plan, rooms } => self.split_attempt(&plan, rooms),
        }
    }

    fn split_attempt(
        &mut self,
        plan: &mulberry_policy::SplitPlan,
        rooms: Vec<HeldRoom<'_>>,
    ) -> (AttemptEnd, Option<Arc<str>>) {
        let prefilled =
            prefill_segments(self.entry, self.job, &self.completion.prompt, plan, &rooms);
        let (end, failed_target) = match (&prefilled.failure, rooms.last()) {
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
        for room in rooms {
            let outcome = match &failed_target {
                Some(target) if *target == room.reserve.target => release_outcome(&end),
                Some(_) => ReleaseOutcome::Cancelled,
                None => release_outcome(&end),
            };
            room.release(outcome, None);
        }
        (end, failed_target)
    }

    /// Streams from one engine. Returns the end and the time to first token of this attempt.
    fn stream(
        &mut self,
        room: &Room,
        endpoint: Endpoint,
        body: &[u8],
        imports: &[Segment],
    ) -> (AttemptEnd, Option<u64>) {
        if !room.may_start(self.entry) {
            return (AttemptEnd::NotStarted, None);
        }
        let attempt_started = Instant::now();
        let completion = Completion {
            address: room.reserved.address,
            path: endpoint.path(),
            request: room.reserve.request,
            priority: room.reserve.priority,
            resume_from: self.sink.tokens(),
            imports,
            body,
            deadline: self.job.deadline,
        };
        tracing::debug!(
            request = %self.job.id, attempt = %room.reserve.request,
            target = %room.reserve.target, resume_from = completion.resume_from,
            "attempt_started"
        );
        match self.entry.engines.start(&completion) {
            Ok(stream) => self.pass_on(room, stream, attempt_started),
            Err(error) => (AttemptEnd::Failed(error), None),
        }
    }

    fn pass_on(
        &mut self,
        room: &Room,
        mut stream: EngineStream,
        attempt_started: Instant,
    ) -> (AttemptEnd, Option<u64>) {
        let mut first_token_ms = None;
        loop {
            if self.sink.is_closed() {
                return (AttemptEnd::CallerGone, first_token_ms);
            }
            if self.job.remaining_ms() == 0 {
                return (AttemptEnd::Failed(EngineError::DeadlinePassed), first_token_ms);
            }
            match stream.next_event() {
                Ok(EngineEvent::KeepAlive) => {}
                Ok(EngineEvent::Token { text, .. }) => {
                    if first_token_ms.is_none() {
                        let elapsed_ms = attempt_started.elapsed().as_millis() as u64;
                        first_token_ms = Some(elapsed_ms);
                        self.first_token(room);
                    }
                    if self.sink.token(&text).is_err() {
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

    fn first_token(&mut self, room: &Room) {
        self.entry.rooms.first_token(self.entry, room);
        if self.sink.tokens() == 0 {
            let elapsed_ms = self.job.started.elapsed().as_millis() as u64;
            self.entry.metrics.first_token(self.completion.prompt_tokens(), elapsed_ms);
        }
    }

    fn finish(&mut self, prompt_tokens: u64, finish_reason: &str) -> Result<(), NotAcquired> {
        let service = &self.job.service;
        let (tokens, decode_ms) = (self.sink.tokens(), self.sink.decode_ms());
        self.entry.admissions.answer_finished(service, tokens, decode_ms);
        self.sink.finish(finish_reason, prompt_tokens).map_err(|_| NotAcquired::CallerGone)
    }

    /// Decides what follows a failure. Returns normally if there is to be another attempt.
    fn after_failure(&mut self, error: &EngineError) -> Result<(), NotAcquired> {
        tracing::warn!(request = %self.job.id, %error, "attempt_failed");
        if matches!(error, EngineError::Mismatch { .. } | EngineError::Incomplete) {
            self.entry.metrics.mismatched.inc();
        }
        if self.sink.tokens() > 0 {
            self.outcome = Outcome::Ran;
        } else if !error.is_not_run() && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        if let Some(error) = self.final_error(error) {
            return Err(NotAcquired::Failed(error));
        }
        let key = self.job.retry_key();
        let now_ms = self.entry.clock.now_ms();
        let decision = RetryDecision::decide(&FailedAttempt {
            repeatability: Repeatability::Repeatable,
            bytes_may_have_left: !matches!(error, EngineError::NotSent { .. }),
            target_says_not_run: error.is_not_run(),
            target_answered: false,
            sent_to_caller: self.sink.tokens(),
            engine_resumes: true,
            remaining_ms: self.job.remaining_ms(),
            needed_ms: self.needed_ms,
            budget_left: self.entry.retries().may_retry(now_ms, &key),
        });
        match decision {
            RetryDecision::Retry => self.entry.metrics.retries.inc(),
            RetryDecision::Resume { .. } => self.entry.metrics.resumed.inc(),
            RetryDecision::Fail { outcome } => {
                return Err(NotAcquired::Failed(self.failed(outcome, error)));
            }
        };
        self.entry.retries().try_retry(now_ms, &key);
        Ok(())
    }

    /// Error of a failure that another attempt cannot mend.
    fn final_error(&self, error: &EngineError) -> Option<CallerError> {
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

    fn failed(&self, outcome: FailedOutcome, error: &EngineError) -> CallerError {
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

/// How the end of an attempt concerns the target.
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
