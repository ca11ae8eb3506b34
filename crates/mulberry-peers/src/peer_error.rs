//! Outcome of a call that got no reply.

use std::fmt;

/// Why a call got no reply. Only [`PeerError::NotSent`] allows to say that the call did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// No byte of the call has reached the peer, and none will later.
    NotSent(NotSentReason),

    /// The call may have reached the peer, or may still reach it.
    OutcomeUnknown(UnknownReason),
}

/// Why nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotSentReason {
    /// The timeout passed while the call was queued; it was removed from the queue.
    Timeout,

    /// As many messages as allowed wait already.
    QueueFull,

    /// The last attempt to connect failed and the next one is not due yet, or it failed now.
    Unreachable { cause: String },

    /// The message is longer than a frame may be or cannot be encoded.
    TooLarge,

    /// The client was closed.
    Closed,
}

/// Why the outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// No reply within the timeout.
    Timeout,

    /// The connection was cut or fell silent after the write may have begun.
    Disconnected,

    /// The client was closed.
    Closed,

    /// The peer's handler gave no reply.
    NoReply,
}

impl PeerError {
    /// Whether it is certain that the call did not run and will not.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, PeerError::NotSent(_))
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotSent(reason) => write!(f, "not sent: {reason}"),
            PeerError::OutcomeUnknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl fmt::Display for NotSentReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotSentReason::Timeout => f.write_str("timed out in the queue; retry"),
            NotSentReason::QueueFull => f.write_str("the queue is full; retry later"),
            NotSentReason::Unreachable { cause } => {
                write!(f, "the peer is unreachable ({cause}); try another peer or retry")
            }
            NotSentReason::TooLarge => f.write_str("the message is too large; split it"),
            NotSentReason::Closed => f.write_str("the client is closed"),
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnknownReason::Timeout => "no reply within the timeout",
            UnknownReason::Disconnected => "the connection was cut",
            UnknownReason::Closed => "the client was closed",
            UnknownReason::NoReply => "the peer gave no reply",
        })
    }
}

impl std::error::Error for PeerError {}
