//! Targets that respond before they have read a long request body.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Fleet, Reply, config, engine_config, response};
use mulberry_directory::{TargetRecord, TargetState};
use mulberry_registry::PublicRequest;
use mulberry_routes::RoutingConfig;

/// Lengths of bodies that the kernel takes in part, or whole before the target reads them.
const BODY_BYTES: [usize; 2] = [8 << 20, 400 << 10];

const PAUSE: Duration = Duration::from_millis(100);

/// Longer than a request may take.
const HANG: Duration = Duration::from_secs(10);

/// What a target does after the head of its response and a part of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Closes at once; the unread request makes the kernel reset the connection.
    Reset,

    /// Closes when the part has been read.
    ResetLater,

    /// Ends its direction, then closes.
    EndThenReset,

    /// As `EndThenReset`, with a pause between.
    EndThenResetLater,

    /// Ends its direction, reads the whole request, then closes.
    End,

    /// Ends its direction and neither reads nor closes.
    EndThenHang,

    /// Keeps the connection and reads what comes.
    ReadOn,

    /// Reads the whole request, then sends a final response.
    Respond,
}

/// A target that responds to each request as soon as it has the head. Returns the bytes that come behind the head.
fn start_target(response: String, ending: Ending) -> (SocketAddr, Arc<Mutex<Vec<Vec<u8>>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    let received: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let all_received = received.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let (response, received) = (response.clone(), all_received.clone());
            std::thread::spawn(move || {
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") {
                    if !matches!(stream.read(&mut byte), Ok(1)) {
                        return;
                    }
                    head.push(byte[0]);
                }
                let _ = stream.write_all(response.as_bytes());
                end(stream, ending, &received);
            });
        }
    });
    (address, received)
}

fn end(mut stream: TcpStream, ending: Ending, received: &Mutex<Vec<Vec<u8>>>) {
    let end_direction = |stream: &TcpStream| stream.shutdown(Shutdown::Write).is_ok();
    match ending {
        Ending::Reset => {}
        Ending::ResetLater => std::thread::sleep(PAUSE),
        Ending::EndThenReset => {
            end_direction(&stream);
        }
        Ending::EndThenResetLater => {
            end_direction(&stream);
            std::thread::sleep(PAUSE);
        }
        Ending::EndThenHang => {
            end_direction(&stream);
            std::thread::sleep(HANG);
        }
        Ending::End | Ending::ReadOn => {
            if ending == Ending::End {
                end_direction(&stream);
            }
            std::thread::sleep(PAUSE);
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
            received.lock().expect("not poisoned").push(rest);
        }
        Ending::Respond => {
            std::thread::sleep(PAUSE);
            if stream.read_exact(&mut vec![0; BODY_BYTES[0]]).is_ok() {
                let late = response(200, "late").replace("{id}", "r1");
                let _ = stream.write_all(late.as_bytes());
            }
        }
    }
}

fn record(address: SocketAddr) -> TargetRecord {
    TargetRecord {
        id: "early".into(),
        started_ms: 1,
        sequence: 1,
        service: "s".into(),
        address,
        zone: "z".into(),
        slots: 8,
        state: TargetState::Ready,
        cold_remaining_ms: 0,
    }
}

fn start_fleet(name: &str, address: SocketAddr, mut config: RoutingConfig) -> Fleet {
    config.limits.max_body_bytes = 16 << 20;
    let fleet = Fleet::start(name);
    fleet.call_registry(PublicRequest::Announce(record(address)));
    fleet.configure(config);
    fleet.wait_ready();
    fleet
}

fn upload(fleet: &Fleet, path: &str, bytes: usize) -> Reply {
    fleet.post(path, "Prompt-Tokens: 50\r\n", &"u".repeat(bytes))
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\n\r\n";
const EVENT: &str = "id: 1\ndata: part 1\n\n";

#[test]
fn a_response_without_length_that_is_reset_during_the_upload_is_not_complete() {
    let endings = [
        Ending::Reset,
        Ending::ResetLater,
        Ending::EndThenReset,
        Ending::EndThenResetLater,
        Ending::EndThenHang,
    ];
    let mut complete = Vec::new();
    for ending in endings {
        let text = format!("{UNFRAMED}{EVENT}").replace("{id}", "r1");
        let (address, _) = start_target(text, ending);
        let mut fleet = start_fleet(&format!("reset-{ending:?}"), address, engine_config(1));
        for path in ["/once/", "/safe/", "/stream/"] {
            for bytes in BODY_BYTES {
                let reply = upload(&fleet, path, bytes);
                if reply.is_complete && reply.status < 500 {
                    complete.push((ending, path, bytes, reply.body));
                }
            }
        }
        fleet.kill_gateway();
    }
    assert!(complete.is_empty(), "{complete:#?}");
}

#[test]
fn an_early_response_without_length_that_ends_in_order_is_complete() {
    let text = format!("{UNFRAMED}{EVENT}").replace("{id}", "r1");
    let (address, received) = start_target(text, Ending::End);
    let fleet = start_fleet("end", address, engine_config(1));
    for path in ["/once/", "/safe/", "/stream/"] {
        let reply = upload(&fleet, path, BODY_BYTES[1]);
        assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, EVENT, true));
    }
    let received = received.lock().expect("not poisoned").iter().map(Vec::len).collect::<Vec<_>>();
    assert_eq!(received, [BODY_BYTES[1]; 3], "taken before the caller has the response");
}

#[test]
fn a_target_that_responds_early_and_reads_on_gets_only_the_body() {
    let text = response(200, "early").replace("{id}", "r1");
    let (address, received) = start_target(text, Ending::ReadOn);
    let fleet = start_fleet("read-on", address, config(1));
    for bytes in BODY_BYTES {
        let reply = upload(&fleet, "/safe/", bytes);
        assert_eq!((reply.status, reply.body.as_str()), (200, "early"));
    }
    drop(fleet);
    common::wait_until("all connections are closed", || {
        received.lock().expect("not poisoned").len() == BODY_BYTES.len()
    });
    for rest in received.lock().expect("not poisoned").iter() {
        assert!(rest.iter().all(|byte| *byte == b'u'), "other bytes in the place of the body");
    }
}

#[test]
fn an_interim_response_does_not_end_an_upload() {
    for count in [1, 3] {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(count);
        let (address, _) = start_target(interim, Ending::Respond);
        let mut fleet = start_fleet(&format!("interim-{count}"), address, config(1));
        let reply = upload(&fleet, "/once/", BODY_BYTES[0]);
        assert_eq!((reply.status, reply.body.as_str()), (200, "late"), "{count} interim responses");
        fleet.kill_gateway();
    }
}
