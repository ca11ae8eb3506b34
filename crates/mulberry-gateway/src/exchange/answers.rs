//! Answers to callers.

use std::time::Duration;

use mulberry_http1::{Http1Connection, ResponseHead};

use super::{GivenUp, Next};

pub(super) fn stream_head(answer: &ResponseHead, keeps_alive: bool) -> ResponseHead {
    let mut head = answer.clone();
    head.headers.remove_connection_fields();
    head.headers.remove("content-length");
    head.headers.push("Transfer-Encoding", b"chunked");
    if !keeps_alive {
        head.headers.push("Connection", b"close");
    }
    head
}

/// Sends a whole answer of a target.
pub(super) async fn send_whole(
    client: &mut Http1Connection,
    mut head: ResponseHead,
    body: &[u8],
    keeps_alive: bool,
) -> Next {
    head.headers.remove_connection_fields();
    head.headers.set("Content-Length", body.len().to_string().as_bytes());
    if !keeps_alive {
        head.headers.push("Connection", b"close");
    }
    send(client, &head, body, keeps_alive).await
}

/// Sends an answer of the gateway itself.
pub(super) async fn send_own(
    client: &mut Http1Connection,
    given_up: &GivenUp,
    reason: &str,
    keeps_alive: bool,
) -> Next {
    let body = format!("{reason}\n");
    let mut head = ResponseHead::new(given_up.status);
    head.headers.push("Content-Type", b"text/plain; charset=utf-8");
    head.headers.push("Content-Length", body.len().to_string().as_bytes());
    if let Some(retry_after_ms) = given_up.retry_after_ms {
        let seconds = format!("{:.3}", Duration::from_millis(retry_after_ms).as_secs_f64());
        head.headers.push("Retry-After", seconds.as_bytes());
    }
    if !keeps_alive {
        head.headers.push("Connection", b"close");
    }
    send(client, &head, body.as_bytes(), keeps_alive).await
}

async fn send(
    client: &mut Http1Connection,
    head: &ResponseHead,
    body: &[u8],
    keeps_alive: bool,
) -> Next {
    let mut bytes = Vec::with_capacity(512 + body.len());
    head.encode(&mut bytes);
    bytes.extend_from_slice(body);
    let is_sent = client.write_all(&bytes).await.is_ok();
    if is_sent && keeps_alive { Next::KeepAlive } else { Next::Close }
}
