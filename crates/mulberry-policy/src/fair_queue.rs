//! Requests that wait at an entry for room on a target.
//!
//! Priority comes first; within a priority, deficit round robin divides the tokens between
//! workspaces by weight. A request gains one priority step for every 10 s that it has waited, up to
//! the highest priority, where it takes part in the same round robin.
//!
//! The rounds are not run one by one: the queue computes for each workspace how many rounds its
//! next request still needs, takes the one with the fewest, and credits these rounds to all. So a
//! request of a million tokens costs no more to choose than a short one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mulberry_types::{LengthClass, Priority, RequestId};

/// Tokens that a workspace of weight 1 earns per round. Only the ratio to other costs matters.
const QUANTUM_TOKENS: u64 = 100;

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
    weight: u64,
    deficit_tokens: u64,

    /// In order of arrival, by priority from low to high.
    by_priority: [VecDeque<QueuedRequest>; 3],
}

/// Bounded fair queue of one entry.
#[derive(Debug)]
pub struct FairQueue {
    max_requests: usize,
    len: usize,
    workspaces: BTreeMap<Arc<str>, WorkspaceQueue>,

    /// Workspace that was served last; the round continues behind it.
    last_served: Option<Arc<str>>,

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
            last_served: None,
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
        let workspace = self.workspaces.entry(Arc::clone(&request.workspace)).or_default();
        workspace.weight = u64::from(request.weight.max(1));
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
            // Workspaces in ring order behind the last served one.
            let mut turns = Vec::new();
            for (name, workspace) in &self.workspaces {
                if let Some((queue, index)) = workspace.first_at(level, now_ms, &mut can_place) {
                    let cost = workspace.by_priority[queue][index].cost_tokens;
                    let behind = self.last_served.as_ref().is_some_and(|last| name <= last);
                    turns.push((workspace.rounds_for(cost), behind, name, queue, index));
                }
            }
            let Some(&(rounds, _, name, queue, index)) =
                turns.iter().min_by_key(|(rounds, behind, name, _, _)| (*rounds, *behind, *name))
            else {
                continue;
            };
            let chosen = Arc::clone(name);
            let names: Vec<Arc<str>> =
                turns.iter().map(|(_, _, name, _, _)| Arc::clone(name)).collect();
            for name in names {
                if let Some(workspace) = self.workspaces.get_mut(&name) {
                    workspace.deficit_tokens += rounds * QUANTUM_TOKENS * workspace.weight;
                }
            }
            return self.take(now_ms, &chosen, queue, index);
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
                let is_late =
                    |queued: &QueuedRequest| now_ms + queued.needed_ms > queued.deadline_ms;
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
        workspace.deficit_tokens = workspace.deficit_tokens.saturating_sub(queued.cost_tokens);
        self.last_served = Some(Arc::clone(name));
        self.len -= 1;
        self.forget_empty();
        if let Some(last_ms) = self.last_popped_ms {
            let gap_ms = now_ms.saturating_sub(last_ms) as f64;
            self.mean_gap_ms += 0.1 * (gap_ms - self.mean_gap_ms);
        }
        self.last_popped_ms = Some(now_ms);
        Some(queued)
    }

    /// A workspace without requests keeps no deficit, or it could save up for a burst.
    fn forget_empty(&mut self) {
        self.workspaces.retain(|_, workspace| !workspace.is_empty());
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

    fn rounds_for(&self, cost_tokens: u64) -> u64 {
        cost_tokens.saturating_sub(self.deficit_tokens).div_ceil(QUANTUM_TOKENS * self.weight)
    }

    fn is_empty(&self) -> bool {
        self.by_priority.iter().all(VecDeque::is_empty)
    }
}
