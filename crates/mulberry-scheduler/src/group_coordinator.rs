//! Coordinator of a group of engines: one gateway that places the requests of all gateways on the group.
//!
//! In log events the coordinator is called the home of the group.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::{
    ActiveJob, Decision, EngineGroups, EngineInfo, JobId, JobSpec, Outcome, Scheduler,
    SchedulerSettings, ShareReport, TurnStep,
};

/// Share of the cold-start rate limit that a coordinator uses for cold engines. While gateways disagree about the
/// coordinator, a second one uses the same share, and gateways that place independently use 0.4 together; in total that
/// is the 1.5 times the limit that engines tolerate.
const COLD_SHARE: f64 = 0.55;

/// Share of the cold-start rate limit used for engines that are not known to be cold.
const WARM_SHARE: f64 = 0.8;

/// Time for which a coordinator must have been active without interruption before it uses its share for cold engines:
/// the window of the rate limit, which the previous coordinator may have used up.
const COLD_START_DELAY_MS: u64 = 1_000;

/// Maximum time between two messages to an active coordinator. After a longer silence another gateway may have been the
/// coordinator in the meantime. Gateways send their job lists more often.
const MAX_SILENCE_MS: u64 = 1_500;

/// Time without a job list after which the requests of a gateway are removed.
const LIST_EXPIRY_MS: u64 = 2_500;

/// Engines of a service, as known to all gateways.
#[derive(Debug)]
pub struct ServiceEngines {
    pub service: Arc<str>,
    pub profile: EngineProfile,
    pub cold: Option<ColdStartLimit>,
    pub engines: Vec<EngineInfo>,

    /// Whether workspaces share the engines while they do not suffice.
    pub has_shares: bool,
}

impl ServiceEngines {
    /// The engines of one group.
    pub fn for_group(&self, groups: EngineGroups, group: &Arc<str>) -> ServiceEngines {
        let is_of_group = |engine: &&EngineInfo| groups.group_of(&engine.zone) == *group;
        ServiceEngines {
            service: self.service.clone(),
            profile: self.profile.clone(),
            cold: self.cold,
            engines: self.engines.iter().filter(is_of_group).cloned().collect(),
            has_shares: self.has_shares,
        }
    }
}

/// Coordinator of a group of engines.
#[derive(Debug)]
pub struct GroupCoordinator {
    scheduler: Scheduler,

    /// Time of the last job list of each gateway.
    listed_at_ms: HashMap<u64, u64>,

    /// Start of the current period of uninterrupted activity as coordinator.
    active_since_ms: u64,

    last_message_ms: u64,
}

impl GroupCoordinator {
    pub fn new(settings: SchedulerSettings, now_ms: u64) -> GroupCoordinator {
        GroupCoordinator {
            scheduler: Scheduler::new(settings),
            listed_at_ms: HashMap::new(),
            active_since_ms: now_ms,
            last_message_ms: now_ms,
        }
    }

    /// Sets the engines of the group, by service.
    pub fn set_engines(&mut self, now_ms: u64, services: &[ServiceEngines]) {
        for service in services {
            self.scheduler.set_engines(
                now_ms,
                &service.service,
                &service.profile,
                service.cold,
                &service.engines,
            );
            self.scheduler.set_shares(&service.service, service.has_shares);
        }
        let kept = services.iter().map(|service| service.service.clone()).collect();
        self.scheduler.retain_services(&kept);
    }

    /// Places a request. A repeated call for the same job returns the same placement, since the first reply may still
    /// be in transit.
    pub fn place(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) -> Decision {
        self.record_message(now_ms);
        if let Some(placement) = self.scheduler.placement(job) {
            return Decision::Placed(placement);
        }
        self.scheduler.set_cold_start_shares(self.cold_share(now_ms), WARM_SHARE);
        self.scheduler.set_cold_starts_from(self.active_since_ms + COLD_START_DELAY_MS);
        self.scheduler.place(now_ms, job, spec)
    }

    pub fn first_event(&mut self, job: JobId) {
        self.scheduler.first_event(job);
    }

    pub fn finish(&mut self, now_ms: u64, job: JobId, outcome: Outcome) {
        self.scheduler.finish(now_ms, job, outcome);
    }

    /// Synchronises with the list of a gateway's requests. Returns those that are not known here; see
    /// [`Scheduler::retain_jobs`].
    pub fn sync_jobs(
        &mut self,
        now_ms: u64,
        gateway: u64,
        up_to: u64,
        numbers: &[u64],
    ) -> Vec<u64> {
        self.record_message(now_ms);
        self.listed_at_ms.insert(gateway, now_ms);
        self.scheduler.retain_jobs(gateway, up_to, numbers)
    }

    pub fn add_active_job(&mut self, now_ms: u64, gateway: u64, job: &ActiveJob) {
        self.scheduler.add_active_job(now_ms, gateway, job);
    }

    /// Returns what happened to turns; see [`Scheduler::take_turn_steps`].
    pub fn take_turn_steps(&mut self) -> Vec<(u64, TurnStep)> {
        self.scheduler.take_turn_steps()
    }

    /// Number of turns that are kept for refused requests.
    pub fn turn_count(&self) -> usize {
        self.scheduler.turn_count()
    }

    /// Removes the requests of gateways that no longer send lists, and the turns of callers that have not returned.
    pub fn expire(&mut self, now_ms: u64) {
        self.scheduler.expire_turns(now_ms);
        self.listed_at_ms.retain(|_, at_ms| *at_ms + LIST_EXPIRY_MS > now_ms);
        let alive: HashSet<u64> = self.listed_at_ms.keys().copied().collect();
        self.scheduler.retain_gateways(&alive);
    }

    /// Whether a request is known here.
    pub fn contains_job(&self, job: JobId) -> bool {
        self.scheduler.contains_job(job)
    }

    /// Whether there has been no message for so long that another gateway has become the coordinator.
    pub fn is_idle(&self, now_ms: u64) -> bool {
        self.last_message_ms + LIST_EXPIRY_MS < now_ms
    }

    /// Use of a service's engines by the `count` heaviest workspaces; `None` if the engines are not divided.
    pub fn share_report(
        &mut self,
        now_ms: u64,
        service: &str,
        count: usize,
    ) -> Option<ShareReport> {
        self.scheduler.share_report(now_ms, service, count)
    }

    /// Recent prefill load of a service's engines, in percent.
    pub fn prefill_load_percent(&self, service: &str) -> u8 {
        self.scheduler.prefill_load_percent(service)
    }

    /// Share of the cold-start rate limit that may be used now.
    fn cold_share(&self, now_ms: u64) -> f64 {
        if now_ms - self.active_since_ms < COLD_START_DELAY_MS { 0.0 } else { COLD_SHARE }
    }

    /// Records the arrival of a message. Silence is measured between messages, so that it also covers a pause of this
    /// process, during which another gateway may have been the coordinator.
    fn record_message(&mut self, now_ms: u64) {
        if self.last_message_ms + MAX_SILENCE_MS < now_ms {
            self.active_since_ms = now_ms;
        }
        self.last_message_ms = now_ms;
    }
}
