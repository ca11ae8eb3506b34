//! The record that a target announces.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The record that a target announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    pub id: Arc<str>,

    /// Start time by the target's own clock; later after a restart under the same id.
    pub started_ms: u64,

    /// Increases with each announcement since the start.
    pub sequence: u64,

    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32,
    pub state: TargetState,

    /// Remaining time of the cold phase, counted from the arrival of the announcement.
    pub cold_remaining_ms: u64,
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    Ready,

    /// Finishes its requests, then leaves.
    Draining,

    /// Has left; takes precedence over all other announcements of this start.
    Gone,
}
