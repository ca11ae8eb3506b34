//! The bytes of commands in the log and of snapshots.
//!
//! Both stay on disk over an upgrade, and their encoding depends on the order of fields and variants.

#[path = "../../../mulberry-types/tests/support/encoding.rs"]
mod support;

use mulberry_state::{Command, FleetState, StateLimits};
use mulberry_types::{ChangeOperation, Incarnation, NodeId, TargetState, ZoneState};
use support::{encoded, hex};

use crate::common::{Driver, answer, change, key, member, request};

/// Guards against fields or variants of commands that change their order.
#[test]
fn commands_keep_their_bytes() {
    let operations = [ChangeOperation::SetZone { zone: "zone-a".into(), state: ZoneState::Out }];
    let (node, incarnation) = (NodeId(4), Incarnation(5));
    let request = request(4, 5, 6);
    insta::assert_snapshot!(encoded(&[
        change("change-1", 1, &operations, 100),
        Command::Join { now_ms: 101, member: member(4, 5) },
        Command::Leave { now_ms: 102, node, incarnation },
        Command::Expire { now_ms: 103, node, incarnation },
        Command::Claim { now_ms: 104, key: key("a"), fingerprint: [1; 32], request },
        Command::FinishClaim { now_ms: 105, key: key("a"), request, answer: answer(3) },
        Command::ReleaseClaim { now_ms: 106, key: key("a"), request },
        Command::AbandonClaim { now_ms: 107, key: key("a"), request },
        Command::ExpireClaims { now_ms: 108 },
        Command::TakePermit { now_ms: 109, target: "target-1".into(), bytes: 1 << 30 },
        Command::SetLimits { now_ms: 110, limits: StateLimits::default() },
    ]));
}

/// Guards against fields or variants of a snapshot that change their order. The state has a change, a
/// rejected one, members that came and left, and claims in each of their states.
#[test]
fn snapshots_keep_their_bytes() {
    let mut driver = Driver { now_ms: 1_000, ..Driver::default() };
    let operations =
        [ChangeOperation::SetTarget { target: "target-1".into(), state: TargetState::Drained }];
    driver.change("change-1", 0, &operations);
    driver.change("change-2", 7, &operations);
    driver.join(1, 1);
    driver.join(2, 1);
    driver.join(3, 1);
    for (counter, name) in (1..).zip(["open", "finished", "abandoned", "released"]) {
        driver.claim(name, request(1, 1, counter));
    }
    driver.claim("lost", request(2, 1, 1));
    driver.finish("finished", request(1, 1, 2), 3);
    let now_ms = driver.now_ms;
    driver.apply(&Command::AbandonClaim {
        now_ms,
        key: key("abandoned"),
        request: request(1, 1, 3),
    });
    driver.release("released", request(1, 1, 4));
    for (counter, name) in (10..).zip(["open", "finished", "abandoned"]) {
        driver.claim(name, request(3, 1, counter));
    }
    driver.apply(&Command::Expire { now_ms, node: NodeId(2), incarnation: Incarnation(1) });
    driver.apply(&Command::TakePermit { now_ms, target: "target-1".into(), bytes: 1 << 20 });
    let bytes = driver.state.to_snapshot();
    assert_eq!(FleetState::from_snapshot(&bytes).expect("own snapshot"), driver.state);
    insta::assert_snapshot!(hex(&bytes));
}
