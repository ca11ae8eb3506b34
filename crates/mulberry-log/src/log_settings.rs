//! Settings of the data folder.

use serde::{Deserialize, Serialize};

/// Settings of the data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Size at which a segment is complete and a new one is started.
    pub segment_bytes: u64,

    /// Size at which a record is complete. Longer `write` calls are split into several records, each of
    /// them synced.
    pub record_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { segment_bytes: 16 << 20, record_bytes: 16 << 20 }
    }
}
