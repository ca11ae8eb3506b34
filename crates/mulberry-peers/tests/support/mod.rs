//! Server, client and a proxy that tampers with frames, shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mulberry_peers::{
    Call, ClosedConnection, PeerClient, PeerClientSettings, PeerSecret, PeerServer,
    PeerServerSettings, Responder,
};

/// Bound for anything that must happen; far above what it takes on a busy machine.
pub const SOON: Duration = Duration::from_secs(20);

const CLIENT_HELLO_BYTES: usize = 55;
const SERVER_HELLO_BYTES: usize = 37;
const PROOF_BYTES: usize = 32;
pub const HEADER_BYTES: usize = 37;

pub type Client = PeerClient<u64, u64>;

/// A server whose handler records each request and answers it with the request plus one.
pub struct TestServer {
    pub server: PeerServer<u64, u64>,
    pub seen: Arc<Mutex<Vec<u64>>>,
    pub closed: crossbeam::channel::Receiver<ClosedConnection>,
}

pub fn secret() -> PeerSecret {
    PeerSecret::new("0123456789abcdef0123456789abcdef").unwrap()
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

impl TestServer {
    pub fn start(settings: PeerServerSettings) -> TestServer {
        TestServer::on(listen(), settings)
    }

    pub fn on(listener: TcpListener, settings: PeerServerSettings) -> TestServer {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let for_handler = seen.clone();
        let (notices, closed) = crossbeam::channel::unbounded();
        let server = PeerServer::start_with_notices(
            listener,
            secret(),
            settings,
            move |call: Call<u64>, responder: Responder<u64>| {
                for_handler.lock().unwrap().push(call.request);
                let _ = responder.send(&(call.request + 1));
            },
            move |notice| {
                let _ = notices.send(notice);
            },
        )
        .unwrap();
        TestServer { server, seen, closed }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    pub fn seen(&self) -> Vec<u64> {
        self.seen.lock().unwrap().clone()
    }
}

pub fn client(address: SocketAddr, settings: PeerClientSettings) -> Client {
    PeerClient::new(address, secret(), settings, |_| {})
}

/// Waits until `condition` holds; fails the test after [`SOON`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + SOON;
    while !condition() {
        assert!(Instant::now() < deadline, "did not happen in time: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Forwards one connection to `server`. Collects `frames` frames of the client, lets `tamper` turn
/// them into the bytes that are passed on, and then ends the client's direction.
pub fn tampering_proxy(
    server: SocketAddr,
    frames: usize,
    tamper: impl FnOnce(Vec<Vec<u8>>) -> Vec<u8> + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (mut from_client, _) = listener.accept().unwrap();
        let mut to_server = TcpStream::connect(server).unwrap();
        pass(&mut from_client, &mut to_server, CLIENT_HELLO_BYTES);
        pass(&mut to_server, &mut from_client, SERVER_HELLO_BYTES);
        pass(&mut from_client, &mut to_server, PROOF_BYTES);
        pass(&mut to_server, &mut from_client, PROOF_BYTES);
        let frames = (0..frames).map(|_| read_frame(&mut from_client)).collect();
        // The server may close the connection while the last bytes are written.
        let _ = to_server.write_all(&tamper(frames));
        let _ = to_server.shutdown(Shutdown::Write);
        let _ = to_server.read_to_end(&mut Vec::new());
    });
    (address, thread)
}

fn pass(from: &mut TcpStream, to: &mut TcpStream, bytes: usize) {
    let mut buffer = vec![0; bytes];
    from.read_exact(&mut buffer).unwrap();
    to.write_all(&buffer).unwrap();
}

fn read_frame(from: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    from.read_exact(&mut frame).unwrap();
    let body = u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize;
    frame.resize(HEADER_BYTES + body, 0);
    from.read_exact(&mut frame[HEADER_BYTES..]).unwrap();
    frame
}
