//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::{Entry, Members, Position};

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// Term of the sender. For `PreVote` and a granted `PreVoteReply`, the term that the candidate would start.
    pub term: u64,

    pub body: MessageBody,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant its vote, without starting a new term.
    PreVote {
        /// Position of the candidate's last entry.
        last: Position,
    },

    PreVoteReply {
        granted: bool,
    },

    RequestVote {
        /// Position of the candidate's last entry.
        last: Position,

        /// Whether the leader asked the candidate to campaign. Voters then reply even if they have recently heard from
        /// a leader.
        transfer: bool,
    },

    RequestVoteReply {
        granted: bool,
    },

    /// Entries that follow `previous`. Without entries, probes whether the receiver has the entry at `previous`.
    AppendEntries {
        previous: Position,
        entries: Vec<Entry>,
        commit_index: u64,
    },

    AppendEntriesReply(AppendResult),

    Heartbeat {
        /// Commit index of the leader, limited to the entries that the receiver is known to have.
        commit_index: u64,

        /// Number of the heartbeat round within the term.
        round: u64,
    },

    HeartbeatReply {
        round: u64,
    },

    /// Chunk of a snapshot.
    InstallSnapshot {
        position: Position,
        members: Members,

        /// Offset of `data` in the snapshot's data, in bytes.
        offset: u64,

        /// Size of the whole snapshot's data.
        total_bytes: u64,

        data: Vec<u8>,
    },

    /// Number of contiguous bytes received of the snapshot at `index`. The reply to the last chunk is an
    /// `AppendEntriesReply`.
    InstallSnapshotReply {
        index: u64,
        received_bytes: u64,
    },

    /// Asks the transferee of a leadership transfer to start an election at once.
    TimeoutNow,

    /// Reply to a leader of an earlier term.
    NewerTerm,
}

/// Result of an `AppendEntries`, or of the last chunk of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log matches the leader's up to `match_index` and is synced up to there.
    Accepted { match_index: u64 },

    /// The log has no entry at the position `previous`.
    Rejected {
        previous_index: u64,

        /// Position of the last entry at or before `previous` whose term is not higher than that of `previous`.
        hint: Position,
    },
}
