//! A registry instance: sockets, disk thread and event loop.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use mulberry_directory::{GatewayMessage, LinkMessage, read_frame};
use mulberry_http1::watch_peer;
use mulberry_telemetry::serve_metrics;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::disk_thread::{DiskThread, OpenDisk, open_file_system};
use crate::gateway_link::LinkFrame;
use crate::gateway_links::AddedLink;
use crate::node::{Node, SharedNode};
use crate::peer_message::PeerMessage;
use crate::registry_metrics::RegistryMetrics;
use crate::settings::TCP_USER_TIMEOUT;
use crate::{PublicProtocol, RegistrySettings, public_server};

/// Interval of the timer tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a planned stop leaves for the transfer of leadership.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(700);

/// Time in which a gateway reads what is sent to it at once. It takes the link for lost after a similar time.
const GATEWAY_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Length below which messages are copied to be sent with one call.
const SMALL_FRAME_BYTES: usize = 16 << 10;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A registry instance.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    protocol: Rc<dyn PublicProtocol>,
    open_disk: OpenDisk,
}

/// An error that prevents an instance from starting.
#[derive(Debug)]
pub enum RegistryError {
    Listen { what: &'static str, address: SocketAddr, source: io::Error },
    Start { what: &'static str, source: io::Error },
}

impl Registry {
    pub fn new(settings: RegistrySettings, protocol: Rc<dyn PublicProtocol>) -> Registry {
        Registry { settings, protocol, open_disk: open_file_system }
    }

    /// Uses another disk for the log, so that tests can inject disk failures.
    #[must_use]
    pub fn with_disk(self, open_disk: OpenDisk) -> Registry {
        Registry { open_disk, ..self }
    }

    /// Runs until `stop` resolves. The channel `seeds` delivers the new seeds when the settings change.
    ///
    /// # Errors
    /// A socket or thread could not be opened.
    pub async fn run(
        self,
        stop: impl Future<Output = ()>,
        mut seeds: tokio::sync::mpsc::UnboundedReceiver<Vec<SocketAddr>>,
    ) -> Result<(), RegistryError> {
        let settings = self.settings;
        let public = listen("operators and targets", settings.public_address)?;
        let link = listen("links", settings.link_address)?;
        let metrics = RegistryMetrics::default();
        let mut metrics_registry = prometheus_client::registry::Registry::default();
        metrics.register(&mut metrics_registry);
        let metrics_listener = match settings.metrics_address {
            Some(address) => Some(listen("metrics", address)?),
            None => None,
        };
        let (disk, mut disk_events) =
            DiskThread::start(settings.data_folder.clone(), self.open_disk)
                .map_err(|source| RegistryError::Start { what: "disk thread", source })?;
        tracing::info!(
            event = "started",
            instance = %settings.name,
            public = %settings.public_address,
            bootstrap = settings.bootstrap
        );
        let node: SharedNode = Rc::new(RefCell::new(Node::new(settings, metrics, disk)));

        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                if let Some(listener) = metrics_listener {
                    spawn_local(serve_metrics(listener, Arc::new(Mutex::new(metrics_registry))));
                }
                spawn_local(public_server::serve(public, node.clone(), self.protocol));
                spawn_local(accept_links(link, node.clone()));
                let mut ticks = interval(TICK_INTERVAL);
                ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
                tokio::pin!(stop);
                loop {
                    tokio::select! {
                        () = &mut stop => break,
                        Some(event) = disk_events.recv() => node.borrow_mut().handle_disk_event(event),
                        Some(seeds) = seeds.recv() => node.borrow_mut().set_seeds(seeds),
                        _ = ticks.tick() => node.borrow_mut().tick(),
                    }
                }
                tracing::info!(event = "stopping", was_leader = node.borrow().is_leader());
                node.borrow_mut().begin_stop();
                let transfer = sleep(LEADERSHIP_TRANSFER_TIME);
                tokio::pin!(transfer);
                loop {
                    tokio::select! {
                        () = &mut transfer => break,
                        Some(event) = disk_events.recv() => node.borrow_mut().handle_disk_event(event),
                        _ = ticks.tick() => node.borrow_mut().tick(),
                    }
                }
                tracing::info!(event = "stopped");
            })
            .await;
        Ok(())
    }
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegistryError::Listen { what, address, source } => {
                write!(f, "cannot listen on {address} for {what}: {source}; free the address")
            }
            RegistryError::Start { what, source } => {
                write!(f, "cannot start the {what}: {source}; check the limits of the process")
            }
        }
    }
}

impl std::error::Error for RegistryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RegistryError::Listen { source, .. } | RegistryError::Start { source, .. } => {
                Some(source)
            }
        }
    }
}

fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, RegistryError> {
    mulberry_http1::listen(address).map_err(|source| RegistryError::Listen {
        what,
        address,
        source,
    })
}

async fn accept_links(listener: TcpListener, node: SharedNode) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_link(stream, node.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection from another registry or a gateway; the first message determines which.
async fn serve_link(mut stream: TcpStream, node: SharedNode) {
    if let Err(error) = watch_peer(&stream, TCP_USER_TIMEOUT) {
        tracing::warn!(event = "link_not_prepared", %error);
        return;
    }
    let mut buffer = BytesMut::new();
    loop {
        match read_frame::<LinkMessage<PeerMessage>>(&mut stream, &mut buffer).await {
            Ok(LinkMessage::Peer(message)) => node.borrow_mut().handle_peer_message(message),
            Ok(LinkMessage::Gateway(GatewayMessage::Hello { gateway, knows_parts, feed })) => {
                let name = gateway.name.clone();
                let link = node.borrow_mut().add_gateway(gateway, knows_parts, feed);
                return serve_gateway(stream, buffer, node, name, link).await;
            }
            Ok(LinkMessage::Gateway(
                GatewayMessage::RequestConfig { .. } | GatewayMessage::PartReports { .. },
            )) => {
                tracing::warn!(
                    event = "link_refused",
                    reason = "the first message of a gateway must be `Hello`"
                );
                return;
            }
            Err(error) => {
                tracing::debug!(event = "link_ended", %error);
                return;
            }
        }
    }
}

async fn serve_gateway(
    stream: TcpStream,
    mut buffer: BytesMut,
    node: SharedNode,
    name: Arc<str>,
    link: AddedLink,
) {
    let (mut reader, mut writer) = stream.into_split();
    let reason = loop {
        tokio::select! {
            message = read_frame::<LinkMessage<PeerMessage>>(&mut reader, &mut buffer) => match message {
                Ok(LinkMessage::Gateway(message)) => {
                    node.borrow_mut().handle_gateway_message(link.id, message);
                }
                Ok(LinkMessage::Peer(_)) => {
                    break "received a registry message on the link of a gateway".to_owned();
                }
                Err(error) => break error.to_string(),
            },
            () = link.wake.notified() => {
                let Some(frames) = node.borrow_mut().take_frames(link.id) else {
                    break "replaced by a newer connection, or the send queue was full".to_owned();
                };
                match timeout(GATEWAY_WRITE_TIMEOUT, write_frames(&mut writer, &frames)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => break error.to_string(),
                    Err(_) => break "the gateway does not read".to_owned(),
                }
            }
        }
    };
    node.borrow_mut().remove_gateway(link.id);
    tracing::info!(event = "gateway_unlinked", gateway = %name, reason);
}

/// Writes encoded messages, small ones together.
async fn write_frames(writer: &mut OwnedWriteHalf, frames: &[LinkFrame]) -> io::Result<()> {
    let mut small = Vec::new();
    for frame in frames {
        if frame.bytes.len() < SMALL_FRAME_BYTES {
            small.extend_from_slice(&frame.bytes);
            continue;
        }
        if !small.is_empty() {
            writer.write_all(&small).await?;
            small.clear();
        }
        writer.write_all(&frame.bytes).await?;
    }
    writer.write_all(&small).await
}
