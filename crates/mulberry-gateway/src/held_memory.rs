//! Memory held for callers and targets that read slowly, counted by [`BufferBudget`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use mulberry_clock::Clock;
use tokio::sync::Notify;

use crate::GatewaySettings;
use crate::buffer_budget::{BufferBudget, BufferLimits, StreamNumber};
use crate::metrics::{EndLabels, GatewayMetrics, HeldLabels};

/// The memory of a gateway that callers and targets share.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    /// Whether streams read ahead of their callers, and bodies and answers count towards the budget.
    is_enabled: bool,

    budget: RefCell<BufferBudget>,

    /// Notified when a stream was chosen to end.
    endings: RefCell<HashMap<StreamNumber, Rc<Notify>>>,

    next_stream: Cell<StreamNumber>,
    clock: Clock,
    metrics: GatewayMetrics,
}

/// A body of a request, counted until dropped.
#[derive(Debug)]
pub(crate) struct BodyHold {
    memory: Rc<HeldMemory>,
    bytes: usize,
}

/// What one stream holds, counted until dropped.
#[derive(Debug)]
pub(crate) struct StreamHold {
    memory: Rc<HeldMemory>,
    number: StreamNumber,
    deadline_ms: u64,
    held_bytes: usize,
    must_end: Rc<Notify>,
}

impl HeldMemory {
    pub(crate) fn new(settings: &GatewaySettings, metrics: &GatewayMetrics) -> Rc<HeldMemory> {
        let is_enabled = settings.read_ahead_bytes > 0;
        let limits = BufferLimits {
            max_bytes: if is_enabled { settings.buffer_memory_bytes } else { usize::MAX },
            max_stream_bytes: settings.read_ahead_bytes,
        };
        Rc::new(HeldMemory {
            is_enabled,
            budget: RefCell::new(BufferBudget::new(limits)),
            endings: RefCell::default(),
            next_stream: Cell::new(0),
            clock: Clock::new(),
            metrics: metrics.clone(),
        })
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Takes room for the body of a request; `None` if there is none.
    pub(crate) fn hold_body(self: &Rc<Self>, bytes: usize) -> Option<BodyHold> {
        let is_held = self.budget.borrow_mut().hold_body(bytes);
        if !is_held {
            tracing::info!(
                event = "body_refused",
                body_bytes = bytes,
                held_bytes = self.budget.borrow().held_bytes()
            );
            return None;
        }
        self.update_gauge("body", self.budget.borrow().body_bytes());
        Some(BodyHold { memory: self.clone(), bytes })
    }

    /// Takes room for a part of an answer that is no stream.
    pub(crate) fn hold_answer(&self, bytes: usize) -> bool {
        let is_held = self.budget.borrow_mut().hold_answer(bytes);
        self.update_gauge("answer", self.budget.borrow().answer_bytes());
        is_held
    }

    pub(crate) fn release_answer(&self, bytes: usize) {
        self.budget.borrow_mut().release_answer(bytes);
        self.update_gauge("answer", self.budget.borrow().answer_bytes());
    }

    /// Counts a stream whose caller gives up after `left_ms`.
    pub(crate) fn stream(self: &Rc<Self>, left_ms: u64) -> StreamHold {
        let number = self.next_stream.get();
        self.next_stream.set(number + 1);
        StreamHold {
            memory: self.clone(),
            number,
            deadline_ms: self.clock.now_ms().saturating_add(left_ms),
            held_bytes: 0,
            must_end: Rc::default(),
        }
    }

    pub(crate) fn count_ended(&self, reason: &'static str) {
        self.metrics.ended_streams.get_or_create(&EndLabels { reason }).inc();
    }

    fn update_gauge(&self, reason: &'static str, bytes: usize) {
        if self.is_enabled {
            let gauge = self.metrics.held_bytes.get_or_create(&HeldLabels { reason });
            gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
    }

    /// Ends a stream so that the stream `paused` can go on. Returns true if `paused` itself must end.
    fn end_one(&self, paused: StreamNumber) -> bool {
        let chosen = self.budget.borrow_mut().choose_ending(self.clock.now_ms(), paused);
        if chosen != paused
            && let Some(must_end) = self.endings.borrow().get(&chosen)
        {
            must_end.notify_one();
        }
        chosen == paused
    }
}

impl StreamHold {
    /// Counts bytes that the caller has not taken. If they exceed all memory, a stream is ended.
    pub(crate) fn hold(&mut self, bytes: usize) {
        let memory = &self.memory;
        if self.held_bytes == 0 {
            memory.endings.borrow_mut().insert(self.number, self.must_end.clone());
        }
        self.held_bytes += bytes;
        let now_ms = memory.clock.now_ms();
        let fits =
            memory.budget.borrow_mut().hold_stream(now_ms, self.number, self.deadline_ms, bytes);
        memory.update_gauge("stream", memory.budget.borrow().stream_bytes());
        if !fits && memory.end_one(self.number) {
            self.must_end.notify_one();
        }
    }

    /// Counts bytes that the caller has taken.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
        let memory = &self.memory;
        memory.budget.borrow_mut().release_stream(self.number, bytes);
        if self.held_bytes == 0 {
            memory.endings.borrow_mut().remove(&self.number);
            // The caller has caught up, so it need not end for what it held.
            self.must_end = Rc::default();
        }
        memory.update_gauge("stream", memory.budget.borrow().stream_bytes());
    }

    /// Whether the target may be read.
    pub(crate) fn may_read(&self) -> bool {
        self.held_bytes == 0 || self.memory.budget.borrow().may_read(self.held_bytes)
    }

    pub(crate) fn set_ready(&self) {
        self.memory.budget.borrow_mut().set_ready(self.number);
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Counts that the target is not read because the caller is behind.
    pub(crate) fn count_pause(&self) {
        self.memory.metrics.paused_streams.inc();
    }

    /// Ends another stream, since the target would cut this one. Returns true if this one must end.
    pub(crate) fn end_one(&self) -> bool {
        self.memory.end_one(self.number)
    }

    /// Returns when this stream was chosen to end.
    pub(crate) async fn ending(&self) {
        self.must_end.notified().await;
    }
}

impl Drop for StreamHold {
    fn drop(&mut self) {
        if self.held_bytes > 0 {
            let memory = &self.memory;
            memory.budget.borrow_mut().forget_stream(self.number);
            memory.endings.borrow_mut().remove(&self.number);
            memory.update_gauge("stream", memory.budget.borrow().stream_bytes());
        }
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().release_body(self.bytes);
        self.memory.update_gauge("body", self.memory.budget.borrow().body_bytes());
    }
}
