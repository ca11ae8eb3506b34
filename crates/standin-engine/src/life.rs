//! One life of the engine, from a start to the next restart.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender};

use crate::EngineSettings;
use crate::batch::{Batch, Counts, Event, Job, Refusal};
use crate::fault::{Fault, PendingFaults};
use crate::order::Weights;

/// Longest wait of the engine loop without work. Imported KV cache that arrives later is noticed after this time.
const IDLE_WAIT: Duration = Duration::from_millis(10);

/// What the supervisor is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command {
    Die,
    Restart { down_ms: u64 },
    RefuseConnections { ms: u64 },
    Stop,
}

/// State of one life.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) settings: Arc<EngineSettings>,
    pub(crate) boot_id: u64,
    pub(crate) leaving: Arc<AtomicBool>,
    pub(crate) accepted_while_leaving: AtomicU64,
    weights: Mutex<Weights>,
    batch: Mutex<Batch>,
    faults: Mutex<PendingFaults>,
    wake: Condvar,

    /// Set at the moment of a death, before its connections are closed, so that nothing is computed in between.
    is_halted: AtomicBool,
    dead: AtomicBool,
    commands: Sender<Command>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Life {
    pub(crate) fn new(
        settings: Arc<EngineSettings>,
        counts: Counts,
        leaving: Arc<AtomicBool>,
        commands: Sender<Command>,
    ) -> Life {
        let boot_id = rand::random();
        Life {
            boot_id,
            leaving,
            accepted_while_leaving: AtomicU64::new(0),
            weights: Mutex::new(Weights::new(&settings)),
            batch: Mutex::new(Batch::new(settings.clone(), boot_id, counts)),
            faults: Mutex::new(PendingFaults::default()),
            wake: Condvar::new(),
            is_halted: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            commands,
            settings,
        }
    }

    /// Computes steps until the end of this life.
    pub(crate) fn run(&self) {
        while let Some(step) = self.next_step() {
            std::thread::sleep(step.duration);
            self.wait_while_frozen();
            let mut batch = self.batch();
            if !self.is_halted() {
                batch.apply(&step);
            }
        }
    }

    fn next_step(&self) -> Option<crate::batch::Step> {
        let mut batch = self.batch();
        loop {
            if self.is_halted() {
                return None;
            }
            if let Some(step) = batch.plan(Instant::now()) {
                return Some(step);
            }
            let waited = self.wake.wait_timeout(batch, IDLE_WAIT);
            batch = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Takes a request. A cold engine with too many of them falls over.
    pub(crate) fn submit(&self, job: Job) -> Result<(u64, Receiver<Event>), Refusal> {
        if self.leaving.load(Ordering::Relaxed) {
            self.accepted_while_leaving.fetch_add(1, Ordering::Relaxed);
        }
        let mut batch = self.batch();
        let ticket = batch.submit(job)?;
        let cold = &self.settings.cold_start;
        if batch.is_cold() && batch.concurrent() > cold.max_concurrent as usize {
            tracing::warn!(target_id = %self.settings.target, "fell_over");
            // Requests that arrive between the fall and the end of the connections are part of the same fall.
            batch.counts.fell_over += u64::from(!self.is_halted());
            self.halt(Command::Restart { down_ms: cold.down_ms });
        }
        drop(batch);
        self.wake.notify_all();
        Ok(ticket)
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }

    pub(crate) fn weights(&self) -> MutexGuard<'_, Weights> {
        lock(&self.weights)
    }

    pub(crate) fn faults(&self) -> MutexGuard<'_, PendingFaults> {
        lock(&self.faults)
    }

    pub(crate) fn inject(&self, fault: &Fault) {
        tracing::info!(target_id = %self.settings.target, ?fault, "fault");
        self.faults().note(fault);
        match *fault {
            Fault::Slow { factor } => self.batch().slow_factor = factor.max(0.0),
            Fault::GoCold { slow_factor } => self.batch().go_cold(slow_factor.max(0.0)),
            Fault::Die => self.halt(Command::Die),
            Fault::RestartCold { down_ms } => self.halt(Command::Restart { down_ms }),
            Fault::RefuseConnections { ms } => self.command(Command::RefuseConnections { ms }),
            _ => {}
        }
    }

    fn halt(&self, command: Command) {
        self.is_halted.store(true, Ordering::Release);
        self.command(command);
    }

    fn command(&self, command: Command) {
        // Without a supervisor the engine is stopping anyway.
        let _ = self.commands.send(command);
    }

    fn is_halted(&self) -> bool {
        self.is_halted.load(Ordering::Acquire) || self.is_dead()
    }

    pub(crate) fn wait_while_frozen(&self) {
        loop {
            let until = self.faults().frozen_until;
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if !left.is_zero() && !self.is_dead() => {
                    std::thread::sleep(left.min(Duration::from_millis(20)));
                }
                _ => return,
            }
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    /// Ends this life: all work and all memory are gone. Returns the counts for the next one.
    pub(crate) fn end(&self) -> Counts {
        let mut batch = self.batch();
        self.dead.store(true, Ordering::Release);
        let counts = std::mem::take(&mut batch.counts);
        *batch = Batch::new(self.settings.clone(), self.boot_id, counts.clone());
        drop(batch);
        self.wake.notify_all();
        counts
    }
}
