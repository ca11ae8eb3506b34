//! The bytes of the messages of a peer connection.
//!
//! Processes of two versions run side by side during an upgrade, and the encoding depends on the order of
//! fields and variants.

#![allow(dead_code, reason = "the messages are private, so their file is compiled into the test")]

#[path = "../../mulberry-types/tests/support/encoding.rs"]
mod encoding;
#[path = "../src/message.rs"]
mod message;

use encoding::{encoded, hex};
use message::{ToClient, ToServer};
use mulberry_peers::{ConnectionKey, Direction, FrameSealer, MAX_BODY_BYTES};

/// Guards against variants of the messages that change their order.
#[test]
fn messages_keep_their_bytes() {
    let to_server = [ToServer::Call { id: 300, request: 5 }, ToServer::OneWay(6), ToServer::Ping];
    let to_client = [
        ToClient::Reply { id: 300, reply: 5 },
        ToClient::Push(6),
        ToClient::Pong,
        ToClient::NoReply { id: 300 },
    ];
    insta::assert_snapshot!(
        encoded::<ToServer<u64>>(&to_server) + &encoded::<ToClient<u64>>(&to_client)
    );
}

/// Guards against a frame whose length, checksum or counter is written otherwise.
#[test]
fn frames_keep_their_bytes() {
    let mut lines = Vec::new();
    for direction in [Direction::ToServer, Direction::ToClient] {
        let mut sealer = FrameSealer::new(ConnectionKey::new(b"key"), direction);
        for body in [b"first".as_slice(), b"second"] {
            let mut frame = Vec::new();
            sealer.seal(body, &mut frame);
            lines.push(hex(&frame));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
