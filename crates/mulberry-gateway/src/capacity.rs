//! Exchange of digests about the targets of plain services between gateways, and the choice of targets by them.
//!
//! The home of a service is the active gateway with the longest uptime. Every gateway sends it a few digests a second;
//! it merges them and returns views. What is lost with a datagram is repeated by the next. A gateway that has no recent
//! view selects targets by its own requests alone, as it does if the setting is off.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_capacity::{
    Candidate, CapacityView, Choice, LoadDigest, MAX_TARGETS, RequestEnd, RequestNeeds,
    ServiceHome, ServiceLoad,
};
use rand::Rng as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::home_message::HomeMessage;
use crate::metrics::ChoiceLabels;
use crate::shared::Shared;

/// Interval at which digests and views are sent if they are due.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of gateways up to which [`INTERVAL`] applies; with more it is doubled, since the home hears all of them.
const GATEWAYS_PER_HOME: usize = 100;

/// Time without a view after which a home counts as unresponsive; longer than two views that are sent without a change.
const HOME_TIMEOUT_MS: u64 = 4_500;

/// Time for which an unresponsive home is not used.
const UNRESPONSIVE_HOME_BACKOFF_MS: u64 = 20_000;

/// Maximum number of services for which one gateway acts as the home. Only forged datagrams name more.
const MAX_HOMES: usize = 64;

/// Factor by which an estimate must change to be logged.
const LOGGED_FACTOR: f64 = 2.0;

/// What this gateway knows about the capacity of the targets of plain services.
#[derive(Debug)]
pub(crate) struct CapacityExchange {
    is_on: bool,
    incarnation: u64,
    services: RefCell<HashMap<Arc<str>, ServiceState>>,

    /// Services for which this gateway is the home or was recently.
    homes: RefCell<HashMap<Arc<str>, HomeState>>,

    /// Time until which a gateway that sent no view is not used as a home, by incarnation.
    unresponsive_until_ms: RefCell<HashMap<u64, u64>>,
}

#[derive(Debug)]
struct ServiceState {
    load: ServiceLoad,

    /// Home to which digests are sent, and the time since which a view of it is missing.
    home: Option<(u64, u64)>,

    /// Targets that have metrics.
    exported: Vec<Arc<str>>,
}

#[derive(Debug)]
struct HomeState {
    home: ServiceHome,

    /// Limit and slowness of each target that were logged last.
    logged: HashMap<Arc<str>, (f64, f64)>,
}

impl CapacityExchange {
    pub(crate) fn new(is_on: bool, incarnation: u64) -> CapacityExchange {
        CapacityExchange {
            is_on,
            incarnation,
            services: RefCell::default(),
            homes: RefCell::default(),
            unresponsive_until_ms: RefCell::default(),
        }
    }

    pub(crate) fn is_on(&self) -> bool {
        self.is_on
    }

    /// Sends digests and views until the task is dropped.
    pub(crate) async fn run(shared: Rc<Shared>) {
        loop {
            let gateways = shared.fleet.borrow().gateways().count();
            let interval = if gateways > GATEWAYS_PER_HOME { INTERVAL * 2 } else { INTERVAL };
            tokio::time::sleep(interval).await;
            let Some(table) = shared.table() else { continue };
            let services = &table.config().services;
            let plain = services.iter().filter(|service| service.engine.is_none());
            let plain: Vec<Arc<str>> = plain.map(|service| service.name.clone()).collect();
            let capacity = &shared.capacity;
            capacity.services.borrow_mut().retain(|service, _| plain.contains(service));
            for service in &plain {
                capacity.send_digest(&shared, service);
                capacity.send_view(&shared, service);
            }
            let now_ms = shared.now_ms();
            capacity.homes.borrow_mut().retain(|service, state| {
                let is_in_use = plain.contains(service) && state.home.is_in_use(now_ms);
                if !is_in_use {
                    tracing::info!(event = "capacity_home_ended", service = %service);
                }
                is_in_use
            });
        }
    }

    fn send_digest(&self, shared: &Shared, service: &Arc<str>) {
        let now_ms = shared.now_ms();
        let targets = shared.fleet.borrow().usable(service).count();
        if targets == 0 || targets > MAX_TARGETS {
            return;
        }
        let home = self.home_of(shared, service);
        let digest = {
            let mut services = self.services.borrow_mut();
            let state = services.entry(service.clone()).or_insert_with(|| ServiceState {
                load: ServiceLoad::new(service.clone(), self.incarnation),
                home: None,
                exported: Vec::new(),
            });
            if state.home.map(|(home, _)| home) != home.map(|(home, _)| home) {
                state.home = home.map(|(home, _)| (home, now_ms));
            }
            let fleet = shared.fleet.borrow();
            state.load.retain(|id| fleet.is_present(id));
            state.load.digest(now_ms)
        };
        let Some(digest) = digest else { return };
        match home {
            Some((_, address)) => {
                shared.placer.send(address, &HomeMessage::LoadDigest(digest));
            }
            None => self.receive_digest(shared, &digest),
        }
    }

    /// Incarnation and address of the home of a service; `None` if this gateway is the home. A home that sends no views
    /// is left out for a while.
    fn home_of(&self, shared: &Shared, service: &str) -> Option<(u64, SocketAddr)> {
        let now_ms = shared.now_ms();
        let mut unresponsive = self.unresponsive_until_ms.borrow_mut();
        unresponsive.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(state) = self.services.borrow().get(service) {
            let is_silent = |(_, since_ms): &(u64, u64)| now_ms >= since_ms + HOME_TIMEOUT_MS;
            if let Some((home, since_ms)) = state.home.filter(is_silent) {
                tracing::warn!(
                    event = "capacity_home_silent",
                    service,
                    home = format_args!("{home:x}"),
                    waited_ms = now_ms - since_ms
                );
                unresponsive.insert(home, now_ms + UNRESPONSIVE_HOME_BACKOFF_MS);
            }
        }
        let fleet = shared.fleet.borrow();
        let home = fleet
            .gateways()
            .filter(|gateway| gateway.is_active && !unresponsive.contains_key(&gateway.incarnation))
            .min_by_key(|gateway| (gateway.started_ms, gateway.name.clone()))?;
        (home.incarnation != self.incarnation).then_some((home.incarnation, home.address))
    }

    /// Receives a digest as the home of a service.
    pub(crate) fn receive_digest(&self, shared: &Shared, digest: &LoadDigest) {
        let table = shared.table();
        let known = table.as_ref().and_then(|table| table.service(&digest.service));
        if !self.is_on || known.is_none_or(|service| service.engine.is_some()) {
            return;
        }
        let now_ms = shared.now_ms();
        let mut homes = self.homes.borrow_mut();
        if !homes.contains_key(&digest.service) {
            if homes.len() >= MAX_HOMES {
                return;
            }
            homes.insert(digest.service.clone(), self.begin_home(shared, &digest.service));
        }
        if let Some(state) = homes.get_mut(&digest.service) {
            state.home.receive(now_ms, digest);
        }
    }

    /// Begins to act as the home of a service, with the estimates of the last one.
    fn begin_home(&self, shared: &Shared, service: &Arc<str>) -> HomeState {
        let now_ms = shared.now_ms();
        let mut home = ServiceHome::new(now_ms, service.clone(), self.incarnation);
        home.set_targets(now_ms, &declared_slots(shared, service));
        let services = self.services.borrow();
        let last_view = services.get(service).and_then(|state| state.load.last_view());
        tracing::info!(
            event = "capacity_home_begun",
            service = %service,
            resumes = last_view.is_some()
        );
        if let Some((_, view)) = last_view {
            home.resume(view);
        }
        HomeState { home, logged: HashMap::new() }
    }

    /// Updates the estimates of a service as its home, and sends a view to the gateways if it is due.
    fn send_view(&self, shared: &Shared, service: &Arc<str>) {
        let now_ms = shared.now_ms();
        let (view, subscribers) = {
            let mut homes = self.homes.borrow_mut();
            let Some(state) = homes.get_mut(service) else { return };
            state.home.set_targets(now_ms, &declared_slots(shared, service));
            let view = state.home.update(now_ms);
            state.log_changes(service);
            let Some(view) = view else { return };
            (view, state.home.subscribers(now_ms).collect::<Vec<u64>>())
        };
        {
            let fleet = shared.fleet.borrow();
            let message = HomeMessage::CapacityView(view.clone());
            let others = subscribers.iter().filter(|gateway| **gateway != self.incarnation);
            let infos: HashMap<u64, SocketAddr> =
                fleet.gateways().map(|info| (info.incarnation, info.address)).collect();
            let addresses = others.filter_map(|gateway| infos.get(gateway).copied());
            shared.placer.send_to_all(addresses, &message);
        }
        if subscribers.contains(&self.incarnation) {
            self.receive_view(shared, view);
        }
    }

    /// Receives a view, if it is from the home to which digests are sent.
    pub(crate) fn receive_view(&self, shared: &Shared, view: CapacityView) {
        let now_ms = shared.now_ms();
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&view.service) else { return };
        match &mut state.home {
            Some((home, since_ms)) if *home == view.home => *since_ms = now_ms,
            None if view.home == self.incarnation => {}
            Some(_) | None => return,
        }
        let targets = view.targets.iter().map(|target| target.target.clone()).collect();
        let before = std::mem::replace(&mut state.exported, targets);
        let gone = before.iter().filter(|target| !state.exported.contains(target));
        gone.for_each(|target| shared.metrics.remove_capacity(&view.service, target));
        shared.metrics.set_capacity(&view);
        state.load.receive(now_ms, view);
    }

    /// Selects a target by the newest view.
    pub(crate) fn choose(
        &self,
        now_ms: u64,
        service: &str,
        candidates: &[Candidate],
        needs: &RequestNeeds,
    ) -> Choice {
        let services = self.services.borrow();
        let Some(state) = services.get(service) else { return Choice::Unknown };
        let mut random = || rand::rng().random_range(0.0..1.0);
        state.load.choose(now_ms, candidates, needs, &mut random)
    }
}

impl HomeState {
    /// Logs the estimates that have changed by a factor since they were logged last.
    fn log_changes(&mut self, service: &Arc<str>) {
        for (target, estimate) in self.home.estimates() {
            let (limit, slowness) = (estimate.limit(), estimate.slowness());
            let before = self.logged.get(target).copied();
            let (limit_before, slowness_before) = before.unwrap_or((limit, slowness));
            let has_changed = |now: f64, before: f64| {
                let factor = now / before;
                !(1.0 / LOGGED_FACTOR..=LOGGED_FACTOR).contains(&factor)
            };
            if has_changed(limit, limit_before) || has_changed(slowness, slowness_before) {
                tracing::info!(
                    event = "capacity_changed",
                    service = %service,
                    target_id = %target,
                    limit = format_args!("{limit:.1}"),
                    limit_before = format_args!("{limit_before:.1}"),
                    slowness = format_args!("{slowness:.2}"),
                    slowness_before = format_args!("{slowness_before:.2}"),
                    load = format_args!("{:.1}", estimate.load()),
                    failure_share = format_args!("{:.2}", estimate.failure_share())
                );
            } else if before.is_some() {
                continue;
            }
            self.logged.insert(target.clone(), (limit, slowness));
        }
        let home = &self.home;
        self.logged.retain(|target, _| home.estimate(target).is_some());
    }
}

/// Counts a request as in flight at a target of a plain service. Ends with [`RequestEnd::Unknown`] when dropped.
#[derive(Debug)]
pub(crate) struct LoadTicket {
    shared: Rc<Shared>,
    service: Arc<str>,
    number: u64,

    /// Whether the target was cold when the request was sent.
    pub was_cold: bool,
}

impl LoadTicket {
    /// Returns `None` if nothing is learned about the service.
    pub(crate) fn new(
        shared: &Rc<Shared>,
        service: &Arc<str>,
        target: &Arc<str>,
        route: &str,
    ) -> Option<LoadTicket> {
        let now_ms = shared.now_ms();
        let mut services = shared.capacity.services.borrow_mut();
        let number = services.get_mut(service)?.load.started(now_ms, target, route_hash(route));
        let was_cold = shared.fleet.borrow().cold_left_ms(now_ms, target) > 0;
        Some(LoadTicket { shared: shared.clone(), service: service.clone(), number, was_cold })
    }

    pub(crate) fn end(self, end: RequestEnd) {
        let now_ms = self.shared.now_ms();
        if let Some(state) = self.shared.capacity.services.borrow_mut().get_mut(&self.service) {
            state.load.ended(now_ms, self.number, end);
        }
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        // Has no effect after another end.
        let now_ms = self.shared.now_ms();
        if let Some(state) = self.shared.capacity.services.borrow_mut().get_mut(&self.service) {
            state.load.ended(now_ms, self.number, RequestEnd::Unknown);
        }
    }
}

/// Hash by which gateways name a route.
pub(crate) fn route_hash(route: &str) -> u32 {
    xxh3_64(route.as_bytes()) as u32
}

fn declared_slots(shared: &Shared, service: &str) -> Vec<(Arc<str>, u32)> {
    let fleet = shared.fleet.borrow();
    fleet.usable(service).map(|record| (record.id.clone(), record.slots)).collect()
}

/// Counts a choice.
pub(crate) fn count_choice(shared: &Shared, choice: Choice) {
    let choice = match choice {
        Choice::Send(_) => "sent",
        Choice::Wait { .. } => "waited",
        Choice::Refuse { .. } => "refused",
        Choice::Unknown => "unknown",
    };
    shared.metrics.capacity_choices.get_or_create(&ChoiceLabels { choice }).inc();
}
