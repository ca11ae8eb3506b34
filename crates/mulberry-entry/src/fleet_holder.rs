//! The fleet view of this entry, published as snapshots that are read without locks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use mulberry_policy::{FleetView, InFlightReservations, LongPrefillCap};
use mulberry_types::{Configuration, HomeDigest, Membership};

/// Owner of the fleet view.
#[derive(Debug)]
pub struct FleetHolder {
    owned: Mutex<FleetView>,
    published: ArcSwap<FleetView>,
}

impl FleetHolder {
    pub fn new() -> FleetHolder {
        let view = FleetView::new(Arc::new(InFlightReservations::new()));
        FleetHolder { published: ArcSwap::from_pointee(view.clone()), owned: Mutex::new(view) }
    }

    /// Newest snapshot.
    pub fn view(&self) -> Arc<FleetView> {
        self.published.load_full()
    }

    /// Takes a digest of this or another home.
    pub fn digest_received(&self, now_ms: u64, digest: HomeDigest, configuration: &Configuration) {
        let mut view = self.lock();
        if view.apply(now_ms, digest) {
            self.publish(now_ms, &mut view, configuration);
        }
    }

    /// Drops the digests of members that are gone.
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

    /// Drops old digests and returns the cap of long prefills by what remains.
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
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for FleetHolder {
    fn default() -> Self {
        FleetHolder::new()
    }
}
