//! Shared state of an entry instance, and the handlers that update it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mulberry_clock::Clock;
use mulberry_peers::{PeerClientSettings, PeerSecret};
use mulberry_policy::{GrantEffect, HomeLedger, PlacementPolicy, RetryBudget, TargetSelector};
use mulberry_services::ServiceClient;
use mulberry_targets::{EngineClient, EngineClientSettings};
use mulberry_telemetry::Health;
use mulberry_types::{
    Announcement, ConfigurationUpdate, Grant, HomeReply, HomeRequest, Incarnation, Member,
    Membership, NodeId, RefuseReason, Refused, RequestId, Reserve,
};

use crate::active_configuration::SharedConfiguration;
use crate::admissions::AdmissionControllers;
use crate::dispatcher::Dispatcher;
use crate::lease_state::LeaseState;
use crate::metrics::EntryMetrics;
use crate::peer_clients::PeerClients;
use crate::reservations::ReservationTable;
use crate::settings::{EntrySettings, PlacementSetting};
use crate::shared_fleet_view::SharedFleetView;
use crate::workspace_limits::WorkspaceLimits;

/// Maximum time for new homes to take over their targets. Settling the membership epoch, announcement,
/// takeover and digest take about 6 s together.
const MAX_TAKEOVER_MS: u64 = 10_000;

/// Retry delay for a request that reached an entry that is not the target's home.
const NOT_HOME_RETRY_MS: u64 = 500;

/// State shared by all threads of an entry.
#[derive(Debug)]
pub struct Entry {
    pub settings: EntrySettings,
    pub clock: Clock,
    pub node: NodeId,
    pub incarnation: Incarnation,

    /// Address at which the other entries connect to this one.
    pub peer_address: std::net::SocketAddr,

    pub health: Arc<Health>,
    pub metrics: EntryMetrics,
    pub configuration: SharedConfiguration,
    pub lease: LeaseState,
    pub peer_clients: PeerClients,
    pub fleet: SharedFleetView,
    pub reservations: ReservationTable,
    pub dispatcher: Dispatcher,
    pub admissions: AdmissionControllers,
    pub workspace_limits: WorkspaceLimits,
    pub target_selector: TargetSelector,
    pub engines: EngineClient,
    pub services: ServiceClient,
    ledger: Mutex<HomeLedger>,
    retry_budget: Mutex<RetryBudget>,
    next_request: AtomicU64,
}

impl Entry {
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        peer_address: std::net::SocketAddr,
        secret: PeerSecret,
        peer_settings: PeerClientSettings,
        shared: (Arc<Health>, EntryMetrics),
    ) -> Entry {
        let (health, metrics) = shared;
        let node = settings.node();
        let clock = Clock::new();
        let engine_settings = EngineClientSettings {
            silence_limit_ms: settings.engine_silence_ms,
            ..EngineClientSettings::default()
        };
        Entry {
            clock,
            node,
            incarnation,
            peer_address,
            health,
            metrics,
            configuration: SharedConfiguration::default(),
            lease: LeaseState::new(clock, node, incarnation),
            peer_clients: PeerClients::new(node, secret, peer_settings),
            fleet: SharedFleetView::new(),
            reservations: ReservationTable::default(),
            dispatcher: Dispatcher::new(settings.max_queued_requests),
            admissions: AdmissionControllers::default(),
            workspace_limits: WorkspaceLimits::default(),
            target_selector: TargetSelector::new(settings.zone.clone(), settings.cross_zone_ms),
            engines: EngineClient::new(engine_settings),
            services: ServiceClient::default(),
            ledger: Mutex::new(HomeLedger::new(node, incarnation, Arc::default())),
            retry_budget: Mutex::new(RetryBudget::new()),
            next_request: AtomicU64::new(1),
            settings,
        }
    }

    /// Generates a request id. Each attempt of a request has its own.
    pub fn next_request_id(&self) -> RequestId {
        let counter = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId { node: self.node, incarnation: self.incarnation, counter }
    }

    /// Membership record of this entry.
    pub fn as_member(&self) -> Member {
        Member {
            node: self.node,
            incarnation: self.incarnation,
            peer_address: self.peer_address,
            zone: self.settings.zone.clone(),
        }
    }

    pub fn placement_policy(&self) -> PlacementPolicy {
        match self.settings.placement {
            PlacementSetting::ExpectedTime => PlacementPolicy::ExpectedTime,
            PlacementSetting::RoundRobin => PlacementPolicy::RoundRobin,
            PlacementSetting::LeastReportedLoad => PlacementPolicy::LeastReportedLoad,
        }
    }

    /// Locks the ledger of the targets for which this entry is the home.
    pub fn ledger(&self) -> MutexGuard<'_, HomeLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a configuration update that was pushed or arrived with a lease grant.
    pub fn apply_update(&self, update: ConfigurationUpdate) {
        let Some(active) = self.configuration.apply(update) else { return };
        self.ledger().configuration_applied(active.configuration.clone());
        let effect =
            self.lease.update(|state, now_ms| state.lease.version_applied(active.version, now_ms));
        self.handle_grant_effect(effect);
        self.metrics.configuration_version.set(active.version.0 as i64);
        tracing::info!(version = %active.version, "configuration_in_force");
    }

    /// Applies a membership that was pushed or arrived with a lease grant. Ignores outdated ones.
    pub fn apply_membership(&self, membership: Membership) {
        let membership = Arc::new(membership);
        let before = self.lease.membership();
        if membership.epoch <= before.epoch {
            return;
        }
        self.lease.update(|state, _| state.ownership.membership_applied(&membership));
        self.retain_owned_targets();
        for former in before.members.iter().filter(|member| !is_member(&membership, member)) {
            self.ledger().member_removed(former.node, former.incarnation);
        }
        self.peer_clients.membership_applied(&membership);
        let configuration = &self.configuration.current().configuration;
        self.fleet.membership_applied(self.clock.now_ms(), &membership, configuration);
        self.metrics.membership_epoch.set(membership.epoch.0 as i64);
        tracing::info!(
            epoch = %membership.epoch, members = membership.members.len(), "membership_applied"
        );
    }

    /// Applies a lease grant and the updates that it carries.
    pub fn apply_grant(&self, mut grant: Grant) {
        if let Some(update) = grant.update.take() {
            self.apply_update(update);
        }
        if let Some(membership) = grant.membership.take() {
            self.apply_membership(membership);
        }
        let version = self.configuration.current().version;
        let effect =
            self.lease.update(|state, now_ms| state.lease.grant_received(&grant, version, now_ms));
        self.handle_grant_effect(effect);
        if effect != GrantEffect::Ignored {
            self.lease.update(|state, _| state.ownership.epoch_settled(grant.settled_epoch));
        }
    }

    /// Updates the readiness that the load balancer sees.
    ///
    /// After a start or a loss of the control majority, homes need some seconds to take over their
    /// targets. The entry is not ready until it knows a target that accepts work. If it knows none
    /// after [`MAX_TAKEOVER_MS`], it becomes ready and answers requests with `no_target`.
    pub fn update_readiness(&self, ready_targets: usize) {
        let knows_targets = ready_targets > 0 || self.lease.valid_for_ms() >= MAX_TAKEOVER_MS;
        self.health.set_ready(self.lease.is_valid() && knows_targets);
    }

    /// Gives up the lease and stops acting as home of any target.
    pub fn relinquish_lease(&self) {
        self.lease.update(|state, _| {
            state.lease.relinquish();
            state.ownership.lease_lost();
        });
        self.health.set_ready(false);
        self.retain_owned_targets();
    }

    /// Detects an expired lease. Called periodically.
    pub fn check_lease(&self) {
        self.metrics.lease_remaining_ms.set(self.lease.remaining_ms() as i64);
        if self.lease.has_just_expired() {
            tracing::warn!("lease_expired");
            self.relinquish_lease();
        }
    }

    /// Handles a message to this entry as a home, sent by another entry or by this one.
    pub fn handle_home_request(&self, request: HomeRequest) -> HomeReply {
        let now_ms = self.clock.now_ms();
        match request {
            HomeRequest::Announce(announcement) => self.accept_announcement(now_ms, announcement),
            HomeRequest::Reserve(reserve) => self.reserve_locally(now_ms, &reserve),
            HomeRequest::Extend { node, incarnation, reservations } => {
                let unknown = self.ledger().extend(now_ms, node, incarnation, &reservations);
                HomeReply::Extended { unknown }
            }
            HomeRequest::Release(release) => {
                self.ledger().release(now_ms, &release);
                self.dispatcher.dispatch(self);
                HomeReply::Done
            }
            HomeRequest::FirstToken { reservation } => {
                self.ledger().first_token(now_ms, reservation);
                HomeReply::Done
            }
            HomeRequest::Digest(digest) => {
                let configuration = &self.configuration.current().configuration;
                self.fleet.digest_received(now_ms, digest, configuration);
                self.dispatcher.dispatch(self);
                HomeReply::Done
            }
        }
    }

    /// Handles an announcement received over HTTP: applies it or forwards it to the target's home.
    ///
    /// # Errors
    /// The target's home cannot be reached; the target should announce to another entry.
    pub fn handle_announcement(&self, announcement: Announcement) -> Result<(), Refused> {
        let membership = self.lease.membership();
        let not_home = Refused { reason: RefuseReason::NotHome, retry_after_ms: NOT_HOME_RETRY_MS };
        let home = membership.home_of(&announcement.target).ok_or(not_home.clone())?;
        let request = HomeRequest::Announce(announcement);
        if home.node == self.node {
            return match self.handle_home_request(request) {
                HomeReply::Refused(refused) => Err(refused),
                _ => Ok(()),
            };
        }
        let client = self.peer_clients.client(home).ok_or(not_home.clone())?;
        client.send(&request).map_err(|_| not_home)
    }

    fn accept_announcement(&self, now_ms: u64, announcement: Announcement) -> HomeReply {
        // Lock the ledger before checking for ownership. If this entry stops being the home after
        // the check, `retain_owned_targets` waits for the lock and then removes the target.
        let mut ledger = self.ledger();
        if !self.lease.acts_for(&announcement.target) {
            return not_home(&self.lease);
        }
        ledger.announce(now_ms, announcement);
        HomeReply::Done
    }

    fn reserve_locally(&self, now_ms: u64, reserve: &Reserve) -> HomeReply {
        let mut ledger = self.ledger();
        if !self.lease.acts_for(&reserve.target) {
            return not_home(&self.lease);
        }
        match ledger.reserve(now_ms, reserve) {
            Ok(reserved) => HomeReply::Reserved(reserved),
            Err(refused) => HomeReply::Refused(refused),
        }
    }

    fn handle_grant_effect(&self, effect: GrantEffect) {
        if effect == GrantEffect::ValidAfterGap {
            tracing::info!("lease_valid");
            self.lease.update(|state, _| state.ownership.lease_lost());
            self.retain_owned_targets();
        }
    }

    fn retain_owned_targets(&self) {
        let mut ledger = self.ledger();
        let epoch = self.lease.membership().epoch;
        ledger.retain_targets(epoch, |target| self.lease.acts_for(target));
    }
}

fn not_home(lease: &LeaseState) -> HomeReply {
    let reason = if lease.is_valid() { RefuseReason::NotHome } else { RefuseReason::LeaseLost };
    HomeReply::Refused(Refused { reason, retry_after_ms: NOT_HOME_RETRY_MS })
}

fn is_member(membership: &Membership, member: &Member) -> bool {
    membership.member(member.node).is_some_and(|found| found.incarnation == member.incarnation)
}
