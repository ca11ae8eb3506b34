//! State that a home keeps per target: reservations, slow start, circuit breaker and the target's
//! own inventory.
//!
//! The accounting rules are described in the `home_ledger` module.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use mulberry_types::{
    Announcement, Configuration, Incarnation, NodeId, Priority, RefuseReason, Refused, Release,
    ReleaseOutcome, ReservationId, Reserve, Reserved, TargetDigest, TargetKind,
};

use crate::held_reservation::{RESERVATION_TTL_MS, START_WINDOW_MS};
use crate::long_prefill_cap::LONG_PROMPT_TOKENS;
use crate::{
    CircuitBreaker, ColdRamp, CostModel, InventoryItem, InventoryKind, TargetInventory,
    reservation_id,
};

/// A target without an announcement for this long gets no work. Two lost announcements are
/// tolerated.
const ANNOUNCEMENT_TIMEOUT_MS: u64 = 3_000;

/// Maximum time from an entry's decision to send work until the target's inventory shows it.
const WORK_TRANSIT_MS: u64 = 750;

/// Time after which a new home can count the work that its predecessor admitted to a target.
pub(crate) const TAKEOVER_WAIT_MS: u64 = START_WINDOW_MS + WORK_TRANSIT_MS;

/// Grace period for inventory items without a reservation, because a release and an inventory may
/// cross each other.
const CLEANUP_GRACE_MS: u64 = 1_000;

/// Grace period after a takeover for items of live entries: two lease lengths.
const TAKEOVER_GRACE_MS: u64 = 6_000;

/// Lingering capacity is freed after this time even without an inventory, so that a target whose
/// inventory requests fail does not lose capacity permanently.
const MAX_LINGERING_MS: u64 = 10_000;

/// Maximum lag of load reports.
const REPORT_LAG_MS: u64 = 2_000;

/// Time for which a `leaving` announcement stays in effect, so that an older announcement that
/// arrives late does not cancel it.
const LEAVING_MS: u64 = 5_000;

/// Announcements with a boot id that was replaced less than this long ago are ignored as late. After
/// this time the boot id is accepted again: boot ids are not ordered, so the announcement that
/// replaced it may have been the late one.
const LATE_ANNOUNCEMENT_MS: u64 = 5_000;

/// Maximum number of replaced boot ids to store per target. Further restarts within
/// [`LATE_ANNOUNCEMENT_MS`] are not told apart.
const MAX_REPLACED_BOOTS: usize = 8;

/// Minimum prompt length for a measurement of the prefill speed.
const MIN_SPEED_PROMPT_TOKENS: u64 = 1_000;

/// Bounds of the retry time in refusals.
const MIN_RETRY_MS: u64 = 20;
const MAX_RETRY_MS: u64 = 5_000;

/// Initial estimate of how long a reservation is held.
const DEFAULT_HOLD_MS: f64 = 1_000.0;

/// Weight of a new observation in the mean hold time.
const HOLD_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub(crate) prompt_tokens: u64,
    pub(crate) total_tokens: u64,
    pub(crate) priority: Priority,
    pub(crate) boot_id: u64,
    pub(crate) granted_ms: u64,
    pub(crate) extended_ms: u64,

    /// Uncorrected estimate of the time to first token at the grant.
    pub(crate) estimate_ms: u64,

    /// Expected end of the prefill, or its actual end once the entry has reported it.
    pub(crate) prefill_until_ms: u64,

    /// Whether no other prompt was in prefill at the grant.
    pub(crate) prefilled_alone: bool,

    /// Whether an inventory of the target has included its work.
    pub(crate) in_inventory: bool,
}

/// A reservation that has ended but whose capacity may still be in use.
#[derive(Debug, Clone)]
pub(crate) struct Lingering {
    pub(crate) reservation: Reservation,
    pub(crate) since_ms: u64,

    /// Whether the entry has released it. An extension does not revive a released reservation.
    pub(crate) released: bool,
}

/// An inventory item without a reservation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unmatched {
    pub(crate) reservation: Option<ReservationId>,
    pub(crate) tokens: u64,
    pub(crate) first_seen_ms: u64,
}

/// Memory and slots in use on a target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) tokens: u64,
    pub(crate) slots: u32,
}

/// A recently released reservation, which load reports of the target may still include.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Released {
    pub(crate) released_ms: u64,
    pub(crate) reservation: ReservationId,
    pub(crate) tokens: u64,
}

#[derive(Debug)]
pub(crate) struct TargetRecord {
    pub(crate) announcement: Announcement,
    pub(crate) last_announced_ms: u64,

    /// When this entry took over the target as its home.
    pub(crate) home_since_ms: u64,

    /// Whether the home has counted the work that the target held at the takeover.
    pub(crate) takeover_counted: bool,

    /// Last time at which the newest announcement had `leaving` set.
    pub(crate) last_leaving_ms: Option<u64>,

    /// When the newest inventory was requested.
    pub(crate) inventory_requested_ms: u64,

    /// Replaced boot ids and when they were replaced.
    pub(crate) replaced_boots: VecDeque<(u64, u64)>,

    pub(crate) ramp: ColdRamp,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) cost: CostModel,
    pub(crate) mean_hold_ms: f64,
    pub(crate) reservations: BTreeMap<ReservationId, Reservation>,
    pub(crate) lingering: BTreeMap<ReservationId, Lingering>,
    pub(crate) unmatched: BTreeMap<(InventoryKind, Arc<str>), Unmatched>,
    pub(crate) released: VecDeque<Released>,

    /// Reported load in excess of the usage that the home knows of.
    pub(crate) surplus: Usage,
}

impl TargetRecord {
    pub(crate) fn taken_over(now_ms: u64, announcement: Announcement) -> TargetRecord {
        let (boot_id, slots) = (announcement.boot_id, announcement.slots);
        // An engine's ramp is set from its first inventory. Plain services have no inventory, so
        // use the reported load.
        let ramp = match announcement.kind {
            TargetKind::Engine { .. } => ColdRamp::new(boot_id, slots),
            TargetKind::Service { .. } => {
                ColdRamp::taken_over(boot_id, slots, announcement.load.running)
            }
        };
        let mut record = TargetRecord {
            announcement,
            last_announced_ms: now_ms,
            home_since_ms: now_ms,
            takeover_counted: false,
            last_leaving_ms: None,
            inventory_requested_ms: 0,
            replaced_boots: VecDeque::new(),
            ramp,
            breaker: CircuitBreaker::default(),
            cost: CostModel::default(),
            mean_hold_ms: DEFAULT_HOLD_MS,
            reservations: BTreeMap::new(),
            lingering: BTreeMap::new(),
            unmatched: BTreeMap::new(),
            released: VecDeque::new(),
            surplus: Usage::default(),
        };
        record.update_surplus(now_ms);
        record
    }

    pub(crate) fn is_engine(&self) -> bool {
        matches!(self.announcement.kind, TargetKind::Engine { .. })
    }

    pub(crate) fn announce(
        &mut self,
        now_ms: u64,
        announcement: Announcement,
        target_of: &mut HashMap<ReservationId, Arc<str>>,
    ) {
        self.replaced_boots.retain(|(_, replaced_ms)| now_ms < replaced_ms + LATE_ANNOUNCEMENT_MS);
        if self.replaced_boots.iter().any(|(boot_id, _)| *boot_id == announcement.boot_id) {
            return;
        }
        let old_boot = self.announcement.boot_id;
        if self.ramp.announced(announcement.boot_id, announcement.slots) {
            if self.replaced_boots.len() == MAX_REPLACED_BOOTS {
                self.replaced_boots.pop_front();
            }
            self.replaced_boots.push_back((old_boot, now_ms));
            // Keep live reservations until they are released or expire: entries that have not
            // noticed the restart may still send work for them.
            for (id, _) in std::mem::take(&mut self.lingering) {
                target_of.remove(&id);
            }
            self.unmatched.clear();
            self.last_leaving_ms = None;
            self.breaker = CircuitBreaker::default();
            self.cost = CostModel::default();
        }
        self.announcement = announcement;
        self.last_announced_ms = now_ms;
        self.update_surplus(now_ms);
    }

    /// Recomputes the surplus from the load report of the newest announcement.
    pub(crate) fn update_surplus(&mut self, now_ms: u64) {
        if self.announcement.leaving {
            self.last_leaving_ms = Some(now_ms);
        }
        self.prune_released(now_ms);
        let known = self.known_usage(None);
        let released_tokens: u64 = self.released.iter().map(|released| released.tokens).sum();
        let released_slots = u32::try_from(self.released.len()).unwrap_or(u32::MAX);
        let load = self.announcement.load;
        self.surplus = Usage {
            tokens: load.used_tokens.saturating_sub(known.tokens + released_tokens),
            slots: load.running.saturating_sub(known.slots.saturating_add(released_slots)),
        };
    }

    /// Capacity that the home knows to be in use, except by the reservation `excluded`.
    pub(crate) fn known_usage(&self, excluded: Option<ReservationId>) -> Usage {
        let mut usage = Usage::default();
        let lingering = self.lingering.iter().map(|(id, lingering)| (id, &lingering.reservation));
        for (id, reservation) in self.reservations.iter().chain(lingering) {
            if Some(*id) != excluded {
                usage.tokens += reservation.total_tokens;
                usage.slots += 1;
            }
        }
        for ((kind, _), unmatched) in &self.unmatched {
            if excluded.is_none() || unmatched.reservation != excluded {
                usage.tokens += unmatched.tokens;
                usage.slots += u32::from(*kind == InventoryKind::Stream);
            }
        }
        usage
    }

    pub(crate) fn total_usage(&self, excluded: Option<ReservationId>) -> Usage {
        let known = self.known_usage(excluded);
        Usage {
            tokens: known.tokens + self.surplus.tokens,
            slots: known.slots + self.surplus.slots,
        }
    }

    pub(crate) fn check_state(
        &self,
        now_ms: u64,
        configuration: &Configuration,
    ) -> Result<(), Refused> {
        if now_ms >= self.last_announced_ms + ANNOUNCEMENT_TIMEOUT_MS {
            return Err(refused(RefuseReason::TargetUnknown, 1_000));
        }
        if self.is_leaving(now_ms) {
            return Err(refused(RefuseReason::TargetLeaving, MAX_RETRY_MS));
        }
        if !configuration.target_is_in(&self.announcement.target) {
            return Err(refused(RefuseReason::TargetDrained, MAX_RETRY_MS));
        }
        if !configuration.zone_is_in(&self.announcement.zone) {
            return Err(refused(RefuseReason::ZoneOut, MAX_RETRY_MS));
        }
        if !self.is_takeover_complete(now_ms) {
            let counted_ms = self.home_since_ms + TAKEOVER_WAIT_MS;
            let retry_after_ms = counted_ms.saturating_sub(now_ms).max(MIN_RETRY_MS);
            return Err(refused(RefuseReason::NotHome, retry_after_ms));
        }
        let breaker_open_ms = self.breaker.retry_after_ms(now_ms);
        if breaker_open_ms > 0 {
            return Err(refused(RefuseReason::BreakerOpen, breaker_open_ms));
        }
        Ok(())
    }

    pub(crate) fn check_ramp(&self, now_ms: u64, reserve: &Reserve) -> Result<(), Refused> {
        if self.ramp.is_warm() {
            return Ok(());
        }
        let taken = self.total_usage(None).slots;
        // An idle target accepts a long prompt. Without other traffic it would never have the
        // successes that raise the limit, and the prompt would wait until its deadline.
        let allows_prompt = taken == 0 || self.ramp.allows_prompt(reserve.prompt_tokens);
        if taken >= self.ramp.limit() || !allows_prompt {
            let retry_after_ms = self.retry_after_oldest_ms(now_ms);
            return Err(refused(RefuseReason::ColdRamp, retry_after_ms));
        }
        Ok(())
    }

    pub(crate) fn check_capacity(
        &self,
        id: ReservationId,
        reserve: &Reserve,
    ) -> Result<(), Refused> {
        let memory_tokens = self.announcement.memory_tokens;
        if self.is_engine() && reserve.total_tokens > memory_tokens {
            return Err(refused(RefuseReason::NeverFits, 0));
        }
        let taken = self.total_usage(Some(id));
        if taken.slots >= self.announcement.slots {
            return Err(refused(RefuseReason::SlotsFull, self.retry_after_ms()));
        }
        if self.is_engine() && taken.tokens + reserve.total_tokens > memory_tokens {
            return Err(refused(RefuseReason::MemoryFull, self.retry_after_ms()));
        }
        Ok(())
    }

    /// Refuses a request whose expected time to first token exceeds the limit in `reserve`. Digests
    /// are up to 250 ms old, so without this check all entries would queue requests at the same idle
    /// target.
    pub(crate) fn check_first_token_limit(
        &self,
        now_ms: u64,
        reserve: &Reserve,
    ) -> Result<(), Refused> {
        let Some(max_first_token_ms) = reserve.max_first_token_ms else { return Ok(()) };
        let queued = self.queued_prompt_tokens(now_ms);
        let ahead = crate::fleet_view::tokens_ahead(&queued, reserve.priority);
        let speed = self.cost.tokens_per_s(self.announcement.prefill_tokens_per_s);
        let expected_ms = CostModel::estimate_ms(speed, ahead, reserve.prompt_tokens);
        if expected_ms > max_first_token_ms {
            return Err(refused(RefuseReason::Busy, MIN_RETRY_MS));
        }
        Ok(())
    }

    pub(crate) fn insert(&mut self, now_ms: u64, id: ReservationId, reserve: &Reserve) {
        let unmatched = self.unmatched.len();
        self.unmatched.retain(|_, unmatched| unmatched.reservation != Some(id));
        let was_in_inventory = self.unmatched.len() < unmatched;
        self.lingering.remove(&id);
        let queued = self.queued_prompt_tokens(now_ms);
        let ahead = crate::fleet_view::tokens_ahead(&queued, reserve.priority);
        let stated = self.announcement.prefill_tokens_per_s;
        let expected_ms = self.cost.expected_first_token_ms(stated, ahead, reserve.prompt_tokens);
        let reservation = Reservation {
            prompt_tokens: reserve.prompt_tokens,
            total_tokens: reserve.total_tokens,
            priority: reserve.priority,
            boot_id: self.announcement.boot_id,
            granted_ms: now_ms,
            extended_ms: now_ms,
            estimate_ms: CostModel::estimate_ms(stated, ahead, reserve.prompt_tokens),
            prefill_until_ms: now_ms + expected_ms,
            prefilled_alone: queued.iter().all(|tokens| *tokens == 0),
            in_inventory: was_in_inventory,
        };
        self.reservations.insert(id, reservation);
    }

    pub(crate) fn reserved(&self, id: ReservationId) -> Reserved {
        Reserved {
            reservation: id,
            target: Arc::clone(&self.announcement.target),
            boot_id: self.announcement.boot_id,
            address: self.announcement.address,
            expires_in_ms: RESERVATION_TTL_MS,
        }
    }

    /// Extends a reservation. Returns whether it is live now.
    pub(crate) fn extend(&mut self, now_ms: u64, id: ReservationId) -> bool {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.extended_ms = now_ms;
            return true;
        }
        // The capacity of an expired reservation is still counted, so the reservation can be revived.
        if self.lingering.get(&id).is_none_or(|lingering| lingering.released) {
            return false;
        }
        let Some(lingering) = self.lingering.remove(&id) else {
            return false;
        };
        self.reservations.insert(id, Reservation { extended_ms: now_ms, ..lingering.reservation });
        true
    }

    /// Releases a reservation. Returns whether its capacity was freed.
    pub(crate) fn release(&mut self, now_ms: u64, release: &Release) -> bool {
        let id = release.reservation;
        let Some(reservation) = self.reservations.remove(&id) else {
            if let Some(lingering) = self.lingering.get_mut(&id) {
                lingering.released = true;
            }
            return false;
        };
        let same_boot = reservation.boot_id == self.announcement.boot_id;
        // An outcome from before a restart says nothing about the restarted target.
        if same_boot {
            self.record_outcome(now_ms, &reservation, release);
        }
        let ended = matches!(
            release.outcome,
            ReleaseOutcome::Succeeded | ReleaseOutcome::Unused | ReleaseOutcome::Overloaded
        );
        if ended || !same_boot || !self.is_engine() {
            let tokens = reservation.total_tokens;
            self.released.push_back(Released { released_ms: now_ms, reservation: id, tokens });
            return true;
        }
        // The target may still hold the interrupted work.
        let lingering = Lingering { reservation, since_ms: now_ms, released: true };
        self.lingering.insert(id, lingering);
        false
    }

    pub(crate) fn record_outcome(
        &mut self,
        now_ms: u64,
        reservation: &Reservation,
        release: &Release,
    ) {
        match release.outcome {
            ReleaseOutcome::Unused | ReleaseOutcome::Cancelled => self.breaker.cancelled(),
            ReleaseOutcome::Succeeded => {
                self.breaker.succeeded();
                self.ramp.succeeded();
            }
            ReleaseOutcome::Overloaded => {
                self.breaker.cancelled();
                self.ramp.failed();
            }
            ReleaseOutcome::Failed => {
                self.breaker.failed(now_ms);
                self.ramp.failed();
            }
        }
        let duration_ms = now_ms.saturating_sub(reservation.granted_ms) as f64;
        self.mean_hold_ms += HOLD_WEIGHT * (duration_ms - self.mean_hold_ms);
        let Some(first_token_ms) = release.first_token_ms else {
            return;
        };
        self.cost.observe(reservation.prompt_tokens, reservation.estimate_ms, first_token_ms);
        if reservation.prefilled_alone && reservation.prompt_tokens >= MIN_SPEED_PROMPT_TOKENS {
            let speed = reservation.prompt_tokens as f64 * 1_000.0 / first_token_ms.max(1) as f64;
            self.ramp.measured(speed, self.announcement.prefill_tokens_per_s);
        }
    }

    /// Expires reservations that were not extended. Returns how many expired.
    pub(crate) fn expire(
        &mut self,
        now_ms: u64,
        target_of: &mut HashMap<ReservationId, Arc<str>>,
    ) -> u64 {
        let is_engine = self.is_engine();
        let mut expired = 0;
        let overdue: Vec<ReservationId> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| now_ms >= reservation.extended_ms + RESERVATION_TTL_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(reservation) = self.reservations.remove(&id) else {
                continue;
            };
            expired += 1;
            // The expired reservation may have been the probe of an open breaker.
            self.breaker.cancelled();
            if is_engine && reservation.boot_id == self.announcement.boot_id {
                let lingering = Lingering { reservation, since_ms: now_ms, released: false };
                self.lingering.insert(id, lingering);
            } else {
                target_of.remove(&id);
            }
        }
        self.lingering.retain(|id, lingering| {
            let keep = now_ms < lingering.since_ms + MAX_LINGERING_MS;
            if !keep {
                target_of.remove(id);
            }
            keep
        });
        self.prune_released(now_ms);
        expired
    }

    pub(crate) fn prune_released(&mut self, now_ms: u64) {
        while self
            .released
            .front()
            .is_some_and(|released| now_ms >= released.released_ms + REPORT_LAG_MS)
        {
            self.released.pop_front();
        }
    }

    pub(crate) fn unindex_reservations(&self, target_of: &mut HashMap<ReservationId, Arc<str>>) {
        for id in self.reservations.keys().chain(self.lingering.keys()) {
            target_of.remove(id);
        }
    }

    pub(crate) fn reconcile(
        &mut self,
        now_ms: u64,
        inventory: &TargetInventory,
        target_of: &mut HashMap<ReservationId, Arc<str>>,
    ) {
        let target = Arc::clone(&self.announcement.target);
        let id_of =
            |item: &InventoryItem| item.request.map(|request| reservation_id(request, &target));
        let listed: Vec<ReservationId> = inventory.items.iter().filter_map(id_of).collect();
        for id in &listed {
            let lingering = self.lingering.get_mut(id).map(|lingering| &mut lingering.reservation);
            if let Some(reservation) = self.reservations.get_mut(id).or(lingering) {
                reservation.in_inventory = true;
            }
        }
        self.lingering.retain(|id, lingering| {
            // Work that was interrupted before an inventory included it may still be in transit. An
            // expired reservation was last used long before.
            let in_transit = lingering.released && !lingering.reservation.in_inventory;
            let transit_ms = if in_transit { WORK_TRANSIT_MS } else { 0 };
            let is_absent =
                inventory.requested_ms > lingering.since_ms + transit_ms && !listed.contains(id);
            if is_absent {
                target_of.remove(id);
            }
            !is_absent
        });
        let mut unmatched = BTreeMap::new();
        for item in &inventory.items {
            let id = id_of(item);
            let is_known = id.is_some_and(|id| {
                self.reservations.contains_key(&id)
                    || self.lingering.contains_key(&id)
                    || self.released.iter().any(|released| {
                        released.reservation == id && released.released_ms >= inventory.requested_ms
                    })
            });
            if is_known {
                continue;
            }
            let key = (item.kind, Arc::clone(&item.id));
            let first_seen_ms =
                self.unmatched.get(&key).map_or(now_ms, |unmatched| unmatched.first_seen_ms);
            unmatched
                .insert(key, Unmatched { reservation: id, tokens: item.tokens, first_seen_ms });
        }
        self.unmatched = unmatched;
        if !self.takeover_counted && inventory.requested_ms >= self.home_since_ms + TAKEOVER_WAIT_MS
        {
            self.takeover_counted = true;
            let streams =
                inventory.items.iter().filter(|item| item.kind == InventoryKind::Stream).count();
            let running = u32::try_from(streams).unwrap_or(u32::MAX);
            let (boot_id, slots) = (self.announcement.boot_id, self.announcement.slots);
            self.ramp = ColdRamp::taken_over(boot_id, slots, running);
        }
        self.update_surplus(now_ms);
    }

    pub(crate) fn needs_cleanup(
        &self,
        now_ms: u64,
        item: &InventoryItem,
        awaiting_reregistration: &HashMap<ReservationId, u64>,
        removed_members: &HashMap<(NodeId, Incarnation), Option<u64>>,
    ) -> bool {
        let id = item.request.map(|request| reservation_id(request, &self.announcement.target));
        let awaits_reregistration = id
            .and_then(|id| awaiting_reregistration.get(&id))
            .is_some_and(|at_ms| now_ms < at_ms + RESERVATION_TTL_MS);
        if awaits_reregistration || item.age_ms < CLEANUP_GRACE_MS {
            return false;
        }
        let unmatched = self.unmatched.get(&(item.kind, Arc::clone(&item.id)));
        let lingering = id.and_then(|id| self.lingering.get(&id));
        let since_ms = match (unmatched, lingering) {
            (Some(unmatched), _) => unmatched.first_seen_ms,
            (None, Some(lingering)) => lingering.since_ms,
            (None, None) => return false,
        };
        let owner_is_removed = item.request.is_none_or(|request| {
            removed_members.contains_key(&(request.node, request.incarnation))
        });
        // A lingering reservation was known here, so its entry does not need time to reregister it.
        let grace_until_ms = if lingering.is_some() || owner_is_removed {
            since_ms + CLEANUP_GRACE_MS
        } else {
            (since_ms + CLEANUP_GRACE_MS).max(self.home_since_ms + TAKEOVER_GRACE_MS)
        };
        now_ms >= grace_until_ms
    }

    /// Whether work of the previous home is accounted for. Plain services have no inventory, so only
    /// the waiting time counts.
    pub(crate) fn is_takeover_complete(&self, now_ms: u64) -> bool {
        self.takeover_counted
            || (!self.is_engine() && now_ms >= self.home_since_ms + TAKEOVER_WAIT_MS)
    }

    pub(crate) fn is_leaving(&self, now_ms: u64) -> bool {
        self.last_leaving_ms.is_some_and(|last_leaving_ms| now_ms < last_leaving_ms + LEAVING_MS)
    }

    pub(crate) fn queued_prompt_tokens(&self, now_ms: u64) -> [u64; 3] {
        let mut queued = [0; 3];
        for reservation in self.reservations.values() {
            if now_ms < reservation.prefill_until_ms {
                queued[reservation.priority as usize] += reservation.prompt_tokens;
            }
        }
        queued
    }

    /// Expected time until some capacity becomes free.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let running = self.reservations.len().max(1) as f64;
        ((self.mean_hold_ms / running) as u64).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Expected time until the oldest reservation is released.
    pub(crate) fn retry_after_oldest_ms(&self, now_ms: u64) -> u64 {
        let oldest_ms = self.reservations.values().map(|reservation| reservation.granted_ms).min();
        let age_ms = oldest_ms.map_or(0, |granted_ms| now_ms.saturating_sub(granted_ms));
        (self.mean_hold_ms as u64).saturating_sub(age_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    pub(crate) fn digest(&self, now_ms: u64, configuration: &Configuration) -> TargetDigest {
        let announcement = &self.announcement;
        let taken = self.total_usage(None);
        let takes_work = self.check_state(now_ms, configuration).is_ok();
        let long_prefill = self.reservations.values().any(|reservation| {
            reservation.prompt_tokens > LONG_PROMPT_TOKENS && now_ms < reservation.prefill_until_ms
        });
        TargetDigest {
            target: Arc::clone(&announcement.target),
            boot_id: announcement.boot_id,
            kind: announcement.kind.clone(),
            address: announcement.address,
            zone: Arc::clone(&announcement.zone),
            memory_tokens: announcement.memory_tokens,
            free_tokens: announcement.memory_tokens.saturating_sub(taken.tokens),
            free_slots: self.ramp.limit().saturating_sub(taken.slots),
            taken_slots: taken.slots,
            slots: announcement.slots,
            prefill_tokens_per_s: self.cost.tokens_per_s(announcement.prefill_tokens_per_s),
            queued_prompt_tokens: self.queued_prompt_tokens(now_ms),
            long_prefill,
            takes_work,
        }
    }
}

pub(crate) fn refused(reason: RefuseReason, retry_after_ms: u64) -> Refused {
    Refused { reason, retry_after_ms }
}
