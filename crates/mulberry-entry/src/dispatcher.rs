//! Dispatcher: decides which queued request may reserve a target next.
//!
//! Requests wait in the fair queue. The request at the head gets a placement permit, asks homes for a reservation and
//! returns the permit once it is granted or refused. The number of permits is small, so that reservations are granted in
//! queue order.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use mulberry_policy::{FairQueue, PlacementClass, QueueFull, QueuedRequest};
use mulberry_types::{Priority, RequestId};

use crate::entry::Entry;

/// Limit of requests that reserve at the same time. A reservation takes one round trip between
/// entries, about 1 ms, so 8 permits allow several thousand requests per second.
const MAX_ACTIVE_PERMITS: usize = 8;

/// Interval at which a waiting request checks whether its caller has disconnected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of waiting for a placement permit.
#[derive(Debug)]
pub enum WaitOutcome<'e> {
    Permitted(PlacementPermit<'e>),

    /// The deadline can no longer be met.
    DeadlineUnreachable,

    /// The caller disconnected.
    CallerGone,

    QueueFull(QueueFull),
}

/// Permission to ask homes for a reservation. Dropping it lets the next request proceed.
#[derive(Debug)]
pub struct PlacementPermit<'e> {
    entry: &'e Entry,
}

impl Drop for PlacementPermit<'_> {
    fn drop(&mut self) {
        self.entry.dispatcher.permit_released(self.entry);
    }
}

/// Fair queue of one entry and its active placement permits.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<State>,
    closed: AtomicBool,
}

#[derive(Debug)]
struct State {
    queue: FairQueue,
    waiters: HashMap<RequestId, Sender<bool>>,
    active_permits: usize,
}

impl Dispatcher {
    pub fn new(max_queued_requests: usize) -> Dispatcher {
        let queue = FairQueue::new(max_queued_requests);
        let state = State { queue, waiters: HashMap::new(), active_permits: 0 };
        Dispatcher { state: Mutex::new(state), closed: AtomicBool::new(false) }
    }

    /// Makes the entry refuse new requests; requests already admitted continue.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Queues a request and waits for its placement permit.
    pub fn wait<'e>(
        &self,
        entry: &'e Entry,
        queued: QueuedRequest,
        caller_is_gone: impl Fn() -> bool,
    ) -> WaitOutcome<'e> {
        let request = queued.request;
        let permitted = match self.push(queued) {
            Ok(receiver) => receiver,
            Err(full) => return WaitOutcome::QueueFull(full),
        };
        self.dispatch(entry);
        loop {
            match permitted.recv_timeout(CALLER_POLL_INTERVAL) {
                Ok(true) => return WaitOutcome::Permitted(PlacementPermit { entry }),
                Ok(false) | Err(RecvTimeoutError::Disconnected) => {
                    return WaitOutcome::DeadlineUnreachable;
                }
                Err(RecvTimeoutError::Timeout) if caller_is_gone() => {
                    if self.remove(request) {
                        return WaitOutcome::CallerGone;
                    }
                    // The request has already left the queue and its notification is on the way;
                    // the next iteration receives it.
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn permit_released(&self, entry: &Entry) {
        self.lock().active_permits -= 1;
        self.dispatch(entry);
    }

    /// Grants permits to requests that can be placed now, and wakes those whose deadline can no
    /// longer be met.
    pub fn dispatch(&self, entry: &Entry) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            // The queue may have been emptied by a caller that disconnected, which does not update
            // the gauge.
            entry.metrics.queued.set(0);
            return;
        }
        let now_ms = entry.clock.now_ms();
        for late in state.queue.expire(now_ms) {
            state.notify(late.request, false);
        }
        let configuration = entry.configuration.current().configuration.clone();
        let view = entry.fleet.view();
        let can_place = |class: &PlacementClass| {
            let backlog = view.backlog(now_ms, &class.service, Priority::High, &configuration);
            backlog.free_targets > 0
        };
        while state.active_permits < MAX_ACTIVE_PERMITS {
            let Some(next) = state.queue.pop_next(now_ms, can_place) else { break };
            state.active_permits += 1;
            state.notify(next.request, true);
        }
        entry.metrics.queued.set(state.queue.len() as i64);
    }

    /// Queued tokens of requests at or above a priority.
    pub fn waiting_tokens(&self, now_ms: u64, priority: Priority) -> u64 {
        self.lock().queue.waiting_tokens(now_ms, priority)
    }

    fn push(&self, queued: QueuedRequest) -> Result<Receiver<bool>, QueueFull> {
        let (sender, receiver) = bounded(1);
        let mut state = self.lock();
        let request = queued.request;
        state.queue.push(queued)?;
        state.waiters.insert(request, sender);
        Ok(receiver)
    }

    fn remove(&self, request: RequestId) -> bool {
        let mut state = self.lock();
        state.waiters.remove(&request);
        state.queue.remove(request).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn notify(&mut self, request: RequestId, is_permitted: bool) {
        if let Some(waiter) = self.waiters.remove(&request) {
            // Cannot fail: the waiter keeps its receiver until it is notified.
            let _ = waiter.send(is_permitted);
        }
    }
}
