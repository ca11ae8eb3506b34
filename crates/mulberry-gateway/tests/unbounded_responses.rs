//! Targets and forged datagrams that send without end must not exhaust memory. Each test measures the memory of this
//! process, so the tests run one at a time.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use common::{
    Action, Fleet, Reply, Target, answer, config, engine_config, exchange, request, stream_head,
};
use mulberry_gateway::GatewaySettings;

/// Number of concurrent calls.
const CALLS: usize = 12;

/// Allowed growth of the process beyond the gateway's limit for buffered responses, for socket buffers and the test
/// targets.
const OTHER_BYTES: usize = 24 << 20;

/// Maximum time until a request with a time limit of 3 s is answered although its targets never end their responses.
const IN_TIME: Duration = Duration::from_millis(4_500);

const FULL_SPEED: Duration = Duration::ZERO;

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
    let mut most = before;
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let request = request.to_owned();
            std::thread::spawn(move || exchange(callers, &request))
        })
        .collect();
    while !calls.iter().all(std::thread::JoinHandle::is_finished) {
        most = most.max(resident_bytes());
        std::thread::sleep(Duration::from_millis(5));
    }
    let replies = calls.into_iter().map(|call| call.join().expect("no panic")).collect();
    (replies, most - before)
}

/// Calls targets that send `begin` and then `piece` repeatedly without end, and checks the response time, the memory
/// and that the connections are closed.
fn check_unbounded_response(
    name: &str,
    path: &str,
    begin: &str,
    piece: &str,
    pause: Duration,
) -> Vec<Reply> {
    let act = || Action::SendWithoutEnd(begin.to_owned(), piece.to_owned(), pause);
    let (one, two) = (Target::start("one", vec![act()]), Target::start("two", vec![act()]));
    let fleet = Fleet::ready(name, config(1), &[&one, &two]);
    let since = Instant::now();
    let (replies, grown) = call_concurrently(fleet.callers, &request("GET", path, "", ""));
    assert!(since.elapsed() < IN_TIME, "answered after {:?}", since.elapsed());
    let allowed = GatewaySettings::default().answer_memory_bytes + OTHER_BYTES;
    assert!(grown <= allowed, "grew by {} MiB", grown >> 20);
    common::wait_until("the connections are closed", || {
        one.closed() + two.closed() >= one.seen().len() + two.seen().len()
    });
    replies
}

#[test]
fn an_endless_chunked_body_is_aborted() {
    let _turn = lock_memory_test();
    let begin = stream_head();
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("chunks", "/safe/", &begin, &chunk, FULL_SPEED) {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_body_without_a_length_is_aborted() {
    let _turn = lock_memory_test();
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\n\r\n";
    for reply in
        check_unbounded_response("until-close", "/safe/", begin, &"x".repeat(1 << 14), FULL_SPEED)
    {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_response_to_another_request_is_not_buffered() {
    let _turn = lock_memory_test();
    let begin = stream_head().replace("{id}", "another");
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("foreign-endless", "/safe/", &begin, &chunk, FULL_SPEED) {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn an_endless_response_head_is_aborted() {
    let _turn = lock_memory_test();
    let begin = "HTTP/1.1 200 OK\r\nX: ";
    for reply in check_unbounded_response("head", "/safe/", begin, &"x".repeat(1 << 14), FULL_SPEED)
    {
        assert_eq!(reply.status, 502, "{}", reply.head);
    }
}

#[test]
fn a_head_sent_byte_by_byte_is_aborted_at_the_deadline() {
    let _turn = lock_memory_test();
    let begin = "HTTP/1.1 200 OK\r\nX: ";
    for reply in
        check_unbounded_response("slow-head", "/safe/", begin, "x", Duration::from_millis(20))
    {
        assert!(matches!(reply.status, 502 | 504), "{}", reply.head);
    }
}

#[test]
fn endless_interim_responses_are_aborted() {
    let _turn = lock_memory_test();
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let endless = Action::SendWithoutEnd(interim.to_owned(), interim.repeat(64), FULL_SPEED);
    let target = Target::start("one", vec![endless, Action::Send(answer(200, "one"))]);
    let fleet = Fleet::ready("interim", config(1), &[&target]);
    let since = Instant::now();
    assert_eq!(fleet.get("/safe/", "").status, 502);
    assert!(since.elapsed() < Duration::from_millis(1_500), "aborted only at the deadline");
    assert_eq!(fleet.get("/safe/", "").body, "one", "other requests are served");
}

#[test]
fn an_endless_event_aborts_the_stream() {
    let _turn = lock_memory_test();
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for reply in check_unbounded_response("event", "/stream/", &stream_head(), &chunk, FULL_SPEED) {
        assert_ne!((reply.status, reply.is_whole), (200, true), "{}", reply.head);
    }
}

#[test]
fn endless_comments_abort_the_stream() {
    let _turn = lock_memory_test();
    let chunk = format!("4000\r\n{}\n\n\r\n", ":".repeat(0x3ffe));
    for reply in
        check_unbounded_response("comments", "/stream/", &stream_head(), &chunk, FULL_SPEED)
    {
        assert_ne!((reply.status, reply.is_whole), (200, true), "{}", reply.head);
    }
}

#[test]
fn forged_datagrams_create_a_bounded_number_of_homes() {
    let _turn = lock_memory_test();
    // Variant index of `HomeMessage::ActiveRequests`, whose fields are group, gateway, highest number and numbers.
    const LIST: u8 = 4;
    let target = Target::start("one", vec![Action::Send(answer(200, "one"))]);
    let fleet = Fleet::ready("stranger", engine_config(1), &[&target]);
    let gateway = SocketAddr::new(fleet.callers.ip(), 7_302);
    let socket = UdpSocket::bind(SocketAddr::new(fleet.callers.ip(), 0)).expect("binds");
    let before = resident_bytes();
    let mut most = before;
    for number in 0..30_000_u64 {
        let group = format!("group-{number}");
        let list = (LIST, group, number, 0_u64, Vec::<u64>::new());
        let bytes = postcard::to_stdvec(&list).expect("encodes");
        socket.send_to(&bytes, gateway).expect("sends");
        if number % 50 == 0 {
            std::thread::sleep(Duration::from_millis(1));
            most = most.max(resident_bytes());
        }
    }
    assert!(most - before < 8 << 20, "grew by {} MiB", (most - before) >> 20);
    assert_eq!(fleet.get("/safe/", "").body, "one", "other requests are served");
}
