//! Services whose answers have statuses that HTTP does not know.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mulberry_http::{Bytes, HeaderMap, Method};
use mulberry_services::{ServiceAnswer, ServiceCall, ServiceClient, ServiceError};
use mulberry_types::{Incarnation, NodeId, RequestId};

const FIELDS: &str = "Content-Length: 2\r\n\r\nno";

/// Starts a service that answers each call with `answer` and then waits until the caller closes.
fn start_service(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(answer.as_bytes());
            while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {}
        }
    });
    address
}

fn call(answer: String) -> Result<ServiceAnswer, ServiceError> {
    ServiceClient::default().call(&ServiceCall {
        address: start_service(answer),
        request: RequestId { node: NodeId(1), incarnation: Incarnation(1), counter: 1 },
        method: &Method::GET,
        path_and_query: "/",
        headers: &HeaderMap::new(),
        body: &Bytes::new(),
        deadline: Instant::now() + Duration::from_secs(2),
    })
}

#[test]
fn a_status_outside_of_http_is_no_answer() {
    let mut accepted = Vec::new();
    let mut slow = Vec::new();
    for status in [
        "000",
        "001",
        "099",
        "101",
        "600",
        "999",
        "-20",
        "+20",
        "2x0",
        "abc",
        "20",
        "2",
        "",
        "2000",
        "0200",
        " 200",
        "200.",
        "\u{0662}00",
    ] {
        for fields in [FIELDS, "Content-Length: 0\r\n\r\n"] {
            let since = Instant::now();
            if let Ok(answer) = call(format!("HTTP/1.1 {status} S\r\n{fields}")) {
                accepted.push((status, answer.status, answer.body));
            }
            if since.elapsed() > Duration::from_secs(1) {
                slow.push(status);
            }
        }
    }
    assert!(accepted.is_empty() && slow.is_empty(), "{accepted:#?}, given up late: {slow:?}");
}

#[test]
fn interim_answers_are_skipped_within_a_bound() {
    let interim = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n";
    let answer = call(format!("{interim}HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 S\r\n{FIELDS}"));
    let answer = answer.map(|answer| (answer.status.as_u16(), answer.body));
    assert_eq!(answer, Ok((404, "no".into())));
    let answer = call(format!("{}HTTP/1.1 200 S\r\n{FIELDS}", interim.repeat(17)));
    assert!(matches!(answer, Err(ServiceError::MayHaveRun { .. })), "{answer:?}");
}
