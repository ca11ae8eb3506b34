//! Getting room for a request: waits for its turn, ranks the targets and asks their homes.

use std::sync::Arc;
use std::time::Duration;

use mulberry_callers::{CallerError, ErrorCode, Outcome};
use mulberry_policy::{
    Backoff, Candidate, NoCandidateReason, PlacementClass, PlacementPolicy, PlacementRequest,
    QueuedRequest, Ranking, SplitError, SplitPlan, engine_priority,
};
use mulberry_types::{LengthClass, RefuseReason, ReleaseOutcome, Reserve};

use crate::dispatcher::Waited;
use crate::entry::Entry;
use crate::job::{Job, stale_configuration};
use crate::rooms::HeldRoom;

/// Cost of a call of a plain service in the fair queue, in tokens.
const PLAIN_CALL_COST_TOKENS: u64 = 1_000;

/// Bounds of the pause before a request that was refused asks again.
const MIN_PAUSE_MS: u64 = 5;
const MAX_PAUSE_MS: u64 = 250;

/// First and longest range of the random pause between two attempts to reserve several engines.
const SPLIT_BACKOFF_MS: (u64, u64) = (20, 500);

/// A target may be this much slower than expected before the next one is asked: about the error of
/// the estimate, and more than the round trip to another home.
const WAIT_SLACK_MS: u64 = 20;

/// Segments are cut between characters, which can make one of them a token longer than planned.
const CUT_SLACK_TOKENS: u64 = 1;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Ask {
    pub prompt_tokens: u64,
    pub max_answer_tokens: u64,
    pub prefix_hash: Option<u64>,

    /// Least time that the work needs.
    pub needed_ms: u64,

    /// Targets that have failed or refused this request.
    pub excluded: Vec<Arc<str>>,
}

/// Room for one attempt.
#[derive(Debug)]
pub enum Acquired<'e> {
    /// On one target.
    One(HeldRoom<'e>),

    /// On several engines, in the order of the plan.
    Split { plan: SplitPlan, rooms: Vec<HeldRoom<'e>> },
}

/// Why there is no room.
#[derive(Debug)]
pub enum NotAcquired {
    CallerGone,
    Failed(CallerError),
}

/// Result of one turn.
enum TurnResult<'e> {
    Acquired(Acquired<'e>),
    Again { pause_ms: u64 },
    Failed(CallerError),
}

/// Waits until there is room for a request.
///
/// `outcome` is what is true of the request so far, for the error if there is none in time.
///
/// # Errors
/// The caller went away, the deadline cannot be met, or no target can ever take the request.
pub fn acquire<'e>(
    entry: &'e Entry,
    job: &Job,
    ask: &Ask,
    outcome: Outcome,
    caller_is_gone: impl Fn() -> bool,
) -> Result<Acquired<'e>, NotAcquired> {
    let queued_ms = entry.clock.at_ms(job.started);
    let (base_ms, max_ms) = SPLIT_BACKOFF_MS;
    let mut backoff = Backoff::new(job.id.counter ^ job.id.incarnation.0, base_ms, max_ms);
    loop {
        if !entry.lease.is_valid() {
            return Err(NotAcquired::Failed(stale_configuration(outcome)));
        }
        let queued = queued(entry, job, ask, queued_ms);
        let turn = match entry.dispatcher.wait(entry, queued, &caller_is_gone) {
            Waited::Turn(turn) => turn,
            Waited::CallerGone => return Err(NotAcquired::CallerGone),
            Waited::Late => return Err(NotAcquired::Failed(late(outcome))),
            Waited::Full(full) => {
                let error = no_capacity(outcome, full.retry_after_ms);
                return Err(NotAcquired::Failed(error));
            }
        };
        let result = take_turn(entry, job, ask, outcome, &mut backoff);
        drop(turn);
        match result {
            TurnResult::Acquired(acquired) => return Ok(acquired),
            TurnResult::Failed(error) => return Err(NotAcquired::Failed(error)),
            TurnResult::Again { pause_ms } => {
                let pause_ms = pause_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS).min(job.remaining_ms());
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
        }
        if caller_is_gone() {
            return Err(NotAcquired::CallerGone);
        }
        if job.remaining_ms() <= ask.needed_ms {
            return Err(NotAcquired::Failed(late(outcome)));
        }
    }
}

fn queued(entry: &Entry, job: &Job, ask: &Ask, queued_ms: u64) -> QueuedRequest {
    let is_plain = ask.prompt_tokens == 0;
    QueuedRequest {
        request: entry.next_request_id(),
        workspace: job.workspace.clone(),
        weight: job.weight,
        priority: job.priority,
        class: PlacementClass {
            service: job.service.clone(),
            length: LengthClass::of(ask.prompt_tokens),
        },
        cost_tokens: if is_plain { PLAIN_CALL_COST_TOKENS } else { ask.prompt_tokens },
        queued_ms,
        deadline_ms: entry.clock.at_ms(job.deadline),
        needed_ms: ask.needed_ms,
    }
}

fn take_turn<'e>(
    entry: &'e Entry,
    job: &Job,
    ask: &Ask,
    outcome: Outcome,
    backoff: &mut Backoff,
) -> TurnResult<'e> {
    let configuration = entry.configuration.current().configuration.clone();
    let request = PlacementRequest {
        request: entry.next_request_id(),
        service: job.service.clone(),
        prompt_tokens: ask.prompt_tokens,
        max_answer_tokens: ask.max_answer_tokens,
        priority: engine_priority(job.priority, ask.prompt_tokens),
        prefix_hash: ask.prefix_hash,
        remaining_ms: job.remaining_ms(),
        excluded: ask.excluded.clone(),
    };
    let view = entry.fleet.view();
    let now_ms = entry.clock.now_ms();
    let policy = entry.placement_policy();
    let mut ranking = entry.placement.rank(now_ms, &request, &view, &configuration, policy);
    if is_exhausted(&ranking) && !request.excluded.is_empty() {
        // Every target has failed once. Another try at one of them beats none.
        let request = PlacementRequest { excluded: Vec::new(), ..request.clone() };
        ranking = entry.placement.rank(now_ms, &request, &view, &configuration, policy);
    }
    match ranking {
        Ranking::Candidates(candidates) => ask_candidates(entry, job, ask, &candidates),
        Ranking::NoCandidates { reason: NoCandidateReason::ExceedsEngineMemory, .. } => {
            match entry.placement.plan_split(now_ms, &request, &view, &configuration) {
                Ok(plan) => ask_all(entry, job, plan, backoff),
                Err(SplitError::Full { retry_after_ms }) => TurnResult::Again {
                    pause_ms: retry_after_ms.min(backoff.next_ms() + MIN_PAUSE_MS),
                },
                Err(SplitError::NeverFits) => TurnResult::Failed(CallerError::new(
                    ErrorCode::PromptTooLong,
                    outcome,
                    "the prompt is longer than all engines of this model hold; shorten it",
                )),
            }
        }
        Ranking::NoCandidates { retry_after_ms, .. } => {
            TurnResult::Again { pause_ms: retry_after_ms }
        }
    }
}

fn is_exhausted(ranking: &Ranking) -> bool {
    matches!(ranking, Ranking::NoCandidates { reason: NoCandidateReason::NoneReady, .. })
}

fn ask_candidates<'e>(
    entry: &'e Entry,
    job: &Job,
    ask: &Ask,
    candidates: &[Candidate],
) -> TurnResult<'e> {
    let mut pause_ms = MAX_PAUSE_MS;
    for (index, candidate) in candidates.iter().enumerate() {
        let reserve = Reserve {
            request: entry.next_request_id(),
            target: candidate.target.clone(),
            epoch: entry.lease.membership().epoch,
            prompt_tokens: ask.prompt_tokens,
            total_tokens: total_tokens(ask),
            priority: engine_priority(job.priority, ask.prompt_tokens),
            remaining_ms: job.remaining_ms(),
            max_first_token_ms: max_first_token_ms(entry, candidate, candidates.get(index + 1)),
        };
        match entry.rooms.reserve(entry, candidate, reserve) {
            Ok(room) => return TurnResult::Acquired(Acquired::One(room)),
            Err(refused) => pause_ms = pause_ms.min(refused.retry_after_ms),
        }
    }
    TurnResult::Again { pause_ms }
}

/// Longest expected time to first token at a candidate for which the next one is not better.
fn max_first_token_ms(entry: &Entry, this: &Candidate, next: Option<&Candidate>) -> Option<u64> {
    let next = next?;
    match entry.placement_policy() {
        PlacementPolicy::ExpectedTime => {
            let longest_ms = this.expected_first_token_ms.max(next.expected_first_token_ms);
            Some(longest_ms + WAIT_SLACK_MS)
        }
        // The baselines take what they are given.
        PlacementPolicy::RoundRobin | PlacementPolicy::LeastReportedLoad => None,
    }
}

/// Reserves all engines of a plan, or none: nothing waits while it holds a reservation, so two
/// prompts that need each other's engines cannot block each other.
fn ask_all<'e>(
    entry: &'e Entry,
    job: &Job,
    plan: SplitPlan,
    backoff: &mut Backoff,
) -> TurnResult<'e> {
    let mut rooms: Vec<HeldRoom<'e>> = Vec::with_capacity(plan.segments.len());
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
            total_tokens: segment.total_tokens + CUT_SLACK_TOKENS,
            priority: engine_priority(job.priority, segment.prompt_tokens),
            remaining_ms: job.remaining_ms(),
            max_first_token_ms: None,
        };
        match entry.rooms.reserve(entry, &candidate, reserve) {
            Ok(room) => rooms.push(room),
            Err(refused) => {
                for room in rooms {
                    room.release(ReleaseOutcome::Unused, None);
                }
                let pause_ms = match refused.reason {
                    RefuseReason::NotHome | RefuseReason::LeaseLost => refused.retry_after_ms,
                    _ => backoff.next_ms(),
                };
                return TurnResult::Again { pause_ms };
            }
        }
    }
    TurnResult::Acquired(Acquired::Split { plan, rooms })
}

fn total_tokens(ask: &Ask) -> u64 {
    if ask.prompt_tokens == 0 { 0 } else { ask.prompt_tokens + ask.max_answer_tokens }
}

fn late(outcome: Outcome) -> CallerError {
    let message = "no target had room in time for the request to meet its deadline; retry later";
    CallerError::new(ErrorCode::NoCapacity, outcome, message).retry_after_ms(1_000)
}

fn no_capacity(outcome: Outcome, retry_after_ms: u64) -> CallerError {
    let message = "too many requests wait for a target at this instance; retry later";
    CallerError::new(ErrorCode::NoCapacity, outcome, message).retry_after_ms(retry_after_ms)
}
