//! One target of a home: its reservations, its ramp, its breaker and what it lists itself.
//!
//! The rules of the accounting are described at [`crate::HomeLedger`].

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

/// A target that is not heard for this long takes no work: two lost announcements are tolerated.
const UNHEARD_MS: u64 = 3_000;

/// Longest time from an entry's decision to send work until the target's list shows it.
const WORK_TRANSIT_MS: u64 = 750;

/// Time after which a new home can count what its predecessor has admitted to a target.
pub(crate) const TAKEOVER_WAIT_MS: u64 = START_WINDOW_MS + WORK_TRANSIT_MS;

/// Grace time of listed items without a reservation: release and list may cross each other.
const GRACE_MS: u64 = 1_000;

/// Grace time after a takeover for items of live entries: two lease lengths.
const TAKEOVER_GRACE_MS: u64 = 6_000;

/// Room without a live reservation is given up after this time if the target sends no list, so that
/// a target whose list fails does not lose memory permanently.
const LINGER_MAX_MS: u64 = 10_000;

/// Lag of load reports.
const REPORT_LAG_MS: u64 = 2_000;

/// `leaving` counts for this long, so that an older announcement that arrives later does not undo
/// it.
const LEAVING_MS: u64 = 5_000;

/// Announcements with a boot id that was replaced less than this long ago are late and ignored. Later
/// ones are believed, because the order of two boot ids is not known and the replacing announcement
/// may have been the late one.
const LATE_ANNOUNCEMENT_MS: u64 = 5_000;

/// Replaced boot ids that are remembered; more restarts within that time need not be told apart.
const MAX_OLD_BOOTS: usize = 8;

/// Prompts below this say little about the prefill speed.
const MIN_SPEED_PROMPT_TOKENS: u64 = 1_000;

/// Retry times of refusals stay within these bounds.
const MIN_RETRY_MS: u64 = 20;
const MAX_RETRY_MS: u64 = 5_000;

/// Duration of work before any was observed.
const DEFAULT_DURATION_MS: f64 = 1_000.0;

/// Weight of a new observation in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;

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

    /// When the prefill is over, unless the entry says so earlier.
    pub(crate) prefill_until_ms: u64,

    /// Whether no other prompt was in prefill at the grant.
    pub(crate) alone: bool,

    /// Whether a list of the target has shown its work.
    pub(crate) listed: bool,
}

/// Room that may still be in use.
#[derive(Debug, Clone)]
pub(crate) struct Lingering {
    pub(crate) reservation: Reservation,
    pub(crate) since_ms: u64,

    /// Whether the entry has released it, so that an extension does not revive it.
    pub(crate) released: bool,
}

/// A listed item without a reservation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unmatched {
    pub(crate) reservation: Option<ReservationId>,
    pub(crate) tokens: u64,
    pub(crate) first_seen_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Room {
    pub(crate) tokens: u64,
    pub(crate) slots: u32,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Released {
    pub(crate) at_ms: u64,
    pub(crate) reservation: ReservationId,
    pub(crate) tokens: u64,
}

#[derive(Debug)]
pub(crate) struct TargetRecord {
    pub(crate) announcement: Announcement,
    pub(crate) heard_ms: u64,
    pub(crate) acting_since_ms: u64,

    /// Whether the home has counted what the target held when it took it over.
    pub(crate) counted: bool,

    pub(crate) left_heard_ms: Option<u64>,

    /// When the newest list of the target was requested.
    pub(crate) listed_ms: u64,

    /// Replaced boot ids with the time of the replacement.
    pub(crate) old_boots: VecDeque<(u64, u64)>,

    pub(crate) ramp: ColdRamp,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) cost: CostModel,
    pub(crate) mean_duration_ms: f64,
    pub(crate) reservations: BTreeMap<ReservationId, Reservation>,
    pub(crate) lingering: BTreeMap<ReservationId, Lingering>,
    pub(crate) unmatched: BTreeMap<(InventoryKind, Arc<str>), Unmatched>,
    pub(crate) released: VecDeque<Released>,

    /// Reported load beyond everything that the home knows of.
    pub(crate) surplus: Room,
}

impl TargetRecord {
    pub(crate) fn taken_over(now_ms: u64, announcement: Announcement) -> TargetRecord {
        let (boot_id, slots) = (announcement.boot_id, announcement.slots);
        // An engine's ramp is set once its list is known; the report of a plain service has to do.
        let ramp = match announcement.kind {
            TargetKind::Engine { .. } => ColdRamp::new(boot_id, slots),
            TargetKind::Service { .. } => {
                ColdRamp::taken_over(boot_id, slots, announcement.load.running)
            }
        };
        let mut record = TargetRecord {
            announcement,
            heard_ms: now_ms,
            acting_since_ms: now_ms,
            counted: false,
            left_heard_ms: None,
            listed_ms: 0,
            old_boots: VecDeque::new(),
            ramp,
            breaker: CircuitBreaker::default(),
            cost: CostModel::default(),
            mean_duration_ms: DEFAULT_DURATION_MS,
            reservations: BTreeMap::new(),
            lingering: BTreeMap::new(),
            unmatched: BTreeMap::new(),
            released: VecDeque::new(),
            surplus: Room::default(),
        };
        record.note_load(now_ms);
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
        self.old_boots.retain(|(_, replaced_ms)| now_ms < replaced_ms + LATE_ANNOUNCEMENT_MS);
        if self.old_boots.iter().any(|(boot_id, _)| *boot_id == announcement.boot_id) {
            return;
        }
        let old_boot = self.announcement.boot_id;
        if self.ramp.announced(announcement.boot_id, announcement.slots) {
            if self.old_boots.len() == MAX_OLD_BOOTS {
                self.old_boots.pop_front();
            }
            self.old_boots.push_back((old_boot, now_ms));
            // Reservations stay until they are released or expire, because entries that have not
            // noticed the restart may still send work under them.
            for (id, _) in std::mem::take(&mut self.lingering) {
                target_of.remove(&id);
            }
            self.unmatched.clear();
            self.left_heard_ms = None;
            self.breaker = CircuitBreaker::default();
            self.cost = CostModel::default();
        }
        self.announcement = announcement;
        self.heard_ms = now_ms;
        self.note_load(now_ms);
    }

    /// Takes the load report of the newest announcement.
    pub(crate) fn note_load(&mut self, now_ms: u64) {
        if self.announcement.leaving {
            self.left_heard_ms = Some(now_ms);
        }
        self.forget_released(now_ms);
        let known = self.known_room(None);
        let released_tokens: u64 = self.released.iter().map(|released| released.tokens).sum();
        let released_slots = u32::try_from(self.released.len()).unwrap_or(u32::MAX);
        let load = self.announcement.load;
        self.surplus = Room {
            tokens: load.used_tokens.saturating_sub(known.tokens + released_tokens),
            slots: load.running.saturating_sub(known.slots.saturating_add(released_slots)),
        };
    }

    /// Room that the home knows to be taken, without the item of one reservation.
    pub(crate) fn known_room(&self, without: Option<ReservationId>) -> Room {
        let mut room = Room::default();
        let lingering = self.lingering.iter().map(|(id, lingering)| (id, &lingering.reservation));
        for (id, reservation) in self.reservations.iter().chain(lingering) {
            if Some(*id) != without {
                room.tokens += reservation.total_tokens;
                room.slots += 1;
            }
        }
        for ((kind, _), unmatched) in &self.unmatched {
            if without.is_none() || unmatched.reservation != without {
                room.tokens += unmatched.tokens;
                room.slots += u32::from(*kind == InventoryKind::Stream);
            }
        }
        room
    }

    pub(crate) fn taken_room(&self, without: Option<ReservationId>) -> Room {
        let known = self.known_room(without);
        Room { tokens: known.tokens + self.surplus.tokens, slots: known.slots + self.surplus.slots }
    }

    pub(crate) fn check_state(
        &self,
        now_ms: u64,
        configuration: &Configuration,
    ) -> Result<(), Refused> {
        if now_ms >= self.heard_ms + UNHEARD_MS {
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
        if !self.is_counted(now_ms) {
            let counted_ms = self.acting_since_ms + TAKEOVER_WAIT_MS;
            let retry_after_ms = counted_ms.saturating_sub(now_ms).max(MIN_RETRY_MS);
            return Err(refused(RefuseReason::NotHome, retry_after_ms));
        }
        let open_ms = self.breaker.retry_after_ms(now_ms);
        if open_ms > 0 {
            return Err(refused(RefuseReason::BreakerOpen, open_ms));
        }
        Ok(())
    }

    pub(crate) fn check_ramp(&self, now_ms: u64, reserve: &Reserve) -> Result<(), Refused> {
        if self.ramp.is_warm() {
            return Ok(());
        }
        let taken = self.taken_room(None).slots;
        // An idle target takes a long prompt by itself: without other traffic it would never get
        // the successes that open the ramp, and the prompt would wait until its deadline.
        let allows_prompt = taken == 0 || self.ramp.allows_prompt(reserve.prompt_tokens);
        if taken >= self.ramp.limit() || !allows_prompt {
            let retry_after_ms = self.oldest_end_ms(now_ms);
            return Err(refused(RefuseReason::ColdRamp, retry_after_ms));
        }
        Ok(())
    }

    pub(crate) fn check_room(&self, id: ReservationId, reserve: &Reserve) -> Result<(), Refused> {
        let memory_tokens = self.announcement.memory_tokens;
        if self.is_engine() && reserve.total_tokens > memory_tokens {
            return Err(refused(RefuseReason::NeverFits, 0));
        }
        let taken = self.taken_room(Some(id));
        if taken.slots >= self.announcement.slots {
            return Err(refused(RefuseReason::SlotsFull, self.retry_after_ms()));
        }
        if self.is_engine() && taken.tokens + reserve.total_tokens > memory_tokens {
            return Err(refused(RefuseReason::MemoryFull, self.retry_after_ms()));
        }
        Ok(())
    }

    /// Refuses a request that expects less to wait here than does. Digests are up to 250 ms old, and
    /// entries that all see the same idle target would otherwise queue up at it.
    pub(crate) fn check_wait(&self, now_ms: u64, reserve: &Reserve) -> Result<(), Refused> {
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
        let was_listed = self.unmatched.len() < unmatched;
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
            alone: queued.iter().all(|tokens| *tokens == 0),
            listed: was_listed,
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

    /// Whether the reservation is live now.
    pub(crate) fn extend(&mut self, now_ms: u64, id: ReservationId) -> bool {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.extended_ms = now_ms;
            return true;
        }
        // The room of an expired reservation still counts, so it can be given back to its holder.
        if self.lingering.get(&id).is_none_or(|lingering| lingering.released) {
            return false;
        }
        let Some(lingering) = self.lingering.remove(&id) else {
            return false;
        };
        self.reservations.insert(id, Reservation { extended_ms: now_ms, ..lingering.reservation });
        true
    }

    /// Whether nothing is left of the reservation.
    pub(crate) fn release(&mut self, now_ms: u64, release: &Release) -> bool {
        let id = release.reservation;
        let Some(reservation) = self.reservations.remove(&id) else {
            if let Some(lingering) = self.lingering.get_mut(&id) {
                lingering.released = true;
            }
            return false;
        };
        let same_boot = reservation.boot_id == self.announcement.boot_id;
        if same_boot {
            self.note_outcome(now_ms, &reservation, release);
        }
        let ended = matches!(
            release.outcome,
            ReleaseOutcome::Succeeded | ReleaseOutcome::Unused | ReleaseOutcome::Overloaded
        );
        if ended || !same_boot || !self.is_engine() {
            let tokens = reservation.total_tokens;
            self.released.push_back(Released { at_ms: now_ms, reservation: id, tokens });
            return true;
        }
        // The target may still hold the work that was cut off.
        let lingering = Lingering { reservation, since_ms: now_ms, released: true };
        self.lingering.insert(id, lingering);
        false
    }

    pub(crate) fn note_outcome(
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
        self.mean_duration_ms += DURATION_WEIGHT * (duration_ms - self.mean_duration_ms);
        let Some(first_token_ms) = release.first_token_ms else {
            return;
        };
        self.cost.observe(reservation.prompt_tokens, reservation.estimate_ms, first_token_ms);
        if reservation.alone && reservation.prompt_tokens >= MIN_SPEED_PROMPT_TOKENS {
            let speed = reservation.prompt_tokens as f64 * 1_000.0 / first_token_ms.max(1) as f64;
            self.ramp.measured(speed, self.announcement.prefill_tokens_per_s);
        }
    }

    /// Number of reservations that expired.
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
            // It may have been the probe of an open breaker.
            self.breaker.cancelled();
            if is_engine && reservation.boot_id == self.announcement.boot_id {
                let lingering = Lingering { reservation, since_ms: now_ms, released: false };
                self.lingering.insert(id, lingering);
            } else {
                target_of.remove(&id);
            }
        }
        self.lingering.retain(|id, lingering| {
            let keep = now_ms < lingering.since_ms + LINGER_MAX_MS;
            if !keep {
                target_of.remove(id);
            }
            keep
        });
        self.forget_released(now_ms);
        expired
    }

    pub(crate) fn forget_released(&mut self, now_ms: u64) {
        while self.released.front().is_some_and(|released| now_ms >= released.at_ms + REPORT_LAG_MS)
        {
            self.released.pop_front();
        }
    }

    pub(crate) fn forget_reservations(&self, target_of: &mut HashMap<ReservationId, Arc<str>>) {
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
                reservation.listed = true;
            }
        }
        self.lingering.retain(|id, lingering| {
            // Work that was cut off before a list showed it may still be on its way. An expired
            // reservation was last used long before.
            let on_its_way = lingering.released && !lingering.reservation.listed;
            let transit_ms = if on_its_way { WORK_TRANSIT_MS } else { 0 };
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
                        released.reservation == id && released.at_ms >= inventory.requested_ms
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
        if !self.counted && inventory.requested_ms >= self.acting_since_ms + TAKEOVER_WAIT_MS {
            self.counted = true;
            let streams =
                inventory.items.iter().filter(|item| item.kind == InventoryKind::Stream).count();
            let running = u32::try_from(streams).unwrap_or(u32::MAX);
            let (boot_id, slots) = (self.announcement.boot_id, self.announcement.slots);
            self.ramp = ColdRamp::taken_over(boot_id, slots, running);
        }
        self.note_load(now_ms);
    }

    pub(crate) fn is_to_be_ended(
        &self,
        now_ms: u64,
        item: &InventoryItem,
        claimed: &HashMap<ReservationId, u64>,
        gone: &HashMap<(NodeId, Incarnation), Option<u64>>,
    ) -> bool {
        let id = item.request.map(|request| reservation_id(request, &self.announcement.target));
        let is_claimed = id
            .and_then(|id| claimed.get(&id))
            .is_some_and(|at_ms| now_ms < at_ms + RESERVATION_TTL_MS);
        if is_claimed || item.age_ms < GRACE_MS {
            return false;
        }
        let unmatched = self.unmatched.get(&(item.kind, Arc::clone(&item.id)));
        let lingering = id.and_then(|id| self.lingering.get(&id));
        let since_ms = match (unmatched, lingering) {
            (Some(unmatched), _) => unmatched.first_seen_ms,
            (None, Some(lingering)) => lingering.since_ms,
            (None, None) => return false,
        };
        let maker_is_gone = item
            .request
            .is_none_or(|request| gone.contains_key(&(request.node, request.incarnation)));
        // A lingering reservation was known here, so its holder needs no time to register it.
        let grace_until_ms = if lingering.is_some() || maker_is_gone {
            since_ms + GRACE_MS
        } else {
            (since_ms + GRACE_MS).max(self.acting_since_ms + TAKEOVER_GRACE_MS)
        };
        now_ms >= grace_until_ms
    }

    /// A plain service has no list, so the time alone decides.
    pub(crate) fn is_counted(&self, now_ms: u64) -> bool {
        self.counted || (!self.is_engine() && now_ms >= self.acting_since_ms + TAKEOVER_WAIT_MS)
    }

    pub(crate) fn is_leaving(&self, now_ms: u64) -> bool {
        self.left_heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + LEAVING_MS)
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

    /// Expected time until some room becomes free.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let running = self.reservations.len().max(1) as f64;
        ((self.mean_duration_ms / running) as u64).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Expected time until the oldest reservation ends.
    pub(crate) fn oldest_end_ms(&self, now_ms: u64) -> u64 {
        let oldest_ms = self.reservations.values().map(|reservation| reservation.granted_ms).min();
        let age_ms = oldest_ms.map_or(0, |granted_ms| now_ms.saturating_sub(granted_ms));
        (self.mean_duration_ms as u64).saturating_sub(age_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    pub(crate) fn digest(&self, now_ms: u64, configuration: &Configuration) -> TargetDigest {
        let announcement = &self.announcement;
        let taken = self.taken_room(None);
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
