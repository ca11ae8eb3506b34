//! Settings file of a control instance.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use mulberry_log::LogSettings;
use mulberry_operators::{OperatorToken, OperatorTokens};
use mulberry_telemetry::check_log_level;
use mulberry_types::SettingsError;
use serde::{Deserialize, Serialize};

/// Maximum group size. Each further replica costs the leader one more link and improves none of the limits
/// of the design.
const MAX_PEERS: usize = 9;

/// Settings of one control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Name in logs.
    pub name: Arc<str>,

    /// Address on which this instance listens, and at which entries and the other control instances reach it.
    pub peer_address: SocketAddr,

    /// Address of the operator API.
    pub operator_address: SocketAddr,

    /// Address of `/livez`, `/readyz` and `/metrics`.
    pub platform_address: SocketAddr,

    /// Peer addresses of all control instances, including this one. Must be the same on every instance.
    pub peers: Vec<SocketAddr>,

    /// Whether the instances in `peers` form a new group when all of them have empty data folders. An
    /// instance that has lost its disk finds that a group exists and waits to be added to it.
    pub bootstrap: bool,

    /// Folder of the log and the snapshots. Each instance needs its own.
    pub data_folder: PathBuf,

    /// File with the secret that all processes of the system share, at least 32 bytes.
    pub secret_file: PathBuf,

    pub operators: Vec<OperatorToken>,

    /// Minimum number of log entries between two snapshots. Each replica adds an offset of up to half of
    /// it, so that the replicas do not write snapshots at the same time. Large snapshots are written less
    /// often, but at the latest after 20 times as many entries.
    pub snapshot_entries: u64,

    pub log: LogSettings,

    /// Minimum level of logged events.
    pub log_level: String,

    /// Whether to serve the fault injection endpoint, which drops, delays and freezes link traffic, at
    /// `test_faults_address`. For tests only.
    pub test_faults: bool,

    pub test_faults_address: SocketAddr,
}

impl Default for ControlSettings {
    fn default() -> ControlSettings {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        ControlSettings {
            name: "control-1".into(),
            peer_address: local(7_101),
            operator_address: local(7_201),
            platform_address: local(7_301),
            peers: vec![local(7_101)],
            bootstrap: false,
            data_folder: "data".into(),
            secret_file: "secret".into(),
            operators: Vec::new(),
            snapshot_entries: 10_000,
            log: LogSettings::default(),
            log_level: "info".to_owned(),
            test_faults: false,
            test_faults_address: local(7_401),
        }
    }
}

impl ControlSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with an invalid value. The error contains its path and the remedy.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.name.is_empty() || self.name.len() > 64 {
            return Err(field("name", "use 1 to 64 bytes"));
        }
        let mut addresses = vec![
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
            ("platform_address", self.platform_address),
        ];
        if self.test_faults {
            addresses.push(("test_faults_address", self.test_faults_address));
        }
        let mut seen = BTreeSet::new();
        for (path, address) in addresses {
            if address.port() == 0 {
                return Err(field(
                    path,
                    "port 0 is not reachable from other hosts; set a fixed port",
                ));
            }
            if !seen.insert(address) {
                return Err(field(path, "is used twice; set a different address for each server"));
            }
        }
        if self.peer_address.ip().is_unspecified() {
            return Err(field(
                "peer_address",
                "is announced to other instances; set an address of this host",
            ));
        }
        self.check_peers()?;
        OperatorTokens::new(&self.operators).map_err(|error| field(&error.path, &error.problem))?;
        if !(100..=10_000_000).contains(&self.snapshot_entries) {
            return Err(field("snapshot_entries", "use 100 to 10,000,000"));
        }
        if self.log.segment_bytes < 1 << 16 || self.log.record_bytes < 1 << 16 {
            return Err(field("log", "use at least 65,536 bytes for segments and records"));
        }
        check_log_level(&self.log_level).map_err(|problem| field("log_level", &problem))?;
        if self.data_folder.as_os_str().is_empty() {
            return Err(field("data_folder", "is empty; set a folder on persistent storage"));
        }
        Ok(())
    }

    fn check_peers(&self) -> Result<(), SettingsError> {
        if self.peers.len() > MAX_PEERS {
            return Err(field("peers", "list at most 9 control instances"));
        }
        if !self.peers.contains(&self.peer_address) {
            return Err(field(
                "peers",
                "lacks peer_address; list all instances, including this one",
            ));
        }
        let mut seen = BTreeSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let path = format!("peers[{index}]");
            if peer.port() == 0 || peer.ip().is_unspecified() {
                return Err(field(
                    &path,
                    "is not reachable; set a specific address and a port other than 0",
                ));
            }
            if !seen.insert(peer) {
                return Err(field(&path, "is a duplicate; list each instance once"));
            }
        }
        Ok(())
    }
}

fn field(path: &str, problem: &str) -> SettingsError {
    SettingsError::Field { path: path.to_owned(), problem: problem.to_owned() }
}
