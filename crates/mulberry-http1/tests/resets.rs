//! Connections that are reset within a body that ends with its connection.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use mulberry_http1::{BodyDecoder, Framing, Http1Connection, ReadError};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

/// Connects to a peer that sends a response with a part of its body and then does `end` with the request, which it has
/// not read.
async fn connect(end: impl FnOnce(TcpStream) + Send + 'static) -> Http1Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        stream.peek(&mut [0]).expect("a request");
        stream.write_all(RESPONSE).expect("sends");
        end(stream);
    });
    let stream = tokio::net::TcpStream::connect(address).await.expect("connects");
    let mut connection = Http1Connection::new(stream);
    connection.write_all(REQUEST).await.expect("sends");
    connection.read_response(1_000).await.expect("a head");
    connection
}

async fn read_rest(connection: &mut Http1Connection) -> Result<Vec<u8>, ReadError> {
    connection.read_whole_body(BodyDecoder::new(Framing::UntilClose), 1_000).await
}

fn block_on(future: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future);
}

#[test]
fn a_reset_that_another_call_was_told_of_is_no_end_of_a_body() {
    block_on(async {
        let mut connection = connect(drop).await;
        let mut decoder = BodyDecoder::new(Framing::UntilClose);
        let mut part = Vec::new();
        connection.read_body(&mut decoder, &mut part).await.expect("a part");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!connection.has_waiting());
        let end = connection.read_body(&mut decoder, &mut part).await;
        assert!(end.is_err(), "complete with {part:?}");
    });
}

#[test]
fn a_reset_behind_an_orderly_end_is_no_end_of_a_body() {
    block_on(async {
        let mut connection = connect(|stream| {
            stream.shutdown(Shutdown::Write).expect("connected");
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let body = read_rest(&mut connection).await;
        assert!(body.is_err(), "complete with {body:?}");
    });
}

#[test]
fn a_body_ends_with_its_connection_when_the_request_was_read() {
    block_on(async {
        let mut connection = connect(|mut stream| {
            stream.read_exact(&mut [0; REQUEST.len()]).expect("a request");
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(read_rest(&mut connection).await.expect("is complete"), b"part");
        connection.confirm_taken().await.expect("taken");
    });
}
