//! Readiness endpoint for the load balancer.

use std::rc::Rc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, ResponseHead};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::shared::Shared;

/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Time within which a connection must send its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    let mut connection = Http1Connection::new(stream);
    loop {
        let Ok(Ok(head)) = timeout(IDLE_TIMEOUT, connection.read_request(MAX_HEAD_BYTES)).await
        else {
            return;
        };
        let status = match shared.dialect.is_readiness_request(&head.method, head.path()) {
            true if shared.is_ready() => 200,
            true => 503,
            false => 404,
        };
        let mut response = ResponseHead::new(status);
        response.headers.push("Content-Length", b"0");
        if !head.keeps_alive() {
            response.headers.push("Connection", b"close");
        }
        let mut bytes = Vec::new();
        response.encode(&mut bytes);
        if connection.write_all(&bytes).await.is_err() || !head.keeps_alive() {
            return;
        }
    }
}
