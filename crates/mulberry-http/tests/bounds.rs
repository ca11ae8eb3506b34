//! Idle, slow, oversized and aborted exchanges stay within the bounds of the server.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use mulberry_http::{
    HeaderMap, HttpServer, HttpSettings, Request, Responder, Response, StatusCode,
};

/// Longer than any bound set in these tests.
const PATIENCE: Duration = Duration::from_secs(20);

fn start(
    settings: HttpSettings,
    handler: impl Fn(Request, Responder) + Send + Sync + 'static,
) -> HttpServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    HttpServer::start(listener, settings, handler).unwrap()
}

fn echo(request: Request, responder: Responder) {
    responder.send(Response::text(StatusCode::OK, request.body));
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    // A cut connection ends the answer as well; the text received so far tells the rest.
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn half_sent_requests_are_closed_and_others_are_served() {
    let settings = HttpSettings { header_timeout_ms: 500, ..HttpSettings::default() };
    let server = start(settings, echo);
    let address = server.local_address();
    let mut half_sent: Vec<_> = (0..500)
        .map(|index| {
            let mut stream = connect(address);
            if index % 2 == 0 {
                stream.write_all(b"POST / HTTP/1.1\r\nHost: x\r\nContent-").unwrap();
            }
            stream
        })
        .collect();
    let answer = exchange(
        address,
        "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    );
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hi"), "{answer}");
    for stream in &mut half_sent {
        // Closed by the server: the read ends before its timeout.
        let mut rest = Vec::new();
        let started = Instant::now();
        let _ = stream.read_to_end(&mut rest);
        assert!(started.elapsed() < PATIENCE, "a half-sent request was kept open");
    }
}

#[test]
fn slow_body_gets_request_timeout() {
    let server = start(HttpSettings { body_timeout_ms: 300, ..HttpSettings::default() }, echo);
    let answer = exchange(
        server.local_address(),
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
    );
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
}

#[test]
fn large_body_is_refused_with_and_without_length() {
    let server = start(HttpSettings { max_body_bytes: 8, ..HttpSettings::default() }, echo);
    let stated = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789";
    let chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
                   9\r\n123456789\r\n0\r\n\r\n";
    for request in [stated, chunked] {
        let answer = exchange(server.local_address(), request);
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    }
}

#[test]
fn requests_over_the_limit_are_refused_at_once() {
    let (release, held) = mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let (entered, is_in) = mpsc::channel();
    let settings = HttpSettings { max_requests_in_flight: 1, ..HttpSettings::default() };
    let server = start(settings, move |request, responder| {
        entered.send(()).unwrap();
        let _ = held.lock().unwrap().recv_timeout(PATIENCE);
        echo(request, responder);
    });
    let address = server.local_address();
    let get = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let first = std::thread::spawn(move || exchange(address, get));
    is_in.recv_timeout(PATIENCE).unwrap();
    let second = exchange(address, get);
    assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    assert!(second.contains("retry-after: 1"), "{second}");
    release.send(()).unwrap();
    assert!(first.join().unwrap().starts_with("HTTP/1.1 200"));
}

#[test]
fn connections_over_the_limit_are_closed() {
    let server = start(HttpSettings { max_connections: 3, ..HttpSettings::default() }, echo);
    let held: Vec<_> = (0..4).map(|_| connect(server.local_address())).collect();
    let refused = || server.stats().refused_connections.load(Ordering::Relaxed);
    let end = Instant::now() + PATIENCE;
    while refused() == 0 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(refused(), 1);
    assert_eq!(server.stats().connections.load(Ordering::Relaxed), 3);
    drop(held);
}

#[test]
fn aborted_stream_has_no_final_chunk() {
    let server = start(HttpSettings::default(), |request, responder| {
        let writer = responder.stream(StatusCode::OK, HeaderMap::new());
        writer.write("part").unwrap();
        if request.path() == "/whole" {
            writer.finish().unwrap();
        }
    });
    let get = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        exchange(server.local_address(), &request)
    };
    assert!(get("/whole").ends_with("0\r\n\r\n"));
    assert!(!get("/cut").ends_with("0\r\n\r\n"));
}

#[test]
fn disconnect_shows_while_nothing_is_written() {
    let (closed, is_closed) = mpsc::channel();
    let server = start(HttpSettings::default(), move |_, responder| {
        let end = Instant::now() + PATIENCE;
        while !responder.is_closed() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        closed.send(responder.is_closed()).unwrap();
    });
    let mut stream = connect(server.local_address());
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    drop(stream);
    assert!(is_closed.recv_timeout(PATIENCE * 2).unwrap());
}

#[test]
fn stop_waits_for_requests_in_flight() {
    let (entered, is_in) = mpsc::channel();
    let server = start(HttpSettings::default(), move |request, responder| {
        entered.send(()).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        echo(request, responder);
    });
    let address = server.local_address();
    let first = std::thread::spawn(move || exchange(address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
    is_in.recv_timeout(PATIENCE).unwrap();
    assert!(server.stop(PATIENCE));
    assert!(first.join().unwrap().starts_with("HTTP/1.1 200"));
    assert!(TcpStream::connect(address).is_err());
}

/// Calls until nobody listens any more, each time some time after it has connected. Returns how many calls got no answer
/// although they were sent.
fn call_until_closed(address: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        let mut answer = String::new();
        let request = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let is_sent = stream.write_all(request).is_ok();
        let _ = stream.read_to_string(&mut answer);
        if is_sent && !answer.starts_with("HTTP/1.1 200") {
            unanswered += 1;
        }
    }
    unanswered
}

#[test]
fn callers_that_have_connected_when_a_stop_begins_are_answered() {
    let server = start(HttpSettings::default(), echo);
    let address = server.local_address();
    let calls: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || call_until_closed(address))).collect();
    std::thread::sleep(Duration::from_millis(300));
    assert!(server.stop(PATIENCE));
    let unanswered: usize = calls.into_iter().map(|calls| calls.join().unwrap()).sum();
    assert_eq!(unanswered, 0, "calls were cut without an answer");
}

/// Guards against requests that are cut without an answer when the time of a stop is over.
#[test]
fn requests_still_open_at_the_end_of_a_stop_get_an_answer() {
    let (entered, is_in) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let server = start(HttpSettings::default(), move |request, responder| {
        entered.send(()).unwrap();
        let _ = released.lock().unwrap().recv_timeout(PATIENCE);
        echo(request, responder);
    });
    let address = server.local_address();
    let running =
        std::thread::spawn(move || exchange(address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
    is_in.recv_timeout(PATIENCE).unwrap();
    let incomplete = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf";
    let incomplete = std::thread::spawn(move || exchange(address, incomplete));
    std::thread::sleep(Duration::from_millis(100));
    assert!(!server.stop(Duration::from_millis(700)), "a request was still running");
    drop(server);
    let running = running.join().unwrap();
    assert!(running.starts_with("HTTP/1.1 504"), "{running:?}");
    assert!(running.contains(r#""code":"server_stopped","outcome":"unknown""#), "{running}");
    let incomplete = incomplete.join().unwrap();
    assert!(incomplete.starts_with("HTTP/1.1 503"), "{incomplete:?}");
    assert!(incomplete.contains(r#""code":"server_stopping","outcome":"not_run""#), "{incomplete}");
    drop(release);
}
