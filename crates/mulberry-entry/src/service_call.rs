//! One call of a plain service.

use std::time::{Duration, Instant};

use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_http::header::{HeaderName, HeaderValue};
use mulberry_http::{HeaderMap, Request, Responder, Response, StatusCode};
use mulberry_policy::{Backoff, FailedAttempt, FailedOutcome, RetryDecision};
use mulberry_services::{ServiceAnswer, ServiceCall, ServiceError};
use mulberry_types::{ReleaseOutcome, Repeatability, ServiceKind, StoredAnswer};

use crate::acquire::{Acquired, Ask, NotAcquired, acquire};
use crate::claims::{Claim, Claimed, Claims, stored_answer};
use crate::entry::Entry;
use crate::job::{Job, check_may_start};
use crate::rooms::HeldRoom;

/// First and longest range of the random pause before a retry.
const RETRY_BACKOFF_MS: (u64, u64) = (10, 500);

/// How a call ended for its claim.
enum CallEnd {
    Answered(ServiceAnswer),

    /// No byte has left and none will.
    NotRun(NotAcquired),

    /// The call may have run.
    MayHaveRun(CallerError),
}

/// Answers one call of a plain service.
pub fn serve_service(
    entry: &Entry,
    claims: &Claims,
    request: &Request,
    responder: Responder,
    started: Instant,
) {
    let prepared = prepare(entry, request, started);
    let result = prepared.and_then(|(job, path, repeatability)| {
        entry.metrics.in_flight.inc();
        let call = Call { entry, job: &job, request, path: &path, repeatability };
        let result = call.run(claims, &responder);
        entry.metrics.in_flight.dec();
        log(&job, &result);
        result
    });
    match result {
        Ok(response) => {
            entry.metrics.finished("ok");
            responder.send(response);
        }
        Err(error) => {
            entry.metrics.finished(error.code.name());
            responder.send(error.to_response());
        }
    }
}

fn log(job: &Job, result: &Result<Response, CallerError>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(error) => error.code.name(),
    };
    tracing::info!(
        request = %job.id, workspace = %job.workspace, service = %job.service, outcome,
        total_ms = job.started.elapsed().as_millis() as u64, "request_finished"
    );
}

/// Checks a call and admits it. Returns the path behind the service's name.
fn prepare(
    entry: &Entry,
    request: &Request,
    started: Instant,
) -> Result<(Job, String, Repeatability), CallerError> {
    check_may_start(entry)?;
    let in_force = entry.configuration.current();
    let workspace = in_force.api_keys.authenticate(request)?;
    let (name, path) = split_path(request);
    let unknown = || {
        let message = format!("there is no plain service {name}; check the path");
        CallerError::new(ErrorCode::UnknownService, Outcome::NotRun, message)
    };
    let services = &in_force.configuration.services;
    let (name, service) = services.get_key_value(name).ok_or_else(unknown)?;
    if !matches!(service.kind, ServiceKind::Plain { .. }) {
        return Err(unknown());
    }
    let path_only = path.split('?').next().unwrap_or_default();
    let repeatability = service.repeatability(request.method.as_str(), path_only);
    let job = Job::new(entry, &in_force, &workspace, (name.clone(), service), request, started)?;
    job.admit(entry, &in_force, 0, 0)?;
    Ok((job, path, repeatability))
}

/// Name of the service, and path and query behind it.
fn split_path(request: &Request) -> (&str, String) {
    let path = request.path().strip_prefix("/services/").unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = request.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name, format!("/{rest}{query}"))
}

/// One admitted call.
struct Call<'a> {
    entry: &'a Entry,
    job: &'a Job,
    request: &'a Request,
    path: &'a str,
    repeatability: Repeatability,
}

impl Call<'_> {
    fn run(&self, claims: &Claims, responder: &Responder) -> Result<Response, CallerError> {
        let claim = match self.claim(claims)? {
            Some(Claimed::Finished(answer)) => return repeat_answer(answer),
            Some(Claimed::Won(claim)) => Some(claim),
            None => None,
        };
        let end = self.attempts(|| responder.is_closed());
        if let Some(claim) = &claim {
            end_claim(claims, claim, &end);
        }
        match end {
            CallEnd::Answered(answer) => Ok(to_response(answer)),
            CallEnd::MayHaveRun(error) | CallEnd::NotRun(NotAcquired::Failed(error)) => Err(error),
            CallEnd::NotRun(NotAcquired::CallerGone) => Err(CallerError::new(
                ErrorCode::DeadlineExceeded,
                Outcome::NotRun,
                "the caller closed the connection before the call was dispatched",
            )),
        }
    }

    /// Claims a call that must not run twice, if it carries a key. Without a key it has one attempt.
    fn claim(&self, claims: &Claims) -> Result<Option<Claimed>, CallerError> {
        match (self.repeatability, self.request.headers.get("idempotency-key")) {
            (Repeatability::AtMostOnce, Some(key)) => {
                let key = key.to_str().unwrap_or_default();
                claims.claim(self.job, key, self.request).map(Some)
            }
            _ => Ok(None),
        }
    }

    fn attempts(&self, caller_is_gone: impl Fn() -> bool) -> CallEnd {
        let (base_ms, max_ms) = RETRY_BACKOFF_MS;
        let mut backoff = Backoff::new(self.job.id.counter, base_ms, max_ms);
        let mut ask = Ask {
            prompt_tokens: 0,
            max_answer_tokens: 0,
            prefix_hash: None,
            needed_ms: 0,
            excluded: Vec::new(),
        };
        let mut outcome = Outcome::NotRun;
        loop {
            let room = match acquire(self.entry, self.job, &ask, outcome, &caller_is_gone) {
                Ok(Acquired::One(room)) => room,
                Ok(Acquired::Split { .. }) => continue,
                Err(not_acquired) => return not_run_end(outcome, not_acquired),
            };
            let target = room.reserve.target.clone();
            let error = match self.attempt(room) {
                Ok(Some(answer)) => return CallEnd::Answered(answer),
                Ok(None) => continue,
                Err(error) => error,
            };
            tracing::warn!(request = %self.job.id, %target, %error, "attempt_failed");
            if !matches!(error, ServiceError::NotSent { .. }) && outcome == Outcome::NotRun {
                outcome = Outcome::Unknown;
            }
            if let Some(end) = self.after_failure(&error, outcome) {
                return end;
            }
            ask.excluded.push(target);
            let pause_ms = backoff.next_ms().min(self.job.remaining_ms());
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    /// Makes one attempt. `None` if the room was lost before anything was sent.
    fn attempt(&self, room: HeldRoom<'_>) -> Result<Option<ServiceAnswer>, ServiceError> {
        // Checked last before the first byte: a process that was frozen has lost its lease.
        if !room.may_start(self.entry) {
            room.release(ReleaseOutcome::Unused, None);
            return Ok(None);
        }
        let result = self.entry.services.call(&ServiceCall {
            address: room.reserved.address,
            request: room.reserve.request,
            method: &self.request.method,
            path_and_query: self.path,
            headers: &self.request.headers,
            body: &self.request.body,
            deadline: self.job.deadline,
        });
        let outcome = match &result {
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                ReleaseOutcome::Overloaded
            }
            Ok(_) | Err(ServiceError::AnswerTooLong { .. }) => ReleaseOutcome::Succeeded,
            Err(_) if self.job.remaining_ms() == 0 => ReleaseOutcome::Cancelled,
            Err(_) => ReleaseOutcome::Failed,
        };
        room.release(outcome, None);
        result.map(Some)
    }

    /// Decides what follows a failure. `None` if there is to be another attempt.
    fn after_failure(&self, error: &ServiceError, so_far: Outcome) -> Option<CallEnd> {
        let key = self.job.retry_key();
        let now_ms = self.entry.clock.now_ms();
        let is_not_sent = matches!(error, ServiceError::NotSent { .. });
        let decision = RetryDecision::decide(&FailedAttempt {
            repeatability: self.repeatability,
            bytes_may_have_left: !is_not_sent,
            target_says_not_run: false,
            target_answered: matches!(error, ServiceError::AnswerTooLong { .. }),
            sent_to_caller: 0,
            engine_resumes: false,
            remaining_ms: self.job.remaining_ms(),
            needed_ms: 0,
            budget_left: self.entry.retries().may_retry(now_ms, &key),
        });
        let RetryDecision::Fail { outcome } = decision else {
            self.entry.metrics.retries.inc();
            self.entry.retries().try_retry(now_ms, &key);
            return None;
        };
        let code = if self.job.remaining_ms() == 0 {
            ErrorCode::DeadlineExceeded
        } else {
            ErrorCode::TargetFailed
        };
        let end = match (outcome, so_far) {
            (FailedOutcome::Ran, _) => {
                CallEnd::MayHaveRun(CallerError::new(code, Outcome::Ran, error.to_string()))
            }
            (FailedOutcome::NotRun, Outcome::NotRun) => {
                let error = CallerError::new(code, Outcome::NotRun, error.to_string());
                CallEnd::NotRun(NotAcquired::Failed(error.retry_after_ms(1_000)))
            }
            _ => CallEnd::MayHaveRun(CallerError::new(code, Outcome::Unknown, error.to_string())),
        };
        Some(end)
    }
}

/// End of a call that found no target any more, after earlier attempts with this outcome.
fn not_run_end(outcome: Outcome, not_acquired: NotAcquired) -> CallEnd {
    match (outcome, not_acquired) {
        (Outcome::NotRun, not_acquired) => CallEnd::NotRun(not_acquired),
        (_, NotAcquired::Failed(error)) => CallEnd::MayHaveRun(error),
        (_, NotAcquired::CallerGone) => CallEnd::MayHaveRun(CallerError::new(
            ErrorCode::OutcomeUnknown,
            Outcome::Unknown,
            "the caller closed the connection after the call was dispatched",
        )),
    }
}

fn end_claim(claims: &Claims, claim: &Claim, end: &CallEnd) {
    match end {
        CallEnd::Answered(answer) => {
            let headers = answer.headers.iter().filter_map(|(name, value)| {
                Some((name.to_string(), value.to_str().ok()?.to_owned()))
            });
            let status = answer.status.as_u16();
            claims.finish(claim, stored_answer(status, headers.collect(), &answer.body));
        }
        CallEnd::NotRun(_) => claims.release(claim),
        CallEnd::MayHaveRun(_) => claims.abandon(claim),
    }
}

fn to_response(answer: ServiceAnswer) -> Response {
    Response { status: answer.status, headers: answer.headers, body: answer.body }
}

/// The answer of an earlier call with the same key.
fn repeat_answer(answer: StoredAnswer) -> Result<Response, CallerError> {
    let Some(body) = answer.body else {
        return Err(CallerError::new(
            ErrorCode::AnswerNotKept,
            Outcome::Ran,
            "the call has run once and its answer was too long to be kept; ask the service",
        ));
    };
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Ok(Response { status, headers, body: body.into() })
}
