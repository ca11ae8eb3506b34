//! Bounds of an HTTP server.

/// Bounds of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// Connections beyond this number are closed at once.
    pub max_connections: usize,

    /// Requests in handlers; more get status 503 at once.
    pub max_requests_in_flight: usize,

    /// Time for the whole header, also the longest idle time between two requests.
    pub header_timeout_ms: u64,

    /// Time for the whole body.
    pub body_timeout_ms: u64,

    /// Longest body; a longer one gets status 413.
    pub max_body_bytes: usize,

    /// Bytes of bodies that are being received, over all connections; more get status 503.
    pub max_buffered_bytes: usize,

    /// Time for which a client may take none of an answer before the answer is cut.
    pub write_timeout_ms: u64,

    /// Threads that serve sockets; handlers have their own.
    pub socket_threads: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_requests_in_flight: 512,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            max_body_bytes: 16 * 1024 * 1024,
            max_buffered_bytes: 256 * 1024 * 1024,
            write_timeout_ms: 10_000,
            socket_threads: 2,
        }
    }
}
