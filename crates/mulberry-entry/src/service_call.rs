//! Serves one call to a plain service, which is forwarded without interpreting its body.

use std::time::{Duration, Instant};

use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_http::header::{HeaderName, HeaderValue};
use mulberry_http::{HeaderMap, Request, Responder, Response, StatusCode};
use mulberry_policy::{Backoff, FailedAttempt, FailedOutcome, RetryDecision};
use mulberry_services::{ServiceAnswer, ServiceCall, ServiceError};
use mulberry_types::{ReleaseOutcome, Repeatability, ServiceKind, StoredAnswer};

use crate::acquire::{AcquireError, Acquired, ReservationSpec, acquire};
use crate::claims::{Claim, ClaimOutcome, Claims, stored_answer};
use crate::entry::Entry;
use crate::request_context::{RequestContext, check_may_start};
use crate::reservations::ReservationGuard;

/// Base and maximum of the random backoff before a retry.
const RETRY_BACKOFF_MS: (u64, u64) = (10, 500);

/// Result of a call, which decides how its claim ends.
enum CallOutcome {
    Answered(ServiceAnswer),

    /// Nothing was sent to a target and nothing will be.
    NotRun(AcquireError),

    /// A target may have executed the call.
    MayHaveRun(CallerError),
}

/// Serves one call to a plain service.
pub fn serve_service(
    entry: &Entry,
    claims: &Claims,
    request: &Request,
    responder: Responder,
    started: Instant,
) {
    let prepared = prepare(entry, request, started);
    let result = prepared.and_then(|(context, path, repeatability)| {
        entry.metrics.in_flight.inc();
        let call = PlainCall { entry, context: &context, request, path: &path, repeatability };
        let result = call.run(claims, &responder);
        entry.metrics.in_flight.dec();
        log_finished(&context, &result);
        result
    });
    match result {
        Ok(response) => {
            entry.metrics.record_finished("ok");
            responder.send(response);
        }
        Err(error) => {
            entry.metrics.record_finished(error.code.name());
            responder.send(error.to_response());
        }
    }
}

fn log_finished(context: &RequestContext, result: &Result<Response, CallerError>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(error) => error.code.name(),
    };
    tracing::info!(
        request = %context.id, workspace = %context.workspace, service = %context.service, outcome,
        total_ms = context.started.elapsed().as_millis() as u64, "request_finished"
    );
}

/// Validates and admits a call. Also returns the path and query after the service's name.
fn prepare(
    entry: &Entry,
    request: &Request,
    started: Instant,
) -> Result<(RequestContext, String, Repeatability), CallerError> {
    check_may_start(entry)?;
    let active = entry.configuration.current();
    let workspace = active.api_keys.authenticate(request)?;
    let (name, path) = split_path(request);
    let unknown = || {
        let message = format!("there is no plain service {name}; check the path");
        CallerError::new(ErrorCode::UnknownService, Outcome::NotRun, message)
    };
    let services = &active.configuration.services;
    let (name, service) = services.get_key_value(name).ok_or_else(unknown)?;
    if !matches!(service.kind, ServiceKind::Plain { .. }) {
        return Err(unknown());
    }
    let path_only = path.split('?').next().unwrap_or_default();
    let repeatability = service.repeatability(request.method.as_str(), path_only);
    let context =
        RequestContext::new(entry, &active, &workspace, (name.clone(), service), request, started)?;
    context.admit(entry, &active, 0, 0)?;
    Ok((context, path, repeatability))
}

/// Splits the URI into the name of the service and the path and query after it.
fn split_path(request: &Request) -> (&str, String) {
    let path = request.path().strip_prefix("/services/").unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = request.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name, format!("/{rest}{query}"))
}

/// An admitted call.
struct PlainCall<'a> {
    entry: &'a Entry,
    context: &'a RequestContext,
    request: &'a Request,
    path: &'a str,
    repeatability: Repeatability,
}

impl PlainCall<'_> {
    fn run(&self, claims: &Claims, responder: &Responder) -> Result<Response, CallerError> {
        let claim = match self.claim(claims)? {
            Some(ClaimOutcome::Finished(answer)) => return replay_response(answer),
            Some(ClaimOutcome::Won(claim)) => Some(claim),
            None => None,
        };
        let end = self.run_attempts(|| responder.is_closed());
        if let Some(claim) = &claim {
            end_claim(claims, claim, &end);
        }
        match end {
            CallOutcome::Answered(answer) => Ok(to_response(answer)),
            CallOutcome::MayHaveRun(error) | CallOutcome::NotRun(AcquireError::Failed(error)) => {
                Err(error)
            }
            CallOutcome::NotRun(AcquireError::CallerGone) => Err(CallerError::new(
                ErrorCode::DeadlineExceeded,
                Outcome::NotRun,
                "the caller closed the connection before the call was dispatched",
            )),
        }
    }

    /// Claims an at-most-once call by its idempotency key. Returns `None` for a repeatable call or one
    /// without a key; an at-most-once call without a key has a single attempt.
    fn claim(&self, claims: &Claims) -> Result<Option<ClaimOutcome>, CallerError> {
        match (self.repeatability, self.request.headers.get("idempotency-key")) {
            (Repeatability::AtMostOnce, Some(key)) => {
                let key = key.to_str().unwrap_or_default();
                claims.claim(self.context, key, self.request).map(Some)
            }
            _ => Ok(None),
        }
    }

    fn run_attempts(&self, caller_is_gone: impl Fn() -> bool) -> CallOutcome {
        let (base_ms, max_ms) = RETRY_BACKOFF_MS;
        let mut backoff = Backoff::new(self.context.id.counter, base_ms, max_ms);
        let mut spec = ReservationSpec {
            prompt_tokens: 0,
            max_answer_tokens: 0,
            prefix_hash: None,
            needed_ms: 0,
            excluded: Vec::new(),
        };
        let mut outcome = Outcome::NotRun;
        loop {
            let reservation =
                match acquire(self.entry, self.context, &spec, outcome, &caller_is_gone) {
                    Ok(Acquired::Single(reservation)) => reservation,
                    Ok(Acquired::Split { .. }) => continue,
                    Err(error) => return no_target_outcome(outcome, error),
                };
            let target = reservation.reserve.target.clone();
            let error = match self.run_attempt(reservation) {
                Ok(Some(answer)) => return CallOutcome::Answered(answer),
                Ok(None) => continue,
                Err(error) => error,
            };
            tracing::warn!(request = %self.context.id, %target, %error, "attempt_failed");
            if !matches!(error, ServiceError::NotSent { .. }) && outcome == Outcome::NotRun {
                outcome = Outcome::Unknown;
            }
            if let Some(end) = self.after_failure(&error, outcome) {
                return end;
            }
            spec.excluded.push(target);
            let delay_ms = backoff.next_ms().min(self.context.remaining_ms());
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    /// Runs one attempt. Returns `None` if the reservation was lost before anything was sent.
    fn run_attempt(
        &self,
        reservation: ReservationGuard<'_>,
    ) -> Result<Option<ServiceAnswer>, ServiceError> {
        // Check immediately before sending: a process that was suspended may have lost its lease.
        if !reservation.may_start(self.entry) {
            reservation.release(ReleaseOutcome::Unused, None);
            return Ok(None);
        }
        let result = self.entry.services.call(&ServiceCall {
            address: reservation.reserved.address,
            request: reservation.reserve.request,
            method: &self.request.method,
            path_and_query: self.path,
            headers: &self.request.headers,
            body: &self.request.body,
            deadline: self.context.deadline,
        });
        let outcome = match &result {
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                ReleaseOutcome::Overloaded
            }
            Ok(_) | Err(ServiceError::AnswerTooLong { .. }) => ReleaseOutcome::Succeeded,
            Err(_) if self.context.remaining_ms() == 0 => ReleaseOutcome::Cancelled,
            Err(_) => ReleaseOutcome::Failed,
        };
        reservation.release(outcome, None);
        result.map(Some)
    }

    /// Decides whether to retry after a failure. Returns `None` for another attempt, else the result
    /// of the call.
    fn after_failure(&self, error: &ServiceError, outcome_so_far: Outcome) -> Option<CallOutcome> {
        let key = self.context.retry_key();
        let now_ms = self.entry.clock.now_ms();
        let is_not_sent = matches!(error, ServiceError::NotSent { .. });
        let decision = RetryDecision::decide(&FailedAttempt {
            repeatability: self.repeatability,
            may_have_been_sent: !is_not_sent,
            target_reports_not_run: false,
            target_answered: matches!(error, ServiceError::AnswerTooLong { .. }),
            sent_to_caller: 0,
            engine_can_resume: false,
            remaining_ms: self.context.remaining_ms(),
            needed_ms: 0,
            budget_left: self.entry.retry_budget().may_retry(now_ms, &key),
        });
        let RetryDecision::Fail { outcome } = decision else {
            self.entry.metrics.retries.inc();
            self.entry.retry_budget().try_retry(now_ms, &key);
            return None;
        };
        let code = if self.context.remaining_ms() == 0 {
            ErrorCode::DeadlineExceeded
        } else {
            ErrorCode::TargetFailed
        };
        let end = match (outcome, outcome_so_far) {
            (FailedOutcome::Ran, _) => {
                CallOutcome::MayHaveRun(CallerError::new(code, Outcome::Ran, error.to_string()))
            }
            (FailedOutcome::NotRun, Outcome::NotRun) => {
                let error = CallerError::new(code, Outcome::NotRun, error.to_string());
                CallOutcome::NotRun(AcquireError::Failed(error.retry_after_ms(1_000)))
            }
            _ => {
                CallOutcome::MayHaveRun(CallerError::new(code, Outcome::Unknown, error.to_string()))
            }
        };
        Some(end)
    }
}

/// Result of a call that found no further target, given the outcome of its earlier attempts.
fn no_target_outcome(outcome: Outcome, error: AcquireError) -> CallOutcome {
    match (outcome, error) {
        (Outcome::NotRun, error) => CallOutcome::NotRun(error),
        (_, AcquireError::Failed(error)) => CallOutcome::MayHaveRun(error),
        (_, AcquireError::CallerGone) => CallOutcome::MayHaveRun(CallerError::new(
            ErrorCode::OutcomeUnknown,
            Outcome::Unknown,
            "the caller closed the connection after the call was dispatched",
        )),
    }
}

fn end_claim(claims: &Claims, claim: &Claim, end: &CallOutcome) {
    match end {
        CallOutcome::Answered(answer) => {
            let headers = answer.headers.iter().filter_map(|(name, value)| {
                Some((name.to_string(), value.to_str().ok()?.to_owned()))
            });
            let status = answer.status.as_u16();
            claims.finish(claim, stored_answer(status, headers.collect(), &answer.body));
        }
        CallOutcome::NotRun(_) => claims.release(claim),
        CallOutcome::MayHaveRun(_) => claims.abandon(claim),
    }
}

fn to_response(answer: ServiceAnswer) -> Response {
    Response { status: answer.status, headers: answer.headers, body: answer.body }
}

/// Builds a response from the stored response of an earlier call with the same key.
///
/// # Errors
/// The body of the response was too long to be stored.
fn replay_response(answer: StoredAnswer) -> Result<Response, CallerError> {
    let Some(body) = answer.body else {
        return Err(CallerError::new(
            ErrorCode::AnswerNotKept,
            Outcome::Ran,
            "the call has run once and its answer was too long to be stored; ask the service",
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
