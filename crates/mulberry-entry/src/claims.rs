//! Claims: at-most-once execution of calls with an idempotency key.
//!
//! An entry claims a key at the control group before it dispatches the call. Afterwards it ends the claim: it stores the
//! response, releases the key of a call that was not sent, or marks the outcome as unknown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_http::Request;
use mulberry_types::{ClaimKey, ClaimReply, ControlReply, ControlRequest, RequestId, StoredAnswer};
use sha2::{Digest, Sha256};

use crate::control_client::ControlClient;
use crate::request_context::RequestContext;

const MAX_KEY_BYTES: usize = 256;

/// Longest response body that is stored with a claim.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Longest wait for a response to be stored before it is sent to the caller. After it the response is
/// sent while storing continues; until it is stored, a resend gets `still_running`.
const STORE_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the end of a claim is retried at the control group. After it the claim stays open until
/// the entry stops, and a resend gets `still_running` and then `outcome_unknown`.
const CLAIM_END_TIMEOUT: Duration = Duration::from_secs(120);

/// Capacity of the queue of claim ends to be committed.
const MAX_QUEUED_CLAIM_ENDS: usize = 4_096;

/// Threads that commit claim ends.
const CLAIM_END_THREADS: usize = 8;

/// `Retry-After` for a call that is still running.
const RUNNING_RETRY_MS: u64 = 1_000;

/// Acquires and ends claims at the control group.
#[derive(Debug)]
pub struct Claims {
    control: Arc<ControlClient>,
    ends: Sender<ClaimEnd>,
}

/// An acquired claim, which permits its call to be dispatched.
#[derive(Debug, Clone)]
pub struct Claim {
    key: ClaimKey,
    request: RequestId,
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    Won(Claim),

    /// An earlier call with this key has finished with this response.
    Finished(StoredAnswer),
}

/// The end of a claim, to be committed by the control group.
struct ClaimEnd {
    request: ControlRequest,
    done: Option<Sender<()>>,
}

impl Claims {
    /// Starts the threads that commit claim ends.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(control: Arc<ControlClient>) -> std::io::Result<Claims> {
        let (ends, waiting) = bounded::<ClaimEnd>(MAX_QUEUED_CLAIM_ENDS);
        for index in 0..CLAIM_END_THREADS {
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
    /// The key is invalid or in use, or the control group cannot be reached before the deadline.
    pub fn claim(
        &self,
        context: &RequestContext,
        key: &str,
        request: &Request,
    ) -> Result<ClaimOutcome, CallerError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message =
                format!("Idempotency-Key: has {} bytes; use 1 to {MAX_KEY_BYTES}", key.len());
            return Err(CallerError::new(ErrorCode::InvalidRequest, Outcome::NotRun, message));
        }
        let claim = Claim {
            key: ClaimKey {
                workspace: context.workspace.clone(),
                service: context.service.clone(),
                key: key.into(),
            },
            request: context.id,
        };
        let message = ControlRequest::Claim {
            key: claim.key.clone(),
            fingerprint: fingerprint(request),
            request: context.id,
        };
        match self.control.call(&message, context.deadline) {
            Ok(ControlReply::Claim(reply)) => claim_outcome(reply, claim),
            Ok(_) | Err(_) => {
                // The claim may still be committed later. The release leaves a tombstone, which
                // cancels it.
                self.release(&claim);
                let message = "the claim of this key was not confirmed in time; retry later";
                Err(CallerError::new(ErrorCode::ControlUnavailable, Outcome::NotRun, message)
                    .retry_after_ms(1_000))
            }
        }
    }

    /// Stores the response of a claimed call. Waits up to [`STORE_CONFIRM_TIMEOUT`] for confirmation.
    pub fn finish(&self, claim: &Claim, answer: StoredAnswer) {
        let Claim { key, request } = claim.clone();
        let (done, confirmed) = bounded(1);
        self.end(ControlRequest::FinishClaim { key, request, answer }, Some(done));
        // On a timeout the response is sent without confirmation.
        let _ = confirmed.recv_timeout(STORE_CONFIRM_TIMEOUT);
    }

    /// Releases a claim. Only for a call of which nothing was sent and nothing will be.
    pub fn release(&self, claim: &Claim) {
        let Claim { key, request } = claim.clone();
        self.end(ControlRequest::ReleaseClaim { key, request }, None);
    }

    /// Marks the outcome of a dispatched call as unknown.
    pub fn abandon(&self, claim: &Claim) {
        let Claim { key, request } = claim.clone();
        self.end(ControlRequest::AbandonClaim { key, request }, None);
    }

    fn end(&self, request: ControlRequest, done: Option<Sender<()>>) {
        if self.ends.try_send(ClaimEnd { request, done }).is_err() {
            tracing::error!("claim_end_dropped");
        }
    }
}

/// Builds the response to store with a claim, without a body longer than [`MAX_STORED_BODY_BYTES`].
pub fn stored_answer(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> StoredAnswer {
    let body = (body.len() <= MAX_STORED_BODY_BYTES).then(|| body.to_vec());
    StoredAnswer { status, headers, body }
}

fn commit_end(control: &ControlClient, end: ClaimEnd) {
    match control.call(&end.request, Instant::now() + CLAIM_END_TIMEOUT) {
        Ok(_) => {
            if let Some(done) = end.done {
                // Fails if `finish` has stopped waiting.
                let _ = done.try_send(());
            }
        }
        Err(_) => tracing::error!("claim_end_not_committed"),
    }
}

fn claim_outcome(reply: ClaimReply, claim: Claim) -> Result<ClaimOutcome, CallerError> {
    let refuse = |code, outcome, message: &str| Err(CallerError::new(code, outcome, message));
    match reply {
        ClaimReply::Won => Ok(ClaimOutcome::Won(claim)),
        ClaimReply::Finished(answer) => Ok(ClaimOutcome::Finished(answer)),
        ClaimReply::Running => refuse(
            ErrorCode::StillRunning,
            Outcome::Unknown,
            "a call with this Idempotency-Key is running; retry later to get its answer",
        )
        .map_err(|error| error.retry_after_ms(RUNNING_RETRY_MS)),
        ClaimReply::Unknown => refuse(
            ErrorCode::OutcomeUnknown,
            Outcome::Unknown,
            "the call with this Idempotency-Key was dispatched and its outcome is unknown; it is \
             not repeated, check at the service",
        ),
        ClaimReply::Conflict => refuse(
            ErrorCode::IdempotencyConflict,
            Outcome::NotRun,
            "this Idempotency-Key was used for another call; use a new one",
        ),
        ClaimReply::Released => refuse(
            ErrorCode::ControlUnavailable,
            Outcome::NotRun,
            "the claim was released before it was confirmed; send the request again",
        ),
    }
}

/// Hash of method, URI and body, by which the reuse of a key for another call is detected.
fn fingerprint(request: &Request) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(request.method.as_str());
    hash.update([0]);
    hash.update(request.uri.to_string());
    hash.update([0]);
    hash.update(&request.body);
    hash.finalize().into()
}
