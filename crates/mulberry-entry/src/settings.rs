//! Settings of an entry instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use mulberry_telemetry::check_log_level;
use mulberry_types::{NodeId, SettingsError};
use serde::{Deserialize, Serialize};

/// Settings of an entry instance. `--print-default-settings` prints them all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Number of this entry; must be unique among the entries.
    pub node: u32,

    /// Availability zone of this instance.
    pub zone: Arc<str>,

    /// Listening address for callers.
    pub caller_listen: SocketAddr,

    /// Listening address for announcements of targets.
    pub target_listen: SocketAddr,

    /// Listening address for health checks and metrics.
    pub platform_listen: SocketAddr,

    /// Listening address for the other entries.
    pub peer_listen: SocketAddr,

    /// Address advertised to the other entries, if it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,

    /// Peer addresses of the control instances.
    pub control: Vec<SocketAddr>,

    /// File with the secret shared by the processes of the system.
    pub secret_file: PathBuf,

    /// Minimum log level, such as `info`.
    pub log_level: String,

    /// Policy by which targets are selected.
    pub placement: PlacementSetting,

    /// Additional latency to a target in another availability zone.
    pub cross_zone_ms: u64,

    /// Limit of requests in flight at this entry; further requests are refused immediately.
    pub max_requests_in_flight: usize,

    /// Limit of requests waiting for a target; further requests are refused immediately.
    pub max_queued_requests: usize,

    /// Maximum size of a request body.
    pub max_body_bytes: usize,

    /// Time without data from an engine after which it is considered failed.
    pub engine_silence_ms: u64,

    /// Time on a planned stop from the first failing `/readyz` until new requests are refused.
    pub stop_notice_ms: u64,

    /// Maximum time on a planned stop to wait for running requests.
    pub stop_timeout_ms: u64,
}

/// Policy by which targets are selected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementSetting {
    /// Selects the least expected time to first token.
    #[default]
    ExpectedTime,

    /// Baseline for measurements: selects targets in rotation.
    RoundRobin,

    /// Baseline for measurements: selects the target with the fewest occupied slots.
    LeastReportedLoad,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node: 1,
            zone: "zone-a".into(),
            caller_listen: loopback(8000),
            target_listen: loopback(8001),
            platform_listen: loopback(8002),
            peer_listen: loopback(8003),
            peer_advertise: None,
            control: vec![loopback(7101)],
            secret_file: PathBuf::from("secret"),
            log_level: "info".to_owned(),
            placement: PlacementSetting::default(),
            cross_zone_ms: 1,
            max_requests_in_flight: 512,
            max_queued_requests: 1_024,
            max_body_bytes: 16 * 1024 * 1024,
            engine_silence_ms: 2_000,
            stop_notice_ms: 2_000,
            stop_timeout_ms: 600_000,
        }
    }
}

impl EntrySettings {
    /// Node id of this entry.
    pub fn node(&self) -> NodeId {
        NodeId(self.node)
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// A value is invalid; the error names the field and how to fix it.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            ("max_requests_in_flight", self.max_requests_in_flight as u64),
            ("max_queued_requests", self.max_queued_requests as u64),
            ("max_body_bytes", self.max_body_bytes as u64),
            ("engine_silence_ms", self.engine_silence_ms),
        ];
        if let Some((path, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(field_error(path, "is 0; use at least 1"));
        }
        if self.control.is_empty() {
            return Err(field_error(
                "control",
                "is empty; set the peer address of each control instance",
            ));
        }
        if self.zone.is_empty() {
            return Err(field_error(
                "zone",
                "is empty; set the availability zone of this instance",
            ));
        }
        check_log_level(&self.log_level).map_err(|problem| field_error("log_level", &problem))?;
        self.check_advertised()?;
        self.check_listeners()
    }

    /// Refuses an unspecified address, to which the other entries could not connect.
    fn check_advertised(&self) -> Result<(), SettingsError> {
        let advertised = self.peer_advertise.unwrap_or(self.peer_listen);
        if advertised.ip().is_unspecified() {
            let problem =
                "the address advertised to other entries is unspecified; set one of this host";
            return Err(field_error("peer_advertise", problem));
        }
        Ok(())
    }

    fn check_listeners(&self) -> Result<(), SettingsError> {
        let listeners = [
            ("caller_listen", self.caller_listen),
            ("target_listen", self.target_listen),
            ("platform_listen", self.platform_listen),
            ("peer_listen", self.peer_listen),
        ];
        for (index, (path, address)) in listeners.iter().enumerate() {
            let clash = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = clash {
                let problem = format!("is {address}, the same as {other}; use different ports");
                return Err(field_error(path, &problem));
            }
        }
        Ok(())
    }
}

fn field_error(path: &str, problem: &str) -> SettingsError {
    SettingsError::Field { path: path.to_owned(), problem: problem.to_owned() }
}
