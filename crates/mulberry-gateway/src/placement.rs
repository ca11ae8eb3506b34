//! Where a generation runs, decided by one gateway for all: the home.
//!
//! The home is the gateway that has run longest among those that take part. It sees all requests of all gateways, so
//! that its scheduler knows what each engine reads and writes. When it does not answer at once, the next one is asked,
//! and a gateway that gets no answer decides by itself from its own requests. Nothing but the quality of a placement
//! depends on who decides: what must never happen twice is guarded by the engines' own answers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_routes::RouteTable;
use mulberry_scheduler::{
    ActiveJob, Decision, EngineInfo, JobId, Outcome, Placement, Scheduler, Work,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::loans::Lender;
use crate::metrics::PlacementLabels;
use crate::shared::Shared;
use crate::{FleetView, GatewaySettings, TargetHealth};

/// Time for the home's answer before the question is sent again.
const FIRST_WAIT: Duration = Duration::from_millis(40);

/// Time for the answer to the second question.
const SECOND_WAIT: Duration = Duration::from_millis(60);

/// Time for which a gateway that did not answer is not asked again.
const SUSPECT_MS: u64 = 1_500;

/// Time between two lists of active requests to the home.
const LIST_EVERY: Duration = Duration::from_millis(400);

/// Gateways that may send their lists each time; among more of them each leaves some out, as one home reads them all.
const LISTING_GATEWAYS: usize = 24;

/// Most times between two lists, so that one may be lost within [`LIST_LIFE_MS`].
const MAX_LIST_TURNS: usize = 3;

/// Time without a list after which the requests of a gateway no longer count.
const LIST_LIFE_MS: u64 = 2_500;

/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Part of the limit for cold engines that the home uses.
const HOME_START_SHARE: f64 = 0.8;

/// Part that all gateways together use when they decide by themselves.
const SOLITARY_COLD_SHARE: f64 = 0.5;

/// The same for engines that are not known to be cold.
const SOLITARY_WARM_SHARE: f64 = 1.2;

/// Between gateways.
#[derive(Debug, Serialize, Deserialize)]
enum HomeMessage {
    Place {
        job: JobId,
        work: Work,
    },
    Decided {
        number: u64,
        decision: Decision,
    },
    FirstEvent {
        job: JobId,
    },
    Finish {
        job: JobId,
        outcome: Outcome,
    },

    /// Numbers of all active requests of a gateway; those above `up_to` may be missing.
    Active {
        gateway: u64,
        up_to: u64,
        numbers: Vec<u64>,
    },

    /// Asks for the requests that the home does not know.
    Unknown {
        numbers: Vec<u64>,
    },

    Tell {
        gateway: u64,
        job: ActiveJob,
    },
}

/// Places generations.
#[derive(Debug)]
pub(crate) struct Placer {
    incarnation: u64,
    socket: Rc<UdpSocket>,
    scheduler: RefCell<Scheduler>,
    jobs: RefCell<BTreeMap<u64, ActiveJob>>,
    next_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Decision>>>,

    /// Until when a gateway is not asked.
    suspects: RefCell<HashMap<u64, u64>>,

    /// When each other gateway last sent its list.
    lists: RefCell<HashMap<u64, u64>>,
}

/// A placed generation. Dropping it tells the scheduler that it has ended.
#[derive(Debug)]
pub(crate) struct PlacedJob {
    shared: Rc<Shared>,
    number: u64,
    pub placement: Placement,

    /// Who decided: this gateway as home, the home, or this gateway alone.
    pub decided_by: &'static str,

    is_ended: bool,
}

impl Placer {
    pub(crate) fn new(
        settings: &GatewaySettings,
        incarnation: u64,
        socket: Rc<UdpSocket>,
    ) -> Placer {
        Placer {
            incarnation,
            socket,
            scheduler: RefCell::new(Scheduler::new(settings.scheduler.clone())),
            jobs: RefCell::default(),
            next_number: Cell::new(1),
            waiting: RefCell::default(),
            suspects: RefCell::default(),
            lists: RefCell::default(),
        }
    }

    /// Tells the scheduler which engines may be used.
    pub(crate) fn set_engines(
        &self,
        now_ms: u64,
        table: &RouteTable,
        fleet: &FleetView,
        health: &TargetHealth,
    ) {
        let mut scheduler = self.scheduler.borrow_mut();
        let mut services = HashSet::new();
        for service in &table.config().services {
            let Some(terms) = &service.engine else { continue };
            services.insert(service.name.clone());
            let is_reachable = |id: &str| {
                fleet.silent_since_ms(id).is_none_or(|since| health.has_served_since(since, id))
            };
            let engines: Vec<EngineInfo> = fleet
                .usable(&service.name)
                .filter(|record| is_reachable(&record.id))
                .map(|record| EngineInfo {
                    id: record.id.clone(),
                    zone: record.zone.clone(),
                    cold_left_ms: fleet.cold_left_ms(now_ms, &record.id),
                })
                .collect();
            scheduler.set_engines(now_ms, &service.name, terms, service.cold, &engines);
        }
        scheduler.keep_services(&services);
    }

    /// Places a generation.
    pub(crate) async fn place(shared: &Rc<Shared>, work: Work) -> Result<PlacedJob, Decision> {
        let placer = &shared.placer;
        let number = placer.next_number.get();
        placer.next_number.set(number + 1);
        let job = JobId { gateway: placer.incarnation, number };
        let begin = tokio::time::Instant::now();
        let (decision, decided_by) = match placer.home(shared) {
            Some((gateway, address)) => {
                match placer.ask(shared, gateway, address, job, &work).await {
                    Some(decision) => (decision, "home"),
                    None => (placer.decide_alone(shared, job, &work), "alone"),
                }
            }
            None => (placer.decide_as_home(shared, job, &work), "self"),
        };
        let decision = match decision {
            Decision::Placed(placement) => {
                let leaving = leaving_engines(&shared.fleet.borrow(), &placement);
                if leaving.is_empty() {
                    Decision::Placed(placement)
                } else {
                    // The home has not heard of it yet.
                    let mut work = work.clone();
                    work.excluded.extend(leaving);
                    placer.decide_alone(shared, job, &work)
                }
            }
            Decision::NoEngine if decided_by == "home" => placer.decide_alone(shared, job, &work),
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
            work,
            engine: placement.engine.clone(),
            helpers: placement.helpers.clone(),
            is_writing: false,
        };
        placer.scheduler.borrow_mut().tell(shared.now_ms(), placer.incarnation, &active);
        placer.jobs.borrow_mut().insert(number, active);
        Ok(PlacedJob { shared: shared.clone(), number, placement, decided_by, is_ended: false })
    }

    /// The gateway to ask; `None` when this one decides.
    fn home(&self, shared: &Shared) -> Option<(u64, SocketAddr)> {
        let now_ms = shared.now_ms();
        let fleet = shared.fleet.borrow();
        let suspects = self.suspects.borrow();
        let home = fleet
            .gateways()
            .filter(|gateway| gateway.takes_part)
            .filter(|gateway| suspects.get(&gateway.incarnation).is_none_or(|at| *at <= now_ms))
            .min_by_key(|gateway| (gateway.started_ms, gateway.name.clone()))?;
        (home.incarnation != self.incarnation).then_some((home.incarnation, home.address))
    }

    async fn ask(
        &self,
        shared: &Shared,
        gateway: u64,
        address: SocketAddr,
        job: JobId,
        work: &Work,
    ) -> Option<Decision> {
        let (sender, mut receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(job.number, sender);
        let question = HomeMessage::Place { job, work: work.clone() };
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
            job = job.number,
            waited_ms = (FIRST_WAIT + SECOND_WAIT).as_millis()
        );
        self.suspects.borrow_mut().insert(gateway, shared.now_ms() + SUSPECT_MS);
        None
    }

    fn decide_as_home(&self, shared: &Shared, job: JobId, work: &Work) -> Decision {
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_start_shares(HOME_START_SHARE, HOME_START_SHARE);
        scheduler.place(shared.now_ms(), job, work)
    }

    fn decide_alone(&self, shared: &Shared, job: JobId, work: &Work) -> Decision {
        let gateways = shared.fleet.borrow().sharing_gateways();
        let mut scheduler = self.scheduler.borrow_mut();
        let share = 1.0 / gateways as f64;
        scheduler.set_start_shares(SOLITARY_COLD_SHARE * share, SOLITARY_WARM_SHARE * share);
        scheduler.place(shared.now_ms(), job, work)
    }

    fn first_event(&self, shared: &Shared, number: u64) {
        let job = JobId { gateway: self.incarnation, number };
        self.scheduler.borrow_mut().first_event(job);
        if let Some(active) = self.jobs.borrow_mut().get_mut(&number) {
            active.is_writing = true;
        }
        if let Some((_, address)) = self.home(shared) {
            self.send(address, &HomeMessage::FirstEvent { job });
        }
    }

    fn finish(&self, shared: &Shared, number: u64, outcome: Outcome) {
        let job = JobId { gateway: self.incarnation, number };
        self.scheduler.borrow_mut().finish(shared.now_ms(), job, outcome);
        self.jobs.borrow_mut().remove(&number);
        if let Some((_, address)) = self.home(shared) {
            self.send(address, &HomeMessage::Finish { job, outcome });
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
            HomeMessage::Place { job, work } => {
                let decision = self.decide_as_home(shared, job, &work);
                self.send(from, &HomeMessage::Decided { number: job.number, decision });
            }
            HomeMessage::Decided { number, decision } => {
                if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
                    let _ = sender.send(decision);
                }
            }
            HomeMessage::FirstEvent { job } => self.scheduler.borrow_mut().first_event(job),
            HomeMessage::Finish { job, outcome } => {
                self.scheduler.borrow_mut().finish(now_ms, job, outcome);
            }
            HomeMessage::Active { gateway, up_to, numbers } => {
                self.lists.borrow_mut().insert(gateway, now_ms);
                let unknown = self.scheduler.borrow_mut().retain_jobs(gateway, up_to, &numbers);
                if !unknown.is_empty() {
                    self.send(from, &HomeMessage::Unknown { numbers: unknown });
                }
            }
            HomeMessage::Unknown { numbers } => {
                let jobs = self.jobs.borrow();
                for job in numbers.iter().filter_map(|number| jobs.get(number)) {
                    let gateway = self.incarnation;
                    self.send(from, &HomeMessage::Tell { gateway, job: job.clone() });
                }
            }
            HomeMessage::Tell { gateway, job } => {
                self.scheduler.borrow_mut().tell(now_ms, gateway, &job);
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
        let (mut listed_at, mut turns_left) = (None, 0_usize);
        loop {
            tokio::time::sleep(LIST_EVERY).await;
            let placer = &shared.placer;
            let now_ms = shared.now_ms();
            let home = placer.home(&shared);
            turns_left = if home == listed_at { turns_left.saturating_sub(1) } else { 0 };
            if let Some((_, address)) = home.filter(|_| turns_left == 0) {
                listed_at = home;
                turns_left = list_turns(shared.fleet.borrow().gateways().count());
                let message = HomeMessage::Active {
                    gateway: placer.incarnation,
                    up_to: placer.next_number.get() - 1,
                    numbers: placer.jobs.borrow().keys().copied().collect(),
                };
                placer.send(address, &message);
            }
            let mut lists = placer.lists.borrow_mut();
            lists.retain(|_, at_ms| *at_ms + LIST_LIFE_MS > now_ms);
            let mut alive: HashSet<u64> = lists.keys().copied().collect();
            alive.insert(placer.incarnation);
            drop(lists);
            placer.scheduler.borrow_mut().keep_gateways(&alive);
            shared.refresh_engines();
            shared.update_gauges();
            let fleet = shared.fleet.borrow();
            shared.pool.sweep(|id| fleet.is_present(id));
            shared.health.borrow_mut().keep(|id| fleet.is_present(id));
        }
    }
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

impl PlacedJob {
    /// The first event has come.
    pub(crate) fn first_event(&self) {
        self.shared.placer.first_event(&self.shared, self.number);
    }

    /// The request has ended at its engine.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.is_ended = true;
        self.shared.placer.finish(&self.shared, self.number, outcome);
    }

    /// Engines that help, with their addresses and the memory that they lend.
    pub(crate) fn helpers(&self) -> Vec<Lender> {
        let fleet = self.shared.fleet.borrow();
        let helpers = self.placement.helpers.iter();
        let located = helpers.filter_map(|helper| {
            let address = fleet.get(&helper.engine)?.address;
            Some(Lender { id: helper.engine.clone(), address, tokens: helper.lent_tokens })
        });
        located.collect()
    }

    /// Ids of the engines that help, with commas between them.
    pub(crate) fn helper_ids(&self) -> String {
        let ids: Vec<&str> = self.placement.helpers.iter().map(|helper| &*helper.engine).collect();
        ids.join(",")
    }

    /// Name under which engines lend memory to this request.
    pub(crate) fn ticket(&self) -> String {
        format!("{:x}-{}", self.shared.incarnation, self.number)
    }

    pub(crate) fn engine(&self) -> &Arc<str> {
        &self.placement.engine
    }
}

impl Drop for PlacedJob {
    fn drop(&mut self) {
        if !self.is_ended {
            self.shared.placer.finish(&self.shared, self.number, Outcome::Done);
        }
    }
}
