//! Reservations of one home on all of its targets.
//!
//! # Accounting
//!
//! Four kinds of usage count against the memory and slots of a target:
//!
//! - Live reservations: the prompt and the longest allowed answer.
//! - Lingering reservations, which have ended but whose work may still be on the target: expired
//!   ones, and released ones whose work was interrupted. They count until an inventory that was
//!   requested after their end does not include them. For a released one that no inventory has
//!   included yet, the inventory must be requested more than 750 ms after its end, because the work may
//!   still be in transit to the target.
//! - Unmatched items: items of the target's inventory that belong to neither of these.
//! - Surplus: load reported by the target in excess of all of these. Reports lag, so capacity
//!   released within the last two seconds is not counted as surplus.
//!
//! # Takeover of a target
//!
//! A new home does not know what its predecessor granted. Three rules prevent overcommitment:
//!
//! - An entry starts work only within 750 ms of a message that the home has answered
//!   ([`crate::HeldReservation::may_start`]), so a grant of the predecessor is not used after that.
//! - The new home grants nothing until it has an inventory of the target that it requested at least
//!   1,500 ms after it took over: those 750 ms, and 750 ms for work in transit.
//! - Entries reregister their reservations. The reply to an `Extend` lists the ids that are not live
//!   here, and for these the entry then sends `Reserve` with the same request ids.
//!   Reservation ids are derived from request and target, so every home computes the same id,
//!   recognises the `Reserve` as a reregistration, and checks only memory and slots. Until then, an
//!   extended id protects the listed work of its request from cleanup.
//!
//! A new home finds work that it holds no reservation for. If the entry that started the work is still
//! a member, the home does not cancel it for two lease lengths. Within the first, that entry receives
//! the new epoch, even if messages are lost or late, or loses its own lease; the second leaves it time
//! to reregister. Work of removed members gets only the short grace period, so that the capacity held
//! by a dead entry is free within 8 s. An entry that is cut off from control but finishes its streams
//! keeps them by sending `Extend` to all members that it knows.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use mulberry_types::{
    Announcement, Configuration, HomeDigest, Incarnation, MembershipEpoch, NodeId, RefuseReason,
    Refused, Release, RequestId, ReservationId, Reserve, Reserved,
};
use xxhash_rust::xxh3::Xxh3;

use crate::held_reservation::RESERVATION_TTL_MS;
use crate::long_prefill_cap::LONG_PROMPT_TOKENS;
use crate::target_record::{TargetRecord, refused};
use crate::{CleanupOrder, InventoryKind, LongPrefillCap, TargetInventory};

/// A target without an announcement for this long is removed from the ledger.
const TARGET_RETENTION_MS: u64 = 60_000;

/// Time for which removed members are remembered.
const REMOVED_MEMBER_RETENTION_MS: u64 = 60_000;

/// Counts of the ledger, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    pub targets: usize,
    pub reservations: usize,

    /// Ended reservations whose capacity may still be in use.
    pub lingering: usize,

    /// Inventory items without a reservation.
    pub unmatched: usize,

    /// Expired reservations since the start.
    pub expired: u64,
}

/// Reservations on all targets of one home.
#[derive(Debug)]
pub struct HomeLedger {
    node: NodeId,
    incarnation: Incarnation,
    epoch: MembershipEpoch,
    configuration: Arc<Configuration>,
    long_prefill_cap: Arc<LongPrefillCap>,
    targets: BTreeMap<Arc<str>, TargetRecord>,

    /// Target of each live or lingering reservation.
    target_of: HashMap<ReservationId, Arc<str>>,

    /// Reservations that an entry has extended but that are unknown here, with the time of the last
    /// extension. Their entry is expected to reregister them.
    awaiting_reregistration: HashMap<ReservationId, u64>,

    /// Members that have left or expired, with the time of the first `expire` after it.
    removed_members: HashMap<(NodeId, Incarnation), Option<u64>>,

    digest_sequence: u64,
    expired: u64,
}

/// Id of the reservation of a request on a target. Every home computes the same one.
#[must_use]
pub fn reservation_id(request: RequestId, target: &str) -> ReservationId {
    let mut hash = Xxh3::new();
    hash.update(&request.node.0.to_le_bytes());
    hash.update(&request.incarnation.0.to_le_bytes());
    hash.update(&request.counter.to_le_bytes());
    hash.update(target.as_bytes());
    ReservationId(hash.digest())
}

impl HomeLedger {
    /// A ledger without targets.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        configuration: Arc<Configuration>,
    ) -> HomeLedger {
        HomeLedger {
            node,
            incarnation,
            epoch: MembershipEpoch::default(),
            configuration,
            long_prefill_cap: Arc::new(LongPrefillCap::default()),
            targets: BTreeMap::new(),
            target_of: HashMap::new(),
            awaiting_reregistration: HashMap::new(),
            removed_members: HashMap::new(),
            digest_sequence: 0,
            expired: 0,
        }
    }

    /// Applies a new configuration. A target that returns to service, by itself or with its
    /// availability zone, ramps up again, because it has been idle and its caches may be cold.
    pub fn configuration_applied(&mut self, configuration: Arc<Configuration>) {
        for (name, record) in &mut self.targets {
            let zone = &record.announcement.zone;
            let was_in =
                self.configuration.zone_is_in(zone) && self.configuration.target_is_in(name);
            let is_in = configuration.zone_is_in(zone) && configuration.target_is_in(name);
            if is_in && !was_in {
                record.ramp.restart();
            }
        }
        self.configuration = configuration;
    }

    /// Applies a new cap, computed from the fleet view that includes this home's own digest. Call it
    /// after each [`crate::FleetView::prepare`]; without a cap no long prompt is granted.
    pub fn long_prefill_cap_changed(&mut self, cap: Arc<LongPrefillCap>) {
        self.long_prefill_cap = cap;
    }

    /// Removes the targets that this entry does not act for. Call this after each change of the
    /// membership, and with a predicate that is always false when the lease is lost. A target that
    /// returns later goes through a new takeover. Later digests carry `epoch`.
    pub fn retain_targets(
        &mut self,
        epoch: MembershipEpoch,
        mut acts_for: impl FnMut(&str) -> bool,
    ) {
        self.epoch = epoch;
        let target_of = &mut self.target_of;
        self.targets.retain(|name, record| {
            let keep = acts_for(name);
            if !keep {
                record.unindex_reservations(target_of);
            }
            keep
        });
    }

    /// Handles an announcement of a target that this entry acts for as home.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) {
        let name = Arc::clone(&announcement.target);
        match self.targets.get_mut(&name) {
            Some(record) => record.announce(now_ms, announcement, &mut self.target_of),
            None => {
                self.targets.insert(name, TargetRecord::taken_over(now_ms, announcement));
            }
        }
    }

    /// Grants a reservation, or returns the reason of the refusal and when to retry.
    ///
    /// The caller has checked that it acts for the target. The same request id on the same target
    /// gets the same reservation again, so a `Reserve` whose answer was lost may be resent. A new
    /// attempt of a request needs a new request id, or a late `Release` of the first attempt ends
    /// it.
    ///
    /// # Errors
    /// The target takes no work, has no capacity, or is unknown.
    pub fn reserve(&mut self, now_ms: u64, reserve: &Reserve) -> Result<Reserved, Refused> {
        let Some(record) = self.targets.get_mut(&reserve.target) else {
            return Err(refused(RefuseReason::TargetUnknown, 1_000));
        };
        let id = reservation_id(reserve.request, &reserve.target);
        if let Some(reservation) = record.reservations.get_mut(&id) {
            reservation.extended_ms = now_ms;
            return Ok(record.reserved(id));
        }
        let is_reregistration = self
            .awaiting_reregistration
            .get(&id)
            .is_some_and(|at_ms| now_ms < at_ms + RESERVATION_TTL_MS);
        if is_reregistration {
            record.check_capacity(id, reserve)?;
            self.awaiting_reregistration.remove(&id);
        } else {
            record.check_state(now_ms, &self.configuration)?;
            if reserve.remaining_ms == 0 {
                return Err(refused(RefuseReason::DeadlineTooShort, 0));
            }
            record.check_ramp(now_ms, reserve)?;
            if record.is_engine()
                && reserve.prompt_tokens > LONG_PROMPT_TOKENS
                && !self.long_prefill_cap.allows_for_any_model(&reserve.target)
            {
                let retry_after_ms = record.retry_after_ms();
                return Err(refused(RefuseReason::LongPrefillCap, retry_after_ms));
            }
            record.check_capacity(id, reserve)?;
            record.check_first_token_limit(now_ms, reserve)?;
            record.breaker.request_sent(now_ms);
        }
        record.insert(now_ms, id, reserve);
        self.target_of.insert(id, Arc::clone(&reserve.target));
        Ok(record.reserved(id))
    }

    /// Extends reservations of one entry. Returns those that are not live here: either this home has
    /// taken over their target and they must be reregistered, or they are lost.
    pub fn extend(
        &mut self,
        now_ms: u64,
        node: NodeId,
        incarnation: Incarnation,
        reservations: &[ReservationId],
    ) -> Vec<ReservationId> {
        self.removed_members.remove(&(node, incarnation));
        let mut unknown = Vec::new();
        for &id in reservations {
            let record = self.target_of.get(&id).and_then(|target| self.targets.get_mut(target));
            if record.is_some_and(|record| record.extend(now_ms, id)) {
                continue;
            }
            self.awaiting_reregistration.insert(id, now_ms);
            unknown.push(id);
        }
        unknown
    }

    /// Releases a reservation. Unknown ids are ignored, for example after a resent `Release`.
    pub fn release(&mut self, now_ms: u64, release: &Release) {
        self.awaiting_reregistration.remove(&release.reservation);
        let Some(record) = self.targets.get_mut(&release.target) else {
            return;
        };
        if record.release(now_ms, release) {
            self.target_of.remove(&release.reservation);
        }
    }

    /// Records the first token of a reservation: its prompt is no longer queued. Without
    /// this call the prompt counts as queued for its expected time.
    pub fn first_token(&mut self, now_ms: u64, reservation: ReservationId) {
        let record =
            self.target_of.get(&reservation).and_then(|target| self.targets.get_mut(target));
        if let Some(reservation) =
            record.and_then(|record| record.reservations.get_mut(&reservation))
        {
            reservation.prefill_until_ms = now_ms;
        }
    }

    /// Expires reservations that were not extended, and removes targets that stopped announcing
    /// themselves. Call this every 100 ms.
    pub fn expire(&mut self, now_ms: u64) {
        for record in self.targets.values_mut() {
            self.expired += record.expire(now_ms, &mut self.target_of);
        }
        let target_of = &mut self.target_of;
        self.targets.retain(|_, record| {
            let keep = now_ms < record.last_announced_ms + TARGET_RETENTION_MS
                || !record.reservations.is_empty();
            if !keep {
                record.unindex_reservations(target_of);
            }
            keep
        });
        self.awaiting_reregistration.retain(|_, at_ms| now_ms < *at_ms + RESERVATION_TTL_MS);
        self.removed_members.retain(|_, since_ms| {
            now_ms < *since_ms.get_or_insert(now_ms) + REMOVED_MEMBER_RETENTION_MS
        });
    }

    /// Records that a member has left or expired. Its live reservations are kept while they are
    /// extended, because an entry that is cut off from control finishes its streams. Its other work
    /// loses the long grace period.
    pub fn member_removed(&mut self, node: NodeId, incarnation: Incarnation) {
        self.removed_members.insert((node, incarnation), None);
    }

    /// Creates the next digest of all targets for the other entries.
    #[must_use]
    pub fn digest(&mut self, now_ms: u64) -> HomeDigest {
        self.digest_sequence += 1;
        HomeDigest {
            node: self.node,
            incarnation: self.incarnation,
            epoch: self.epoch,
            sequence: self.digest_sequence,
            targets: self
                .targets
                .values()
                .map(|record| record.digest(now_ms, &self.configuration))
                .collect(),
        }
    }

    /// Reconciles a target's inventory with the reservations. Returns orders to end the items that
    /// have had no live reservation for the grace period. Later calls repeat the orders until the
    /// target no longer lists the item.
    pub fn reconcile(
        &mut self,
        now_ms: u64,
        target: &str,
        inventory: &TargetInventory,
    ) -> Vec<CleanupOrder> {
        let Some(record) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        // A late, older inventory lacks work that the newer one included.
        let is_late = inventory.requested_ms < record.inventory_requested_ms;
        if is_late || inventory.boot_id != record.announcement.boot_id {
            return Vec::new();
        }
        record.inventory_requested_ms = inventory.requested_ms;
        record.reconcile(now_ms, inventory, &mut self.target_of);
        let awaiting_reregistration = &self.awaiting_reregistration;
        let removed_members = &self.removed_members;
        inventory
            .items
            .iter()
            .filter(|item| {
                record.needs_cleanup(now_ms, item, awaiting_reregistration, removed_members)
            })
            .map(|item| match item.kind {
                InventoryKind::Stream => CleanupOrder::CancelStream { id: Arc::clone(&item.id) },
                InventoryKind::Export => CleanupOrder::FreeExport { id: Arc::clone(&item.id) },
            })
            .collect()
    }

    /// Announcements of all engines, whose inventories the caller requests periodically.
    pub fn engines(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().filter(|record| record.is_engine()).map(|record| &record.announcement)
    }

    /// Newest announcement of a target.
    #[must_use]
    pub fn announcement(&self, target: &str) -> Option<&Announcement> {
        self.targets.get(target).map(|record| &record.announcement)
    }

    /// Counts for metrics.
    #[must_use]
    pub fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts {
            targets: self.targets.len(),
            expired: self.expired,
            ..LedgerCounts::default()
        };
        for record in self.targets.values() {
            counts.reservations += record.reservations.len();
            counts.lingering += record.lingering.len();
            counts.unmatched += record.unmatched.len();
        }
        counts
    }
}
