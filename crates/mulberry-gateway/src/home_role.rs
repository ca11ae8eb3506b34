//! Duties of a gateway as the home of an engine group: placements and grants of retries.

use std::sync::Arc;

use mulberry_scheduler::{Decision, GroupCoordinator, JobId, JobSpec};

use crate::home_message::BudgetUse;
use crate::{RetryGrants, RetrySettings};

/// A request to a home for a placement.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    pub group: Arc<str>,
    pub job: JobId,
    pub work: &'a JobSpec,
    pub budget: BudgetUse,
}

/// A home's reply to a placement request.
#[derive(Debug)]
pub struct PlacementReply {
    pub decision: Decision,

    /// Percentage of the group's engines that have been prefilling recently.
    pub reading_percent: u8,

    /// Whether a retry is granted.
    pub is_granted: bool,
}

/// State of this gateway as the home of a group.
#[derive(Debug)]
pub struct HomeRole {
    pub home: GroupCoordinator,
    grants: RetryGrants,
}

impl HomeRole {
    pub fn new(home: GroupCoordinator, retry: RetrySettings) -> HomeRole {
        HomeRole { home, grants: RetryGrants::new(retry) }
    }

    /// Decides about a placement as one of `homes` homes, which share the budget for retries.
    pub fn decide(
        &mut self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
        homes: usize,
    ) -> PlacementReply {
        let PlacementRequest { job, work, budget, .. } = request;
        if *budget == BudgetUse::CountsRequest && !self.home.contains_job(*job) {
            self.grants.count_request(now_ms, &work.service);
        }
        let decision = self.home.place(now_ms, *job, work);
        let is_granted = *budget == BudgetUse::NeedsGrant
            && decision.is_placed()
            && self.grants.try_take(now_ms, &work.service, *job, homes);
        let reading_percent = self.home.prefill_load_percent(&work.service);
        PlacementReply { decision, reading_percent, is_granted }
    }

    /// Removes expired state. Returns false if no gateway uses this home any more.
    pub fn expire(&mut self, now_ms: u64, gateways: usize) -> bool {
        self.home.expire(now_ms, gateways);
        self.grants.retain(|job| self.home.contains_job(job));
        !self.home.is_idle(now_ms)
    }
}
