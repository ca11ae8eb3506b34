//! Inputs of the replica thread.

use std::fmt;
use std::sync::Arc;

use crossbeam::channel::Sender;
use mulberry_consensus::{MemberChangeError, MemberId};
use mulberry_operators::EntryStatus;
use mulberry_peers::{ConnectionId, Responder};
use mulberry_state::AuditPage;
use mulberry_types::{
    Change, ChangeOutcome, Configuration, ConfigurationVersion, ControlPortReply, ControlRequest,
    ReplicaHello,
};

/// One input of the replica thread.
#[derive(Debug)]
pub enum Input {
    Hello(ReplicaHello),

    Raft {
        from: MemberId,
        to: MemberId,
        message: Vec<u8>,
    },

    Entry {
        request: ControlRequest,
        connection: ConnectionId,
        responder: Responder<ControlPortReply>,
    },

    ConnectionClosed(ConnectionId),

    Operator(OperatorCall),

    /// Graceful shutdown: transfers leadership, then ends the thread.
    Stop,
}

/// A call of the operator API.
#[derive(Debug)]
pub enum OperatorCall {
    Change {
        change: Change,
        reply: OperatorReply<ChangeOutcome>,
    },

    /// Linearizable read: the result includes everything acknowledged before the call.
    Read {
        query: OperatorQuery,
        reply: OperatorReply<OperatorQueryResult>,
    },

    Members {
        change: MembershipChange,
        reply: OperatorReply<()>,
    },

    /// Lease status of all entries. Empty unless this instance leads.
    Entries {
        reply: OperatorReply<Vec<EntryStatus>>,
    },

    TransferLeadership {
        to: Option<MemberId>,
        reply: OperatorReply<()>,
    },
}

/// Channel for the result of an operator call.
pub type OperatorReply<T> = Sender<Result<T, OperatorCallError>>;

/// Data that an operator call reads.
#[derive(Debug, Clone, Copy)]
pub enum OperatorQuery {
    Configuration,

    /// Audit records of the changes that produced the versions from `first` to `last`.
    Audit {
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    },
}

/// Result of an [`OperatorQuery`].
#[derive(Debug)]
pub enum OperatorQueryResult {
    Configuration { version: ConfigurationVersion, configuration: Arc<Configuration> },
    Audit(AuditPage),
}

/// Membership change of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a non-voting member that receives the log.
    AddLearner(MemberId),

    /// Promotes a learner that has caught up to a voter.
    Promote(MemberId),

    Remove(MemberId),
}

/// Error of an operator call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCallError {
    /// This instance is not the leader. The call had no effect.
    NotLeader { leader: Option<MemberId> },

    /// Leadership was lost or the call timed out. The call may still take effect.
    OutcomeUnknown,

    /// The membership change is not allowed now. The call had no effect.
    Members(MemberChangeError),

    /// No hello was received from the member. The call had no effect.
    UnknownMember(MemberId),

    /// This instance cannot serve the call. The call had no effect.
    Unavailable { reason: String },
}

impl fmt::Display for OperatorCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCallError::NotLeader { leader: Some(leader) } => {
                write!(f, "this instance does not lead; ask member {leader}")
            }
            OperatorCallError::NotLeader { leader: None } => {
                f.write_str("no leader is known; retry after an election")
            }
            OperatorCallError::OutcomeUnknown => {
                f.write_str("the outcome is not known; send the same call again")
            }
            OperatorCallError::Members(error) => error.fmt(f),
            OperatorCallError::UnknownMember(member) => write!(
                f,
                "member {member} has not introduced itself; start it and list its address in the settings"
            ),
            OperatorCallError::Unavailable { reason } => f.write_str(reason),
        }
    }
}

impl std::error::Error for OperatorCallError {}
