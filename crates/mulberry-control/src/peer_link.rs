//! Non-blocking one-way link to another control instance.

use std::collections::VecDeque;
use std::net::SocketAddr;

use mulberry_peers::{NotSentReason, PeerClient, PeerClientSettings, PeerError, PeerSecret};
use mulberry_types::{ControlPortReply, ControlPortRequest};

/// Capacity of the overflow queue, in messages.
const MAX_OVERFLOW_MESSAGES: usize = 512;

/// One-way link to one address.
///
/// The connection has a bounded send queue. Messages that do not fit go to an overflow queue, which drops
/// its oldest messages when full: Raft retransmits lost messages, and newer messages supersede older ones.
#[derive(Debug)]
pub struct PeerLink {
    client: PeerClient<ControlPortRequest, ControlPortReply>,
    overflow: VecDeque<ControlPortRequest>,
    dropped: u64,
}

impl PeerLink {
    pub fn new(address: SocketAddr, secret: PeerSecret, settings: PeerClientSettings) -> PeerLink {
        let settings = PeerClientSettings {
            max_queued_messages: 256,
            max_queued_bytes: 16 << 20,
            max_backoff_ms: 250,
            // The link receives no replies, so only a ping detects a lost peer.
            idle_ping_ms: 1_000,
            ..settings
        };
        let client = PeerClient::new(address, secret, settings, |_| {});
        PeerLink { client, overflow: VecDeque::new(), dropped: 0 }
    }

    /// Queues a message without blocking. Drops the oldest waiting message when the overflow queue is full.
    pub fn send(&mut self, message: ControlPortRequest) {
        self.flush();
        if self.overflow.is_empty() && self.try_send(&message) {
            return;
        }
        self.overflow.push_back(message);
        if self.overflow.len() > MAX_OVERFLOW_MESSAGES {
            self.overflow.pop_front();
            self.dropped += 1;
        }
    }

    /// Moves messages from the overflow queue to the connection until its queue is full.
    pub fn flush(&mut self) {
        while let Some(message) = self.overflow.pop_front() {
            if !self.try_send(&message) {
                self.overflow.push_front(message);
                return;
            }
        }
    }

    pub fn is_connected(&self) -> bool {
        self.client.is_connected()
    }

    /// Number of messages dropped since the start because the peer was slow or unreachable.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns false if the queue of the connection is full. Otherwise the message was queued, or dropped
    /// because the peer is unreachable.
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
