//! Handle for calling the replica thread from other threads.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use mulberry_consensus::MemberId;
use mulberry_operators::EntryStatus;
use mulberry_state::AuditPage;
use mulberry_types::{Change, ChangeOutcome, Configuration, ConfigurationVersion};

use crate::replica_input::{
    Input, MembershipChange, OperatorCall, OperatorCallError, OperatorQuery, OperatorQueryResult,
    OperatorReply,
};
use crate::replica_status::{ReplicaStatus, SharedStatus};

/// Timeout of a call. Longer than an election, so that a call made shortly before one is notified of the
/// loss of leadership, and shorter than the 5 s attempt timeout of the operator client.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Handle to the replica of one instance, usable from any thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    inputs: Sender<Input>,
    status: SharedStatus,
}

impl ControlHandle {
    pub(crate) fn new(inputs: Sender<Input>, status: SharedStatus) -> ControlHandle {
        ControlHandle { inputs, status }
    }

    /// Status of this instance, at most about 50 ms old.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// Proposes a change and waits for its outcome. A retry with the same id returns the original
    /// outcome.
    ///
    /// # Errors
    /// This instance does not lead or cannot serve, or the outcome is not known.
    pub fn change(&self, change: Change) -> Result<ChangeOutcome, OperatorCallError> {
        self.call(|reply| OperatorCall::Change { change, reply })
    }

    /// Reads the configuration, including every change accepted before the call.
    ///
    /// # Errors
    /// As [`ControlHandle::change`].
    pub fn configuration(
        &self,
    ) -> Result<(ConfigurationVersion, Arc<Configuration>), OperatorCallError> {
        match self
            .call(|reply| OperatorCall::Read { query: OperatorQuery::Configuration, reply })?
        {
            OperatorQueryResult::Configuration { version, configuration } => {
                Ok((version, configuration))
            }
            OperatorQueryResult::Audit(_) => Err(OperatorCallError::OutcomeUnknown),
        }
    }

    /// Reads the audit records of the changes that produced the versions from `first` to `last`.
    ///
    /// # Errors
    /// As [`ControlHandle::change`].
    pub fn audit(
        &self,
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    ) -> Result<AuditPage, OperatorCallError> {
        let query = OperatorQuery::Audit { first, last, max_records };
        match self.call(|reply| OperatorCall::Read { query, reply })? {
            OperatorQueryResult::Audit(page) => Ok(page),
            OperatorQueryResult::Configuration { .. } => Err(OperatorCallError::OutcomeUnknown),
        }
    }

    /// Proposes a membership change of the group and waits until it is committed.
    ///
    /// # Errors
    /// As [`ControlHandle::change`], or the change is not allowed now.
    pub fn change_members(&self, change: MembershipChange) -> Result<(), OperatorCallError> {
        self.call(|reply| OperatorCall::Members { change, reply })
    }

    /// Starts a leadership transfer to `to`, or to the voter with the most up-to-date log.
    ///
    /// # Errors
    /// This instance does not lead or cannot serve, or there is no such voter.
    pub fn transfer_leadership(&self, to: Option<MemberId>) -> Result<(), OperatorCallError> {
        self.call(|reply| OperatorCall::TransferLeadership { to, reply })
    }

    /// Lease status of all entries. Empty unless this instance leads.
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
        let (reply, result) = bounded(1);
        let input = Input::Operator(build(reply));
        if self.inputs.try_send(input).is_err() {
            let reason = "the replica is overloaded or has stopped; retry later".to_owned();
            return Err(OperatorCallError::Unavailable { reason });
        }
        // A dropped sender means that the replica thread ended before it replied.
        result.recv_timeout(CALL_TIMEOUT).unwrap_or(Err(OperatorCallError::OutcomeUnknown))
    }
}
