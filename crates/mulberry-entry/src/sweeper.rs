//! Reconciliation: compares what engines hold with the reservations of this home, once a second, and orders the end of
//! what no reservation covers.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use mulberry_policy::{CleanupOrder, InventoryItem, InventoryKind, TargetInventory};
use mulberry_targets::{EngineError, Order};
use mulberry_types::{Announcement, Fence};

use crate::entry::Entry;

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Threads that ask engines, so that a frozen engine does not hold up the others.
const SWEEP_THREADS: usize = 4;

/// Longest validity of an order; a successor of this home waits this long before it acts.
const MAX_ORDER_MS: u64 = 1_000;

/// Asks engines for their lists and sends cleanup orders.
#[derive(Debug)]
pub struct Sweeper {
    entry: Arc<Entry>,
    next_order: AtomicU64,

    /// Engines that wait for a thread or are being asked.
    busy: Mutex<HashSet<Arc<str>>>,
}

impl Sweeper {
    /// Starts the threads.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(entry: Arc<Entry>) -> std::io::Result<()> {
        let sweeper =
            Arc::new(Sweeper { entry, next_order: AtomicU64::new(1), busy: Mutex::default() });
        let (queue, engines) = bounded::<Announcement>(1_024);
        for index in 0..SWEEP_THREADS {
            let (sweeper, engines) = (sweeper.clone(), engines.clone());
            let name = format!("sweep-{index}");
            std::thread::Builder::new().name(name).spawn(move || sweeper.work(&engines))?;
        }
        std::thread::Builder::new().name("sweep".to_owned()).spawn(move || sweeper.plan(&queue))?;
        Ok(())
    }

    fn plan(&self, queue: &Sender<Announcement>) {
        loop {
            std::thread::sleep(SWEEP_INTERVAL);
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

    fn work(&self, engines: &Receiver<Announcement>) {
        for engine in engines {
            if let Err(error) = self.sweep(&engine) {
                tracing::debug!(target = %engine.target, %error, "sweep_failed");
            }
            self.busy().remove(&engine.target);
        }
    }

    fn sweep(&self, engine: &Announcement) -> Result<(), EngineError> {
        let inventory = self.inventory(engine)?;
        let now_ms = self.entry.clock.now_ms();
        let orders = self.entry.ledger().reconcile(now_ms, &engine.target, &inventory);
        for order in orders {
            self.send(engine, order)?;
        }
        self.entry.dispatcher.pump(&self.entry);
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

    /// Sends one order, if this entry still acts for the engine. The lease is read after the
    /// inventory has come, so that a process that was frozen meanwhile sends nothing.
    fn send(&self, engine: &Announcement, order: CleanupOrder) -> Result<(), EngineError> {
        let valid_for_ms = self.entry.lease.remaining_ms().min(MAX_ORDER_MS);
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
