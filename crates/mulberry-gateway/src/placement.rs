//! Where a generation runs, decided by one gateway for all: the home of a group of engines.
//!
//! The home is the gateway that has run longest among those that take part; where the engines of each availability zone
//! are a group, among those of the zone. It sees all requests that are placed in its group, so that its scheduler knows
//! what each engine reads and writes. When it does not answer at once, a gateway decides by itself from its own
//! requests, and asks the next one for a while. Nothing but the quality of a placement depends on who decides: what must
//! never happen twice is guarded by the engines' own answers, and cold engines by the parts of their limit that a home
//! and those that decide alone may use.

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
use crate::home_role::{HomeRole, Question, Said};
use crate::metrics::PlacementLabels;
use crate::placed_job::PlacedJob;
use crate::shared::Shared;
use crate::{FleetView, GatewaySettings, RetrySettings, TargetHealth};

/// Time for the home's answer before the question is sent again.
const FIRST_WAIT: Duration = Duration::from_millis(40);

/// Time for the answer to the second question.
const SECOND_WAIT: Duration = Duration::from_millis(60);

/// Time for which a gateway that did not answer is not asked again.
const SUSPECT_MS: u64 = 1_500;

/// Groups that are asked about a request at most when the first ones would serve it late.
const MAX_LATE_GROUPS: usize = 2;

/// The same when they refuse it.
const MAX_FULL_GROUPS: usize = 3;

/// Time between two lists of active requests to the home.
const LIST_EVERY: Duration = Duration::from_millis(400);

/// Gateways that may send their lists to one home each time; among more of them each leaves some out.
const LISTING_GATEWAYS: usize = 24;

/// Most times between two lists, so that one may be lost before the home forgets the gateway.
const MAX_LIST_TURNS: usize = 3;

/// Groups whose home one gateway may be; more are asked about only by strangers or in confusion.
const MAX_HOMES: usize = 64;

/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Part of the limit for cold engines that all gateways together use when they decide by themselves.
const SOLITARY_COLD_SHARE: f64 = 0.4;

/// The same for engines that are not known to be cold.
const SOLITARY_WARM_SHARE: f64 = 1.2;

/// Places generations.
#[derive(Debug)]
pub(crate) struct Placer {
    incarnation: u64,
    name: Arc<str>,
    zone: Arc<str>,
    settings: SchedulerSettings,
    retry: RetrySettings,
    socket: Rc<UdpSocket>,

    /// What this gateway knows by itself: its own requests at all engines.
    own: RefCell<Scheduler>,

    /// The groups whose home this gateway is, or was lately.
    homes: RefCell<HashMap<Arc<str>, HomeRole>>,

    /// Engines that may be used.
    services: RefCell<Vec<ServiceEngines>>,

    groups: Cell<EngineGroups>,
    loads: RefCell<GroupLoads>,
    jobs: RefCell<BTreeMap<u64, OwnJob>>,
    next_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Said>>>,

    /// Until when a gateway is not asked.
    suspects: RefCell<HashMap<u64, u64>>,

    /// Gateways for which the ranks at the engines were worked out.
    ranked: Cell<u64>,
}

/// A placed request of this gateway.
#[derive(Debug)]
struct OwnJob {
    active: ActiveJob,

    /// Zone of its engine.
    zone: Arc<str>,
}

/// To whom a list was sent, and how many times it may be left out.
#[derive(Debug, Clone, Copy)]
struct Listed {
    home: u64,
    turns_left: usize,
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
            own: RefCell::new(Scheduler::new(settings.scheduler.clone())),
            homes: RefCell::default(),
            services: RefCell::default(),
            groups: Cell::default(),
            loads: RefCell::default(),
            jobs: RefCell::default(),
            next_number: Cell::new(1),
            waiting: RefCell::default(),
            suspects: RefCell::default(),
            ranked: Cell::default(),
        }
    }

    /// Tells the schedulers which engines may be used.
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
        let mut own = self.own.borrow_mut();
        for of in &services {
            own.set_engines(now_ms, &of.service, &of.profile, of.cold, &of.engines);
        }
        own.retain_services(&services.iter().map(|of| of.service.clone()).collect::<HashSet<_>>());
        for (group, role) in self.homes.borrow_mut().iter_mut() {
            role.home.set_engines(now_ms, &engines_of(groups, group, &services));
        }
        *self.services.borrow_mut() = services;
    }

    /// Places a generation, which may have been sent to an engine before.
    pub(crate) async fn place(
        shared: &Rc<Shared>,
        work: JobSpec,
        is_further: bool,
    ) -> Result<PlacedJob, Decision> {
        let placer = &shared.placer;
        let begin = tokio::time::Instant::now();
        let mut budget = BudgetUse::of_first(is_further);
        let first = placer.groups.get().group_of(&placer.zone);
        let mut made = placer.place_in(shared, &first, &work, budget).await;
        let mut tried = vec![first];
        while made.decided_by != "alone" && !made.decision.has_slo_margin(&work) {
            let most = if made.decision.is_placed() { MAX_LATE_GROUPS } else { MAX_FULL_GROUPS };
            let other = placer.other_group(shared, &tried, &made.decision, &work.service);
            let Some(other) = other.filter(|_| tried.len() < most) else { break };
            budget = budget.of_next();
            let next = placer.place_in(shared, &other, &work, budget).await;
            tried.push(other);
            let is_better =
                next.decided_by != "alone" && next.decision.is_sooner_than(&made.decision);
            let unused = if is_better { std::mem::replace(&mut made, next) } else { next };
            placer.withdraw(shared, &unused);
        }
        let Made { number, decision, decided_by, is_granted, .. } = made;
        let decision = match decision {
            Decision::Placed(placement) => {
                let leaving = leaving_engines(&shared.fleet.borrow(), &placement);
                if leaving.is_empty() {
                    Decision::Placed(placement)
                } else {
                    // The home has not heard of it yet.
                    let mut work = work.clone();
                    work.excluded.extend(leaving);
                    placer.decide_alone(shared, placer.job(number), &work)
                }
            }
            Decision::NoEngine if decided_by == "home" => {
                placer.decide_alone(shared, placer.job(number), &work)
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
        placer.own.borrow_mut().add_active_job(shared.now_ms(), placer.incarnation, &active);
        let zone = shared.fleet.borrow().get(&placement.engine).map(|record| record.zone.clone());
        let job = OwnJob { active, zone: zone.unwrap_or_else(|| placer.zone.clone()) };
        placer.jobs.borrow_mut().insert(number, job);
        Ok(PlacedJob::new(shared, number, placement, decided_by, is_granted))
    }

    fn job(&self, number: u64) -> JobId {
        JobId { gateway: self.incarnation, number }
    }

    /// Asks the home of a group, or decides as such or alone.
    async fn place_in(
        &self,
        shared: &Shared,
        group: &Arc<str>,
        work: &JobSpec,
        budget: BudgetUse,
    ) -> Made {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let question = Question { group: group.clone(), job: self.job(number), work, budget };
        let (said, decided_by) = match self.home(shared, group) {
            Some(home) => match self.ask(shared, home, &question).await {
                Some(said) => (Some(said), "home"),
                None => (None, "alone"),
            },
            None => match self.decide_as_home(shared, &question) {
                Some(said) => (Some(said), "self"),
                None => (None, "alone"),
            },
        };
        let (decision, is_granted) = match said {
            Some(Said { decision, reading_percent, is_granted }) => {
                self.loads.borrow_mut().record(shared.now_ms(), group, &decision, reading_percent);
                (decision, is_granted)
            }
            None => (self.decide_alone(shared, question.job, work), false),
        };
        Made { number, group: group.clone(), decision, decided_by, is_granted }
    }

    /// A further group that may do better than `decision` of those that were tried.
    fn other_group(
        &self,
        shared: &Shared,
        tried: &[Arc<str>],
        decision: &Decision,
        service: &str,
    ) -> Option<Arc<str>> {
        let groups = self.groups.get();
        let mut usable: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let services = self.services.borrow();
        let of_service = services.iter().filter(|of| &*of.service == service);
        for engine in of_service.flat_map(|of| &of.engines) {
            *usable.entry(groups.group_of(&engine.zone)).or_default() += 1;
        }
        let drawn = rand::rng().random_range(0.0..1.0);
        let is_refused = !decision.is_placed();
        self.loads.borrow().choose_fallback(shared.now_ms(), tried, is_refused, &usable, drawn)
    }

    /// Tells the home that a placement is not used.
    fn withdraw(&self, shared: &Shared, made: &Made) {
        if made.decision.is_placed() {
            self.send_finish(shared, &made.group, made.number, Outcome::Rejected);
        }
    }

    /// The gateway to ask about a group; `None` when this one decides.
    fn home(&self, shared: &Shared, group: &str) -> Option<(u64, SocketAddr)> {
        let now_ms = shared.now_ms();
        let fleet = shared.fleet.borrow();
        let suspects = self.suspects.borrow();
        let is_asked = |incarnation| suspects.get(&incarnation).is_none_or(|at| *at <= now_ms);
        // A group whose zone has no gateway left has the oldest one of all.
        let home = fleet
            .gateways()
            .filter(|gateway| gateway.is_active && is_asked(gateway.incarnation))
            .min_by_key(|gateway| {
                let is_far = !group.is_empty() && &*gateway.zone != group;
                (is_far, gateway.started_ms, gateway.name.clone())
            })?;
        (home.incarnation != self.incarnation).then_some((home.incarnation, home.address))
    }

    async fn ask(
        &self,
        shared: &Shared,
        (gateway, address): (u64, SocketAddr),
        question: &Question<'_>,
    ) -> Option<Said> {
        let (sender, mut receiver) = oneshot::channel();
        let Question { group, job, work, budget } = question;
        self.waiting.borrow_mut().insert(job.number, sender);
        let question = HomeMessage::Place {
            group: group.clone(),
            job: *job,
            work: (*work).clone(),
            budget: *budget,
        };
        for wait in [FIRST_WAIT, SECOND_WAIT] {
            self.send(address, &question);
            if let Ok(answer) = timeout(wait, &mut receiver).await {
                return answer.ok();
            }
        }
        self.waiting.borrow_mut().remove(&job.number);
        tracing::warn!(
            event = "home_silent",
            home = %address,
            group = %group,
            job = job.number,
            waited_ms = (FIRST_WAIT + SECOND_WAIT).as_millis()
        );
        self.suspects.borrow_mut().insert(gateway, shared.now_ms() + SUSPECT_MS);
        None
    }

    /// Runs `f` on the home of a group, which begins here if it was elsewhere; not when this gateway seems to be the home
    /// of too many.
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

    /// Runs `f` on the home of a group if it is here. What is said of a request does not make this gateway a home.
    fn with_home(&self, group: &str, f: impl FnOnce(&mut GroupCoordinator)) {
        if let Some(role) = self.homes.borrow_mut().get_mut(group) {
            f(&mut role.home);
        }
    }

    fn decide_as_home(&self, shared: &Shared, question: &Question<'_>) -> Option<Said> {
        let now_ms = shared.now_ms();
        let homes = self.group_count();
        self.with_role(now_ms, &question.group, |role| role.decide(now_ms, question, homes))
    }

    /// Groups into which the engines are divided.
    fn group_count(&self) -> usize {
        let groups = self.groups.get();
        let services = self.services.borrow();
        let engines = services.iter().flat_map(|of| &of.engines);
        let all: HashSet<Arc<str>> = engines.map(|engine| groups.group_of(&engine.zone)).collect();
        all.len().max(1)
    }

    fn decide_alone(&self, shared: &Shared, job: JobId, work: &JobSpec) -> Decision {
        let fleet = shared.fleet.borrow();
        let mut own = self.own.borrow_mut();
        if self.ranked.replace(fleet.gateway_changes()) != fleet.gateway_changes() {
            own.clear_ranks();
        }
        let gateways = u32::try_from(fleet.sharing_gateways()).unwrap_or(u32::MAX);
        own.divide_cold_start_limit(SOLITARY_COLD_SHARE, SOLITARY_WARM_SHARE, gateways, |engine| {
            fleet.rank_at(engine, &self.name)
        });
        own.place(shared.now_ms(), job, work)
    }

    pub(crate) fn first_event(&self, shared: &Shared, number: u64) {
        let job = self.job(number);
        self.own.borrow_mut().first_event(job);
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
        self.own.borrow_mut().finish(shared.now_ms(), self.job(number), outcome);
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
            // A lost datagram is made up for by the next list.
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
                let question = Question { group, job, work: &work, budget };
                let Some(said) = self.decide_as_home(shared, &question) else { return };
                let Said { decision, reading_percent, is_granted } = said;
                let number = job.number;
                let answer = HomeMessage::Decided { number, decision, reading_percent, is_granted };
                self.send(from, &answer);
            }
            HomeMessage::Decided { number, decision, reading_percent, is_granted } => {
                if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
                    let _ = sender.send(Said { decision, reading_percent, is_granted });
                }
            }
            HomeMessage::FirstEvent { group, job } => {
                self.with_home(&group, |home| home.first_event(job));
            }
            HomeMessage::Finish { group, job, outcome } => {
                self.with_home(&group, |home| home.finish(now_ms, job, outcome));
            }
            HomeMessage::Active { group, gateway, up_to, numbers } => {
                let unknown = self.with_role(now_ms, &group, |role| {
                    role.home.sync_jobs(now_ms, gateway, up_to, &numbers)
                });
                if let Some(numbers) = unknown.filter(|unknown| !unknown.is_empty()) {
                    self.send(from, &HomeMessage::Unknown { group, numbers });
                }
            }
            HomeMessage::Unknown { group, numbers } => {
                let jobs = self.jobs.borrow();
                for job in numbers.iter().filter_map(|number| jobs.get(number)) {
                    let (group, gateway) = (group.clone(), self.incarnation);
                    let job = job.active.clone();
                    self.send(from, &HomeMessage::Tell { group, gateway, job });
                }
            }
            HomeMessage::Tell { group, gateway, job } => {
                self.with_home(&group, |home| home.add_active_job(now_ms, gateway, &job));
            }
        }
    }

    /// Receives datagrams for good.
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
                    tokio::time::sleep(LIST_EVERY).await;
                }
            }
        }
    }

    /// Sends lists of active requests and drops what is out of date, for good.
    pub(crate) async fn run_lists(shared: Rc<Shared>) {
        let mut listed: HashMap<Arc<str>, Listed> = HashMap::new();
        loop {
            tokio::time::sleep(LIST_EVERY).await;
            let placer = &shared.placer;
            placer.send_lists(&shared, &mut listed);
            let now_ms = shared.now_ms();
            let gateways = placer.listing_gateways(&shared);
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
            shared.health.borrow_mut().keep(|id| fleet.is_present(id));
        }
    }

    /// Tells each home the requests that this gateway has in its group: that of its own zone, and others where it has
    /// some.
    fn send_lists(&self, shared: &Shared, listed: &mut HashMap<Arc<str>, Listed>) {
        let now_ms = shared.now_ms();
        let groups = self.groups.get();
        let mut numbers: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        numbers.insert(groups.group_of(&self.zone), Vec::new());
        for (number, job) in self.jobs.borrow().iter() {
            numbers.entry(groups.group_of(&job.zone)).or_default().push(*number);
        }
        let up_to = self.next_number.get() - 1;
        let turns = list_turns(self.listing_gateways(shared));
        listed.retain(|group, _| numbers.contains_key(group));
        for (group, numbers) in numbers {
            let Some((home, address)) = self.home(shared, &group) else {
                listed.remove(&group);
                self.with_role(now_ms, &group, |role| {
                    let unknown = role.home.sync_jobs(now_ms, self.incarnation, up_to, &numbers);
                    let jobs = self.jobs.borrow();
                    for job in unknown.iter().filter_map(|number| jobs.get(number)) {
                        role.home.add_active_job(now_ms, self.incarnation, &job.active);
                    }
                });
                continue;
            };
            let before = listed.get(&group).filter(|listed| listed.home == home);
            let turns_left = before.map_or(0, |listed| listed.turns_left.saturating_sub(1));
            if turns_left > 0 {
                listed.insert(group, Listed { home, turns_left });
                continue;
            }
            listed.insert(group.clone(), Listed { home, turns_left: turns });
            let gateway = self.incarnation;
            self.send(address, &HomeMessage::Active { group, gateway, up_to, numbers });
        }
    }

    /// Gateways that send their lists to the same home as this one.
    fn listing_gateways(&self, shared: &Shared) -> usize {
        let fleet = shared.fleet.borrow();
        match self.groups.get() {
            EngineGroups::One => fleet.gateways().count(),
            EngineGroups::ByZone => fleet.gateways().filter(|g| g.zone == self.zone).count(),
        }
    }
}

/// A decision about a request.
#[derive(Debug)]
struct Made {
    number: u64,
    group: Arc<str>,
    decision: Decision,
    decided_by: &'static str,
    is_granted: bool,
}

/// Engines of one group.
fn engines_of(
    groups: EngineGroups,
    group: &Arc<str>,
    services: &[ServiceEngines],
) -> Vec<ServiceEngines> {
    services.iter().map(|of| of.for_group(groups, group)).collect()
}

/// Times of [`LIST_EVERY`] between two lists of one gateway.
fn list_turns(gateways: usize) -> usize {
    (1 + gateways / LISTING_GATEWAYS).min(MAX_LIST_TURNS)
}

/// Engines of a placement that must not get it any more.
fn leaving_engines(fleet: &FleetView, placement: &Placement) -> Vec<Arc<str>> {
    let helpers = placement.helpers.iter().map(|helper| &helper.engine);
    helpers.chain([&placement.engine]).filter(|id| !fleet.is_usable(id)).cloned().collect()
}
