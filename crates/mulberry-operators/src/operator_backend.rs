//! What a control instance provides to the operator API.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_types::{AuditRecord, Change, ChangeOutcome, ConfigurationVersion};

use crate::{ConfigurationAnswer, MemberChange, ReplicaId, Status};

/// Implemented by the control instance. Calls may block for as long as a commit takes.
pub trait OperatorBackend: Send + Sync {
    /// Commits a change. The change's operator is the authenticated one.
    ///
    /// # Errors
    /// See [`BackendError`]; a rejection by rule is an outcome.
    fn submit_change(&self, change: Change) -> Result<ChangeOutcome, BackendError>;

    /// Configuration in force, confirmed by a majority.
    ///
    /// # Errors
    /// See [`BackendError`].
    fn configuration(&self) -> Result<ConfigurationAnswer, BackendError>;

    /// Changes that started from this version or a later one, oldest first, at most `limit`.
    ///
    /// # Errors
    /// See [`BackendError`].
    fn audit(
        &self,
        from_version: ConfigurationVersion,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, BackendError>;

    /// State as this instance sees it; every instance answers.
    ///
    /// # Errors
    /// See [`BackendError`].
    fn status(&self) -> Result<Status, BackendError>;

    /// Commits a change of the control group.
    ///
    /// # Errors
    /// See [`BackendError`].
    fn change_members(&self, operator: &str, change: &MemberChange) -> Result<(), BackendError>;

    /// Hands the leadership to `to`, or to the replica that has the most of the log.
    ///
    /// # Errors
    /// See [`BackendError`].
    fn transfer(&self, operator: &str, to: Option<ReplicaId>) -> Result<(), BackendError>;
}

/// Why a control instance gave no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendError {
    /// The request did not run here; the leader's address is `None` during an election.
    NotLeader { leader_operator_address: Option<SocketAddr> },

    /// The request did not run and will not.
    Unavailable { reason: Arc<str>, retry_after_ms: u64 },

    /// The request may have been carried out, or may still be.
    OutcomeUnknown { reason: Arc<str> },

    /// The rules of the group forbid the request now; says which and the remedy.
    Rejected { problem: Arc<str> },
}
