//! Metrics for a process that runs on one thread.

use std::sync::PoisonError;
use std::time::Duration;

use mulberry_http1::{Http1Connection, ResponseHead};
use prometheus_client::encoding::text::encode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::SharedRegistry;
use crate::platform_server::METRICS_TYPE;

/// Longest head of a request for metrics.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Time for one request for metrics.
const REQUEST: Duration = Duration::from_secs(5);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the metrics on any path, one request for each connection, for good.
pub async fn serve_metrics(listener: TcpListener, registry: SharedRegistry) {
    loop {
        match listener.accept().await {
            // One after the other: metrics are read by few, and must not take the time of requests.
            Ok((stream, _)) => {
                let _ = timeout(REQUEST, answer(stream, &registry)).await;
            }
            Err(error) => {
                tracing::warn!(event = "metrics_accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, registry: &SharedRegistry) {
    let mut connection = Http1Connection::new(stream);
    if connection.read_request(MAX_HEAD_BYTES).await.is_err() {
        return;
    }
    let mut text = String::new();
    let encoded = encode(&mut text, &registry.lock().unwrap_or_else(PoisonError::into_inner));
    let mut head = ResponseHead::new(if encoded.is_ok() { 200 } else { 500 });
    head.headers.push("Content-Type", METRICS_TYPE.as_bytes());
    head.headers.push("Content-Length", text.len().to_string().as_bytes());
    head.headers.push("Connection", b"close");
    let mut bytes = Vec::with_capacity(text.len() + 256);
    head.encode(&mut bytes);
    bytes.extend_from_slice(text.as_bytes());
    if let Err(error) = connection.write_all(&bytes).await {
        tracing::debug!(event = "metrics_not_sent", %error);
    }
}
