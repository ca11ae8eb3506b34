//! The handler's side of an answer.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::SendTimeoutError;
use tokio::sync::{mpsc, oneshot};

use crate::body::{AnswerBody, Part};

/// Parts that a handler may write ahead of the client.
const PARTS_AHEAD: usize = 64;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    /// An answer with JSON text as its body.
    pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response {
        Response::with_type(status, "application/json", text)
    }

    /// An answer with plain text as its body.
    pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response {
        Response::with_type(status, "text/plain; charset=utf-8", text)
    }

    /// An answer with a body of the given media type.
    pub fn with_type(
        status: StatusCode,
        content_type: &'static str,
        body: impl Into<Bytes>,
    ) -> Response {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Response { status, headers, body: body.into() }
    }

    /// The error shape that client libraries of language models read.
    pub fn error(status: StatusCode, code: &str, outcome: &str, message: &str) -> Response {
        let quote = |text: &str| text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', " ");
        let body = format!(
            r#"{{"error":{{"message":"{}","type":"{}","code":"{}","outcome":"{}"}}}}"#,
            quote(message),
            error_type(status),
            quote(code),
            quote(outcome),
        );
        Response::json(status, body)
    }

    /// Sets a header; a value that is no valid header text is left out.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        503 => "overloaded_error",
        _ => "api_error",
    }
}

/// What a handler hands to the socket side.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Sends the answer of one request. Dropping it unused answers with status 500.
#[derive(Debug)]
pub struct Responder {
    sender: oneshot::Sender<Answer>,
    runtime: Handle,
    write_timeout: Duration,
}

impl Responder {
    pub(crate) fn new(
        sender: oneshot::Sender<Answer>,
        runtime: Handle,
        write_timeout: Duration,
    ) -> Responder {
        Responder { sender, runtime, write_timeout }
    }

    /// Whether the client has gone away.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a whole answer.
    pub fn send(self, response: Response) {
        let Response { status, headers, body } = response;
        // The client may have gone away, and then nobody is left to tell.
        let _ = self.sender.send(Answer { status, headers, body: AnswerBody::Whole(Some(body)) });
    }

    /// Sends status and headers and returns the writer of the body.
    pub fn stream(self, status: StatusCode, headers: HeaderMap) -> BodyWriter {
        let (sender, parts) = mpsc::channel(PARTS_AHEAD);
        let body = AnswerBody::Streamed { parts, ended: false };
        // A client that has gone away shows at the first write.
        let _ = self.sender.send(Answer { status, headers, body });
        BodyWriter { sender, runtime: self.runtime, write_timeout: self.write_timeout }
    }
}

/// Why a part of an answer could not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The client has closed the connection.
    Closed,

    /// The client has taken nothing for the write timeout.
    Stalled,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::Closed => f.write_str("the client closed the connection"),
            WriteError::Stalled => f.write_str("the client stopped reading the answer"),
        }
    }
}

impl std::error::Error for WriteError {}

/// Writes a streamed body. Dropping it before [`BodyWriter::finish`] cuts the connection.
#[derive(Debug)]
pub struct BodyWriter {
    sender: mpsc::Sender<Part>,
    runtime: Handle,
    write_timeout: Duration,
}

impl BodyWriter {
    /// Whether the client has gone away.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Writes one part, which is flushed to the socket by itself.
    ///
    /// # Errors
    /// The client has gone away or stopped reading.
    pub fn write(&self, part: impl Into<Bytes>) -> Result<(), WriteError> {
        self.send(Part::Data(part.into()))
    }

    /// Ends the body.
    ///
    /// # Errors
    /// The client has gone away or stopped reading.
    pub fn finish(self) -> Result<(), WriteError> {
        self.send(Part::End)
    }

    fn send(&self, part: Part) -> Result<(), WriteError> {
        self.runtime.block_on(self.sender.send_timeout(part, self.write_timeout)).map_err(|error| {
            match error {
                SendTimeoutError::Closed(_) => WriteError::Closed,
                SendTimeoutError::Timeout(_) => WriteError::Stalled,
            }
        })
    }
}
