//! Turns of refused requests: the order in which those who were sent away return.
//!
//! Answers the load of a burst that outlasts the delay named in a refusal: whoever comes back when told would find the
//! same shortage and be refused again. A turn names a time by which the room for the request has become free, at the
//! rate at which it becomes free, behind the turns given earlier. Room is kept for a turn from shortly before its time:
//! requests of the same or a lower rank that have no turn see less of it. A request that would have to wait longer than
//! its caller does gets no turn.
//!
//! Turns are soft state, limited in number and in time. Whoever returns early keeps the turn and is otherwise treated
//! like any newcomer; whoever does not return loses it after [`GRACE_MS`].

use std::collections::HashMap;

use crate::demand::Rate;

/// Maximum number of turns.
pub(crate) const MAX_TURNS: usize = 4_096;

/// Time after the named time at which a turn is lost: a connection set-up over a lossy link.
pub(crate) const GRACE_MS: u64 = 500;

/// Maximum time by which a caller may return before the named time and still be in time: rounding and clock drift.
const EARLY_MS: u64 = 10;

/// Time before the named time from which room is kept, so that requests that arrive just before do not take it.
const KEEP_AHEAD_MS: u64 = 1_000;

/// Like [`KEEP_AHEAD_MS`], for starts, of which many become free every second.
const KEEP_STARTS_AHEAD_MS: u64 = 100;

/// Share of the time left until its deadline for which a caller waits when told to.
const PATIENCE_SHARE: f64 = 1.0 / 3.0;

/// Time that the refusal and the repeated request take on their way.
const TRANSIT_MS: u64 = 50;

/// Minimum share of the starts for turns, so that a long burst does not starve those sent away.
const MIN_TURN_SHARE: f64 = 0.05;

/// What a refused request lacks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Shortage {
    /// Engine time or memory; it takes `engine_ms` of one engine's time, spread over `spread_ms`.
    EngineTime { engine_ms: f64, spread_ms: f64 },

    /// A place at an engine that does not start too many requests at a time.
    Start,
}

/// A refused request that asks for a turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnRequest {
    /// Equal for the request and its repetition; see [`crate::JobOrigin::retry_key`].
    pub key: u64,

    /// 0 is served first.
    pub priority: u32,

    pub shortage: Shortage,

    /// Earliest time to name.
    pub earliest_ms: u64,

    /// Time left until the caller's deadline.
    pub time_left_ms: u64,
}

/// Room that becomes free, as known when a turn is given.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoomForecast {
    /// Engines whose time can be used, and those of them that recent requests need.
    pub engines: f64,
    pub needed_engines: f64,

    /// Requests that the engines can start per millisecond, and the time from which they do.
    pub starts_per_ms: f64,
    pub starts_from_ms: u64,
}

/// A request with respect to the turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// It has no turn.
    Newcomer,

    /// It returned before the time named.
    Early { due_ms: u64 },

    /// It returned when told. The turn has ended with this.
    Due,
}

/// What happened to a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TurnStep {
    /// A refused request was given a turn.
    Given,

    /// A request that returned when told was placed.
    Kept,

    /// A request that returned when told was refused.
    Broken,

    /// A request returned before its turn.
    Early,

    /// A request that returned before its turn was placed like a newcomer.
    Unneeded,

    /// A caller did not return in time.
    Missed,

    /// A request cannot be served within the time for which its caller waits.
    RefusedForGood,
}

/// A turn of one request.
#[derive(Debug, Clone, Copy)]
struct Turn {
    due_ms: u64,
    priority: u32,
    shortage: Shortage,
}

impl Turn {
    fn is_expired(&self, now_ms: u64) -> bool {
        self.due_ms + GRACE_MS < now_ms
    }

    /// Whether room is kept for it from a request of the given priority.
    fn is_ahead_of(&self, now_ms: u64, priority: u32) -> bool {
        self.due_ms <= now_ms + KEEP_AHEAD_MS
            && !self.is_expired(now_ms)
            && self.priority <= priority
    }
}

/// Turns at the engines of one service.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    by_key: HashMap<u64, Turn>,

    /// Time by which the engine time of all turns has become free.
    engine_time_from_ms: f64,

    /// Time at which the start after those of all turns is possible.
    start_from_ms: f64,

    newcomers: Rate,

    /// What happened since [`Turns::take_steps`], with the keys of the requests.
    steps: Vec<(u64, TurnStep)>,
}

impl Turns {
    /// Looks up the turn of a request that arrives now, and ends it if it is due.
    pub(crate) fn claim(&mut self, now_ms: u64, key: u64) -> Claim {
        self.expire(now_ms);
        let Some(turn) = self.by_key.get(&key) else {
            self.newcomers.add(now_ms, 1.0);
            return Claim::Newcomer;
        };
        if now_ms + EARLY_MS < turn.due_ms {
            let due_ms = turn.due_ms;
            self.record(key, TurnStep::Early);
            return Claim::Early { due_ms };
        }
        self.by_key.remove(&key);
        Claim::Due
    }

    /// Records whether a request that returned when told was placed.
    pub(crate) fn settle(&mut self, key: u64, is_placed: bool) {
        self.record(key, if is_placed { TurnStep::Kept } else { TurnStep::Broken });
    }

    /// Ends the turn of a request that was placed before its time.
    pub(crate) fn end(&mut self, key: u64) {
        if self.by_key.remove(&key).is_some() {
            self.record(key, TurnStep::Unneeded);
        }
    }

    /// Gives a turn and returns its time; `None` if the caller would not wait that long, or if there are too many turns.
    pub(crate) fn give(
        &mut self,
        now_ms: u64,
        request: &TurnRequest,
        room: &RoomForecast,
    ) -> Option<u64> {
        self.expire(now_ms);
        let now = now_ms as f64;
        let latest_ms = now + request.time_left_ms as f64 * PATIENCE_SHARE - TRANSIT_MS as f64;
        let (free_ms, next_ms) = match request.shortage {
            Shortage::EngineTime { engine_ms, .. } => {
                let free = (room.engines - room.needed_engines).max(0.0);
                let free_ms = self.engine_time_from_ms.max(now) + engine_ms / free;
                (free_ms, free_ms)
            }
            Shortage::Start => {
                let newcomers_per_ms = self.newcomers.at(now_ms);
                let per_ms = (room.starts_per_ms - newcomers_per_ms)
                    .max(room.starts_per_ms * MIN_TURN_SHARE);
                let begin_ms = self.start_from_ms.max(now).max(room.starts_from_ms as f64);
                (begin_ms, begin_ms + 1.0 / per_ms)
            }
        };
        let due_ms = free_ms.max(request.earliest_ms as f64);
        if !due_ms.is_finite() || due_ms > latest_ms || self.by_key.len() >= MAX_TURNS {
            self.record(request.key, TurnStep::RefusedForGood);
            return None;
        }
        match request.shortage {
            Shortage::EngineTime { .. } => self.engine_time_from_ms = next_ms,
            Shortage::Start => self.start_from_ms = next_ms,
        }
        let due_ms = due_ms.ceil() as u64;
        let turn = Turn { due_ms, priority: request.priority, shortage: request.shortage };
        self.by_key.insert(request.key, turn);
        self.record(request.key, TurnStep::Given);
        Some(due_ms)
    }

    /// Engines needed by the turns that are ahead of a request without one.
    pub(crate) fn engines_ahead(&self, now_ms: u64, priority: u32) -> f64 {
        let engines = |turn: &Turn| match turn.shortage {
            Shortage::EngineTime { engine_ms, spread_ms } => engine_ms / spread_ms.max(1.0),
            Shortage::Start => 0.0,
        };
        self.by_key.values().filter(|t| t.is_ahead_of(now_ms, priority)).map(engines).sum()
    }

    /// Number of starts needed by the turns that are due before a request without one.
    pub(crate) fn starts_ahead(&self, now_ms: u64, priority: u32) -> usize {
        let is_due = |turn: &&Turn| {
            turn.shortage == Shortage::Start
                && turn.due_ms <= now_ms + KEEP_STARTS_AHEAD_MS
                && turn.is_ahead_of(now_ms, priority)
        };
        self.by_key.values().filter(is_due).count()
    }

    /// Ends the turns of callers that have not returned.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_expired = |(_, turn): &(&u64, &Turn)| turn.is_expired(now_ms);
        let missed: Vec<u64> = self.by_key.iter().filter(is_expired).map(|(key, _)| *key).collect();
        for key in missed {
            self.by_key.remove(&key);
            self.record(key, TurnStep::Missed);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns what happened since the last call.
    pub(crate) fn take_steps(&mut self) -> Vec<(u64, TurnStep)> {
        std::mem::take(&mut self.steps)
    }

    fn record(&mut self, key: u64, step: TurnStep) {
        if self.steps.len() < MAX_TURNS {
            self.steps.push((key, step));
        }
    }
}
