//! Reservations that this entry holds on targets, extended periodically at their homes.

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

/// Timeout of a call to a home. The next candidate is tried after it.
const HOME_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay after a home did not reply or granted a reservation on a restarted target.
const UNAVAILABLE_RETRY_MS: u64 = 500;

/// A granted reservation on one target.
#[derive(Debug)]
pub struct Reservation {
    pub reserve: Reserve,
    pub reserved: Reserved,

    /// How long the reservation may be used.
    validity: Mutex<HeldReservation>,
}

/// Releases its reservation when dropped, so that a panic in a request handler does not leak it.
#[derive(Debug)]
pub struct ReservationGuard<'e> {
    entry: &'e Entry,
    reservation: Arc<Reservation>,
    released: bool,
}

impl ReservationGuard<'_> {
    /// Releases the reservation and reports the outcome of its work to the home.
    pub fn release(mut self, outcome: ReleaseOutcome, first_token_ms: Option<u64>) {
        self.released = true;
        self.entry.reservations.release(self.entry, &self.reservation, outcome, first_token_ms);
    }
}

impl Deref for ReservationGuard<'_> {
    type Target = Reservation;

    fn deref(&self) -> &Reservation {
        &self.reservation
    }
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        if !self.released {
            let outcome = ReleaseOutcome::Cancelled;
            self.entry.reservations.release(self.entry, &self.reservation, outcome, None);
        }
    }
}

/// All reservations that this entry holds.
#[derive(Debug, Default)]
pub struct ReservationTable {
    reservations: Mutex<HashMap<ReservationId, Arc<Reservation>>>,
}

impl Reservation {
    /// Whether work may be sent to the target now: lease and reservation are both valid.
    pub fn may_start(&self, entry: &Entry) -> bool {
        entry.lease.is_valid() && self.validity().may_start(entry.clock.now_ms())
    }

    fn validity(&self) -> MutexGuard<'_, HeldReservation> {
        self.validity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReservationTable {
    /// Requests a reservation from the home of a target.
    ///
    /// # Errors
    /// The home refuses or cannot be reached.
    pub fn reserve<'e>(
        &self,
        entry: &'e Entry,
        candidate: &Candidate,
        reserve: Reserve,
    ) -> Result<ReservationGuard<'e>, Refused> {
        let in_flight = entry.fleet.view().in_flight().clone();
        let sent_ms = entry.clock.now_ms();
        in_flight.reserve_sent(sent_ms, &reserve);
        let outcome = self.request_reservation(entry, &reserve).and_then(|reserved| {
            if reserved.boot_id == candidate.boot_id {
                return Ok(reserved);
            }
            // The target has restarted since the digest from which it was ranked.
            send_release(entry, &reserve, ReleaseOutcome::Unused, None);
            Err(unavailable_home())
        });
        match outcome {
            Ok(reserved) => {
                in_flight.reserve_granted(entry.clock.now_ms(), reserve.request, &reserve.target);
                let id = reserved.reservation;
                let validity = Mutex::new(HeldReservation::new(sent_ms));
                let reservation = Arc::new(Reservation { reserve, reserved, validity });
                self.lock().insert(id, reservation.clone());
                Ok(ReservationGuard { entry, reservation, released: false })
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
        reservation: &Reservation,
        outcome: ReleaseOutcome,
        first_token_ms: Option<u64>,
    ) {
        self.lock().remove(&reservation.reserved.reservation);
        entry
            .fleet
            .view()
            .in_flight()
            .reservation_ended(reservation.reserve.request, &reservation.reserve.target);
        send_release(entry, &reservation.reserve, outcome, first_token_ms);
    }

    /// Reports to the home that the request has produced its first token.
    pub fn first_token(&self, entry: &Entry, reservation: &Reservation) {
        let id = reservation.reserved.reservation;
        send(entry, &reservation.reserve.target, HomeRequest::FirstToken { reservation: id });
    }

    /// Extends all reservations at their homes, and reregisters those that a home does not know, for
    /// example after a change of home.
    pub fn extend_all(&self, entry: &Entry) {
        let reservations: Vec<Arc<Reservation>> = self.lock().values().cloned().collect();
        if reservations.is_empty() {
            return;
        }
        let ids: Vec<_> =
            reservations.iter().map(|reservation| reservation.reserved.reservation).collect();
        if !entry.lease.is_valid() {
            // Without a lease the current homes are not known, so tell every reachable member that
            // these reservations are still in use.
            let request = extend_request(entry, ids);
            for client in entry.peer_clients.all() {
                let _ = client.send(&request);
            }
            return;
        }
        let membership = entry.lease.membership();
        let mut by_home: BTreeMap<NodeId, (Member, Vec<Arc<Reservation>>)> = BTreeMap::new();
        for reservation in reservations {
            if let Some(home) = membership.home_of(&reservation.reserve.target) {
                by_home
                    .entry(home.node)
                    .or_insert_with(|| (home.clone(), Vec::new()))
                    .1
                    .push(reservation);
            }
        }
        for (home, reservations) in by_home.into_values() {
            extend_at(entry, &home, &reservations);
        }
    }

    fn request_reservation(&self, entry: &Entry, reserve: &Reserve) -> Result<Reserved, Refused> {
        let membership = entry.lease.membership();
        let home = membership.home_of(&reserve.target).ok_or_else(unavailable_home)?;
        match call(entry, home, HomeRequest::Reserve(reserve.clone())) {
            Some(HomeReply::Reserved(reserved)) => Ok(reserved),
            Some(HomeReply::Refused(refused)) => Err(refused),
            Some(_) => Err(unavailable_home()),
            None => {
                tracing::warn!(
                    attempt = %reserve.request, target = %reserve.target, home = %home.node,
                    "reserve_not_answered"
                );
                // The reservation may have been granted although the reply was lost.
                send_release(entry, reserve, ReleaseOutcome::Unused, None);
                Err(unavailable_home())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReservationId, Arc<Reservation>>> {
        self.reservations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn extend_at(entry: &Entry, home: &Member, reservations: &[Arc<Reservation>]) {
    let sent_ms = entry.clock.now_ms();
    let ids = reservations.iter().map(|reservation| reservation.reserved.reservation).collect();
    let Some(HomeReply::Extended { unknown }) = call(entry, home, extend_request(entry, ids))
    else {
        return;
    };
    for reservation in reservations {
        if !unknown.contains(&reservation.reserved.reservation) {
            reservation.validity().extended(sent_ms, entry.clock.now_ms());
            continue;
        }
        let sent_ms = entry.clock.now_ms();
        let request = HomeRequest::Reserve(reservation.reserve.clone());
        if let Some(HomeReply::Reserved(reserved)) = call(entry, home, request)
            && reserved.boot_id == reservation.reserved.boot_id
        {
            reservation.validity().reregistered(sent_ms);
        }
    }
}

fn extend_request(entry: &Entry, reservations: Vec<ReservationId>) -> HomeRequest {
    HomeRequest::Extend { node: entry.node, incarnation: entry.incarnation, reservations }
}

fn send_release(
    entry: &Entry,
    reserve: &Reserve,
    outcome: ReleaseOutcome,
    first_token_ms: Option<u64>,
) {
    let target = reserve.target.clone();
    let reservation = reservation_id(reserve.request, &target);
    let release = Release { target: target.clone(), reservation, outcome, first_token_ms };
    send(entry, &target, HomeRequest::Release(release));
}

/// Sends a message to the home of a target without waiting for a reply. The loss of a message is
/// tolerated, because reservations that are not extended expire.
fn send(entry: &Entry, target: &str, request: HomeRequest) {
    let membership = entry.lease.membership();
    let Some(home) = membership.home_of(target) else { return };
    if home.node == entry.node {
        entry.handle_home_request(request);
    } else if let Some(client) = entry.peer_clients.client(home)
        && let Err(error) = client.send(&request)
    {
        tracing::debug!(home = %home.node, %error, "home_message_lost");
    }
}

/// Calls a home, which may be this entry. Returns `None` if there was no reply.
fn call(entry: &Entry, home: &Member, request: HomeRequest) -> Option<HomeReply> {
    if home.node == entry.node {
        return Some(entry.handle_home_request(request));
    }
    let client = entry.peer_clients.client(home)?;
    let started = Instant::now();
    client
        .call(&request, HOME_TIMEOUT)
        .inspect_err(|error| {
            let waited_ms = started.elapsed().as_millis() as u64;
            tracing::debug!(home = %home.node, %error, waited_ms, "home_call_failed");
        })
        .ok()
}

fn unavailable_home() -> Refused {
    Refused { reason: RefuseReason::NotHome, retry_after_ms: UNAVAILABLE_RETRY_MS }
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
