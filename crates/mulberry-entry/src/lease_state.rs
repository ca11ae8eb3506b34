//! Lease of this entry, and the ownership of targets that depends on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use mulberry_clock::Clock;
use mulberry_policy::{EntryLease, HomeOwnership};
use mulberry_types::{Incarnation, Membership, NodeId};

/// Lease and target ownership. Lease expiry and membership can be read without a lock.
#[derive(Debug)]
pub struct LeaseState {
    clock: Clock,
    valid_until_ms: AtomicU64,

    /// Start of the current period of uninterrupted validity.
    valid_since_ms: AtomicU64,

    /// Whether the lease was valid at the last update and its expiry has not been reported.
    expiry_unreported: AtomicBool,

    /// Set by a planned stop; the lease cannot become valid again.
    ended: AtomicBool,

    membership: ArcSwap<Membership>,
    inner: Mutex<LeaseAndOwnership>,
}

/// State that is updated under one lock.
#[derive(Debug)]
pub struct LeaseAndOwnership {
    pub lease: EntryLease,
    pub ownership: HomeOwnership,
}

impl LeaseState {
    pub fn new(clock: Clock, node: NodeId, incarnation: Incarnation) -> LeaseState {
        LeaseState {
            clock,
            valid_until_ms: AtomicU64::new(0),
            valid_since_ms: AtomicU64::new(0),
            expiry_unreported: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            membership: ArcSwap::from_pointee(Membership::default()),
            inner: Mutex::new(LeaseAndOwnership {
                lease: EntryLease::new(),
                ownership: HomeOwnership::new(node, incarnation),
            }),
        }
    }

    /// Updates the lease or the ownership and publishes the result to lock-free readers.
    pub fn update<T>(&self, change: impl FnOnce(&mut LeaseAndOwnership, u64) -> T) -> T {
        let mut inner = self.lock();
        let now_ms = self.clock.now_ms();
        let was_valid = self.is_valid();
        let result = change(&mut inner, now_ms);
        let remaining_ms = if self.is_ended() { 0 } else { inner.lease.remaining_ms(now_ms) };
        let until_ms = if remaining_ms == 0 { 0 } else { now_ms + remaining_ms };
        if !was_valid {
            self.valid_since_ms.store(now_ms, Ordering::Release);
        }
        self.valid_until_ms.store(until_ms, Ordering::Release);
        self.expiry_unreported.store(remaining_ms > 0, Ordering::Release);
        let newest = inner.ownership.membership();
        if newest.epoch != self.membership.load().epoch {
            self.membership.store(newest.clone());
        }
        result
    }

    /// Ends the lease permanently: it is no longer renewed, and grants still in transit are ignored.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Whether the lease was ended permanently.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Whether this entry may start work now. Compares with the clock on each call, so that a process
    /// that resumes after a suspension sees an expired lease.
    pub fn is_valid(&self) -> bool {
        self.remaining_ms() > 0
    }

    /// How long the lease has been valid without interruption; 0 if it is not valid.
    pub fn valid_for_ms(&self) -> u64 {
        if !self.is_valid() {
            return 0;
        }
        self.clock.now_ms().saturating_sub(self.valid_since_ms.load(Ordering::Acquire))
    }

    /// Whether the lease has expired since the last update. Returns true once per expiry.
    pub fn has_just_expired(&self) -> bool {
        !self.is_valid() && self.expiry_unreported.swap(false, Ordering::AcqRel)
    }

    /// Time until the lease expires if it is not renewed; 0 if it is not valid.
    pub fn remaining_ms(&self) -> u64 {
        self.valid_until_ms.load(Ordering::Acquire).saturating_sub(self.clock.now_ms())
    }

    /// Whether this entry may act as the home of a target now.
    pub fn acts_for(&self, target: &str) -> bool {
        let inner = self.lock();
        inner.ownership.acts_for(target, self.is_valid())
    }

    /// Newest applied membership.
    pub fn membership(&self) -> Arc<Membership> {
        self.membership.load_full()
    }

    fn lock(&self) -> MutexGuard<'_, LeaseAndOwnership> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
