//! Services that answer before they have read a long body.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mulberry_http::{Bytes, HeaderMap, Method};
use mulberry_services::{ServiceAnswer, ServiceCall, ServiceClient, ServiceError};
use mulberry_types::{Incarnation, NodeId, RequestId};

const PAUSE: Duration = Duration::from_millis(100);

/// What a service does after a part of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Reset,
    ResetLater,
    EndThenReset,
    EndThenResetLater,

    /// Ends its direction and reads the whole body.
    End,
}

/// Starts a service that answers as soon as it has the head.
fn start_service(ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                head.push(byte[0]);
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart");
            if ending == Ending::ResetLater {
                std::thread::sleep(PAUSE);
            }
            if !matches!(ending, Ending::Reset | Ending::ResetLater) {
                let _ = stream.shutdown(Shutdown::Write);
            }
            if ending == Ending::EndThenResetLater {
                std::thread::sleep(PAUSE);
            }
            if ending == Ending::End {
                std::thread::sleep(PAUSE);
                let _ = stream.read_to_end(&mut Vec::new());
            }
        }
    });
    address
}

fn upload(address: SocketAddr, bytes: usize) -> Result<ServiceAnswer, ServiceError> {
    ServiceClient::default().call(&ServiceCall {
        address,
        request: RequestId { node: NodeId(1), incarnation: Incarnation(1), counter: 1 },
        method: &Method::POST,
        path_and_query: "/",
        headers: &HeaderMap::new(),
        body: &vec![b'u'; bytes].into(),
        deadline: Instant::now() + Duration::from_secs(3),
    })
}

#[test]
fn an_answer_without_length_that_is_reset_during_the_upload_is_no_answer() {
    let endings =
        [Ending::Reset, Ending::ResetLater, Ending::EndThenReset, Ending::EndThenResetLater];
    let mut accepted = Vec::new();
    for ending in endings {
        for bytes in [8 << 20, 400 << 10] {
            let answer = upload(start_service(ending), bytes);
            if let Ok(answer) = answer {
                accepted.push((ending, bytes, answer.body));
            }
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
    let whole = upload(start_service(Ending::End), 400 << 10);
    assert_eq!(whole.map(|answer| answer.body), Ok(Bytes::from("part")));
}
