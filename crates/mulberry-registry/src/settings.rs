//! Settings of a registry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Time for which sent bytes may stay without an answer of the peer's kernel, before its connection is lost.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrySettings {
    pub name: String,

    /// Where operators and targets call.
    pub public_address: SocketAddr,

    /// Where registries and gateways connect. All registries use one port.
    pub link_address: SocketAddr,

    /// Address of `/metrics`.
    pub metrics_address: Option<SocketAddr>,

    /// Link addresses of some registries.
    pub seeds: Vec<SocketAddr>,

    /// Whether this is the first start of all registries, so that the seeds form a group.
    pub bootstrap: bool,

    /// Size that the group grows to while there are registries for it.
    pub desired_voters: usize,

    pub data_folder: PathBuf,

    /// Time between two announcements of a target.
    pub announce_interval_ms: u64,

    /// Time from a signal to stop until the process is killed.
    pub stop_timeout_ms: u64,

    /// Longest body of a call.
    pub max_body_bytes: usize,
}

impl Default for RegistrySettings {
    fn default() -> RegistrySettings {
        RegistrySettings {
            name: String::new(),
            public_address: ([127, 0, 0, 1], 7200).into(),
            link_address: ([127, 0, 0, 1], 7201).into(),
            metrics_address: None,
            seeds: Vec::new(),
            bootstrap: false,
            desired_voters: 3,
            data_folder: PathBuf::new(),
            announce_interval_ms: 1_000,
            stop_timeout_ms: 8_000,
            max_body_bytes: 8 << 20,
        }
    }
}
