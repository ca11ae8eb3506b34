//! Limits on how many requests may be retried.
//!
//! The budget covers all gateways together and holds in every time window, without messages of its own. Each gateway
//! uses a share of the slack, and the ratio of its own requests. Failures are distributed unevenly, so for generations
//! a part of the budget is pooled: the home that places a request grants retries in proportion to the requests that it
//! has placed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use mulberry_scheduler::JobId;

use crate::RetrySettings;

/// Number of buckets into which the window is divided.
const BUCKETS: u64 = 10;

/// Shares of the budget that one holder (a gateway or a home) may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Share of the retries allowed by the requests that the holder counts. Each request is counted by one holder of a
    /// kind.
    pub ratio: f64,

    /// Share of the slack, divided among all holders of the kind.
    pub slack: f64,
}

impl BudgetShare {
    /// Shares of gateways for services without a home. The rest covers gateways that restarted and lost their counts.
    pub const UNPOOLED: BudgetShare = BudgetShare { ratio: 0.7, slack: 0.7 };

    /// Shares of gateways for services that also have homes.
    pub const OWN: BudgetShare = BudgetShare { ratio: 0.35, slack: 0.3 };

    /// Shares of homes. Two gateways may both act as the home of a group, or one may succeed another. Twice this
    /// slack, plus the own shares of gateways half of which have restarted, still fits into the budget.
    pub const POOL: BudgetShare = BudgetShare { ratio: 0.5, slack: 0.25 };
}

/// Retries of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    share: BudgetShare,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    pub fn new(settings: RetrySettings, share: BudgetShare) -> RetryBudget {
        RetryBudget { settings, share, buckets: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Takes one retry from the budget of one of `holders` holders. Returns false if none is left.
    pub fn try_take(&mut self, now_ms: u64, holders: usize) -> bool {
        if self.remaining(now_ms, holders) < 1.0 {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Number of retries left.
    pub fn remaining(&mut self, now_ms: u64, holders: usize) -> f64 {
        self.bucket(now_ms);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let by_requests = self.share.ratio * self.settings.ratio * requests as f64;
        let slack = self.share.slack * self.settings.slack / holders.max(1) as f64;
        by_requests + slack - retries as f64
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / (self.settings.window_ms / BUCKETS).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.number + BUCKETS <= number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Retries that a home grants.
#[derive(Debug)]
pub struct RetryGrants {
    settings: RetrySettings,
    budgets: HashMap<Arc<str>, RetryBudget>,

    /// Requests that hold a grant, so that a repeated placement request takes no second one.
    granted: HashSet<JobId>,
}

impl RetryGrants {
    pub fn new(settings: RetrySettings) -> RetryGrants {
        RetryGrants { settings, budgets: HashMap::new(), granted: HashSet::new() }
    }

    /// Counts the first placement request for a caller's request.
    pub fn count_request(&mut self, now_ms: u64, service: &Arc<str>) {
        self.budget(service).count_request(now_ms);
    }

    /// Grants a retry if the budget of one of `homes` homes allows it.
    pub fn try_take(&mut self, now_ms: u64, service: &Arc<str>, job: JobId, homes: usize) -> bool {
        if self.granted.contains(&job) {
            return true;
        }
        let is_granted = self.budget(service).try_take(now_ms, homes);
        if is_granted {
            self.granted.insert(job);
        }
        is_granted
    }

    /// Removes the grants of requests that have ended.
    pub fn retain(&mut self, is_known: impl Fn(JobId) -> bool) {
        self.granted.retain(|job| is_known(*job));
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let settings = self.settings;
        let budget = || RetryBudget::new(settings, BudgetShare::POOL);
        self.budgets.entry(service.clone()).or_insert_with(budget)
    }
}
