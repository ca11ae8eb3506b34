//! Calls of plain services.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mulberry_http::header::{HeaderName, HeaderValue};
use mulberry_http::{Bytes, HeaderMap, Method, StatusCode};
use mulberry_http1::{BodyDecoder, Headers, RequestHead, response_framing};
use mulberry_types::RequestId;

use crate::service_connection::ServiceConnection;
use crate::{ServiceError, forwarded_headers};

/// Time limits and bounds of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceClientSettings {
    /// Time to connect.
    pub connect_timeout_ms: u64,

    /// Longest answer.
    pub max_answer_bytes: u64,

    /// Maximum length of all answers that are being read at the same time. A faulty service sends without end, and each
    /// call reads up to the longest answer.
    pub max_reading_bytes: usize,
}

impl Default for ServiceClientSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 500, max_answer_bytes: 16 << 20, max_reading_bytes: 64 << 20 }
    }
}

/// Client for plain services. Each call uses a connection of its own.
#[derive(Debug, Clone, Default)]
pub struct ServiceClient {
    settings: ServiceClientSettings,

    /// Bytes of the answers that are being read, of this client and its clones.
    reading_bytes: Arc<AtomicUsize>,
}

/// One call.
#[derive(Debug, Clone)]
pub struct ServiceCall<'a> {
    pub address: SocketAddr,
    pub request: RequestId,
    pub method: &'a Method,

    /// Path and query behind `/services/{name}`, starting with `/`.
    pub path_and_query: &'a str,

    /// Headers as the caller sent them.
    pub headers: &'a HeaderMap,

    pub body: &'a Bytes,
    pub deadline: Instant,
}

/// Answer of a service.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl ServiceClient {
    pub fn new(settings: ServiceClientSettings) -> ServiceClient {
        ServiceClient { settings, reading_bytes: Arc::default() }
    }

    /// Makes one attempt at a call.
    ///
    /// # Errors
    /// The service cannot be reached, or its answer was lost or is too long.
    pub fn call(&self, call: &ServiceCall<'_>) -> Result<ServiceAnswer, ServiceError> {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ServiceError::NotSent { problem: "the deadline has passed".to_owned() });
        }
        let timeout = Duration::from_millis(self.settings.connect_timeout_ms);
        let mut connection = ServiceConnection::connect(call.address, timeout, call.deadline)
            .map_err(|error| ServiceError::NotSent { problem: error.to_string() })?;
        let mut head = Vec::new();
        request_head(call).encode(&mut head);
        connection.send(&head).map_err(|error| lost(&error))?;
        connection.send(call.body).map_err(|error| lost(&error))?;
        let head = connection.read_head().map_err(|error| lost(&error))?;
        let status = StatusCode::from_u16(head.status).map_err(|error| unusable(&error))?;
        let framing = response_framing(call.method.as_str(), &head);
        let decoder = BodyDecoder::new(framing.map_err(|error| unusable(&error))?);
        let body = self.read_body(&mut connection, decoder)?;
        let headers = forwarded_headers(&header_map(&head.headers));
        Ok(ServiceAnswer { status, headers, body: body.into() })
    }

    /// Reads a body within the limits of one answer and of all together.
    fn read_body(
        &self,
        connection: &mut ServiceConnection,
        mut decoder: BodyDecoder,
    ) -> Result<Vec<u8>, ServiceError> {
        let limit_bytes = self.settings.max_answer_bytes;
        let mut reading = ReadingBytes { all: &self.reading_bytes, own: 0 };
        let mut body = Vec::new();
        while !decoder.is_done() {
            let had = body.len();
            connection.read_body(&mut decoder, &mut body).map_err(|error| lost(&error))?;
            if body.len() > usize::try_from(limit_bytes).unwrap_or(usize::MAX) {
                return Err(ServiceError::AnswerTooLong { limit_bytes });
            }
            if reading.add(body.len() - had) > self.settings.max_reading_bytes {
                let problem = "the answers of all calls are too long together".to_owned();
                return Err(ServiceError::MayHaveRun { problem });
            }
        }
        Ok(body)
    }
}

/// Bytes of one answer that are counted among those of all answers that are being read.
struct ReadingBytes<'a> {
    all: &'a AtomicUsize,
    own: usize,
}

impl ReadingBytes<'_> {
    /// Counts more bytes, and returns those of all answers.
    fn add(&mut self, bytes: usize) -> usize {
        self.own += bytes;
        self.all.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

impl Drop for ReadingBytes<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.own, Ordering::Relaxed);
    }
}

fn request_head(call: &ServiceCall<'_>) -> RequestHead {
    let mut headers = Headers::default();
    headers.push("host", call.address.to_string().as_bytes());
    for (name, value) in &forwarded_headers(call.headers) {
        headers.push(name.as_str(), value.as_bytes());
    }
    headers.push("x-request-id", call.request.to_string().as_bytes());
    if !call.body.is_empty() || !matches!(*call.method, Method::GET | Method::HEAD) {
        headers.push("content-length", call.body.len().to_string().as_bytes());
    }
    headers.push("connection", b"close");
    RequestHead {
        method: call.method.as_str().into(),
        target: call.path_and_query.into(),
        minor_version: 1,
        headers,
    }
}

/// Headers of an answer; what is no header by the names and values of this system is left out.
fn header_map(headers: &Headers) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in headers.iter() {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_bytes(value))
        {
            map.append(name, value);
        }
    }
    map
}

fn lost(error: &io::Error) -> ServiceError {
    let problem = match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => "the deadline has passed".to_owned(),
        _ => error.to_string(),
    };
    ServiceError::MayHaveRun { problem }
}

fn unusable(error: &dyn std::error::Error) -> ServiceError {
    ServiceError::MayHaveRun { problem: error.to_string() }
}
