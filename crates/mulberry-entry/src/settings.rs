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
    /// Number of this entry, unique among the entries.
    pub node: u32,

    /// Availability zone of this instance.
    pub zone: Arc<str>,

    /// Where callers connect.
    pub caller_listen: SocketAddr,

    /// Where targets announce themselves.
    pub target_listen: SocketAddr,

    /// Where the platform asks for health and metrics.
    pub platform_listen: SocketAddr,

    /// Where the other entries connect.
    pub peer_listen: SocketAddr,

    /// Address under which the other entries reach `peer_listen`, if it differs.
    pub peer_advertise: Option<SocketAddr>,

    /// Peer addresses of the control instances.
    pub control: Vec<SocketAddr>,

    /// File with the secret that the system's own processes share.
    pub secret_file: PathBuf,

    /// Least level that is logged, such as `info`.
    pub log_level: String,

    /// How targets are chosen.
    pub placement: PlacementSetting,

    /// Extra time to a target in another availability zone.
    pub cross_zone_ms: u64,

    /// Requests in flight at this entry; more are refused at once.
    pub max_requests_in_flight: usize,

    /// Requests that wait for a target; more are refused at once.
    pub max_queued_requests: usize,

    /// Longest request body.
    pub max_body_bytes: usize,

    /// Longest silence of an engine before it counts as failed.
    pub engine_silence_ms: u64,

    /// Time between the failing of `/readyz` and the refusal of new requests on a planned stop.
    pub stop_notice_ms: u64,

    /// Longest time for running requests to end on a planned stop.
    pub stop_timeout_ms: u64,
}

/// How targets are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementSetting {
    /// Least expected time to first token.
    #[default]
    ExpectedTime,

    /// Baseline for measurement: each target in turn.
    RoundRobin,

    /// Baseline for measurement: fewest taken slots.
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

    /// Checks the values.
    ///
    /// # Errors
    /// A value is out of its range; the error names the field and the remedy.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            ("max_requests_in_flight", self.max_requests_in_flight as u64),
            ("max_queued_requests", self.max_queued_requests as u64),
            ("max_body_bytes", self.max_body_bytes as u64),
            ("engine_silence_ms", self.engine_silence_ms),
        ];
        if let Some((path, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(field(path, "is 0; use at least 1"));
        }
        if self.control.is_empty() {
            return Err(field(
                "control",
                "is empty; name the peer address of each control instance",
            ));
        }
        if self.zone.is_empty() {
            return Err(field("zone", "is empty; name the availability zone of this instance"));
        }
        check_log_level(&self.log_level).map_err(|problem| field("log_level", &problem))?;
        self.check_advertised()?;
        self.check_listeners()
    }

    /// The address of this entry is told to the others, which cannot connect to an unspecified one.
    fn check_advertised(&self) -> Result<(), SettingsError> {
        let advertised = self.peer_advertise.unwrap_or(self.peer_listen);
        if advertised.ip().is_unspecified() {
            let problem = "is told to the other entries; name an address of this host";
            return Err(field("peer_advertise", problem));
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
                let problem = format!("is {address} like {other}; give each its own port");
                return Err(field(path, &problem));
            }
        }
        Ok(())
    }
}

fn field(path: &str, problem: &str) -> SettingsError {
    SettingsError::Field { path: path.to_owned(), problem: problem.to_owned() }
}
