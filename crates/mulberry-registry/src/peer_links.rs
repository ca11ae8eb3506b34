//! Outgoing connections to the other registries: one per registry, used only for sending.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mulberry_directory::{LinkMessage, encode_frame};
use mulberry_http1::watch_peer;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::peer_message::PeerMessage;
use crate::peer_outbox::PeerOutbox;
use crate::sent_bytes::SentBytes;
use crate::settings::TCP_USER_TIMEOUT;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// Links to the other registries by address.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    links: HashMap<SocketAddr, Rc<PeerLink>>,
    sent_bytes: SentBytes,
}

#[derive(Debug, Default)]
struct PeerLink {
    outbox: RefCell<PeerOutbox>,
    wake: Notify,
    is_closed: Cell<bool>,
}

impl PeerLinks {
    pub(crate) fn new(sent_bytes: SentBytes) -> PeerLinks {
        PeerLinks { links: HashMap::new(), sent_bytes }
    }

    /// Sends a message to the registry at `address`, connecting first if necessary.
    pub(crate) fn send(&mut self, address: SocketAddr, message: PeerMessage) {
        let link = self.links.entry(address).or_insert_with(|| {
            let link = Rc::new(PeerLink::default());
            tokio::task::spawn_local(run(address, link.clone(), self.sent_bytes.clone()));
            link
        });
        if !link.outbox.borrow_mut().push(message) {
            tracing::debug!(event = "peer_message_dropped", peer = %address);
        }
        link.wake.notify_one();
    }

    /// Closes the links to all addresses except these.
    pub(crate) fn retain(&mut self, addresses: &[SocketAddr]) {
        self.links.retain(|address, link| {
            let is_kept = addresses.contains(address);
            if !is_kept {
                link.is_closed.set(true);
                link.wake.notify_one();
            }
            is_kept
        });
    }
}

async fn run(address: SocketAddr, link: Rc<PeerLink>, sent_bytes: SentBytes) {
    let started = Instant::now();
    let now_ms = || started.elapsed().as_millis() as u64;
    let mut connection: Option<TcpStream> = None;
    let mut is_failure_logged = false;
    while !link.is_closed.get() {
        let due_in_ms = link.outbox.borrow().due_in_ms(now_ms());
        match due_in_ms {
            Some(0) => {}
            Some(due_in_ms) => {
                // More urgent messages may come first.
                let _ = timeout(Duration::from_millis(due_in_ms), link.wake.notified()).await;
                continue;
            }
            None => {
                link.wake.notified().await;
                continue;
            }
        }
        let messages = link.outbox.borrow_mut().take(now_ms());
        if connection.is_none() {
            connection = match connect(address).await {
                Ok(stream) => {
                    tracing::info!(event = "peer_link_up", peer = %address);
                    is_failure_logged = false;
                    link.outbox.borrow_mut().connected();
                    Some(stream)
                }
                Err(error) => {
                    if !is_failure_logged {
                        tracing::warn!(event = "peer_link_down", peer = %address, %error);
                        is_failure_logged = true;
                    }
                    sleep(RECONNECT_DELAY).await;
                    None
                }
            };
        }
        let Some(stream) = &mut connection else {
            link.outbox.borrow_mut().not_sent(now_ms(), messages);
            continue;
        };
        let mut bytes = Vec::new();
        for message in &messages {
            let before = bytes.len();
            encode(message, &mut bytes);
            sent_bytes.add(message.kind(), bytes.len() - before);
        }
        if let Err(error) = stream.write_all(&bytes).await {
            tracing::warn!(event = "peer_link_lost", peer = %address, %error);
            link.outbox.borrow_mut().not_sent(now_ms(), messages);
            connection = None;
        }
    }
}

fn encode(message: &PeerMessage, bytes: &mut Vec<u8>) {
    if let Err(error) = encode_frame(&LinkMessage::Peer(message), bytes) {
        tracing::error!(event = "peer_message_not_encoded", %error);
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = mulberry_http1::connect(address, CONNECT_TIMEOUT).await?;
    watch_peer(&stream, TCP_USER_TIMEOUT)?;
    Ok(stream)
}
