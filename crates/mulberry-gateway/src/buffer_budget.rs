//! Decides how much of a gateway's memory each stream, body and answer may hold.
//!
//! The load it answers: callers and targets that read slowly, up to thousands at once. Each stream may hold the same
//! part of what is free at the moment, so that the first slow callers leave room for the next ones, and nobody has to
//! be ended for a newcomer. A stream beyond its part is paused: its target is not read until its caller has taken some
//! of it. If a target would cut a paused stream, a stream is ended on purpose, in the order that callers would find
//! just: first those whose callers cannot take what is held before their deadline, the largest of them; then the
//! largest that the target still makes, if it holds more than the paused one; else the paused one itself. Answers that
//! are ready and can be taken in time are never ended.

use std::collections::HashMap;

/// Part of the free bytes that one stream may hold, as a divisor: after a thousand callers that take all they may, the
/// next one still gets a fiftieth of what the first got.
const SHARE_DIVISOR: usize = 256;

/// Part of all bytes that streams leave free, as a divisor: the bytes that were on their way when streams were paused
/// have to fit.
const RESERVE_DIVISOR: usize = 8;

/// Part of all bytes that bodies of requests may hold, as a divisor.
const BODY_DIVISOR: usize = 2;

/// Time after which the pace of a caller is known.
const MIN_PACE_MS: u64 = 1_000;

/// Number of a stream, never used twice.
pub type StreamNumber = u64;

/// Limits of a [`BufferBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Maximum bytes of all streams, bodies and answers.
    pub max_bytes: usize,

    /// Maximum bytes of one stream.
    pub max_stream_bytes: usize,
}

/// Bytes held for callers and targets, by reason.
#[derive(Debug)]
pub struct BufferBudget {
    limits: BufferLimits,
    streams: HashMap<StreamNumber, HeldStream>,
    stream_bytes: usize,
    body_bytes: usize,
    answer_bytes: usize,
}

/// What a stream holds for its caller.
#[derive(Debug)]
struct HeldStream {
    held_bytes: usize,
    taken_bytes: u64,

    /// When the caller fell behind.
    since_ms: u64,

    /// When the caller gives up.
    deadline_ms: u64,

    /// Whether the target has made all of it.
    is_ready: bool,

    /// Whether it was chosen to end.
    is_ending: bool,
}

impl BufferBudget {
    pub fn new(limits: BufferLimits) -> BufferBudget {
        BufferBudget {
            limits,
            streams: HashMap::new(),
            stream_bytes: 0,
            body_bytes: 0,
            answer_bytes: 0,
        }
    }

    pub fn stream_bytes(&self) -> usize {
        self.stream_bytes
    }

    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// All bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.stream_bytes + self.body_bytes + self.answer_bytes
    }

    fn free_bytes(&self) -> usize {
        self.limits.max_bytes.saturating_sub(self.held_bytes())
    }

    /// Takes room for the body of a request. False if there is none.
    pub fn hold_body(&mut self, bytes: usize) -> bool {
        let max_bytes = self.limits.max_bytes / BODY_DIVISOR;
        let is_allowed = bytes <= self.free_bytes()
            && self.body_bytes.checked_add(bytes).is_some_and(|held| held <= max_bytes);
        if is_allowed {
            self.body_bytes += bytes;
        }
        is_allowed
    }

    pub fn release_body(&mut self, bytes: usize) {
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }

    /// Takes room for a part of an answer that is no stream. False if there is none.
    pub fn hold_answer(&mut self, bytes: usize) -> bool {
        let is_allowed = bytes <= self.free_bytes();
        if is_allowed {
            self.answer_bytes += bytes;
        }
        is_allowed
    }

    pub fn release_answer(&mut self, bytes: usize) {
        self.answer_bytes = self.answer_bytes.saturating_sub(bytes);
    }

    /// Whether the target of a stream that holds `held_bytes` may be read.
    pub fn may_read(&self, held_bytes: usize) -> bool {
        if held_bytes == 0 {
            return true;
        }
        let free_bytes = self.free_bytes();
        let shared_bytes = free_bytes.saturating_sub(self.limits.max_bytes / RESERVE_DIVISOR);
        held_bytes < self.limits.max_stream_bytes.min(shared_bytes / SHARE_DIVISOR)
    }

    /// Adds bytes that a stream holds since its caller has not taken them. Returns false if they exceed all memory, also
    /// when the streams that were chosen have ended: another one must end ([`Self::choose_ending`]).
    pub fn hold_stream(
        &mut self,
        now_ms: u64,
        number: StreamNumber,
        deadline_ms: u64,
        bytes: usize,
    ) -> bool {
        let stream = self.streams.entry(number).or_insert(HeldStream {
            held_bytes: 0,
            taken_bytes: 0,
            since_ms: now_ms,
            deadline_ms,
            is_ready: false,
            is_ending: false,
        });
        stream.held_bytes += bytes;
        self.stream_bytes += bytes;
        if self.held_bytes() <= self.limits.max_bytes {
            return true;
        }
        // Streams that end release theirs once their tasks have run.
        let ending = self.streams.values().filter(|stream| stream.is_ending);
        let ending_bytes: usize = ending.map(|stream| stream.held_bytes).sum();
        self.held_bytes() - ending_bytes <= self.limits.max_bytes
    }

    /// Removes bytes that a caller has taken. A caller that has taken all has caught up, and its stream is forgotten.
    pub fn release_stream(&mut self, number: StreamNumber, bytes: usize) {
        let Some(stream) = self.streams.get_mut(&number) else { return };
        let bytes = bytes.min(stream.held_bytes);
        stream.held_bytes -= bytes;
        stream.taken_bytes += bytes as u64;
        self.stream_bytes -= bytes;
        if stream.held_bytes == 0 {
            self.streams.remove(&number);
        }
    }

    /// Removes all bytes of a stream.
    pub fn forget_stream(&mut self, number: StreamNumber) {
        if let Some(stream) = self.streams.remove(&number) {
            self.stream_bytes -= stream.held_bytes;
        }
    }

    /// Records that the target has made all of a stream.
    pub fn set_ready(&mut self, number: StreamNumber) {
        if let Some(stream) = self.streams.get_mut(&number) {
            stream.is_ready = true;
        }
    }

    /// Chooses the stream to end so that the stream `paused` can go on. Another one is not chosen a second time.
    pub fn choose_ending(&mut self, now_ms: u64, paused: StreamNumber) -> StreamNumber {
        let own_bytes = self.streams.get(&paused).map_or(0, |stream| stream.held_bytes);
        if own_bytes >= self.limits.max_stream_bytes {
            // No room of others would help it.
            return paused;
        }
        let candidates = self.streams.iter().filter(|(number, stream)| {
            !stream.is_ending
                && (**number == paused || !stream.is_ready || stream.is_too_late(now_ms))
        });
        let chosen = candidates
            .max_by_key(|(number, stream)| {
                let is_paused = **number == paused;
                (stream.is_too_late(now_ms), stream.held_bytes, is_paused, **number)
            })
            .map_or(paused, |(number, _)| *number);
        if let Some(stream) = self.streams.get_mut(&chosen).filter(|_| chosen != paused) {
            stream.is_ending = true;
        }
        chosen
    }
}

impl HeldStream {
    /// Whether the caller, at its pace since it fell behind, cannot take what is held before its deadline.
    fn is_too_late(&self, now_ms: u64) -> bool {
        let behind_ms = now_ms.saturating_sub(self.since_ms);
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let can_take = u128::from(self.taken_bytes) * u128::from(left_ms);
        behind_ms >= MIN_PACE_MS && can_take < self.held_bytes as u128 * u128::from(behind_ms)
    }
}
