//! What the tasks of a gateway share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use mulberry_clock::Clock;
use mulberry_directory::GatewayInfo;
use mulberry_routes::{RouteTable, RoutingConfig};
use tokio::sync::Notify;

use crate::answer_memory::AnswerMemory;
use crate::metrics::{GatewayMetrics, ServiceLabels};
use crate::placement::Placer;
use crate::target_pool::TargetPool;
use crate::{BudgetShare, Dialect, FleetView, GatewaySettings, RetryBudget, TargetHealth};

/// Time for a configuration that was asked for to come before another registry is asked.
const CONFIG_PATIENCE_MS: u64 = 250;

/// What the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: GatewaySettings,
    pub dialect: Rc<dyn Dialect>,
    pub incarnation: u64,
    pub fleet: RefCell<FleetView>,
    pub health: RefCell<TargetHealth>,
    pub pool: TargetPool,
    pub answer_memory: AnswerMemory,
    pub placer: Placer,
    pub metrics: GatewayMetrics,
    pub is_stopping: Cell<bool>,

    /// Whether the stop is so far that a new request might not be finished.
    pub takes_no_more: Cell<bool>,

    pub links: Cell<usize>,
    pub active: Cell<usize>,
    pub connections: Cell<usize>,

    /// Notified when a configuration or targets become known.
    pub changed: Notify,

    table: RefCell<Option<Rc<RouteTable>>>,
    budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,

    /// When the configuration came into force.
    in_force_ms: Cell<u64>,

    /// Version that a registry has confirmed, if any has since the start.
    confirmed: Cell<Option<u64>>,

    /// Registries that have told a version since the start, and how many are known.
    versions_from: RefCell<HashSet<SocketAddr>>,
    registries: Cell<usize>,

    /// Version that was asked for last, and when.
    asked: Cell<(u64, u64)>,

    clock: Clock,
    started_wall_ms: u64,
}

impl Shared {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn Dialect>,
        incarnation: u64,
        placer: Placer,
    ) -> Shared {
        let registries = settings.seeds.len();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Shared {
            answer_memory: AnswerMemory::new(&settings),
            settings,
            dialect,
            incarnation,
            fleet: RefCell::default(),
            health: RefCell::default(),
            pool: TargetPool::default(),
            placer,
            metrics: GatewayMetrics::default(),
            is_stopping: Cell::new(false),
            takes_no_more: Cell::new(false),
            links: Cell::new(0),
            active: Cell::new(0),
            connections: Cell::new(0),
            changed: Notify::new(),
            table: RefCell::default(),
            budgets: RefCell::default(),
            in_force_ms: Cell::default(),
            confirmed: Cell::default(),
            versions_from: RefCell::default(),
            registries: Cell::new(registries),
            asked: Cell::default(),
            clock: Clock::new(),
            started_wall_ms: since.as_millis() as u64,
        }
    }

    /// Milliseconds since the start; a home and silences run out also while the machine is suspended.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn info(&self) -> GatewayInfo {
        GatewayInfo {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            started_ms: self.started_wall_ms,
            address: self.settings.gateway_address,
            is_active: !self.is_stopping.get(),
        }
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version())
    }

    /// Whether the configuration in force has been confirmed since the start. A registry that has just started may
    /// know an old one.
    pub(crate) fn is_config_confirmed(&self) -> bool {
        self.confirmed.get().is_some_and(|version| version <= self.config_version())
    }

    /// Whether what the configuration in force allows may be served. One registry that has been away may tell an old
    /// one, which holds keys that were withdrawn since; most of them together know the newest, also while they have no
    /// leader to confirm it.
    pub(crate) fn is_config_trusted(&self) -> bool {
        let is_told = self.versions_from.borrow().len() * 2 > self.registries.get();
        self.table.borrow().is_some() && (is_told || self.is_config_confirmed())
    }

    /// A registry has told which version it knows.
    pub(crate) fn version_told(&self, registry: SocketAddr) {
        if self.versions_from.borrow_mut().insert(registry) {
            self.changed.notify_waiters();
        }
    }

    pub(crate) fn registry_count(&self) -> usize {
        self.registries.get()
    }

    /// Notes how many registries there are.
    pub(crate) fn set_registries(&self, count: usize) {
        self.registries.set(count);
    }

    /// A registry has confirmed that `version` was the newest one.
    pub(crate) fn set_confirmed(&self, version: u64) {
        if self.confirmed.get().is_none() {
            tracing::info!(event = "config_confirmed", version, held = self.config_version());
            self.confirmed.set(Some(version));
            self.changed.notify_waiters();
        }
    }

    /// Whether a configuration of this version should be asked for now. Several registries tell of it at once.
    pub(crate) fn is_config_wanted(&self, version: u64) -> bool {
        let (asked_version, asked_ms) = self.asked.get();
        let now_ms = self.now_ms();
        let is_asked = asked_version >= version && now_ms < asked_ms + CONFIG_PATIENCE_MS;
        if version <= self.config_version() || is_asked {
            return false;
        }
        self.asked.set((version, now_ms));
        true
    }

    /// Puts a configuration in force unless one of the same or a higher version is.
    pub(crate) fn put_in_force(&self, config: RoutingConfig) {
        let before = self.config_version();
        let is_first = self.table.borrow().is_none();
        if !is_first && config.version <= before {
            return;
        }
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            before,
            routes = config.routes.len(),
            services = config.services.len()
        );
        self.in_force_ms.set(self.now_ms());
        self.metrics.config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
        self.refresh_engines();
    }

    /// Tells the scheduler which engines may be used.
    pub(crate) fn refresh_engines(&self) {
        let Some(table) = self.table() else { return };
        let now_ms = self.now_ms();
        let fleet = self.fleet.borrow();
        let health = self.health.borrow();
        self.placer.set_engines(now_ms, &table, &fleet, &health);
        let services = table.config().services.iter();
        let usable: usize = services.map(|service| fleet.usable(&service.name).count()).sum();
        self.metrics.usable_targets.set(i64::try_from(usable).unwrap_or(i64::MAX));
        self.changed.notify_waiters();
    }

    /// Runs `f` on the budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &Arc<str>,
        f: impl FnOnce(&mut RetryBudget, u64, usize) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let gateways = self.fleet.borrow().sharing_gateways();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let table = self.table();
            let service = table.as_ref().and_then(|table| table.service(service));
            let is_pooled = service.is_some_and(|service| service.engine.is_some());
            let share = if is_pooled { BudgetShare::OWN } else { BudgetShare::UNPOOLED };
            RetryBudget::new(self.settings.retry, share)
        });
        f(budget, now_ms, gateways)
    }

    /// Brings the gauges up to date that change with time alone.
    pub(crate) fn update_gauges(&self) {
        let now_ms = self.now_ms();
        let gateways = self.fleet.borrow().sharing_gateways();
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let labels = ServiceLabels { service: service.to_string() };
            let left = budget.left(now_ms, gateways).max(0.0);
            self.metrics.retry_budget_left.get_or_create(&labels).set(left);
        }
        let age_ms = now_ms.saturating_sub(self.in_force_ms.get());
        self.metrics.config_age_seconds.set(age_ms as f64 / 1_000.0);
    }

    /// Whether new requests may be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get()
            && self.table.borrow().is_some()
            && !(self.settings.refuse_when_unlinked && self.links.get() == 0)
    }
}

/// Counts something while it lives.
#[derive(Debug)]
pub(crate) struct Counted<'a> {
    cell: &'a Cell<usize>,
    gauge: &'a prometheus_client::metrics::gauge::Gauge,
}

impl<'a> Counted<'a> {
    pub(crate) fn new(
        cell: &'a Cell<usize>,
        gauge: &'a prometheus_client::metrics::gauge::Gauge,
    ) -> Counted<'a> {
        cell.set(cell.get() + 1);
        gauge.inc();
        Counted { cell, gauge }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.cell.set(self.cell.get() - 1);
        self.gauge.dec();
    }
}
