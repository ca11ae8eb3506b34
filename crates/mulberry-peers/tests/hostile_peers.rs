//! A live server and client against peers that do not follow the protocol.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;

use mulberry_peers::{
    Call, FrameRejectReason, NotSentReason, PeerClient, PeerClientSettings, PeerError, PeerSecret,
    PeerServer, PeerServerSettings, Responder,
};
use proptest::prelude::*;
use support::{SOON, TestServer, client, listen, secret, tampering_proxy, wait_until};

const MESSAGES: [u64; 4] = [11, 22, 33, 44];

#[derive(Debug, Clone)]
enum Tampering {
    FlipBit { place: prop::sample::Index },
    CutInside { frame: usize, place: prop::sample::Index },
    Replay { frame: usize, at: usize },
    Swap { first: usize, second: usize },
    Insert { at: usize, bytes: Vec<u8> },
}

impl Tampering {
    /// The bytes to pass on, and how many messages the server may accept.
    fn apply(&self, frames: &[Vec<u8>]) -> (Vec<u8>, usize) {
        let mut frames = frames.to_vec();
        match self {
            Tampering::FlipBit { place } => {
                let lengths: Vec<_> = frames.iter().map(Vec::len).collect();
                let mut bytes = frames.concat();
                let bit = place.index(bytes.len() * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
                let ends = lengths.iter().scan(0, |end, length| {
                    *end += length;
                    Some(*end)
                });
                let intact = ends.take_while(|end| *end <= bit / 8).count();
                (bytes, intact)
            }
            Tampering::CutInside { frame, place } => {
                let keep = 1 + place.index(frames[*frame].len() - 1);
                frames[*frame].truncate(keep);
                frames.truncate(frame + 1);
                (frames.concat(), *frame)
            }
            Tampering::Replay { frame, at } => {
                frames.insert(*at, frames[*frame].clone());
                (frames.concat(), *at)
            }
            Tampering::Swap { first, second } => {
                frames.swap(*first, *second);
                (frames.concat(), *first)
            }
            Tampering::Insert { at, bytes } => {
                frames.insert(*at, bytes.clone());
                (frames.concat(), *at)
            }
        }
    }
}

fn tampering() -> impl Strategy<Value = Tampering> {
    let bytes = prop::collection::vec(any::<u8>(), 1..100);
    prop_oneof![
        any::<prop::sample::Index>().prop_map(|place| Tampering::FlipBit { place }),
        (0..4_usize, any::<prop::sample::Index>())
            .prop_map(|(frame, place)| Tampering::CutInside { frame, place }),
        (0..4_usize, 1..4_usize)
            .prop_map(|(frame, after)| Tampering::Replay { frame, at: (frame + after).min(4) }),
        (0..3_usize, 1..4_usize)
            .prop_map(|(first, by)| Tampering::Swap { first, second: (first + by).min(3) }),
        (0..=4_usize, bytes).prop_map(|(at, bytes)| Tampering::Insert { at, bytes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a changed, replayed, reordered or cut message that reaches the handler.
    #[test]
    fn tampered_frames_never_reach_the_handler(tampering in tampering()) {
        let server = TestServer::start(PeerServerSettings::default());
        let (expected, accepted) = crossbeam::channel::bounded(1);
        let (address, proxy) = tampering_proxy(server.address(), MESSAGES.len(), move |frames| {
            let (bytes, intact) = tampering.apply(&frames);
            expected.send(intact).unwrap();
            bytes
        });
        let client = client(address, PeerClientSettings::default());
        for message in MESSAGES {
            client.send(&message).unwrap();
        }
        server.closed.recv_timeout(SOON).unwrap();
        let accepted = accepted.recv_timeout(SOON).unwrap();
        prop_assert_eq!(server.seen(), &MESSAGES[..accepted]);
        prop_assert_eq!(server.server.stats().rejected_total(), 1);
        client.close();
        proxy.join().unwrap();
    }

    /// Guards against a panic, a handler call or a lasting effect of foreign bytes, also behind a
    /// valid start.
    #[test]
    fn arbitrary_bytes_do_not_disturb_the_server(
        has_start in any::<bool>(),
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let server = TestServer::start(PeerServerSettings::default());
        let mut socket = TcpStream::connect(server.address()).unwrap();
        let start: &[u8] = if has_start { b"MBLP\x01" } else { b"" };
        // The server may close the connection before all is written.
        let _ = socket.write_all(&[start, &bytes].concat());
        let _ = socket.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer);
        prop_assert!(answer.len() <= 37, "more than a hello was answered");
        prop_assert!(server.seen().is_empty());
        let good = client(server.address(), PeerClientSettings::default());
        prop_assert_eq!(good.call(&1, SOON), Ok(2));
    }
}

/// Guards against a server or a client that talks to a process without the secret.
#[test]
fn a_wrong_secret_is_refused_and_counted() {
    let server = TestServer::start(PeerServerSettings::default());
    let other = PeerSecret::new("another secret with at least 32 bytes").unwrap();
    let client: PeerClient<u64, u64> =
        PeerClient::new(server.address(), other, PeerClientSettings::default(), |_| {});
    let error = client.call(&1, SOON).unwrap_err();
    assert!(matches!(error, PeerError::NotSent(NotSentReason::Unreachable { .. })), "{error}");
    wait_until("rejection", || server.server.stats().rejected(FrameRejectReason::WrongSecret) == 1);
    assert!(server.seen().is_empty());
}

/// Guards against a client that takes a server without the secret for its peer.
#[test]
fn a_server_without_the_secret_gets_no_call() {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut hello_and_proof = [0; 55];
        socket.read_exact(&mut hello_and_proof).unwrap();
        socket.write_all(&[b"MBLP\x01".as_slice(), &[7; 32]].concat()).unwrap();
        socket.write_all(&[9; 32]).unwrap();
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest);
        rest
    });
    let client = client(address, PeerClientSettings::default());
    let error = client.call(&1, SOON).unwrap_err();
    assert!(matches!(error, PeerError::NotSent(NotSentReason::Unreachable { .. })), "{error}");
    assert_eq!(client.stats().rejected(FrameRejectReason::WrongSecret), 1);
    assert_eq!(server.join().unwrap().len(), 32, "only the client's proof may follow its hello");
}

/// Guards against half-open handshakes that hold threads for long or keep a good client out.
#[test]
fn slow_handshakes_do_not_disturb_a_good_client() {
    let settings = PeerServerSettings { max_handshakes: 64, ..PeerServerSettings::default() };
    let server = TestServer::start(settings);
    let good = client(server.address(), PeerClientSettings::default());
    let mut half_open: Vec<_> = (0..200)
        .map(|_| {
            let mut socket = TcpStream::connect(server.address()).unwrap();
            socket.write_all(b"MBL").unwrap();
            socket
        })
        .collect();
    for number in 0..100 {
        assert_eq!(good.call(&number, SOON), Ok(number + 1));
    }
    for socket in &mut half_open {
        socket.set_read_timeout(Some(SOON)).unwrap();
        // Closed by the server: an end or a reset, but not a timeout of this side.
        let ended = match socket.read(&mut [0; 1]) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        assert!(ended);
    }
    let stats = server.server.stats();
    let evicted = stats.rejected(FrameRejectReason::HandshakeEvicted);
    assert!(evicted >= 200 - 64, "{evicted} evicted");
    wait_until("all handshakes are over", || {
        stats.rejected(FrameRejectReason::HandshakeTimeout) + evicted >= 200
    });
}

/// Guards against unbounded connections.
#[test]
fn connections_above_the_limit_are_refused() {
    let settings = PeerServerSettings { max_connections: 1, ..PeerServerSettings::default() };
    let server = TestServer::start(settings);
    let first = client(server.address(), PeerClientSettings::default());
    assert_eq!(first.call(&1, SOON), Ok(2));
    let second = client(server.address(), PeerClientSettings::default());
    let error = second.call(&5, SOON).unwrap_err();
    assert!(error.is_not_sent(), "{error}");
    assert_eq!(server.server.stats().rejected(FrameRejectReason::TooManyConnections), 1);
    assert_eq!(first.call(&2, SOON), Ok(3));
    assert_eq!(server.seen(), [1, 2]);
}

/// Guards against a peer of another message type that is not noticed.
#[test]
fn an_undecodable_body_closes_the_connection() {
    let server = TestServer::start(PeerServerSettings::default());
    let client: PeerClient<(u8, String), u64> =
        PeerClient::new(server.address(), secret(), PeerClientSettings::default(), |_| {});
    let error = client.call(&(200, "text".to_owned()), SOON).unwrap_err();
    assert!(!error.is_not_sent(), "{error}");
    assert_eq!(server.server.stats().rejected(FrameRejectReason::Undecodable), 1);
}

/// Guards against a panic in a handler that stops the whole server.
#[test]
fn a_panicking_handler_ends_only_its_connection() {
    let server = PeerServer::start(
        listen(),
        secret(),
        PeerServerSettings::default(),
        |call: Call<u64>, responder: Responder<u64>| {
            assert_ne!(call.request, 13, "expected by the test");
            let _ = responder.send(&call.request);
        },
    )
    .unwrap();
    let first = client(server.local_address(), PeerClientSettings::default());
    let second = client(server.local_address(), PeerClientSettings::default());
    assert_eq!(second.call(&1, SOON), Ok(1));
    assert!(!first.call(&13, SOON).unwrap_err().is_not_sent());
    assert_eq!(second.call(&2, SOON), Ok(2));
    wait_until("notice", || server.stats().connections_closed.load(Ordering::Relaxed) == 1);
}

/// Guards against the secret in a log.
#[test]
fn the_secret_is_checked_and_not_printed() {
    assert_eq!(format!("{:?}", secret()), "PeerSecret(..)");
    assert_eq!(
        PeerSecret::new("short").unwrap_err().to_string(),
        "the peer secret has 5 bytes; use at least 32 random bytes"
    );
    assert_eq!(secret(), PeerSecret::new(" 0123456789abcdef0123456789abcdef\n").unwrap());
    assert_ne!(secret(), PeerSecret::new("another secret with at least 32 bytes").unwrap());
}
