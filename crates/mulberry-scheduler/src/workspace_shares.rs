//! Shares of workspaces in the engines of one service.
//!
//! Answers the load of workspaces of very different size whose requests together need more engine time or memory than
//! there is, for seconds at a time. While recent arrivals fit, nothing is limited. Otherwise each workspace may use as
//! much as the fair level allows (see [`fair_level`]). For what it asks for beyond that, it bids with a part of the value
//! only: in the price of engine time, and against what the placement costs others. A request refused for its bid is told
//! the time at which the share of its workspace allows it.
//!
//! A request counts for its latency objective, like an arrival in [`crate::engine_time_price`], so use decays within
//! seconds and no state has to be stored. Requests without a workspace are never refused for a share.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use mulberry_routes::EngineProfile;

use crate::cost::value;
use crate::fair_level::{Amounts, RESOURCES, dominant, fair_level, rank_share};
use crate::{JobId, JobOrigin, JobSpec};

/// Minimum time over which the need of a request is spread.
const MIN_SPREAD_MS: u64 = 3_000;

/// Fraction of its latency objective within which a long prompt is usually prefilled.
const PREFILL_SLO_FRACTION: f64 = 0.4;

/// Fraction of the engines' time and memory that placements can use. Some time is lost while a prompt waits for engines
/// that decode, and some memory because a request doesn't fit what is left of an engine's.
const USABLE_FRACTION: f64 = 0.8;

/// Time without arrivals after which what is known is incomplete: another scheduler may have decided meanwhile.
const MAX_SILENCE_MS: u64 = 1_500;

/// Time for which arrivals must have been seen without a silence before any request is refused for a share.
const MIN_KNOWN_MS: u64 = 1_000;

/// Time for which a refused request is still known after the time named to it.
const RETURN_MARGIN_MS: u64 = 500;

/// Time for which a computed level is used.
const LEVEL_VALID_MS: u64 = 50;

/// Order among the requests of a workspace, the first to be served first: by priority, then by value for what they need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub priority: u32,

    /// Negative binary logarithm of the value for a millisecond of the scarcer resource.
    pub octave: i32,
}

/// What one request needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need {
    /// Engines that it needs on average until the end of `spread_ms`: of their time, and of their memory.
    pub engines: Amounts,

    pub spread_ms: u64,

    pub rank: Rank,
}

impl Need {
    pub(crate) fn of(spec: &JobSpec, profile: &EngineProfile, decode_share_ms: f64) -> Need {
        let spread_ms = spec.slo_left_ms.max(MIN_SPREAD_MS);
        let prefill_ms = profile.prefill_ms(spec.prompt_tokens);
        let output_tokens = spec.max_output_tokens.min(profile.mean_output_tokens);
        // A long prompt is prefilled by several engines, well within its objective.
        let held_ms = prefill_ms.min(spec.slo_left_ms as f64 * PREFILL_SLO_FRACTION)
            + output_tokens as f64 * profile.step_ms;
        let tokens = (spec.prompt_tokens + spec.max_output_tokens) as f64;
        // Without a published profile nothing is known about the memory.
        let has_memory = profile.memory_tokens > 0;
        let memory = if has_memory { tokens / profile.memory_tokens as f64 } else { 0.0 };
        let engine_ms = [prefill_ms + decode_share_ms, memory * held_ms];
        let most_ms = engine_ms[dominant(&engine_ms)].max(1.0);
        let value_per_ms = value(spec.prompt_tokens) / most_ms;
        Need {
            engines: engine_ms.map(|engine_ms| engine_ms / spread_ms as f64),
            spread_ms,
            rank: Rank {
                priority: spec.origin.priority,
                octave: -value_per_ms.log2().round() as i32,
            },
        }
    }
}

/// What a refusal for a share was decided from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShareUse {
    /// Share of the workspace for requests of this rank, in thousandths of the usable engines.
    pub share_permille: u32,

    /// Use by the requests that were placed, in the same unit.
    pub use_permille: u32,

    /// Time until the share allows the request.
    pub allowed_in_ms: u64,

    /// Time for which arrivals have been seen without interruption.
    pub known_ms: u64,
}

impl fmt::Display for ShareUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ShareUse { share_permille, use_permille, allowed_in_ms, known_ms } = self;
        write!(
            f,
            "the workspace uses {use_permille} and may use {share_permille} thousandths of the engines; allowed in \
             {allowed_in_ms} ms, use known for {known_ms} ms"
        )
    }
}

/// A request beyond the share of its workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BeyondShare {
    pub share: ShareUse,

    /// Fraction of its value that the request may cost others: the further beyond the share, the less, but more each time
    /// that its caller returns at the time named.
    pub bid: f64,
}

/// Use of a service's engines by one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceUse {
    /// Empty for all workspaces that are not listed on their own, and for requests without a workspace.
    pub workspace: Arc<str>,

    /// Placed use and demand in its dominant resource, as fractions of the usable engines.
    pub used: f64,
    pub wanted: f64,
}

/// Use of a service's engines by the heaviest workspaces.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareReport {
    /// Share that each workspace may use; `None` while all fit.
    pub level: Option<f64>,

    pub workspaces: Vec<WorkspaceUse>,
}

/// A recent request.
#[derive(Debug, Clone, Copy)]
struct RecentRequest {
    job: JobId,
    retry_key: u64,
    rank: Rank,
    due_ms: u64,
    engines: Amounts,
    is_placed: bool,

    /// Time named in its refusal for the share; 0 if there was none.
    named_ms: u64,

    /// Number of times that its caller returned at the time named, or later.
    returns: u32,
}

/// Recent requests of one workspace.
#[derive(Debug, Default)]
struct Ledger {
    requests: Vec<RecentRequest>,

    /// Time from which the share is not yet promised to refused requests, by rank.
    promised_until_ms: BTreeMap<Rank, u64>,
}

/// Shares of the workspaces in the engines of one service.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceShares {
    ledgers: BTreeMap<Arc<str>, Ledger>,
    known_since_ms: u64,
    last_arrival_ms: Option<u64>,

    /// Fair level with the time and the number of engines for which it was computed.
    level: Option<(u64, usize, f64)>,
}

impl Ledger {
    fn expire(&mut self, now_ms: u64) {
        self.requests.retain(|request| request.due_ms > now_ms);
        self.promised_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn sum(&self, is_counted: impl Fn(&RecentRequest) -> bool) -> Amounts {
        let mut sum = [0.0; RESOURCES];
        for request in self.requests.iter().filter(|request| is_counted(request)) {
            for (total, engines) in sum.iter_mut().zip(request.engines) {
                *total += engines;
            }
        }
        sum
    }

    /// Demands by rank in one resource, the first to be served first.
    fn by_rank(&self, resource: usize) -> Vec<(Rank, f64)> {
        let mut demands: BTreeMap<Rank, f64> = BTreeMap::new();
        for request in &self.requests {
            *demands.entry(request.rank).or_default() += request.engines[resource];
        }
        demands.into_iter().collect()
    }

    /// Time at which the placed use of a rank falls below `share`, in engines.
    fn time_below(&self, now_ms: u64, rank: Rank, resource: usize, share: f64) -> u64 {
        let mut placed: Vec<(u64, f64)> = self
            .requests
            .iter()
            .filter(|request| request.is_placed && request.rank == rank)
            .map(|request| (request.due_ms, request.engines[resource]))
            .collect();
        placed.sort_by_key(|(due_ms, _)| *due_ms);
        let mut used: f64 = placed.iter().map(|(_, engines)| engines).sum();
        let mut at_ms = now_ms;
        for (due_ms, engines) in placed {
            if used < share {
                break;
            }
            used -= engines;
            at_ms = due_ms;
        }
        at_ms
    }
}

impl WorkspaceShares {
    /// Records a request that arrived and compares it with the share of its workspace. Returns the use of the workspace
    /// if the request is beyond its share.
    pub(crate) fn arrive(
        &mut self,
        now_ms: u64,
        job: JobId,
        origin: &JobOrigin,
        need: Need,
        engine_count: usize,
    ) -> Option<BeyondShare> {
        let is_silent = |last_ms: u64| now_ms.saturating_sub(last_ms) > MAX_SILENCE_MS;
        if self.last_arrival_ms.is_none_or(is_silent) {
            self.known_since_ms = now_ms;
        }
        self.last_arrival_ms = Some(now_ms);
        let (named_ms, returns) = self.record(now_ms, job, origin, need, false);
        let level = self.level(now_ms, engine_count);
        let known_ms = now_ms.saturating_sub(self.known_since_ms);
        if origin.workspace.is_empty() || !level.is_finite() || known_ms < MIN_KNOWN_MS {
            return None;
        }
        let usable = engine_count as f64 * USABLE_FRACTION;
        let ledger = self.ledgers.get(&origin.workspace)?;
        let demand = ledger.sum(|_| true);
        let resource = dominant(&demand);
        if demand[resource] <= level * usable {
            return None;
        }
        let share = rank_share(level * usable, &ledger.by_rank(resource), &need.rank);
        let used = ledger.sum(|request| request.is_placed && request.rank == need.rank)[resource];
        if used < share {
            return None;
        }
        let below_ms = ledger.time_below(now_ms, need.rank, resource, share);
        // Those refused earlier come first, but nobody waits longer than until all present use has ended. A request that
        // returns in time is still known.
        let latest_ms = now_ms + need.spread_ms - RETURN_MARGIN_MS;
        let promised_ms = ledger.promised_until_ms.get(&need.rank).copied().unwrap_or(0);
        let at_ms = if named_ms > now_ms { named_ms } else { below_ms.max(promised_ms) };
        let at_ms = at_ms.clamp(now_ms, latest_ms);
        let permille = |engines: f64| (engines / usable.max(f64::MIN_POSITIVE) * 1_000.0) as u32;
        let share_use = ShareUse {
            share_permille: permille(share),
            use_permille: permille(used),
            allowed_in_ms: at_ms - now_ms,
            known_ms,
        };
        let bid = (share / used).powf(1.0 / f64::from(1 + returns));
        Some(BeyondShare { share: share_use, bid })
    }

    /// Records that a request beyond the share of its workspace was refused, so that the next one is told a later time.
    pub(crate) fn refuse(
        &mut self,
        now_ms: u64,
        origin: &JobOrigin,
        need: Need,
        share: ShareUse,
        engine_count: usize,
    ) {
        let Some(ledger) = self.ledgers.get_mut(&origin.workspace) else { return };
        let at_ms = now_ms + share.allowed_in_ms;
        let Some(request) = ledger.requests.last_mut() else { return };
        let earlier_ms = std::mem::replace(&mut request.named_ms, at_ms);
        if earlier_ms != at_ms {
            let usable = engine_count as f64 * USABLE_FRACTION;
            let share_engines = f64::from(share.share_permille.max(1)) / 1_000.0 * usable;
            let engine_ms = need.engines[dominant(&need.engines)] * need.spread_ms as f64;
            let until_ms = at_ms + (engine_ms / share_engines) as u64;
            ledger.promised_until_ms.insert(need.rank, until_ms);
        }
    }

    /// Records that a request was placed, here or by another scheduler.
    pub(crate) fn place(&mut self, now_ms: u64, job: JobId, origin: &JobOrigin, need: Need) {
        let ledger = self.ledgers.entry(origin.workspace.clone()).or_default();
        match ledger.requests.iter_mut().rev().find(|request| request.job == job) {
            Some(request) => request.is_placed = true,
            None => {
                self.record(now_ms, job, origin, need, true);
            }
        }
    }

    /// Removes a request that did not run.
    pub(crate) fn forget(&mut self, job: JobId, workspace: &str) {
        if let Some(ledger) = self.ledgers.get_mut(workspace) {
            ledger.requests.retain(|request| request.job != job);
        }
    }

    /// Use by the `count` heaviest workspaces, and by all others together.
    pub(crate) fn report(&mut self, now_ms: u64, engine_count: usize, count: usize) -> ShareReport {
        self.expire(now_ms);
        let usable = (engine_count as f64 * USABLE_FRACTION).max(1e-9);
        let use_of = |(workspace, ledger): (&Arc<str>, &Ledger)| {
            let demand = ledger.sum(|_| true);
            let resource = dominant(&demand);
            let used = ledger.sum(|request| request.is_placed)[resource];
            let workspace = workspace.clone();
            WorkspaceUse { workspace, used: used / usable, wanted: demand[resource] / usable }
        };
        let mut workspaces: Vec<WorkspaceUse> = self.ledgers.iter().map(use_of).collect();
        workspaces.sort_by(|a, b| b.wanted.total_cmp(&a.wanted));
        let mut rest = WorkspaceUse { workspace: "".into(), used: 0.0, wanted: 0.0 };
        let mut listed = Vec::new();
        for workspace in workspaces {
            if listed.len() < count && !workspace.workspace.is_empty() {
                listed.push(workspace);
            } else {
                rest.used += workspace.used;
                rest.wanted += workspace.wanted;
            }
        }
        listed.push(rest);
        let level = self.level(now_ms, engine_count);
        ShareReport { level: level.is_finite().then_some(level), workspaces: listed }
    }

    /// Adds a request as the last one of its workspace. It replaces one that the caller repeats; returns the time that
    /// was named when that one was refused, or 0, and how often the caller has returned in time.
    fn record(
        &mut self,
        now_ms: u64,
        job: JobId,
        origin: &JobOrigin,
        need: Need,
        is_placed: bool,
    ) -> (u64, u32) {
        let ledger = self.ledgers.entry(origin.workspace.clone()).or_default();
        ledger.expire(now_ms);
        let is_repeated = |request: &RecentRequest| {
            let is_same = origin.retry_key != 0 && request.retry_key == origin.retry_key;
            request.job == job || (is_same && !request.is_placed)
        };
        let found = ledger.requests.iter().position(is_repeated);
        let earlier = found.map(|index| ledger.requests.remove(index));
        let (named_ms, returns) = earlier.map_or((0, 0), |request| {
            let has_returned = request.job != job && (1..=now_ms).contains(&request.named_ms);
            (request.named_ms, request.returns + u32::from(has_returned))
        });
        ledger.requests.push(RecentRequest {
            job,
            retry_key: origin.retry_key,
            rank: need.rank,
            due_ms: now_ms + need.spread_ms,
            engines: need.engines,
            is_placed,
            named_ms,
            returns,
        });
        (named_ms, returns)
    }

    fn level(&mut self, now_ms: u64, engine_count: usize) -> f64 {
        if let Some((at_ms, engines, level)) = self.level
            && engines == engine_count
            && now_ms.saturating_sub(at_ms) < LEVEL_VALID_MS
        {
            return level;
        }
        self.expire(now_ms);
        let usable = (engine_count as f64 * USABLE_FRACTION).max(1e-9);
        let fraction = |ledger: &Ledger| ledger.sum(|_| true).map(|engines| engines / usable);
        let demands: Vec<Amounts> = self.ledgers.values().map(fraction).collect();
        let level = fair_level(&demands);
        self.level = Some((now_ms, engine_count, level));
        level
    }

    fn expire(&mut self, now_ms: u64) {
        self.ledgers.values_mut().for_each(|ledger| ledger.expire(now_ms));
        self.ledgers.retain(|_, ledger| !ledger.requests.is_empty());
    }
}
