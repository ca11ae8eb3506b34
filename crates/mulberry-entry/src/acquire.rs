//! Reserves capacity for a request: waits in the queue, ranks the targets and asks their homes.

use std::sync::Arc;
use std::time::Duration;

use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_policy::{
    Backoff, Candidate, NoCandidateReason, PlacementClass, PlacementPolicy, PlacementRequest,
    QueuedRequest, Ranking, SplitError, SplitPlan, engine_priority,
};
use mulberry_types::{LengthClass, RefuseReason, ReleaseOutcome, Reserve};

use crate::dispatcher::WaitOutcome;
use crate::entry::Entry;
use crate::request_context::{RequestContext, stale_configuration_error};
use crate::reservations::ReservationGuard;

/// Cost of a call to a plain service in the fair queue, in tokens.
const PLAIN_CALL_COST_TOKENS: u64 = 1_000;

/// Bounds of the delay before a request whose reservations were refused tries again.
const MIN_RETRY_DELAY_MS: u64 = 5;
const MAX_RETRY_DELAY_MS: u64 = 250;

/// Base and maximum of the random backoff between attempts to reserve all engines of a split prompt.
const SPLIT_BACKOFF_MS: (u64, u64) = (20, 500);

/// Tolerance of the expected time to first token before the next candidate is preferred: about the
/// error of the estimate, and more than the round trip to another home.
const FIRST_TOKEN_SLACK_MS: u64 = 20;

/// Prompts are split at character boundaries, so a segment can be one token longer than planned.
const SEGMENT_SLACK_TOKENS: u64 = 1;

/// Capacity to reserve for a request.
#[derive(Debug, Clone)]
pub struct ReservationSpec {
    pub prompt_tokens: u64,
    pub max_answer_tokens: u64,
    pub prefix_hash: Option<u64>,

    /// Minimum time to finish the request.
    pub needed_ms: u64,

    /// Targets that failed in earlier attempts. They are used only if no other target is ready.
    pub excluded: Vec<Arc<str>>,
}

/// Reservations for one attempt.
#[derive(Debug)]
pub enum Acquired<'e> {
    Single(ReservationGuard<'e>),

    /// One reservation per segment of a prompt, in the order of the plan.
    Split {
        plan: SplitPlan,
        reservations: Vec<ReservationGuard<'e>>,
    },
}

/// Why no reservation was made.
#[derive(Debug)]
pub enum AcquireError {
    CallerGone,
    Failed(CallerError),
}

/// Result of one placement attempt.
enum PlacementResult<'e> {
    Acquired(Acquired<'e>),
    RetryAfter { delay_ms: u64 },
    Failed(CallerError),
}

/// Waits until the capacity for a request is reserved.
///
/// `outcome` is the outcome of earlier attempts, reported in the error if this one fails.
///
/// # Errors
/// The caller disconnected, the queue is full, the lease is not valid, the deadline cannot be met, or
/// no target can ever take the request.
pub fn acquire<'e>(
    entry: &'e Entry,
    context: &RequestContext,
    spec: &ReservationSpec,
    outcome: Outcome,
    caller_is_gone: impl Fn() -> bool,
) -> Result<Acquired<'e>, AcquireError> {
    let queued_ms = entry.clock.at_ms(context.started);
    let (base_ms, max_ms) = SPLIT_BACKOFF_MS;
    let mut backoff = Backoff::new(context.id.counter ^ context.id.incarnation.0, base_ms, max_ms);
    loop {
        if !entry.lease.is_valid() {
            return Err(AcquireError::Failed(stale_configuration_error(outcome)));
        }
        let queued = queued_request(entry, context, spec, queued_ms);
        let permit = match entry.dispatcher.wait(entry, queued, &caller_is_gone) {
            WaitOutcome::Permitted(permit) => permit,
            WaitOutcome::CallerGone => return Err(AcquireError::CallerGone),
            WaitOutcome::DeadlineUnreachable => {
                return Err(AcquireError::Failed(deadline_unreachable_error(outcome)));
            }
            WaitOutcome::QueueFull(full) => {
                let error = queue_full_error(outcome, full.retry_after_ms);
                return Err(AcquireError::Failed(error));
            }
        };
        let result = try_place(entry, context, spec, outcome, &mut backoff);
        drop(permit);
        match result {
            PlacementResult::Acquired(acquired) => return Ok(acquired),
            PlacementResult::Failed(error) => return Err(AcquireError::Failed(error)),
            PlacementResult::RetryAfter { delay_ms } => {
                let delay_ms = delay_ms
                    .clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
                    .min(context.remaining_ms());
                std::thread::sleep(Duration::from_millis(delay_ms));
            }
        }
        if caller_is_gone() {
            return Err(AcquireError::CallerGone);
        }
        if context.remaining_ms() <= spec.needed_ms {
            return Err(AcquireError::Failed(deadline_unreachable_error(outcome)));
        }
    }
}

fn queued_request(
    entry: &Entry,
    context: &RequestContext,
    spec: &ReservationSpec,
    queued_ms: u64,
) -> QueuedRequest {
    let is_plain = spec.prompt_tokens == 0;
    QueuedRequest {
        request: entry.next_request_id(),
        workspace: context.workspace.clone(),
        weight: context.weight,
        priority: context.priority,
        class: PlacementClass {
            service: context.service.clone(),
            length: LengthClass::of(spec.prompt_tokens),
        },
        cost_tokens: if is_plain { PLAIN_CALL_COST_TOKENS } else { spec.prompt_tokens },
        queued_ms,
        deadline_ms: entry.clock.at_ms(context.deadline),
        needed_ms: spec.needed_ms,
    }
}

fn try_place<'e>(
    entry: &'e Entry,
    context: &RequestContext,
    spec: &ReservationSpec,
    outcome: Outcome,
    backoff: &mut Backoff,
) -> PlacementResult<'e> {
    let configuration = entry.configuration.current().configuration.clone();
    let request = PlacementRequest {
        request: entry.next_request_id(),
        service: context.service.clone(),
        prompt_tokens: spec.prompt_tokens,
        max_answer_tokens: spec.max_answer_tokens,
        priority: engine_priority(context.priority, spec.prompt_tokens),
        prefix_hash: spec.prefix_hash,
        remaining_ms: context.remaining_ms(),
        excluded: spec.excluded.clone(),
    };
    let view = entry.fleet.view();
    let now_ms = entry.clock.now_ms();
    let policy = entry.placement_policy();
    let mut ranking = entry.target_selector.rank(now_ms, &request, &view, &configuration, policy);
    if has_no_ready_target(&ranking) && !request.excluded.is_empty() {
        // Every ready target has failed in an earlier attempt; retry them instead of giving up.
        let request = PlacementRequest { excluded: Vec::new(), ..request.clone() };
        ranking = entry.target_selector.rank(now_ms, &request, &view, &configuration, policy);
    }
    match ranking {
        Ranking::Candidates(candidates) => {
            reserve_first_available(entry, context, spec, &candidates)
        }
        Ranking::NoCandidates { reason: NoCandidateReason::ExceedsEngineMemory, .. } => {
            match entry.target_selector.plan_split(now_ms, &request, &view, &configuration) {
                Ok(plan) => reserve_all_segments(entry, context, plan, backoff),
                Err(SplitError::Full { retry_after_ms }) => PlacementResult::RetryAfter {
                    delay_ms: retry_after_ms.min(backoff.next_ms() + MIN_RETRY_DELAY_MS),
                },
                Err(SplitError::NeverFits) => PlacementResult::Failed(CallerError::new(
                    ErrorCode::PromptTooLong,
                    outcome,
                    "the prompt does not fit into the engines of this model even if it is split; shorten it",
                )),
            }
        }
        Ranking::NoCandidates { retry_after_ms, .. } => {
            PlacementResult::RetryAfter { delay_ms: retry_after_ms }
        }
    }
}

fn has_no_ready_target(ranking: &Ranking) -> bool {
    matches!(ranking, Ranking::NoCandidates { reason: NoCandidateReason::NoneReady, .. })
}

fn reserve_first_available<'e>(
    entry: &'e Entry,
    context: &RequestContext,
    spec: &ReservationSpec,
    candidates: &[Candidate],
) -> PlacementResult<'e> {
    let mut delay_ms = MAX_RETRY_DELAY_MS;
    for (index, candidate) in candidates.iter().enumerate() {
        let reserve = Reserve {
            request: entry.next_request_id(),
            target: candidate.target.clone(),
            epoch: entry.lease.membership().epoch,
            prompt_tokens: spec.prompt_tokens,
            total_tokens: total_tokens(spec),
            priority: engine_priority(context.priority, spec.prompt_tokens),
            remaining_ms: context.remaining_ms(),
            max_first_token_ms: max_first_token_ms(entry, candidate, candidates.get(index + 1)),
        };
        match entry.reservations.reserve(entry, candidate, reserve) {
            Ok(reservation) => return PlacementResult::Acquired(Acquired::Single(reservation)),
            Err(refused) => delay_ms = delay_ms.min(refused.retry_after_ms),
        }
    }
    PlacementResult::RetryAfter { delay_ms }
}

/// Time to first token above which the home should refuse, because the next candidate is then
/// expected to be faster. `None` means no limit.
fn max_first_token_ms(entry: &Entry, this: &Candidate, next: Option<&Candidate>) -> Option<u64> {
    let next = next?;
    match entry.placement_policy() {
        PlacementPolicy::ExpectedTime => {
            let longest_ms = this.expected_first_token_ms.max(next.expected_first_token_ms);
            Some(longest_ms + FIRST_TOKEN_SLACK_MS)
        }
        // The baseline policies do not compare expected times.
        PlacementPolicy::RoundRobin | PlacementPolicy::LeastReportedLoad => None,
    }
}

/// Reserves all engines of a plan or none. A request never waits while it holds a partial set of
/// reservations, so two split prompts that need the same engines cannot deadlock.
fn reserve_all_segments<'e>(
    entry: &'e Entry,
    context: &RequestContext,
    plan: SplitPlan,
    backoff: &mut Backoff,
) -> PlacementResult<'e> {
    let mut reservations: Vec<ReservationGuard<'e>> = Vec::with_capacity(plan.segments.len());
    for segment in &plan.segments {
        let candidate = Candidate {
            target: segment.target.clone(),
            home: segment.home,
            boot_id: segment.boot_id,
            address: segment.address,
            expected_first_token_ms: 0,
        };
        let reserve = Reserve {
            request: entry.next_request_id(),
            target: segment.target.clone(),
            epoch: entry.lease.membership().epoch,
            prompt_tokens: segment.prompt_tokens,
            total_tokens: segment.total_tokens + SEGMENT_SLACK_TOKENS,
            priority: engine_priority(context.priority, segment.prompt_tokens),
            remaining_ms: context.remaining_ms(),
            max_first_token_ms: None,
        };
        match entry.reservations.reserve(entry, &candidate, reserve) {
            Ok(reservation) => reservations.push(reservation),
            Err(refused) => {
                for reservation in reservations {
                    reservation.release(ReleaseOutcome::Unused, None);
                }
                let delay_ms = match refused.reason {
                    RefuseReason::NotHome | RefuseReason::LeaseLost => refused.retry_after_ms,
                    _ => backoff.next_ms(),
                };
                return PlacementResult::RetryAfter { delay_ms };
            }
        }
    }
    PlacementResult::Acquired(Acquired::Split { plan, reservations })
}

fn total_tokens(spec: &ReservationSpec) -> u64 {
    if spec.prompt_tokens == 0 { 0 } else { spec.prompt_tokens + spec.max_answer_tokens }
}

fn deadline_unreachable_error(outcome: Outcome) -> CallerError {
    let message = "no target had room in time for the request to meet its deadline; retry later";
    CallerError::new(ErrorCode::NoCapacity, outcome, message).retry_after_ms(1_000)
}

fn queue_full_error(outcome: Outcome, retry_after_ms: u64) -> CallerError {
    let message = "too many requests wait for a target at this instance; retry later";
    CallerError::new(ErrorCode::NoCapacity, outcome, message).retry_after_ms(retry_after_ms)
}
