//! JSON bodies of the operator API.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use mulberry_types::{
    AuditRecord, Configuration, ConfigurationVersion, Incarnation, MembershipEpoch, NodeId,
};
use serde::{Deserialize, Serialize};

/// Header with the operator address of the leader, next to `Location`.
pub const LEADER_HEADER: &str = "x-leader-address";

/// Largest `limit` of `GET /v1/audit`.
pub const MAX_AUDIT_LIMIT: usize = 1_000;

/// Id of a control replica, drawn at the first start of its data folder. Text of 16 hexadecimal
/// digits in JSON, because many JSON readers round numbers of 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ReplicaId(pub u64);

/// Answer of `GET /v1/configuration`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationAnswer {
    pub version: ConfigurationVersion,
    pub configuration: Configuration,
}

/// Answer of `GET /v1/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditAnswer {
    /// Oldest first. The next page starts at the `to_version` of the last record.
    pub records: Vec<AuditRecord>,
}

/// Answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The replica that answers.
    pub replica: ReplicaId,

    pub leader: Option<ReplicaId>,
    pub leader_operator_address: Option<SocketAddr>,
    pub term: u64,
    pub commit_index: u64,

    /// Newest committed configuration version.
    pub version: ConfigurationVersion,

    pub epoch: MembershipEpoch,

    /// Newest epoch that every other member has applied; only the leader knows it.
    pub settled_epoch: Option<MembershipEpoch>,

    pub replicas: Vec<ReplicaStatus>,

    /// Entries with a lease; only the leader knows them.
    pub entries: Vec<EntryStatus>,
}

/// One control replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub replica: ReplicaId,
    pub address: Option<SocketAddr>,
    pub role: ReplicaRole,

    /// Log entries that the replica lacks; only the leader knows it.
    pub lag_entries: Option<u64>,

    /// Time since the leader last heard from the replica; only the leader knows it.
    pub last_contact_ms: Option<u64>,
}

/// Part that a replica plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    Leader,
    Voter,
    Learner,
}

/// One entry with a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub peer_address: SocketAddr,
    pub zone: Arc<str>,

    /// Time since the last renewal that was answered.
    pub lease_age_ms: u64,

    pub applied_version: ConfigurationVersion,
    pub applied_epoch: MembershipEpoch,
}

/// Body of `POST /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberChange {
    /// Adds a replica without a vote, which then catches up.
    AddLearner { replica: ReplicaId, address: SocketAddr },

    /// Gives a learner that has caught up a vote.
    Promote { replica: ReplicaId },

    /// Removes a replica. Its data folder must not be used again.
    Remove { replica: ReplicaId },
}

/// Body of `POST /v1/leader/transfer`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TransferLeadership {
    /// The next leader; `None` leaves the choice to the present one.
    pub to: Option<ReplicaId>,
}

/// Body of every answer that reports an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    pub code: ErrorCode,
    pub outcome: ErrorOutcome,

    /// What is wrong and how to mend it.
    pub message: String,

    /// Operator address of the leader, with [`ErrorCode::NotLeader`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,

    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Another instance leads.
    NotLeader,

    /// The instance cannot serve the request now.
    Unavailable,

    /// The request may have been carried out.
    OutcomeUnknown,

    /// The rules of the group forbid the request now.
    Rejected,

    Unauthorized,

    /// The request is malformed.
    InvalidRequest,

    NotFound,
    MethodNotAllowed,
}

/// Whether the request was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorOutcome {
    NotRun,
    Unknown,
}

impl ReplicaRole {
    /// Name in status lines.
    pub fn name(self) -> &'static str {
        match self {
            ReplicaRole::Leader => "leader",
            ReplicaRole::Voter => "voter",
            ReplicaRole::Learner => "learner",
        }
    }
}

impl From<ReplicaId> for String {
    fn from(id: ReplicaId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for ReplicaId {
    type Error = String;

    fn try_from(text: String) -> Result<ReplicaId, String> {
        text.parse()
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ReplicaId {
    type Err = String;

    fn from_str(text: &str) -> Result<ReplicaId, String> {
        let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        u64::from_str_radix(text, 16).ok().filter(|_| is_hex).map(ReplicaId).ok_or_else(|| {
            format!("\"{text}\" is no replica id; use the 16 hexadecimal digits that status shows")
        })
    }
}
