//! The server: accepts connections within bounds and calls the handler.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::body::AnswerBody;
use crate::responder::Answer;
use crate::{HttpSettings, Request, Responder, Response};

/// Pause after a failed accept, such as one without a free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after the listener has closed for the requests of those that have just connected; callers send theirs at once.
const LAST_REQUESTS: Duration = Duration::from_millis(200);

/// Time before the end of a stop at which requests without an answer get one.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Time between two looks at what is left while stopping.
const STOP_CHECK: Duration = Duration::from_millis(10);

/// Progress of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    Running,

    /// No more connections are accepted; requests in flight are waited for.
    Draining,

    /// Requests without an answer get one now, since they would be cut otherwise.
    Answering,
}

type Handler = dyn Fn(Request, Responder) + Send + Sync;

/// Counters of a server.
#[derive(Debug, Default)]
pub struct HttpStats {
    /// Open connections.
    pub connections: AtomicUsize,

    /// Requests in handlers.
    pub in_flight: AtomicUsize,

    /// Bytes of bodies being received.
    pub buffered_bytes: AtomicUsize,

    /// Connections closed because there were too many.
    pub refused_connections: AtomicU64,

    /// Requests answered with an error before they reached the handler.
    pub refused_requests: AtomicU64,
}

/// A running HTTP server. Dropping it closes all connections.
pub struct HttpServer {
    local_address: SocketAddr,
    shared: Arc<Shared>,
    phase: watch::Sender<StopPhase>,

    /// Ends once no more connections are accepted.
    accepting: JoinHandle<()>,

    runtime: Option<Runtime>,
}

struct Shared {
    settings: HttpSettings,
    stats: HttpStats,
    handler: Box<Handler>,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer").field("local_address", &self.local_address).finish()
    }
}

impl HttpServer {
    /// Serves a listener until the server is stopped or dropped.
    ///
    /// # Errors
    /// The listener or the runtime's threads cannot be set up.
    pub fn start(
        listener: TcpListener,
        settings: HttpSettings,
        handler: impl Fn(Request, Responder) + Send + Sync + 'static,
    ) -> io::Result<HttpServer> {
        listener.set_nonblocking(true)?;
        let local_address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.socket_threads)
            .max_blocking_threads(settings.max_requests_in_flight)
            .thread_name("http")
            .enable_all()
            .build()?;
        let shared =
            Arc::new(Shared { settings, stats: HttpStats::default(), handler: Box::new(handler) });
        let (phase, phases) = watch::channel(StopPhase::Running);
        let listener = {
            let _context = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        let accepting = runtime.spawn(accept(listener, shared.clone(), phases));
        Ok(HttpServer { local_address, shared, phase, accepting, runtime: Some(runtime) })
    }

    /// Address of the listener.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counters of this server.
    pub fn stats(&self) -> &HttpStats {
        &self.shared.stats
    }

    /// Accepts no more connections, closes those that send no request within a moment, and waits for the requests in
    /// flight. Shortly before the end of `timeout`, requests that have no answer yet get an error.
    ///
    /// Returns whether all of them ended by themselves.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.phase.send_replace(StopPhase::Draining);
        let end = Instant::now() + timeout;
        let is_open = || self.shared.stats.connections.load(Ordering::Acquire) > 0;
        while !self.accepting.is_finished() || is_open() {
            let now = Instant::now();
            if now >= end {
                return false;
            }
            if now + LAST_ANSWERS >= end {
                self.phase.send_replace(StopPhase::Answering);
            }
            std::thread::sleep(STOP_CHECK);
        }
        *self.phase.borrow() < StopPhase::Answering
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Lowers a counter again when dropped.
struct Counted<'a>(&'a AtomicUsize, usize);

impl<'a> Counted<'a> {
    /// Adds `amount` unless the counter would pass `limit`.
    fn new(counter: &'a AtomicUsize, amount: usize, limit: usize) -> Option<Counted<'a>> {
        let before = counter.fetch_add(amount, Ordering::AcqRel);
        let counted = Counted(counter, amount);
        (before + amount <= limit).then_some(counted)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::AcqRel);
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    /// `None` when there are too many.
    fn count(shared: &Arc<Shared>) -> Option<OpenConnection> {
        let before = shared.stats.connections.fetch_add(1, Ordering::AcqRel);
        let counted = OpenConnection(shared.clone());
        (before < shared.settings.max_connections).then_some(counted)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.stats.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Status and code of a request that is refused before it reaches the handler.
struct Refusal(StatusCode, &'static str);

async fn accept(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
    mut phases: watch::Receiver<StopPhase>,
) {
    loop {
        let accepted = tokio::select! {
            // Those that have connected before a stop are served.
            biased;
            accepted = listener.accept() => accepted,
            () = stop_requested(&mut phases) => return,
        };
        match accepted {
            Ok((stream, remote)) => {
                // Counted before its task runs, so that a stop waits for it.
                let Some(open) = OpenConnection::count(&shared) else {
                    shared.stats.refused_connections.fetch_add(1, Ordering::Relaxed);
                    continue;
                };
                tokio::spawn(serve(stream, remote, open, phases.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    remote: SocketAddr,
    open: OpenConnection,
    phases: watch::Receiver<StopPhase>,
) {
    let shared = &open.0;
    // Without this, each small event of a stream may wait for an acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let (shared, phases) = (shared.clone(), phases.clone());
        async move { Ok::<_, Infallible>(answer(&shared, request, remote, phases).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(shared.settings.header_timeout_ms))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut ended = phases.clone();
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = end_requested(&mut ended) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%remote, %error, "connection_ended");
    }
}

/// Resolves when connections without a request are to be closed.
async fn end_requested(phases: &mut watch::Receiver<StopPhase>) {
    stop_requested(phases).await;
    tokio::time::sleep(LAST_REQUESTS).await;
}

/// Resolves when requests without an answer must get one.
async fn answers_due(phases: &mut watch::Receiver<StopPhase>) {
    if phases.wait_for(|phase| *phase == StopPhase::Answering).await.is_err() {
        // The server was dropped, which cuts this request.
        std::future::pending::<()>().await;
    }
}

async fn stop_requested(phases: &mut watch::Receiver<StopPhase>) {
    // An error means that the server was dropped, which stops it as well.
    let _ = phases.wait_for(|phase| *phase >= StopPhase::Draining).await;
}

async fn answer(
    shared: &Arc<Shared>,
    request: hyper::Request<Incoming>,
    remote: SocketAddr,
    mut phases: watch::Receiver<StopPhase>,
) -> hyper::Response<AnswerBody> {
    let received = tokio::select! {
        biased;
        received = receive(shared, request, remote) => received,
        () = answers_due(&mut phases) => {
            Err(Refusal(StatusCode::SERVICE_UNAVAILABLE, "server_stopping"))
        }
    };
    let answer = match received {
        Ok(request) => handle(shared, request, phases).await,
        Err(refusal) => {
            shared.stats.refused_requests.fetch_add(1, Ordering::Relaxed);
            refuse(&refusal)
        }
    };
    let mut response = hyper::Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Reads the whole request, or returns the answer that refuses it.
async fn receive(
    shared: &Shared,
    request: hyper::Request<Incoming>,
    remote: SocketAddr,
) -> Result<Request, Refusal> {
    let limit = Duration::from_millis(shared.settings.body_timeout_ms);
    let (head, body) = request.into_parts();
    let body = tokio::time::timeout(limit, receive_body(shared, body))
        .await
        .unwrap_or_else(|_| Err(Refusal(StatusCode::REQUEST_TIMEOUT, "body_timeout")))?;
    Ok(Request { method: head.method, uri: head.uri, headers: head.headers, body, remote })
}

async fn receive_body(shared: &Shared, mut body: Incoming) -> Result<Bytes, Refusal> {
    let settings = &shared.settings;
    let too_large = || Refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    if body.size_hint().lower() > settings.max_body_bytes as u64 {
        return Err(too_large());
    }
    let mut received = BytesMut::new();
    let mut buffered = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal(StatusCode::BAD_REQUEST, "body_incomplete"))?;
        let Ok(data) = frame.into_data() else { continue };
        if received.len() + data.len() > settings.max_body_bytes {
            return Err(too_large());
        }
        let counter = &shared.stats.buffered_bytes;
        let counted = Counted::new(counter, data.len(), settings.max_buffered_bytes)
            .ok_or(Refusal(StatusCode::SERVICE_UNAVAILABLE, "server_busy"))?;
        buffered.push(counted);
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}

async fn handle(
    shared: &Arc<Shared>,
    request: Request,
    mut phases: watch::Receiver<StopPhase>,
) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let write_timeout = Duration::from_millis(shared.settings.write_timeout_ms);
    let responder = Responder::new(sender, Handle::current(), write_timeout);
    let shared = shared.clone();
    let limit = shared.settings.max_requests_in_flight;
    if shared.stats.in_flight.fetch_add(1, Ordering::AcqRel) >= limit {
        shared.stats.in_flight.fetch_sub(1, Ordering::AcqRel);
        return refuse(&Refusal(StatusCode::SERVICE_UNAVAILABLE, "server_busy"));
    }
    tokio::task::spawn_blocking(move || {
        let _in_flight = Counted(&shared.stats.in_flight, 1);
        (shared.handler)(request, responder);
    });
    let answered = tokio::select! {
        biased;
        answered = receiver => answered,
        () = answers_due(&mut phases) => {
            return to_answer(Response::error(
                StatusCode::GATEWAY_TIMEOUT,
                "server_stopped",
                "unknown",
                "this instance has stopped before the request ended",
            ));
        }
    };
    answered.unwrap_or_else(|_| {
        to_answer(Response::error(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal_error",
            "unknown",
            "the request ended without an answer; see the log of this instance",
        ))
    })
}

fn refuse(&Refusal(status, code): &Refusal) -> Answer {
    let message = match code {
        "body_timeout" => "the body did not arrive in time; send it faster",
        "body_too_large" => "the body is too large; send a shorter one",
        "body_incomplete" => "the body ended early or is malformed; send it whole",
        "server_stopping" => "this instance is stopping; send the request again",
        _ => "too many requests at once; retry after the given time",
    };
    let response = Response::error(status, code, "not_run", message);
    let response = match status {
        StatusCode::SERVICE_UNAVAILABLE => response.header("retry-after", "1"),
        // The rest of the body is not read, so the connection cannot serve another request.
        _ => response.header("connection", "close"),
    };
    to_answer(response)
}

fn to_answer(response: Response) -> Answer {
    let Response { status, headers, body } = response;
    Answer { status, headers, body: AnswerBody::Whole(Some(body)) }
}
