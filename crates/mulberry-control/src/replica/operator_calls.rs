//! Handles calls of the operator API.

use mulberry_consensus::{MemberChangeError, MemberId, Members};
use mulberry_state::Command;
use mulberry_types::{Change, ChangeOutcome};

use super::leadership::PendingRead;
use super::{Proposal, ProposeError, Replica, Waiter};
use crate::replica_input::{
    MembershipChange, OperatorCall, OperatorCallError, OperatorQuery, OperatorQueryResult,
    OperatorReply,
};

impl Replica {
    pub(super) fn handle_operator_call(&mut self, call: OperatorCall) {
        match call {
            OperatorCall::Change { change, reply } => self.handle_change(change, reply),
            OperatorCall::Read { query, reply } => match &mut self.leadership {
                Some(leadership) => leadership.pending_reads.push(PendingRead { query, reply }),
                None => {
                    let _ = reply.send(Err(self.not_serving_error()));
                }
            },
            OperatorCall::Members { change, reply } => self.handle_membership_change(change, reply),
            OperatorCall::Entries { reply } => {
                let now_ms = self.now_ms();
                let entries = self.leadership.as_ref().map_or_else(Vec::new, |leadership| {
                    leadership.leases.entries(self.state.membership(), now_ms)
                });
                let _ = reply.send(Ok(entries));
            }
            OperatorCall::TransferLeadership { to, reply } => {
                let _ = reply.send(self.transfer(to));
            }
        }
    }

    fn handle_change(&mut self, change: Change, reply: OperatorReply<ChangeOutcome>) {
        if self.leadership.is_none() {
            let _ = reply.send(Err(self.not_serving_error()));
            return;
        }
        let command = Command::Change { now_ms: self.wall_ms(), change };
        if let Err((waiter, error)) = self.propose(&command, Waiter::Change(reply)) {
            let error = match error {
                ProposeError::NotLeader { leader } => OperatorCallError::NotLeader { leader },
                ProposeError::Encode(reason) => OperatorCallError::Unavailable { reason },
            };
            if let Waiter::Change(reply) = waiter {
                let _ = reply.send(Err(error));
            }
        }
    }

    fn handle_membership_change(&mut self, change: MembershipChange, reply: OperatorReply<()>) {
        if self.leadership.is_none() {
            let _ = reply.send(Err(self.not_serving_error()));
            return;
        }
        let members = match self.apply_membership_change(change) {
            Ok(members) => members,
            Err(error) => {
                let _ = reply.send(Err(error));
                return;
            }
        };
        match self.raft.propose_members(members) {
            Ok(position) => {
                tracing::info!(event = "members_change_proposed", ?change);
                self.has_more_work = true;
                let proposal = Proposal { term: position.term, waiter: Waiter::Members(reply) };
                self.proposals.insert(position.index, proposal);
            }
            Err(error) => {
                let _ = reply.send(Err(OperatorCallError::Members(error)));
            }
        }
    }

    fn apply_membership_change(
        &self,
        change: MembershipChange,
    ) -> Result<Members, OperatorCallError> {
        let mut members = self.raft.members().clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if self.directory.address_of(member).is_none() {
                    return Err(OperatorCallError::UnknownMember(member));
                }
                if members.contains(member) {
                    return Err(OperatorCallError::Members(MemberChangeError::Unchanged));
                }
                members.learners.push(member);
            }
            MembershipChange::Promote(member) => {
                members.learners.retain(|learner| *learner != member);
                if !members.is_voter(member) {
                    members.voters.push(member);
                }
            }
            MembershipChange::Remove(member) => {
                members.voters.retain(|voter| *voter != member);
                members.learners.retain(|learner| *learner != member);
            }
        }
        Ok(members)
    }

    fn transfer(&mut self, to: Option<MemberId>) -> Result<(), OperatorCallError> {
        if self.leadership.is_none() {
            return Err(self.not_serving_error());
        }
        let target = to.or_else(|| self.transfer_candidate());
        let Some(target) = target.filter(|target| self.raft.members().is_voter(*target)) else {
            return Err(OperatorCallError::Unavailable {
                reason: "there is no other voter that is active; name a voter of the group"
                    .to_owned(),
            });
        };
        tracing::info!(event = "leadership_transfer_begun", to = %target);
        self.has_more_work = true;
        self.raft
            .transfer_leadership(target)
            .map_err(|error| OperatorCallError::NotLeader { leader: error.leader })
    }

    pub(super) fn reply_to_read(&self, read: &PendingRead) {
        let result = match read.query {
            OperatorQuery::Configuration => OperatorQueryResult::Configuration {
                version: self.state.version(),
                configuration: self.state.configuration().clone(),
            },
            OperatorQuery::Audit { first, last, max_records } => {
                OperatorQueryResult::Audit(self.state.audit(first, last, max_records))
            }
        };
        let _ = read.reply.send(Ok(result));
    }
}
