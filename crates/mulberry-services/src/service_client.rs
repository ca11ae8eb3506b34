//! Calls of plain services.

use std::io::{ErrorKind as ErrorKindIo, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder};
use mulberry_http::header::CONTENT_LENGTH;
use mulberry_http::{Bytes, HeaderMap, Method, StatusCode};
use mulberry_types::RequestId;

use crate::{ServiceError, forwarded_headers};

/// Bytes of a body that are read at a time.
const PART_BYTES: usize = 16 << 10;

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
        let response = self
            .builder(call, remaining)
            .bytes(&call.body[..])
            .send()
            .map_err(|error| call_error(&error))?;
        let (status, headers, reader) = response.split();
        let body = self.read_body(reader)?;
        check_length(call.method, status, &headers, body.len())?;
        Ok(ServiceAnswer { status, headers: forwarded_headers(&headers), body: body.into() })
    }

    /// Reads a body within the limits of one answer and of all together.
    fn read_body(&self, mut reader: impl Read) -> Result<Vec<u8>, ServiceError> {
        let limit_bytes = self.settings.max_answer_bytes;
        let mut reading = ReadingBytes { all: &self.reading_bytes, own: 0 };
        let mut body = Vec::new();
        let mut part = vec![0; PART_BYTES];
        loop {
            let length = match reader.read(&mut part) {
                Ok(0) => return Ok(body),
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKindIo::Interrupted => continue,
                Err(error) => {
                    return Err(ServiceError::MayHaveRun { problem: error.to_string() });
                }
            };
            if body.len() + length > usize::try_from(limit_bytes).unwrap_or(usize::MAX) {
                return Err(ServiceError::AnswerTooLong { limit_bytes });
            }
            if reading.add(length) > self.settings.max_reading_bytes {
                let problem = "the answers of all calls are too long together".to_owned();
                return Err(ServiceError::MayHaveRun { problem });
            }
            body.extend_from_slice(&part[..length]);
        }
    }

    fn builder(&self, call: &ServiceCall<'_>, remaining: Duration) -> RequestBuilder {
        let url = format!("http://{}{}", call.address, call.path_and_query);
        let mut builder = RequestBuilder::new(call.method.clone(), url)
            .connect_timeout(Duration::from_millis(self.settings.connect_timeout_ms))
            .read_timeout(remaining)
            .timeout(remaining)
            .follow_redirects(false)
            // A proxy of the environment would be asked for targets that only this system knows.
            .proxy_settings(ProxySettings::builder().build());
        for (name, value) in &forwarded_headers(call.headers) {
            builder = builder.header_append(name, value.clone());
        }
        builder.header("x-request-id", call.request.to_string())
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

/// Checks that the body is as long as the answer says: the HTTP client takes a connection that ends early for the end.
fn check_length(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
    body_bytes: usize,
) -> Result<(), ServiceError> {
    let has_no_body = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) if !has_no_body && body_bytes < length => {
            let problem = format!("the answer ended after {body_bytes} of {length} bytes");
            Err(ServiceError::MayHaveRun { problem })
        }
        _ => Ok(()),
    }
}

fn call_error(error: &attohttpc::Error) -> ServiceError {
    let problem = error.to_string();
    match error.kind() {
        ErrorKind::ConnectError { .. } => ServiceError::NotSent { problem },
        ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ServiceError::NotSent { problem }
        }
        _ => ServiceError::MayHaveRun { problem },
    }
}
