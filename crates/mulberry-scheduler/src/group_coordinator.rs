//! The home of a group of engines: what one gateway decides for all.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::{
    ActiveJob, Decision, EngineGroups, EngineInfo, JobId, JobSpec, Outcome, Scheduler,
    SchedulerSettings,
};

/// Part of the limit for cold engines that a home uses to which most gateways send their lists. The limit may be
/// exceeded by half: so much that such a home, another one, and the gateways that decide alone stay within it together
/// while gateways disagree about the home.
const COLD_SHARE_OF_MOST: f64 = 0.75;

/// The same for a home to which fewer turn.
const COLD_SHARE_OF_FEW: f64 = 0.55;

/// The same for engines that are not known to be cold.
const WARM_SHARE: f64 = 0.8;

/// Time for which a gateway must have been asked, without a longer pause, before it uses its part for cold engines: the
/// window of their limit, which the home before may have used up.
const FIRST_START_MS: u64 = 1_000;

/// The same before it uses the part of a home to which most turn: until then the lists of those that have left the home
/// before no longer count there.
const MOST_START_MS: u64 = 3_000;

/// Time for which a list says that its gateway turns to this home; gateways send one at least every 1.2 s.
const TURNED_MS: u64 = 1_500;

/// Longest pause in what a home hears; after a longer one another gateway may have been asked meanwhile. Gateways list
/// their requests more often.
const MAX_PAUSE_MS: u64 = 1_500;

/// Time without a list after which the requests of a gateway no longer count.
const LIST_LIFE_MS: u64 = 2_500;

/// Engines of a service, as all gateways know them.
#[derive(Debug)]
pub struct ServiceEngines {
    pub service: Arc<str>,
    pub profile: EngineProfile,
    pub cold: Option<ColdStartLimit>,
    pub engines: Vec<EngineInfo>,
}

impl ServiceEngines {
    /// Those of one group.
    pub fn for_group(&self, groups: EngineGroups, group: &Arc<str>) -> ServiceEngines {
        let is_of_group = |engine: &&EngineInfo| groups.group_of(&engine.zone) == *group;
        ServiceEngines {
            service: self.service.clone(),
            profile: self.profile.clone(),
            cold: self.cold,
            engines: self.engines.iter().filter(is_of_group).cloned().collect(),
        }
    }
}

/// The home of a group of engines.
#[derive(Debug)]
pub struct GroupCoordinator {
    scheduler: Scheduler,

    /// When each other gateway last sent its list.
    lists: HashMap<u64, u64>,

    /// Since when this gateway has been asked, and when it was last.
    since_ms: u64,
    heard_ms: u64,

    /// Gateways that turn to the home of this group, as far as is known.
    gateways: usize,
}

impl GroupCoordinator {
    pub fn new(settings: SchedulerSettings, now_ms: u64) -> GroupCoordinator {
        GroupCoordinator {
            scheduler: Scheduler::new(settings),
            lists: HashMap::new(),
            since_ms: now_ms,
            heard_ms: now_ms,
            gateways: 0,
        }
    }

    /// Sets the engines of the group, by service.
    pub fn set_engines(&mut self, now_ms: u64, services: &[ServiceEngines]) {
        for of in services {
            self.scheduler.set_engines(now_ms, &of.service, &of.profile, of.cold, &of.engines);
        }
        let kept = services.iter().map(|of| of.service.clone()).collect();
        self.scheduler.retain_services(&kept);
    }

    /// Places a request. A question that comes again gets the same answer: its first one may be on its way.
    pub fn place(&mut self, now_ms: u64, job: JobId, spec: &JobSpec) -> Decision {
        self.hear(now_ms);
        if let Some(placement) = self.scheduler.placement(job) {
            return Decision::Placed(placement);
        }
        self.scheduler.set_cold_start_shares(self.cold_share(now_ms), WARM_SHARE);
        self.scheduler.place(now_ms, job, spec)
    }

    pub fn first_event(&mut self, job: JobId) {
        self.scheduler.first_event(job);
    }

    pub fn finish(&mut self, now_ms: u64, job: JobId, outcome: Outcome) {
        self.scheduler.finish(now_ms, job, outcome);
    }

    /// Takes the list of a gateway's requests. Returns those that are not known here; see
    /// [`Scheduler::retain_jobs`].
    pub fn sync_jobs(
        &mut self,
        now_ms: u64,
        gateway: u64,
        up_to: u64,
        numbers: &[u64],
    ) -> Vec<u64> {
        self.hear(now_ms);
        self.lists.insert(gateway, now_ms);
        self.scheduler.retain_jobs(gateway, up_to, numbers)
    }

    pub fn add_active_job(&mut self, now_ms: u64, gateway: u64, job: &ActiveJob) {
        self.scheduler.add_active_job(now_ms, gateway, job);
    }

    /// Drops the requests of gateways that send no lists any more. `gateways` should send theirs to this home.
    pub fn expire(&mut self, now_ms: u64, gateways: usize) {
        self.gateways = gateways;
        self.lists.retain(|_, at_ms| *at_ms + LIST_LIFE_MS > now_ms);
        let alive: HashSet<u64> = self.lists.keys().copied().collect();
        self.scheduler.retain_gateways(&alive);
    }

    /// Whether a request is placed here.
    pub fn contains_job(&self, job: JobId) -> bool {
        self.scheduler.contains_job(job)
    }

    /// Whether nobody has asked for so long that the home is another gateway's.
    pub fn is_idle(&self, now_ms: u64) -> bool {
        self.heard_ms + LIST_LIFE_MS < now_ms
    }

    /// Part of the engines of a service that have been reading lately, in percent.
    pub fn prefill_load_percent(&self, service: &str) -> u8 {
        self.scheduler.prefill_load_percent(service)
    }

    /// Part of the limit for cold engines that may be used now.
    fn cold_share(&self, now_ms: u64) -> f64 {
        let asked_ms = now_ms - self.since_ms;
        if asked_ms < FIRST_START_MS {
            return 0.0;
        }
        let turned = self.lists.values().filter(|at_ms| **at_ms + TURNED_MS > now_ms).count();
        if asked_ms >= MOST_START_MS && turned * 2 > self.gateways {
            COLD_SHARE_OF_MOST
        } else {
            COLD_SHARE_OF_FEW
        }
    }

    /// Also after a pause of this process others may have asked another gateway, so the pause counts by what was heard.
    fn hear(&mut self, now_ms: u64) {
        if self.heard_ms + MAX_PAUSE_MS < now_ms {
            self.since_ms = now_ms;
        }
        self.heard_ms = now_ms;
    }
}
