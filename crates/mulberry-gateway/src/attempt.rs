//! One attempt to send a request to one target.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::{
    BodyDecoder, BodyError, Framing, Http1Connection, ReadError, RequestHead, ResponseHead,
    response_framing, set_ack_timeout, watch_peer,
};

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::PathFailure;
use crate::dialect::ResponseFields;
use crate::path_probes::record_contact;
use crate::response_memory::{Body, ResponseMemory};
use crate::settings::TARGET_ACK_TIMEOUT;
use crate::shared::Shared;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum length of a body that is copied behind the head, to be sent in one write.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Pace below which a target that takes a body longer than [`MAX_COPIED_BYTES`] is given up. The kernel counts a
/// connection as unanswered while a whole write does not fit the target's window, although the target reads on.
const MIN_BODY_BYTES_PER_S: f64 = 8_000.0;

/// Maximum length of a response head.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum length of a body that is read and discarded so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Maximum number of responses to other requests that are discarded on one connection.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Maximum number of times that interim responses may interrupt the sending of a body.
const MAX_INTERIM_PAUSES: usize = 16;

/// Maximum wait until a target that has ended its response has taken the rest of a request. The kernel gives up a
/// connection some time after [`TARGET_ACK_TIMEOUT`]; where it reports neither, the end of the response counts.
const MAX_TAKEN_WAIT: Duration = Duration::from_millis(3_000);

/// The request to send and the target to send it to.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub target_id: &'a Arc<str>,
    pub address: SocketAddr,
    pub head: &'a RequestHead,
    pub body: &'a [u8],
    pub request_id: Option<&'a str>,

    /// Maximum idle time of a pooled connection.
    pub max_idle: Duration,
}

/// Why an attempt got no usable response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection failed before a byte was sent, so the request has not run.
    NotSent(io::Error),

    /// The target reported that it did not run the request.
    NotRun { status: u16, fields: ResponseFields },

    /// The request may have run.
    Unknown(String),

    /// The request may have run, and the target's kernel has stopped answering.
    Unreachable(String),

    /// The request may have run, and the connection was closed or reset.
    Disconnected(String),
}

impl From<ReadError> for SendError {
    fn from(error: ReadError) -> SendError {
        let is_timeout =
            matches!(&error, ReadError::Io(error) if error.kind() == io::ErrorKind::TimedOut);
        match error.is_disconnect() {
            true if is_timeout => SendError::Unreachable(error.to_string()),
            true => SendError::Disconnected(error.to_string()),
            false => SendError::Unknown(error.to_string()),
        }
    }
}

/// The head of a response, and the connection from which its body is read.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub head: ResponseHead,
    pub fields: ResponseFields,

    /// Whether the body has neither a length nor chunks.
    pub ends_with_connection: bool,

    connection: Http1Connection,
    decoder: BodyDecoder,

    /// Whether the whole request was written before the response began.
    is_sent: bool,

    /// Whether the request was longer than what is sent in one write, so that the kernel may hold a part.
    is_long: bool,

    /// When the wait for the target to take the request ends.
    taken_until: Option<Instant>,

    /// Whether the connection holds no bytes that could belong to another request.
    is_clean: bool,
}

/// Connects to a target.
pub(crate) async fn connect_target(
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = mulberry_http1::connect(address, connect_timeout).await?;
    watch_peer(&stream, TARGET_ACK_TIMEOUT)?;
    Ok(stream)
}

impl SendError {
    /// How the connection failed, if it did.
    pub(crate) fn path_failure(&self) -> Option<PathFailure> {
        match self {
            SendError::NotSent(error) if error.kind() == io::ErrorKind::TimedOut => {
                Some(PathFailure::Silent)
            }
            SendError::Unreachable(_) => Some(PathFailure::Silent),
            SendError::NotSent(_) | SendError::Disconnected(_) => Some(PathFailure::Rejected),
            SendError::NotRun { .. } | SendError::Unknown(_) => None,
        }
    }
}

/// Sends head and body. False if the peer has responded or closed before.
pub(crate) async fn send_request(
    connection: &mut Http1Connection,
    head: &RequestHead,
    body: &[u8],
) -> io::Result<bool> {
    let is_copied = body.len() <= MAX_COPIED_BYTES;
    let copied_body = if is_copied { body } else { &[] };
    let mut bytes = Vec::with_capacity(1_024 + copied_body.len());
    head.encode(&mut bytes);
    bytes.extend_from_slice(copied_body);
    let is_sent = connection.write_watching(&bytes).await? == bytes.len();
    drop(bytes);
    if is_copied || !is_sent {
        return Ok(is_sent);
    }
    let mut left = body;
    for _ in 0..=MAX_INTERIM_PAUSES {
        left = &left[connection.write_watching(left).await?..];
        if left.is_empty() || !connection.skip_interim() {
            break;
        }
    }
    Ok(left.is_empty())
}

impl Attempt<'_> {
    /// Sends the request and waits for the response head.
    pub(crate) async fn send(&self, shared: &Shared) -> Result<TargetResponse, SendError> {
        let pooled = shared.pool.take(self.target_id, self.max_idle);
        let is_new = pooled.is_none();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                shared.metrics.target_connections.inc();
                let stream = connect_target(self.address, CONNECT_TIMEOUT).await;
                let stream = stream.map_err(SendError::NotSent)?;
                record_contact(shared, self.target_id);
                Http1Connection::new(stream)
            }
        };
        let unknown = |error: &dyn fmt::Display| SendError::Unknown(error.to_string());
        let may_read_slowly = shared.held_memory.is_enabled() && self.body.len() > MAX_COPIED_BYTES;
        if may_read_slowly {
            let seconds = self.body.len() as f64 / MIN_BODY_BYTES_PER_S;
            let unanswered = TARGET_ACK_TIMEOUT + Duration::from_secs_f64(seconds);
            let set = set_ack_timeout(connection.stream(), unanswered);
            set.map_err(ReadError::Io)?;
        }
        let is_sent =
            send_request(&mut connection, self.head, self.body).await.map_err(ReadError::Io)?;

        let mut is_clean = is_sent;
        for _ in 0..=MAX_FOREIGN_RESPONSES {
            let head = connection.read_response(MAX_HEAD_BYTES).await?;
            if may_read_slowly {
                let set = set_ack_timeout(connection.stream(), TARGET_ACK_TIMEOUT);
                set.map_err(ReadError::Io)?;
            }
            let fields = shared.dialect.response_fields(&head);
            let framing = response_framing(&self.head.method, &head);
            let framing = framing.map_err(|error| unknown(&error))?;
            let is_foreign = match (&fields.request_id, self.request_id) {
                (Some(got), Some(sent)) => **got != *sent,
                (None, Some(_)) if !is_new || !is_clean => {
                    // It may be a second response to an earlier request on this connection.
                    return Err(unknown(&"response without a request id on a reused connection"));
                }
                _ => false,
            };
            if is_foreign {
                // A second response to an earlier request on this connection.
                is_clean = false;
                let discarded =
                    connection.skip_body(BodyDecoder::new(framing), MAX_DISCARDED_BYTES);
                discarded.await?;
                continue;
            }
            let response = TargetResponse {
                is_sent,
                is_long: self.body.len() > MAX_COPIED_BYTES,
                is_clean,
                ..TargetResponse::new(connection, head, fields, framing)
            };
            return self.check_response(shared, response).await;
        }
        Err(SendError::Unknown("too many responses to other requests on the connection".to_owned()))
    }

    async fn check_response(
        &self,
        shared: &Shared,
        mut response: TargetResponse,
    ) -> Result<TargetResponse, SendError> {
        let status = response.head.status;
        shared.target_responded(self.target_id, status, &response.fields);
        if response.fields.is_not_executed || status == 421 {
            if response.discard_body().await.is_ok() {
                let released = response.release(shared, self.target_id);
                return Err(SendError::NotRun { status, fields: released.fields });
            }
            return Err(SendError::NotRun { status, fields: response.fields });
        }
        if (200..300).contains(&status) && !response.fields.is_signed {
            return Err(SendError::Unknown("response is not signed".to_owned()));
        }
        Ok(response)
    }
}

/// Head and fields of a response whose connection has been released.
#[derive(Debug)]
pub(crate) struct ReleasedResponse {
    pub head: ResponseHead,
    pub fields: ResponseFields,
}

impl TargetResponse {
    /// The response whose head was read from a connection.
    pub(crate) fn new(
        connection: Http1Connection,
        head: ResponseHead,
        fields: ResponseFields,
        framing: Framing,
    ) -> TargetResponse {
        TargetResponse {
            ends_with_connection: framing == Framing::UntilClose,
            decoder: BodyDecoder::new(framing),
            head,
            fields,
            connection,
            is_sent: true,
            is_long: false,
            taken_until: None,
            is_clean: true,
        }
    }

    /// Returns the next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        if !self.decoder.is_done() {
            let mut bytes = Vec::new();
            self.connection.read_body(&mut self.decoder, &mut bytes).await?;
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        self.confirm_end().await?;
        Ok(None)
    }

    /// Checks that the connection with which a body ends was not reset. A target that closes it while a part of the
    /// request is on its way resets it behind an orderly end, and reading tells only the end.
    async fn confirm_end(&mut self) -> Result<(), ReadError> {
        if !self.ends_with_connection {
            return Ok(());
        }
        if !self.is_sent {
            return Err(ReadError::Body(BodyError::Truncated));
        }
        if !self.is_long {
            return Ok(());
        }
        let until = *self.taken_until.get_or_insert_with(|| Instant::now() + MAX_TAKEN_WAIT);
        let taken = timeout_at(until, self.connection.confirm_taken()).await;
        taken.unwrap_or(Ok(())).map_err(ReadError::Io)
    }

    /// Whether bytes of the target wait, as far as can be seen without waiting.
    pub(crate) fn has_unread(&self) -> bool {
        self.connection.has_waiting()
    }

    /// Reads the rest of the body into memory.
    pub(crate) async fn read_whole(&mut self, memory: &ResponseMemory) -> Result<Body, ReadError> {
        let mut body = memory.body();
        while !self.decoder.is_done() {
            let mut part = Vec::new();
            self.connection.read_body(&mut self.decoder, &mut part).await?;
            if !body.append(part) {
                return Err(ReadError::BodyTooLong);
            }
        }
        self.confirm_end().await?;
        Ok(body)
    }

    /// Reads and discards the rest of the body.
    async fn discard_body(&mut self) -> Result<(), ReadError> {
        let decoder = std::mem::replace(&mut self.decoder, BodyDecoder::new(Framing::Length(0)));
        self.connection.skip_body(decoder, MAX_DISCARDED_BYTES).await
    }

    /// Returns the connection to the pool if the body was read to its end and the connection can be reused.
    pub(crate) fn release(self, shared: &Shared, target_id: &Arc<str>) -> ReleasedResponse {
        let is_reusable = self.is_clean
            && self.decoder.is_done()
            && !self.ends_with_connection
            && self.head.keeps_alive()
            && !self.connection.has_unread();
        if is_reusable {
            shared.pool.put(target_id, self.connection, &self.head);
        }
        ReleasedResponse { head: self.head, fields: self.fields }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(error) => write!(f, "not sent: {error}"),
            SendError::NotRun { status, .. } => write!(f, "not run: status {status}"),
            SendError::Unknown(reason)
            | SendError::Unreachable(reason)
            | SendError::Disconnected(reason) => {
                write!(f, "may have run: {reason}")
            }
        }
    }
}
