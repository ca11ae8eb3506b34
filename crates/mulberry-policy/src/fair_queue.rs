//! Weighted fair queue of requests that wait at an entry for capacity on a target.
//!
//! Requests are served by priority. Within a priority, deficit round robin divides the tokens between
//! workspaces by weight. A request gains one priority level for every 10 s of waiting, up to the
//! highest, where it takes part in the same round robin.
//!
//! Unlike classic deficit round robin, a workspace with a positive balance may send one request of
//! any cost, which leaves a debt that later rounds repay. If it had to accumulate the cost first, its
//! own short prompts would spend the balance each time before a long prompt, for which there is only
//! occasionally capacity, could be placed. Debts are kept while other requests wait, so a workspace
//! gains nothing by sending one long prompt after another.
//!
//! Rounds are not simulated one by one: the queue computes how many rounds each workspace still
//! needs, picks the one with the fewest, and credits that many rounds to all. Debts of a million
//! tokens therefore take no more time than small ones.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mulberry_types::{LengthClass, Priority, RequestId};

/// Tokens that a workspace of weight 1 earns per round. Only the ratio to other costs matters.
const QUANTUM_TOKENS: i64 = 100;

/// Aging: waiting time after which a request gains one priority level.
const PRIORITY_STEP_MS: u64 = 10_000;

const PRIORITY_LEVELS: u64 = 3;

/// Requests of one class can either all be placed now or none of them: same model or service and
/// same prompt length class.
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

    /// Cost in tokens; a call of a plain service has a fixed cost.
    pub cost_tokens: u64,

    pub queued_ms: u64,
    pub deadline_ms: u64,

    /// Minimum duration of the work.
    pub needed_ms: u64,
}

/// The queue is full and the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull {
    pub retry_after_ms: u64,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    weight: i64,

    /// Tokens earned and not spent; negative after a request that cost more.
    balance_tokens: i64,

    /// Value of `FairQueue::pops` when the workspace was last served or was added.
    last_served: u64,

    /// In order of arrival, by priority from low to high.
    by_priority: [VecDeque<QueuedRequest>; 3],
}

/// Bounded fair queue of one entry.
#[derive(Debug)]
pub struct FairQueue {
    max_requests: usize,
    len: usize,
    workspaces: BTreeMap<Arc<str>, WorkspaceQueue>,

    /// Number of requests popped so far.
    pops: u64,

    /// Mean time between two pops.
    mean_gap_ms: f64,
    last_popped_ms: Option<u64>,
}

impl FairQueue {
    /// Creates a queue of at most `max_requests`.
    #[must_use]
    pub fn new(max_requests: usize) -> FairQueue {
        FairQueue {
            max_requests,
            len: 0,
            workspaces: BTreeMap::new(),
            pops: 0,
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
        let pops = self.pops;
        let workspace = self
            .workspaces
            .entry(Arc::clone(&request.workspace))
            .or_insert_with(|| WorkspaceQueue { last_served: pops, ..WorkspaceQueue::default() });
        workspace.weight = i64::from(request.weight.max(1));
        workspace.by_priority[request.priority as usize].push_back(request);
        Ok(())
    }

    /// Removes and returns the next request whose class can be placed now. `can_place` is called at
    /// most once per class.
    pub fn pop_next(
        &mut self,
        now_ms: u64,
        mut can_place: impl FnMut(&PlacementClass) -> bool,
    ) -> Option<QueuedRequest> {
        let mut checked: Vec<(PlacementClass, bool)> = Vec::new();
        let mut can_place = |class: &PlacementClass| {
            if let Some((_, can)) = checked.iter().find(|(checked, _)| checked == class) {
                return *can;
            }
            let can = can_place(class);
            checked.push((class.clone(), can));
            can
        };
        for level in (0..PRIORITY_LEVELS).rev() {
            // Ties go to the workspace served longest ago. A fixed rotation would favour the same
            // workspace each time a long prompt can be placed.
            let mut next: Option<(i64, u64, &Arc<str>, usize, usize)> = None;
            for (name, workspace) in &self.workspaces {
                let Some((queue, index)) =
                    workspace.oldest_placeable(level, now_ms, &mut can_place)
                else {
                    continue;
                };
                let candidate =
                    (workspace.rounds_needed(), workspace.last_served, name, queue, index);
                if next.is_none_or(|next| candidate < next) {
                    next = Some(candidate);
                }
            }
            let Some((rounds, _, name, queue, index)) = next else {
                continue;
            };
            let name = Arc::clone(name);
            for workspace in self.workspaces.values_mut() {
                workspace.credit_rounds(rounds);
            }
            return self.remove_at(now_ms, &name, queue, index);
        }
        None
    }

    /// Removes a request whose caller has disconnected.
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
            self.remove_idle_workspaces();
        }
        found
    }

    /// Removes and returns the requests that can no longer finish by their deadline, so that the
    /// caller can be answered at once.
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
                let (expired, kept) = std::mem::take(queue).into_iter().partition(is_late);
                *queue = kept;
                let expired: VecDeque<QueuedRequest> = expired;
                late.extend(expired);
            }
        }
        self.len -= late.len();
        self.remove_idle_workspaces();
        late
    }

    /// Queued tokens at or above a priority, for [`crate::AdmissionRequest`].
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

    fn remove_at(
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
        self.pops += 1;
        workspace.last_served = self.pops;
        self.len -= 1;
        self.remove_idle_workspaces();
        if let Some(last_ms) = self.last_popped_ms {
            let gap_ms = now_ms.saturating_sub(last_ms) as f64;
            self.mean_gap_ms += 0.1 * (gap_ms - self.mean_gap_ms);
        }
        self.last_popped_ms = Some(now_ms);
        Some(queued)
    }

    /// Removes workspaces without requests and debts, and clears all debts once the queue is empty.
    fn remove_idle_workspaces(&mut self) {
        let is_idle = self.len == 0;
        self.workspaces.retain(|_, workspace| {
            !workspace.is_empty() || (!is_idle && workspace.balance_tokens < 0)
        });
    }
}

impl QueuedRequest {
    /// Priority including the levels gained by waiting.
    fn level(&self, now_ms: u64) -> u64 {
        let steps = now_ms.saturating_sub(self.queued_ms) / PRIORITY_STEP_MS;
        (self.priority as u64 + steps).min(PRIORITY_LEVELS - 1)
    }
}

impl WorkspaceQueue {
    /// Priority queue and index of the oldest request at this level that can be placed.
    fn oldest_placeable(
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
                // Levels decrease along a queue, so the rest is below this level too.
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

    /// Credits rounds. Credit does not accumulate: a workspace whose requests cannot be placed now
    /// has at most one round of credit, and one without requests only repays its debt.
    fn credit_rounds(&mut self, rounds: i64) {
        let round_tokens = QUANTUM_TOKENS * self.weight;
        let limit_tokens = if self.is_empty() { 0 } else { round_tokens };
        let earned = self.balance_tokens.saturating_add(rounds.saturating_mul(round_tokens));
        self.balance_tokens = earned.min(limit_tokens.max(self.balance_tokens));
    }

    fn is_empty(&self) -> bool {
        self.by_priority.iter().all(VecDeque::is_empty)
    }
}
