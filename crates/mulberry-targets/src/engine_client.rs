//! Calls of an engine.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use mulberry_types::{Fence, Priority, RequestId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{EngineError, EngineStream, ExportReport, StreamReport};

/// Longest answer of any call that is not streamed.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// Time limits of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineClientSettings {
    /// Time to connect.
    pub connect_timeout_ms: u64,

    /// Longest silence of an engine; it sends keep-alive comments while it has nothing else.
    pub silence_limit_ms: u64,

    /// Time for a short call such as listing streams, also the longest validity of an order.
    pub call_timeout_ms: u64,
}

impl Default for EngineClientSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 500, silence_limit_ms: 2_000, call_timeout_ms: 1_000 }
    }
}

/// Client for engines. Each call uses a connection of its own.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    settings: EngineClientSettings,
}

/// A completion to start or to resume.
#[derive(Debug, Clone)]
pub struct Completion<'a> {
    pub address: SocketAddr,
    pub path: &'static str,

    /// Id under which the engine lists the stream.
    pub request: RequestId,

    pub priority: Priority,

    /// Tokens that have already arrived.
    pub resume_from: u64,

    /// Segments before the prompt, on other engines, in order.
    pub imports: &'a [Segment],

    pub body: &'a [u8],
    pub deadline: Instant,
}

/// A segment to prefill.
#[derive(Debug, Clone)]
pub struct SegmentCall<'a> {
    pub address: SocketAddr,
    pub request: RequestId,
    pub model: &'a str,

    /// Position of the segment in the prompt, from 0.
    pub index: u32,

    pub text: &'a str,
    pub priority: Priority,
    pub deadline: Instant,
}

/// A prefilled segment that an engine holds for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    pub address: SocketAddr,
    pub handle: Arc<str>,
    pub tokens: u64,
}

/// An order that changes what an engine holds or serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    CancelStream { request_id: Arc<str> },
    FreeExport { handle: Arc<str> },
    LoadVersion { version: Arc<str> },
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Fence,
    valid_for_ms: u64,
    order: &'a Order,
}

#[derive(Serialize)]
struct SegmentBody<'a> {
    request_id: String,
    model: &'a str,
    index: u32,
    text: &'a str,
}

#[derive(Deserialize)]
struct SegmentAnswer {
    handle: Arc<str>,
    tokens: u64,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    #[serde(default)]
    code: String,
}

impl EngineClient {
    pub fn new(settings: EngineClientSettings) -> EngineClient {
        EngineClient { settings }
    }

    /// Starts or resumes a completion.
    ///
    /// # Errors
    /// The engine cannot be reached, refuses, or fails.
    pub fn start(&self, completion: &Completion<'_>) -> Result<EngineStream, EngineError> {
        let Completion { request, deadline, .. } = *completion;
        let remaining = remaining(deadline)?;
        let url = format!("http://{}{}", completion.address, completion.path);
        let mut builder = self
            .request(attohttpc::post(url), Duration::from_millis(self.settings.silence_limit_ms))
            .timeout(remaining)
            .header("content-type", "application/json")
            .header("x-request-id", request.to_string())
            .header("x-priority", priority_name(completion.priority));
        if completion.resume_from > 0 {
            builder = builder.header("x-resume-from", completion.resume_from);
        }
        if !completion.imports.is_empty() {
            builder = builder.header("x-kv-imports", import_list(completion.imports));
        }
        let response = builder
            .bytes(completion.body)
            .send()
            .map_err(|error| call_error(&error, deadline))
            .and_then(check_status)?;
        let (_, _, reader) = response.split();
        Ok(EngineStream::new(reader, request.to_string(), completion.resume_from, deadline))
    }

    /// Prefills one segment of a prompt that needs several engines.
    ///
    /// # Errors
    /// The engine cannot be reached, refuses, or fails.
    pub fn prefill_segment(&self, call: &SegmentCall<'_>) -> Result<Segment, EngineError> {
        let SegmentCall { address, model, index, text, deadline, .. } = *call;
        let body = SegmentBody { request_id: call.request.to_string(), model, index, text };
        let limit = remaining(deadline)?;
        let answer: SegmentAnswer = self
            .request(attohttpc::post(format!("http://{address}/kv/segments")), limit)
            .timeout(limit)
            .header("x-priority", priority_name(call.priority))
            .json(&body)
            .and_then(RequestBuilder::send)
            .map_err(|error| call_error(&error, deadline))
            .and_then(check_status)
            .and_then(read_json)?;
        Ok(Segment { address, handle: answer.handle, tokens: answer.tokens })
    }

    /// Frees a segment that this entry had prefilled.
    ///
    /// # Errors
    /// The engine cannot be reached or fails. A segment that is gone already is no error.
    pub fn free_segment(&self, segment: &Segment) -> Result<(), EngineError> {
        let url = format!("http://{}/kv/exports/{}", segment.address, segment.handle);
        match self.short_call(attohttpc::delete(url)) {
            Ok(_) | Err(EngineError::Refused { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Streams that the engine runs.
    ///
    /// # Errors
    /// The engine cannot be reached or fails.
    pub fn streams(&self, address: SocketAddr) -> Result<Vec<StreamReport>, EngineError> {
        self.get(&format!("http://{address}/streams"))
    }

    /// Segments that the engine holds.
    ///
    /// # Errors
    /// The engine cannot be reached or fails.
    pub fn exports(&self, address: SocketAddr) -> Result<Vec<ExportReport>, EngineError> {
        self.get(&format!("http://{address}/kv/exports"))
    }

    /// Sends an order with a fencing number; the engine must not follow it later than
    /// `valid_for_ms` after it was sent.
    ///
    /// # Errors
    /// The engine cannot be reached, refuses the fencing number, or fails.
    pub fn order(
        &self,
        address: SocketAddr,
        fence: Fence,
        valid_for_ms: u64,
        order: &Order,
    ) -> Result<(), EngineError> {
        let body = OrderBody { fence, valid_for_ms, order };
        let limit = Duration::from_millis(valid_for_ms.min(self.settings.call_timeout_ms));
        self.request(attohttpc::post(format!("http://{address}/orders")), limit)
            .timeout(limit)
            .json(&body)
            .and_then(RequestBuilder::send)
            .map_err(|error| call_error(&error, Instant::now() + limit))
            .and_then(check_status)
            .map(drop)
    }

    fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, EngineError> {
        self.short_call(attohttpc::get(url)).and_then(read_json)
    }

    fn short_call(&self, builder: RequestBuilder) -> Result<Response, EngineError> {
        let limit = Duration::from_millis(self.settings.call_timeout_ms);
        self.request(builder, limit)
            .timeout(limit)
            .send()
            .map_err(|error| call_error(&error, Instant::now() + limit))
            .and_then(check_status)
    }

    fn request<B>(&self, builder: RequestBuilder<B>, read_timeout: Duration) -> RequestBuilder<B> {
        builder
            .connect_timeout(Duration::from_millis(self.settings.connect_timeout_ms))
            .read_timeout(read_timeout)
            .follow_redirects(false)
            // A proxy of the environment would be asked for targets that only this system knows.
            .proxy_settings(ProxySettings::builder().build())
    }
}

fn remaining(deadline: Instant) -> Result<Duration, EngineError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() { Err(EngineError::DeadlinePassed) } else { Ok(remaining) }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
    }
}

fn import_list(segments: &[Segment]) -> String {
    let items: Vec<_> =
        segments.iter().map(|segment| format!("{}/{}", segment.address, segment.handle)).collect();
    items.join(",")
}

fn call_error(error: &attohttpc::Error, deadline: Instant) -> EngineError {
    match error.kind() {
        ErrorKind::ConnectError { .. } => EngineError::NotSent { problem: error.to_string() },
        ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            EngineError::NotSent { problem: error.to_string() }
        }
        _ if Instant::now() >= deadline => EngineError::DeadlinePassed,
        ErrorKind::Io(io)
            if matches!(
                io.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            EngineError::Silent
        }
        _ => EngineError::Failed { problem: error.to_string() },
    }
}

fn check_status(response: Response) -> Result<Response, EngineError> {
    let status = response.status().as_u16();
    if response.is_success() {
        return Ok(response);
    }
    let code = read_json::<ErrorBody>(response).map(|body| body.error.code).unwrap_or_default();
    Err(match status {
        429 | 503 => EngineError::Overloaded { status, code },
        400..=499 => EngineError::Refused { status, code },
        _ => EngineError::Failed { problem: format!("status {status}, code {code}") },
    })
}

fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, EngineError> {
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    // Read whole before it is parsed: the reader panics when it is read again after an error.
    reader
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut body)
        .map_err(|error| EngineError::Failed { problem: format!("cut answer: {error}") })?;
    serde_json::from_slice(&body)
        .map_err(|error| EngineError::Failed { problem: format!("malformed answer: {error}") })
}
