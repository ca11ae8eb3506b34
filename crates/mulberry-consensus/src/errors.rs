//! Why a call on a replica was refused.

use std::fmt;

use crate::MemberId;

/// The replica does not lead, or is handing leadership over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<MemberId>,
}

/// Why a membership change was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChangeError {
    NotLeader(NotLeader),

    /// The previous change, at this index, is not committed yet.
    ChangeInProgress {
        index: u64,
    },

    /// The leader has not committed an entry of its own term yet.
    TermNotCommitted,

    /// More than one voter would be added or removed.
    MoreThanOneVoter,

    /// The group would have no voters.
    NoVoters,

    /// A member is named twice.
    Duplicate(MemberId),

    /// The new voter is not a learner of the group.
    NotLearner(MemberId),

    /// The learner lacks entries that are committed, or was not heard from lately.
    NotCaughtUp {
        member: MemberId,
        match_index: u64,
        commit_index: u64,
    },

    /// The change changes nothing.
    Unchanged,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.leader {
            Some(leader) => write!(f, "this replica does not lead; ask member {leader}"),
            None => f.write_str("no leader is known; retry after an election"),
        }
    }
}

impl std::error::Error for NotLeader {}

impl fmt::Display for MemberChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberChangeError::NotLeader(not_leader) => not_leader.fmt(f),
            MemberChangeError::ChangeInProgress { index } => {
                write!(f, "the change at index {index} is not committed yet; retry after it is")
            }
            MemberChangeError::TermNotCommitted => {
                f.write_str("the leader has just been elected; retry after its first commit")
            }
            MemberChangeError::MoreThanOneVoter => {
                f.write_str("only one voter may be added or removed at a time; split the change")
            }
            MemberChangeError::NoVoters => f.write_str("a group needs at least one voter"),
            MemberChangeError::Duplicate(member) => {
                write!(f, "member {member} is named twice; name it once")
            }
            MemberChangeError::NotLearner(member) => {
                write!(f, "member {member} is not a learner; add it as a learner first")
            }
            MemberChangeError::NotCaughtUp { member, match_index, commit_index } => write!(
                f,
                "learner {member} is at index {match_index} of {commit_index} or was not heard from lately; retry \
                 after it has caught up"
            ),
            MemberChangeError::Unchanged => f.write_str("these are the current members already"),
        }
    }
}

impl std::error::Error for MemberChangeError {}
