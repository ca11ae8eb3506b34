//! One send of a request to one target.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::{
    BodyDecoder, Framing, Http1Connection, ReadError, RequestHead, ResponseHead, response_framing,
    watch_peer,
};

use tokio::net::TcpStream;

use crate::answer_memory::{AnswerMemory, Body};
use crate::dialect::ResponseFields;
use crate::settings::TARGET_UNANSWERED;
use crate::shared::Shared;

/// Time for a connection to a target to be made.
const CONNECT: Duration = Duration::from_millis(350);

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest body that is read only to use its connection again.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Answers to other requests that are skipped on one connection before it is given up.
const MAX_FOREIGN_ANSWERS: usize = 2;

/// What is sent where.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub target_id: &'a Arc<str>,
    pub address: SocketAddr,
    pub head: &'a RequestHead,
    pub body: &'a [u8],
    pub request_id: Option<&'a str>,

    /// Longest time for which a kept connection may have been idle.
    pub max_idle: Duration,
}

/// Why a send brought no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte was sent: the request has not run.
    NotSent(String),

    /// The target says that it did not run the request.
    NotRun { status: u16, fields: ResponseFields },

    /// The request may have run.
    Unknown(String),

    /// The same, and the connection broke off.
    Disconnected(String),
}

impl From<ReadError> for SendError {
    fn from(error: ReadError) -> SendError {
        // A peer that no longer answers has not broken off: it is out of reach.
        let is_timeout =
            matches!(&error, ReadError::Io(error) if error.kind() == io::ErrorKind::TimedOut);
        if error.is_disconnect() && !is_timeout {
            SendError::Disconnected(error.to_string())
        } else {
            SendError::Unknown(error.to_string())
        }
    }
}

/// The head of an answer, and the connection from which its body comes.
#[derive(Debug)]
pub(crate) struct Answer {
    pub head: ResponseHead,
    pub fields: ResponseFields,
    connection: Http1Connection,
    decoder: BodyDecoder,
    ends_with_connection: bool,

    /// Whether nothing is left on the connection that could belong to another request.
    is_clean: bool,
}

/// Connects to a target.
pub(crate) async fn connect_target(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = mulberry_http1::connect(address, within).await?;
    watch_peer(&stream, TARGET_UNANSWERED)?;
    Ok(stream)
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of its answer.
    pub(crate) async fn send(&self, shared: &Shared) -> Result<Answer, SendError> {
        let kept = shared.pool.take(self.target_id, self.max_idle);
        let is_new = kept.is_none();
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                shared.metrics.target_connections.inc();
                let stream = connect_target(self.address, CONNECT).await;
                let stream = stream.map_err(|error| SendError::NotSent(error.to_string()))?;
                Http1Connection::new(stream)
            }
        };
        let mut bytes = Vec::with_capacity(1_024 + self.body.len());
        self.head.encode(&mut bytes);
        bytes.extend_from_slice(self.body);
        let unknown = |error: &dyn fmt::Display| SendError::Unknown(error.to_string());
        let is_sent = connection.write_watching(&bytes).await.map_err(ReadError::Io)?;
        drop(bytes);

        let mut is_clean = is_sent;
        for _ in 0..=MAX_FOREIGN_ANSWERS {
            let head = connection.read_response(MAX_HEAD_BYTES).await?;
            let fields = shared.dialect.response_fields(&head);
            let framing = response_framing(&self.head.method, &head);
            let framing = framing.map_err(|error| unknown(&error))?;
            let is_foreign = match (&fields.request_id, self.request_id) {
                (Some(got), Some(sent)) => **got != *sent,
                (None, Some(_)) if !is_new || !is_clean => {
                    // It may be a second answer to an earlier request of the connection.
                    return Err(unknown(&"an answer without an id on a used connection"));
                }
                _ => false,
            };
            if is_foreign {
                // A second answer to an earlier request of the connection.
                is_clean = false;
                let skipped = connection.skip_body(BodyDecoder::new(framing), MAX_SKIPPED_BYTES);
                skipped.await?;
                continue;
            }
            let answer = Answer {
                ends_with_connection: framing == Framing::UntilClose,
                decoder: BodyDecoder::new(framing),
                head,
                fields,
                connection,
                is_clean,
            };
            return self.check(shared, answer).await;
        }
        Err(SendError::Unknown("the connection brings answers to other requests".to_owned()))
    }

    async fn check(&self, shared: &Shared, mut answer: Answer) -> Result<Answer, SendError> {
        let status = answer.head.status;
        if answer.fields.is_not_executed || status == 421 {
            if answer.skip().await.is_ok() {
                let kept = answer.keep(shared, self.target_id);
                return Err(SendError::NotRun { status, fields: kept.fields });
            }
            return Err(SendError::NotRun { status, fields: answer.fields });
        }
        if (200..300).contains(&status) && !answer.fields.is_signed {
            return Err(SendError::Unknown("the answer bears no signature".to_owned()));
        }
        Ok(answer)
    }
}

/// What is left of an answer whose connection has been given back.
#[derive(Debug)]
pub(crate) struct KeptAnswer {
    pub head: ResponseHead,
    pub fields: ResponseFields,
}

impl Answer {
    /// Next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        if self.decoder.is_done() {
            return Ok(None);
        }
        let mut bytes = Vec::new();
        self.connection.read_body(&mut self.decoder, &mut bytes).await?;
        if bytes.is_empty() && self.decoder.is_done() { Ok(None) } else { Ok(Some(bytes)) }
    }

    /// The rest of the body.
    pub(crate) async fn read_whole(&mut self, memory: &AnswerMemory) -> Result<Body, ReadError> {
        let mut body = memory.body();
        while !self.decoder.is_done() {
            let mut part = Vec::new();
            self.connection.read_body(&mut self.decoder, &mut part).await?;
            if !body.append(part) {
                return Err(ReadError::BodyTooLong);
            }
        }
        Ok(body)
    }

    /// Reads the rest of the body and drops it.
    async fn skip(&mut self) -> Result<(), ReadError> {
        let decoder = std::mem::replace(&mut self.decoder, BodyDecoder::new(Framing::Length(0)));
        self.connection.skip_body(decoder, MAX_SKIPPED_BYTES).await
    }

    /// Gives the connection back after the whole body, if it can be used again.
    pub(crate) fn keep(self, shared: &Shared, target_id: &Arc<str>) -> KeptAnswer {
        let can_be_used = self.is_clean
            && self.decoder.is_done()
            && !self.ends_with_connection
            && self.head.keeps_alive()
            && !self.connection.has_unread();
        if can_be_used {
            shared.pool.put(target_id, self.connection, &self.head);
        }
        KeptAnswer { head: self.head, fields: self.fields }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(reason) => write!(f, "not sent: {reason}"),
            SendError::NotRun { status, .. } => write!(f, "not run: status {status}"),
            SendError::Unknown(reason) | SendError::Disconnected(reason) => {
                write!(f, "may have run: {reason}")
            }
        }
    }
}
