//! Placement of generation requests on engines.
//!
//! Each engine group has a home: one gateway that places requests in the group on behalf of all gateways. The home is
//! the active gateway with the longest uptime; if the engines of each availability zone form a group, only the gateways
//! of that zone are considered. The home knows every request placed in its group, so its scheduler knows what each
//! engine is prefilling and decoding.
//!
//! If the home does not reply in time, a gateway places the request locally, based on its own requests only, and treats
//! the gateway with the next longest uptime as the home for a while. Which gateway decides affects only the quality of
//! placements, not their correctness: engines reject duplicate requests themselves, and cold engines are not overloaded
//! because homes and locally deciding gateways each use only a share of the cold-start limit.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_routes::RouteTable;
use mulberry_scheduler::{
    ActiveJob, Decision, EngineGroups, EngineInfo, GroupCoordinator, GroupLoads, JobId, JobSpec,
    Outcome, Placement, Scheduler, SchedulerSettings, ServiceEngines, TurnStep,
};
use rand::Rng as _;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::home_message::{BudgetEffect, HomeMessage};
use crate::home_role::{HomeRole, PlacementReply, PlacementRequest};
use crate::metrics::{PlacementLabels, TurnLabels};
use crate::placed_job::PlacedJob;
use crate::share_metrics::LISTED_WORKSPACES;
use crate::shared::Shared;
use crate::{FleetView, GatewaySettings, RetrySettings, TargetHealth};

/// Time to wait for the home's reply before the request is sent again.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Time to wait for a reply to the second request.
const SECOND_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which no placement requests are sent to a gateway that did not reply.
const UNRESPONSIVE_HOME_BACKOFF_MS: u64 = 1_500;

/// Maximum number of groups tried for a request while those tried so far would miss its latency objective.
const MAX_LATE_GROUPS: usize = 2;

/// Maximum number of groups tried for a request while those tried so far refuse it.
const MAX_REFUSING_GROUPS: usize = 3;

/// Interval at which the numbers of the active requests are sent to the home.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);

/// Number of gateways that may sync their active requests with one home in every interval. With more gateways, each
/// skips some intervals.
const SYNCS_PER_INTERVAL: usize = 24;

/// Maximum number of intervals between two syncs, so that one datagram may be lost before the home drops the gateway's
/// requests.
const MAX_SYNC_INTERVALS: usize = 3;

/// Maximum number of groups for which one gateway acts as the home. Only forged or misrouted datagrams name more.
const MAX_HOMES: usize = 64;

/// Maximum length of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Maximum number of excluded engines in a placement request to a home.
const MAX_EXCLUDED: usize = 40;

/// Share of the cold-start limit of cold engines that all gateways together may use for local placements.
const LOCAL_COLD_SHARE: f64 = 0.4;

/// Like [`LOCAL_COLD_SHARE`], for engines that are not known to be cold.
const LOCAL_WARM_SHARE: f64 = 1.2;

/// Places generation requests on engines, as the home of a group or by asking the home.
#[derive(Debug)]
pub(crate) struct Placer {
    incarnation: u64,
    name: Arc<str>,
    zone: Arc<str>,
    settings: SchedulerSettings,
    retry: RetrySettings,
    socket: Rc<UdpSocket>,

    /// Tracks only this gateway's own requests, at all engines.
    local_scheduler: RefCell<Scheduler>,

    /// State of the groups for which this gateway is the home or was recently, by group.
    home_roles: RefCell<HashMap<Arc<str>, HomeRole>>,

    /// Usable engines by service.
    services: RefCell<Vec<ServiceEngines>>,

    groups: Cell<EngineGroups>,
    loads: RefCell<GroupLoads>,
    jobs: RefCell<BTreeMap<u64, LocalJob>>,
    next_number: Cell<u64>,
    pending_replies: RefCell<HashMap<u64, oneshot::Sender<PlacementReply>>>,

    /// Time until which a gateway that did not reply is not treated as a home, by incarnation.
    unresponsive_until_ms: RefCell<HashMap<u64, u64>>,

    /// Value of [`FleetView::gateway_changes`] for which the cached ranks at the engines were computed.
    ranked_at_change: Cell<u64>,
}

/// A placed request of this gateway.
#[derive(Debug)]
struct LocalJob {
    active: ActiveJob,

    /// Availability zone of its engine.
    zone: Arc<str>,
}

/// The home with which active requests were last synced, and the intervals until the next sync.
#[derive(Debug, Clone, Copy)]
struct SyncSchedule {
    home: u64,
    intervals_left: usize,
}

impl Placer {
    pub(crate) fn new(
        settings: &GatewaySettings,
        incarnation: u64,
        socket: Rc<UdpSocket>,
    ) -> Placer {
        Placer {
            incarnation,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            settings: settings.scheduler.clone(),
            retry: settings.retry,
            socket,
            local_scheduler: RefCell::new(Scheduler::new(SchedulerSettings {
                // Only a home knows the room that others need.
                keeps_turns: false,
                ..settings.scheduler.clone()
            })),
            home_roles: RefCell::default(),
            services: RefCell::default(),
            groups: Cell::default(),
            loads: RefCell::default(),
            jobs: RefCell::default(),
            next_number: Cell::new(1),
            pending_replies: RefCell::default(),
            unresponsive_until_ms: RefCell::default(),
            ranked_at_change: Cell::default(),
        }
    }

    /// Updates the usable engines in the local scheduler and in all homes.
    pub(crate) fn set_engines(
        &self,
        now_ms: u64,
        table: &RouteTable,
        fleet: &FleetView,
        health: &TargetHealth,
    ) {
        let is_reachable = |id: &str| {
            fleet.silent_since_ms(id).is_none_or(|since| health.has_served_since(since, id))
        };
        let mut services = Vec::new();
        let mut known: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for service in &table.config().services {
            let Some(profile) = &service.engine else { continue };
            for record in fleet.present(&service.name) {
                *known.entry(record.zone.clone()).or_default() += 1;
            }
            let engines = fleet
                .usable(&service.name)
                .filter(|record| is_reachable(&record.id))
                .map(|record| EngineInfo {
                    id: record.id.clone(),
                    zone: record.zone.clone(),
                    cold_remaining_ms: fleet.cold_left_ms(now_ms, &record.id),
                })
                .collect();
            services.push(ServiceEngines {
                service: service.name.clone(),
                profile: profile.clone(),
                cold: service.cold,
                engines,
                has_shares: table.ranks_routes_of(&service.name),
            });
        }
        let groups = EngineGroups::for_zones(&known);
        if groups != self.groups.replace(groups) {
            tracing::info!(event = "groups_changed", groups = ?groups, engines = ?known);
        }
        let mut local_scheduler = self.local_scheduler.borrow_mut();
        for service in &services {
            local_scheduler.set_engines(
                now_ms,
                &service.service,
                &service.profile,
                service.cold,
                &service.engines,
            );
            local_scheduler.set_shares(&service.service, service.has_shares);
        }
        local_scheduler.retain_services(
            &services.iter().map(|service| service.service.clone()).collect::<HashSet<_>>(),
        );
        for (group, role) in self.home_roles.borrow_mut().iter_mut() {
            role.coordinator.set_engines(now_ms, &engines_of(groups, group, &services));
        }
        let before = self.services.replace(services);
        self.log_changed_shares(&before);
    }

    /// Logs the services whose engines are now divided among workspaces, and those that no longer are.
    fn log_changed_shares(&self, before: &[ServiceEngines]) {
        for service in self.services.borrow().iter() {
            let earlier = before.iter().find(|earlier| earlier.service == service.service);
            if earlier.is_some_and(|earlier| earlier.has_shares) != service.has_shares {
                tracing::info!(
                    event = "shares_changed",
                    service = %service.service,
                    has_shares = service.has_shares
                );
            }
        }
    }

    /// Places a generation request. `budget_effect` is that on the first group that is asked.
    pub(crate) async fn place(
        shared: &Rc<Shared>,
        spec: JobSpec,
        mut budget_effect: BudgetEffect,
    ) -> Result<PlacedJob, Decision> {
        let placer = &shared.placer;
        let start = tokio::time::Instant::now();
        let own_group = placer.groups.get().group_of(&placer.zone);
        let mut best = placer.place_in_group(shared, &own_group, &spec, budget_effect).await;
        let mut tried_groups = vec![own_group];
        while best.decided_by != "alone" && !best.decision.has_slo_margin(&spec) {
            let max_groups =
                if best.decision.is_placed() { MAX_LATE_GROUPS } else { MAX_REFUSING_GROUPS };
            let other = placer.next_group(shared, &tried_groups, &best.decision, &spec.service);
            let Some(other) = other.filter(|_| tried_groups.len() < max_groups) else { break };
            budget_effect = budget_effect.for_next_group();
            // The caller returns to the first group, so only its home gives a turn.
            let spec = spec.without_retry_key();
            let next = placer.place_in_group(shared, &other, &spec, budget_effect).await;
            tried_groups.push(other);
            let is_better =
                next.decided_by != "alone" && next.decision.is_sooner_than(&best.decision);
            let discarded = if is_better { std::mem::replace(&mut best, next) } else { next };
            placer.cancel_unused(shared, &discarded);
        }
        let GroupDecision { number, decision, decided_by, is_granted, .. } = best;
        let decision = match decision {
            Decision::Placed(placement) => {
                let unusable = unusable_engines(shared, &placement);
                if unusable.is_empty() {
                    Decision::Placed(placement)
                } else {
                    // The home does not know yet that these engines are leaving or have asked this gateway for a pause.
                    let mut spec = spec.clone();
                    spec.excluded.extend(unusable);
                    placer.decide_locally(shared, placer.job_id(number), &spec)
                }
            }
            Decision::NoEngine if decided_by == "home" => {
                placer.decide_locally(shared, placer.job_id(number), &spec)
            }
            decision => decision,
        };
        shared.metrics.placement_seconds.observe(start.elapsed().as_secs_f64());
        let label = match &decision {
            Decision::Placed(_) => "placed",
            Decision::Refused(_) => "refused",
            Decision::NoEngine => "no_engine",
        };
        let labels = PlacementLabels { decided_by, decision: label };
        shared.metrics.placements.get_or_create(&labels).inc();
        let Decision::Placed(placement) = decision else { return Err(decision) };
        let active = ActiveJob {
            number,
            spec,
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
            is_decoding: false,
        };
        placer.local_scheduler.borrow_mut().add_active_job(
            shared.now_ms(),
            placer.incarnation,
            &active,
        );
        let zone = shared.fleet.borrow().get(&placement.engine).map(|record| record.zone.clone());
        let job = LocalJob { active, zone: zone.unwrap_or_else(|| placer.zone.clone()) };
        placer.jobs.borrow_mut().insert(number, job);
        Ok(PlacedJob::new(shared, number, placement, decided_by, is_granted))
    }

    fn job_id(&self, number: u64) -> JobId {
        JobId { gateway: self.incarnation, number }
    }

    /// Places a request in a group: by asking its home, as the home if this gateway is it, or locally if the home does
    /// not reply.
    async fn place_in_group(
        &self,
        shared: &Shared,
        group: &Arc<str>,
        spec: &JobSpec,
        budget_effect: BudgetEffect,
    ) -> GroupDecision {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = PlacementRequest {
            group: group.clone(),
            job: self.job_id(number),
            spec,
            budget_effect,
        };
        let (reply, decided_by) = match self.remote_home(shared, group) {
            // The request would not fit a datagram.
            Some(_) if spec.excluded.len() > MAX_EXCLUDED => (None, "alone"),
            Some(home) => match self.ask_home(shared, home, &request).await {
                Some(reply) => (Some(reply), "home"),
                None => (None, "alone"),
            },
            None => match self.decide_as_home(shared, &request) {
                Some(reply) => (Some(reply), "self"),
                None => (None, "alone"),
            },
        };
        let (decision, is_granted) = match reply {
            Some(PlacementReply { decision, prefill_load_percent, is_granted }) => {
                self.loads.borrow_mut().record(
                    shared.now_ms(),
                    group,
                    &decision,
                    prefill_load_percent,
                );
                (decision, is_granted)
            }
            None => (self.decide_locally(shared, request.job, spec), false),
        };
        GroupDecision { number, group: group.clone(), decision, decided_by, is_granted }
    }

    /// Returns another group that may serve the request sooner than `decision`, the best decision of `tried_groups`.
    fn next_group(
        &self,
        shared: &Shared,
        tried_groups: &[Arc<str>],
        decision: &Decision,
        service: &str,
    ) -> Option<Arc<str>> {
        let groups = self.groups.get();
        let mut usable: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let services = self.services.borrow();
        let matching = services.iter().filter(|engines| &*engines.service == service);
        for engine in matching.flat_map(|service| &service.engines) {
            *usable.entry(groups.group_of(&engine.zone)).or_default() += 1;
        }
        let random = rand::rng().random_range(0.0..1.0);
        let is_refused = !decision.is_placed();
        self.loads.borrow().choose_fallback(
            shared.now_ms(),
            tried_groups,
            is_refused,
            &usable,
            random,
        )
    }

    /// Cancels a placement that will not be used, at the home that made it.
    fn cancel_unused(&self, shared: &Shared, discarded: &GroupDecision) {
        if discarded.decision.is_placed() {
            self.send_finish(shared, &discarded.group, discarded.number, Outcome::Rejected);
        }
    }

    /// Incarnation and address of the home of a group; `None` if this gateway is the home.
    fn remote_home(&self, shared: &Shared, group: &str) -> Option<(u64, SocketAddr)> {
        let now_ms = shared.now_ms();
        let fleet = shared.fleet.borrow();
        let unresponsive_until_ms = self.unresponsive_until_ms.borrow();
        let is_eligible =
            |incarnation| unresponsive_until_ms.get(&incarnation).is_none_or(|at| *at <= now_ms);
        // If no gateway is left in the group's zone, the one with the longest uptime in any zone is the home.
        let home = fleet
            .gateways()
            .filter(|gateway| gateway.is_active && is_eligible(gateway.incarnation))
            .min_by_key(|gateway| {
                let is_other_zone = !group.is_empty() && &*gateway.zone != group;
                (is_other_zone, gateway.started_ms, gateway.name.clone())
            })?;
        (home.incarnation != self.incarnation).then_some((home.incarnation, home.address))
    }

    async fn ask_home(
        &self,
        shared: &Shared,
        (gateway, address): (u64, SocketAddr),
        request: &PlacementRequest<'_>,
    ) -> Option<PlacementReply> {
        let (sender, mut receiver) = oneshot::channel();
        let PlacementRequest { group, job, spec, budget_effect } = request;
        self.pending_replies.borrow_mut().insert(job.number, sender);
        let request = HomeMessage::Place {
            group: group.clone(),
            job: *job,
            spec: (*spec).clone(),
            budget_effect: *budget_effect,
            origin: spec.origin.clone(),
        };
        for wait in [FIRST_REPLY_TIMEOUT, SECOND_REPLY_TIMEOUT] {
            self.send(address, &request);
            if let Ok(reply) = timeout(wait, &mut receiver).await {
                return reply.ok();
            }
        }
        self.pending_replies.borrow_mut().remove(&job.number);
        tracing::warn!(
            event = "home_silent",
            home = %address,
            group = %group,
            job = job.number,
            waited_ms = (FIRST_REPLY_TIMEOUT + SECOND_REPLY_TIMEOUT).as_millis()
        );
        self.unresponsive_until_ms
            .borrow_mut()
            .insert(gateway, shared.now_ms() + UNRESPONSIVE_HOME_BACKOFF_MS);
        None
    }

    /// Runs `f` on the home role for a group, which is created if needed. Returns `None` if this gateway is already
    /// the home of [`MAX_HOMES`] other groups.
    fn with_home_role<T>(
        &self,
        now_ms: u64,
        group: &Arc<str>,
        f: impl FnOnce(&mut HomeRole) -> T,
    ) -> Option<T> {
        let mut home_roles = self.home_roles.borrow_mut();
        if home_roles.len() >= MAX_HOMES && !home_roles.contains_key(group) {
            tracing::warn!(event = "home_not_begun", homes = home_roles.len());
            return None;
        }
        let role = home_roles.entry(group.clone()).or_insert_with(|| {
            tracing::info!(event = "home_begun", group = %group);
            let mut coordinator = GroupCoordinator::new(self.settings.clone(), now_ms);
            let services = self.services.borrow();
            coordinator.set_engines(now_ms, &engines_of(self.groups.get(), group, &services));
            HomeRole::new(coordinator, self.retry)
        });
        Some(f(role))
    }

    /// Runs `f` on the coordinator of a group if this gateway is its home. Unlike a placement request, a report about a
    /// request does not make this gateway the home.
    fn with_existing_coordinator(&self, group: &str, f: impl FnOnce(&mut GroupCoordinator)) {
        if let Some(role) = self.home_roles.borrow_mut().get_mut(group) {
            f(&mut role.coordinator);
        }
    }

    fn decide_as_home(
        &self,
        shared: &Shared,
        request: &PlacementRequest<'_>,
    ) -> Option<PlacementReply> {
        let now_ms = shared.now_ms();
        let homes = self.group_count();
        let (reply, steps) = self.with_home_role(now_ms, &request.group, |role| {
            let reply = role.decide(now_ms, request, homes);
            (reply, role.coordinator.take_turn_steps())
        })?;
        record_turn_steps(shared, &request.group, &steps);
        if reply.decision.share_use().is_some() {
            shared.metrics.shares.count_refusal(&request.spec.origin.workspace);
        }
        Some(reply)
    }

    /// Number of engine groups, at least 1.
    fn group_count(&self) -> usize {
        let groups = self.groups.get();
        let services = self.services.borrow();
        let engines = services.iter().flat_map(|service| &service.engines);
        let names: HashSet<Arc<str>> =
            engines.map(|engine| groups.group_of(&engine.zone)).collect();
        names.len().max(1)
    }

    fn decide_locally(&self, shared: &Shared, job: JobId, spec: &JobSpec) -> Decision {
        let fleet = shared.fleet.borrow();
        let mut local_scheduler = self.local_scheduler.borrow_mut();
        if self.ranked_at_change.replace(fleet.gateway_changes()) != fleet.gateway_changes() {
            local_scheduler.clear_ranks();
        }
        let gateways = u32::try_from(fleet.sharing_gateways()).unwrap_or(u32::MAX);
        local_scheduler.divide_cold_start_limit(
            LOCAL_COLD_SHARE,
            LOCAL_WARM_SHARE,
            gateways,
            |engine| fleet.rank_at(engine, &self.name),
        );
        local_scheduler.place(shared.now_ms(), job, spec)
    }

    pub(crate) fn first_event(&self, shared: &Shared, number: u64) {
        let job = self.job_id(number);
        self.local_scheduler.borrow_mut().first_event(job);
        let mut jobs = self.jobs.borrow_mut();
        let Some(job_entry) = jobs.get_mut(&number) else { return };
        job_entry.active.is_decoding = true;
        let group = self.groups.get().group_of(&job_entry.zone);
        match self.remote_home(shared, &group) {
            Some((_, address)) => self.send(address, &HomeMessage::FirstEvent { group, job }),
            None => {
                self.with_existing_coordinator(&group, |coordinator| coordinator.first_event(job));
            }
        }
    }

    pub(crate) fn finish(&self, shared: &Shared, number: u64, outcome: Outcome) {
        self.local_scheduler.borrow_mut().finish(shared.now_ms(), self.job_id(number), outcome);
        let Some(job_entry) = self.jobs.borrow_mut().remove(&number) else { return };
        let group = self.groups.get().group_of(&job_entry.zone);
        self.send_finish(shared, &group, number, outcome);
    }

    fn send_finish(&self, shared: &Shared, group: &Arc<str>, number: u64, outcome: Outcome) {
        let job = self.job_id(number);
        match self.remote_home(shared, group) {
            Some((_, address)) => {
                let group = group.clone();
                self.send(address, &HomeMessage::Finish { group, job, outcome });
            }
            None => {
                let now_ms = shared.now_ms();
                self.with_existing_coordinator(group, |coordinator| {
                    coordinator.finish(now_ms, job, outcome);
                });
            }
        }
    }

    pub(crate) fn send(&self, address: SocketAddr, message: &HomeMessage) {
        self.send_to_all([address], message);
    }

    /// Sends the same message to several gateways.
    pub(crate) fn send_to_all(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        message: &HomeMessage,
    ) {
        match postcard::to_stdvec(message) {
            // A lost datagram is made up for by the next sync of active requests, digest or view.
            Ok(bytes) => {
                for address in addresses {
                    if let Err(error) = self.socket.try_send_to(&bytes, address) {
                        tracing::debug!(event = "datagram_not_sent", to = %address, %error);
                    }
                }
            }
            Err(error) => tracing::error!(event = "datagram_not_encoded", %error),
        }
    }

    fn receive(&self, shared: &Shared, from: SocketAddr, message: HomeMessage) {
        let now_ms = shared.now_ms();
        match message {
            HomeMessage::Place { group, job, spec, budget_effect, origin } => {
                let spec = JobSpec { origin, ..spec };
                let request = PlacementRequest { group, job, spec: &spec, budget_effect };
                let Some(reply) = self.decide_as_home(shared, &request) else { return };
                let PlacementReply { decision, prefill_load_percent, is_granted } = reply;
                let share = decision.share_use();
                self.send(
                    from,
                    &HomeMessage::PlaceReply {
                        number: job.number,
                        decision,
                        prefill_load_percent,
                        is_granted,
                        share,
                    },
                );
            }
            HomeMessage::PlaceReply {
                number,
                mut decision,
                prefill_load_percent,
                is_granted,
                share,
            } => {
                if let Decision::Refused(refusal) = &mut decision {
                    refusal.share = share;
                }
                if let Some(sender) = self.pending_replies.borrow_mut().remove(&number) {
                    let _ =
                        sender.send(PlacementReply { decision, prefill_load_percent, is_granted });
                }
            }
            HomeMessage::FirstEvent { group, job } => {
                self.with_existing_coordinator(&group, |coordinator| coordinator.first_event(job));
            }
            HomeMessage::Finish { group, job, outcome } => {
                if matches!(outcome, Outcome::Failed | Outcome::Disconnected) {
                    tracing::info!(
                        event = "failure_reported",
                        group = %group,
                        gateway = %from,
                        job = job.number,
                        outcome = ?outcome
                    );
                }
                self.with_existing_coordinator(&group, |coordinator| {
                    coordinator.finish(now_ms, job, outcome);
                });
            }
            HomeMessage::ActiveJobs { group, gateway, up_to, numbers } => {
                let unknown = self.with_home_role(now_ms, &group, |role| {
                    role.coordinator.sync_jobs(now_ms, gateway, up_to, &numbers)
                });
                if let Some(numbers) = unknown.filter(|unknown| !unknown.is_empty()) {
                    self.send(from, &HomeMessage::UnknownJobs { group, numbers });
                }
            }
            HomeMessage::UnknownJobs { group, numbers } => {
                let jobs = self.jobs.borrow();
                for job in numbers.iter().filter_map(|number| jobs.get(number)) {
                    let (group, gateway) = (group.clone(), self.incarnation);
                    let job = job.active.clone();
                    let origin = job.spec.origin.clone();
                    self.send(from, &HomeMessage::JobDescription { group, gateway, job, origin });
                }
            }
            HomeMessage::JobDescription { group, gateway, mut job, origin } => {
                job.spec.origin = origin;
                self.with_existing_coordinator(&group, |coordinator| {
                    coordinator.add_active_job(now_ms, gateway, &job);
                });
            }
            HomeMessage::LoadDigest(digest) => shared.capacity.receive_digest(shared, &digest),
            HomeMessage::CapacityView(view) => shared.capacity.receive_view(shared, view),
        }
    }

    /// Receives datagrams until the task is dropped.
    pub(crate) async fn run_receiver(shared: Rc<Shared>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match shared.placer.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match HomeMessage::decode(&buffer[..length]) {
                    Ok(message) => shared.placer.receive(&shared, from, message),
                    Err(error) => {
                        tracing::warn!(event = "datagram_unreadable", from = %from, %error);
                    }
                },
                Err(error) => {
                    tracing::warn!(event = "datagrams_failed", %error);
                    tokio::time::sleep(SYNC_INTERVAL).await;
                }
            }
        }
    }

    /// Periodically syncs active requests with homes, removes expired state and updates gauges until the task is
    /// dropped.
    pub(crate) async fn run_maintenance(shared: Rc<Shared>) {
        let mut schedules: HashMap<Arc<str>, SyncSchedule> = HashMap::new();
        loop {
            tokio::time::sleep(SYNC_INTERVAL).await;
            let placer = &shared.placer;
            placer.sync_active_jobs(&shared, &mut schedules);
            let now_ms = shared.now_ms();
            let mut turns = 0;
            placer.home_roles.borrow_mut().retain(|group, role| {
                let is_in_use = role.expire(now_ms);
                turns += role.coordinator.turn_count();
                record_turn_steps(&shared, group, &role.coordinator.take_turn_steps());
                if !is_in_use {
                    tracing::info!(event = "home_ended", group = %group);
                }
                is_in_use
            });
            placer.update_share_metrics(&shared);
            shared.metrics.turns.set(i64::try_from(turns).unwrap_or(i64::MAX));
            shared.refresh_engines();
            shared.update_gauges();
            shared.expire_parts();
            shared.fleet.borrow_mut().expire_leaving();
            let fleet = shared.fleet.borrow();
            shared.pool.close_expired(|id| fleet.is_present(id));
            shared.health.borrow_mut().retain(|id| fleet.is_present(id));
        }
    }

    /// Sends each home the numbers of this gateway's active requests in its group. The home of the gateway's own zone
    /// gets a message even if there are none.
    fn sync_active_jobs(&self, shared: &Shared, schedules: &mut HashMap<Arc<str>, SyncSchedule>) {
        let now_ms = shared.now_ms();
        let groups = self.groups.get();
        let mut numbers: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        numbers.insert(groups.group_of(&self.zone), Vec::new());
        for (number, job) in self.jobs.borrow().iter() {
            numbers.entry(groups.group_of(&job.zone)).or_default().push(*number);
        }
        let up_to = self.next_number.get() - 1;
        let intervals = sync_period_intervals(self.gateways_with_same_home(shared));
        schedules.retain(|group, _| numbers.contains_key(group));
        for (group, numbers) in numbers {
            let Some((home, address)) = self.remote_home(shared, &group) else {
                schedules.remove(&group);
                self.with_home_role(now_ms, &group, |role| {
                    let unknown =
                        role.coordinator.sync_jobs(now_ms, self.incarnation, up_to, &numbers);
                    let jobs = self.jobs.borrow();
                    for job in unknown.iter().filter_map(|number| jobs.get(number)) {
                        role.coordinator.add_active_job(now_ms, self.incarnation, &job.active);
                    }
                });
                continue;
            };
            let schedule = schedules.get(&group).filter(|schedule| schedule.home == home);
            let intervals_left =
                schedule.map_or(0, |schedule| schedule.intervals_left.saturating_sub(1));
            if intervals_left > 0 {
                schedules.insert(group, SyncSchedule { home, intervals_left });
                continue;
            }
            schedules.insert(group.clone(), SyncSchedule { home, intervals_left: intervals });
            let gateway = self.incarnation;
            self.send(address, &HomeMessage::ActiveJobs { group, gateway, up_to, numbers });
        }
    }

    /// Updates the metrics of the shares in the groups of which this gateway is the home.
    fn update_share_metrics(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let metrics = &shared.metrics.shares;
        metrics.clear();
        for (group, role) in self.home_roles.borrow_mut().iter_mut() {
            for service in self.services.borrow().iter() {
                let report =
                    role.coordinator.share_report(now_ms, &service.service, LISTED_WORKSPACES);
                if let Some(report) = report {
                    metrics.set(group, &service.service, &report);
                }
            }
        }
    }

    /// Number of gateways that sync their active requests with the same home as this one.
    fn gateways_with_same_home(&self, shared: &Shared) -> usize {
        let fleet = shared.fleet.borrow();
        match self.groups.get() {
            EngineGroups::One => fleet.gateways().count(),
            EngineGroups::ByZone => fleet.gateways().filter(|g| g.zone == self.zone).count(),
        }
    }
}

/// Decision of one group on a placement request.
#[derive(Debug)]
struct GroupDecision {
    number: u64,
    group: Arc<str>,
    decision: Decision,
    decided_by: &'static str,
    is_granted: bool,
}

/// Returns the engines of one group.
fn engines_of(
    groups: EngineGroups,
    group: &Arc<str>,
    services: &[ServiceEngines],
) -> Vec<ServiceEngines> {
    services.iter().map(|service| service.for_group(groups, group)).collect()
}

/// Logs and counts what happened to turns of refused requests.
fn record_turn_steps(shared: &Shared, group: &Arc<str>, steps: &[(u64, TurnStep)]) {
    for (key, step) in steps {
        let step = match step {
            TurnStep::Given => "given",
            TurnStep::Kept => "kept",
            TurnStep::Broken => "broken",
            TurnStep::Early => "early",
            TurnStep::Unneeded => "unneeded",
            TurnStep::Missed => "missed",
            TurnStep::RefusedForGood => "refused_for_good",
        };
        tracing::info!(event = "turn", step, group = %group, retry_key = format_args!("{key:016x}"));
        shared.metrics.turn_steps.get_or_create(&TurnLabels { step }).inc();
    }
}

/// Number of [`SYNC_INTERVAL`]s between two syncs of one gateway.
fn sync_period_intervals(gateways: usize) -> usize {
    (1 + gateways / SYNCS_PER_INTERVAL).min(MAX_SYNC_INTERVALS)
}

/// Engines of a placement that are no longer usable.
fn unusable_engines(shared: &Shared, placement: &Placement) -> Vec<Arc<str>> {
    let fleet = shared.fleet.borrow();
    let helpers = placement.helpers.iter().map(|helper| &helper.engine);
    let is_unusable = |id: &&Arc<str>| !fleet.is_usable(id) || shared.is_refusing(id);
    helpers.chain([&placement.engine]).filter(is_unusable).cloned().collect()
}
