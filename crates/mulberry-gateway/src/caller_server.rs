//! Server for the connections of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use mulberry_http1::{
    BodyDecoder, Framing, HeadError, Http1Connection, ReadError, RequestHead, ResponseHead,
    limit_unsent, request_framing, watch_peer,
};
use mulberry_routes::RequestLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use crate::exchange::{self, AfterResponse};
use crate::held_memory::{BodyHold, HeldMemory};
use crate::metrics::RequestLabels;
use crate::settings::CALLER_ACK_TIMEOUT;
use crate::shared::{CountGuard, Shared};

/// Interval at which an idle connection checks whether the gateway is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the stop signal for which idle connections stay open, until the load balancer has noticed.
const IDLE_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// Timeout for receiving a request body.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a connection stays open after an error response, so that the caller can read it before the reset
/// that unread bytes cause.
const LINGER: Duration = Duration::from_millis(300);

/// `Retry-After` if the memory for bodies is used up.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Unsent bytes that the kernel keeps for a caller while reading ahead is on. The others are counted here.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers until `closed` resolves, including those already in the accept queue by then.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Rc<Shared>,
    mut closed: oneshot::Receiver<Infallible>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) if shared.connections.get() < shared.settings.max_connections => {
                tokio::task::spawn_local(serve_connection(stream, shared.clone()));
            }
            Ok(_) => {
                tracing::warn!(
                    event = "connection_refused",
                    connections = shared.connections.get()
                );
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    let _counted = CountGuard::new(&shared.connections, &shared.metrics.connections);
    if let Err(error) = watch_peer(&stream, CALLER_ACK_TIMEOUT) {
        tracing::debug!(event = "connection_not_prepared", %error);
        return;
    }
    if shared.held_memory.is_enabled()
        && let Err(error) = limit_unsent(&stream, MAX_UNSENT_BYTES)
    {
        tracing::debug!(event = "unsent_not_limited", %error);
    }
    let mut client = Http1Connection::new(stream);
    loop {
        let limits = shared.table().map_or_else(RequestLimits::default, |t| t.config().limits);
        if !wait_for_request(&mut client, &shared, limits).await {
            return;
        }
        let arrived = Instant::now();
        let head_time = Duration::from_millis(limits.header_timeout_ms);
        let max_head = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
        let head = match timeout(head_time, client.read_request(max_head)).await {
            Ok(Ok(head)) => head,
            Ok(Err(error)) => return refuse(&mut client, status_of(&error), &error).await,
            Err(_) => {
                return refuse(&mut client, Some(408), &"timed out waiting for the request head")
                    .await;
            }
        };
        let _active = CountGuard::new(&shared.active, &shared.metrics.active_requests);
        let read = read_body(&mut client, &shared.held_memory, &head, limits);
        let body = match timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyRefusal::Unreadable(error))) => {
                return refuse(&mut client, status_of(&error), &error).await;
            }
            Ok(Err(BodyRefusal::MemoryUsedUp)) => {
                let labels = RequestLabels { kind: "none", outcome: "refused" };
                shared.metrics.requests.get_or_create(&labels).inc();
                return refuse(&mut client, Some(503), &"the memory for bodies is used up").await;
            }
            Err(_) => {
                return refuse(&mut client, Some(408), &"timed out waiting for the request body")
                    .await;
            }
        };
        if exchange::serve(&shared, &mut client, head, body, arrived).await == AfterResponse::Close
        {
            // Shuts the connection down cleanly before it is dropped.
            if let Err(error) = client.shutdown().await {
                tracing::debug!(event = "shutdown_failed", %error);
            }
            return;
        }
    }
}

/// Waits for the first byte of a request. Returns false if the connection should be closed.
async fn wait_for_request(
    client: &mut Http1Connection,
    shared: &Shared,
    limits: RequestLimits,
) -> bool {
    let idle_until = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
    let mut stop_until: Option<Instant> = None;
    loop {
        match timeout(STOP_CHECK_INTERVAL, client.wait_for_message()).await {
            Ok(Ok(())) => return true,
            Ok(Err(_)) => return false,
            Err(_) => {}
        }
        let now = Instant::now();
        if shared.is_stopping.get() {
            let until = *stop_until.get_or_insert(now + IDLE_AFTER_STOP);
            if now >= until {
                return false;
            }
        }
        if now >= idle_until {
            return false;
        }
    }
}

/// Why a body was not taken.
pub(crate) enum BodyRefusal {
    Unreadable(ReadError),
    MemoryUsedUp,
}

impl From<ReadError> for BodyRefusal {
    fn from(error: ReadError) -> BodyRefusal {
        BodyRefusal::Unreadable(error)
    }
}

/// Reads the body of a request, and counts it if that is on: before it comes if its length is known.
pub(crate) async fn read_body(
    client: &mut Http1Connection,
    memory: &Rc<HeldMemory>,
    head: &RequestHead,
    limits: RequestLimits,
) -> Result<(Vec<u8>, Option<BodyHold>), BodyRefusal> {
    let max_body = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let framing = request_framing(head).map_err(ReadError::Head)?;
    if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes) {
        return Err(ReadError::BodyTooLong.into());
    }
    let hold = |bytes| match memory.is_enabled() && bytes > 0 {
        true => memory.hold_body(bytes).map(Some).ok_or(BodyRefusal::MemoryUsedUp),
        false => Ok(None),
    };
    let held = match framing {
        Framing::Length(length) => Some(hold(length as usize)?),
        Framing::Chunked | Framing::UntilClose => None,
    };
    if head.headers.has_token("expect", "100-continue") {
        client.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(ReadError::Io)?;
    }
    let body = client.read_whole_body(BodyDecoder::new(framing), max_body).await?;
    let held = match held {
        Some(held) => held,
        None => hold(body.len())?,
    };
    Ok((body, held))
}

/// Returns the status for an unreadable request; `None` if the caller has disconnected.
fn status_of(error: &ReadError) -> Option<u16> {
    match error {
        ReadError::HeadTooLong | ReadError::Head(HeadError::TooManyFields) => Some(431),
        ReadError::BodyTooLong => Some(413),
        _ if error.is_disconnect() => None,
        _ => Some(400),
    }
}

/// Responds to an unreadable request and closes the connection.
async fn refuse(
    client: &mut Http1Connection,
    status: Option<u16>,
    reason: &impl std::fmt::Display,
) {
    let Some(status) = status else { return };
    tracing::info!(event = "request_unreadable", status, reason = %reason);
    let body = format!("{reason}\n");
    let mut head = ResponseHead::new(status);
    head.headers.push("Content-Type", b"text/plain; charset=utf-8");
    head.headers.push("Content-Length", body.len().to_string().as_bytes());
    if status == 503 {
        let seconds = format!("{:.3}", BODY_RETRY_AFTER.as_secs_f64());
        head.headers.push("Retry-After", seconds.as_bytes());
    }
    head.headers.push("Connection", b"close");
    let mut bytes = Vec::new();
    head.encode(&mut bytes);
    bytes.extend_from_slice(body.as_bytes());
    if client.write_all(&bytes).await.is_ok() && client.shutdown().await.is_ok() {
        let _ = timeout(LINGER, client.wait_closed()).await;
    }
}
