//! HTTP server for the announcements of targets.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use mulberry_http::{HttpServer, HttpSettings, Method, Request, Response, StatusCode};
use mulberry_targets::parse_announcement;

use crate::entry::Entry;

const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Starts the server for targets.
///
/// # Errors
/// The server cannot be started.
pub fn start_target_server(listener: TcpListener, entry: Arc<Entry>) -> io::Result<HttpServer> {
    let settings = HttpSettings {
        max_body_bytes: MAX_ANNOUNCEMENT_BYTES,
        max_requests_in_flight: 64,
        socket_threads: 1,
        ..HttpSettings::default()
    };
    HttpServer::start(listener, settings, move |request, responder| {
        responder.send(handle(&entry, &request));
    })
}

fn handle(entry: &Entry, request: &Request) -> Response {
    if request.method != Method::POST || request.path() != "/targets/announce" {
        let message = "use POST /targets/announce";
        return Response::error(StatusCode::NOT_FOUND, "unknown_route", "not_run", message);
    }
    let announcement = match parse_announcement(request) {
        Ok(announcement) => announcement,
        Err(response) => return *response,
    };
    match entry.handle_announcement(announcement) {
        Ok(()) => Response::json(StatusCode::OK, r#"{"accepted":true}"#),
        Err(refused) => {
            let retry_after_s = refused.retry_after_ms.div_ceil(1_000).to_string();
            let message = "no home can take the announcement now; announce to another entry";
            Response::error(StatusCode::SERVICE_UNAVAILABLE, "no_home", "not_run", message)
                .header("retry-after", &retry_after_s)
        }
    }
}
