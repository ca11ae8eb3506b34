//! Settings of the emulated service.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_types::SettingsError;
use serde::{Deserialize, Serialize};

/// Settings of the emulated service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    pub listen: SocketAddr,

    /// Id under which the service target announces itself.
    pub target: Arc<str>,

    /// Name of the service as configured.
    pub service: Arc<str>,

    /// Availability zone.
    pub zone: Arc<str>,

    /// Calls at the same time; more are refused with status 503.
    pub slots: u32,

    /// Duration of a call. Its side effect happens halfway.
    pub delay_ms: u64,

    /// Calls at the same time beyond which each takes longer in proportion; 0 for none.
    pub knee: u32,

    pub cold_start: ColdStartSettings,

    /// Entries that take announcements, tried in turn; none announces nothing.
    pub announce_to: Vec<SocketAddr>,

    pub announce_interval_ms: u64,

    /// Time for the running calls to end after a stop signal.
    pub stop_timeout_ms: u64,
}

/// How a service that has just started fails under load. It is warm after the time or the successes, whichever is
/// reached first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStartSettings {
    pub cold_ms: u64,

    /// Answered calls after which the service is warm.
    pub successes: u32,

    /// Calls at the same time that a cold service survives.
    pub max_concurrent: u32,

    /// Time for which a service that has fallen over refuses connections.
    pub down_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target: "service-1".into(),
            service: "bookings".into(),
            zone: "zone-a".into(),
            slots: 64,
            delay_ms: 20,
            knee: 0,
            cold_start: ColdStartSettings::default(),
            announce_to: Vec::new(),
            announce_interval_ms: 1_000,
            stop_timeout_ms: 10_000,
        }
    }
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        Self { cold_ms: 30_000, successes: 7, max_concurrent: 4, down_ms: 5_000 }
    }
}

impl ServiceSettings {
    /// Checks the values.
    ///
    /// # Errors
    /// A value is out of its range; the error names the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            ("slots", self.slots.into()),
            ("announce_interval_ms", self.announce_interval_ms),
            ("cold_start.max_concurrent", self.cold_start.max_concurrent.into()),
        ];
        match positive.iter().find(|(_, value)| *value == 0) {
            Some((path, _)) => Err(SettingsError::Field {
                path: (*path).to_owned(),
                problem: "must be at least 1".to_owned(),
            }),
            None => Ok(()),
        }
    }
}
