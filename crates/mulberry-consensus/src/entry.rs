//! Entries of the log and what a replica keeps on disk.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Members};

/// Size of an entry's index, term and length fields, counted towards message limits.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// What an entry does once it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by each new leader, because earlier entries commit only together with one of its own term.
    Noop,

    /// A command for the state machine.
    Command(Vec<u8>),

    /// The members of the group from this entry on, in force as soon as it is in the log.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

/// Place of an entry in the log. A later position has the more recent term, then the higher index.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    pub term: u64,
    pub index: u64,
}

/// Term and vote, synced before the vote is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub voted_for: Option<MemberId>,
}

/// State machine and members after the entry at `index`, which has term `term`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Members,
    pub data: Vec<u8>,
}

/// What a replica finds on its disk when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

/// What the state machine must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Committed {
    /// Apply this entry; the index is one more than that of the item before.
    Entry(Entry),

    /// Replace the whole state by this snapshot.
    Snapshot(Snapshot),
}

impl Entry {
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Approximate size of the entry in a message.
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
