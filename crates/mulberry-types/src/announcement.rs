//! What a target says about itself when it announces itself, once a second.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine and the models that it has loaded.
    Engine { models: Vec<Arc<str>> },

    /// A plain service by its configured name.
    Service { service: Arc<str> },
}

/// Announcement of one target, sent to any entry and passed on to the target's home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub target: Arc<str>,

    /// Drawn at each start of the target; a new one means a cold target.
    pub boot_id: u64,

    pub kind: TargetKind,

    pub address: SocketAddr,

    /// Availability zone.
    pub zone: Arc<str>,

    /// KV memory for prompts and answers; 0 for plain services.
    pub memory_tokens: u64,

    /// Requests that the target runs at the same time.
    pub slots: u32,

    /// Prefill speed that the target states for itself when warm; 0 for plain services.
    pub prefill_tokens_per_s: u32,

    /// Time of one decoding step that the target states for itself; 0 for plain services.
    pub step_ms: u32,

    pub weight_version: Arc<str>,

    /// Whether the target refuses orders with an old fencing number.
    pub checks_fence: bool,

    /// Whether the target is about to stop and takes no new work.
    pub leaving: bool,

    pub load: LoadReport,
}

/// Load that a target reports about itself. It lags behind by up to a second or more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub used_tokens: u64,
}
