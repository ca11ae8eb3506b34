//! Targets and forged datagrams that send without end must not exhaust memory. Each test measures the memory of this
//! process, so the tests run one at a time.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use common::{
    Action, Fleet, Reply, Target, config, engine_config, exchange, request, response, stream_head,
};
use mulberry_gateway::GatewaySettings;

/// Number of concurrent calls.
const CALLS: usize = 12;

/// Allowed growth of the process beyond the gateway's limit for buffered responses, for socket buffers and the test
/// targets.
const OVERHEAD_BYTES: usize = 24 << 20;

/// Maximum response time of a request with a timeout of 3 s whose targets never end their responses.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(4_500);

const NO_PAUSE: Duration = Duration::ZERO;

static MEMORY_TEST_LOCK: Mutex<()> = Mutex::new(());

fn lock_memory_test() -> MutexGuard<'static, ()> {
    MEMORY_TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("readable");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("a number") * 4_096
}

/// Sends the same request several times concurrently. Returns the replies and the growth of the process in bytes.
fn call_concurrently(callers: SocketAddr, request: &str) -> (Vec<Reply>, usize) {
    let before = resident_bytes();
    let mut max_bytes = before;
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let request = request.to_owned();
            std::thread::spawn(move || exchange(callers, &request))
        })
        .collect();
    while !calls.iter().all(std::thread::JoinHandle::is_finished) {
        max_bytes = max_bytes.max(resident_bytes());
        std::thread::sleep(Duration::from_millis(5));
    }
    let replies = calls.into_iter().map(|call| call.join().expect("no panic")).collect();
    (replies, max_bytes - before)
}

/// Sends requests to targets that respond with `prefix` and then repeat `piece` without end. Checks the response time,
/// the memory and that the connections are closed.
fn check_unbounded_response(
    name: &str,
    path: &str,
    prefix: &str,
    piece: &str,
    pause: Duration,
) -> Vec<Reply> {
    let action = || Action::SendWithoutEnd(prefix.to_owned(), piece.to_owned(), pause);
    let (one, two) = (Target::start("one", vec![action()]), Target::start("two", vec![action()]));
    let fleet = Fleet::ready(name, config(1), &[&one, &two]);
    let since = Instant::now();
    let (replies, growth) = call_concurrently(fleet.callers, &request("GET", path, "", ""));
    assert!(since.elapsed() < MAX_RESPONSE_TIME, "answered after {:?}", since.elapsed());
    let allowed = GatewaySettings::default().response_memory_bytes + OVERHEAD_BYTES;
    assert!(growth <= allowed, "grew by {} MiB", growth >> 20);
    common::wait_until("the connections are closed", || {
        one.closed_connections() + two.closed_connections()
            >= one.received().len() + two.received().len()
    });
    replies
}

#[test]
fn an_endless_chunked_body_is_aborted() {
    let _lock = lock_memory_test();
    let prefix = stream_head();
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("chunks", "/safe/", &prefix, &chunk, NO_PAUSE) {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_body_without_a_length_is_aborted() {
    let _lock = lock_memory_test();
    let prefix = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\n\r\n";
    for reply in
        check_unbounded_response("until-close", "/safe/", prefix, &"x".repeat(1 << 14), NO_PAUSE)
    {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_response_to_another_request_is_not_buffered() {
    let _lock = lock_memory_test();
    let prefix = stream_head().replace("{id}", "another");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("foreign-endless", "/safe/", &prefix, &chunk, NO_PAUSE) {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_response_head_is_aborted() {
    let _lock = lock_memory_test();
    let prefix = "HTTP/1.1 200 OK\r\nX: ";
    for reply in check_unbounded_response("head", "/safe/", prefix, &"x".repeat(1 << 14), NO_PAUSE)
    {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn a_head_sent_byte_by_byte_is_aborted_at_the_deadline() {
    let _lock = lock_memory_test();
    let prefix = "HTTP/1.1 200 OK\r\nX: ";
    for reply in
        check_unbounded_response("slow-head", "/safe/", prefix, "x", Duration::from_millis(20))
    {
        assert!(matches!(reply.status, 502 | 504), "{}", reply.head);
    }
}

#[test]
fn endless_interim_responses_are_aborted() {
    let _lock = lock_memory_test();
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let endless = Action::SendWithoutEnd(interim.to_owned(), interim.repeat(64), NO_PAUSE);
    let target = Target::start("one", vec![endless, Action::Send(response(200, "one"))]);
    let fleet = Fleet::ready("interim", config(1), &[&target]);
    let since = Instant::now();
    assert_eq!(fleet.get("/safe/", "").status, 502);
    assert!(since.elapsed() < Duration::from_millis(1_500), "aborted only at the deadline");
    assert_eq!(fleet.get("/safe/", "").body, "one", "other requests are served");
}

#[test]
fn an_endless_event_aborts_the_stream() {
    let _lock = lock_memory_test();
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("event", "/stream/", &stream_head(), &chunk, NO_PAUSE) {
        assert_ne!((reply.status, reply.is_complete), (200, true), "{}", reply.head);
    }
}

#[test]
fn endless_comments_abort_the_stream() {
    let _lock = lock_memory_test();
    let chunk = format!("4000\r\n{}\n\n\r\n", ":".repeat(0x3ffe));
    for reply in check_unbounded_response("comments", "/stream/", &stream_head(), &chunk, NO_PAUSE)
    {
        assert_ne!((reply.status, reply.is_complete), (200, true), "{}", reply.head);
    }
}

#[test]
fn forged_datagrams_create_a_bounded_number_of_homes() {
    let _lock = lock_memory_test();
    // Variant index of `HomeMessage::ActiveJobs`, whose fields are group, gateway, highest number and numbers.
    const LIST: u8 = 4;
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let fleet = Fleet::ready("stranger", engine_config(1), &[&target]);
    let gateway = SocketAddr::new(fleet.callers.ip(), 7_302);
    let socket = UdpSocket::bind(SocketAddr::new(fleet.callers.ip(), 0)).expect("binds");
    let before = resident_bytes();
    let mut max_bytes = before;
    for number in 0..30_000_u64 {
        let group = format!("group-{number}");
        let list = (LIST, group, number, 0_u64, Vec::<u64>::new());
        let bytes = postcard::to_stdvec(&list).expect("encodes");
        socket.send_to(&bytes, gateway).expect("sends");
        if number % 50 == 0 {
            std::thread::sleep(Duration::from_millis(1));
            max_bytes = max_bytes.max(resident_bytes());
        }
    }
    assert!(max_bytes - before < 8 << 20, "grew by {} MiB", (max_bytes - before) >> 20);
    assert_eq!(fleet.get("/safe/", "").body, "one", "other requests are served");
}
