//! Placement of generations on engines, decided for all gateways by one of them: the home of an engine group.
//!
//! The home is the gateway with the longest uptime among those that take part; if the engines of each availability
//! zone form a group, it is chosen among the gateways of that zone. It knows every request placed in its group, so its
//! scheduler knows what each engine is prefilling and decoding. If it does not answer in time, the gateway decides
//! locally from its own requests and asks the next oldest gateway for a while. Only the quality of placements depends
//! on who decides. The engines themselves reject duplicate work, and cold engines are protected because a home and
//! gateways that decide locally each use only a share of the limit.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_routes::RouteTable;
use mulberry_scheduler::{
    ActiveJob, Decision, EngineGroups, EngineInfo, GroupCoordinator, GroupLoads, JobId, JobSpec,
    Outcome, Placement, Scheduler, SchedulerSettings, ServiceEngines,
};
use rand::Rng as _;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::home_message::{BudgetUse, HomeMessage};
use crate::home_role::{HomeRole, PlacementReply, PlacementRequest};
use crate::metrics::PlacementLabels;
use crate::placed_job::PlacedJob;
use crate::shared::Shared;
use crate::{FleetView, GatewaySettings, RetrySettings, TargetHealth};

/// Time to wait for the home's reply before the request is sent again.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Time to wait for a reply to the second request.
const SECOND_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time during which a gateway that did not reply is not asked again.
const UNRESPONSIVE_HOME_MS: u64 = 1_500;

/// Maximum number of groups asked about a request if the earlier ones would serve it late.
const MAX_LATE_GROUPS: usize = 2;

/// Maximum number of groups asked about a request if the earlier ones refuse it.
const MAX_REFUSING_GROUPS: usize = 3;

/// Interval at which the list of active requests is sent to the home.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Number of gateways that send their lists to one home in every interval. With more gateways, each skips some
/// intervals.
const LISTS_PER_ROUND: usize = 24;

/// Maximum number of intervals between two lists, so that one list may be lost before the home drops the gateway's
/// requests.
const MAX_LIST_ROUNDS: usize = 3;

/// Maximum number of groups for which one gateway acts as the home. Only forged or misrouted datagrams ask about more.
const MAX_HOMES: usize = 64;

/// Maximum length of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Share of the limit for cold engines that all gateways together use when they decide locally.
const LOCAL_COLD_SHARE: f64 = 0.4;

/// Like [`LOCAL_COLD_SHARE`], for engines that are not known to be cold.
const LOCAL_WARM_SHARE: f64 = 1.2;

/// Places generations on engines, as a home or through one.
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

    /// Groups for which this gateway is the home, or was recently.
    homes: RefCell<HashMap<Arc<str>, HomeRole>>,

    /// Usable engines by service.
    services: RefCell<Vec<ServiceEngines>>,

    groups: Cell<EngineGroups>,
    loads: RefCell<GroupLoads>,
    jobs: RefCell<BTreeMap<u64, LocalJob>>,
    next_number: Cell<u64>,
    pending_replies: RefCell<HashMap<u64, oneshot::Sender<PlacementReply>>>,

    /// Time until which a gateway that did not reply is not asked, by incarnation.
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

/// The home to which a list was last sent, and the intervals until the next list.
#[derive(Debug, Clone, Copy)]
struct ListSchedule {
    home: u64,
    rounds_left: usize,
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
            local_scheduler: RefCell::new(Scheduler::new(settings.scheduler.clone())),
            homes: RefCell::default(),
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
            let Some(terms) = &service.engine else { continue };
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
                profile: terms.clone(),
                cold: service.cold,
                engines,
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
        }
        local_scheduler.retain_services(
            &services.iter().map(|service| service.service.clone()).collect::<HashSet<_>>(),
        );
        for (group, role) in self.homes.borrow_mut().iter_mut() {
            role.home.set_engines(now_ms, &engines_of(groups, group, &services));
        }
        *self.services.borrow_mut() = services;
    }

    /// Places a generation. `is_retry` says whether the request has been sent to an engine before.
    pub(crate) async fn place(
        shared: &Rc<Shared>,
        work: JobSpec,
        is_retry: bool,
    ) -> Result<PlacedJob, Decision> {
        let placer = &shared.placer;
        let begin = tokio::time::Instant::now();
        let mut budget = BudgetUse::of_first(is_retry);
        let first = placer.groups.get().group_of(&placer.zone);
        let mut chosen = placer.place_in(shared, &first, &work, budget).await;
        let mut tried_groups = vec![first];
        while chosen.decided_by != "alone" && !chosen.decision.has_slo_margin(&work) {
            let max_groups =
                if chosen.decision.is_placed() { MAX_LATE_GROUPS } else { MAX_REFUSING_GROUPS };
            let other = placer.next_group(shared, &tried_groups, &chosen.decision, &work.service);
            let Some(other) = other.filter(|_| tried_groups.len() < max_groups) else { break };
            budget = budget.of_next();
            let next = placer.place_in(shared, &other, &work, budget).await;
            tried_groups.push(other);
            let is_better =
                next.decided_by != "alone" && next.decision.is_sooner_than(&chosen.decision);
            let unused = if is_better { std::mem::replace(&mut chosen, next) } else { next };
            placer.release_unused(shared, &unused);
        }
        let GroupDecision { number, decision, decided_by, is_granted, .. } = chosen;
        let decision = match decision {
            Decision::Placed(placement) => {
                let leaving = leaving_engines(&shared.fleet.borrow(), &placement);
                if leaving.is_empty() {
                    Decision::Placed(placement)
                } else {
                    // The home does not know yet that these engines are leaving.
                    let mut work = work.clone();
                    work.excluded.extend(leaving);
                    placer.decide_locally(shared, placer.job(number), &work)
                }
            }
            Decision::NoEngine if decided_by == "home" => {
                placer.decide_locally(shared, placer.job(number), &work)
            }
            decision => decision,
        };
        shared.metrics.placement_seconds.observe(begin.elapsed().as_secs_f64());
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
            spec: work,
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

    fn job(&self, number: u64) -> JobId {
        JobId { gateway: self.incarnation, number }
    }

    /// Asks the home of a group, decides as the home if this gateway is it, or decides locally if the home does not reply.
    async fn place_in(
        &self,
        shared: &Shared,
        group: &Arc<str>,
        work: &JobSpec,
        budget: BudgetUse,
    ) -> GroupDecision {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request =
            PlacementRequest { group: group.clone(), job: self.job(number), work, budget };
        let (reply, decided_by) = match self.home(shared, group) {
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
            Some(PlacementReply { decision, reading_percent, is_granted }) => {
                self.loads.borrow_mut().record(shared.now_ms(), group, &decision, reading_percent);
                (decision, is_granted)
            }
            None => (self.decide_locally(shared, request.job, work), false),
        };
        GroupDecision { number, group: group.clone(), decision, decided_by, is_granted }
    }

    /// Returns another group that may do better than `decision`, which is the best one of `tried_groups`.
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

    /// Tells the home to drop a placement that will not be used.
    fn release_unused(&self, shared: &Shared, chosen: &GroupDecision) {
        if chosen.decision.is_placed() {
            self.send_finish(shared, &chosen.group, chosen.number, Outcome::Rejected);
        }
    }

    /// Incarnation and address of the home of a group; `None` if this gateway is the home.
    fn home(&self, shared: &Shared, group: &str) -> Option<(u64, SocketAddr)> {
        let now_ms = shared.now_ms();
        let fleet = shared.fleet.borrow();
        let unresponsive_until_ms = self.unresponsive_until_ms.borrow();
        let is_asked =
            |incarnation| unresponsive_until_ms.get(&incarnation).is_none_or(|at| *at <= now_ms);
        // If no gateway is left in the group's zone, the oldest of all gateways is its home.
        let home = fleet
            .gateways()
            .filter(|gateway| gateway.is_active && is_asked(gateway.incarnation))
            .min_by_key(|gateway| {
                let is_far = !group.is_empty() && &*gateway.zone != group;
                (is_far, gateway.started_ms, gateway.name.clone())
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
        let PlacementRequest { group, job, work, budget } = request;
        self.pending_replies.borrow_mut().insert(job.number, sender);
        let request = HomeMessage::Place {
            group: group.clone(),
            job: *job,
            work: (*work).clone(),
            budget: *budget,
        };
        for wait in [FIRST_REPLY_TIMEOUT, SECOND_REPLY_TIMEOUT] {
            self.send(address, &request);
            if let Ok(answer) = timeout(wait, &mut receiver).await {
                return answer.ok();
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
            .insert(gateway, shared.now_ms() + UNRESPONSIVE_HOME_MS);
        None
    }

    /// Runs `f` on the home role for a group, which is created if needed. Returns `None` if this gateway is already
    /// the home of [`MAX_HOMES`] other groups.
    fn with_role<T>(
        &self,
        now_ms: u64,
        group: &Arc<str>,
        f: impl FnOnce(&mut HomeRole) -> T,
    ) -> Option<T> {
        let mut homes = self.homes.borrow_mut();
        if homes.len() >= MAX_HOMES && !homes.contains_key(group) {
            tracing::warn!(event = "home_not_begun", homes = homes.len());
            return None;
        }
        let role = homes.entry(group.clone()).or_insert_with(|| {
            tracing::info!(event = "home_begun", group = %group);
            let mut home = GroupCoordinator::new(self.settings.clone(), now_ms);
            let services = self.services.borrow();
            home.set_engines(now_ms, &engines_of(self.groups.get(), group, &services));
            HomeRole::new(home, self.retry)
        });
        Some(f(role))
    }

    /// Runs `f` on the home of a group if this gateway holds it. Reports about a request do not make this gateway a
    /// home.
    fn with_home(&self, group: &str, f: impl FnOnce(&mut GroupCoordinator)) {
        if let Some(role) = self.homes.borrow_mut().get_mut(group) {
            f(&mut role.home);
        }
    }

    fn decide_as_home(
        &self,
        shared: &Shared,
        request: &PlacementRequest<'_>,
    ) -> Option<PlacementReply> {
        let now_ms = shared.now_ms();
        let homes = self.group_count();
        self.with_role(now_ms, &request.group, |role| role.decide(now_ms, request, homes))
    }

    /// Number of engine groups, at least 1.
    fn group_count(&self) -> usize {
        let groups = self.groups.get();
        let services = self.services.borrow();
        let engines = services.iter().flat_map(|service| &service.engines);
        let all: HashSet<Arc<str>> = engines.map(|engine| groups.group_of(&engine.zone)).collect();
        all.len().max(1)
    }

    fn decide_locally(&self, shared: &Shared, job: JobId, work: &JobSpec) -> Decision {
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
        local_scheduler.place(shared.now_ms(), job, work)
    }

    pub(crate) fn first_event(&self, shared: &Shared, number: u64) {
        let job = self.job(number);
        self.local_scheduler.borrow_mut().first_event(job);
        let mut jobs = self.jobs.borrow_mut();
        let Some(entry) = jobs.get_mut(&number) else { return };
        entry.active.is_decoding = true;
        let group = self.groups.get().group_of(&entry.zone);
        match self.home(shared, &group) {
            Some((_, address)) => self.send(address, &HomeMessage::FirstEvent { group, job }),
            None => self.with_home(&group, |home| home.first_event(job)),
        }
    }

    pub(crate) fn finish(&self, shared: &Shared, number: u64, outcome: Outcome) {
        self.local_scheduler.borrow_mut().finish(shared.now_ms(), self.job(number), outcome);
        let Some(entry) = self.jobs.borrow_mut().remove(&number) else { return };
        let group = self.groups.get().group_of(&entry.zone);
        self.send_finish(shared, &group, number, outcome);
    }

    fn send_finish(&self, shared: &Shared, group: &Arc<str>, number: u64, outcome: Outcome) {
        let job = self.job(number);
        match self.home(shared, group) {
            Some((_, address)) => {
                let group = group.clone();
                self.send(address, &HomeMessage::Finish { group, job, outcome });
            }
            None => {
                let now_ms = shared.now_ms();
                self.with_home(group, |home| home.finish(now_ms, job, outcome));
            }
        }
    }

    fn send(&self, address: SocketAddr, message: &HomeMessage) {
        match postcard::to_stdvec(message) {
            // The next list makes up for a lost datagram.
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    tracing::debug!(event = "datagram_not_sent", to = %address, %error);
                }
            }
            Err(error) => tracing::error!(event = "datagram_not_encoded", %error),
        }
    }

    fn receive(&self, shared: &Shared, from: SocketAddr, message: HomeMessage) {
        let now_ms = shared.now_ms();
        match message {
            HomeMessage::Place { group, job, work, budget } => {
                let request = PlacementRequest { group, job, work: &work, budget };
                let Some(reply) = self.decide_as_home(shared, &request) else { return };
                let PlacementReply { decision, reading_percent, is_granted } = reply;
                let number = job.number;
                let answer = HomeMessage::Decided { number, decision, reading_percent, is_granted };
                self.send(from, &answer);
            }
            HomeMessage::Decided { number, decision, reading_percent, is_granted } => {
                if let Some(sender) = self.pending_replies.borrow_mut().remove(&number) {
                    let _ = sender.send(PlacementReply { decision, reading_percent, is_granted });
                }
            }
            HomeMessage::FirstEvent { group, job } => {
                self.with_home(&group, |home| home.first_event(job));
            }
            HomeMessage::Finish { group, job, outcome } => {
                self.with_home(&group, |home| home.finish(now_ms, job, outcome));
            }
            HomeMessage::ActiveRequests { group, gateway, up_to, numbers } => {
                let unknown = self.with_role(now_ms, &group, |role| {
                    role.home.sync_jobs(now_ms, gateway, up_to, &numbers)
                });
                if let Some(numbers) = unknown.filter(|unknown| !unknown.is_empty()) {
                    self.send(from, &HomeMessage::UnknownRequests { group, numbers });
                }
            }
            HomeMessage::UnknownRequests { group, numbers } => {
                let jobs = self.jobs.borrow();
                for job in numbers.iter().filter_map(|number| jobs.get(number)) {
                    let (group, gateway) = (group.clone(), self.incarnation);
                    let job = job.active.clone();
                    self.send(from, &HomeMessage::DescribeRequest { group, gateway, job });
                }
            }
            HomeMessage::DescribeRequest { group, gateway, job } => {
                self.with_home(&group, |home| home.add_active_job(now_ms, gateway, &job));
            }
        }
    }

    /// Receives datagrams until the task is dropped.
    pub(crate) async fn run_receiver(shared: Rc<Shared>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match shared.placer.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                    Ok(message) => shared.placer.receive(&shared, from, message),
                    Err(error) => {
                        tracing::warn!(event = "datagram_unreadable", from = %from, %error);
                    }
                },
                Err(error) => {
                    tracing::warn!(event = "datagrams_failed", %error);
                    tokio::time::sleep(LIST_INTERVAL).await;
                }
            }
        }
    }

    /// Sends lists of active requests and removes expired state until the task is dropped.
    pub(crate) async fn run_lists(shared: Rc<Shared>) {
        let mut schedules: HashMap<Arc<str>, ListSchedule> = HashMap::new();
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            let placer = &shared.placer;
            placer.send_lists(&shared, &mut schedules);
            let now_ms = shared.now_ms();
            let gateways = placer.gateways_with_same_home(&shared);
            placer.homes.borrow_mut().retain(|group, role| {
                let goes_on = role.expire(now_ms, gateways);
                if !goes_on {
                    tracing::info!(event = "home_ended", group = %group);
                }
                goes_on
            });
            shared.refresh_engines();
            shared.update_gauges();
            let fleet = shared.fleet.borrow();
            shared.pool.sweep(|id| fleet.is_present(id));
            shared.health.borrow_mut().retain(|id| fleet.is_present(id));
        }
    }

    /// Sends each home the numbers of this gateway's requests in its group. The home of the gateway's own zone gets a
    /// list even if it is empty.
    fn send_lists(&self, shared: &Shared, schedules: &mut HashMap<Arc<str>, ListSchedule>) {
        let now_ms = shared.now_ms();
        let groups = self.groups.get();
        let mut numbers: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        numbers.insert(groups.group_of(&self.zone), Vec::new());
        for (number, job) in self.jobs.borrow().iter() {
            numbers.entry(groups.group_of(&job.zone)).or_default().push(*number);
        }
        let up_to = self.next_number.get() - 1;
        let rounds = list_interval_rounds(self.gateways_with_same_home(shared));
        schedules.retain(|group, _| numbers.contains_key(group));
        for (group, numbers) in numbers {
            let Some((home, address)) = self.home(shared, &group) else {
                schedules.remove(&group);
                self.with_role(now_ms, &group, |role| {
                    let unknown = role.home.sync_jobs(now_ms, self.incarnation, up_to, &numbers);
                    let jobs = self.jobs.borrow();
                    for job in unknown.iter().filter_map(|number| jobs.get(number)) {
                        role.home.add_active_job(now_ms, self.incarnation, &job.active);
                    }
                });
                continue;
            };
            let before = schedules.get(&group).filter(|schedule| schedule.home == home);
            let rounds_left = before.map_or(0, |schedule| schedule.rounds_left.saturating_sub(1));
            if rounds_left > 0 {
                schedules.insert(group, ListSchedule { home, rounds_left });
                continue;
            }
            schedules.insert(group.clone(), ListSchedule { home, rounds_left: rounds });
            let gateway = self.incarnation;
            self.send(address, &HomeMessage::ActiveRequests { group, gateway, up_to, numbers });
        }
    }

    /// Number of gateways that send their lists to the same home as this one.
    fn gateways_with_same_home(&self, shared: &Shared) -> usize {
        let fleet = shared.fleet.borrow();
        match self.groups.get() {
            EngineGroups::One => fleet.gateways().count(),
            EngineGroups::ByZone => fleet.gateways().filter(|g| g.zone == self.zone).count(),
        }
    }
}

/// The decision of one group about a request.
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

/// Number of [`LIST_INTERVAL`]s between two lists of one gateway.
fn list_interval_rounds(gateways: usize) -> usize {
    (1 + gateways / LISTS_PER_ROUND).min(MAX_LIST_ROUNDS)
}

/// Engines of a placement that are no longer usable.
fn leaving_engines(fleet: &FleetView, placement: &Placement) -> Vec<Arc<str>> {
    let helpers = placement.helpers.iter().map(|helper| &helper.engine);
    helpers.chain([&placement.engine]).filter(|id| !fleet.is_usable(id)).cloned().collect()
}
