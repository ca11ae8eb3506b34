//! Settings of a gateway.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_scheduler::SchedulerSettings;

/// Maximum time for which bytes sent to a target may stay unacknowledged by its kernel.
pub(crate) const TARGET_ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Like [`TARGET_ACK_TIMEOUT`], for callers. A caller that pauses reading also leaves bytes unacknowledged, and may
/// resume.
pub(crate) const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Like [`TARGET_ACK_TIMEOUT`], for registries.
pub(crate) const REGISTRY_ACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Part of the permitted time for which lent memory is kept without use; the rest is for returning it.
const UNUSED_LOAN_SHARE: f64 = 0.9;

/// Longest forecast of a request that borrows memory, as a part of the permitted time.
const BORROWING_WAIT_SHARE: f64 = 0.75;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    pub name: Arc<str>,
    pub zone: Arc<str>,

    /// Address on which callers connect.
    pub caller_address: SocketAddr,

    /// Address of the readiness endpoint for the load balancer.
    pub ready_address: SocketAddr,

    /// Address for datagrams and connections from other gateways.
    pub gateway_address: SocketAddr,

    pub metrics_address: Option<SocketAddr>,

    /// Link addresses of the registries to connect to at the start.
    pub seeds: Vec<SocketAddr>,

    /// Whether requests are refused while no registry is linked. Otherwise the gateway continues with the newest
    /// configuration that it knows.
    pub refuse_when_unlinked: bool,

    pub retry: RetrySettings,

    /// Time from the stop signal until the process is killed.
    pub stop_timeout_ms: u64,

    /// Maximum number of caller connections; further ones are closed at once.
    pub max_connections: usize,

    /// Maximum length of a response that is not a stream. Such a response is buffered before it is forwarded, because
    /// the target may fail midway and another one be tried.
    pub max_response_bytes: usize,

    /// Maximum total size of such buffered responses; responses beyond it are abandoned.
    pub response_memory_bytes: usize,

    /// Maximum number of bytes that a stream reads ahead of its caller; 0 turns reading ahead and the shared budget
    /// off.
    pub read_ahead_bytes: usize,

    /// Maximum number of bytes held for callers and targets in all: streams, buffered responses and request bodies.
    pub buffer_memory_bytes: usize,

    /// Maximum time for which a target is left unread while bytes of it wait; then a stream is ended. Less than the
    /// time after which targets cut unread responses.
    pub max_unread_ms: u64,

    /// Maximum time for which memory that engines lend to a request may stay unused; 0 for no limit. A request with lent
    /// memory that has no response by then is given up at its engine.
    pub max_unused_loan_ms: u64,

    pub scheduler: SchedulerSettings,

    /// Whether gateways find out together how much each target of a plain service takes well, and select targets by it.
    pub learns_capacity: bool,
}

/// Limits on retries, for each service and all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    pub window_ms: u64,

    /// Retries as a share of the requests in the window.
    pub ratio: f64,

    /// Number of retries allowed beyond that share.
    pub slack: f64,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            name: "gateway".into(),
            zone: "".into(),
            caller_address: ([127, 0, 0, 1], 7300).into(),
            ready_address: ([127, 0, 0, 1], 7301).into(),
            gateway_address: ([127, 0, 0, 1], 7302).into(),
            metrics_address: None,
            seeds: Vec::new(),
            refuse_when_unlinked: false,
            retry: RetrySettings::default(),
            stop_timeout_ms: 8_000,
            max_connections: 3_000,
            max_response_bytes: 16 << 20,
            response_memory_bytes: 32 << 20,
            read_ahead_bytes: 0,
            buffer_memory_bytes: 64 << 20,
            max_unread_ms: 2_000,
            max_unused_loan_ms: 0,
            scheduler: SchedulerSettings::default(),
            learns_capacity: false,
        }
    }
}

/// Settings that contradict each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewaySettingsError {
    /// `read_ahead_bytes` is above its part of `buffer_memory_bytes`.
    ReadAhead { read_ahead_bytes: usize, buffer_memory_bytes: usize },

    /// `response_memory_bytes` leaves too little of `buffer_memory_bytes` to streams and bodies.
    ResponseMemory { response_memory_bytes: usize, buffer_memory_bytes: usize },

    /// `max_unread_ms` is 0.
    MaxUnread,
}

impl GatewaySettings {
    /// Limits the time for which engines lend memory that is not used. The limit leaves time to return it, and a request
    /// borrows only if it is expected to begin well before.
    pub fn limit_unused_loans(&mut self, limit_ms: u64) {
        self.max_unused_loan_ms = (limit_ms as f64 * UNUSED_LOAN_SHARE) as u64;
        self.scheduler.max_borrowing_wait_ms = limit_ms as f64 * BORROWING_WAIT_SHARE;
    }

    /// Turns reading ahead on, with a part of the memory that the process may use. The rest is for sockets.
    pub fn read_ahead_within(&mut self, memory_bytes: usize) {
        self.buffer_memory_bytes = memory_bytes / 4;
        self.response_memory_bytes = self.buffer_memory_bytes / 2;
        self.read_ahead_bytes = self.buffer_memory_bytes / 128;
    }

    /// Checks the settings against each other.
    ///
    /// # Errors
    /// Reading ahead is on and a limit does not fit the others.
    pub fn check(&self) -> Result<(), GatewaySettingsError> {
        let GatewaySettings {
            read_ahead_bytes, response_memory_bytes, buffer_memory_bytes, ..
        } = *self;
        if read_ahead_bytes == 0 {
            return Ok(());
        }
        if read_ahead_bytes > buffer_memory_bytes / 8 {
            return Err(GatewaySettingsError::ReadAhead { read_ahead_bytes, buffer_memory_bytes });
        }
        if response_memory_bytes > buffer_memory_bytes / 2 {
            return Err(GatewaySettingsError::ResponseMemory {
                response_memory_bytes,
                buffer_memory_bytes,
            });
        }
        if self.max_unread_ms == 0 {
            return Err(GatewaySettingsError::MaxUnread);
        }
        Ok(())
    }
}

impl fmt::Display for GatewaySettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewaySettingsError::ReadAhead { read_ahead_bytes, buffer_memory_bytes } => write!(
                f,
                "read_ahead_bytes is {read_ahead_bytes}; set at most an eighth of \
                 buffer_memory_bytes, {buffer_memory_bytes}"
            ),
            GatewaySettingsError::ResponseMemory { response_memory_bytes, buffer_memory_bytes } => {
                write!(
                    f,
                    "response_memory_bytes is {response_memory_bytes}; set at most half of \
                     buffer_memory_bytes, {buffer_memory_bytes}"
                )
            }
            GatewaySettingsError::MaxUnread => {
                f.write_str("max_unread_ms is 0; set less than the time after which targets cut")
            }
        }
    }
}

impl std::error::Error for GatewaySettingsError {}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { window_ms: 10_000, ratio: 0.2, slack: 100.0 }
    }
}
