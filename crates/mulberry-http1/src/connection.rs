//! A connection that reads heads and bodies.

use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::{BodyDecoder, BodyError, HeadError, RequestHead, ResponseHead};

/// Bytes asked of the kernel at a time.
const READ_BYTES: usize = 16 * 1024;

/// Bytes asked of the kernel while only the end of a connection is awaited: thousands of connections wait so.
const WATCH_BYTES: usize = 512;

/// Interim responses that are skipped before one response; a peer that sends more is broken.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Bytes of later requests that are kept while one is answered.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Time between two looks at whether the peer has taken everything.
const MIN_TAKEN_CHECK: Duration = Duration::from_millis(1);
const MAX_TAKEN_CHECK: Duration = Duration::from_millis(20);

/// A socket and the bytes read from it that belong to no message yet.
#[derive(Debug)]
pub struct Http1Connection {
    stream: TcpStream,
    input: BytesMut,
}

/// Why reading a message failed.
#[derive(Debug)]
pub enum ReadError {
    /// The peer has closed the connection between two messages.
    Closed,

    /// The connection failed or ended within a message.
    Io(io::Error),

    Head(HeadError),
    Body(BodyError),

    /// The head is longer than allowed.
    HeadTooLong,

    /// Interim responses come without a final one.
    TooManyInterim,

    /// The body is longer than allowed.
    BodyTooLong,
}

impl Http1Connection {
    pub fn new(stream: TcpStream) -> Http1Connection {
        Http1Connection { stream, input: BytesMut::new() }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes have come that belong to no message.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Reads the head of a request of at most `max_bytes`.
    ///
    /// # Errors
    /// The connection ended, or the head cannot be used.
    pub async fn read_request(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            match RequestHead::parse(&self.input).map_err(ReadError::Head)? {
                Some((_, length)) if length > max_bytes => return Err(ReadError::HeadTooLong),
                Some((head, length)) => {
                    self.consume(length);
                    return Ok(head);
                }
                None if self.input.len() > max_bytes => return Err(ReadError::HeadTooLong),
                None => self.fill_head().await?,
            }
        }
    }

    /// Reads the head of a response of at most `max_bytes`; interim responses are skipped.
    ///
    /// # Errors
    /// As [`Http1Connection::read_request`], or there are too many interim responses.
    pub async fn read_response(&mut self, max_bytes: usize) -> Result<ResponseHead, ReadError> {
        let mut interim = 0;
        loop {
            match ResponseHead::parse(&self.input).map_err(ReadError::Head)? {
                Some((_, length)) if length > max_bytes => return Err(ReadError::HeadTooLong),
                Some((head, length)) => {
                    self.consume(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        return Err(ReadError::TooManyInterim);
                    }
                }
                None if self.input.len() > max_bytes => return Err(ReadError::HeadTooLong),
                None => self.fill_head().await?,
            }
        }
    }

    /// Appends the next part of a body to `output`; done when the decoder says so. A body that ends with the connection
    /// is read before the sending direction is ended.
    ///
    /// # Errors
    /// The body is malformed, or the connection ended before it or was reset.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<(), ReadError> {
        let had = output.len();
        loop {
            decoder.decode(&mut self.input, output).map_err(ReadError::Body)?;
            if decoder.is_done() || output.len() > had {
                return Ok(());
            }
            if self.fill().await.map_err(ReadError::Io)? == 0 {
                if self.is_down() {
                    return Err(ReadError::Io(io::ErrorKind::ConnectionReset.into()));
                }
                return decoder.end_of_input().map_err(ReadError::Body);
            }
        }
    }

    /// Reads a whole body of at most `max_bytes`.
    ///
    /// # Errors
    /// As [`Http1Connection::read_body`], or the body is too long.
    pub async fn read_whole_body(
        &mut self,
        mut decoder: BodyDecoder,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        while !decoder.is_done() {
            self.read_body(&mut decoder, &mut body).await?;
            if body.len() > max_bytes {
                return Err(ReadError::BodyTooLong);
            }
        }
        Ok(body)
    }

    /// Reads a whole body of at most `max_bytes` and drops it.
    ///
    /// # Errors
    /// As [`Http1Connection::read_whole_body`].
    pub async fn skip_body(
        &mut self,
        mut decoder: BodyDecoder,
        max_bytes: usize,
    ) -> Result<(), ReadError> {
        let mut part = Vec::new();
        let mut skipped = 0;
        while !decoder.is_done() {
            part.clear();
            self.read_body(&mut decoder, &mut part).await?;
            skipped += part.len();
            if skipped > max_bytes {
                return Err(ReadError::BodyTooLong);
            }
        }
        Ok(())
    }

    /// Waits until a byte has come or the peer has closed.
    ///
    /// # Errors
    /// The connection ended before the first byte of a message.
    pub async fn wait_for_message(&mut self) -> Result<(), ReadError> {
        while self.input.is_empty() {
            if self.fill().await.map_err(ReadError::Io)? == 0 {
                return Err(ReadError::Closed);
            }
        }
        Ok(())
    }

    /// Returns once the peer has closed or reset the connection. Bytes that come meanwhile are kept for the next
    /// message, up to a bound.
    pub async fn wait_closed(&mut self) {
        while self.input.len() < MAX_AHEAD_BYTES {
            self.input.reserve(WATCH_BYTES);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the peer has neither sent anything nor closed the connection, as far as can be seen without waiting.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        self.input.is_empty()
            && matches!(self.stream.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed or reset the connection, as far as can be seen without waiting. Asks the kernel, since
    /// the runtime may not have seen the close yet. False if bytes of a later message have come before the close.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(length) => length == 0 && self.input.is_empty(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends as many bytes as the connection takes without waiting.
    ///
    /// # Errors
    /// The connection failed.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Sends the first of some bytes once the connection takes any. Bytes that come meanwhile are kept for the next
    /// message. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    /// The peer has closed, or the connection failed.
    pub async fn write_part(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            if self.input.len() >= MAX_AHEAD_BYTES {
                return self.stream.write(bytes).await;
            }
            let (mut reader, mut writer) = self.stream.split();
            self.input.reserve(WATCH_BYTES);
            tokio::select! {
                biased;
                written = writer.write(bytes) => return written,
                read = reader.read_buf(&mut self.input) => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        }
    }

    /// Whether bytes of the peer wait, as far as can be seen without waiting.
    pub fn has_waiting(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !self.input.is_empty()
            || SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|length| length > 0)
    }

    /// Sends bytes while looking for an early response. Returns how many were sent: fewer than all when the peer has sent
    /// something or closed before.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_watching(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (mut reader, mut writer) = self.stream.split();
        if self.input.capacity() - self.input.len() < READ_BYTES {
            self.input.reserve(READ_BYTES);
        }
        let mut sent = 0;
        while sent < bytes.len() {
            tokio::select! {
                biased;
                written = writer.write(&bytes[sent..]) => match written? {
                    0 => return Err(io::ErrorKind::WriteZero.into()),
                    written => sent += written,
                },
                read = reader.read_buf(&mut self.input) => return read.map(|_| sent),
            }
        }
        Ok(sent)
    }

    /// Drops interim responses that have come. True if there were some and nothing else has come.
    pub fn skip_interim(&mut self) -> bool {
        let mut has_skipped = false;
        while let Ok(Some((head, length))) = ResponseHead::parse(&self.input)
            && head.status < 200
        {
            self.consume(length);
            has_skipped = true;
        }
        has_skipped && self.input.is_empty()
    }

    /// Ends the sending direction; the peer sees the end of the stream.
    ///
    /// # Errors
    /// The connection failed before.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Ends the sending direction, and waits until the peer, which has ended its own, has taken all that was sent. The
    /// kernel bounds the wait, see [`crate::set_ack_timeout`]. The future may be dropped and begun anew.
    ///
    /// # Errors
    /// The connection was reset or failed before.
    pub async fn confirm_taken(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut pause = MIN_TAKEN_CHECK;
        while !self.is_down() {
            sleep(pause).await;
            pause = (pause * 2).min(MAX_TAKEN_CHECK);
        }
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Whether the connection is down in both directions. A peer that only ends its own direction leaves the other one
    /// open. Tells a reset also when its error has gone to another call, or came behind an orderly end, where reading
    /// only tells the end.
    fn is_down(&self) -> bool {
        self.stream.peer_addr().is_err()
    }

    async fn fill_head(&mut self) -> Result<(), ReadError> {
        let was_empty = self.input.is_empty();
        match self.fill().await {
            Ok(0) if was_empty => Err(ReadError::Closed),
            Ok(0) => Err(ReadError::Io(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(error) => Err(ReadError::Io(error)),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    fn consume(&mut self, length: usize) {
        let _head = self.input.split_to(length);
        if self.input.is_empty() {
            // Gives the buffer back, so that idle connections hold none.
            self.input = BytesMut::new();
        }
    }
}

impl ReadError {
    /// Whether the connection ended or failed, as opposed to a message that cannot be used.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, ReadError::Closed | ReadError::Io(_) | ReadError::Body(BodyError::Truncated))
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Closed => f.write_str("the peer closed the connection"),
            ReadError::Io(error) => error.fmt(f),
            ReadError::Head(error) => error.fmt(f),
            ReadError::Body(error) => error.fmt(f),
            ReadError::HeadTooLong => f.write_str("the head is too long; send fewer header fields"),
            ReadError::TooManyInterim => f.write_str("interim responses come without a final one"),
            ReadError::BodyTooLong => f.write_str("the body is too long; send a shorter one"),
        }
    }
}

impl std::error::Error for ReadError {}
