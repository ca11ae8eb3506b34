//! Reservations of this entry that no digest shows yet.
//!
//! Digests arrive every 250 ms. Without this delta one entry sends all requests of such an interval
//! to the engine that looked best in the last digest.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mulberry_types::{HomeDigest, Priority, RequestId, Reserve};

/// A digest that arrives less than this after a grant may have been made before it.
const DIGEST_TRANSIT_MS: u64 = 100;

/// An entry that neither reports a grant nor an end for this long has lost track of the request.
const FORGET_MS: u64 = 5_000;

/// Load that the entry itself has added to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreportedLoad {
    pub tokens: u64,
    pub slots: u32,

    /// Prompt tokens by priority from low to high.
    pub prompt_tokens: [u64; 3],
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    request: RequestId,
    prompt_tokens: u64,
    total_tokens: u64,
    priority: Priority,
    started_ms: u64,
    granted_ms: Option<u64>,
}

/// Reservations of this entry that no digest shows yet, shared by all snapshots of the fleet.
#[derive(Debug, Default)]
pub struct InFlightReservations {
    targets: Mutex<HashMap<Arc<str>, Vec<Pending>>>,
}

/// Locked view of the added loads, for one ranking.
#[derive(Debug)]
pub struct UnreportedLoads<'a> {
    targets: MutexGuard<'a, HashMap<Arc<str>, Vec<Pending>>>,
}

impl InFlightReservations {
    #[must_use]
    pub fn new() -> InFlightReservations {
        InFlightReservations::default()
    }

    /// The entry is about to send this `Reserve`.
    pub fn reserve_sent(&self, now_ms: u64, reserve: &Reserve) {
        let pending = Pending {
            request: reserve.request,
            prompt_tokens: reserve.prompt_tokens,
            total_tokens: reserve.total_tokens,
            priority: reserve.priority,
            started_ms: now_ms,
            granted_ms: None,
        };
        self.lock().entry(Arc::clone(&reserve.target)).or_default().push(pending);
    }

    /// The home has granted the reservation.
    pub fn reserve_granted(&self, now_ms: u64, request: RequestId, target: &str) {
        if let Some(pending) = self.lock().get_mut(target) {
            for pending in pending.iter_mut().filter(|pending| pending.request == request) {
                pending.granted_ms = Some(now_ms);
            }
        }
    }

    /// The reservation was refused or released, or the home did not answer.
    pub fn reservation_ended(&self, request: RequestId, target: &str) {
        let mut targets = self.lock();
        if let Some(pending) = targets.get_mut(target) {
            pending.retain(|pending| pending.request != request);
            if pending.is_empty() {
                targets.remove(target);
            }
        }
    }

    /// Forgets what a digest that arrived at `received_ms` shows.
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

    /// Forgets requests whose end was never reported.
    pub fn prune(&self, now_ms: u64) {
        self.lock().retain(|_, pending| {
            pending.retain(|pending| pending.started_ms + FORGET_MS > now_ms);
            !pending.is_empty()
        });
    }

    /// Loads of all targets, for one ranking. Do not call other functions while it is held.
    pub fn loads(&self) -> UnreportedLoads<'_> {
        UnreportedLoads { targets: self.lock() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Pending>>> {
        // The map is consistent after each statement, so a panic elsewhere does not spoil it.
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UnreportedLoads<'_> {
    /// Load that the entry has added to a target.
    #[must_use]
    pub fn of(&self, target: &str) -> UnreportedLoad {
        let mut load = UnreportedLoad::default();
        // Most rankings find no reservation without a digest, and hashing each target would be most
        // of their time.
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
