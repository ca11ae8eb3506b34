//! Planning of membership changes of the replication group.
//!
//! All registries become voters, so that a majority of the voters is also a majority of the registries: a minority that
//! is cut off can acknowledge nothing that the others do not know. A replica that lost its disk returns as a new member
//! at the same address; a replacement joins at another address. Both catch up as learners and are promoted before the
//! voter that they replace is removed, so that the loss of another disk during the change leaves a majority.
//!
//! A silent voter whose disk may return is not removed while the number of voters is odd: fewer voters would tolerate
//! no more losses, and the remaining majority could be a minority of the registries. With an even number, the remaining
//! voters tolerate one loss more, and their majority is at least half of the registries.

use mulberry_consensus::{MemberId, Members};

/// Silence after which a voter counts as lost.
pub const REPLACE_AFTER_MS: u64 = 1_200;

/// Silence after which a lost voter is removed without a replacement.
const REMOVE_VOTER_AFTER_MS: u64 = 60_000;

/// Silence after which a learner is removed.
const REMOVE_LEARNER_AFTER_MS: u64 = 20_000;

/// A replica as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView {
    pub member: MemberId,

    /// Time since its last reply or hello, or since the election of the leader; `None` if there was none of them.
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
/// all members and all replicas that have sent a hello; `max_voters` limits the number of voters.
pub fn plan_membership(
    own: MemberId,
    members: &Members,
    views: &[MemberView],
    max_voters: usize,
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

    // A displaced voter has lost its disk and never returns; other silent voters may.
    let is_displaced = |member| view(member).is_some_and(|view| view.is_displaced);
    let silent_ms = |member| view(member).and_then(|view| view.silent_ms).unwrap_or_default();
    let voters = members.voters.iter().copied();
    let lost_voter = voters
        .filter(|&voter| !is_alive(voter))
        .max_by_key(|&voter| (is_displaced(voter), silent_ms(voter)));
    if let Some(lost_voter) = lost_voter {
        let has_even_voters = members.voters.len() % 2 == 0;
        if has_even_voters || silent_ms(lost_voter) > REMOVE_VOTER_AFTER_MS {
            changed.voters.retain(|&voter| voter != lost_voter);
            return Some(MembershipPlan { members: changed, reason: "voter_lost" });
        }
    }

    let caught_up =
        members.learners.iter().copied().find(|&learner| {
            is_alive(learner) && view(learner).is_some_and(|view| view.is_caught_up)
        });
    if let Some(caught_up) = caught_up {
        if members.voters.len() < max_voters || lost_voter.is_some() {
            changed.learners.retain(|&learner| learner != caught_up);
            changed.voters.push(caught_up);
            return Some(MembershipPlan { members: changed, reason: "caught_up" });
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
