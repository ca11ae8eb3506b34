//! The handshake: both sides send a version and a random nonce, then prove that they know the
//! secret. Every message has a fixed size, so that a peer without the secret cannot make the other
//! side allocate.
//!
//! ```text
//! client: magic, version, nonce, advertised address
//! server: magic, version, nonce
//! client: proof
//! server: proof
//! ```

use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv6Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rand::RngCore;

use crate::frame::{ConnectionKey, MAC_BYTES, VERSION};
use crate::{FrameRejectReason, PeerSecret};

const MAGIC: [u8; 4] = *b"MBLP";
const NONCE_BYTES: usize = 32;
const ADDRESS_BYTES: usize = 18;
const SERVER_HELLO_BYTES: usize = MAGIC.len() + 1 + NONCE_BYTES;
const CLIENT_HELLO_BYTES: usize = SERVER_HELLO_BYTES + ADDRESS_BYTES;

/// Why a handshake failed.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    Io(io::Error),
    Rejected(FrameRejectReason),
}

/// A verified handshake on the server's side.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub key: ConnectionKey,

    /// Address under which the client itself is reached by its peers.
    pub advertised: Option<SocketAddr>,
}

/// Server's side up to and without the server's proof; [`confirm`] sends it.
pub(crate) fn accept(
    socket: &TcpStream,
    secret: &PeerSecret,
    deadline: Instant,
) -> Result<Accepted, HandshakeError> {
    let mut client_hello = [0; CLIENT_HELLO_BYTES];
    // The magic is checked first, so that foreign protocols are cut at once.
    read_exact(socket, &mut client_hello[..5], deadline)?;
    check_start(&client_hello)?;
    read_exact(socket, &mut client_hello[5..], deadline)?;

    let server_hello = hello();
    write_all(socket, &server_hello)?;
    let key = derive_key(secret, &client_hello, &server_hello);
    let mut proof = [0; MAC_BYTES];
    read_exact(socket, &mut proof, deadline)?;
    if !key.verifies(&[b"client proof"], &proof) {
        return Err(HandshakeError::Rejected(FrameRejectReason::WrongSecret));
    }
    Ok(Accepted { key, advertised: decode_address(&client_hello[SERVER_HELLO_BYTES..]) })
}

/// Sends the server's proof. The client sends no call before it has it.
pub(crate) fn confirm(socket: &TcpStream, accepted: &Accepted) -> Result<(), HandshakeError> {
    write_all(socket, &accepted.key.tag(&[b"server proof"]))
}

/// Client's side.
pub(crate) fn connect(
    socket: &TcpStream,
    secret: &PeerSecret,
    advertised: Option<SocketAddr>,
    deadline: Instant,
) -> Result<ConnectionKey, HandshakeError> {
    let mut client_hello = [0; CLIENT_HELLO_BYTES];
    client_hello[..SERVER_HELLO_BYTES].copy_from_slice(&hello());
    client_hello[SERVER_HELLO_BYTES..].copy_from_slice(&encode_address(advertised));
    write_all(socket, &client_hello)?;

    let mut server_hello = [0; SERVER_HELLO_BYTES];
    read_exact(socket, &mut server_hello, deadline)?;
    check_start(&server_hello)?;
    let key = derive_key(secret, &client_hello, &server_hello);
    write_all(socket, &key.tag(&[b"client proof"]))?;
    let mut proof = [0; MAC_BYTES];
    read_exact(socket, &mut proof, deadline)?;
    if !key.verifies(&[b"server proof"], &proof) {
        return Err(HandshakeError::Rejected(FrameRejectReason::WrongSecret));
    }
    Ok(key)
}

fn hello() -> [u8; SERVER_HELLO_BYTES] {
    let mut hello = [0; SERVER_HELLO_BYTES];
    hello[..4].copy_from_slice(&MAGIC);
    hello[4] = VERSION;
    rand::rng().fill_bytes(&mut hello[5..]);
    hello
}

fn check_start(hello: &[u8]) -> Result<(), HandshakeError> {
    if hello[..4] != MAGIC {
        return Err(HandshakeError::Rejected(FrameRejectReason::ForeignBytes));
    }
    if hello[4] != VERSION {
        return Err(HandshakeError::Rejected(FrameRejectReason::Version));
    }
    Ok(())
}

/// The key covers both hellos whole, so that a changed address or version fails the proof.
fn derive_key(secret: &PeerSecret, client_hello: &[u8], server_hello: &[u8]) -> ConnectionKey {
    let secret = ConnectionKey::new(secret.bytes());
    let key = secret.tag(&[b"mulberry-peers connection key", client_hello, server_hello]);
    ConnectionKey::new(&key)
}

fn encode_address(address: Option<SocketAddr>) -> [u8; ADDRESS_BYTES] {
    let mut bytes = [0; ADDRESS_BYTES];
    if let Some(address) = address {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        bytes[..16].copy_from_slice(&ip.octets());
        bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    }
    bytes
}

fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let octets: [u8; 16] = bytes[..16].try_into().ok()?;
    let port = u16::from_le_bytes([bytes[16], bytes[17]]);
    let address = SocketAddr::new(Ipv6Addr::from(octets).to_canonical(), port);
    (port != 0).then_some(address)
}

fn write_all(mut socket: &TcpStream, bytes: &[u8]) -> Result<(), HandshakeError> {
    socket.write_all(bytes).map_err(HandshakeError::Io)
}

/// Reads until `buffer` is full or `deadline` has passed, however slowly single bytes arrive.
fn read_exact(
    mut socket: &TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
) -> Result<(), HandshakeError> {
    let mut filled = 0;
    while filled < buffer.len() {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            return Err(HandshakeError::Rejected(FrameRejectReason::HandshakeTimeout));
        }
        socket.set_read_timeout(Some(left)).map_err(HandshakeError::Io)?;
        match socket.read(&mut buffer[filled..]) {
            Ok(0) => return Err(HandshakeError::Rejected(FrameRejectReason::Truncated)),
            Ok(bytes) => filled += bytes,
            Err(error) => match error.kind() {
                io::ErrorKind::Interrupted
                | io::ErrorKind::WouldBlock
                | io::ErrorKind::TimedOut => {}
                _ => return Err(HandshakeError::Io(error)),
            },
        }
    }
    Ok(())
}
