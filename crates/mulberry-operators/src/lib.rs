//! Operator API of the control instances and its client.
//!
//! | Route | Meaning |
//! |---|---|
//! | `POST /v1/changes` | submits a `Change`; answers a `ChangeOutcome` with 200, 409 or 422 |
//! | `GET /v1/configuration` | the configuration in force and its version |
//! | `GET /v1/audit?from_version=&limit=` | accepted changes, oldest first |
//! | `GET /v1/status` | leader, replicas, entries, epochs |
//! | `POST /v1/members` | adds, promotes or removes a control replica |
//! | `POST /v1/leader/transfer` | hands the leadership over |
//!
//! Every request carries `Authorization: Bearer`. Errors are JSON (`ErrorAnswer`): 307 and 421 when
//! another instance leads, 503 when the request did not run, 504 when its outcome is unknown.

mod messages;
mod operator_backend;
mod operator_client;
mod operator_error;
mod operator_server;
mod operator_tokens;

pub use messages::{
    AuditAnswer, ConfigurationAnswer, EntryStatus, ErrorAnswer, ErrorCode, ErrorDetail,
    ErrorOutcome, LEADER_HEADER, MAX_AUDIT_LIMIT, MemberChange, ReplicaId, ReplicaRole,
    ReplicaStatus, Status, TransferLeadership,
};
pub use operator_backend::{BackendError, OperatorBackend};
pub use operator_client::{OperatorClient, OperatorClientSettings};
pub use operator_error::{OperatorClientError, OperatorError};
pub use operator_server::{OperatorServer, answer, operator_http_settings};
pub use operator_tokens::{OperatorToken, OperatorTokenError, OperatorTokens};
