//! What a target says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    pub id: Arc<str>,

    /// Start of the target by its own clock; a target that starts again under its id has a later one.
    pub started_ms: u64,

    /// Rises with each announcement of one start.
    pub sequence: u64,

    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32,
    pub state: TargetState,

    /// How much longer the target is cold, counted from the arrival of the announcement.
    pub cold_remaining_ms: u64,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    Ready,

    /// Finishes what it has and leaves.
    Draining,

    /// Has left; nothing earlier of this start counts any more.
    Gone,
}
