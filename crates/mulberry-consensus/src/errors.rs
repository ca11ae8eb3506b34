//! Errors of calls on a replica.

use std::fmt;

use crate::MemberId;

/// The replica is not the leader, or is transferring leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<MemberId>,
}

/// Why a membership change was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChangeError {
    NotLeader(NotLeader),

    /// The previous membership change, at this index, is not committed yet.
    ChangeInProgress {
        index: u64,
    },

    /// The leader has not committed an entry of its current term yet.
    TermNotCommitted,

    /// More than one voter would be added or removed.
    MoreThanOneVoter,

    /// The group would have no voter.
    NoVoters,

    /// A member is listed twice.
    Duplicate(MemberId),

    /// The new voter is not a learner of the group.
    NotLearner(MemberId),

    /// The learner lacks committed entries, or has not replied recently.
    NotCaughtUp {
        member: MemberId,
        match_index: u64,
        commit_index: u64,
    },

    /// The proposed members equal the current ones.
    Unchanged,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.leader {
            Some(leader) => write!(f, "this replica is not the leader; ask member {leader}"),
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
                write!(
                    f,
                    "the membership change at index {index} is not committed yet; retry after it is"
                )
            }
            MemberChangeError::TermNotCommitted => f.write_str(
                "the new leader has not committed an entry of its term yet; retry after it has",
            ),
            MemberChangeError::MoreThanOneVoter => {
                f.write_str("only one voter may be added or removed at a time; split the change")
            }
            MemberChangeError::NoVoters => f.write_str("a group needs at least one voter"),
            MemberChangeError::Duplicate(member) => {
                write!(f, "member {member} is listed twice; list it once")
            }
            MemberChangeError::NotLearner(member) => {
                write!(f, "member {member} is not a learner; add it as a learner first")
            }
            MemberChangeError::NotCaughtUp { member, match_index, commit_index } => write!(
                f,
                "learner {member} is at index {match_index} of {commit_index} or has not replied recently; retry \
                 after it has caught up"
            ),
            MemberChangeError::Unchanged => f.write_str("the group already has these members"),
        }
    }
}

impl std::error::Error for MemberChangeError {}
