//! Backend of the operator API, implemented by calls to the replica.

use mulberry_consensus::{MemberChangeError, MemberId, Role};
use mulberry_operators::{
    BackendError, ConfigurationAnswer, MemberChange, OperatorBackend, ReplicaId, ReplicaRole,
    ReplicaStatus, Status,
};
use mulberry_types::{AuditRecord, Change, ChangeOutcome, ConfigurationVersion};

use crate::ControlHandle;
use crate::replica_input::{MembershipChange, OperatorCallError};

/// Retry delay for refused calls: the maximum duration of an election.
const RETRY_AFTER_MS: u64 = 1_000;

impl OperatorBackend for ControlHandle {
    fn submit_change(&self, change: Change) -> Result<ChangeOutcome, BackendError> {
        self.change(change).map_err(|error| self.backend_error(error))
    }

    fn configuration(&self) -> Result<ConfigurationAnswer, BackendError> {
        let (version, configuration) =
            ControlHandle::configuration(self).map_err(|error| self.backend_error(error))?;
        Ok(ConfigurationAnswer { version, configuration: (*configuration).clone() })
    }

    fn audit(
        &self,
        from_version: ConfigurationVersion,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, BackendError> {
        let first = ConfigurationVersion(from_version.0.saturating_add(1));
        ControlHandle::audit(self, first, ConfigurationVersion(u64::MAX), limit)
            .map(|page| page.records)
            .map_err(|error| self.backend_error(error))
    }

    fn status(&self) -> Result<Status, BackendError> {
        let status = ControlHandle::status(self);
        // A stopped replica returns no entries, but the rest of its status is still useful.
        let entries = self.entries().unwrap_or_default();
        let replica_status = |member: MemberId| {
            let progress = status.progress.iter().find(|progress| progress.member == member);
            let lag_entries =
                progress.map(|progress| status.commit_index.saturating_sub(progress.match_index));
            let last_contact =
                status.last_contacts_ms.iter().find(|(contact, _)| *contact == member);
            let role = if status.leader == Some(member) {
                ReplicaRole::Leader
            } else if status.members.is_voter(member) {
                ReplicaRole::Voter
            } else {
                ReplicaRole::Learner
            };
            ReplicaStatus {
                replica: ReplicaId(member.0),
                address: status.address_of(member),
                role,
                lag_entries,
                last_contact_ms: last_contact.map(|(_, age_ms)| *age_ms),
            }
        };
        Ok(Status {
            replica: ReplicaId(status.member.0),
            leader: status.leader.map(|leader| ReplicaId(leader.0)),
            leader_operator_address: status.leader_operator_address,
            term: status.term,
            commit_index: status.commit_index,
            version: status.version,
            epoch: status.epoch,
            settled_epoch: status.settled_epoch.filter(|_| status.role == Role::Leader),
            replicas: status.members.all().map(replica_status).collect(),
            entries,
        })
    }

    fn change_members(&self, operator: &str, change: &MemberChange) -> Result<(), BackendError> {
        tracing::info!(event = "members_change_requested", operator, ?change);
        let change = match change {
            MemberChange::AddLearner { replica, address } => {
                let member = MemberId(replica.0);
                let known = ControlHandle::status(self).address_of(member);
                if known.is_some_and(|known| known != *address) {
                    return Err(BackendError::Rejected {
                        problem: "the replica has introduced itself with another address; use the address in its settings"
                            .into(),
                    });
                }
                MembershipChange::AddLearner(member)
            }
            MemberChange::Promote { replica } => MembershipChange::Promote(MemberId(replica.0)),
            MemberChange::Remove { replica } => MembershipChange::Remove(MemberId(replica.0)),
        };
        ControlHandle::change_members(self, change).map_err(|error| self.backend_error(error))
    }

    fn transfer(&self, operator: &str, to: Option<ReplicaId>) -> Result<(), BackendError> {
        tracing::info!(event = "transfer_requested", operator, ?to);
        self.transfer_leadership(to.map(|to| MemberId(to.0)))
            .map_err(|error| self.backend_error(error))
    }
}

impl ControlHandle {
    fn backend_error(&self, error: OperatorCallError) -> BackendError {
        match error {
            OperatorCallError::NotLeader { .. }
            | OperatorCallError::Members(MemberChangeError::NotLeader(_)) => {
                let status = ControlHandle::status(self);
                let leader = status.leader.filter(|leader| *leader != status.member);
                BackendError::NotLeader {
                    leader_operator_address: leader.and(status.leader_operator_address),
                }
            }
            OperatorCallError::OutcomeUnknown => {
                BackendError::OutcomeUnknown { reason: error.to_string().into() }
            }
            OperatorCallError::Members(_) | OperatorCallError::UnknownMember(_) => {
                BackendError::Rejected { problem: error.to_string().into() }
            }
            OperatorCallError::Unavailable { reason } => {
                BackendError::Unavailable { reason: reason.into(), retry_after_ms: RETRY_AFTER_MS }
            }
        }
    }
}
