//! Settings of the data folder.

use serde::{Deserialize, Serialize};

/// Settings of the data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// A new segment is started once the current one has reached this size.
    pub segment_bytes: u64,

    /// A `write` call with more encoded bytes is split into several records, each of them synced.
    pub record_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { segment_bytes: 16 << 20, record_bytes: 16 << 20 }
    }
}
