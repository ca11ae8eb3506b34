//! One connection to a peer that is shared by all threads of the process.
//!
//! A worker thread connects when there is something to send, writes, and watches for silence; a
//! second thread reads. A call is `taken` from the moment at which the worker may write it: until
//! then it can be removed from the queue, and its outcome is certain.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io::{BufReader, Write};
use std::marker::PhantomData;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::HEADER_BYTES;
use crate::handshake::{self, HandshakeError};
use crate::link_faults::POLL;
use crate::message::{ToClient, ToServer, decode, encode};
use crate::peer_server::{WRITE_BATCH_BYTES, count_frame_error};
use crate::peer_stats::count;
use crate::{
    ConnectionKey, Direction, FrameOpener, FrameRejectReason, FrameSealer, LinkFault, LinkFaults,
    NotSentReason, PeerError, PeerSecret, PeerStats, UnknownReason,
};

const READ_BUFFER_BYTES: usize = 4 * 1024;
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// Settings of a [`PeerClient`].
#[derive(Debug, Clone)]
pub struct PeerClientSettings {
    /// Address under which this process is reached by its own peers; the server names it as the
    /// remote address of the calls. Port 0 counts as none.
    pub advertised_address: Option<SocketAddr>,

    pub connect_timeout_ms: u64,

    /// Time for the whole handshake.
    pub handshake_timeout_ms: u64,

    /// Longest wait after the first failed attempt to connect; doubles with each further one. The
    /// wait is random between half and all of it.
    pub min_backoff_ms: u64,

    pub max_backoff_ms: u64,

    /// Messages that wait to be written; one more is refused.
    pub max_queued_messages: usize,

    /// Bytes that wait to be written; more are refused.
    pub max_queued_bytes: usize,

    /// With calls pending, the peer is pinged after so much silence.
    pub ping_after_ms: u64,

    /// Without calls pending, the peer is pinged after so much silence.
    pub idle_ping_ms: u64,

    /// The connection is cut when nothing comes for so long after a ping.
    pub ping_timeout_ms: u64,

    /// The connection is cut when the socket takes no byte for so long.
    pub write_timeout_ms: u64,

    pub faults: LinkFaults,
    pub stats: Arc<PeerStats>,
}

/// Client of one peer. Shared between threads by `Arc`; dropping it closes it.
pub struct PeerClient<Request, Reply> {
    shared: Arc<Shared<Reply>>,
    request: PhantomData<fn(&Request)>,
}

struct Shared<Reply> {
    address: SocketAddr,
    secret: PeerSecret,
    settings: PeerClientSettings,
    on_push: Box<dyn Fn(Reply) + Send + Sync>,
    state: Mutex<State<Reply>>,
    changed: Condvar,

    /// Frames received on all connections; tells the worker whether the peer is alive.
    received: AtomicU64,

    /// Number of the connection whose frames are delivered, or 0.
    live_connection: AtomicU64,
}

struct State<Reply> {
    next_id: u64,
    queue: VecDeque<Queued>,
    queued_bytes: usize,
    calls: HashMap<u64, PendingCall<Reply>>,

    /// Calls among `calls` that the worker has taken from the queue.
    taken_calls: usize,

    /// Whether the current connection has delivered a frame.
    has_heard: bool,

    link: Link,
    socket: Option<Arc<TcpStream>>,

    /// Attempts to connect that failed in a row.
    failures: u32,

    /// Until when no attempt to connect is made, and why the last one failed.
    backoff: Option<(Instant, String)>,

    has_worker: bool,
    is_closed: bool,
}

struct Queued {
    /// `None` for a one-way message.
    id: Option<u64>,

    at: Instant,
    body: Arc<[u8]>,
}

struct PendingCall<Reply> {
    sender: Sender<Result<Reply, PeerError>>,
    is_taken: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Down,
    Up {
        connection: u64,
    },

    /// The reader has ended; the worker has not noticed yet.
    Lost,
}

/// What the worker does next.
enum Step {
    Connect,
    Write(Vec<Arc<[u8]>>),
    Lost,
    Closed,
}

impl Default for PeerClientSettings {
    fn default() -> PeerClientSettings {
        PeerClientSettings {
            advertised_address: None,
            connect_timeout_ms: 1_000,
            handshake_timeout_ms: 1_000,
            min_backoff_ms: 50,
            max_backoff_ms: 1_000,
            max_queued_messages: 1_024,
            max_queued_bytes: 32 * 1024 * 1024,
            // With the timeout below, a cut is noticed 1.8 s after the last frame at the latest.
            ping_after_ms: 400,
            idle_ping_ms: 5_000,
            ping_timeout_ms: 1_000,
            write_timeout_ms: 1_500,
            faults: LinkFaults::default(),
            stats: Arc::default(),
        }
    }
}

impl<Request, Reply> PeerClient<Request, Reply>
where
    Request: Serialize,
    Reply: DeserializeOwned + Send + 'static,
{
    /// Client of the peer at `address`. Connects with the first message. `on_push` gets the one-way
    /// messages of the peer and must not block.
    ///
    /// A lost connection is opened again with the next message only, so a process that waits for
    /// pushes must send something from time to time.
    pub fn new(
        address: SocketAddr,
        secret: PeerSecret,
        settings: PeerClientSettings,
        on_push: impl Fn(Reply) + Send + Sync + 'static,
    ) -> PeerClient<Request, Reply> {
        let state = State {
            next_id: 1,
            queue: VecDeque::new(),
            queued_bytes: 0,
            calls: HashMap::new(),
            taken_calls: 0,
            has_heard: false,
            link: Link::Down,
            socket: None,
            failures: 0,
            backoff: None,
            has_worker: false,
            is_closed: false,
        };
        let shared = Shared {
            address,
            secret,
            settings,
            on_push: Box::new(on_push),
            state: Mutex::new(state),
            changed: Condvar::new(),
            received: AtomicU64::new(0),
            live_connection: AtomicU64::new(0),
        };
        PeerClient { shared: Arc::new(shared), request: PhantomData }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    /// See [`PeerError`]; only [`PeerError::NotSent`] means that the call did not run.
    pub fn call(&self, request: &Request, timeout: Duration) -> Result<Reply, PeerError> {
        let (id, replies) = self.enqueue_call(request)?;
        match replies.recv_timeout(timeout) {
            Ok(outcome) => outcome,
            Err(_) => self.shared.give_up(id, &replies),
        }
    }

    /// Queues a one-way message. It may be lost even so, without notice.
    ///
    /// # Errors
    /// Always [`PeerError::NotSent`]: the queue is full, the peer is known to be unreachable, the
    /// message is too large, or the client is closed.
    pub fn send(&self, request: &Request) -> Result<(), PeerError> {
        let body = encode(&ToServer::OneWay(request)).map_err(|_| too_large())?;
        let mut state = self.shared.lock();
        self.admit(&mut state, body.len())?;
        push(&mut state, None, body);
        drop(state);
        self.shared.changed.notify_one();
        Ok(())
    }

    fn enqueue_call(
        &self,
        request: &Request,
    ) -> Result<(u64, Receiver<Result<Reply, PeerError>>), PeerError> {
        let mut state = self.shared.lock();
        let id = state.next_id;
        state.next_id += 1;
        drop(state);

        let body = encode(&ToServer::Call { id, request }).map_err(|_| too_large())?;
        let (sender, replies) = bounded(1);
        let mut state = self.shared.lock();
        self.admit(&mut state, body.len())?;
        push(&mut state, Some(id), body);
        state.calls.insert(id, PendingCall { sender, is_taken: false });
        drop(state);
        self.shared.changed.notify_one();
        Ok((id, replies))
    }

    /// Checks whether one more message may be queued, and starts the worker with the first one.
    fn admit(&self, state: &mut State<Reply>, bytes: usize) -> Result<(), PeerError> {
        let not_sent = |reason| Err(PeerError::NotSent(reason));
        let settings = &self.shared.settings;
        if state.is_closed {
            return not_sent(NotSentReason::Closed);
        }
        if let Some((until, cause)) = &state.backoff {
            if Instant::now() < *until {
                return not_sent(NotSentReason::Unreachable { cause: cause.clone() });
            }
        }
        let is_full = state.queue.len() >= settings.max_queued_messages;
        let has_room = state.queued_bytes + bytes <= settings.max_queued_bytes;
        if is_full || !(has_room || state.queue.is_empty()) {
            count(&settings.stats.queue_overflows);
            return not_sent(NotSentReason::QueueFull);
        }
        if !state.has_worker {
            let shared = self.shared.clone();
            let spawned = Builder::new()
                .name("peer-client".to_owned())
                .stack_size(WORKER_STACK_BYTES)
                .spawn(move || run_worker(&shared));
            if let Err(error) = spawned {
                return not_sent(NotSentReason::Unreachable { cause: error.to_string() });
            }
            state.has_worker = true;
        }
        Ok(())
    }
}

impl<Request, Reply> PeerClient<Request, Reply> {
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    pub fn stats(&self) -> &Arc<PeerStats> {
        &self.shared.settings.stats
    }

    /// Whether there is a verified connection now.
    pub fn is_connected(&self) -> bool {
        matches!(self.shared.lock().link, Link::Up { .. })
    }

    /// Closes the connection. Calls that wait end at once, and later ones are refused.
    pub fn close(&self) {
        let mut state = self.shared.lock();
        state.is_closed = true;
        self.shared.live_connection.store(0, Ordering::Release);
        state.fail_queued(&NotSentReason::Closed);
        state.fail_taken(UnknownReason::Closed);
        if let Some(socket) = state.socket.take() {
            let _ = socket.shutdown(Shutdown::Both);
        }
        drop(state);
        self.shared.changed.notify_one();
    }
}

impl<Request, Reply> Drop for PeerClient<Request, Reply> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<Request, Reply> fmt::Debug for PeerClient<Request, Reply> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").field("address", &self.shared.address).finish_non_exhaustive()
    }
}

fn push<Reply>(state: &mut State<Reply>, id: Option<u64>, body: Arc<[u8]>) {
    state.queued_bytes += body.len();
    state.queue.push_back(Queued { id, at: Instant::now(), body });
}

fn too_large() -> PeerError {
    PeerError::NotSent(NotSentReason::TooLarge)
}

impl<Reply> State<Reply> {
    /// Ends all calls that were not taken. Returns the number of one-way messages that are dropped.
    fn fail_queued(&mut self, reason: &NotSentReason) -> u64 {
        let mut one_way = 0;
        self.queued_bytes = 0;
        for queued in std::mem::take(&mut self.queue) {
            let Some(id) = queued.id else {
                one_way += 1;
                continue;
            };
            if let Some(call) = self.calls.remove(&id) {
                let _ = call.sender.send(Err(PeerError::NotSent(reason.clone())));
            }
        }
        one_way
    }

    /// Ends all calls of which a byte may have been written.
    fn fail_taken(&mut self, reason: UnknownReason) {
        self.taken_calls = 0;
        self.calls.retain(|_, call| {
            if call.is_taken {
                let _ = call.sender.send(Err(PeerError::OutcomeUnknown(reason)));
            }
            !call.is_taken
        });
    }

    /// Sets the time of the next attempt to connect.
    fn back_off(&mut self, settings: &PeerClientSettings, cause: String) {
        let doubled = settings.min_backoff_ms.saturating_mul(1 << self.failures.min(16));
        let longest = doubled.clamp(1, settings.max_backoff_ms.max(1));
        let wait = rand::rng().random_range(longest.div_ceil(2)..=longest);
        self.failures = self.failures.saturating_add(1);
        self.backoff = Some((Instant::now() + Duration::from_millis(wait), cause));
    }

    fn remove_call(&mut self, id: u64) -> Option<PendingCall<Reply>> {
        let call = self.calls.remove(&id)?;
        if call.is_taken {
            self.taken_calls -= 1;
        }
        Some(call)
    }
}

impl<Reply> Shared<Reply> {
    /// The state is valid after a panic of another thread as well.
    fn lock(&self) -> MutexGuard<'_, State<Reply>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a call whose timeout has passed.
    fn give_up(
        &self,
        id: u64,
        replies: &Receiver<Result<Reply, PeerError>>,
    ) -> Result<Reply, PeerError> {
        let mut state = self.lock();
        match state.remove_call(id) {
            Some(call) if call.is_taken => Err(PeerError::OutcomeUnknown(UnknownReason::Timeout)),
            Some(_) => {
                if let Some(index) = state.queue.iter().position(|queued| queued.id == Some(id)) {
                    let queued = state.queue.remove(index);
                    state.queued_bytes -= queued.map_or(0, |queued| queued.body.len());
                }
                Err(PeerError::NotSent(NotSentReason::Timeout))
            }
            // The outcome arrived in the meantime; it was sent under the lock.
            None => {
                replies.try_recv().unwrap_or(Err(PeerError::OutcomeUnknown(UnknownReason::Timeout)))
            }
        }
    }

    /// Moves messages that fit into one write from the queue to a batch. The second value tells
    /// whether a fault holds the queue back.
    fn take_batch(&self, state: &mut State<Reply>) -> (Vec<Arc<[u8]>>, bool) {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        while let Some(queued) = state.queue.front() {
            let fault = self.settings.faults.fault_to(self.address);
            let is_held = match fault {
                Some(LinkFault::Freeze) => true,
                Some(LinkFault::Delay(delay)) => queued.at.elapsed() < delay,
                Some(LinkFault::Drop) | None => false,
            };
            if is_held {
                return (batch, true);
            }
            if batch_bytes >= WRITE_BATCH_BYTES {
                break;
            }
            let Some(queued) = state.queue.pop_front() else { break };
            state.queued_bytes -= queued.body.len();
            batch_bytes += queued.body.len();
            if let Some(call) = queued.id.and_then(|id| state.calls.get_mut(&id)) {
                call.is_taken = true;
                state.taken_calls += 1;
            }
            if fault != Some(LinkFault::Drop) {
                batch.push(queued.body);
            }
        }
        (batch, false)
    }

    /// Marks the connection as lost and ends the calls that it may have carried.
    fn lose(&self, connection: u64) {
        let mut state = self.lock();
        if state.link != (Link::Up { connection }) {
            return;
        }
        state.link = Link::Lost;
        self.live_connection.store(0, Ordering::Release);
        state.fail_taken(UnknownReason::Disconnected);
        if !state.has_heard {
            // The peer may accept connections only to close them again, for example because it
            // does not understand the messages.
            state.back_off(&self.settings, "the peer closed the connection".to_owned());
        }
        if let Some(socket) = state.socket.take() {
            let _ = socket.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_one();
    }
}

/// What the worker knows about the silence of the connection.
struct Liveness {
    received: u64,

    /// When `received` last changed, or the connection was opened.
    heard_at: Instant,

    pinged_at: Option<Instant>,

    /// When calls began to be pending without a break.
    pending_since: Option<Instant>,
}

impl Liveness {
    fn new(received: u64) -> Liveness {
        Liveness { received, heard_at: Instant::now(), pinged_at: None, pending_since: None }
    }

    /// Returns when to look again, or what is due now.
    fn check(&mut self, received: u64, has_calls: bool, settings: &PeerClientSettings) -> Due {
        let now = Instant::now();
        if received != self.received {
            *self = Liveness { received, heard_at: now, pinged_at: None, ..*self };
        }
        self.pending_since = if has_calls { Some(self.pending_since.unwrap_or(now)) } else { None };
        if let Some(pinged_at) = self.pinged_at {
            let cut_at = pinged_at + Duration::from_millis(settings.ping_timeout_ms);
            return if now >= cut_at { Due::Cut } else { Due::At(cut_at) };
        }
        let idle_ping_at = self.heard_at + Duration::from_millis(settings.idle_ping_ms);
        let ping_at = match self.pending_since {
            Some(since) => idle_ping_at
                .min(since.max(self.heard_at) + Duration::from_millis(settings.ping_after_ms)),
            None => idle_ping_at,
        };
        if now < ping_at {
            return Due::At(ping_at);
        }
        self.pinged_at = Some(now);
        Due::Ping
    }
}

enum Due {
    Ping,
    Cut,
    At(Instant),
}

/// What the worker holds of the connection.
struct OpenLink {
    socket: Arc<TcpStream>,
    sealer: FrameSealer,
    liveness: Liveness,
    reader: JoinHandle<()>,
}

fn run_worker<Reply: DeserializeOwned + Send + 'static>(shared: &Arc<Shared<Reply>>) {
    let stats = &shared.settings.stats;
    let mut connections = 0;
    let mut link: Option<OpenLink> = None;
    let mut bytes = Vec::new();
    loop {
        match next_step(shared, link.as_mut().map(|link| &mut link.liveness)) {
            Step::Closed => {
                if link.is_some() {
                    count(&stats.connections_closed);
                }
                return;
            }
            Step::Lost => {
                count(&stats.connections_closed);
                // The last push of this connection ends before the first one of the next begins.
                if link.take().is_some_and(|link| link.reader.join().is_err()) {
                    tracing::error!(event = "peer_reader_panicked", peer = %shared.address);
                }
            }
            Step::Connect => match connect(shared)
                .and_then(|(socket, key)| open_link(shared, socket, key, connections + 1))
            {
                Ok(opened) => {
                    connections += 1;
                    count(&stats.connections_opened);
                    if connections > 1 {
                        count(&stats.reconnects);
                    }
                    link = Some(opened);
                }
                Err(cause) => fail_connect(shared, cause),
            },
            Step::Write(batch) => {
                let Some(OpenLink { socket, sealer, .. }) = link.as_mut() else { continue };
                for body in &batch {
                    sealer.seal(body, &mut bytes);
                }
                if (&**socket).write_all(&bytes).is_err() {
                    shared.lose(connections);
                } else {
                    stats.count_out(batch.len(), bytes.len());
                }
                bytes.clear();
                // A large message must not keep its memory for the life of the connection.
                bytes.shrink_to(WRITE_BATCH_BYTES);
            }
        }
    }
}

fn next_step<Reply>(shared: &Shared<Reply>, mut liveness: Option<&mut Liveness>) -> Step {
    let mut state = shared.lock();
    loop {
        if state.is_closed {
            return Step::Closed;
        }
        if state.link == Link::Lost {
            state.link = Link::Down;
            return Step::Lost;
        }
        let (Link::Up { connection }, Some(liveness)) = (state.link, liveness.as_deref_mut())
        else {
            if !state.queue.is_empty() {
                return Step::Connect;
            }
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        let (batch, is_held) = shared.take_batch(&mut state);
        if !batch.is_empty() {
            return Step::Write(batch);
        }
        let received = shared.received.load(Ordering::Acquire);
        let look_again = match liveness.check(received, state.taken_calls > 0, &shared.settings) {
            Due::Cut => {
                drop(state);
                count(&shared.settings.stats.silent_connections);
                shared.lose(connection);
                state = shared.lock();
                continue;
            }
            Due::Ping => {
                let fault = shared.settings.faults.fault_to(shared.address);
                if matches!(fault, Some(LinkFault::Drop | LinkFault::Freeze)) {
                    continue;
                }
                match encode(&ToServer::<()>::Ping) {
                    Ok(ping) => return Step::Write(vec![ping]),
                    Err(_) => continue,
                }
            }
            Due::At(at) => at,
        };
        let mut wait = look_again.saturating_duration_since(Instant::now());
        if is_held {
            wait = wait.min(POLL);
        }
        let waited = shared.changed.wait_timeout(state, wait);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn connect<Reply>(shared: &Shared<Reply>) -> Result<(TcpStream, ConnectionKey), String> {
    let settings = &shared.settings;
    let deadline = Instant::now() + Duration::from_millis(settings.connect_timeout_ms);
    while settings.faults.blocks_handshake(shared.address) {
        if Instant::now() >= deadline || shared.lock().is_closed {
            return Err("connecting timed out".to_owned());
        }
        std::thread::sleep(POLL);
    }
    let timeout = Duration::from_millis(settings.connect_timeout_ms.max(1));
    let socket = TcpStream::connect_timeout(&shared.address, timeout).map_err(in_words)?;
    socket.set_nodelay(true).map_err(in_words)?;
    let write_timeout = Duration::from_millis(settings.write_timeout_ms.max(1));
    socket.set_write_timeout(Some(write_timeout)).map_err(in_words)?;
    let deadline = Instant::now() + Duration::from_millis(settings.handshake_timeout_ms);
    let key = handshake::connect(&socket, &shared.secret, settings.advertised_address, deadline)
        .map_err(|error| match error {
            HandshakeError::Io(error) => in_words(error),
            HandshakeError::Rejected(reason) => {
                settings.stats.count_rejected(reason);
                format!("handshake failed: {}", reason.name())
            }
        })?;
    socket.set_read_timeout(None).map_err(in_words)?;
    Ok((socket, key))
}

#[expect(clippy::needless_pass_by_value, reason = "used as a function in map_err")]
fn in_words(error: std::io::Error) -> String {
    error.to_string()
}

/// Starts the reader of a new connection and lets messages go out on it.
fn open_link<Reply: DeserializeOwned + Send + 'static>(
    shared: &Arc<Shared<Reply>>,
    socket: TcpStream,
    key: ConnectionKey,
    connection: u64,
) -> Result<OpenLink, String> {
    let socket = Arc::new(socket);
    let mut state = shared.lock();
    if state.is_closed {
        return Err("closed".to_owned());
    }
    let opener = FrameOpener::new(key.clone(), Direction::ToClient);
    let (for_reader, reader_socket) = (shared.clone(), socket.clone());
    shared.live_connection.store(connection, Ordering::Release);
    // The reader waits for the lock of the state before it can mark the connection as lost.
    let reader = Builder::new()
        .name("peer-client-read".to_owned())
        .stack_size(WORKER_STACK_BYTES)
        .spawn(move || {
            let _guard = ReaderGuard { shared: &for_reader, connection };
            read_frames(&for_reader, &reader_socket, opener, connection);
        })
        .map_err(in_words)?;
    state.link = Link::Up { connection };
    state.socket = Some(socket.clone());
    state.has_heard = false;
    state.backoff = None;
    let received = shared.received.load(Ordering::Acquire);
    Ok(OpenLink {
        socket,
        sealer: FrameSealer::new(key, Direction::ToServer),
        liveness: Liveness::new(received),
        reader,
    })
}

fn fail_connect<Reply>(shared: &Shared<Reply>, cause: String) {
    let settings = &shared.settings;
    count(&settings.stats.connect_failures);
    tracing::debug!(event = "peer_connect_failed", peer = %shared.address, %cause);
    let mut state = shared.lock();
    state.back_off(settings, cause.clone());
    let dropped = state.fail_queued(&NotSentReason::Unreachable { cause });
    settings.stats.one_way_dropped.fetch_add(dropped, Ordering::Relaxed);
}

fn read_frames<Reply: DeserializeOwned>(
    shared: &Shared<Reply>,
    socket: &TcpStream,
    mut opener: FrameOpener,
    connection: u64,
) {
    let is_live = || shared.live_connection.load(Ordering::Acquire) == connection;
    let PeerClientSettings { stats, faults, .. } = &shared.settings;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, socket);
    let mut has_heard = false;
    loop {
        let body = match opener.read(&mut reader) {
            Ok(Some(body)) => body,
            Ok(None) => return,
            Err(error) => {
                count_frame_error(stats, shared.address, &error);
                return;
            }
        };
        stats.count_in(HEADER_BYTES + body.len());
        let is_admitted = faults.admit_received(shared.address, || !is_live());
        // What is left of a lost connection must not follow what the next one delivers.
        if !is_live() {
            return;
        }
        if !is_admitted {
            continue;
        }
        let Some(message) = decode::<ToClient<Reply>>(&body) else {
            stats.count_rejected(FrameRejectReason::Undecodable);
            tracing::warn!(event = "peer_frame_undecodable", peer = %shared.address);
            return;
        };
        drop(body);
        if !has_heard {
            has_heard = true;
            let mut state = shared.lock();
            state.has_heard = true;
            state.failures = 0;
        }
        shared.received.fetch_add(1, Ordering::Release);
        let (id, outcome) = match message {
            ToClient::Reply { id, reply } => (id, Ok(reply)),
            ToClient::NoReply { id } => {
                (id, Err(PeerError::OutcomeUnknown(UnknownReason::NoReply)))
            }
            ToClient::Push(message) => {
                (shared.on_push)(message);
                continue;
            }
            ToClient::Pong => continue,
        };
        let mut state = shared.lock();
        // A reply to a call that was given up has no entry any more.
        if let Some(call) = state.remove_call(id) {
            let _ = call.sender.send(outcome);
        }
    }
}

/// Marks the connection as lost when its reader ends, also by a panic in `on_push`.
struct ReaderGuard<'a, Reply> {
    shared: &'a Shared<Reply>,
    connection: u64,
}

impl<Reply> Drop for ReaderGuard<'_, Reply> {
    fn drop(&mut self) {
        self.shared.lose(self.connection);
    }
}
