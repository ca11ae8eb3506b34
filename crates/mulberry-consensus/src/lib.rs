//! Raft core without clock, socket, file or thread.
//!
//! The driver passes in the time, received messages and completed writes, and takes out messages, writes and committed
//! entries. A round of the driver's loop: [`Raft::tick`] and [`Raft::receive`], then [`Raft::take_writes`], sync them
//! to disk, [`Raft::writes_synced`], and last [`Raft::take_messages`], [`Raft::take_committed`] and
//! [`Raft::take_confirmations`]. Messages that need no sync can be taken before the sync, so that a leader replicates while
//! its own disk writes.
//!
//! Violated invariants (a committed entry truncated, a commit index that decreases, two votes in a term, two leaders in
//! a term) panic: continuing would corrupt the state of the group.

mod entry;
mod errors;
mod log;
mod members;
mod message;
mod progress;
mod raft;
mod settings;
mod writes;

pub use entry::{Committed, DurableState, Entry, HardState, Payload, Position, Snapshot};
pub use errors::{MemberChangeError, NotLeader};
pub use members::{MemberId, Members};
pub use message::{AppendResult, MessageBody, RaftMessage};
pub use progress::MemberProgress;
pub use raft::{Confirmation, Raft, Role};
pub use settings::RaftSettings;
pub use writes::Writes;
