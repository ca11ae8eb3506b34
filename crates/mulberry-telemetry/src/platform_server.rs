//! `/livez`, `/readyz` and `/metrics`.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};

use mulberry_http::{HttpServer, HttpSettings, Method, Request, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::Health;

/// Media type of the metrics text.
pub(crate) const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Registry that is read by `/metrics`; metrics are registered at start.
pub type SharedRegistry = Arc<Mutex<Registry>>;

/// Server of the platform's endpoints.
#[derive(Debug)]
pub struct PlatformServer {
    server: HttpServer,
}

impl PlatformServer {
    /// Serves the endpoints on a listener.
    ///
    /// # Errors
    /// The server cannot be started.
    pub fn start(
        listener: TcpListener,
        health: Arc<Health>,
        registry: SharedRegistry,
    ) -> io::Result<PlatformServer> {
        let settings = HttpSettings {
            max_connections: 64,
            max_requests_in_flight: 16,
            max_body_bytes: 1024,
            socket_threads: 1,
            ..HttpSettings::default()
        };
        let server = HttpServer::start(listener, settings, move |request, responder| {
            responder.send(answer(&request, &health, &registry));
        })?;
        Ok(PlatformServer { server })
    }

    /// Address of the listener.
    pub fn local_address(&self) -> std::net::SocketAddr {
        self.server.local_address()
    }
}

fn answer(request: &Request, health: &Health, registry: &SharedRegistry) -> Response {
    if request.method != Method::GET {
        return Response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
    }
    match request.path() {
        "/livez" => Response::text(StatusCode::OK, "ok\n"),
        "/readyz" if health.is_ready() => Response::text(StatusCode::OK, "ready\n"),
        "/readyz" => Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => metrics(registry),
        _ => Response::text(StatusCode::NOT_FOUND, "use /livez, /readyz or /metrics\n"),
    }
}

fn metrics(registry: &SharedRegistry) -> Response {
    let mut text = String::new();
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    match encode(&mut text, &registry) {
        Ok(()) => Response::with_type(StatusCode::OK, METRICS_TYPE, text),
        Err(_) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, "cannot encode metrics\n"),
    }
}
