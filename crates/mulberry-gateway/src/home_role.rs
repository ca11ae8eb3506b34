//! What a gateway does for all as the home of a group: places, and grants of further sends.

use std::sync::Arc;

use mulberry_scheduler::{Decision, GroupCoordinator, JobId, JobSpec};

use crate::home_message::BudgetUse;
use crate::{RetryGrants, RetrySettings};

/// What a home is asked.
#[derive(Debug)]
pub struct Question<'a> {
    pub group: Arc<str>,
    pub job: JobId,
    pub work: &'a JobSpec,
    pub budget: BudgetUse,
}

/// What a home has said.
#[derive(Debug)]
pub struct Said {
    pub decision: Decision,

    /// Part of the group's engines that have been reading lately.
    pub reading_percent: u8,

    /// Whether a further send is granted.
    pub is_granted: bool,
}

/// What this gateway does for all as the home of a group.
#[derive(Debug)]
pub struct HomeRole {
    pub home: GroupCoordinator,
    grants: RetryGrants,
}

impl HomeRole {
    pub fn new(home: GroupCoordinator, retry: RetrySettings) -> HomeRole {
        HomeRole { home, grants: RetryGrants::new(retry) }
    }

    /// Decides as one of `homes`.
    pub fn decide(&mut self, now_ms: u64, question: &Question<'_>, homes: usize) -> Said {
        let Question { job, work, budget, .. } = question;
        if *budget == BudgetUse::Adds && !self.home.contains_job(*job) {
            self.grants.request(now_ms, &work.service);
        }
        let decision = self.home.place(now_ms, *job, work);
        let is_granted = *budget == BudgetUse::Wants
            && decision.is_placed()
            && self.grants.take(now_ms, &work.service, *job, homes);
        let reading_percent = self.home.prefill_load_percent(&work.service);
        Said { decision, reading_percent, is_granted }
    }

    /// Drops what is out of date. False when nobody asks this home any more.
    pub fn expire(&mut self, now_ms: u64, gateways: usize) -> bool {
        self.home.expire(now_ms, gateways);
        self.grants.keep(|job| self.home.contains_job(job));
        !self.home.is_idle(now_ms)
    }
}
