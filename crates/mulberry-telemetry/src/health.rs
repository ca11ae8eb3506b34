//! Health of a process as the balancer asks for it.

use std::sync::atomic::{AtomicBool, Ordering};

/// Health of a process, shared between its threads.
#[derive(Debug, Default)]
pub struct Health {
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl Health {
    /// Says whether new requests can be served now.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Begins a planned stop: the process is not ready from now on, whatever else happens.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the balancer may send new requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }
}
