//! What reaches the replica thread.

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

    /// Planned stop: hand leadership over, then end.
    Stop,
}

/// Call of the operator API.
#[derive(Debug)]
pub enum OperatorCall {
    Change {
        change: Change,
        reply: OperatorReply<ChangeOutcome>,
    },

    /// Reads state that holds everything acknowledged before the call.
    Read {
        what: OperatorRead,
        reply: OperatorReply<OperatorReadResult>,
    },

    Members {
        change: MembersChange,
        reply: OperatorReply<()>,
    },

    /// Members as this instance sees them; empty unless it leads.
    Entries {
        reply: OperatorReply<Vec<EntryStatus>>,
    },

    TransferLeadership {
        to: Option<MemberId>,
        reply: OperatorReply<()>,
    },
}

/// Where the answer of an operator call goes.
pub type OperatorReply<T> = Sender<Result<T, OperatorCallError>>;

/// What an operator reads.
#[derive(Debug, Clone, Copy)]
pub enum OperatorRead {
    Configuration,

    /// Audit records that led to the versions from `first` to `last`.
    Audit {
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    },
}

/// Result of a read.
#[derive(Debug)]
pub enum OperatorReadResult {
    Configuration { version: ConfigurationVersion, configuration: Arc<Configuration> },
    Audit(AuditPage),
}

/// Change of the group's members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembersChange {
    /// The member receives the log and does not count.
    AddLearner(MemberId),

    /// Makes a learner that has caught up a voter.
    Promote(MemberId),

    Remove(MemberId),
}

/// Why an operator call has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCallError {
    /// This instance does not lead; nothing was done.
    NotLeader { leader: Option<MemberId> },

    /// Leadership was lost or the time has passed; the call may still take effect.
    OutcomeUnknown,

    /// The change of the members is not allowed now; nothing was done.
    Members(MemberChangeError),

    /// The member has not introduced itself; nothing was done.
    UnknownMember(MemberId),

    /// This instance cannot serve; nothing was done.
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
