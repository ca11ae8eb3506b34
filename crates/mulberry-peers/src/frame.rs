//! Frames: length, version, HMAC, body.
//!
//! ```text
//! u32 little endian   bytes of the body, at most 16 MiB
//! u8                  version
//! 32 bytes            HMAC-SHA256 over direction, version, sequence number, length and body
//! body                postcard
//! ```

use std::fmt;
use std::io::{self, Read};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Longest body of a frame.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

pub(crate) const VERSION: u8 = 1;
pub(crate) const MAC_BYTES: usize = 32;
pub(crate) const HEADER_BYTES: usize = 4 + 1 + MAC_BYTES;

/// First reservation for a body. The buffer grows only as bytes arrive, so that a forged length
/// cannot make the receiver allocate 16 MiB.
const FIRST_BODY_BYTES: usize = 4 * 1024;

/// Key of one connection, derived from the shared secret and the nonces of both sides.
#[derive(Clone)]
pub struct ConnectionKey {
    mac: Hmac<Sha256>,
}

/// Which side of the connection sent a frame. A frame reflected to its sender does not verify.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    ToServer,
    ToClient,
}

/// Why a frame was not accepted. The connection must be closed.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or timed out.
    Io(io::Error),

    /// The connection ended inside a frame.
    Truncated,

    /// The announced body is longer than [`MAX_BODY_BYTES`].
    Oversized { bytes: usize },

    /// The frame has another version.
    Version { version: u8 },

    /// The HMAC does not fit: changed, replayed, reordered or foreign bytes.
    WrongMac,
}

/// Turns bodies into frames of one direction.
#[derive(Debug)]
pub struct FrameSealer {
    key: ConnectionKey,
    direction: Direction,
    sequence: u64,
}

/// Reads and verifies the frames of one direction.
#[derive(Debug)]
pub struct FrameOpener {
    key: ConnectionKey,
    direction: Direction,
    sequence: u64,
}

impl ConnectionKey {
    /// Key from bytes of any length.
    pub fn new(bytes: &[u8]) -> ConnectionKey {
        let mac = Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length");
        ConnectionKey { mac }
    }

    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.mac_of(parts).finalize().into_bytes().into()
    }

    /// Compares in constant time.
    pub(crate) fn verifies(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac_of(parts).verify_slice(tag).is_ok()
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for ConnectionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConnectionKey(..)")
    }
}

impl FrameSealer {
    /// Starts at sequence number 0.
    pub fn new(key: ConnectionKey, direction: Direction) -> FrameSealer {
        FrameSealer { key, direction, sequence: 0 }
    }

    /// Appends the frame of `body` to `out`.
    ///
    /// # Panics
    /// The body is longer than [`MAX_BODY_BYTES`]; callers check it when they encode.
    pub fn seal(&mut self, body: &[u8], out: &mut Vec<u8>) {
        assert!(body.len() <= MAX_BODY_BYTES, "body of {} bytes", body.len());
        let length = u32::try_from(body.len()).expect("at most 16 MiB").to_le_bytes();
        let head = authenticated_head(self.direction, VERSION, self.sequence, length);
        let tag = self.key.tag(&[&head, body]);
        self.sequence += 1;
        out.reserve(HEADER_BYTES + body.len());
        out.extend_from_slice(&length);
        out.push(VERSION);
        out.extend_from_slice(&tag);
        out.extend_from_slice(body);
    }
}

impl FrameOpener {
    /// Starts at sequence number 0.
    pub fn new(key: ConnectionKey, direction: Direction) -> FrameOpener {
        FrameOpener { key, direction, sequence: 0 }
    }

    /// Reads the next frame and returns its body. `None` when the connection ended between frames.
    ///
    /// # Errors
    /// Any byte is not as it must be, or the connection failed. Nothing more may be read then.
    pub fn read(&mut self, reader: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
        let mut header = [0; HEADER_BYTES];
        match read_up_to(reader, &mut header)? {
            0 => return Ok(None),
            HEADER_BYTES => {}
            _ => return Err(FrameError::Truncated),
        }
        let length = [header[0], header[1], header[2], header[3]];
        let version = header[4];
        let bytes = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
        if bytes > MAX_BODY_BYTES {
            return Err(FrameError::Oversized { bytes });
        }
        if version != VERSION {
            return Err(FrameError::Version { version });
        }
        let mut body = Vec::with_capacity(bytes.min(FIRST_BODY_BYTES));
        reader.take(bytes as u64).read_to_end(&mut body).map_err(FrameError::Io)?;
        if body.len() != bytes {
            return Err(FrameError::Truncated);
        }
        let head = authenticated_head(self.direction, version, self.sequence, length);
        if !self.key.verifies(&[&head, &body], &header[5..]) {
            return Err(FrameError::WrongMac);
        }
        self.sequence += 1;
        Ok(Some(body))
    }
}

fn authenticated_head(
    direction: Direction,
    version: u8,
    sequence: u64,
    length: [u8; 4],
) -> [u8; 14] {
    let mut head = [0; 14];
    head[0] = match direction {
        Direction::ToServer => 1,
        Direction::ToClient => 2,
    };
    head[1] = version;
    head[2..10].copy_from_slice(&sequence.to_le_bytes());
    head[10..].copy_from_slice(&length);
    head
}

/// Fills `buffer` and returns how many bytes came before the end of the connection.
fn read_up_to(reader: &mut impl Read, buffer: &mut [u8]) -> Result<usize, FrameError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(bytes) => filled += bytes,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(FrameError::Io(error)),
        }
    }
    Ok(filled)
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "connection failed: {error}"),
            FrameError::Truncated => f.write_str("connection ended inside a frame"),
            FrameError::Oversized { bytes } => {
                write!(f, "frame of {bytes} bytes; at most {MAX_BODY_BYTES} are allowed")
            }
            FrameError::Version { version } => {
                write!(f, "frame of version {version}; run the same release on both sides")
            }
            FrameError::WrongMac => {
                f.write_str("frame does not verify; check that nothing else uses the port")
            }
        }
    }
}

impl std::error::Error for FrameError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            FrameError::Io(error) => Some(error),
            _ => None,
        }
    }
}
