//! Reconciliation: once a second, compares the streams and exports on engines with the reservations at this home, and
//! orders engines to remove those that no reservation covers.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use mulberry_policy::{CleanupOrder, InventoryItem, InventoryKind, TargetInventory};
use mulberry_targets::{EngineError, Order};
use mulberry_types::{Announcement, Fence};

use crate::entry::Entry;

const RECONCILE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Worker threads; several, so that a frozen engine does not delay the others.
const RECONCILE_THREADS: usize = 4;

/// Longest validity of a cleanup order. An entry that takes over as home waits this long before it acts.
const MAX_ORDER_VALIDITY_MS: u64 = 1_000;

/// Reads the inventories of engines and sends cleanup orders.
#[derive(Debug)]
pub struct Reconciler {
    entry: Arc<Entry>,
    next_order: AtomicU64,

    /// Engines that are queued or being reconciled.
    busy: Mutex<HashSet<Arc<str>>>,
}

impl Reconciler {
    /// Starts the scheduler thread and the workers.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(entry: Arc<Entry>) -> std::io::Result<()> {
        let reconciler =
            Arc::new(Reconciler { entry, next_order: AtomicU64::new(1), busy: Mutex::default() });
        let (queue, engines) = bounded::<Announcement>(1_024);
        for index in 0..RECONCILE_THREADS {
            let (reconciler, engines) = (reconciler.clone(), engines.clone());
            let name = format!("sweep-{index}");
            std::thread::Builder::new()
                .name(name)
                .spawn(move || reconciler.run_worker(&engines))?;
        }
        std::thread::Builder::new()
            .name("sweep".to_owned())
            .spawn(move || reconciler.run_scheduler(&queue))?;
        Ok(())
    }

    fn run_scheduler(&self, queue: &Sender<Announcement>) {
        loop {
            std::thread::sleep(RECONCILE_INTERVAL);
            if !self.entry.lease.is_valid() {
                continue;
            }
            let engines: Vec<_> = self.entry.ledger().engines().cloned().collect();
            for engine in engines {
                let target = engine.target.clone();
                if self.busy().insert(target.clone()) && queue.try_send(engine).is_err() {
                    self.busy().remove(&target);
                }
            }
        }
    }

    fn run_worker(&self, engines: &Receiver<Announcement>) {
        for engine in engines {
            if let Err(error) = self.reconcile(&engine) {
                tracing::debug!(target = %engine.target, %error, "sweep_failed");
            }
            self.busy().remove(&engine.target);
        }
    }

    fn reconcile(&self, engine: &Announcement) -> Result<(), EngineError> {
        let inventory = self.inventory(engine)?;
        let now_ms = self.entry.clock.now_ms();
        let orders = self.entry.ledger().reconcile(now_ms, &engine.target, &inventory);
        for order in orders {
            self.send(engine, order)?;
        }
        self.entry.dispatcher.dispatch(&self.entry);
        Ok(())
    }

    fn inventory(&self, engine: &Announcement) -> Result<TargetInventory, EngineError> {
        let requested_ms = self.entry.clock.now_ms();
        let streams = self.entry.engines.streams(engine.address)?;
        let exports = self.entry.engines.exports(engine.address)?;
        let streams = streams.into_iter().map(|stream| InventoryItem {
            kind: InventoryKind::Stream,
            request: stream.id.parse().ok(),
            tokens: stream.tokens_held.max(stream.prompt_tokens),
            age_ms: stream.age_ms,
            id: stream.id,
        });
        let exports = exports.into_iter().map(|export| InventoryItem {
            kind: InventoryKind::Export,
            request: export.request_id.parse().ok(),
            tokens: export.tokens,
            age_ms: export.age_ms,
            id: export.handle,
        });
        let items = streams.chain(exports).collect();
        Ok(TargetInventory { boot_id: engine.boot_id, requested_ms, items })
    }

    /// Sends one order if this entry is still the home of the engine. The lease is checked after the
    /// inventory is read, so that a process that was suspended in between sends nothing.
    fn send(&self, engine: &Announcement, order: CleanupOrder) -> Result<(), EngineError> {
        let valid_for_ms = self.entry.lease.remaining_ms().min(MAX_ORDER_VALIDITY_MS);
        if valid_for_ms == 0 || !self.entry.lease.acts_for(&engine.target) {
            return Ok(());
        }
        let fence = Fence {
            epoch: self.entry.lease.membership().epoch,
            counter: self.next_order.fetch_add(1, Ordering::Relaxed),
        };
        tracing::info!(target = %engine.target, ?order, "cleanup_ordered");
        let order = match order {
            CleanupOrder::CancelStream { id } => Order::CancelStream { request_id: id },
            CleanupOrder::FreeExport { id } => Order::FreeExport { handle: id },
        };
        self.entry.metrics.cleanup_orders.inc();
        match self.entry.engines.order(engine.address, fence, valid_for_ms, &order) {
            Ok(()) | Err(EngineError::Refused { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn busy(&self) -> std::sync::MutexGuard<'_, HashSet<Arc<str>>> {
        self.busy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
