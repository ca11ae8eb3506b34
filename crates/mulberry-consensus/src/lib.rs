//! Raft core without clock, socket, file or thread.
//!
//! The driver passes in the current time, received messages and completed writes, and takes out messages, writes and
//! committed entries. One iteration of the driver's loop calls [`Raft::tick`] and [`Raft::receive`], then
//! [`Raft::take_writes`], syncs the writes to disk, calls [`Raft::writes_synced`], and finally [`Raft::take_messages`],
//! [`Raft::take_committed`] and [`Raft::take_confirmations`]. Messages that do not depend on a sync can also be taken
//! before it, so that a leader replicates while its own disk writes.
//!
//! A violated invariant (a truncated committed entry, a decreasing commit index, two votes in one term, two leaders in
//! one term) panics, because continuing would corrupt the state of the group.

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
