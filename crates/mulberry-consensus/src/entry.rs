//! Log entries and the durable state of a replica.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Members};

/// Upper estimate of the size of an entry's index, term and length fields, counted towards message limits.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation. Each new leader appends one, because entries of earlier terms commit only together with an entry
    /// of the leader's own term.
    Noop,

    /// A command for the state machine.
    Command(Vec<u8>),

    /// Members of the group from this entry on. They take effect as soon as the entry is in the log.
    Members(Members),
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

/// Term and index of a log entry, ordered by term first and then by index.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    pub term: u64,
    pub index: u64,
}

/// Current term and the vote in it. Synced before any message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub voted_for: Option<MemberId>,
}

/// Data of the state machine and members of the group after the entry at `index`, which has term `term`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Members,
    pub data: Vec<u8>,
}

/// State that a replica loads from its disk at startup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

/// Committed state that the driver must pass to its state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Committed {
    /// Apply this entry. Its index is one higher than that of the previous item.
    Entry(Entry),

    /// Replace the whole state with this snapshot.
    Snapshot(Snapshot),
}

impl Entry {
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Approximate encoded size of the entry in a message.
    pub(crate) fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len(),
            Payload::Members(members) => 10 * (members.voters.len() + members.learners.len()),
        };
        payload + ENTRY_OVERHEAD_BYTES
    }
}

impl Snapshot {
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}
