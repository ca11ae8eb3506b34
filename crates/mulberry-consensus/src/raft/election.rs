//! Elections: pre-vote, votes, check-quorum and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use super::{LeaderState, Raft, RoleState, Transfer};
use crate::progress::Progress;
use crate::{HardState, MemberId, MessageBody, NotLeader, Payload, Position};

impl Raft {
    /// Hands leadership to `to` once it has the whole log. Until then, and at most for an election timeout, proposals
    /// are refused. Does nothing if `to` is this replica or not a voter.
    ///
    /// # Errors
    /// The replica does not lead.
    pub fn transfer_leadership(&mut self, to: MemberId) -> Result<(), NotLeader> {
        let allowed = to != self.settings.id && self.members().is_voter(to);
        let deadline_ms = self.now_ms + self.settings.election_timeout_max_ms;
        let RoleState::Leader(leader) = &mut self.role else {
            return Err(NotLeader { leader: self.leader });
        };
        if allowed {
            leader.transfer = Some(Transfer { to, deadline_ms, sent: false });
            self.continue_transfer();
        }
        Ok(())
    }

    /// The member to which leadership is being handed.
    pub fn transferee(&self) -> Option<MemberId> {
        match &self.role {
            RoleState::Leader(leader) => leader.transfer.as_ref().map(|transfer| transfer.to),
            _ => None,
        }
    }

    /// Whether a vote request gets no answer, so that it cannot disturb a live leader.
    ///
    /// A replica that has just started may have heard from the leader shortly before, so it waits as long.
    pub(super) fn ignores_vote_request(&self, body: &MessageBody) -> bool {
        let transfer = match body {
            MessageBody::PreVote { .. } => false,
            MessageBody::RequestVote { transfer, .. } => *transfer,
            _ => return false,
        };
        if self.members().is_empty() {
            return true;
        }
        let leads = matches!(self.role, RoleState::Leader(_));
        let heard_ms = self.leader_heard_ms.unwrap_or(self.started_ms);
        !transfer && (leads || self.now_ms < heard_ms + self.settings.election_timeout_min_ms)
    }

    /// Whether this replica is a voter, or was one until a change that may not be committed.
    ///
    /// A replica whose removal is not committed must still campaign: it can be the only one with the longest log, to
    /// which the remaining voters refuse their votes to each other. Its own vote does not count then.
    pub(super) fn may_campaign(&self) -> bool {
        self.members.since(self.commit_index).any(|members| members.is_voter(self.settings.id))
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.role = RoleState::PreCandidate { votes: BTreeSet::from([self.settings.id]) };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after(voter, self.hard_state.term + 1, MessageBody::PreVote { last }, 0);
        }
        self.campaign_if_pre_vote_won();
    }

    pub(super) fn on_pre_vote(&mut self, from: MemberId, term: u64, last: Position) {
        let granted = term > self.hard_state.term && last >= self.log.last();
        let reply_term = if granted { term } else { self.hard_state.term };
        let body = MessageBody::PreVoteReply { granted };
        self.send_after(from, reply_term, body, self.writes.hard_state_sequence());
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: MemberId, term: u64, granted: bool) {
        if let RoleState::PreCandidate { votes } = &mut self.role {
            if granted && term == self.hard_state.term + 1 {
                votes.insert(from);
                self.campaign_if_pre_vote_won();
            }
        }
    }

    /// Votes whatever the newest members are: a replica may have been promoted without having heard of it yet.
    pub(super) fn on_request_vote(&mut self, from: MemberId, last: Position) {
        let free = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = free && last >= self.log.last();
        if granted {
            if self.hard_state.voted_for.is_none() {
                let term = self.hard_state.term;
                self.set_hard_state(HardState { term, voted_for: Some(from) });
            }
            self.reset_election_deadline();
        }
        self.send_durable(from, MessageBody::RequestVoteReply { granted });
    }

    pub(super) fn on_request_vote_reply(&mut self, from: MemberId, granted: bool) {
        if let RoleState::Candidate { votes } = &mut self.role {
            if granted {
                votes.insert(from);
                self.lead_if_elected();
            }
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId) {
        let follows = matches!(self.role, RoleState::Follower) && self.leader == Some(from);
        if follows && self.members().is_voter(self.settings.id) {
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
            self.lead_if_elected();
        }
    }

    /// Gives up any other role. A higher `term` becomes the current one.
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
            self.drop_reads(old.reads);
            self.reset_election_deadline();
        }
    }

    /// Records a message of the current term's leader.
    pub(super) fn follow(&mut self, leader: MemberId) {
        let term = self.hard_state.term;
        assert!(
            !matches!(self.role, RoleState::Leader(_))
                && self.leader.is_none_or(|known| known == leader),
            "two leaders in term {term}: {leader} and {:?}",
            self.leader
        );
        self.become_follower(term);
        self.leader = Some(leader);
        self.leader_heard_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    pub(super) fn tick_leader(&mut self) {
        let now_ms = self.now_ms;
        let RoleState::Leader(leader) = &mut self.role else { return };
        if leader.transfer.as_ref().is_some_and(|transfer| now_ms >= transfer.deadline_ms) {
            leader.transfer = None;
        }
        let heartbeat_due = now_ms >= leader.heartbeat_due_ms;
        if !self.heard_from_majority() {
            self.become_follower(self.hard_state.term);
        } else if heartbeat_due {
            self.send_heartbeats();
        }
    }

    /// Tells the transfer's target to campaign if it has the whole log.
    pub(super) fn continue_transfer(&mut self) {
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

    fn heard_from_majority(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let heard_ms = self.members().majority_value(|voter| match leader.progress.get(&voter) {
            Some(progress) => progress.last_reply_ms.unwrap_or(leader.since_ms),
            None => self.now_ms,
        });
        self.now_ms < heard_ms + self.settings.election_timeout_min_ms
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
            self.send_durable(voter, MessageBody::RequestVote { last, transfer });
        }
    }

    fn lead_if_elected(&mut self) {
        let RoleState::Candidate { votes } = &self.role else { return };
        if !self.is_majority(votes) {
            return;
        }
        let next_index = self.log.last_index() + 1;
        let others = self.members().all().filter(|&member| member != self.settings.id);
        let progress: BTreeMap<_, _> =
            others.map(|member| (member, Progress::new(next_index))).collect();
        self.role = RoleState::Leader(LeaderState {
            since_ms: self.now_ms,
            first_index: next_index,
            progress,
            heartbeat_due_ms: self.now_ms,
            round: 0,
            reads: Vec::new(),
            transfer: None,
        });
        self.leader = Some(self.settings.id);
        self.append_own(Payload::Noop);
        self.send_heartbeats();
    }

    fn is_majority(&self, votes: &BTreeSet<MemberId>) -> bool {
        let members = self.members();
        members.voters.iter().filter(|voter| votes.contains(voter)).count() >= members.majority()
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let id = self.settings.id;
        self.members().voters.iter().copied().filter(|&voter| voter != id).collect()
    }
}
