//! Elections: pre-vote, votes, check-quorum and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use super::{LeaderState, LeadershipTransfer, Raft, RoleState};
use crate::progress::Progress;
use crate::{HardState, MemberId, MessageBody, NotLeader, Payload, Position};

impl Raft {
    /// Transfers leadership to `to` once its log is up to date. Proposals are refused until then, for at most the
    /// longest election timeout. Does nothing if `to` is this replica or not a voter.
    ///
    /// # Errors
    /// The replica is not the leader.
    pub fn transfer_leadership(&mut self, to: MemberId) -> Result<(), NotLeader> {
        let allowed = to != self.settings.id && self.members().is_voter(to);
        let deadline_ms = self.now_ms + self.settings.election_timeout_max_ms;
        let RoleState::Leader(leader) = &mut self.role else {
            return Err(NotLeader { leader: self.leader });
        };
        if allowed {
            leader.transfer = Some(LeadershipTransfer { to, deadline_ms, sent: false });
            self.advance_transfer();
        }
        Ok(())
    }

    /// The member to which leadership is being transferred, if any.
    pub fn transferee(&self) -> Option<MemberId> {
        match &self.role {
            RoleState::Leader(leader) => leader.transfer.as_ref().map(|transfer| transfer.to),
            _ => None,
        }
    }

    /// Whether to ignore a vote request because a leader may be alive. Requests that belong to a leadership transfer
    /// are not ignored for this reason. Replicas without members ignore all vote requests.
    ///
    /// A replica that has just started may have heard from the leader shortly before its restart, so its start counts
    /// as contact with the leader.
    pub(super) fn ignores_vote_request(&self, body: &MessageBody) -> bool {
        let transfer = match body {
            MessageBody::PreVote { .. } => false,
            MessageBody::RequestVote { transfer, .. } => *transfer,
            _ => return false,
        };
        if self.members().is_empty() {
            return true;
        }
        let is_leader = matches!(self.role, RoleState::Leader(_));
        let last_contact_ms = self.last_leader_contact_ms.unwrap_or(self.started_ms);
        !transfer
            && (is_leader || self.now_ms < last_contact_ms + self.settings.election_timeout_min_ms)
    }

    /// Whether this replica is a voter, or was one until a membership change that may not be committed yet.
    ///
    /// A replica whose removal is not committed must still campaign. It can be the only replica with the most
    /// up-to-date log, which votes for none of the remaining voters, so the group could otherwise stay without a
    /// leader. Its own vote does not count in that election.
    pub(super) fn may_campaign(&self) -> bool {
        self.members.since(self.commit_index).any(|members| members.is_voter(self.settings.id))
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.role = RoleState::PreCandidate { votes: BTreeSet::from([self.settings.id]) };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after_sync(voter, self.hard_state.term + 1, MessageBody::PreVote { last }, 0);
        }
        self.campaign_if_pre_vote_won();
    }

    pub(super) fn on_pre_vote(&mut self, from: MemberId, term: u64, last: Position) {
        let granted = term > self.hard_state.term && last >= self.log.last();
        let reply_term = if granted { term } else { self.hard_state.term };
        let body = MessageBody::PreVoteReply { granted };
        self.send_after_sync(from, reply_term, body, self.writes.hard_state_sequence());
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        if let RoleState::PreCandidate { votes } = &mut self.role {
            if granted && term == self.hard_state.term + 1 {
                votes.insert(from);
                self.campaign_if_pre_vote_won();
            }
        }
    }

    /// Votes even if this replica is not a voter in its latest members, because it may have been promoted without
    /// having received the membership change yet.
    pub(super) fn on_request_vote(&mut self, from: MemberId, last: Position) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = can_vote && last >= self.log.last();
        if granted {
            if self.hard_state.voted_for.is_none() {
                let term = self.hard_state.term;
                self.set_hard_state(HardState { term, voted_for: Some(from) });
            }
            self.reset_election_deadline();
        }
        self.send_after_hard_state_sync(from, MessageBody::RequestVoteReply { granted });
    }

    pub(super) fn on_request_vote_reply(&mut self, from: MemberId, granted: bool) {
        if let RoleState::Candidate { votes } = &mut self.role {
            if granted {
                votes.insert(from);
                self.become_leader_if_elected();
            }
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId) {
        let is_follower_of_sender =
            matches!(self.role, RoleState::Follower) && self.leader == Some(from);
        if is_follower_of_sender && self.members().is_voter(self.settings.id) {
            self.campaign(true);
        }
    }

    /// Counts the candidate's vote for itself once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        if self.writes.synced_sequence() < self.writes.hard_state_sequence() {
            return;
        }
        if let RoleState::Candidate { votes } = &mut self.role {
            votes.insert(self.settings.id);
            self.become_leader_if_elected();
        }
    }

    /// Becomes a follower and adopts `term` if it is higher than the current term.
    pub(super) fn become_follower(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
            self.outgoing.clear();
            self.incoming_snapshot = None;
            self.leader = None;
        }
        let old_role = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(old) = old_role {
            self.leader = None;
            self.fail_reads(old.reads);
            self.reset_election_deadline();
        }
    }

    /// Follows the current term's leader after a message from it, and restarts the election timeout.
    pub(super) fn follow_leader(&mut self, leader: MemberId) {
        let term = self.hard_state.term;
        assert!(
            !matches!(self.role, RoleState::Leader(_))
                && self.leader.is_none_or(|known| known == leader),
            "two leaders in term {term}: {leader} and {:?}",
            self.leader
        );
        self.become_follower(term);
        self.leader = Some(leader);
        self.last_leader_contact_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    pub(super) fn tick_leader(&mut self) {
        let now_ms = self.now_ms;
        let RoleState::Leader(leader) = &mut self.role else { return };
        if leader.transfer.as_ref().is_some_and(|transfer| now_ms >= transfer.deadline_ms) {
            leader.transfer = None;
        }
        let heartbeat_due = now_ms >= leader.heartbeat_due_ms;
        if !self.has_majority_contact() {
            self.become_follower(self.hard_state.term);
        } else if heartbeat_due {
            self.send_heartbeats();
        }
    }

    /// Sends `TimeoutNow` to the transferee once its log is up to date.
    pub(super) fn advance_transfer(&mut self) {
        let last_index = self.log.last_index();
        let RoleState::Leader(leader) = &mut self.role else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        let caught_up =
            leader.progress.get(&transfer.to).is_some_and(|p| p.match_index >= last_index);
        if caught_up && !transfer.sent {
            transfer.sent = true;
            let to = transfer.to;
            self.send(to, MessageBody::TimeoutNow);
        }
    }

    fn has_majority_contact(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let last_contact_ms =
            self.members().majority_value(|voter| match leader.progress.get(&voter) {
                Some(progress) => progress.last_reply_ms.unwrap_or(leader.elected_ms),
                None => self.now_ms,
            });
        self.now_ms < last_contact_ms + self.settings.election_timeout_min_ms
    }

    fn campaign_if_pre_vote_won(&mut self) {
        if let RoleState::PreCandidate { votes } = &self.role {
            if self.is_majority(votes) {
                self.campaign(false);
            }
        }
    }

    fn campaign(&mut self, transfer: bool) {
        let term = self.hard_state.term + 1;
        self.become_follower(term);
        self.set_hard_state(HardState { term, voted_for: Some(self.settings.id) });
        self.role = RoleState::Candidate { votes: BTreeSet::new() };
        self.reset_election_deadline();
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after_hard_state_sync(voter, MessageBody::RequestVote { last, transfer });
        }
    }

    fn become_leader_if_elected(&mut self) {
        let RoleState::Candidate { votes } = &self.role else { return };
        if !self.is_majority(votes) {
            return;
        }
        let next_index = self.log.last_index() + 1;
        let others = self.members().all().filter(|&member| member != self.settings.id);
        let progress: BTreeMap<_, _> =
            others.map(|member| (member, Progress::new(next_index))).collect();
        self.role = RoleState::Leader(LeaderState {
            elected_ms: self.now_ms,
            noop_index: next_index,
            progress,
            heartbeat_due_ms: self.now_ms,
            round: 0,
            reads: Vec::new(),
            transfer: None,
        });
        self.leader = Some(self.settings.id);
        self.append_as_leader(Payload::Noop);
        self.send_heartbeats();
    }

    fn is_majority(&self, votes: &BTreeSet<MemberId>) -> bool {
        let members = self.members();
        members.voters.iter().filter(|voter| votes.contains(voter)).count() >= members.quorum_size()
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let id = self.settings.id;
        self.members().voters.iter().copied().filter(|&voter| voter != id).collect()
    }
}
