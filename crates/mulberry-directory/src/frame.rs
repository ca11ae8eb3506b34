//! Framing of messages on a TCP stream: a little-endian `u32` length, followed by the message encoded with postcard.
//!
//! Fields may be appended to a message: older versions ignore them, and they decode as zero or false if the sender is of
//! an older version.

use std::fmt;
use std::io;

use bytes::{Buf as _, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

/// Maximum encoded length of a message; large enough for a configuration with thousands of routes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

const LENGTH_BYTES: usize = 4;

/// Zeros that stand in for appended fields that the sender does not know.
const MISSING_FIELDS: [u8; 8] = [0; 8];

/// Why a frame could not be read or written.
#[derive(Debug)]
pub enum FrameError {
    Io(io::Error),
    TooLong { bytes: usize },
    Encoding(postcard::Error),
}

/// Appends a message as one frame.
///
/// # Errors
/// The message cannot be encoded or is too long.
pub fn encode_frame<T: Serialize>(message: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let body = postcard::to_stdvec(message).map_err(FrameError::Encoding)?;
    let length = u32::try_from(body.len())
        .ok()
        .filter(|_| body.len() <= MAX_FRAME_BYTES)
        .ok_or(FrameError::TooLong { bytes: body.len() })?;
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

/// Writes a message as one frame.
///
/// # Errors
/// The message cannot be encoded, or the stream failed.
pub async fn write_frame<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), FrameError> {
    let mut bytes = Vec::new();
    encode_frame(message, &mut bytes)?;
    stream.write_all(&bytes).await.map_err(FrameError::Io)
}

/// Reads the next frame. Bytes that follow it stay in `buffer`. Cancel safe.
///
/// # Errors
/// The stream ended or failed, or the frame is too long or doesn't decode as `T`.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<T, FrameError> {
    loop {
        if let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_le_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(FrameError::TooLong { bytes: length });
            }
            if buffer.len() >= LENGTH_BYTES + length {
                buffer.advance(LENGTH_BYTES);
                let mut body = buffer.split_to(length);
                if buffer.is_empty() {
                    *buffer = BytesMut::new();
                }
                let decoded = postcard::from_bytes(&body);
                return match decoded {
                    Err(postcard::Error::DeserializeUnexpectedEnd) => {
                        body.extend_from_slice(&MISSING_FIELDS);
                        postcard::from_bytes(&body).map_err(FrameError::Encoding)
                    }
                    decoded => decoded.map_err(FrameError::Encoding),
                };
            }
        }
        if stream.read_buf(buffer).await.map_err(FrameError::Io)? == 0 {
            return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "the connection failed: {error}"),
            FrameError::TooLong { bytes } => {
                write!(
                    f,
                    "a frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes; check the sender"
                )
            }
            FrameError::Encoding(error) => {
                write!(
                    f,
                    "cannot encode or decode a frame: {error}; run the same version everywhere"
                )
            }
        }
    }
}

impl std::error::Error for FrameError {}
