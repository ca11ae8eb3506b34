//! The lease of this entry and the homes that depend on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use mulberry_clock::Clock;
use mulberry_policy::{EntryLease, HomeOwnership};
use mulberry_types::{Incarnation, Membership, NodeId};

/// Lease and homes. The end of the lease and the membership are read without a lock.
#[derive(Debug)]
pub struct LeaseState {
    clock: Clock,
    valid_until_ms: AtomicU64,

    /// When the lease became valid after a time in which it was not.
    valid_since_ms: AtomicU64,

    /// Whether the lease was valid at the last change, for the notice of its end.
    held: AtomicBool,

    /// Whether the lease was given up for good on a planned stop.
    ended: AtomicBool,

    membership: ArcSwap<Membership>,
    inner: Mutex<LeaseAndHomes>,
}

/// What changes together under one lock.
#[derive(Debug)]
pub struct LeaseAndHomes {
    pub lease: EntryLease,
    pub homes: HomeOwnership,
}

impl LeaseState {
    pub fn new(clock: Clock, node: NodeId, incarnation: Incarnation) -> LeaseState {
        LeaseState {
            clock,
            valid_until_ms: AtomicU64::new(0),
            valid_since_ms: AtomicU64::new(0),
            held: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            membership: ArcSwap::from_pointee(Membership::default()),
            inner: Mutex::new(LeaseAndHomes {
                lease: EntryLease::new(),
                homes: HomeOwnership::new(node, incarnation),
            }),
        }
    }

    /// Changes lease or homes and publishes the result.
    pub fn update<T>(&self, change: impl FnOnce(&mut LeaseAndHomes, u64) -> T) -> T {
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
        self.held.store(remaining_ms > 0, Ordering::Release);
        let newest = inner.homes.membership();
        if newest.epoch != self.membership.load().epoch {
            self.membership.store(newest.clone());
        }
        result
    }

    /// Ends the lease for good: it is not renewed any more, and grants on their way are ignored.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Whether the lease was ended for good.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Whether this entry may start work now. Reads the clock, so that a frozen process that wakes
    /// sees that its lease has ended.
    pub fn is_valid(&self) -> bool {
        self.remaining_ms() > 0
    }

    /// For how long the lease has been valid without a gap.
    pub fn valid_for_ms(&self) -> u64 {
        if !self.is_valid() {
            return 0;
        }
        self.clock.now_ms().saturating_sub(self.valid_since_ms.load(Ordering::Acquire))
    }

    /// Whether the lease has run out since it was last changed. Says so once.
    pub fn has_just_expired(&self) -> bool {
        !self.is_valid() && self.held.swap(false, Ordering::AcqRel)
    }

    /// Time until the lease ends without a further grant.
    pub fn remaining_ms(&self) -> u64 {
        self.valid_until_ms.load(Ordering::Acquire).saturating_sub(self.clock.now_ms())
    }

    /// Whether this entry may act as home of a target now.
    pub fn acts_for(&self, target: &str) -> bool {
        let inner = self.lock();
        inner.homes.acts_for(target, self.is_valid())
    }

    /// Newest applied membership.
    pub fn membership(&self) -> Arc<Membership> {
        self.membership.load_full()
    }

    fn lock(&self) -> MutexGuard<'_, LeaseAndHomes> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
