//! Counters of a client or server, for export as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why bytes or a connection were rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameRejectReason {
    /// The first bytes are not those of this protocol.
    ForeignBytes,

    Version,
    WrongSecret,
    HandshakeTimeout,

    /// A half-open handshake was closed in favour of a newer connection.
    HandshakeEvicted,

    TooManyConnections,

    /// The connection ended inside the handshake or a frame.
    Truncated,

    Oversized,

    /// Changed, replayed, reordered or foreign frame.
    WrongMac,

    /// The body verifies but is no message of the expected type.
    Undecodable,
}

/// Counters since the start of the process. One instance may be shared by several clients and
/// servers.
#[derive(Debug, Default)]
pub struct PeerStats {
    pub frames_in: AtomicU64,
    pub frames_out: AtomicU64,
    pub bytes_in: AtomicU64,
    pub bytes_out: AtomicU64,

    /// Connections that passed the handshake, on either side.
    pub connections_opened: AtomicU64,

    pub connections_closed: AtomicU64,

    /// Connections of a client after its first one.
    pub reconnects: AtomicU64,

    pub connect_failures: AtomicU64,

    /// Connections closed because nothing came back in time.
    pub silent_connections: AtomicU64,

    /// Messages refused because a queue was full; a server closes the connection then.
    pub queue_overflows: AtomicU64,

    /// One-way messages that were queued and then dropped because the peer was unreachable.
    pub one_way_dropped: AtomicU64,

    rejected: [AtomicU64; FrameRejectReason::ALL.len()],
}

impl FrameRejectReason {
    pub const ALL: [FrameRejectReason; 10] = [
        FrameRejectReason::ForeignBytes,
        FrameRejectReason::Version,
        FrameRejectReason::WrongSecret,
        FrameRejectReason::HandshakeTimeout,
        FrameRejectReason::HandshakeEvicted,
        FrameRejectReason::TooManyConnections,
        FrameRejectReason::Truncated,
        FrameRejectReason::Oversized,
        FrameRejectReason::WrongMac,
        FrameRejectReason::Undecodable,
    ];

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            FrameRejectReason::ForeignBytes => "foreign_bytes",
            FrameRejectReason::Version => "version",
            FrameRejectReason::WrongSecret => "wrong_secret",
            FrameRejectReason::HandshakeTimeout => "handshake_timeout",
            FrameRejectReason::HandshakeEvicted => "handshake_evicted",
            FrameRejectReason::TooManyConnections => "too_many_connections",
            FrameRejectReason::Truncated => "truncated",
            FrameRejectReason::Oversized => "oversized",
            FrameRejectReason::WrongMac => "wrong_mac",
            FrameRejectReason::Undecodable => "undecodable",
        }
    }
}

impl PeerStats {
    /// Rejections for `reason`.
    pub fn rejected(&self, reason: FrameRejectReason) -> u64 {
        self.rejected[reason as usize].load(Ordering::Relaxed)
    }

    /// Rejections for all reasons.
    pub fn rejected_total(&self) -> u64 {
        self.rejected.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }

    pub(crate) fn count_rejected(&self, reason: FrameRejectReason) {
        self.rejected[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_in(&self, bytes: usize) {
        self.frames_in.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_out(&self, frames: usize, bytes: usize) {
        self.frames_out.fetch_add(frames as u64, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
