//! Claims on calls that must not run twice.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_http::Request;
use mulberry_types::{ClaimKey, ClaimReply, ControlReply, ControlRequest, RequestId, StoredAnswer};
use sha2::{Digest, Sha256};

use crate::control_link::ControlLink;
use crate::job::Job;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Longest answer that is kept with a claim.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// Wait for the storing of an answer before it is sent to the caller. After it the answer is sent,
/// and the storing goes on; until it is done a resend gets `still_running`.
const STORE_WAIT: Duration = Duration::from_millis(1_000);

/// How long the end of a claim is resent to control. After this time the claim stays open until the
/// entry stops, and a resend gets `still_running` and then `outcome_unknown`.
const END_TIMEOUT: Duration = Duration::from_secs(120);

/// Ends of claims that wait to be committed.
const MAX_WAITING_ENDS: usize = 4_096;

/// Threads that commit the ends of claims.
const END_THREADS: usize = 8;

/// When a caller whose call is running may come back.
const RUNNING_RETRY_MS: u64 = 1_000;

/// Makes and ends claims.
#[derive(Debug)]
pub struct Claims {
    control: Arc<ControlLink>,
    ends: Sender<End>,
}

/// A claim that was won: its call may be dispatched once.
#[derive(Debug, Clone)]
pub struct Claim {
    key: ClaimKey,
    request: RequestId,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Claimed {
    Won(Claim),

    /// The call has finished before with this answer.
    Finished(StoredAnswer),
}

struct End {
    request: ControlRequest,
    done: Option<Sender<()>>,
}

impl Claims {
    /// Starts the threads that commit ends.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(control: Arc<ControlLink>) -> std::io::Result<Claims> {
        let (ends, waiting) = bounded::<End>(MAX_WAITING_ENDS);
        for index in 0..END_THREADS {
            let (control, waiting) = (control.clone(), waiting.clone());
            std::thread::Builder::new().name(format!("claim-end-{index}")).spawn(move || {
                for end in waiting {
                    commit_end(&control, end);
                }
            })?;
        }
        Ok(Claims { control, ends })
    }

    /// Claims a call.
    ///
    /// # Errors
    /// The key is in use, or control cannot be reached before the deadline.
    pub fn claim(&self, job: &Job, key: &str, request: &Request) -> Result<Claimed, CallerError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message =
                format!("Idempotency-Key: has {} bytes; use 1 to {MAX_KEY_BYTES}", key.len());
            return Err(CallerError::new(ErrorCode::InvalidRequest, Outcome::NotRun, message));
        }
        let claim = Claim {
            key: ClaimKey {
                workspace: job.workspace.clone(),
                service: job.service.clone(),
                key: key.into(),
            },
            request: job.id,
        };
        let message = ControlRequest::Claim {
            key: claim.key.clone(),
            fingerprint: fingerprint(request),
            request: job.id,
        };
        match self.control.call(&message, job.deadline) {
            Ok(ControlReply::Claim(reply)) => claimed(reply, claim),
            Ok(_) | Err(_) => {
                // The claim may still be committed; the release leaves a tombstone for that case.
                self.release(&claim);
                let message = "the claim of this key was not confirmed in time; retry later";
                Err(CallerError::new(ErrorCode::ControlUnavailable, Outcome::NotRun, message)
                    .retry_after_ms(1_000))
            }
        }
    }

    /// Stores the answer of a claimed call, and waits a little for it.
    pub fn finish(&self, claim: &Claim, answer: StoredAnswer) {
        let Claim { key, request } = claim.clone();
        let (done, is_done) = bounded(1);
        self.end(ControlRequest::FinishClaim { key, request, answer }, Some(done));
        // Without the confirmation the answer is sent all the same; see STORE_WAIT.
        let _ = is_done.recv_timeout(STORE_WAIT);
    }

    /// Gives a claim back. Only for a call of which no byte has left and none will.
    pub fn release(&self, claim: &Claim) {
        let Claim { key, request } = claim.clone();
        self.end(ControlRequest::ReleaseClaim { key, request }, None);
    }

    /// The call was dispatched and its result is not known.
    pub fn abandon(&self, claim: &Claim) {
        let Claim { key, request } = claim.clone();
        self.end(ControlRequest::AbandonClaim { key, request }, None);
    }

    fn end(&self, request: ControlRequest, done: Option<Sender<()>>) {
        if self.ends.try_send(End { request, done }).is_err() {
            tracing::error!("claim_end_dropped");
        }
    }
}

/// The part of an answer that is kept with a claim.
pub fn stored_answer(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> StoredAnswer {
    let body = (body.len() <= MAX_STORED_BYTES).then(|| body.to_vec());
    StoredAnswer { status, headers, body }
}

fn commit_end(control: &ControlLink, end: End) {
    match control.call(&end.request, Instant::now() + END_TIMEOUT) {
        Ok(_) => {
            if let Some(done) = end.done {
                // Nobody waits any more if this comes late.
                let _ = done.try_send(());
            }
        }
        Err(_) => tracing::error!("claim_end_not_committed"),
    }
}

fn claimed(reply: ClaimReply, claim: Claim) -> Result<Claimed, CallerError> {
    let conflict = |code, outcome, message: &str| Err(CallerError::new(code, outcome, message));
    match reply {
        ClaimReply::Won => Ok(Claimed::Won(claim)),
        ClaimReply::Finished(answer) => Ok(Claimed::Finished(answer)),
        ClaimReply::Running => conflict(
            ErrorCode::StillRunning,
            Outcome::Unknown,
            "a call with this Idempotency-Key is running; retry later to get its answer",
        )
        .map_err(|error| error.retry_after_ms(RUNNING_RETRY_MS)),
        ClaimReply::Unknown => conflict(
            ErrorCode::OutcomeUnknown,
            Outcome::Unknown,
            "the call with this Idempotency-Key was dispatched and its outcome is unknown; it is \
             not repeated, check at the service",
        ),
        ClaimReply::Conflict => conflict(
            ErrorCode::IdempotencyConflict,
            Outcome::NotRun,
            "this Idempotency-Key was used for another call; use a new one",
        ),
        ClaimReply::Released => conflict(
            ErrorCode::ControlUnavailable,
            Outcome::NotRun,
            "the claim was given back before it was confirmed; send the request again",
        ),
    }
}

fn fingerprint(request: &Request) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(request.method.as_str());
    hash.update([0]);
    hash.update(request.uri.to_string());
    hash.update([0]);
    hash.update(&request.body);
    hash.finalize().into()
}
