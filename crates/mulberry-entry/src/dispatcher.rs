//! Turns: which waiting request may ask for a target next.
//!
//! Requests wait in the fair queue. A request whose turn has come asks homes for room and gives its turn back once it
//! has room or is refused. Only a few turns are out at once, so that the order of the queue is the order in which room
//! is given.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use mulberry_policy::{FairQueue, PlacementClass, QueueFull, QueuedRequest};
use mulberry_types::{Priority, RequestId};

use crate::entry::Entry;

/// Requests that ask for room at the same time. Asking takes a round trip between entries, about a
/// millisecond, so this allows several thousand requests a second.
const MAX_TURNS_OUT: usize = 8;

/// Pause between two looks at whether the caller is still there.
const CALLER_POLL: Duration = Duration::from_millis(50);

/// Why a wait for a turn ended.
#[derive(Debug)]
pub enum Waited<'e> {
    /// It is this request's turn, until the value is dropped.
    Turn(Turn<'e>),

    /// The deadline can no longer be met.
    Late,

    /// The caller went away.
    CallerGone,

    /// The queue is full.
    Full(QueueFull),
}

/// The right to ask homes for room. Dropping it lets the next request ask.
#[derive(Debug)]
pub struct Turn<'e> {
    entry: &'e Entry,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.entry.dispatcher.turn_done(self.entry);
    }
}

/// Queue of one entry with the turns that are out.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<State>,
    closed: AtomicBool,
}

#[derive(Debug)]
struct State {
    queue: FairQueue,
    waiters: HashMap<RequestId, Sender<bool>>,
    turns_out: usize,
}

impl Dispatcher {
    pub fn new(max_requests: usize) -> Dispatcher {
        let queue = FairQueue::new(max_requests);
        let state = State { queue, waiters: HashMap::new(), turns_out: 0 };
        Dispatcher { state: Mutex::new(state), closed: AtomicBool::new(false) }
    }

    /// Refuses new requests from now on; those that are admitted go on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Waits for the turn of a request.
    pub fn wait<'e>(
        &self,
        entry: &'e Entry,
        queued: QueuedRequest,
        caller_is_gone: impl Fn() -> bool,
    ) -> Waited<'e> {
        let request = queued.request;
        let turn = match self.push(queued) {
            Ok(turn) => turn,
            Err(full) => return Waited::Full(full),
        };
        self.pump(entry);
        loop {
            match turn.recv_timeout(CALLER_POLL) {
                Ok(true) => return Waited::Turn(Turn { entry }),
                Ok(false) | Err(RecvTimeoutError::Disconnected) => return Waited::Late,
                Err(RecvTimeoutError::Timeout) if caller_is_gone() => {
                    if self.remove(request) {
                        return Waited::CallerGone;
                    }
                    // The turn or the end of the wait is being sent; the next round takes it.
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn turn_done(&self, entry: &Entry) {
        self.lock().turns_out -= 1;
        self.pump(entry);
    }

    /// Gives turns to requests that can be placed now, and ends the wait of those that are late.
    pub fn pump(&self, entry: &Entry) {
        let mut state = self.lock();
        if state.queue.is_empty() {
            // The last request may have left without a turn.
            entry.metrics.queued.set(0);
            return;
        }
        let now_ms = entry.clock.now_ms();
        for late in state.queue.expire(now_ms) {
            state.tell(late.request, false);
        }
        let configuration = entry.configuration.current().configuration.clone();
        let view = entry.fleet.view();
        let can_place = |class: &PlacementClass| {
            let backlog = view.backlog(now_ms, &class.service, Priority::High, &configuration);
            backlog.free_targets > 0
        };
        while state.turns_out < MAX_TURNS_OUT {
            let Some(next) = state.queue.pop_next(now_ms, can_place) else { break };
            state.turns_out += 1;
            state.tell(next.request, true);
        }
        entry.metrics.queued.set(state.queue.len() as i64);
    }

    /// Tokens that wait at or above a priority.
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
    fn tell(&mut self, request: RequestId, is_turn: bool) {
        if let Some(waiter) = self.waiters.remove(&request) {
            // The waiter holds the receiver until it has been told, so this cannot fail.
            let _ = waiter.send(is_turn);
        }
    }
}
