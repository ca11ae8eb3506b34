//! Retry budgets: limits on how many requests may be retried.
//!
//! The limit applies to all gateways together and to every time window, without coordination messages. Each gateway may
//! retry a fixed ratio of its own requests, plus its share of the slack. Failures are distributed unevenly among
//! gateways, so a part of the budget for generation requests is pooled: the home that places requests grants retries in
//! proportion to the requests that it has placed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use mulberry_scheduler::JobId;

use crate::RetrySettings;

/// Number of buckets into which the window is divided.
const BUCKETS: u64 = 10;

/// Shares of the total budget for one kind of budget holder; a holder is a gateway or a home.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Share of the retry ratio, applied to the requests that the holder counts. Each request is counted by one holder
    /// of each kind.
    pub ratio: f64,

    /// Share of the slack, divided among all holders of this kind.
    pub slack: f64,
}

impl BudgetShare {
    /// Shares of gateways for services without homes. The remainder covers gateways that restarted and lost their
    /// counts.
    pub const GATEWAY_ONLY: BudgetShare = BudgetShare { ratio: 0.7, slack: 0.7 };

    /// Shares of gateways for services with homes.
    pub const GATEWAY_WITH_HOME: BudgetShare = BudgetShare { ratio: 0.35, slack: 0.3 };

    /// Shares of homes. Two gateways may act as the home of a group at once or one after the other. Twice this slack,
    /// plus the shares of gateways half of which have restarted, still fits into the total budget.
    pub const HOME: BudgetShare = BudgetShare { ratio: 0.5, slack: 0.25 };
}

/// Retry budget of one holder for one service, over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    share: BudgetShare,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    index: u64,
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

    /// Takes one retry if the budget allows it. `holders` is the number of holders that share the slack.
    /// Returns false if no retry is left.
    pub fn try_take(&mut self, now_ms: u64, holders: usize) -> bool {
        if self.remaining(now_ms, holders) < 1.0 {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Number of retries left if `holders` holders share the slack.
    pub fn remaining(&mut self, now_ms: u64, holders: usize) -> f64 {
        self.bucket(now_ms);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let by_requests = self.share.ratio * self.settings.ratio * requests as f64;
        let slack = self.share.slack * self.settings.slack / holders.max(1) as f64;
        by_requests + slack - retries as f64
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let index = now_ms / (self.settings.window_ms / BUCKETS).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS <= index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Grants the retries of a home's pooled budgets.
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

    /// Grants a retry if the budget allows it. `homes` is the number of homes that share the slack.
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

    /// Forgets the grants of requests that are no longer active.
    pub fn retain(&mut self, is_active: impl Fn(JobId) -> bool) {
        self.granted.retain(|job| is_active(*job));
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let settings = self.settings;
        let budget = || RetryBudget::new(settings, BudgetShare::HOME);
        self.budgets.entry(service.clone()).or_insert_with(budget)
    }
}
