//! Reservations of this entry that are not reflected in any digest yet.
//!
//! Digests arrive every 250 ms. Without this correction, an entry would send all requests of such an
//! interval to the engine that was best in the last digest.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mulberry_types::{HomeDigest, Priority, RequestId, Reserve};

/// A digest received less than this after a grant may have been created before the grant.
const DIGEST_TRANSIT_MS: u64 = 100;

/// Reservations are dropped after this time, in case their end is never reported.
const PENDING_TIMEOUT_MS: u64 = 5_000;

/// Load that this entry has added to one target and that no digest shows yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreportedLoad {
    pub tokens: u64,
    pub slots: u32,

    /// Prompt tokens by priority from low to high.
    pub prompt_tokens: [u64; 3],
}

#[derive(Debug, Clone, Copy)]
struct PendingReservation {
    request: RequestId,
    prompt_tokens: u64,
    total_tokens: u64,
    priority: Priority,
    sent_ms: u64,
    granted_ms: Option<u64>,
}

/// Reservations of this entry that no digest shows yet, shared by all snapshots of the fleet view.
#[derive(Debug, Default)]
pub struct InFlightReservations {
    targets: Mutex<HashMap<Arc<str>, Vec<PendingReservation>>>,
}

/// Lock guard for reading the unreported loads during one ranking.
#[derive(Debug)]
pub struct UnreportedLoads<'a> {
    targets: MutexGuard<'a, HashMap<Arc<str>, Vec<PendingReservation>>>,
}

impl InFlightReservations {
    #[must_use]
    pub fn new() -> InFlightReservations {
        InFlightReservations::default()
    }

    /// Records a `Reserve` that is about to be sent.
    pub fn reserve_sent(&self, now_ms: u64, reserve: &Reserve) {
        let pending = PendingReservation {
            request: reserve.request,
            prompt_tokens: reserve.prompt_tokens,
            total_tokens: reserve.total_tokens,
            priority: reserve.priority,
            sent_ms: now_ms,
            granted_ms: None,
        };
        self.lock().entry(Arc::clone(&reserve.target)).or_default().push(pending);
    }

    /// Records that the home granted the reservation.
    pub fn reserve_granted(&self, now_ms: u64, request: RequestId, target: &str) {
        if let Some(pending) = self.lock().get_mut(target) {
            for pending in pending.iter_mut().filter(|pending| pending.request == request) {
                pending.granted_ms = Some(now_ms);
            }
        }
    }

    /// Removes a reservation that was refused, released or not answered.
    pub fn reservation_ended(&self, request: RequestId, target: &str) {
        let mut targets = self.lock();
        if let Some(pending) = targets.get_mut(target) {
            pending.retain(|pending| pending.request != request);
            if pending.is_empty() {
                targets.remove(target);
            }
        }
    }

    /// Removes reservations that a digest received at `received_ms` includes.
    pub(crate) fn digest_applied(&self, received_ms: u64, digest: &HomeDigest) {
        let mut targets = self.lock();
        for target in &digest.targets {
            let Some(pending) = targets.get_mut(&target.target) else {
                continue;
            };
            pending.retain(|pending| {
                pending.granted_ms.is_none_or(|granted| granted + DIGEST_TRANSIT_MS > received_ms)
            });
            if pending.is_empty() {
                targets.remove(&target.target);
            }
        }
    }

    /// Removes reservations whose end was never reported.
    pub fn prune(&self, now_ms: u64) {
        self.lock().retain(|_, pending| {
            pending.retain(|pending| pending.sent_ms + PENDING_TIMEOUT_MS > now_ms);
            !pending.is_empty()
        });
    }

    /// Locks the loads of all targets for one ranking. Other methods of this type deadlock while the
    /// guard is held.
    pub fn loads(&self) -> UnreportedLoads<'_> {
        UnreportedLoads { targets: self.lock() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<PendingReservation>>> {
        // The map is consistent after each statement, so it stays usable after a panic of a thread
        // that held the lock.
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UnreportedLoads<'_> {
    /// Unreported load of a target.
    #[must_use]
    pub fn of(&self, target: &str) -> UnreportedLoad {
        let mut load = UnreportedLoad::default();
        // Usually there are no unreported reservations; hashing each target name would then take
        // most of the ranking time.
        if self.targets.is_empty() {
            return load;
        }
        for pending in self.targets.get(target).into_iter().flatten() {
            load.tokens += pending.total_tokens;
            load.slots += 1;
            load.prompt_tokens[pending.priority as usize] += pending.prompt_tokens;
        }
        load
    }
}
