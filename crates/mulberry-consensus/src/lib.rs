//! Raft core without clock, socket or file.

mod types;

pub use types::{DurableState, Entry, HardState, MemberId, Members, Payload, Snapshot, Writes};
