//! Planning of membership changes of the replication group.
//!
//! A replica that lost its disk returns as a new member at the same address; a replacement joins at another address
//! while the old member is silent. In both cases, the new member first catches up as a learner. Then the silent voter
//! is removed and the learner promoted, in two separate changes, so that no majority can consist of members that lack
//! acknowledged entries.

use mulberry_consensus::{MemberId, Members};

/// Silence after which a caught-up learner may replace a voter.
pub const REPLACE_AFTER_MS: u64 = 1_200;

/// Silence after which a learner is removed.
const REMOVE_LEARNER_AFTER_MS: u64 = 20_000;

/// A replica as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView {
    pub member: MemberId,

    /// Time since its last reply or hello; `None` if there was neither.
    pub silent_ms: Option<u64>,

    /// Whether it has all committed entries.
    pub is_caught_up: bool,

    /// Whether another replica now sends hellos from its address.
    pub is_displaced: bool,
}

/// Time since the last reply or hello of a replica; `None` if there was neither.
pub fn silence_ms(
    now_ms: u64,
    last_reply_ms: Option<u64>,
    last_hello_ms: Option<u64>,
) -> Option<u64> {
    last_reply_ms.max(last_hello_ms).map(|at_ms| now_ms.saturating_sub(at_ms))
}

/// The next membership change, with its reason for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipPlan {
    pub members: Members,
    pub reason: &'static str,
}

/// Plans the next change of `members` as the leader `own` sees the replicas; `None` if none is needed. `views` covers
/// all members and all replicas that have sent a hello; `desired_voters` is the intended number of voters.
pub fn plan_membership(
    own: MemberId,
    members: &Members,
    views: &[MemberView],
    desired_voters: usize,
) -> Option<MembershipPlan> {
    let view = |member: MemberId| views.iter().find(|view| view.member == member);
    let is_alive = |member: MemberId| {
        member == own
            || view(member).is_some_and(|view| {
                !view.is_displaced && view.silent_ms.is_some_and(|ms| ms < REPLACE_AFTER_MS)
            })
    };
    let mut changed = members.clone();

    let joining = views.iter().find(|view| !members.contains(view.member) && is_alive(view.member));
    if let Some(joining) = joining {
        changed.learners.push(joining.member);
        return Some(MembershipPlan { members: changed, reason: "new_member" });
    }

    let replacement =
        members.learners.iter().copied().find(|&learner| {
            is_alive(learner) && view(learner).is_some_and(|view| view.is_caught_up)
        });
    if let Some(replacement) = replacement {
        if members.voters.len() < desired_voters {
            changed.learners.retain(|&learner| learner != replacement);
            changed.voters.push(replacement);
            return Some(MembershipPlan { members: changed, reason: "caught_up" });
        }
        let lost_voter = members.voters.iter().copied().find(|&voter| !is_alive(voter));
        if let Some(lost_voter) = lost_voter {
            changed.voters.retain(|&voter| voter != lost_voter);
            return Some(MembershipPlan { members: changed, reason: "voter_lost" });
        }
    }

    let lost_learner = members.learners.iter().copied().find(|&learner| {
        view(learner).is_none_or(|view| {
            view.is_displaced || view.silent_ms.is_none_or(|ms| ms > REMOVE_LEARNER_AFTER_MS)
        })
    })?;
    changed.learners.retain(|&learner| learner != lost_learner);
    Some(MembershipPlan { members: changed, reason: "learner_lost" })
}
