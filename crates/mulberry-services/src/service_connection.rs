//! A connection for one call of a service.
//!
//! The HTTP client of the other calls does not tell a body that ends with its connection from one whose connection was
//! reset behind an orderly end, and takes interim answers for final ones.

use std::io::{self, ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mulberry_http1::{BodyDecoder, ResponseHead};

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Interim answers that are skipped before the final one.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Longest time between two looks at whether the service has taken the whole call.
const MAX_TAKEN_CHECK: Duration = Duration::from_millis(20);

/// A connection for one call.
#[derive(Debug)]
pub(crate) struct ServiceConnection {
    stream: TcpStream,
    deadline: Instant,
    input: BytesMut,
}

impl ServiceConnection {
    /// Connects within `timeout`.
    pub(crate) fn connect(
        address: SocketAddr,
        timeout: Duration,
        deadline: Instant,
    ) -> io::Result<ServiceConnection> {
        let stream = TcpStream::connect_timeout(&address, timeout.min(remaining(deadline)?))?;
        stream.set_nodelay(true)?;
        Ok(ServiceConnection { stream, deadline, input: BytesMut::new() })
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The connection failed, or the deadline has passed.
    pub(crate) fn send(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.set_write_timeout(Some(remaining(self.deadline)?))?;
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => bytes = &bytes[length..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads the head of the final answer.
    ///
    /// # Errors
    /// The connection ended or failed, the head cannot be used, or the deadline has passed.
    pub(crate) fn read_head(&mut self) -> io::Result<ResponseHead> {
        let mut interim = 0;
        loop {
            let parsed = ResponseHead::parse(&self.input);
            match parsed.map_err(|error| invalid(&error.to_string()))? {
                Some((_, length)) if length > MAX_HEAD_BYTES => {
                    return Err(invalid("the head of the answer is too long"));
                }
                Some((head, length)) => {
                    let _head = self.input.split_to(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim += 1;
                    if interim > MAX_INTERIM_ANSWERS {
                        return Err(invalid("interim answers come without a final one"));
                    }
                }
                None if self.input.len() > MAX_HEAD_BYTES => {
                    return Err(invalid("the head of the answer is too long"));
                }
                None if self.fill()? == 0 => return Err(ErrorKind::UnexpectedEof.into()),
                None => {}
            }
        }
    }

    /// Appends the next part of a body to `output`; done when the decoder says so.
    ///
    /// # Errors
    /// The body is malformed, the connection ended before it or was reset, or the deadline has passed.
    pub(crate) fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> io::Result<()> {
        let had = output.len();
        loop {
            let decoded = decoder.decode(&mut self.input, output);
            decoded.map_err(|error| invalid(&error.to_string()))?;
            if decoder.is_done() || output.len() > had {
                return Ok(());
            }
            if self.fill()? == 0 {
                decoder.end_of_input().map_err(|error| invalid(&error.to_string()))?;
                return self.confirm_taken();
            }
        }
    }

    /// Ends the sending direction, and waits until the service, which has ended its own, has taken the whole call. A
    /// service that closes its connection while a part of the call is on its way resets it behind an orderly end, and
    /// reading tells only the end.
    fn confirm_taken(&self) -> io::Result<()> {
        // A connection without a peer address is down in both directions.
        if self.stream.peer_addr().is_err() {
            return Err(ErrorKind::ConnectionReset.into());
        }
        match self.stream.shutdown(Shutdown::Write) {
            // Reset meanwhile; the error is taken below.
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            ended => ended?,
        }
        let mut pause = Duration::from_millis(1);
        while self.stream.peer_addr().is_ok() {
            std::thread::sleep(pause.min(remaining(self.deadline)?));
            pause = (pause * 2).min(MAX_TAKEN_CHECK);
        }
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let had = self.input.len();
        self.input.resize(had + READ_BYTES, 0);
        let read = self.read_into(had);
        self.input.truncate(had + read.as_ref().copied().unwrap_or(0));
        read
    }

    fn read_into(&mut self, from: usize) -> io::Result<usize> {
        loop {
            self.stream.set_read_timeout(Some(remaining(self.deadline)?))?;
            match self.stream.read(&mut self.input[from..]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }
}

fn remaining(deadline: Instant) -> io::Result<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() { Err(ErrorKind::TimedOut.into()) } else { Ok(remaining) }
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, problem)
}
