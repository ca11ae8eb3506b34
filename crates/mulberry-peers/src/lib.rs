//! Authenticated frames between the processes of the system.
//!
//! A connection starts with a handshake of fixed size in which both sides prove that they know the
//! shared secret. Each frame then carries an HMAC over its direction, its sequence number and its
//! body, so that nothing foreign, replayed, reordered or cut short reaches a handler. The frames are
//! authenticated, not encrypted.
//!
//! [`PeerClient`] multiplexes calls over one connection and tells a call that was certainly not sent
//! from one whose outcome is unknown. [`PeerServer`] hands each call to a handler together with a
//! [`Responder`] that may answer later from any thread.

mod frame;
mod handshake;
mod link_faults;
mod message;
mod peer_client;
mod peer_error;
mod peer_secret;
mod peer_server;
mod peer_stats;

pub use frame::{ConnectionKey, Direction, FrameError, FrameOpener, FrameSealer, MAX_BODY_BYTES};
pub use link_faults::{FaultDirection, LinkFault, LinkFaults};
pub use peer_client::{PeerClient, PeerClientSettings};
pub use peer_error::{NotSentReason, PeerError, UnknownReason};
pub use peer_secret::{PeerSecret, PeerSecretError};
pub use peer_server::{
    Call, ClosedConnection, ConnectionId, PeerServer, PeerServerSettings, PushError, Pusher,
    Responder,
};
pub use peer_stats::{FrameRejectReason, PeerStats};
