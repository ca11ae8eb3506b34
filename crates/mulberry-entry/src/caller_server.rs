//! HTTP server and routes of the caller API.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

use mulberry_callers::{CallerError, Endpoint, ErrorCode, Outcome, models_body};
use mulberry_http::{HttpServer, HttpSettings, Method, Request, Responder, Response, StatusCode};
use mulberry_types::ServiceKind;

use crate::claims::Claims;
use crate::completion::serve_completion;
use crate::entry::Entry;
use crate::service_call::serve_service;

/// Starts the server for callers.
///
/// # Errors
/// The server cannot be started.
pub fn start_caller_server(
    listener: TcpListener,
    entry: Arc<Entry>,
    claims: Claims,
) -> io::Result<HttpServer> {
    let settings = HttpSettings {
        max_requests_in_flight: entry.settings.max_requests_in_flight,
        max_body_bytes: entry.settings.max_body_bytes,
        ..HttpSettings::default()
    };
    HttpServer::start(listener, settings, move |request, responder| {
        route(&entry, &claims, &request, responder);
    })
}

fn route(entry: &Entry, claims: &Claims, request: &Request, responder: Responder) {
    let started = Instant::now();
    let path = request.path();
    if let Some(endpoint) = Endpoint::of_path(path) {
        if request.method == Method::POST {
            return serve_completion(entry, endpoint, request, responder, started);
        }
        return responder.send(wrong_method("POST"));
    }
    if path.starts_with("/services/") {
        return serve_service(entry, claims, request, responder, started);
    }
    if path == "/v1/models" {
        if request.method == Method::GET {
            return responder
                .send(models(entry, request).unwrap_or_else(|error| error.to_response()));
        }
        return responder.send(wrong_method("GET"));
    }
    let message = "there is no such route; use /v1/chat/completions, /v1/completions, /v1/models \
                   or /services/NAME/";
    let error = CallerError::new(ErrorCode::UnknownRoute, Outcome::NotRun, message);
    responder.send(error.to_response());
}

fn models(entry: &Entry, request: &Request) -> Result<Response, CallerError> {
    let active = entry.configuration.current();
    active.api_keys.authenticate(request)?;
    let services = active.configuration.services.iter();
    let models: Vec<_> = services
        .filter(|(_, service)| matches!(service.kind, ServiceKind::Model { .. }))
        .map(|(name, _)| name.clone())
        .collect();
    Ok(Response::json(StatusCode::OK, models_body(&models)))
}

fn wrong_method(allowed: &str) -> Response {
    let message = format!("use {allowed} for this route");
    Response::error(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "not_run", &message)
        .header("allow", allowed)
}
