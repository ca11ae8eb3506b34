//! A request after its checks, and the refusals that come before any target is asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_callers::{CallerError, ErrorCode, Outcome, header_deadline_ms};
use mulberry_http::Request;
use mulberry_policy::{AdmissionDecision, AdmissionRequest, RetryKey};
use mulberry_types::{Priority, RequestId, Service};

use crate::entry::Entry;
use crate::in_force::InForce;
use crate::workspace_limits::WorkspaceSlot;

/// When a caller may come back after a lease was lost: a lease is renewed every 500 ms.
const STALE_RETRY_MS: u64 = 1_000;

/// When a caller may come back to a balancer that no longer sends to this entry.
const STOPPING_RETRY_MS: u64 = 1_000;

/// When a workspace at its limit may come back.
const LIMIT_RETRY_MS: u64 = 1_000;

/// A request after its checks.
#[derive(Debug)]
pub struct Job {
    pub id: RequestId,
    pub started: Instant,
    pub deadline: Instant,
    pub workspace: Arc<str>,

    /// Weight of the workspace.
    pub weight: u32,

    pub priority: Priority,

    /// Model or plain service.
    pub service: Arc<str>,

    /// Counts against the workspace's limit until the job ends.
    _slot: WorkspaceSlot,
}

impl Job {
    /// Checks what all requests have in common, after authentication.
    ///
    /// # Errors
    /// The workspace has too many requests in flight, or the deadline is impossible.
    pub fn new(
        entry: &Entry,
        in_force: &InForce,
        workspace: &Arc<str>,
        (name, service): (Arc<str>, &Service),
        request: &Request,
        started: Instant,
    ) -> Result<Job, CallerError> {
        let deadline_ms = header_deadline_ms(request)?.unwrap_or(service.default_deadline_ms);
        if deadline_ms > service.max_deadline_ms {
            return Err(CallerError::new(
                ErrorCode::InvalidDeadline,
                Outcome::NotRun,
                format!("X-Deadline-Ms: is {deadline_ms}; use at most {}", service.max_deadline_ms),
            ));
        }
        let settings = in_force.configuration.workspaces.get(workspace).ok_or_else(|| {
            CallerError::new(ErrorCode::InvalidApiKey, Outcome::NotRun, "the workspace is gone")
        })?;
        let slot = entry
            .workspace_limits
            .enter(workspace, settings.max_in_flight)
            .ok_or_else(|| workspace_limit(settings.max_in_flight))?;
        let id = entry.next_request_id();
        let key = RetryKey { workspace: workspace.clone(), service: name.clone() };
        entry.retries().request_started(entry.clock.now_ms(), &key);
        Ok(Job {
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

    /// Key of the retry budget.
    pub fn retry_key(&self) -> RetryKey {
        RetryKey { workspace: self.workspace.clone(), service: self.service.clone() }
    }

    /// Time until the deadline.
    pub fn remaining_ms(&self) -> u64 {
        crate::clock::remaining_ms(self.deadline)
    }

    /// Admits the request if it can finish in time. Returns the least time that it needs.
    ///
    /// # Errors
    /// It cannot finish in time.
    pub fn admit(
        &self,
        entry: &Entry,
        in_force: &InForce,
        prompt_tokens: u64,
        max_answer_tokens: u64,
    ) -> Result<u64, CallerError> {
        let now_ms = entry.clock.now_ms();
        let configuration = &in_force.configuration;
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
/// The entry is stopping, or has not confirmed its configuration lately.
pub fn check_may_start(entry: &Entry) -> Result<(), CallerError> {
    if entry.health.is_stopping() && entry.dispatcher.is_closed() {
        let message = "this instance is stopping; send the request again";
        return Err(CallerError::new(ErrorCode::Stopping, Outcome::NotRun, message)
            .retry_after_ms(STOPPING_RETRY_MS));
    }
    if !entry.lease.is_valid() {
        return Err(stale_configuration(Outcome::NotRun));
    }
    Ok(())
}

/// The entry has no valid lease.
pub fn stale_configuration(outcome: Outcome) -> CallerError {
    let message = "this instance cannot confirm that its configuration is current; retry later";
    CallerError::new(ErrorCode::StaleConfiguration, outcome, message).retry_after_ms(STALE_RETRY_MS)
}

fn workspace_limit(limit: u32) -> CallerError {
    let message = format!("the workspace has {limit} requests in flight here; wait for one to end");
    CallerError::new(ErrorCode::WorkspaceLimit, Outcome::NotRun, message)
        .retry_after_ms(LIMIT_RETRY_MS)
}
