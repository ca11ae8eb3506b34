//! Outgoing connections to the other registries: one per registry, used only for sending.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use mulberry_directory::{LinkMessage, encode_frame};
use mulberry_http1::watch_peer;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::sleep;

use crate::peer_message::PeerMessage;
use crate::settings::TCP_USER_TIMEOUT;

/// Maximum number of queued messages per link. Excess messages are dropped; senders retry those that matter.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// Links to the other registries by address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: HashMap<SocketAddr, Sender<PeerMessage>>,
}

impl PeerLinks {
    /// Sends a message to the registry at `address`, connecting first if necessary.
    pub(crate) fn send(&mut self, address: SocketAddr, message: PeerMessage) {
        let link = self.links.entry(address).or_insert_with(|| {
            let (sender, receiver) = channel(MAX_QUEUED_MESSAGES);
            tokio::task::spawn_local(run(address, receiver));
            sender
        });
        if link.try_send(message).is_err() {
            tracing::debug!(event = "peer_message_dropped", peer = %address);
        }
    }

    /// Closes the links to all addresses except these.
    pub(crate) fn retain(&mut self, addresses: &[SocketAddr]) {
        self.links.retain(|address, _| addresses.contains(address));
    }
}

async fn run(address: SocketAddr, mut messages: Receiver<PeerMessage>) {
    let mut connection: Option<TcpStream> = None;
    let mut is_failure_logged = false;
    while let Some(message) = messages.recv().await {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        while let Ok(message) = messages.try_recv() {
            encode(message, &mut bytes);
        }
        if connection.is_none() {
            connection = match connect(address).await {
                Ok(stream) => {
                    tracing::info!(event = "peer_link_up", peer = %address);
                    is_failure_logged = false;
                    Some(stream)
                }
                Err(error) => {
                    if !is_failure_logged {
                        tracing::warn!(event = "peer_link_down", peer = %address, %error);
                        is_failure_logged = true;
                    }
                    // Messages queued in the meantime are outdated.
                    sleep(RECONNECT_DELAY).await;
                    while messages.try_recv().is_ok() {}
                    None
                }
            };
        }
        let Some(stream) = &mut connection else { continue };
        if let Err(error) = stream.write_all(&bytes).await {
            tracing::warn!(event = "peer_link_lost", peer = %address, %error);
            connection = None;
        }
    }
}

fn encode(message: PeerMessage, bytes: &mut Vec<u8>) {
    if let Err(error) = encode_frame(&LinkMessage::Peer(message), bytes) {
        tracing::error!(event = "peer_message_not_encoded", %error);
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = mulberry_http1::connect(address, CONNECT_TIMEOUT).await?;
    watch_peer(&stream, TCP_USER_TIMEOUT)?;
    Ok(stream)
}
