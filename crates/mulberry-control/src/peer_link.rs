//! One-way link to another control instance that never blocks the replica.

use std::collections::VecDeque;
use std::net::SocketAddr;

use mulberry_peers::{NotSentReason, PeerClient, PeerClientSettings, PeerError, PeerSecret};
use mulberry_types::{ControlPortReply, ControlPortRequest};

/// Messages that wait while the connection takes none.
const MAX_WAITING_MESSAGES: usize = 512;

/// Link to one address.
///
/// The connection has a bounded queue. What does not fit waits here; when too much waits, the oldest
/// messages are dropped, because Raft sends again what was lost and newer messages supersede older ones.
#[derive(Debug)]
pub struct PeerLink {
    client: PeerClient<ControlPortRequest, ControlPortReply>,
    waiting: VecDeque<ControlPortRequest>,
    dropped: u64,
}

impl PeerLink {
    pub fn new(address: SocketAddr, secret: PeerSecret, settings: PeerClientSettings) -> PeerLink {
        let settings = PeerClientSettings {
            max_queued_messages: 256,
            max_queued_bytes: 16 << 20,
            max_backoff_ms: 250,
            // Nothing comes back on a one-way link, so only a ping shows that the peer has gone.
            idle_ping_ms: 1_000,
            ..settings
        };
        let client = PeerClient::new(address, secret, settings, |_| {});
        PeerLink { client, waiting: VecDeque::new(), dropped: 0 }
    }

    /// Queues a message.
    pub fn send(&mut self, message: ControlPortRequest) {
        self.flush();
        if self.waiting.is_empty() && self.try_send(&message) {
            return;
        }
        self.waiting.push_back(message);
        if self.waiting.len() > MAX_WAITING_MESSAGES {
            self.waiting.pop_front();
            self.dropped += 1;
        }
    }

    /// Moves waiting messages to the connection as far as it takes them.
    pub fn flush(&mut self) {
        while let Some(message) = self.waiting.pop_front() {
            if !self.try_send(&message) {
                self.waiting.push_front(message);
                return;
            }
        }
    }

    pub fn is_connected(&self) -> bool {
        self.client.is_connected()
    }

    /// Messages dropped since the start because the peer was slow or unreachable.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether the message is done with: queued, or dropped because the peer is unreachable.
    fn try_send(&mut self, message: &ControlPortRequest) -> bool {
        match self.client.send(message) {
            Ok(()) => true,
            Err(PeerError::NotSent(NotSentReason::QueueFull)) => false,
            Err(_) => {
                self.dropped += 1;
                true
            }
        }
    }
}
