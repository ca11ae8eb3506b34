//! Formation of a group and changes of its members.

use std::collections::BTreeSet;

use super::{Raft, RoleState};
use crate::progress::Progress;
use crate::{
    Entry, HardState, MemberChangeError, MemberId, Members, MessageBody, Payload, Position,
};

impl Raft {
    /// Appends new members to the leader's log. They take effect at once and become permanent when committed.
    ///
    /// A change may add and remove any number of learners, and add or remove at most one voter. A new voter must be a
    /// learner that has caught up.
    ///
    /// # Errors
    /// The replica is not the leader, or the change is not allowed now; the error names the remedy.
    pub fn propose_members(&mut self, members: Members) -> Result<Position, MemberChangeError> {
        self.check_accepts_proposals().map_err(MemberChangeError::NotLeader)?;
        self.validate_member_change(&members)?;
        let others: Vec<MemberId> =
            members.all().filter(|&member| member != self.settings.id).collect();
        let position = self.append_as_leader(Payload::Members(members));
        let RoleState::Leader(leader) = &mut self.role else { unreachable!("checked above") };
        leader.progress.retain(|member, _| others.contains(member));
        for member in others {
            leader.progress.entry(member).or_insert_with(|| Progress::new(position.index));
        }
        Ok(position)
    }

    /// Forms a new group if the settings request it and `initial_members` lists this replica as a voter.
    ///
    /// Each initial member appends the same first entry, so that all logs are equal before the first election.
    pub(super) fn bootstrap(&mut self) {
        let members = self.settings.initial_members.clone();
        if !self.settings.bootstrap || !members.is_voter(self.settings.id) {
            return;
        }
        if self.hard_state.term == 0 {
            self.set_hard_state(HardState { term: 1, voted_for: None });
        }
        self.append(Entry { index: 1, term: 1, payload: Payload::Members(members) });
    }

    /// Steps down if this leader is no longer a voter and its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if self.members().is_voter(self.settings.id) || !self.members_committed() {
            return;
        }
        // Tells the other members that the change is committed before they elect a new leader.
        self.replicate();
        self.send_heartbeats();
        self.become_follower(self.hard_state.term);
    }

    fn validate_member_change(&self, new: &Members) -> Result<(), MemberChangeError> {
        let RoleState::Leader(leader) = &self.role else { unreachable!("checked by the caller") };
        let old = self.members();
        if self.commit_index < leader.noop_index {
            return Err(MemberChangeError::TermNotCommitted);
        }
        if let Some(&(index, _)) = self.members.current() {
            if index > self.commit_index {
                return Err(MemberChangeError::ChangeInProgress { index });
            }
        }
        if new.voters.is_empty() {
            return Err(MemberChangeError::NoVoters);
        }
        let mut seen = BTreeSet::new();
        if let Some(duplicate) = new.all().find(|&member| !seen.insert(member)) {
            return Err(MemberChangeError::Duplicate(duplicate));
        }
        if new == old {
            return Err(MemberChangeError::Unchanged);
        }
        let added: Vec<MemberId> =
            new.voters.iter().copied().filter(|&voter| !old.is_voter(voter)).collect();
        let removed = old.voters.iter().filter(|&&voter| !new.is_voter(voter)).count();
        if added.len() + removed > 1 {
            return Err(MemberChangeError::MoreThanOneVoter);
        }
        let Some(&member) = added.first() else { return Ok(()) };
        if !old.is_learner(member) {
            return Err(MemberChangeError::NotLearner(member));
        }
        let match_index = leader.progress.get(&member).map_or(0, |p| p.match_index);
        if match_index < self.commit_index || !self.recently_active(member) {
            let commit_index = self.commit_index;
            return Err(MemberChangeError::NotCaughtUp { member, match_index, commit_index });
        }
        Ok(())
    }

    /// Sends a heartbeat of the current round to every other member.
    pub(super) fn send_heartbeats(&mut self) {
        let commit_index = self.commit_index;
        let RoleState::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_due_ms = self.now_ms + self.settings.heartbeat_interval_ms;
        let round = leader.round;
        let heartbeats: Vec<(MemberId, MessageBody)> = leader
            .progress
            .iter()
            .map(|(&member, progress)| {
                let commit_index = commit_index.min(progress.match_index);
                (member, MessageBody::Heartbeat { commit_index, round })
            })
            .collect();
        for (member, heartbeat) in heartbeats {
            self.send(member, heartbeat);
        }
    }
}
