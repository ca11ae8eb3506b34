//! Server side of the operator API.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use mulberry_http::{HttpServer, HttpSettings, Method, Request, Response, StatusCode};
use mulberry_types::{Change, ChangeOutcome, ConfigurationVersion, RejectReason};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    AuditAnswer, BackendError, ErrorAnswer, ErrorCode, ErrorDetail, ErrorOutcome, LEADER_HEADER,
    MAX_AUDIT_LIMIT, MemberChange, OperatorBackend, OperatorTokens, TransferLeadership,
};

const DEFAULT_AUDIT_LIMIT: usize = 100;
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Serves the operator API until it is dropped.
#[derive(Debug)]
pub struct OperatorServer {
    http: HttpServer,
}

/// Bounds of the operator API: a few operators and their programs, configurations of some MiB.
pub fn operator_http_settings() -> HttpSettings {
    HttpSettings {
        max_connections: 256,
        max_requests_in_flight: 32,
        max_body_bytes: 8 * 1024 * 1024,
        max_buffered_bytes: 32 * 1024 * 1024,
        socket_threads: 1,
        ..HttpSettings::default()
    }
}

impl OperatorServer {
    /// Starts to serve.
    ///
    /// # Errors
    /// The listener or the server's threads cannot be set up.
    pub fn start(
        listener: TcpListener,
        settings: HttpSettings,
        tokens: OperatorTokens,
        backend: Arc<dyn OperatorBackend>,
    ) -> io::Result<OperatorServer> {
        let http = HttpServer::start(listener, settings, move |request, responder| {
            responder.send(answer(&tokens, &*backend, &request));
        })?;
        Ok(OperatorServer { http })
    }

    /// Address of the listener.
    pub fn local_address(&self) -> SocketAddr {
        self.http.local_address()
    }

    /// Accepts no more requests and waits for those in flight. Returns whether all of them ended
    /// within `timeout`.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.http.stop(timeout)
    }
}

/// Answers one request.
pub fn answer(
    tokens: &OperatorTokens,
    backend: &dyn OperatorBackend,
    request: &Request,
) -> Response {
    let token = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let Some(operator) = token.and_then(|token| tokens.operator(token)) else {
        return error(
            StatusCode::UNAUTHORIZED,
            ErrorCode::Unauthorized,
            "no operator has this token; send Authorization: Bearer with a valid one",
        )
        .header("www-authenticate", "Bearer");
    };
    route(backend, operator, request).unwrap_or_else(|failure| failure.answer(request))
}

/// Why a request gets no outcome.
enum Failure {
    Backend(BackendError),

    /// A field of the request is wrong; says which and the remedy.
    InvalidRequest(String),

    WrongMethod {
        allowed: &'static str,
    },
    NotFound,
}

impl From<BackendError> for Failure {
    fn from(error: BackendError) -> Failure {
        Failure::Backend(error)
    }
}

impl Failure {
    fn answer(self, request: &Request) -> Response {
        match self {
            Failure::Backend(error) => backend_error(&error, request),
            Failure::InvalidRequest(message) => {
                error(StatusCode::BAD_REQUEST, ErrorCode::InvalidRequest, &message)
            }
            Failure::WrongMethod { allowed } => {
                let message = format!("wrong method; use {allowed}");
                error(StatusCode::METHOD_NOT_ALLOWED, ErrorCode::MethodNotAllowed, &message)
                    .header("allow", allowed)
            }
            Failure::NotFound => {
                let message = "no such path; see the README of mulberry-operators";
                error(StatusCode::NOT_FOUND, ErrorCode::NotFound, message)
            }
        }
    }
}

fn route(
    backend: &dyn OperatorBackend,
    operator: &Arc<str>,
    request: &Request,
) -> Result<Response, Failure> {
    let get = request.method == Method::GET;
    let post = request.method == Method::POST;
    match request.path() {
        "/v1/changes" if post => submit_change(backend, operator, request),
        "/v1/configuration" if get => Ok(json(StatusCode::OK, &backend.configuration()?)),
        "/v1/audit" if get => audit(backend, request),
        "/v1/status" if get => Ok(json(StatusCode::OK, &backend.status()?)),
        "/v1/members" if post => {
            let change: MemberChange = parse(request)?;
            let result = backend.change_members(operator, &change);
            tracing::info!(event = "control_members_changed", %operator, ?change, ?result);
            result?;
            Ok(Response::json(StatusCode::OK, "{}"))
        }
        "/v1/leader/transfer" if post => {
            let TransferLeadership { to } = parse(request)?;
            let result = backend.transfer(operator, to);
            tracing::info!(event = "leadership_transferred", %operator, ?to, ?result);
            result?;
            Ok(Response::json(StatusCode::OK, "{}"))
        }
        "/v1/changes" | "/v1/members" | "/v1/leader/transfer" => {
            Err(Failure::WrongMethod { allowed: "POST" })
        }
        "/v1/configuration" | "/v1/audit" | "/v1/status" => {
            Err(Failure::WrongMethod { allowed: "GET" })
        }
        _ => Err(Failure::NotFound),
    }
}

fn submit_change(
    backend: &dyn OperatorBackend,
    operator: &Arc<str>,
    request: &Request,
) -> Result<Response, Failure> {
    let mut change: Change = parse(request)?;
    if change.id.0.is_empty() || change.id.0.len() > MAX_CHANGE_ID_BYTES {
        let message =
            format!("id: has {} bytes; use 1 to {MAX_CHANGE_ID_BYTES}", change.id.0.len());
        return Err(Failure::InvalidRequest(message));
    }
    // The audit trail names who holds the token, whatever the body says.
    change.operator = operator.clone();
    let id = change.id.clone();
    let result = backend.submit_change(change);
    tracing::info!(event = "change_submitted", %operator, id = %id.0, ?result);
    let outcome = result?;
    let status = match &outcome {
        ChangeOutcome::Accepted { .. } => StatusCode::OK,
        ChangeOutcome::Rejected { reason: RejectReason::Invalid { .. } } => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        ChangeOutcome::Rejected {
            reason: RejectReason::VersionConflict { .. } | RejectReason::IdReused,
        } => StatusCode::CONFLICT,
    };
    Ok(json(status, &outcome))
}

fn audit(backend: &dyn OperatorBackend, request: &Request) -> Result<Response, Failure> {
    let from_version = number(request, "from_version")?.unwrap_or(0);
    let limit = number(request, "limit")?.unwrap_or(DEFAULT_AUDIT_LIMIT as u64);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    if !(1..=MAX_AUDIT_LIMIT).contains(&limit) {
        let message = format!("limit: is {limit}; use 1 to {MAX_AUDIT_LIMIT}");
        return Err(Failure::InvalidRequest(message));
    }
    let records = backend.audit(ConfigurationVersion(from_version), limit)?;
    Ok(json(StatusCode::OK, &AuditAnswer { records }))
}

fn number(request: &Request, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = request.query(name).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number =
        text.parse().map_err(|_| Failure::InvalidRequest(format!("{name}: use a number")))?;
    Ok(Some(number))
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Failure> {
    let mut deserializer = serde_json::Deserializer::from_slice(&request.body);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| Failure::InvalidRequest(format!("{}: {}", error.path(), error.inner())))?;
    deserializer.end().map_err(|error| Failure::InvalidRequest(format!("body: {error}")))?;
    Ok(value)
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => Response::json(status, text),
        // Only maps with keys that are no text cannot be written, and there are none.
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn error(status: StatusCode, code: ErrorCode, message: &str) -> Response {
    error_detail(
        status,
        ErrorDetail {
            code,
            outcome: ErrorOutcome::NotRun,
            message: message.to_owned(),
            leader: None,
            retry_after_ms: None,
        },
    )
}

fn error_detail(status: StatusCode, error: ErrorDetail) -> Response {
    let retry_after_s = error.retry_after_ms.map(|ms| ms.div_ceil(1_000));
    let response = json(status, &ErrorAnswer { error });
    match retry_after_s {
        Some(seconds) => response.header("retry-after", &seconds.to_string()),
        None => response,
    }
}

fn backend_error(backend_error: &BackendError, request: &Request) -> Response {
    match backend_error {
        BackendError::NotLeader { leader_operator_address: Some(leader) } => {
            let detail = ErrorDetail {
                code: ErrorCode::NotLeader,
                outcome: ErrorOutcome::NotRun,
                message: format!("this instance does not lead; use {leader}"),
                leader: Some(*leader),
                retry_after_ms: None,
            };
            let target = request.uri.path_and_query().map_or("/", |target| target.as_str());
            error_detail(StatusCode::TEMPORARY_REDIRECT, detail)
                .header("location", &format!("http://{leader}{target}"))
                .header(LEADER_HEADER, &leader.to_string())
        }
        BackendError::NotLeader { leader_operator_address: None } => {
            let detail = ErrorDetail {
                code: ErrorCode::NotLeader,
                outcome: ErrorOutcome::NotRun,
                message: "no leader is known; retry, or try another instance".to_owned(),
                leader: None,
                // About the time of one election.
                retry_after_ms: Some(1_000),
            };
            error_detail(StatusCode::MISDIRECTED_REQUEST, detail)
        }
        BackendError::Unavailable { reason, retry_after_ms } => {
            let detail = ErrorDetail {
                code: ErrorCode::Unavailable,
                outcome: ErrorOutcome::NotRun,
                message: reason.to_string(),
                leader: None,
                retry_after_ms: Some(*retry_after_ms),
            };
            error_detail(StatusCode::SERVICE_UNAVAILABLE, detail)
        }
        BackendError::OutcomeUnknown { reason } => {
            let detail = ErrorDetail {
                code: ErrorCode::OutcomeUnknown,
                outcome: ErrorOutcome::Unknown,
                message: reason.to_string(),
                leader: None,
                retry_after_ms: None,
            };
            error_detail(StatusCode::GATEWAY_TIMEOUT, detail)
        }
        BackendError::Rejected { problem } => {
            error(StatusCode::CONFLICT, ErrorCode::Rejected, problem)
        }
    }
}
