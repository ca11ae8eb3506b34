//! The fleet view of this entry, published as snapshots for lock-free reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use mulberry_policy::{FleetView, InFlightReservations, LongPrefillCap};
use mulberry_types::{Configuration, HomeDigest, Membership};

/// Fleet view with a published snapshot.
#[derive(Debug)]
pub struct SharedFleetView {
    /// Updated under the lock, then published.
    working: Mutex<FleetView>,

    published: ArcSwap<FleetView>,
}

impl SharedFleetView {
    pub fn new() -> SharedFleetView {
        let view = FleetView::new(Arc::new(InFlightReservations::new()));
        SharedFleetView {
            published: ArcSwap::from_pointee(view.clone()),
            working: Mutex::new(view),
        }
    }

    /// Returns the newest snapshot.
    pub fn view(&self) -> Arc<FleetView> {
        self.published.load_full()
    }

    /// Applies a digest from this or another home.
    pub fn digest_received(&self, now_ms: u64, digest: HomeDigest, configuration: &Configuration) {
        let mut view = self.lock();
        if view.apply(now_ms, digest) {
            self.publish(now_ms, &mut view, configuration);
        }
    }

    /// Drops the digests of entries that are no longer members.
    pub fn membership_applied(
        &self,
        now_ms: u64,
        membership: &Arc<Membership>,
        configuration: &Configuration,
    ) {
        let mut view = self.lock();
        view.membership_applied(membership);
        self.publish(now_ms, &mut view, configuration);
    }

    /// Drops outdated digests and returns the cap on long prefills computed from the remaining ones.
    pub fn prune(&self, now_ms: u64, configuration: &Configuration) -> Arc<LongPrefillCap> {
        let mut view = self.lock();
        view.prune(now_ms);
        self.publish(now_ms, &mut view, configuration);
        view.long_prefill_cap(configuration)
    }

    fn publish(&self, now_ms: u64, view: &mut FleetView, configuration: &Configuration) {
        view.prepare(now_ms, configuration);
        self.published.store(Arc::new(view.clone()));
    }

    fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.working.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SharedFleetView {
    fn default() -> Self {
        SharedFleetView::new()
    }
}
