//! Services that break off their answers or never end them.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mulberry_http::{Bytes, HeaderMap, Method};
use mulberry_services::{
    ServiceAnswer, ServiceCall, ServiceClient, ServiceClientSettings, ServiceError,
};
use mulberry_types::{Incarnation, NodeId, RequestId};

/// Starts a service that answers each request with `answer`, then repeats `piece` until the caller closes; without a
/// piece it closes.
fn start_service(answer: Vec<u8>, piece: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let (answer, piece) = (answer.clone(), piece.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 4_096];
                let _ = stream.read(&mut buffer);
                let mut is_open = stream.write_all(&answer).is_ok();
                while is_open && !piece.is_empty() {
                    is_open = stream.write_all(&piece).is_ok();
                }
            });
        }
    });
    address
}

fn call(address: SocketAddr, limit: Duration) -> Result<ServiceAnswer, ServiceError> {
    let settings = ServiceClientSettings { max_answer_bytes: 1 << 20, ..Default::default() };
    call_with(&ServiceClient::new(settings), address, limit)
}

fn call_with(
    client: &ServiceClient,
    address: SocketAddr,
    limit: Duration,
) -> Result<ServiceAnswer, ServiceError> {
    client.call(&ServiceCall {
        address,
        request: RequestId { node: NodeId(1), incarnation: Incarnation(1), counter: 1 },
        method: &Method::GET,
        path_and_query: "/",
        headers: &HeaderMap::new(),
        body: &Bytes::new(),
        deadline: Instant::now() + limit,
    })
}

/// Guards against an answer that was broken off and reaches the caller as a whole one: a head without its end counted
/// as complete, with an empty or short body.
#[test]
fn an_answer_that_is_broken_off_anywhere_is_no_answer() {
    let framings = [
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nX-End: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-End: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ];
    for whole in framings {
        let answer = call(start_service(whole.into(), Vec::new()), Duration::from_secs(5));
        assert_eq!(answer.expect("is whole").body, "hello");
        let mut accepted = Vec::new();
        for cut in 0..whole.len() {
            let address = start_service(whole[..cut].into(), Vec::new());
            if let Ok(answer) = call(address, Duration::from_secs(5)) {
                accepted.push((&whole[..cut], answer.status, answer.body));
            }
        }
        assert!(accepted.is_empty(), "{accepted:#?}");
    }
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello";
    let answer = call(start_service(head.into(), Vec::new()), Duration::from_secs(5));
    assert_eq!(answer.map(|answer| answer.body), Ok("hello".into()));
}

/// Guards against bytes without end, in a head or a body, that fill the memory of the entry.
#[test]
fn an_answer_without_end_is_given_up_within_its_bound() {
    let cases: [(&str, &str); 6] = [
        ("", "x"),
        ("HTTP/1.1 200 OK\r\nX-Field: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;"),
    ];
    for (prefix, piece) in cases {
        let before = resident_bytes();
        let address = start_service(prefix.into(), piece.repeat(1 << 14).into());
        let calls: Vec<_> = (0..4)
            .map(|_| std::thread::spawn(move || call(address, Duration::from_secs(2))))
            .collect();
        let mut most = before;
        while !calls.iter().all(std::thread::JoinHandle::is_finished) {
            most = most.max(resident_bytes());
            std::thread::sleep(Duration::from_millis(2));
        }
        let grown = (most - before) >> 20;
        assert!(grown < 32, "{prefix:?} and {piece:?} grew the process by {grown} MiB");
        for call in calls {
            assert!(call.join().expect("no panic").is_err(), "{prefix:?} and {piece:?}");
        }
    }
}

/// Guards against many answers without end that fill the memory of the entry together.
#[test]
fn answers_that_are_read_at_the_same_time_are_bounded_together() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    let whole = [head.as_bytes(), &[b'x'; 1_000_000]].concat();
    let address = start_service(whole.clone(), Vec::new());
    let settings = ServiceClientSettings { max_reading_bytes: 1_500_000, ..Default::default() };
    let client = ServiceClient::new(settings);
    let length = |client: &ServiceClient, address| {
        let answer = call_with(client, address, Duration::from_secs(5));
        answer.map(|answer| answer.body.len())
    };
    let broken_off = start_service(whole[..head.len() + 999_999].to_vec(), Vec::new());
    assert!(length(&client, broken_off).is_err(), "broken off");
    let endless = start_service(b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'x'; 1 << 14]);
    assert!(length(&client, endless).is_err(), "longer than the bound of all");
    for _ in 0..5 {
        assert_eq!(length(&client, address), Ok(1_000_000), "failed calls hold nothing");
    }
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("has the line");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok());
    kib.expect("a number") << 10
}
