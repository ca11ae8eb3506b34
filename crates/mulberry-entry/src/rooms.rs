//! Room that this entry holds on targets, kept alive at their homes.

use std::collections::{BTreeMap, HashMap};
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mulberry_policy::{Candidate, HeldReservation, reservation_id};
use mulberry_types::{
    HomeReply, HomeRequest, Member, NodeId, RefuseReason, Refused, Release, ReleaseOutcome,
    ReservationId, Reserve, Reserved,
};

use crate::entry::Entry;
use crate::metrics::NameLabel;

/// Longest wait for a home's answer; the next target is asked after it.
const HOME_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unreachable home is asked again.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// Room on a target.
#[derive(Debug)]
pub struct Room {
    pub reserve: Reserve,
    pub reserved: Reserved,
    hold: Mutex<HeldReservation>,
}

/// Room that is given back when it is dropped, so that a panic in a handler does not leave it taken.
#[derive(Debug)]
pub struct HeldRoom<'e> {
    entry: &'e Entry,
    room: Arc<Room>,
    released: bool,
}

impl HeldRoom<'_> {
    /// Gives the room back and says how its work ended.
    pub fn release(mut self, outcome: ReleaseOutcome, first_token_ms: Option<u64>) {
        self.released = true;
        self.entry.rooms.release(self.entry, &self.room, outcome, first_token_ms);
    }
}

impl Deref for HeldRoom<'_> {
    type Target = Room;

    fn deref(&self) -> &Room {
        &self.room
    }
}

impl Drop for HeldRoom<'_> {
    fn drop(&mut self) {
        if !self.released {
            let outcome = ReleaseOutcome::Cancelled;
            self.entry.rooms.release(self.entry, &self.room, outcome, None);
        }
    }
}

/// All rooms that this entry holds.
#[derive(Debug, Default)]
pub struct RoomTable {
    rooms: Mutex<HashMap<ReservationId, Arc<Room>>>,
}

impl Room {
    /// Whether work may be sent to the target now.
    pub fn may_start(&self, entry: &Entry) -> bool {
        entry.lease.is_valid() && self.hold().may_start(entry.clock.now_ms())
    }

    fn hold(&self) -> MutexGuard<'_, HeldReservation> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RoomTable {
    /// Asks the home of a target for room.
    ///
    /// # Errors
    /// The home refuses or cannot be reached.
    pub fn reserve<'e>(
        &self,
        entry: &'e Entry,
        candidate: &Candidate,
        reserve: Reserve,
    ) -> Result<HeldRoom<'e>, Refused> {
        let in_flight = entry.fleet.view().in_flight().clone();
        let sent_ms = entry.clock.now_ms();
        in_flight.reserve_sent(sent_ms, &reserve);
        let outcome = self.ask(entry, &reserve).and_then(|reserved| {
            if reserved.boot_id == candidate.boot_id {
                return Ok(reserved);
            }
            // The target has restarted since the digest; what was known of it no longer counts.
            release(entry, &reserve, ReleaseOutcome::Unused, None);
            Err(unreachable_home())
        });
        match outcome {
            Ok(reserved) => {
                in_flight.reserve_granted(entry.clock.now_ms(), reserve.request, &reserve.target);
                let id = reserved.reservation;
                let hold = Mutex::new(HeldReservation::new(sent_ms));
                let room = Arc::new(Room { reserve, reserved, hold });
                self.lock().insert(id, room.clone());
                Ok(HeldRoom { entry, room, released: false })
            }
            Err(refused) => {
                in_flight.reservation_ended(reserve.request, &reserve.target);
                let label = NameLabel { name: reason_name(refused.reason) };
                entry.metrics.refused.get_or_create(&label).inc();
                Err(refused)
            }
        }
    }

    fn release(
        &self,
        entry: &Entry,
        room: &Room,
        outcome: ReleaseOutcome,
        first_token_ms: Option<u64>,
    ) {
        self.lock().remove(&room.reserved.reservation);
        entry
            .fleet
            .view()
            .in_flight()
            .reservation_ended(room.reserve.request, &room.reserve.target);
        release(entry, &room.reserve, outcome, first_token_ms);
    }

    /// Reports the first token of a request to the home.
    pub fn first_token(&self, entry: &Entry, room: &Room) {
        let reservation = room.reserved.reservation;
        send(entry, &room.reserve.target, HomeRequest::FirstToken { reservation });
    }

    /// Extends all rooms at their homes, and registers those again whose home is new.
    pub fn extend_all(&self, entry: &Entry) {
        let rooms: Vec<Arc<Room>> = self.lock().values().cloned().collect();
        if rooms.is_empty() {
            return;
        }
        let ids: Vec<_> = rooms.iter().map(|room| room.reserved.reservation).collect();
        if !entry.lease.is_valid() {
            // Cut off from control, so the homes may have moved: every member that can be reached
            // learns that these streams go on.
            let request = extend(entry, ids);
            for client in entry.links.all() {
                let _ = client.send(&request);
            }
            return;
        }
        let membership = entry.lease.membership();
        let mut by_home: BTreeMap<NodeId, (Member, Vec<Arc<Room>>)> = BTreeMap::new();
        for room in rooms {
            if let Some(home) = membership.home_of(&room.reserve.target) {
                by_home.entry(home.node).or_insert_with(|| (home.clone(), Vec::new())).1.push(room);
            }
        }
        for (home, rooms) in by_home.into_values() {
            extend_at(entry, &home, &rooms);
        }
    }

    fn ask(&self, entry: &Entry, reserve: &Reserve) -> Result<Reserved, Refused> {
        let membership = entry.lease.membership();
        let home = membership.home_of(&reserve.target).ok_or_else(unreachable_home)?;
        match call(entry, home, HomeRequest::Reserve(reserve.clone())) {
            Some(HomeReply::Reserved(reserved)) => Ok(reserved),
            Some(HomeReply::Refused(refused)) => Err(refused),
            Some(_) => Err(unreachable_home()),
            None => {
                tracing::warn!(
                    attempt = %reserve.request, target = %reserve.target, home = %home.node,
                    "reserve_not_answered"
                );
                // The home may have granted it without its answer arriving.
                release(entry, reserve, ReleaseOutcome::Unused, None);
                Err(unreachable_home())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReservationId, Arc<Room>>> {
        self.rooms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn extend_at(entry: &Entry, home: &Member, rooms: &[Arc<Room>]) {
    let sent_ms = entry.clock.now_ms();
    let ids = rooms.iter().map(|room| room.reserved.reservation).collect();
    let Some(HomeReply::Extended { unknown }) = call(entry, home, extend(entry, ids)) else {
        return;
    };
    for room in rooms {
        if !unknown.contains(&room.reserved.reservation) {
            room.hold().extended(sent_ms, entry.clock.now_ms());
            continue;
        }
        let sent_ms = entry.clock.now_ms();
        let request = HomeRequest::Reserve(room.reserve.clone());
        if let Some(HomeReply::Reserved(reserved)) = call(entry, home, request)
            && reserved.boot_id == room.reserved.boot_id
        {
            room.hold().reregistered(sent_ms);
        }
    }
}

fn extend(entry: &Entry, reservations: Vec<ReservationId>) -> HomeRequest {
    HomeRequest::Extend { node: entry.node, incarnation: entry.incarnation, reservations }
}

fn release(entry: &Entry, reserve: &Reserve, outcome: ReleaseOutcome, first_token_ms: Option<u64>) {
    let target = reserve.target.clone();
    let reservation = reservation_id(reserve.request, &target);
    let release = Release { target: target.clone(), reservation, outcome, first_token_ms };
    send(entry, &target, HomeRequest::Release(release));
}

/// Sends a message to the home of a target without waiting. If it is lost, expiry does the rest.
fn send(entry: &Entry, target: &str, request: HomeRequest) {
    let membership = entry.lease.membership();
    let Some(home) = membership.home_of(target) else { return };
    if home.node == entry.node {
        entry.home_request(request);
    } else if let Some(client) = entry.links.client(home)
        && let Err(error) = client.send(&request)
    {
        tracing::debug!(home = %home.node, %error, "home_message_lost");
    }
}

/// Calls a home, or this entry itself. `None` if there was no answer.
fn call(entry: &Entry, home: &Member, request: HomeRequest) -> Option<HomeReply> {
    if home.node == entry.node {
        return Some(entry.home_request(request));
    }
    let client = entry.links.client(home)?;
    let started = Instant::now();
    client
        .call(&request, HOME_TIMEOUT)
        .inspect_err(|error| {
            let waited_ms = started.elapsed().as_millis() as u64;
            tracing::debug!(home = %home.node, %error, waited_ms, "home_call_failed");
        })
        .ok()
}

fn unreachable_home() -> Refused {
    Refused { reason: RefuseReason::NotHome, retry_after_ms: UNREACHABLE_RETRY_MS }
}

fn reason_name(reason: RefuseReason) -> &'static str {
    match reason {
        RefuseReason::NotHome => "not_home",
        RefuseReason::LeaseLost => "lease_lost",
        RefuseReason::TargetUnknown => "target_unknown",
        RefuseReason::TargetLeaving => "target_leaving",
        RefuseReason::TargetDrained => "target_drained",
        RefuseReason::ZoneOut => "zone_out",
        RefuseReason::NeverFits => "never_fits",
        RefuseReason::MemoryFull => "memory_full",
        RefuseReason::SlotsFull => "slots_full",
        RefuseReason::ColdRamp => "cold_ramp",
        RefuseReason::LongPrefillCap => "long_prefill_cap",
        RefuseReason::BreakerOpen => "breaker_open",
        RefuseReason::Busy => "busy",
        RefuseReason::DeadlineTooShort => "deadline_too_short",
    }
}
