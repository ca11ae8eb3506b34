//! Data types of the log, as section 4.1 of the design page defines them.

use serde::{Deserialize, Serialize};

/// Identity of a replica, drawn randomly when its data folder is created.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

/// Contents of a log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    #[default]
    Empty,
    Command(Vec<u8>),
    Members(Members),
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

/// Term and vote.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub voted_for: Option<MemberId>,
}

/// State of the application at an index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Members,
    pub data: Vec<u8>,
}

/// Replicas of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub voters: Vec<MemberId>,
    pub learners: Vec<MemberId>,
}

/// What a replica finds in its data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

/// What must be synced, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writes {
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    pub truncate_from: Option<u64>,
    pub entries: Vec<Entry>,
}
