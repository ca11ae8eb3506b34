//! Calls from other threads to the replica.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use mulberry_consensus::MemberId;
use mulberry_operators::EntryStatus;
use mulberry_state::AuditPage;
use mulberry_types::{Change, ChangeOutcome, Configuration, ConfigurationVersion};

use crate::replica_input::{
    Input, MembersChange, OperatorCall, OperatorCallError, OperatorRead, OperatorReadResult,
    OperatorReply,
};
use crate::replica_status::{ReplicaStatus, SharedStatus};

/// Longest wait for an answer. Longer than an election, so that a call that begins shortly before one
/// learns of the lost leadership, and shorter than the 5 s of one attempt of the operators' client.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls from other threads to the replica of one instance.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    inputs: Sender<Input>,
    status: SharedStatus,
}

impl ControlHandle {
    pub(crate) fn new(inputs: Sender<Input>, status: SharedStatus) -> ControlHandle {
        ControlHandle { inputs, status }
    }

    /// State of this instance, at most some 50 ms old.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// Proposes a change and waits for its outcome. A resend with the same id gets the first outcome.
    ///
    /// # Errors
    /// This instance does not lead or cannot serve, or the outcome is not known.
    pub fn change(&self, change: Change) -> Result<ChangeOutcome, OperatorCallError> {
        self.call(|reply| OperatorCall::Change { change, reply })
    }

    /// Configuration that holds every change accepted before the call.
    ///
    /// # Errors
    /// As [`ControlHandle::change`].
    pub fn configuration(
        &self,
    ) -> Result<(ConfigurationVersion, Arc<Configuration>), OperatorCallError> {
        match self.call(|reply| OperatorCall::Read { what: OperatorRead::Configuration, reply })? {
            OperatorReadResult::Configuration { version, configuration } => {
                Ok((version, configuration))
            }
            OperatorReadResult::Audit(_) => Err(OperatorCallError::OutcomeUnknown),
        }
    }

    /// Audit records of the changes that led to the versions from `first` to `last`.
    ///
    /// # Errors
    /// As [`ControlHandle::change`].
    pub fn audit(
        &self,
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    ) -> Result<AuditPage, OperatorCallError> {
        let what = OperatorRead::Audit { first, last, max_records };
        match self.call(|reply| OperatorCall::Read { what, reply })? {
            OperatorReadResult::Audit(page) => Ok(page),
            OperatorReadResult::Configuration { .. } => Err(OperatorCallError::OutcomeUnknown),
        }
    }

    /// Changes the members of the group and waits for the commit.
    ///
    /// # Errors
    /// As [`ControlHandle::change`], or the change is not allowed now.
    pub fn change_members(&self, change: MembersChange) -> Result<(), OperatorCallError> {
        self.call(|reply| OperatorCall::Members { change, reply })
    }

    /// Begins to hand leadership to `to`, or to the most advanced voter.
    ///
    /// # Errors
    /// This instance does not lead or cannot serve, or there is no such voter.
    pub fn transfer_leadership(&self, to: Option<MemberId>) -> Result<(), OperatorCallError> {
        self.call(|reply| OperatorCall::TransferLeadership { to, reply })
    }

    /// Members as this instance sees them; empty unless it leads.
    ///
    /// # Errors
    /// The replica is overloaded or has stopped.
    pub fn entries(&self) -> Result<Vec<EntryStatus>, OperatorCallError> {
        self.call(|reply| OperatorCall::Entries { reply })
    }

    fn call<T>(
        &self,
        build: impl FnOnce(OperatorReply<T>) -> OperatorCall,
    ) -> Result<T, OperatorCallError> {
        let (reply, answer) = bounded(1);
        let input = Input::Operator(build(reply));
        if self.inputs.try_send(input).is_err() {
            let reason = "the replica is overloaded or has stopped; retry later".to_owned();
            return Err(OperatorCallError::Unavailable { reason });
        }
        // A dropped sender means that the replica has ended with the call in hand.
        answer.recv_timeout(CALL_TIMEOUT).unwrap_or(Err(OperatorCallError::OutcomeUnknown))
    }
}
