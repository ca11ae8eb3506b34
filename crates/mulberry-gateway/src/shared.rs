//! State shared by the tasks of a gateway, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use mulberry_clock::Clock;
use mulberry_directory::GatewayInfo;
use mulberry_quarantine::{PartChange, PartGuard, PartStatus, TimeMs, Verdict};
use mulberry_routes::{RouteTable, RoutingConfig};
use tokio::sync::Notify;

use crate::capacity::CapacityExchange;
use crate::crash_detection::{BrokenRequest, CrashDetector};
use crate::dialect::ResponseFields;
use crate::held_memory::HeldMemory;
use crate::hex_list::HexList;
use crate::metrics::{GatewayMetrics, ServiceLabels};
use crate::peer_forwarding::PeerForwarding;
use crate::placement::Placer;
use crate::response_memory::ResponseMemory;
use crate::target_pool::TargetPool;
use crate::{
    BudgetShare, Dialect, FleetView, GatewaySettings, Reachability, RetryBudget, TargetHealth,
};

/// Time to wait for a requested configuration before it is requested from another registry.
const CONFIG_REQUEST_TIMEOUT_MS: u64 = 250;

/// State shared by the tasks of a gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: GatewaySettings,
    pub dialect: Rc<dyn Dialect>,
    pub incarnation: u64,
    pub fleet: RefCell<FleetView>,
    pub health: RefCell<TargetHealth>,
    pub reachability: RefCell<Reachability>,
    pub peers: PeerForwarding,
    pub pool: TargetPool,
    pub response_memory: ResponseMemory,
    pub held_memory: Rc<HeldMemory>,
    pub part_guard: RefCell<PartGuard>,
    pub crash_detector: CrashDetector,
    pub placer: Placer,
    pub capacity: CapacityExchange,
    pub metrics: GatewayMetrics,
    pub is_stopping: Cell<bool>,

    /// Whether new requests are refused because the stop may not leave enough time to finish them.
    pub refuses_new_requests: Cell<bool>,

    /// Whether the time of a stop is over, and open requests must be answered now.
    pub must_answer: Cell<bool>,

    pub links: Cell<usize>,
    pub active: Cell<usize>,
    pub connections: Cell<usize>,

    /// Notified when `must_answer` is set.
    pub must_answer_set: Notify,

    /// Notified when the configuration or the known targets change.
    pub changed: Notify,

    /// Notified when a part of prompts is quarantined.
    pub part_quarantined: Notify,

    /// Notified when there are messages for the registries about parts of prompts.
    pub part_messages_added: Notify,

    table: RefCell<Option<Rc<RouteTable>>>,
    budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,

    /// When the configuration came into force.
    config_applied_ms: Cell<u64>,

    /// Version that a registry has confirmed since the start, if any.
    confirmed_version: Cell<Option<u64>>,

    /// Registries that have reported a version since the start.
    version_reporters: RefCell<HashSet<SocketAddr>>,

    /// Number of registries that each registry knows, itself included.
    registry_counts: RefCell<HashMap<SocketAddr, usize>>,

    /// Version that was requested last, and when.
    last_config_request: Cell<(u64, u64)>,

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
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let metrics = GatewayMetrics::default();
        let held_memory = HeldMemory::new(&settings, &metrics);
        Shared {
            response_memory: ResponseMemory::new(&settings, held_memory.clone()),
            held_memory,
            capacity: CapacityExchange::new(settings.learns_capacity, incarnation),
            settings,
            dialect,
            incarnation,
            fleet: RefCell::default(),
            health: RefCell::default(),
            reachability: RefCell::default(),
            peers: PeerForwarding::default(),
            part_guard: RefCell::default(),
            crash_detector: CrashDetector::default(),
            pool: TargetPool::default(),
            placer,
            metrics,
            is_stopping: Cell::new(false),
            refuses_new_requests: Cell::new(false),
            must_answer: Cell::new(false),
            links: Cell::new(0),
            active: Cell::new(0),
            connections: Cell::new(0),
            must_answer_set: Notify::new(),
            changed: Notify::new(),
            part_quarantined: Notify::new(),
            part_messages_added: Notify::new(),
            table: RefCell::default(),
            budgets: RefCell::default(),
            config_applied_ms: Cell::default(),
            confirmed_version: Cell::default(),
            version_reporters: RefCell::default(),
            registry_counts: RefCell::default(),
            last_config_request: Cell::default(),
            clock: Clock::new(),
            started_wall_ms: since.as_millis() as u64,
        }
    }

    /// Milliseconds since the start. The clock also advances while the machine is suspended, so that timeouts expire
    /// during that time.
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
    /// hold an old one.
    pub(crate) fn is_config_confirmed(&self) -> bool {
        self.confirmed_version.get().is_some_and(|version| version <= self.config_version())
    }

    /// Whether requests that the configuration in force allows may be served. A single registry that was unavailable
    /// may report an old configuration with API keys that have been revoked since. A majority of registries knows the
    /// newest one, even while there is no leader to confirm it.
    pub(crate) fn is_config_trusted(&self) -> bool {
        let is_majority_known = self.version_reporters.borrow().len() * 2 > self.registry_count();
        self.table.borrow().is_some() && (is_majority_known || self.is_config_confirmed())
    }

    /// Records that a registry has reported a version that is in force here.
    pub(crate) fn record_version_report(&self, registry: SocketAddr) {
        if self.version_reporters.borrow_mut().insert(registry) {
            self.changed.notify_waiters();
        }
    }

    /// Number of registries of which a majority is needed: the largest that one of them knows, since one that has just
    /// started or lost its disk may know few others.
    pub(crate) fn registry_count(&self) -> usize {
        let counts = self.registry_counts.borrow();
        counts.values().copied().max().unwrap_or(self.settings.seeds.len())
    }

    /// Records the number of registries that `registry` knows.
    pub(crate) fn set_registry_count(&self, registry: SocketAddr, count: usize) {
        self.registry_counts.borrow_mut().insert(registry, count);
    }

    /// Forgets the number of registries that `registry` knew.
    pub(crate) fn forget_registry(&self, registry: SocketAddr) {
        self.registry_counts.borrow_mut().remove(&registry);
    }

    /// Records that a registry has confirmed `version` as the newest one. Only the first confirmation counts.
    pub(crate) fn confirm_config(&self, version: u64) {
        if self.confirmed_version.get().is_none() {
            tracing::info!(event = "config_confirmed", version, held = self.config_version());
            self.confirmed_version.set(Some(version));
            self.changed.notify_waiters();
        }
    }

    /// Whether this version should be requested now. Avoids duplicate requests when several registries report it at
    /// once.
    pub(crate) fn should_request_config(&self, version: u64) -> bool {
        let (requested_version, requested_ms) = self.last_config_request.get();
        let now_ms = self.now_ms();
        let is_pending =
            requested_version >= version && now_ms < requested_ms + CONFIG_REQUEST_TIMEOUT_MS;
        if version <= self.config_version() || is_pending {
            return false;
        }
        self.last_config_request.set((version, now_ms));
        true
    }

    /// Puts a configuration in force unless the current version is the same or higher.
    pub(crate) fn apply_config(&self, config: RoutingConfig) {
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
        self.config_applied_ms.set(self.now_ms());
        self.metrics.config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        let table = RouteTable::new(config);
        self.reachability.borrow_mut().retain(|service| table.service(service).is_some());
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.refresh_engines();
    }

    /// Updates the usable engines in the schedulers.
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
            let has_homes = service.is_some_and(|service| service.engine.is_some());
            let share =
                if has_homes { BudgetShare::GATEWAY_WITH_HOME } else { BudgetShare::GATEWAY_ONLY };
            RetryBudget::new(self.settings.retry, share)
        });
        f(budget, now_ms, gateways)
    }

    /// Evaluates what a target says about itself in a response.
    pub(crate) fn target_responded(
        &self,
        target_id: &Arc<str>,
        status: u16,
        fields: &ResponseFields,
    ) {
        // A misdirected request was answered by another target at the same address.
        if status == 421 {
            return;
        }
        if fields.is_leaving && self.fleet.borrow_mut().set_leaving(target_id) {
            tracing::info!(event = "target_leaving", target_id = %target_id, status);
            self.refresh_engines();
        }
        if let Some(time_ms) = fields.retry_after_ms.filter(|_| status == 503) {
            tracing::info!(event = "target_backs_off", target_id = %target_id, time_ms);
            self.health.borrow_mut().back_off(self.now_ms(), target_id, time_ms);
        }
    }

    /// Whether this gateway must not send requests to a target that may get them otherwise.
    pub(crate) fn is_refusing(&self, target_id: &str) -> bool {
        self.health.borrow().back_off_left_ms(self.now_ms(), target_id) > 0
    }

    /// Time until the first target of a service takes requests again, if all that may get requests have asked for a
    /// pause.
    pub(crate) fn back_off_left_ms(&self, service: &str) -> Option<u64> {
        let (now_ms, health) = (self.now_ms(), self.health.borrow());
        let fleet = self.fleet.borrow();
        let usable = fleet.usable(service);
        let left_ms = usable.map(|record| health.back_off_left_ms(now_ms, &record.id)).min();
        left_ms.filter(|left_ms| *left_ms > 0)
    }

    /// [`Self::now_ms`] as the time of the quarantine.
    pub(crate) fn part_now_ms(&self) -> TimeMs {
        TimeMs::try_from(self.now_ms()).unwrap_or(TimeMs::MAX)
    }

    /// Decides whether a request with these parts in its prompt may be sent to engines.
    pub(crate) fn admit_parts(&self, parts: &[u64]) -> Verdict {
        let runs_trials =
            |part| self.fleet.borrow().rank_at(&format!("{part:x}"), &self.settings.name) == 0;
        let mut part_guard = self.part_guard.borrow_mut();
        let sequence = part_guard.next_sequence();
        let verdict = part_guard.admit(self.part_now_ms(), parts, runs_trials);
        if part_guard.next_sequence() > sequence {
            self.part_messages_added.notify_waiters();
        }
        verdict
    }

    /// Records that an engine has survived a request with these parts in its prompt.
    pub(crate) fn parts_survived(&self, parts: &[u64]) {
        let mut part_guard = self.part_guard.borrow_mut();
        let sequence = part_guard.next_sequence();
        for part in part_guard.record_survival(self.part_now_ms(), parts) {
            let part = format_args!("{part:x}");
            tracing::info!(event = "part_released", part, source = "survival");
        }
        if part_guard.next_sequence() > sequence {
            self.part_messages_added.notify_waiters();
        }
    }

    /// Reports that an engine crashed before it survived a request.
    pub(crate) fn report_crash(&self, crashed_at_ms: u64, request: &BrokenRequest) {
        tracing::info!(
            event = "engine_crashed",
            request_id = %request.id,
            target_id = %request.engine,
            prompt_parts = %HexList(&request.parts)
        );
        self.metrics.crashed_requests.inc();
        let crashed_at_ms = TimeMs::try_from(crashed_at_ms).unwrap_or(TimeMs::MAX);
        let BrokenRequest { engine, key, parts, .. } = request;
        let mut part_guard = self.part_guard.borrow_mut();
        part_guard.record_crash(self.part_now_ms(), crashed_at_ms, engine, *key, parts);
        self.part_messages_added.notify_waiters();
    }

    /// Merges what a registry knows about parts of prompts.
    pub(crate) fn receive_part_statuses(&self, registry: SocketAddr, statuses: &[PartStatus]) {
        let now_ms = self.part_now_ms();
        let mut part_guard = self.part_guard.borrow_mut();
        let sequence = part_guard.next_sequence();
        for status in statuses {
            let part = format_args!("{:x}", status.id);
            match part_guard.receive(now_ms, status) {
                PartChange::Unchanged | PartChange::Refreshed => {}
                PartChange::Quarantined => {
                    tracing::warn!(event = "part_quarantined", part, source = %registry);
                    self.part_quarantined.notify_waiters();
                }
                PartChange::Released => {
                    tracing::info!(event = "part_released", part, source = %registry);
                }
            }
        }
        if part_guard.next_sequence() > sequence {
            self.part_messages_added.notify_waiters();
        }
    }

    /// Removes expired parts of prompts.
    pub(crate) fn expire_parts(&self) {
        let mut part_guard = self.part_guard.borrow_mut();
        for part in part_guard.expire(self.part_now_ms()) {
            tracing::info!(event = "part_expired", part = format_args!("{part:x}"));
        }
        self.metrics.quarantined_parts.set(part_guard.quarantined_count() as i64);
    }

    /// Updates the gauges that change with time alone.
    pub(crate) fn update_gauges(&self) {
        let now_ms = self.now_ms();
        let gateways = self.fleet.borrow().sharing_gateways();
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let labels = ServiceLabels { service: service.to_string() };
            let left = budget.remaining(now_ms, gateways).max(0.0);
            self.metrics.retry_budget_left.get_or_create(&labels).set(left);
        }
        let age_ms = now_ms.saturating_sub(self.config_applied_ms.get());
        self.metrics.config_age_seconds.set(age_ms as f64 / 1_000.0);
    }

    /// Whether new requests may be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get()
            && self.table.borrow().is_some()
            && !(self.settings.refuse_when_unlinked && self.links.get() == 0)
    }
}

/// Increments a counter and a gauge, and decrements them when dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<'a> {
    cell: &'a Cell<usize>,
    gauge: &'a prometheus_client::metrics::gauge::Gauge,
}

impl<'a> CountGuard<'a> {
    pub(crate) fn new(
        cell: &'a Cell<usize>,
        gauge: &'a prometheus_client::metrics::gauge::Gauge,
    ) -> CountGuard<'a> {
        cell.set(cell.get() + 1);
        gauge.inc();
        CountGuard { cell, gauge }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.cell.set(self.cell.get() - 1);
        self.gauge.dec();
    }
}
