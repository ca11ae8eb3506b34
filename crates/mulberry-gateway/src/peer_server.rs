//! Serves requests that other gateways pass on because they reach no target.

use std::rc::Rc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, watch_peer};
use mulberry_routes::RequestLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::caller_server::{BODY_TIMEOUT, read_body};
use crate::exchange;
use crate::passed_request::PassedRequest;
use crate::settings::CALLER_ACK_TIMEOUT;
use crate::shared::{CountGuard, Shared};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes of a head beyond those of callers, for what the other gateway adds.
const ADDED_HEAD_BYTES: usize = 4 * 1024;

/// Serves until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, shared.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one request. The other gateway may pause reading like a caller, and takes a close without a response for a
/// request that may have run.
async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    if let Err(error) = watch_peer(&stream, CALLER_ACK_TIMEOUT) {
        tracing::debug!(event = "connection_not_prepared", %error);
        return;
    }
    let mut client = Http1Connection::new(stream);
    if shared.connections.get() >= shared.settings.max_connections {
        return exchange::decline(&mut client, "too many connections").await;
    }
    let _counted = CountGuard::new(&shared.connections, &shared.metrics.connections);
    let limits = shared.table().map_or_else(RequestLimits::default, |t| t.config().limits);
    let head_time = Duration::from_millis(limits.header_timeout_ms);
    let max_head = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    let max_head = max_head.saturating_add(ADDED_HEAD_BYTES);
    let arrived = Instant::now();
    let Ok(Ok(mut head)) = timeout(head_time, client.read_request(max_head)).await else { return };
    let _active = CountGuard::new(&shared.active, &shared.metrics.active_requests);
    let Some(passed) = PassedRequest::take(&mut head.headers) else { return };
    let read = read_body(&mut client, &shared.held_memory, &head, limits);
    let Ok(Ok(body)) = timeout(BODY_TIMEOUT, read).await else {
        return exchange::decline(&mut client, "the body was not taken").await;
    };
    exchange::serve_passed(&shared, &mut client, head, body, (passed, arrived)).await;
    if let Err(error) = client.shutdown().await {
        tracing::debug!(event = "shutdown_failed", %error);
    }
}
