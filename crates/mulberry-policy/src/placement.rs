//! Choice of the targets to ask for a reservation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use mulberry_types::{
    Configuration, HomeDigest, MembershipEpoch, NodeId, Priority, RequestId, TargetDigest,
    TargetKind,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet_view::{is_ready, serves, tokens_ahead};
use crate::in_flight_reservations::UnreportedLoad;
use crate::long_prefill_cap::LONG_PROMPT_TOKENS;
use crate::{CostModel, FleetView};

/// Homes that are asked for one request: with more, refusals cost more than waiting.
const MAX_CANDIDATES: usize = 3;

/// Choices that are put in order. While a target moves, two homes may list it.
const MAX_ORDERED: usize = 2 * MAX_CANDIDATES;

/// A prefix is worth this much waiting at the engine that probably has it cached.
const PREFIX_MS: u64 = 200;

/// Expected times within this span count as equal, and the load decides between them. It is about
/// the error of the estimate; smaller spans make all entries choose the same engine.
const SPAN_MS: u64 = 20;

/// Expected wait for the chunk that an engine in long prefill works on. Without it, shorts choose such
/// engines as often as idle ones.
const CHUNK_MS: u64 = 25;

/// Time after which full targets are tried again: the interval of digests.
const FULL_RETRY_MS: u64 = 250;

/// Time after which missing targets are looked for again: the interval of announcements.
const MISSING_RETRY_MS: u64 = 1_000;

/// How targets are chosen. The last two are baselines for measurement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Least expected time to first token.
    #[default]
    ExpectedTime,

    /// Each target in turn.
    RoundRobin,

    /// Fewest taken slots by the last digest.
    LeastReportedLoad,
}

/// What is to be placed.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    pub request: RequestId,

    /// Model or plain service.
    pub service: Arc<str>,

    pub prompt_tokens: u64,

    /// Longest allowed answer.
    pub max_answer_tokens: u64,

    pub priority: Priority,

    /// Hash of the first blocks of the prompt, if it is long enough to have some.
    pub prefix_hash: Option<u64>,

    pub remaining_ms: u64,

    /// Targets that have refused or failed already.
    pub excluded: Vec<Arc<str>>,
}

/// One target to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub target: Arc<str>,
    pub home: NodeId,
    pub boot_id: u64,
    pub address: SocketAddr,
    pub expected_first_token_ms: u64,
}

/// Why there is no candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCandidateReason {
    /// No target of this model or service is known.
    NoTarget,

    /// All known targets are excluded, out, drained, leaving or failing.
    NoneReady,

    /// The request is larger than any engine; see [`Placement::plan_split`].
    ExceedsEngineMemory,

    /// Every target that could take it is full or busy with long prompts.
    Full,

    /// No target is expected to give the first token before the deadline.
    TooLate,
}

/// Result of a ranking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ranking {
    /// Best first, at least one.
    Candidates(Vec<Candidate>),

    NoCandidates {
        reason: NoCandidateReason,

        /// When to rank again; 0 when that does not help.
        retry_after_ms: u64,
    },
}

/// Part of a prompt on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    pub target: Arc<str>,
    pub home: NodeId,
    pub boot_id: u64,
    pub address: SocketAddr,

    /// First token of the part within the prompt.
    pub first_token: u64,

    pub prompt_tokens: u64,

    /// Tokens to reserve: the part, and on the last engine the longest allowed answer too.
    pub total_tokens: u64,
}

/// Engines for a prompt beyond one engine's memory. Reserve in this order, all or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPlan {
    /// In the order of the prompt. The last engine continues with the answer.
    pub segments: Vec<Segment>,
}

/// Why a prompt cannot be split now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitError {
    /// All engines that take long prompts together are too small.
    NeverFits,

    /// There is not enough free memory now.
    Full { retry_after_ms: u64 },
}

/// Chooses targets for one entry.
#[derive(Debug, Default)]
pub struct Placement {
    /// Availability zone of this entry.
    zone: Arc<str>,

    /// Extra time to a target in another zone.
    cross_zone_ms: u64,

    next: AtomicUsize,
}

#[derive(Debug, Clone, Copy)]
struct Choice<'a> {
    home: &'a HomeDigest,
    target: &'a TargetDigest,
    added: UnreportedLoad,
    expected_ms: u64,
}

impl Placement {
    /// `zone` is the entry's own availability zone, `cross_zone_ms` the extra time to another one.
    #[must_use]
    pub fn new(zone: Arc<str>, cross_zone_ms: u64) -> Placement {
        Placement { zone, cross_zone_ms, next: AtomicUsize::new(0) }
    }

    /// Ranks the targets that can take a request now by what the view shows.
    #[must_use]
    pub fn rank(
        &self,
        now_ms: u64,
        request: &PlacementRequest,
        view: &FleetView,
        configuration: &Configuration,
        policy: PlacementPolicy,
    ) -> Ranking {
        let total_tokens = request.prompt_tokens.saturating_add(request.max_answer_tokens);
        let cap = (request.prompt_tokens > LONG_PROMPT_TOKENS)
            .then(|| view.long_prefill_cap(configuration));
        let loads = view.in_flight().loads();
        let mut reason = NoCandidateReason::NoTarget;
        let mut choices = Vec::new();
        // Best engine of the prefix over all ready ones, so that it does not change with the load.
        let mut prefix_engine: Option<(u64, &Arc<str>)> = None;
        for (home, target) in view.fresh_targets(now_ms) {
            if !serves(&target.kind, &request.service) {
                continue;
            }
            reason = reason.max(NoCandidateReason::NoneReady);
            if !is_ready(target, configuration) || request.excluded.contains(&target.target) {
                continue;
            }
            let is_engine = matches!(target.kind, TargetKind::Engine { .. });
            if is_engine && total_tokens > target.memory_tokens {
                reason = reason.max(NoCandidateReason::ExceedsEngineMemory);
                continue;
            }
            reason = reason.max(NoCandidateReason::Full);
            if let Some(prefix_hash) = request.prefix_hash {
                let weight = xxh3_64_with_seed(target.target.as_bytes(), prefix_hash);
                if prefix_engine.is_none_or(|best| (weight, &target.target) > best) {
                    prefix_engine = Some((weight, &target.target));
                }
            }
            if is_engine
                && cap.as_ref().is_some_and(|cap| !cap.allows(&request.service, &target.target))
            {
                continue;
            }
            let added = loads.of(&target.target);
            let fits =
                !is_engine || target.free_tokens >= added.tokens.saturating_add(total_tokens);
            if !fits || target.free_slots <= added.slots {
                continue;
            }
            let expected_ms = self.expected_ms(request, target, &added);
            if expected_ms > request.remaining_ms {
                reason = reason.max(NoCandidateReason::TooLate);
                continue;
            }
            choices.push(Choice { home, target, added, expected_ms });
        }
        if choices.is_empty() {
            return Ranking::NoCandidates { reason, retry_after_ms: reason.retry_after_ms() };
        }
        match policy {
            PlacementPolicy::ExpectedTime => {
                choices = best_by_time(request, &choices, prefix_engine.map(|(_, target)| target));
            }
            PlacementPolicy::RoundRobin => {
                choices.sort_by(|a, b| a.target.target.cmp(&b.target.target));
                let first = self.next.fetch_add(1, Ordering::Relaxed) % choices.len();
                choices.rotate_left(first);
            }
            PlacementPolicy::LeastReportedLoad => {
                choices.sort_by_key(|choice| {
                    (choice.target.taken_slots, tie_break(request, choice.target))
                });
            }
        }
        Ranking::Candidates(first_candidates(&choices))
    }

    /// Divides a prompt beyond one engine's memory over as few engines as possible, in parts as
    /// equal as their free memory allows. Engines are ordered by name, so that two entries that
    /// split at the same time ask for the same engine first and one of them gives way at once; only
    /// the largest, which also holds the answer, comes last.
    ///
    /// # Errors
    /// The engines that may take long prompts are too small or too full.
    pub fn plan_split(
        &self,
        now_ms: u64,
        request: &PlacementRequest,
        view: &FleetView,
        configuration: &Configuration,
    ) -> Result<SplitPlan, SplitError> {
        let cap = view.long_prefill_cap(configuration);
        let loads = view.in_flight().loads();
        let mut engines: Vec<(u64, &HomeDigest, &TargetDigest)> = Vec::new();
        let mut memory_tokens = 0;
        for (home, target) in view.fresh_targets(now_ms) {
            let is_usable = serves(&target.kind, &request.service)
                && is_ready(target, configuration)
                && !request.excluded.contains(&target.target)
                && cap.allows(&request.service, &target.target);
            if !is_usable {
                continue;
            }
            let added = loads.of(&target.target);
            let has_slot = target.free_slots > added.slots;
            let free = if has_slot { target.free_tokens.saturating_sub(added.tokens) } else { 0 };
            match engines.iter_mut().find(|(_, _, other)| other.target == target.target) {
                Some(other) if other.1.epoch >= home.epoch => {}
                Some(other) => *other = (free, home, target),
                None => {
                    memory_tokens += target.memory_tokens;
                    engines.push((free, home, target));
                }
            }
        }
        let total_tokens = request.prompt_tokens.saturating_add(request.max_answer_tokens);
        if request.prompt_tokens == 0 || total_tokens > memory_tokens {
            return Err(SplitError::NeverFits);
        }
        engines.retain(|(free, _, _)| *free > 0);
        engines.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.2.target.cmp(&b.2.target)));
        let Some(count) = engines_needed(&engines, total_tokens) else {
            return Err(SplitError::Full { retry_after_ms: FULL_RETRY_MS });
        };
        // The last engine holds the answer and at least one token of the prompt.
        if engines[0].0 <= request.max_answer_tokens {
            return Err(SplitError::Full { retry_after_ms: FULL_RETRY_MS });
        }
        engines.truncate(count);
        let room: Vec<u64> = engines
            .iter()
            .enumerate()
            .map(
                |(index, engine)| {
                    if index == 0 { engine.0 - request.max_answer_tokens } else { engine.0 }
                },
            )
            .collect();
        let parts = equal_parts(&room, request.prompt_tokens);
        let mut chosen: Vec<(usize, u64)> =
            parts.into_iter().enumerate().filter(|(_, tokens)| *tokens > 0).collect();
        chosen.sort_by_key(|(index, _)| (*index == 0, &engines[*index].2.target));
        let mut first_token = 0;
        let segments = chosen
            .into_iter()
            .map(|(index, prompt_tokens)| {
                let (_, home, target) = engines[index];
                let answer_tokens = if index == 0 { request.max_answer_tokens } else { 0 };
                let segment = Segment {
                    target: Arc::clone(&target.target),
                    home: home.node,
                    boot_id: target.boot_id,
                    address: target.address,
                    first_token,
                    prompt_tokens,
                    total_tokens: prompt_tokens + answer_tokens,
                };
                first_token += prompt_tokens;
                segment
            })
            .collect();
        Ok(SplitPlan { segments })
    }

    fn expected_ms(
        &self,
        request: &PlacementRequest,
        target: &TargetDigest,
        added: &UnreportedLoad,
    ) -> u64 {
        let transfer_ms = if target.zone == self.zone { 0 } else { self.cross_zone_ms };
        let ahead = tokens_ahead(&target.queued_prompt_tokens, request.priority)
            + tokens_ahead(&added.prompt_tokens, request.priority);
        // The digest's speed is corrected by what the home observed.
        let own = request.prompt_tokens;
        let chunk_ms = if target.long_prefill { CHUNK_MS } else { 0 };
        transfer_ms + chunk_ms + CostModel::estimate_ms(target.prefill_tokens_per_s, ahead, own)
    }
}

impl NoCandidateReason {
    fn max(self, other: NoCandidateReason) -> NoCandidateReason {
        if other.rank() > self.rank() { other } else { self }
    }

    /// The reason of the target that came closest to taking the request is reported.
    fn rank(self) -> u8 {
        match self {
            NoCandidateReason::NoTarget => 0,
            NoCandidateReason::NoneReady => 1,
            NoCandidateReason::ExceedsEngineMemory => 2,
            NoCandidateReason::Full => 3,
            NoCandidateReason::TooLate => 4,
        }
    }

    fn retry_after_ms(self) -> u64 {
        match self {
            NoCandidateReason::NoTarget | NoCandidateReason::NoneReady => MISSING_RETRY_MS,
            NoCandidateReason::ExceedsEngineMemory | NoCandidateReason::TooLate => 0,
            NoCandidateReason::Full => FULL_RETRY_MS,
        }
    }
}

/// Spreads requests over targets that are equally good.
fn tie_break(request: &PlacementRequest, target: &TargetDigest) -> u64 {
    let seed = request.request.counter ^ request.request.incarnation.0;
    xxh3_64_with_seed(target.target.as_bytes(), seed)
}

/// The best choices by expected time, best first. A selection in one pass: sorting all engines of the
/// design size costs more than looking at them.
fn best_by_time<'a>(
    request: &PlacementRequest,
    choices: &[Choice<'a>],
    prefix_engine: Option<&Arc<str>>,
) -> Vec<Choice<'a>> {
    let mut best: Vec<((u64, u64, u64), Choice<'a>)> = Vec::with_capacity(MAX_ORDERED + 1);
    for choice in choices {
        let target = choice.target;
        // By what is taken, not by what is free: a target that ramps up has few slots free, and if
        // it counted as full it would get no work beside idle warm ones and never ramp up.
        let taken = u64::from(target.taken_slots + choice.added.slots);
        let taken_eighths = 8 * taken / u64::from(target.slots.max(1));
        let span = choice.expected_ms / SPAN_MS;
        let is_worse = best
            .last()
            .is_some_and(|((last, last_taken, _), _)| (span, taken_eighths) > (*last, *last_taken));
        if best.len() == MAX_ORDERED && is_worse {
            continue;
        }
        let key = (span, taken_eighths, tie_break(request, target));
        let position = best.partition_point(|(other, _)| *other <= key);
        best.insert(position, (key, *choice));
        best.truncate(MAX_ORDERED);
    }
    let mut best: Vec<Choice<'a>> = best.into_iter().map(|(_, choice)| choice).collect();
    let best_ms = choices.iter().map(|choice| choice.expected_ms).min().unwrap_or(0);
    let preferred = prefix_engine.and_then(|engine| {
        let is_preferred = |choice: &&Choice<'_>| choice.target.target == *engine;
        choices.iter().find(is_preferred).filter(|it| it.expected_ms <= best_ms + PREFIX_MS)
    });
    if let Some(preferred) = preferred {
        best.retain(|choice| choice.target.target != preferred.target.target);
        best.insert(0, *preferred);
    }
    best
}

/// The first candidates; a target that two homes list counts once, with the newer home.
fn first_candidates(choices: &[Choice<'_>]) -> Vec<Candidate> {
    let mut candidates: Vec<(MembershipEpoch, Candidate)> = Vec::with_capacity(MAX_CANDIDATES);
    for choice in choices {
        let candidate = Candidate {
            target: Arc::clone(&choice.target.target),
            home: choice.home.node,
            boot_id: choice.target.boot_id,
            address: choice.target.address,
            expected_first_token_ms: choice.expected_ms,
        };
        let known = candidates.iter().position(|(_, known)| known.target == candidate.target);
        match known {
            Some(index) if candidates[index].0 < choice.home.epoch => {
                candidates[index] = (choice.home.epoch, candidate);
            }
            Some(_) => {}
            None if candidates.len() < MAX_CANDIDATES => {
                candidates.push((choice.home.epoch, candidate));
            }
            None => break,
        }
    }
    candidates.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Fewest engines, largest first, that together have room.
fn engines_needed(
    engines: &[(u64, &HomeDigest, &TargetDigest)],
    total_tokens: u64,
) -> Option<usize> {
    let mut room = 0;
    for (index, (free, _, _)) in engines.iter().enumerate() {
        room += free;
        if room >= total_tokens {
            return Some(index + 1);
        }
    }
    None
}

/// Divides `tokens` as equally as `room` allows; `room` has space for all of them.
fn equal_parts(room: &[u64], tokens: u64) -> Vec<u64> {
    let mut order: Vec<usize> = (0..room.len()).collect();
    order.sort_by_key(|index| room[*index]);
    let mut parts = vec![0; room.len()];
    let mut left = tokens;
    for (position, &index) in order.iter().enumerate() {
        let engines_left = (order.len() - position) as u64;
        parts[index] = room[index].min(left.div_ceil(engines_left));
        left -= parts[index];
    }
    parts
}
