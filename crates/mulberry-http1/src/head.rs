//! Heads of requests and responses.

use std::fmt;

use crate::Headers;

/// Fields of one head; more are refused.
const MAX_FIELDS: usize = 100;

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    pub method: Box<str>,

    /// Path and query as they came.
    pub target: Box<str>,

    /// 0 or 1, for HTTP/1.0 and HTTP/1.1.
    pub minor_version: u8,

    pub headers: Headers,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub reason: Box<str>,
    pub minor_version: u8,
    pub headers: Headers,
}

/// Why a head cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are no head in the protocol.
    Malformed,

    /// More header fields than a head may have.
    TooManyFields,

    /// The length of the body is given in two ways, or in one that is not known.
    AmbiguousLength,

    /// The status is none of 100 to 599, or says that the connection speaks another protocol from here on.
    UnknownStatus,
}

impl RequestHead {
    /// Parses the head at the start of `input`. Returns the head and its length, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// The bytes are no head.
    pub fn parse(input: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(input).map_err(to_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(length) => length,
        };
        let head = RequestHead {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
            minor_version: request.version.unwrap_or(1),
            headers: to_headers(request.headers),
        };
        Ok(Some((head, length)))
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the connection stays open after the response, as far as the client is concerned.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor_version, &self.headers)
    }

    /// Appends the head in the form in which it is sent.
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        encode_headers(&self.headers, out);
    }
}

impl ResponseHead {
    pub fn new(status: u16) -> ResponseHead {
        ResponseHead {
            status,
            reason: reason_phrase(status).into(),
            minor_version: 1,
            headers: Headers::default(),
        }
    }

    /// As [`RequestHead::parse`].
    ///
    /// # Errors
    /// The bytes are no head, or its status is not known. No request asks for another protocol.
    pub fn parse(input: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(input).map_err(to_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(length) => length,
        };
        let status = response.code.unwrap_or_default();
        if !(100..600).contains(&status) || status == 101 {
            return Err(HeadError::UnknownStatus);
        }
        let head = ResponseHead {
            status,
            reason: response.reason.unwrap_or_default().into(),
            minor_version: response.version.unwrap_or(1),
            headers: to_headers(response.headers),
        };
        Ok(Some((head, length)))
    }

    /// Whether the connection may be used again after the response.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor_version, &self.headers)
    }

    /// Appends the head in the form in which it is sent.
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        encode_headers(&self.headers, out);
    }
}

/// Usual phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadError::Malformed => "the head is no HTTP/1.1; send a well-formed one",
            HeadError::TooManyFields => "the head has too many fields; send at most 100",
            HeadError::AmbiguousLength => {
                "the length of the body is ambiguous; send one Content-Length, or chunks"
            }
            HeadError::UnknownStatus => "the status is none that a request can get",
        })
    }
}

impl std::error::Error for HeadError {}

fn to_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        _ => HeadError::Malformed,
    }
}

fn to_headers(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}

fn keeps_alive(minor_version: u8, headers: &Headers) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    minor_version >= 1 || headers.has_token("connection", "keep-alive")
}

fn encode_headers(headers: &Headers, out: &mut Vec<u8>) {
    for (name, value) in headers.iter() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
