//! The encoding of messages between registries and of the data that they store on disk.
//!
//! Registries of two versions run side by side during an upgrade, and the encoding depends on the order of
//! fields and variants.

#![allow(dead_code, reason = "the messages are private, so their files are compiled into the test")]

#[path = "../src/command.rs"]
mod command;
#[path = "../../mulberry-types/tests/support/encoding.rs"]
mod encoding;
#[path = "../src/operator_state.rs"]
mod operator_state;
#[path = "../src/peer_message.rs"]
mod peer_message;

use std::sync::Arc;

use bytes::BytesMut;
use command::Command;
use encoding::encoded;
use mulberry_consensus::{MessageBody, RaftMessage};
use mulberry_directory::{GatewayInfo, TargetRecord, TargetState, encode_frame, read_frame};
use mulberry_routes::RoutingConfig;
use operator_state::OperatorState;
use peer_message::{PeerHello, PeerMessage};

fn record() -> TargetRecord {
    TargetRecord {
        id: "target-1".into(),
        started_ms: 1,
        sequence: 2,
        service: "model-a".into(),
        address: "127.0.0.1:9002".parse().expect("an address"),
        zone: "zone-b".into(),
        slots: 3,
        state: TargetState::Draining,
        cold_remaining_ms: 4,
    }
}

/// Guards against a change in the order of the variants of log commands.
#[test]
fn commands_keep_their_bytes() {
    let config = RoutingConfig { version: 7, ..RoutingConfig::default() };
    insta::assert_snapshot!(encoded(&[
        Command::Configure { config, document: vec![1, 2] },
        Command::Evacuate { zone: "zone-a".into() },
        Command::Restore { zone: "zone-a".into() },
        Command::SetMemberAddress {
            member: 300,
            address: "127.0.0.1:9003".parse().expect("an address")
        },
    ]));
}

/// Guards against a change in the order of the state's fields, which snapshots and the warm-start file contain.
#[test]
fn operator_state_keeps_its_bytes() {
    let config = RoutingConfig { version: 7, ..RoutingConfig::default() };
    insta::assert_snapshot!(encoded(&[OperatorState {
        applied_index: 1,
        config: Some(Arc::new(config)),
        document: Arc::new(vec![2, 3]),
        evacuated: ["zone-a".into()].into(),
        evacuated_index: 4,
        addresses: [(300, "127.0.0.1:9003".parse().expect("an address"))].into(),
    }]));
}

/// A registry of an older version does not send the last field of a proposal.
#[test]
fn a_proposal_of_an_older_version_names_no_zone_change() {
    let command = Command::Restore { zone: "zone-a".into() };
    let message =
        PeerMessage::Propose { from: 1, request_id: 2, command, last_zone_change: Some(5) };
    let mut bytes = Vec::new();
    encode_frame(&message, &mut bytes).expect("encodes");
    let length = (bytes.len() - 4 - 2) as u32;
    bytes.truncate(bytes.len() - 2);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let decoded = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
        .block_on(async { read_frame::<PeerMessage>(&mut &bytes[..], &mut BytesMut::new()).await });
    assert!(matches!(decoded, Ok(PeerMessage::Propose { last_zone_change: None, .. })));
}

/// A registry of an older version does not send the last field of a hello.
#[test]
fn a_hello_of_an_older_version_names_no_members() {
    let hello = PeerHello {
        member: 1,
        address: "127.0.0.1:9003".parse().expect("an address"),
        has_group: true,
        initial_members: vec![1, 300],
        stores_departures: true,
        knows_checksums: true,
        members: Vec::new(),
    };
    let mut bytes = Vec::new();
    encode_frame(&PeerMessage::Hello(hello), &mut bytes).expect("encodes");
    let length = (bytes.len() - 4 - 1) as u32;
    bytes.truncate(bytes.len() - 1);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let decoded = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
        .block_on(async { read_frame::<PeerMessage>(&mut &bytes[..], &mut BytesMut::new()).await });
    assert!(matches!(
        decoded,
        Ok(PeerMessage::Hello(PeerHello { knows_checksums: true, members, .. })) if members.is_empty()
    ));
}

/// Guards against a change in the order of fields or variants of messages between registries.
#[test]
fn messages_of_peers_keep_their_bytes() {
    let gateway = GatewayInfo {
        name: "gateway-1".into(),
        zone: "zone-a".into(),
        incarnation: 300,
        started_ms: 4,
        address: "127.0.0.1:9001".parse().expect("an address"),
        is_active: true,
    };
    insta::assert_snapshot!(encoded(&[
        PeerMessage::Hello(PeerHello {
            member: 1,
            address: "127.0.0.1:9003".parse().expect("an address"),
            has_group: true,
            initial_members: vec![1, 300],
            stores_departures: true,
            knows_checksums: true,
            members: vec!["127.0.0.1:9004".parse().expect("an address")],
        }),
        PeerMessage::Raft {
            from: 1,
            to: 300,
            message: RaftMessage { term: 2, body: MessageBody::TimeoutNow },
        },
        PeerMessage::Propose {
            from: 1,
            request_id: 2,
            command: Command::Evacuate { zone: "zone-a".into() },
            last_zone_change: Some(300),
        },
        PeerMessage::ProposeReply { request_id: 2, is_committed: true },
        PeerMessage::ReadIndex { from: 1, request_id: 2 },
        PeerMessage::ReadIndexReply { request_id: 2, index: Some(3) },
        PeerMessage::Targets(vec![record()]),
        PeerMessage::TargetsSeen(vec!["target-1".into()]),
        PeerMessage::Gateways { from: 1, gateways: vec![gateway] },
        PeerMessage::StoreDeparture {
            from: 1,
            request_id: 2,
            record: record(),
            is_any_start: true,
        },
        PeerMessage::DepartureStored { from: 300, request_id: 2, record: record() },
        PeerMessage::GatewaysUnchanged { from: 300, checksum: 301 },
        PeerMessage::RequestGateways { from: 300 },
    ]));
}
