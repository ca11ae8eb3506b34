//! Requests that wait at an entry for room on a target.
//!
//! Priority comes first; within a priority, deficit round robin divides the tokens between
//! workspaces by weight. A request gains one priority step for every 10 s that it has waited, up to
//! the highest priority, where it takes part in the same round robin.
//!
//! A workspace with a positive balance may send one request of any cost and pays it back with later
//! rounds. In the classic form it saves up first; then a long prompt for which there is room only now
//! and then finds the balance spent by short ones of its own workspace each time. Debts stay while
//! other requests wait, so sending one long prompt after the other gains nothing.
//!
//! The rounds are not run one by one: the queue computes for each workspace how many rounds it still
//! needs, takes the one with the fewest, and credits these rounds to all. So debts of a million
//! tokens cost no more time than small ones.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mulberry_types::{LengthClass, Priority, RequestId};

/// Tokens that a workspace of weight 1 earns per round. Only the ratio to other costs matters.
const QUANTUM_TOKENS: i64 = 100;

/// Waiting time for one priority step.
const PRIORITY_STEP_MS: u64 = 10_000;

const LEVELS: u64 = 3;

/// What decides whether requests can be placed: the model or service, and the length of the prompt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    pub service: Arc<str>,
    pub length: LengthClass,
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    pub request: RequestId,
    pub workspace: Arc<str>,

    /// Weight of the workspace.
    pub weight: u32,

    pub priority: Priority,
    pub class: PlacementClass,

    /// Cost in tokens; plain calls cost a fixed number.
    pub cost_tokens: u64,

    pub queued_ms: u64,
    pub deadline_ms: u64,

    /// Least time from the start of the work to its end.
    pub needed_ms: u64,
}

/// The queue is full; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull {
    pub retry_after_ms: u64,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    weight: i64,

    /// Tokens earned and not spent; negative after a request that cost more.
    balance_tokens: i64,

    /// Turn at which it was served last, or at which it came.
    last_turn: u64,

    /// In order of arrival, by priority from low to high.
    by_priority: [VecDeque<QueuedRequest>; 3],
}

/// Bounded fair queue of one entry.
#[derive(Debug)]
pub struct FairQueue {
    max_requests: usize,
    len: usize,
    workspaces: BTreeMap<Arc<str>, WorkspaceQueue>,

    /// Requests that left the queue for a target.
    turns: u64,

    /// Mean time between two requests that leave the queue.
    mean_gap_ms: f64,
    last_popped_ms: Option<u64>,
}

impl FairQueue {
    /// A queue of at most `max_requests`.
    #[must_use]
    pub fn new(max_requests: usize) -> FairQueue {
        FairQueue {
            max_requests,
            len: 0,
            workspaces: BTreeMap::new(),
            turns: 0,
            mean_gap_ms: 100.0,
            last_popped_ms: None,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    /// The queue is full.
    pub fn push(&mut self, request: QueuedRequest) -> Result<(), QueueFull> {
        if self.len >= self.max_requests {
            let drain_ms = self.mean_gap_ms * self.len as f64;
            return Err(QueueFull { retry_after_ms: (drain_ms as u64).clamp(100, 60_000) });
        }
        self.len += 1;
        let turns = self.turns;
        let workspace = self
            .workspaces
            .entry(Arc::clone(&request.workspace))
            .or_insert_with(|| WorkspaceQueue { last_turn: turns, ..WorkspaceQueue::default() });
        workspace.weight = i64::from(request.weight.max(1));
        workspace.by_priority[request.priority as usize].push_back(request);
        Ok(())
    }

    /// Takes the next request whose class can be placed now. `can_place` is asked at most once per
    /// class.
    pub fn pop_next(
        &mut self,
        now_ms: u64,
        mut can_place: impl FnMut(&PlacementClass) -> bool,
    ) -> Option<QueuedRequest> {
        let mut known: Vec<(PlacementClass, bool)> = Vec::new();
        let mut can_place = |class: &PlacementClass| {
            if let Some((_, can)) = known.iter().find(|(known, _)| known == class) {
                return *can;
            }
            let can = can_place(class);
            known.push((class.clone(), can));
            can
        };
        for level in (0..LEVELS).rev() {
            // Equal rounds: the one that was served longest ago. A fixed order around the last served
            // one would prefer the same neighbour each time that a long prompt finds room.
            let mut next: Option<(i64, u64, &Arc<str>, usize, usize)> = None;
            for (name, workspace) in &self.workspaces {
                let Some((queue, index)) = workspace.first_at(level, now_ms, &mut can_place) else {
                    continue;
                };
                let turn = (workspace.rounds_needed(), workspace.last_turn, name, queue, index);
                if next.is_none_or(|next| turn < next) {
                    next = Some(turn);
                }
            }
            let Some((rounds, _, name, queue, index)) = next else {
                continue;
            };
            let name = Arc::clone(name);
            for workspace in self.workspaces.values_mut() {
                workspace.earn(rounds);
            }
            return self.take(now_ms, &name, queue, index);
        }
        None
    }

    /// Removes a request whose caller has gone.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let mut found = None;
        for workspace in self.workspaces.values_mut() {
            for queue in &mut workspace.by_priority {
                if let Some(index) = queue.iter().position(|queued| queued.request == request) {
                    found = queue.remove(index);
                }
            }
        }
        if found.is_some() {
            self.len -= 1;
            self.forget_empty();
        }
        found
    }

    /// Takes out the requests that cannot finish by their deadline any more, to be answered at
    /// once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        for workspace in self.workspaces.values_mut() {
            for queue in &mut workspace.by_priority {
                let is_late = |queued: &QueuedRequest| {
                    now_ms.saturating_add(queued.needed_ms) > queued.deadline_ms
                };
                if !queue.iter().any(is_late) {
                    continue;
                }
                let (gone, kept) = std::mem::take(queue).into_iter().partition(is_late);
                *queue = kept;
                let gone: VecDeque<QueuedRequest> = gone;
                late.extend(gone);
            }
        }
        self.len -= late.len();
        self.forget_empty();
        late
    }

    /// Prompt tokens that wait at or above a priority, for [`crate::AdmissionRequest`].
    #[must_use]
    pub fn waiting_tokens(&self, now_ms: u64, priority: Priority) -> u64 {
        self.workspaces
            .values()
            .flat_map(|workspace| workspace.by_priority.iter().flatten())
            .filter(|queued| queued.level(now_ms) >= priority as u64)
            .map(|queued| queued.cost_tokens)
            .sum()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn take(
        &mut self,
        now_ms: u64,
        name: &Arc<str>,
        queue: usize,
        index: usize,
    ) -> Option<QueuedRequest> {
        let workspace = self.workspaces.get_mut(name)?;
        let queued = workspace.by_priority[queue].remove(index)?;
        let cost_tokens = i64::try_from(queued.cost_tokens).unwrap_or(i64::MAX);
        workspace.balance_tokens = workspace.balance_tokens.saturating_sub(cost_tokens);
        self.turns += 1;
        workspace.last_turn = self.turns;
        self.len -= 1;
        self.forget_empty();
        if let Some(last_ms) = self.last_popped_ms {
            let gap_ms = now_ms.saturating_sub(last_ms) as f64;
            self.mean_gap_ms += 0.1 * (gap_ms - self.mean_gap_ms);
        }
        self.last_popped_ms = Some(now_ms);
        Some(queued)
    }

    /// Forgets workspaces without requests and debts, and all debts once nothing waits.
    fn forget_empty(&mut self) {
        let is_idle = self.len == 0;
        self.workspaces.retain(|_, workspace| {
            !workspace.is_empty() || (!is_idle && workspace.balance_tokens < 0)
        });
    }
}

impl QueuedRequest {
    /// Priority with the steps gained by waiting.
    fn level(&self, now_ms: u64) -> u64 {
        let steps = now_ms.saturating_sub(self.queued_ms) / PRIORITY_STEP_MS;
        (self.priority as u64 + steps).min(LEVELS - 1)
    }
}

impl WorkspaceQueue {
    /// Queue and index of the longest waiting request at this level that can be placed.
    fn first_at(
        &self,
        level: u64,
        now_ms: u64,
        can_place: &mut impl FnMut(&PlacementClass) -> bool,
    ) -> Option<(usize, usize)> {
        let mut first: Option<(u64, usize, usize)> = None;
        for (queue, requests) in self.by_priority.iter().enumerate().take(level as usize + 1) {
            let found = requests
                .iter()
                .enumerate()
                // Levels fall along a queue, so the rest is below this level too.
                .take_while(|(_, queued)| queued.level(now_ms) >= level)
                .find(|(_, queued)| queued.level(now_ms) == level && can_place(&queued.class));
            if let Some((index, queued)) = found {
                if first.is_none_or(|(queued_ms, _, _)| queued.queued_ms < queued_ms) {
                    first = Some((queued.queued_ms, queue, index));
                }
            }
        }
        first.map(|(_, queue, index)| (queue, index))
    }

    /// Rounds until the balance is positive.
    fn rounds_needed(&self) -> i64 {
        if self.balance_tokens > 0 {
            return 0;
        }
        self.balance_tokens.saturating_neg() / (QUANTUM_TOKENS * self.weight) + 1
    }

    /// Credits rounds. Nothing is saved up: a workspace whose requests cannot be placed now has one
    /// round at most, and one without requests pays back its debt only.
    fn earn(&mut self, rounds: i64) {
        let round_tokens = QUANTUM_TOKENS * self.weight;
        let limit_tokens = if self.is_empty() { 0 } else { round_tokens };
        let earned = self.balance_tokens.saturating_add(rounds.saturating_mul(round_tokens));
        self.balance_tokens = earned.min(limit_tokens.max(self.balance_tokens));
    }

    fn is_empty(&self) -> bool {
        self.by_priority.iter().all(VecDeque::is_empty)
    }
}
