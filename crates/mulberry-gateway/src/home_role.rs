//! State of a gateway that acts as the home of an engine group: it places requests and grants retries.

use std::sync::Arc;

use mulberry_scheduler::{Decision, GroupCoordinator, JobId, JobSpec};

use crate::home_message::BudgetEffect;
use crate::{RetryGrants, RetrySettings};

/// Asks a home to place a request.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    pub group: Arc<str>,
    pub job: JobId,
    pub spec: &'a JobSpec,
    pub budget_effect: BudgetEffect,
}

/// A home's reply to a placement request.
#[derive(Debug)]
pub struct PlacementReply {
    pub decision: Decision,

    /// Percentage of the group's engines that have been prefilling recently.
    pub prefill_load_percent: u8,

    /// Whether a retry is granted.
    pub is_granted: bool,
}

/// State of this gateway as the home of a group.
#[derive(Debug)]
pub struct HomeRole {
    pub coordinator: GroupCoordinator,
    grants: RetryGrants,
}

impl HomeRole {
    pub fn new(coordinator: GroupCoordinator, retry: RetrySettings) -> HomeRole {
        HomeRole { coordinator, grants: RetryGrants::new(retry) }
    }

    /// Places a request and decides whether a retry is granted. `homes` is the number of homes that share the retry
    /// budget.
    pub fn decide(
        &mut self,
        now_ms: u64,
        request: &PlacementRequest<'_>,
        homes: usize,
    ) -> PlacementReply {
        let PlacementRequest { job, spec, budget_effect, .. } = request;
        if *budget_effect == BudgetEffect::CountsRequest && !self.coordinator.contains_job(*job) {
            self.grants.count_request(now_ms, &spec.service);
        }
        let decision = self.coordinator.place(now_ms, *job, spec);
        let is_granted = *budget_effect == BudgetEffect::NeedsGrant
            && decision.is_placed()
            && self.grants.try_take(now_ms, &spec.service, *job, homes);
        let prefill_load_percent = self.coordinator.prefill_load_percent(&spec.service);
        PlacementReply { decision, prefill_load_percent, is_granted }
    }

    /// Removes expired state. Returns false if no gateway uses this home any more.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        self.coordinator.expire(now_ms);
        self.grants.retain(|job| self.coordinator.contains_job(job));
        !self.coordinator.is_idle(now_ms)
    }
}
