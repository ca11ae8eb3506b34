//! Faults that a test or an experiment asks for.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A fault, as `POST /faults` takes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Drops all connections and never comes back; the program exits.
    Die,

    /// Neither reads, computes nor writes for a time; connections stay open.
    Freeze { ms: u64 },

    /// Makes each step last this many times as long, until set to 1 again.
    Slow { factor: f64 },

    /// Makes the engine cold again without a restart, and slower by a factor until it is warm.
    GoCold { slow_factor: f64 },

    /// Closes the listener for a time; requests that run go on.
    RefuseConnections { ms: u64 },

    /// The next answers wait before their first chunk.
    LateAnswers { delay_ms: u64, count: u32 },

    /// The next answers carry the id and the text of another request.
    CrossedAnswer { count: u32 },

    /// The next answers contain one chunk of another request.
    ForeignChunk { count: u32 },

    /// The next answers send one chunk twice.
    DuplicateChunk { count: u32 },

    /// The next answers leave out one chunk.
    SkipChunk { count: u32 },

    /// The next answers end properly after half of their tokens, without the last chunk.
    EndEarly { count: u32 },

    /// Drops all connections and all state, and comes back cold with a new boot id.
    RestartCold { down_ms: u64 },
}

/// Faults of one answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AnswerFaults {
    pub(crate) delay: Duration,
    pub(crate) crossed: bool,
    pub(crate) foreign_chunk: bool,
    pub(crate) duplicate_chunk: bool,
    pub(crate) skip_chunk: bool,
    pub(crate) end_early: bool,
}

/// Faults that are in force or wait for the next answers.
#[derive(Debug, Default)]
pub(crate) struct PendingFaults {
    pub(crate) frozen_until: Option<Instant>,
    delay_ms: u64,
    late: u32,
    crossed: u32,
    foreign_chunk: u32,
    duplicate_chunk: u32,
    skip_chunk: u32,
    end_early: u32,
}

impl PendingFaults {
    /// Notes a fault that concerns answers or the clock. The others concern the engine as a whole.
    pub(crate) fn note(&mut self, fault: &Fault) {
        match *fault {
            Fault::Freeze { ms } => {
                self.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            Fault::LateAnswers { delay_ms, count } => {
                self.delay_ms = delay_ms;
                self.late = count;
            }
            Fault::CrossedAnswer { count } => self.crossed = count,
            Fault::ForeignChunk { count } => self.foreign_chunk = count,
            Fault::DuplicateChunk { count } => self.duplicate_chunk = count,
            Fault::SkipChunk { count } => self.skip_chunk = count,
            Fault::EndEarly { count } => self.end_early = count,
            Fault::Die
            | Fault::Slow { .. }
            | Fault::GoCold { .. }
            | Fault::RefuseConnections { .. }
            | Fault::RestartCold { .. } => {}
        }
    }

    /// Faults of the next answer.
    pub(crate) fn take(&mut self) -> AnswerFaults {
        let delay_ms = if take_one(&mut self.late) { self.delay_ms } else { 0 };
        AnswerFaults {
            delay: Duration::from_millis(delay_ms),
            crossed: take_one(&mut self.crossed),
            foreign_chunk: take_one(&mut self.foreign_chunk),
            duplicate_chunk: take_one(&mut self.duplicate_chunk),
            skip_chunk: take_one(&mut self.skip_chunk),
            end_early: take_one(&mut self.end_early),
        }
    }
}

fn take_one(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}
