//! Framing of bodies.

use std::fmt;

use bytes::{Buf as _, BytesMut};

use crate::{HeadError, RequestHead, ResponseHead};

/// Longest line that gives the size of a chunk, with its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Longest trailer section; its fields are dropped.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,

    /// The body ends with the connection.
    UntilClose,
}

/// Why a body cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The chunks are not framed as the protocol says.
    Malformed,

    /// The connection ended before the body.
    Truncated,
}

/// Takes a body out of the bytes of a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Left(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
    Done,
}

/// Framing of the body of a request.
///
/// # Errors
/// The length is given twice, or in a way that another parser could read differently.
pub fn request_framing(head: &RequestHead) -> Result<Framing, HeadError> {
    let codings: Vec<&[u8]> = head.headers.all("transfer-encoding").collect();
    let length = content_length(&head.headers)?;
    match (codings.as_slice(), length) {
        ([], length) => Ok(Framing::Length(length.unwrap_or(0))),
        ([coding], None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(HeadError::AmbiguousLength),
    }
}

/// Framing of the body of a response to a request with `method`.
///
/// # Errors
/// As [`request_framing`].
pub fn response_framing(method: &str, head: &ResponseHead) -> Result<Framing, HeadError> {
    if method == "HEAD" || head.status == 204 || head.status == 304 || head.status < 200 {
        return Ok(Framing::Length(0));
    }
    let codings: Vec<&[u8]> = head.headers.all("transfer-encoding").collect();
    let length = content_length(&head.headers)?;
    match (codings.as_slice(), length) {
        ([], Some(length)) => Ok(Framing::Length(length)),
        ([], None) => Ok(Framing::UntilClose),
        ([coding], None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(HeadError::AmbiguousLength),
    }
}

/// Appends `data` as one chunk. An empty chunk would end the body, so nothing is appended for no data.
pub fn encode_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

impl BodyDecoder {
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Left(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Moves the bytes of the body from `input` to `output`, up to the end of the body.
    ///
    /// # Errors
    /// The body is malformed.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut Vec<u8>) -> Result<(), BodyError> {
        while self.state != State::Done {
            let had = input.len();
            let state = self.state;
            self.step(input, output)?;
            if input.len() == had && self.state == state {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records that the connection has ended.
    ///
    /// # Errors
    /// The body is not complete.
    pub fn end_of_input(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    fn step(&mut self, input: &mut BytesMut, output: &mut Vec<u8>) -> Result<(), BodyError> {
        match self.state {
            State::Done => {}
            State::UntilClose => {
                output.extend_from_slice(input);
                input.clear();
            }
            State::Left(left) => {
                let left = left - take(input, output, left);
                self.state = if left == 0 { State::Done } else { State::Left(left) };
            }
            State::Chunk(left) => {
                let left = left - take(input, output, left);
                self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
            }
            State::ChunkEnd if input.len() >= 2 => {
                if &input[..2] != b"\r\n" {
                    return Err(BodyError::Malformed);
                }
                input.advance(2);
                self.state = State::ChunkSize;
            }
            State::ChunkEnd => {}
            State::ChunkSize => {
                let Some(line) = take_line(input, MAX_CHUNK_LINE_BYTES)? else { return Ok(()) };
                let size = line[..].split(|&byte| byte == b';').next().unwrap_or_default();
                self.state = match parse_hex(size.trim_ascii_end())? {
                    0 => State::Trailer(0),
                    size => State::Chunk(size),
                };
            }
            State::Trailer(bytes) => {
                let Some(line) = take_line(input, MAX_TRAILER_BYTES)? else { return Ok(()) };
                let bytes = bytes + line.len() + 2;
                if bytes > MAX_TRAILER_BYTES {
                    return Err(BodyError::Malformed);
                }
                self.state = if line.is_empty() { State::Done } else { State::Trailer(bytes) };
            }
        }
        Ok(())
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::Malformed => "the chunks of the body are malformed; send it with a length",
            BodyError::Truncated => "the connection ended before the body; send the request again",
        })
    }
}

impl std::error::Error for BodyError {}

fn content_length(headers: &crate::Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else { return Ok(None) };
    if lengths.next().is_some() {
        return Err(HeadError::AmbiguousLength);
    }
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(first).unwrap_or_default();
    match text.parse() {
        Ok(length) if is_number => Ok(Some(length)),
        _ => Err(HeadError::AmbiguousLength),
    }
}

fn take(input: &mut BytesMut, output: &mut Vec<u8>, left: u64) -> u64 {
    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..count]);
    input.advance(count);
    count as u64
}

fn take_line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = input.windows(2).take(limit).position(|pair| pair == b"\r\n") else {
        return if input.len() > limit { Err(BodyError::Malformed) } else { Ok(None) };
    };
    let line = input.split_to(end);
    input.advance(2);
    Ok(Some(line))
}

fn parse_hex(digits: &[u8]) -> Result<u64, BodyError> {
    let is_number =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).unwrap_or_default();
    u64::from_str_radix(text, 16).ok().filter(|_| is_number).ok_or(BodyError::Malformed)
}
