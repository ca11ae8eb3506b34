//! Target selection: which targets to ask for a reservation.

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

/// Maximum number of targets to ask for one request. Further attempts cost more than waiting.
const MAX_CANDIDATES: usize = 3;

/// Maximum number of targets to sort. Two homes may list a target while it moves between them.
const MAX_SORTED: usize = 2 * MAX_CANDIDATES;

/// Extra time to first token accepted at the engine that probably has the prefix cached.
const PREFIX_BONUS_MS: u64 = 200;

/// Expected times are compared in steps of this span, and the load breaks ties. The span is about
/// the error of the estimate; with smaller spans all entries choose the same engine.
const TIE_SPAN_MS: u64 = 20;

/// Expected wait for the current chunk of an engine that is prefilling a long prompt. Without it,
/// short prompts would be placed on such engines as often as on idle ones.
const LONG_PREFILL_CHUNK_MS: u64 = 25;

/// Retry interval if all targets are full: the interval of digests.
const FULL_RETRY_MS: u64 = 250;

/// Retry interval if no target is ready: the interval of announcements.
const NO_TARGET_RETRY_MS: u64 = 1_000;

/// Load balancing policy. The last two are baselines for benchmarks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Shortest expected time to first token.
    #[default]
    ExpectedTime,

    /// Each target in turn.
    RoundRobin,

    /// Fewest occupied slots according to the last digest.
    LeastReportedLoad,
}

/// A request to place.
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

    /// Targets that have already refused or failed this request.
    pub excluded: Vec<Arc<str>>,
}

/// A target to ask for a reservation.
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

    /// All known targets are excluded, out of service, drained, leaving or failing.
    NoneReady,

    /// The request is larger than any engine; see [`TargetSelector::plan_split`].
    ExceedsEngineMemory,

    /// Every target that could take the request is full or at the cap of long prompts.
    Full,

    /// No target is expected to send the first token before the deadline.
    TooLate,
}

/// Result of a ranking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ranking {
    /// Best first, at least one.
    Candidates(Vec<Candidate>),

    NoCandidates {
        reason: NoCandidateReason,

        /// When to rank again; 0 if that does not help.
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

/// Engines for a prompt that exceeds one engine's memory. Reserve in this order, all or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPlan {
    /// Consecutive parts of the prompt. The engine of the last one generates the answer.
    pub segments: Vec<Segment>,
}

/// Why a prompt cannot be split now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitError {
    /// The engines that take long prompts are too small, even together.
    NeverFits,

    /// There is not enough free memory now.
    Full { retry_after_ms: u64 },
}

/// Selects targets for the requests of one entry.
#[derive(Debug, Default)]
pub struct TargetSelector {
    /// Availability zone of this entry.
    zone: Arc<str>,

    /// Extra latency to a target in another zone.
    cross_zone_ms: u64,

    /// Number of requests placed by round robin.
    round_robin_index: AtomicUsize,
}

#[derive(Debug, Clone, Copy)]
struct ScoredTarget<'a> {
    home: &'a HomeDigest,
    target: &'a TargetDigest,
    added: UnreportedLoad,
    expected_ms: u64,
}

impl TargetSelector {
    /// `zone` is the entry's own availability zone, `cross_zone_ms` the extra latency to another one.
    #[must_use]
    pub fn new(zone: Arc<str>, cross_zone_ms: u64) -> TargetSelector {
        TargetSelector { zone, cross_zone_ms, round_robin_index: AtomicUsize::new(0) }
    }

    /// Ranks the targets that can take a request now according to the view.
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
        let mut scored = Vec::new();
        // Chosen among all ready engines, so that it does not change with the load.
        let mut cached_prefix_engine: Option<(u64, &Arc<str>)> = None;
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
                if cached_prefix_engine.is_none_or(|best| (weight, &target.target) > best) {
                    cached_prefix_engine = Some((weight, &target.target));
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
            scored.push(ScoredTarget { home, target, added, expected_ms });
        }
        if scored.is_empty() {
            return Ranking::NoCandidates { reason, retry_after_ms: reason.retry_after_ms() };
        }
        match policy {
            PlacementPolicy::ExpectedTime => {
                scored = fastest_targets(
                    request,
                    &scored,
                    cached_prefix_engine.map(|(_, target)| target),
                );
            }
            PlacementPolicy::RoundRobin => {
                scored.sort_by(|a, b| a.target.target.cmp(&b.target.target));
                let first = self.round_robin_index.fetch_add(1, Ordering::Relaxed) % scored.len();
                scored.rotate_left(first);
            }
            PlacementPolicy::LeastReportedLoad => {
                scored.sort_by_key(|scored_target| {
                    (scored_target.target.taken_slots, tie_break(request, scored_target.target))
                });
            }
        }
        Ranking::Candidates(deduplicated_candidates(&scored))
    }

    /// Splits a prompt that exceeds one engine's memory over as few engines as possible, as evenly as
    /// their free memory allows. Engines are ordered by name, so that two entries that split prompts
    /// at the same time ask for the same engine first and one of them is refused at once. The engine
    /// with the most free memory, which also holds the answer, comes last.
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
        let capacity: Vec<u64> = engines
            .iter()
            .enumerate()
            .map(
                |(index, engine)| {
                    if index == 0 { engine.0 - request.max_answer_tokens } else { engine.0 }
                },
            )
            .collect();
        let parts = divide_evenly(&capacity, request.prompt_tokens);
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
        // The home has already corrected the speed in the digest by its observations.
        let own = request.prompt_tokens;
        let chunk_ms = if target.long_prefill { LONG_PREFILL_CHUNK_MS } else { 0 };
        transfer_ms + chunk_ms + CostModel::estimate_ms(target.prefill_tokens_per_s, ahead, own)
    }
}

impl NoCandidateReason {
    fn max(self, other: NoCandidateReason) -> NoCandidateReason {
        if other.precedence() > self.precedence() { other } else { self }
    }

    /// Precedence of the reasons: a ranking reports that of the target that came closest to taking
    /// the request.
    fn precedence(self) -> u8 {
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
            NoCandidateReason::NoTarget | NoCandidateReason::NoneReady => NO_TARGET_RETRY_MS,
            NoCandidateReason::ExceedsEngineMemory | NoCandidateReason::TooLate => 0,
            NoCandidateReason::Full => FULL_RETRY_MS,
        }
    }
}

/// Hash that spreads requests over equally good targets.
fn tie_break(request: &PlacementRequest, target: &TargetDigest) -> u64 {
    let seed = request.request.counter ^ request.request.incarnation.0;
    xxh3_64_with_seed(target.target.as_bytes(), seed)
}

/// The best targets by expected time, best first. Selects them in one pass, because sorting all
/// engines of a full-size fleet costs more than scanning them.
fn fastest_targets<'a>(
    request: &PlacementRequest,
    scored: &[ScoredTarget<'a>],
    cached_prefix_engine: Option<&Arc<str>>,
) -> Vec<ScoredTarget<'a>> {
    let mut best: Vec<((u64, u64, u64), ScoredTarget<'a>)> = Vec::with_capacity(MAX_SORTED + 1);
    for scored_target in scored {
        let target = scored_target.target;
        // Compare occupied slots, not free ones: a target that ramps up has few free slots, and if
        // it counted as full it would get no work beside idle warm targets and never ramp up.
        let taken = u64::from(target.taken_slots + scored_target.added.slots);
        let taken_eighths = 8 * taken / u64::from(target.slots.max(1));
        let span = scored_target.expected_ms / TIE_SPAN_MS;
        let is_worse = best
            .last()
            .is_some_and(|((last, last_taken, _), _)| (span, taken_eighths) > (*last, *last_taken));
        if best.len() == MAX_SORTED && is_worse {
            continue;
        }
        let key = (span, taken_eighths, tie_break(request, target));
        let position = best.partition_point(|(other, _)| *other <= key);
        best.insert(position, (key, *scored_target));
        best.truncate(MAX_SORTED);
    }
    let mut best: Vec<ScoredTarget<'a>> =
        best.into_iter().map(|(_, scored_target)| scored_target).collect();
    let best_ms = scored.iter().map(|scored_target| scored_target.expected_ms).min().unwrap_or(0);
    let preferred = cached_prefix_engine.and_then(|engine| {
        let is_preferred =
            |scored_target: &&ScoredTarget<'_>| scored_target.target.target == *engine;
        scored
            .iter()
            .find(is_preferred)
            .filter(|preferred| preferred.expected_ms <= best_ms + PREFIX_BONUS_MS)
    });
    if let Some(preferred) = preferred {
        best.retain(|scored_target| scored_target.target.target != preferred.target.target);
        best.insert(0, *preferred);
    }
    best
}

/// The first candidates. A target that two homes list is included once, with the home of the newer
/// epoch.
fn deduplicated_candidates(scored: &[ScoredTarget<'_>]) -> Vec<Candidate> {
    let mut candidates: Vec<(MembershipEpoch, Candidate)> = Vec::with_capacity(MAX_CANDIDATES);
    for scored_target in scored {
        let candidate = Candidate {
            target: Arc::clone(&scored_target.target.target),
            home: scored_target.home.node,
            boot_id: scored_target.target.boot_id,
            address: scored_target.target.address,
            expected_first_token_ms: scored_target.expected_ms,
        };
        let known = candidates.iter().position(|(_, known)| known.target == candidate.target);
        match known {
            Some(index) if candidates[index].0 < scored_target.home.epoch => {
                candidates[index] = (scored_target.home.epoch, candidate);
            }
            Some(_) => {}
            None if candidates.len() < MAX_CANDIDATES => {
                candidates.push((scored_target.home.epoch, candidate));
            }
            None => break,
        }
    }
    candidates.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Number of engines, largest first, that together have enough capacity.
fn engines_needed(
    engines: &[(u64, &HomeDigest, &TargetDigest)],
    total_tokens: u64,
) -> Option<usize> {
    let mut capacity = 0;
    for (index, (free, _, _)) in engines.iter().enumerate() {
        capacity += free;
        if capacity >= total_tokens {
            return Some(index + 1);
        }
    }
    None
}

/// Divides `tokens` as evenly as `capacity` allows. The sum of `capacity` must be at least `tokens`.
fn divide_evenly(capacity: &[u64], tokens: u64) -> Vec<u64> {
    let mut order: Vec<usize> = (0..capacity.len()).collect();
    order.sort_by_key(|index| capacity[*index]);
    let mut parts = vec![0; capacity.len()];
    let mut left = tokens;
    for (position, &index) in order.iter().enumerate() {
        let engines_left = (order.len() - position) as u64;
        parts[index] = capacity[index].min(left.div_ceil(engines_left));
        left -= parts[index];
    }
    parts
}
