//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::{Entry, Members, Position};

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// Term of the sender; for `PreVote` and a granted `PreVoteReply` the term that the candidate would start.
    pub term: u64,

    pub body: MessageBody,
}

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        last: Position,
    },

    PreVoteReply {
        granted: bool,
    },

    RequestVote {
        /// Last entry of the candidate.
        last: Position,

        /// Set by a candidate that the leader has asked to campaign: voters answer although they hear from a leader.
        transfer: bool,
    },

    RequestVoteReply {
        granted: bool,
    },

    /// Entries that follow `previous`. Without entries: checks that `previous` has arrived.
    AppendEntries {
        previous: Position,
        entries: Vec<Entry>,
        commit_index: u64,
    },

    AppendEntriesReply(AppendResult),

    Heartbeat {
        /// Commit index as far as the receiver is known to have the entries.
        commit_index: u64,

        /// Number of the heartbeat round, counted within the term.
        round: u64,
    },

    HeartbeatReply {
        round: u64,
    },

    /// Part of a snapshot.
    InstallSnapshot {
        position: Position,
        members: Members,

        /// Place of `data` in the snapshot's data.
        offset: u64,

        /// Size of the snapshot's data.
        total_bytes: u64,

        data: Vec<u8>,
    },

    /// So many bytes of the snapshot at `index` have arrived in order. The last part is answered by `AppendEntriesReply`.
    InstallSnapshotReply {
        index: u64,
        received_bytes: u64,
    },

    /// The leader asks the receiver to campaign at once.
    TimeoutNow,

    /// Answer to a leader of an earlier term.
    NewerTerm,
}

/// Answer to `AppendEntries`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log equals the leader's up to `match_index` and is synced to there.
    Accepted { match_index: u64 },

    /// There is no entry with the position `previous`.
    Rejected {
        previous_index: u64,

        /// Last entry, at or before `previous`, whose term is not above that of `previous`.
        hint: Position,
    },
}
