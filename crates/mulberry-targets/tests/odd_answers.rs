//! Engines whose answers have statuses that HTTP does not know, or end early.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mulberry_targets::{Completion, EngineClient};
use mulberry_types::{Incarnation, NodeId, Priority, RequestId};

const REQUEST: RequestId = RequestId { node: NodeId(1), incarnation: Incarnation(1), counter: 1 };

/// Starts an engine that gives each call the same answer and closes.
fn start_engine(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut input = Vec::new();
            while !input.ends_with(b"\r\n\r\n") && !input.ends_with(b"{}") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a request");
                input.push(byte[0]);
            }
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn accepts_list(answer: String) -> bool {
    EngineClient::default().streams(start_engine(answer)).is_ok()
}

fn accepts_event(answer: String) -> bool {
    let completion = Completion {
        address: start_engine(answer),
        path: "/v1/completions",
        request: REQUEST,
        priority: Priority::Normal,
        resume_from: 0,
        imports: &[],
        body: b"{}",
        deadline: Instant::now() + Duration::from_secs(3),
    };
    let stream = EngineClient::default().start(&completion);
    stream.and_then(|mut stream| stream.next_event()).is_ok()
}

fn last_event() -> String {
    format!(
        "data: {{\"x_request_id\":\"{REQUEST}\",\"x_total\":0,\"choices\":[{{\"finish_reason\":\"stop\"}}]}}\n"
    )
}

#[test]
fn a_status_outside_of_http_is_no_answer_of_an_engine() {
    let accepted = |status: &str| {
        (
            accepts_list(format!("HTTP/1.1 {status} S\r\nContent-Length: 2\r\n\r\n[]")),
            accepts_event(format!("HTTP/1.1 {status} S\r\n\r\n{}", last_event())),
        )
    };
    assert_eq!(accepted("200"), (true, true));
    for status in ["000", "099", "100", "101", "600", "999", "+20", "2x0", "20", "2000", "0200"] {
        assert_eq!(accepted(status), (false, false), "{status:?}");
    }
}

#[test]
fn an_answer_without_length_that_ends_early_is_no_answer_of_an_engine() {
    let event = last_event();
    for cut in 0..event.len() {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", &event[..cut]);
        assert!(!accepts_event(answer), "{:?}", &event[..cut]);
    }
    for list in ["", "[", "[1", "[{}"] {
        assert!(!accepts_list(format!("HTTP/1.1 200 OK\r\n\r\n{list}")), "{list:?}");
    }
}
