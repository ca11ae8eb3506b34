//! Context of a validated request, and the checks that refuse a request before a target is selected.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_callers::{CallerError, ErrorCode, Outcome, header_deadline_ms};
use mulberry_http::Request;
use mulberry_policy::{AdmissionDecision, AdmissionRequest, RetryKey};
use mulberry_types::{Priority, RequestId, Service};

use crate::active_configuration::ActiveConfiguration;
use crate::entry::Entry;
use crate::workspace_limits::WorkspaceSlot;

/// `Retry-After` of an entry without a valid lease; the lease is renewed every 500 ms.
const STALE_CONFIGURATION_RETRY_MS: u64 = 1_000;

/// `Retry-After` of an entry that is stopping; the load balancer sends the retry to another entry.
const STOPPING_RETRY_MS: u64 = 1_000;

/// `Retry-After` for a workspace at its limit of requests in flight.
const WORKSPACE_LIMIT_RETRY_MS: u64 = 1_000;

/// Context of a validated request, shared by all its attempts.
#[derive(Debug)]
pub struct RequestContext {
    pub id: RequestId,
    pub started: Instant,
    pub deadline: Instant,
    pub workspace: Arc<str>,

    /// Weight of the workspace in the fair queue.
    pub weight: u32,

    pub priority: Priority,

    /// Name of the model or plain service.
    pub service: Arc<str>,

    /// Counts against the workspace's limit until the request ends.
    _slot: WorkspaceSlot,
}

impl RequestContext {
    /// Performs the checks common to all requests after authentication.
    ///
    /// # Errors
    /// The deadline is invalid or too long, the workspace no longer exists, or it has too many requests
    /// in flight.
    pub fn new(
        entry: &Entry,
        active: &ActiveConfiguration,
        workspace: &Arc<str>,
        (name, service): (Arc<str>, &Service),
        request: &Request,
        started: Instant,
    ) -> Result<RequestContext, CallerError> {
        let deadline_ms = header_deadline_ms(request)?.unwrap_or(service.default_deadline_ms);
        if deadline_ms > service.max_deadline_ms {
            return Err(CallerError::new(
                ErrorCode::InvalidDeadline,
                Outcome::NotRun,
                format!("X-Deadline-Ms: is {deadline_ms}; use at most {}", service.max_deadline_ms),
            ));
        }
        let settings = active.configuration.workspaces.get(workspace).ok_or_else(|| {
            CallerError::new(
                ErrorCode::InvalidApiKey,
                Outcome::NotRun,
                "the workspace no longer exists",
            )
        })?;
        let slot = entry
            .workspace_limits
            .try_acquire(workspace, settings.max_in_flight)
            .ok_or_else(|| workspace_limit_error(settings.max_in_flight))?;
        let id = entry.next_request_id();
        let key = RetryKey { workspace: workspace.clone(), service: name.clone() };
        entry.retry_budget().request_started(entry.clock.now_ms(), &key);
        Ok(RequestContext {
            id,
            started,
            deadline: started + Duration::from_millis(deadline_ms),
            workspace: workspace.clone(),
            weight: settings.weight,
            priority: settings.priority,
            service: name,
            _slot: slot,
        })
    }

    /// Key of the retry budget of this request.
    pub fn retry_key(&self) -> RetryKey {
        RetryKey { workspace: self.workspace.clone(), service: self.service.clone() }
    }

    /// Time until the deadline; 0 once it has passed.
    pub fn remaining_ms(&self) -> u64 {
        crate::clock::remaining_ms(self.deadline)
    }

    /// Admits the request if it can finish before its deadline. Returns the minimum time in
    /// milliseconds that it needs.
    ///
    /// # Errors
    /// It cannot finish before its deadline.
    pub fn admit(
        &self,
        entry: &Entry,
        active: &ActiveConfiguration,
        prompt_tokens: u64,
        max_answer_tokens: u64,
    ) -> Result<u64, CallerError> {
        let now_ms = entry.clock.now_ms();
        let configuration = &active.configuration;
        let backlog =
            entry.fleet.view().backlog(now_ms, &self.service, self.priority, configuration);
        let request = AdmissionRequest {
            prompt_tokens,
            max_answer_tokens,
            remaining_ms: self.remaining_ms(),
            waiting_tokens: entry.dispatcher.waiting_tokens(now_ms, self.priority),
        };
        let (decision, needed_ms) = entry.admissions.decide(&self.service, &request, &backlog);
        match decision {
            AdmissionDecision::Admit => Ok(needed_ms),
            AdmissionDecision::Refuse { retry_after_ms: None } => Err(CallerError::new(
                ErrorCode::DeadlineTooShort,
                Outcome::NotRun,
                format!("the request needs about {needed_ms} ms; set a longer X-Deadline-Ms"),
            )),
            AdmissionDecision::Refuse { retry_after_ms: Some(retry_after_ms) } => {
                let code = if backlog.ready_targets == 0 {
                    ErrorCode::NoTarget
                } else {
                    ErrorCode::NoCapacity
                };
                let message = "the request cannot finish before its deadline now; retry later";
                Err(CallerError::new(code, Outcome::NotRun, message).retry_after_ms(retry_after_ms))
            }
        }
    }
}

/// Checks whether this entry may start new work at all.
///
/// # Errors
/// The entry is stopping, or has no valid lease, so its configuration may be outdated.
pub fn check_may_start(entry: &Entry) -> Result<(), CallerError> {
    if entry.health.is_stopping() && entry.dispatcher.is_closed() {
        let message = "this instance is stopping; send the request again";
        return Err(CallerError::new(ErrorCode::Stopping, Outcome::NotRun, message)
            .retry_after_ms(STOPPING_RETRY_MS));
    }
    if !entry.lease.is_valid() {
        return Err(stale_configuration_error(Outcome::NotRun));
    }
    Ok(())
}

/// Error for a request to an entry without a valid lease.
pub fn stale_configuration_error(outcome: Outcome) -> CallerError {
    let message = "this instance cannot confirm that its configuration is current; retry later";
    CallerError::new(ErrorCode::StaleConfiguration, outcome, message)
        .retry_after_ms(STALE_CONFIGURATION_RETRY_MS)
}

fn workspace_limit_error(limit: u32) -> CallerError {
    let message = format!("the workspace has {limit} requests in flight here; wait for one to end");
    CallerError::new(ErrorCode::WorkspaceLimit, Outcome::NotRun, message)
        .retry_after_ms(WORKSPACE_LIMIT_RETRY_MS)
}
