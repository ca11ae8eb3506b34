//! Settings of a registry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Time that sent bytes may stay unacknowledged by the peer's kernel before the connection is closed.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrySettings {
    pub name: String,

    /// Listen address for operators and targets.
    pub public_address: SocketAddr,

    /// Listen address for registries and gateways. All registries use the same port.
    pub link_address: SocketAddr,

    /// Listen address of `/metrics`.
    pub metrics_address: Option<SocketAddr>,

    /// Link addresses of the seed registries.
    pub seeds: Vec<SocketAddr>,

    /// Whether this is the first start of the system: the seeds then form the initial group.
    pub bootstrap: bool,

    /// Maximum number of voters. With fewer voters than registries, a majority of the voters may be a minority of the
    /// registries, which acknowledges changes that the others do not know while it is cut off from them.
    pub max_voters: usize,

    pub data_folder: PathBuf,

    /// Interval between announcements of a target.
    pub announce_interval_ms: u64,

    /// Time from the stop signal until the process is killed.
    pub stop_timeout_ms: u64,

    /// Maximum length of a request body.
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
            max_voters: usize::MAX,
            data_folder: PathBuf::new(),
            announce_interval_ms: 1_000,
            stop_timeout_ms: 8_000,
            max_body_bytes: 8 << 20,
        }
    }
}
