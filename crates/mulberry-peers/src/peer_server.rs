//! Accepts connections, verifies them and hands their calls to a handler.
//!
//! Each connection has a thread that reads and one that writes. The handler runs on the reading
//! thread and must not block: it passes slow work on together with the [`Responder`]. A handler that
//! blocks for about a second makes the client take the connection for dead.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io::{self, BufReader, Write};
use std::marker::PhantomData;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::HEADER_BYTES;
use crate::handshake::{self, HandshakeError};
use crate::link_faults::POLL;
use crate::message::{ToClient, ToServer, decode, encode};
use crate::peer_stats::count;
use crate::{
    Direction, FrameError, FrameOpener, FrameRejectReason, FrameSealer, LinkFault, LinkFaults,
    PeerSecret, PeerStats,
};

/// Frames that are written with one system call stop growing at this size.
pub(crate) const WRITE_BATCH_BYTES: usize = 64 * 1024;

const READ_BUFFER_BYTES: usize = 4 * 1024;
const WRITER_STACK_BYTES: usize = 128 * 1024;

/// Settings of a [`PeerServer`].
#[derive(Debug, Clone)]
pub struct PeerServerSettings {
    /// Verified connections at the same time; more are refused.
    pub max_connections: usize,

    /// Connections in the handshake at the same time; one more closes the oldest.
    pub max_handshakes: usize,

    /// Time for the whole handshake.
    pub handshake_timeout_ms: u64,

    /// Messages that wait to be written to one connection; one more closes the connection.
    pub max_queued_messages: usize,

    /// Bytes that wait to be written to one connection; more close the connection.
    pub max_queued_bytes: usize,

    /// A connection whose socket takes no byte for so long is closed.
    pub write_timeout_ms: u64,

    /// A connection without any frame for so long is closed; clients ping every 5 s.
    pub idle_timeout_ms: u64,

    /// Stack of the thread on which the handler runs.
    pub handler_stack_bytes: usize,

    pub faults: LinkFaults,
    pub stats: Arc<PeerStats>,
}

/// Number of a connection, unique within one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A request that arrived.
#[derive(Debug)]
pub struct Call<Request> {
    pub request: Request,

    /// Address that the client advertises for itself, or else the address of its socket.
    pub remote: SocketAddr,

    pub connection: ConnectionId,

    /// Whether the client waits for a reply; `false` for one-way messages.
    pub expects_reply: bool,
}

/// Notice that a verified connection has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClosedConnection {
    pub connection: ConnectionId,
    pub remote: SocketAddr,
}

/// Answers one call, from any thread. Dropped without a reply, it tells the client so.
#[derive(Debug)]
pub struct Responder<Reply> {
    /// `None` for a one-way message and once answered.
    open: Option<(u64, Arc<Connection>)>,

    reply: PhantomData<fn(Reply)>,
}

/// Sends one-way messages to connections. Never blocks.
#[derive(Debug)]
pub struct Pusher<Reply> {
    shared: Arc<Shared>,
    reply: PhantomData<fn(Reply)>,
}

/// Why a message was not queued for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushError {
    /// The connection is closed.
    Closed,

    /// The connection does not drain; it is closed now.
    QueueFull,

    /// The message is longer than a frame may be or cannot be encoded.
    TooLarge,
}

/// Listens for connections until it is closed or dropped.
#[derive(Debug)]
pub struct PeerServer<Request, Reply> {
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
    messages: PhantomData<fn(Request) -> Reply>,
}

#[derive(Debug)]
struct Shared {
    secret: PeerSecret,
    settings: PeerServerSettings,
    local_address: SocketAddr,
    is_closed: AtomicBool,
    next_connection: AtomicU64,
    connections: Mutex<HashMap<ConnectionId, Arc<Connection>>>,

    /// Sockets in the handshake, oldest first.
    handshakes: Mutex<VecDeque<(u64, Arc<TcpStream>)>>,

    /// Signalled when a connection has ended.
    connection_ended: Condvar,
}

#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    remote: SocketAddr,
    socket: Arc<TcpStream>,
    max_queued_messages: usize,
    max_queued_bytes: usize,
    stats: Arc<PeerStats>,
    outbox: Mutex<Outbox>,
    outbox_changed: Condvar,
}

#[derive(Debug, Default)]
struct Outbox {
    queue: VecDeque<(Instant, Arc<[u8]>)>,
    queued_bytes: usize,
    is_closed: bool,
}

struct Handlers<Request, Reply> {
    on_call: Box<dyn Fn(Call<Request>, Responder<Reply>) + Send + Sync>,
    on_close: Box<dyn Fn(ClosedConnection) + Send + Sync>,
}

impl Default for PeerServerSettings {
    fn default() -> PeerServerSettings {
        PeerServerSettings {
            max_connections: 1_024,
            max_handshakes: 256,
            handshake_timeout_ms: 2_000,
            max_queued_messages: 4_096,
            max_queued_bytes: 64 * 1024 * 1024,
            write_timeout_ms: 2_000,
            idle_timeout_ms: 15_000,
            handler_stack_bytes: 1024 * 1024,
            faults: LinkFaults::default(),
            stats: Arc::default(),
        }
    }
}

impl<Request, Reply> PeerServer<Request, Reply>
where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
{
    /// Starts to accept connections. `handler` must not block.
    ///
    /// # Errors
    /// The listener's address cannot be read, or no thread can be started.
    pub fn start(
        listener: TcpListener,
        secret: PeerSecret,
        settings: PeerServerSettings,
        handler: impl Fn(Call<Request>, Responder<Reply>) + Send + Sync + 'static,
    ) -> io::Result<PeerServer<Request, Reply>> {
        PeerServer::start_with_notices(listener, secret, settings, handler, |_| {})
    }

    /// As [`PeerServer::start`]; `on_close` is called once for each verified connection that has
    /// ended, after its last call.
    ///
    /// # Errors
    /// The listener's address cannot be read, or no thread can be started.
    pub fn start_with_notices(
        listener: TcpListener,
        secret: PeerSecret,
        settings: PeerServerSettings,
        handler: impl Fn(Call<Request>, Responder<Reply>) + Send + Sync + 'static,
        on_close: impl Fn(ClosedConnection) + Send + Sync + 'static,
    ) -> io::Result<PeerServer<Request, Reply>> {
        listener.set_nonblocking(false)?;
        let shared = Arc::new(Shared {
            secret,
            settings,
            local_address: listener.local_addr()?,
            is_closed: AtomicBool::new(false),
            next_connection: AtomicU64::new(1),
            connections: Mutex::default(),
            handshakes: Mutex::default(),
            connection_ended: Condvar::new(),
        });
        let handlers =
            Arc::new(Handlers { on_call: Box::new(handler), on_close: Box::new(on_close) });
        let for_thread = shared.clone();
        let accept_thread = Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept_connections(&listener, &for_thread, &handlers))?;
        Ok(PeerServer { shared, accept_thread: Some(accept_thread), messages: PhantomData })
    }
}

impl<Request, Reply> PeerServer<Request, Reply> {
    /// Address of the listener.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    pub fn pusher(&self) -> Pusher<Reply> {
        Pusher { shared: self.shared.clone(), reply: PhantomData }
    }

    pub fn stats(&self) -> &Arc<PeerStats> {
        &self.shared.settings.stats
    }

    /// Closes the listener and all connections, and waits up to 2 s for handlers that are running.
    pub fn close(&mut self) {
        let Some(accept_thread) = self.accept_thread.take() else {
            return;
        };
        self.shared.is_closed.store(true, Ordering::Release);
        let deadline = Instant::now() + Duration::from_secs(2);
        while !accept_thread.is_finished() && Instant::now() < deadline {
            // A connection of its own wakes the thread that waits in `accept`. It may fail when file
            // descriptors are short, so it is tried again.
            let _ = TcpStream::connect_timeout(&wake_address(self.shared.local_address), POLL);
            std::thread::sleep(Duration::from_millis(1));
        }
        for (_, socket) in lock(&self.shared.handshakes).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        let mut connections = lock(&self.shared.connections);
        connections.values().for_each(|connection| connection.close());
        while !connections.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            connections = self
                .shared
                .connection_ended
                .wait_timeout(connections, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl<Request, Reply> Drop for PeerServer<Request, Reply> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<Reply: Serialize> Responder<Reply> {
    /// Whether the client waits for a reply.
    pub fn expects_reply(&self) -> bool {
        self.open.is_some()
    }

    /// Queues the reply. Does nothing for a one-way message.
    ///
    /// # Errors
    /// The connection is closed or does not drain, or the reply is too large; the client learns that
    /// there is no reply as far as the connection still works.
    pub fn send(mut self, reply: &Reply) -> Result<(), PushError> {
        let Some((id, connection)) = self.open.clone() else {
            return Ok(());
        };
        let body = encode(&ToClient::Reply { id, reply }).map_err(|_| PushError::TooLarge)?;
        self.open = None;
        connection.enqueue(body)
    }
}

impl<Reply> Drop for Responder<Reply> {
    fn drop(&mut self) {
        let Some((id, connection)) = self.open.take() else {
            return;
        };
        if let Ok(body) = encode(&ToClient::<()>::NoReply { id }) {
            let _ = connection.enqueue(body);
        }
    }
}

impl<Reply> Clone for Pusher<Reply> {
    fn clone(&self) -> Pusher<Reply> {
        Pusher { shared: self.shared.clone(), reply: PhantomData }
    }
}

impl<Reply: Serialize> Pusher<Reply> {
    /// Queues a message for one connection.
    ///
    /// # Errors
    /// The connection is closed, does not drain, or the message is too large.
    pub fn push(&self, connection: ConnectionId, message: &Reply) -> Result<(), PushError> {
        let body = encode(&ToClient::Push(message)).map_err(|_| PushError::TooLarge)?;
        let connection =
            lock(&self.shared.connections).get(&connection).cloned().ok_or(PushError::Closed)?;
        connection.enqueue(body)
    }

    /// Queues a message for all connections and returns for how many. It is encoded once.
    ///
    /// # Errors
    /// The message is too large.
    pub fn push_all(&self, message: &Reply) -> Result<usize, PushError> {
        let body = encode(&ToClient::Push(message)).map_err(|_| PushError::TooLarge)?;
        let connections: Vec<_> = lock(&self.shared.connections).values().cloned().collect();
        Ok(connections.iter().filter(|connection| connection.enqueue(body.clone()).is_ok()).count())
    }

    /// Closes one connection.
    pub fn disconnect(&self, connection: ConnectionId) {
        if let Some(connection) = lock(&self.shared.connections).get(&connection) {
            connection.close();
        }
    }
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PushError::Closed => "the connection is closed; the client must connect again",
            PushError::QueueFull => "the connection does not drain and was closed",
            PushError::TooLarge => "the message is too large; split it",
        })
    }
}

impl std::error::Error for PushError {}

impl Connection {
    fn enqueue(&self, body: Arc<[u8]>) -> Result<(), PushError> {
        let mut outbox = lock(&self.outbox);
        if outbox.is_closed {
            return Err(PushError::Closed);
        }
        let queued_bytes = outbox.queued_bytes + body.len();
        let is_full = outbox.queue.len() >= self.max_queued_messages;
        // One message larger than the limit is allowed when nothing else waits.
        if is_full || (queued_bytes > self.max_queued_bytes && !outbox.queue.is_empty()) {
            count(&self.stats.queue_overflows);
            tracing::warn!(event = "peer_connection_does_not_drain", remote = %self.remote);
            self.close_locked(&mut outbox);
            return Err(PushError::QueueFull);
        }
        outbox.queued_bytes = queued_bytes;
        outbox.queue.push_back((Instant::now(), body));
        drop(outbox);
        self.outbox_changed.notify_one();
        Ok(())
    }

    fn close(&self) {
        self.close_locked(&mut lock(&self.outbox));
    }

    fn close_locked(&self, outbox: &mut Outbox) {
        *outbox = Outbox { is_closed: true, ..Outbox::default() };
        self.outbox_changed.notify_all();
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    fn is_closed(&self) -> bool {
        lock(&self.outbox).is_closed
    }

    /// Waits for messages and moves those that fit into one write to `batch`. Returns `false` once
    /// the connection is closed.
    fn take_batch(&self, faults: &LinkFaults, batch: &mut Vec<Arc<[u8]>>) -> bool {
        let mut outbox = lock(&self.outbox);
        loop {
            if outbox.is_closed {
                return false;
            }
            let mut batch_bytes = 0;
            let mut is_held = false;
            while let Some((queued_at, body)) = outbox.queue.front() {
                let fault = faults.fault_to(self.remote);
                is_held = match fault {
                    Some(LinkFault::Freeze) => true,
                    Some(LinkFault::Delay(delay)) => queued_at.elapsed() < delay,
                    Some(LinkFault::Drop) | None => false,
                };
                if is_held || batch_bytes >= WRITE_BATCH_BYTES {
                    break;
                }
                let bytes = body.len();
                batch_bytes += bytes;
                let body = outbox.queue.pop_front().map(|(_, body)| body);
                outbox.queued_bytes -= bytes;
                if fault != Some(LinkFault::Drop) {
                    batch.extend(body);
                }
            }
            if !batch.is_empty() {
                return true;
            }
            outbox = if is_held {
                self.outbox_changed
                    .wait_timeout(outbox, POLL)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0
            } else {
                self.outbox_changed.wait(outbox).unwrap_or_else(PoisonError::into_inner)
            };
        }
    }
}

impl Shared {
    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Enters a socket into the list of handshakes; closes the oldest one if there are too many, so
    /// that half-open connections cannot keep new ones out.
    fn begin_handshake(&self, number: u64, socket: &Arc<TcpStream>) {
        let mut handshakes = lock(&self.handshakes);
        while handshakes.len() >= self.settings.max_handshakes.max(1) {
            if let Some((_, oldest)) = handshakes.pop_front() {
                let _ = oldest.shutdown(Shutdown::Both);
                self.settings.stats.count_rejected(FrameRejectReason::HandshakeEvicted);
            }
        }
        handshakes.push_back((number, socket.clone()));
    }

    /// Returns `false` when the handshake was evicted.
    fn end_handshake(&self, number: u64) -> bool {
        let mut handshakes = lock(&self.handshakes);
        let count_before = handshakes.len();
        handshakes.retain(|(other, _)| *other != number);
        handshakes.len() < count_before
    }

    /// Enters the connection unless there are too many or the server is closed.
    fn register(&self, connection: &Arc<Connection>) -> bool {
        let mut connections = lock(&self.connections);
        if self.is_closed() {
            return false;
        }
        if connections.len() >= self.settings.max_connections {
            self.settings.stats.count_rejected(FrameRejectReason::TooManyConnections);
            return false;
        }
        connections.insert(connection.id, connection.clone());
        true
    }
}

fn accept_connections<Request, Reply>(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    handlers: &Arc<Handlers<Request, Reply>>,
) where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
{
    loop {
        let accepted = listener.accept();
        if shared.is_closed() {
            return;
        }
        let (socket, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of file descriptors, for example; `accept` would fail again at once.
                tracing::warn!(event = "peer_accept_failed", %error);
                std::thread::sleep(POLL);
                continue;
            }
        };
        let number = shared.next_connection.fetch_add(1, Ordering::Relaxed);
        let socket = Arc::new(socket);
        shared.begin_handshake(number, &socket);
        let (for_thread, handlers) = (shared.clone(), handlers.clone());
        let spawned = Builder::new()
            .name("peer-server".to_owned())
            .stack_size(shared.settings.handler_stack_bytes)
            .spawn(move || serve(&for_thread, &handlers, number, &socket, remote));
        if let Err(error) = spawned {
            tracing::warn!(event = "peer_thread_not_started", %error);
            shared.end_handshake(number);
        }
    }
}

fn serve<Request, Reply>(
    shared: &Arc<Shared>,
    handlers: &Handlers<Request, Reply>,
    number: u64,
    socket: &Arc<TcpStream>,
    remote: SocketAddr,
) where
    Request: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
{
    let accepted = authenticate(shared, socket, remote);
    if !shared.end_handshake(number) {
        return;
    }
    let (accepted, remote) = match accepted {
        Ok(accepted) => accepted,
        Err(error) => {
            reject_handshake(shared, remote, &error);
            return;
        }
    };
    let settings = &shared.settings;
    let connection = Arc::new(Connection {
        id: ConnectionId(number),
        remote,
        socket: socket.clone(),
        max_queued_messages: settings.max_queued_messages,
        max_queued_bytes: settings.max_queued_bytes,
        stats: settings.stats.clone(),
        outbox: Mutex::default(),
        outbox_changed: Condvar::new(),
    });
    if !shared.register(&connection) {
        tracing::warn!(event = "peer_connection_refused", %remote);
        let _ = socket.shutdown(Shutdown::Both);
        return;
    }
    count(&settings.stats.connections_opened);
    // Also ends the connection when the handler panics.
    let _guard = ConnectionGuard { shared, handlers, connection: &connection };

    if handshake::confirm(socket, &accepted).is_err() {
        return;
    }
    let sealer = FrameSealer::new(accepted.key.clone(), Direction::ToClient);
    let opener = FrameOpener::new(accepted.key, Direction::ToServer);
    let faults = settings.faults.clone();
    let for_writer = connection.clone();
    let spawned = Builder::new()
        .name("peer-server-write".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_frames(&for_writer, &faults, sealer));
    if let Err(error) = spawned {
        tracing::warn!(event = "peer_thread_not_started", %error);
        return;
    }
    read_frames(shared, handlers, &connection, opener);
}

fn authenticate(
    shared: &Shared,
    socket: &TcpStream,
    remote: SocketAddr,
) -> Result<(handshake::Accepted, SocketAddr), HandshakeError> {
    let settings = &shared.settings;
    let deadline = Instant::now() + Duration::from_millis(settings.handshake_timeout_ms);
    socket.set_nodelay(true).map_err(HandshakeError::Io)?;
    let write_timeout = Duration::from_millis(settings.write_timeout_ms.max(1));
    socket.set_write_timeout(Some(write_timeout)).map_err(HandshakeError::Io)?;
    let accepted = handshake::accept(socket, &shared.secret, deadline)?;
    let remote = accepted.advertised.unwrap_or(remote);
    while settings.faults.blocks_handshake(remote) {
        if Instant::now() >= deadline || shared.is_closed() {
            return Err(HandshakeError::Rejected(FrameRejectReason::HandshakeTimeout));
        }
        std::thread::sleep(POLL);
    }
    let idle_timeout = Duration::from_millis(settings.idle_timeout_ms.max(1));
    socket.set_read_timeout(Some(idle_timeout)).map_err(HandshakeError::Io)?;
    Ok((accepted, remote))
}

fn reject_handshake(shared: &Shared, remote: SocketAddr, error: &HandshakeError) {
    match error {
        HandshakeError::Io(error) => {
            tracing::debug!(event = "peer_handshake_failed", %remote, %error);
        }
        HandshakeError::Rejected(reason) => {
            shared.settings.stats.count_rejected(*reason);
            tracing::debug!(event = "peer_handshake_rejected", %remote, reason = reason.name());
        }
    }
}

fn read_frames<Request, Reply>(
    shared: &Shared,
    handlers: &Handlers<Request, Reply>,
    connection: &Arc<Connection>,
    mut opener: FrameOpener,
) where
    Request: DeserializeOwned,
    Reply: Serialize,
{
    let Shared { settings: PeerServerSettings { stats, faults, .. }, .. } = shared;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, &*connection.socket);
    loop {
        let body = match opener.read(&mut reader) {
            Ok(Some(body)) => body,
            Ok(None) => return,
            Err(error) => {
                count_frame_error(stats, connection.remote, &error);
                return;
            }
        };
        stats.count_in(HEADER_BYTES + body.len());
        if !faults.admit_received(connection.remote, || connection.is_closed()) {
            continue;
        }
        let Some(message) = decode::<ToServer<Request>>(&body) else {
            stats.count_rejected(FrameRejectReason::Undecodable);
            tracing::warn!(event = "peer_frame_undecodable", remote = %connection.remote);
            return;
        };
        drop(body);
        let (request, open) = match message {
            ToServer::Call { id, request } => (request, Some((id, connection.clone()))),
            ToServer::OneWay(request) => (request, None),
            ToServer::Ping => {
                if let Ok(pong) = encode(&ToClient::<()>::Pong) {
                    let _ = connection.enqueue(pong);
                }
                continue;
            }
        };
        let call = Call {
            request,
            remote: connection.remote,
            connection: connection.id,
            expects_reply: open.is_some(),
        };
        (handlers.on_call)(call, Responder { open, reply: PhantomData });
    }
}

fn write_frames(connection: &Connection, faults: &LinkFaults, mut sealer: FrameSealer) {
    let mut batch = Vec::new();
    let mut bytes = Vec::new();
    while connection.take_batch(faults, &mut batch) {
        for body in &batch {
            sealer.seal(body, &mut bytes);
        }
        if (&*connection.socket).write_all(&bytes).is_err() {
            connection.close();
            return;
        }
        connection.stats.count_out(batch.len(), bytes.len());
        batch.clear();
        bytes.clear();
        // A large message must not keep its memory for the life of the connection.
        bytes.shrink_to(WRITE_BATCH_BYTES);
    }
}

/// Counts a frame that was not accepted.
pub(crate) fn count_frame_error(stats: &PeerStats, remote: SocketAddr, error: &FrameError) {
    let reason = match error {
        FrameError::Io(error) => {
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                count(&stats.silent_connections);
            }
            return;
        }
        FrameError::Truncated => FrameRejectReason::Truncated,
        FrameError::Oversized { .. } => FrameRejectReason::Oversized,
        FrameError::Version { .. } => FrameRejectReason::Version,
        FrameError::WrongMac => FrameRejectReason::WrongMac,
    };
    stats.count_rejected(reason);
    tracing::warn!(event = "peer_frame_rejected", %remote, reason = reason.name());
}

struct ConnectionGuard<'a, Request, Reply> {
    shared: &'a Shared,
    handlers: &'a Handlers<Request, Reply>,
    connection: &'a Connection,
}

impl<Request, Reply> Drop for ConnectionGuard<'_, Request, Reply> {
    fn drop(&mut self) {
        self.connection.close();
        (self.handlers.on_close)(ClosedConnection {
            connection: self.connection.id,
            remote: self.connection.remote,
        });
        lock(&self.shared.connections).remove(&self.connection.id);
        count(&self.shared.settings.stats.connections_closed);
        self.shared.connection_ended.notify_all();
    }
}

/// Address under which the server reaches its own listener.
fn wake_address(local: SocketAddr) -> SocketAddr {
    let ip = match local.ip() {
        ip if !ip.is_unspecified() => ip,
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
    };
    SocketAddr::new(ip, local.port())
}

/// The data behind these locks is valid after a panic of another thread as well.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
