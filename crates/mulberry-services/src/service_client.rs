//! Calls of plain services.

use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder};
use mulberry_http::{Bytes, HeaderMap, Method, StatusCode};
use mulberry_types::RequestId;

use crate::{ServiceError, forwarded_headers};

/// Time limits and bounds of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceClientSettings {
    /// Time to connect.
    pub connect_timeout_ms: u64,

    /// Longest answer.
    pub max_answer_bytes: u64,
}

impl Default for ServiceClientSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 500, max_answer_bytes: 16 * 1024 * 1024 }
    }
}

/// Client for plain services. Each call uses a connection of its own.
#[derive(Debug, Clone, Default)]
pub struct ServiceClient {
    settings: ServiceClientSettings,
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
        ServiceClient { settings }
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
        let mut body = Vec::new();
        let limit_bytes = self.settings.max_answer_bytes;
        reader
            .take(limit_bytes + 1)
            .read_to_end(&mut body)
            .map_err(|error| ServiceError::MayHaveRun { problem: error.to_string() })?;
        if body.len() as u64 > limit_bytes {
            return Err(ServiceError::AnswerTooLong { limit_bytes });
        }
        Ok(ServiceAnswer { status, headers: forwarded_headers(&headers), body: body.into() })
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
