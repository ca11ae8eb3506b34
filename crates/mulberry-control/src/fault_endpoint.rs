//! HTTP endpoint for fault injection on peer links, for tests with real processes.
//!
//! `POST /faults?peer=127.0.0.1:7102&direction=both&fault=drop` sets a fault, `fault=none` clears it.
//! Directions are `to`, `from` and `both`; faults are `drop`, `freeze`, `none` and `delay` with `ms`.
//! `DELETE /faults` clears all.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use mulberry_http::{HttpServer, HttpSettings, Method, Request, Response, StatusCode};
use mulberry_peers::{FaultDirection, LinkFault, LinkFaults};

/// Server of the endpoint. Started only if enabled in the settings.
#[derive(Debug)]
pub(crate) struct FaultEndpoint {
    _server: HttpServer,
}

impl FaultEndpoint {
    pub(crate) fn start(listener: TcpListener, faults: LinkFaults) -> io::Result<FaultEndpoint> {
        let settings = HttpSettings {
            max_connections: 16,
            max_requests_in_flight: 4,
            max_body_bytes: 1_024,
            socket_threads: 1,
            ..HttpSettings::default()
        };
        let server = HttpServer::start(listener, settings, move |request, responder| {
            responder.send(respond(&request, &faults));
        })?;
        tracing::warn!(
            event = "test_faults_enabled",
            remedy = "set test_faults to false outside tests"
        );
        Ok(FaultEndpoint { _server: server })
    }
}

fn respond(request: &Request, faults: &LinkFaults) -> Response {
    if request.path() != "/faults" {
        return Response::text(StatusCode::NOT_FOUND, "use /faults\n");
    }
    if request.method == Method::DELETE {
        faults.clear();
        return Response::text(StatusCode::OK, "cleared\n");
    }
    if request.method != Method::POST {
        return Response::text(StatusCode::METHOD_NOT_ALLOWED, "use POST or DELETE\n");
    }
    match parse_fault(request) {
        Some((peer, direction, fault)) => {
            faults.set(peer, direction, fault);
            tracing::warn!(event = "test_fault_set", %peer, ?direction, ?fault);
            Response::text(StatusCode::OK, "set\n")
        }
        None => Response::text(
            StatusCode::BAD_REQUEST,
            "use peer=IP:PORT, direction=to|from|both and fault=drop|freeze|none|delay with ms\n",
        ),
    }
}

fn parse_fault(request: &Request) -> Option<(SocketAddr, FaultDirection, Option<LinkFault>)> {
    let peer = request.query("peer")?.parse().ok()?;
    let direction = match request.query("direction")? {
        "to" => FaultDirection::ToPeer,
        "from" => FaultDirection::FromPeer,
        "both" => FaultDirection::Both,
        _ => return None,
    };
    let fault = match request.query("fault")? {
        "drop" => Some(LinkFault::Drop),
        "freeze" => Some(LinkFault::Freeze),
        "none" => None,
        "delay" => {
            let delay_ms = request.query("ms")?.parse().ok()?;
            Some(LinkFault::Delay(Duration::from_millis(delay_ms)))
        }
        _ => return None,
    };
    Some((peer, direction, fault))
}
