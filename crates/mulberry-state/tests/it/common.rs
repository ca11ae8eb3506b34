//! Commands and strategies shared by the tests.

use std::sync::Arc;

use mulberry_state::{Command, FleetState, Reply, StateLimits};
use mulberry_types::{
    Change, ChangeId, ChangeOperation, ClaimKey, ConfigurationVersion, Incarnation, Member, NodeId,
    Priority, RequestId, Service, ServiceKind, StoredAnswer, TargetState, Workspace, ZoneState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that each run has the same verdict.
pub fn cases(default: u32) -> ProptestConfig {
    let cases = std::env::var("MULBERRY_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(default),
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 4_096,
        ..ProptestConfig::default()
    }
}

/// State with the index and the time of the next command.
#[derive(Debug, Clone, Default)]
pub struct Driver {
    pub state: FleetState,
    pub index: u64,
    pub now_ms: u64,
}

impl Driver {
    pub fn with_limits(limits: StateLimits) -> Driver {
        Driver { state: FleetState::new(limits), ..Driver::default() }
    }

    pub fn apply(&mut self, command: &Command) -> Reply {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    pub fn change(&mut self, id: &str, expected: u64, operations: &[ChangeOperation]) -> Reply {
        self.apply(&change(id, expected, operations, self.now_ms))
    }

    pub fn join(&mut self, node: u32, incarnation: u64) -> Reply {
        self.apply(&Command::Join { now_ms: self.now_ms, member: member(node, incarnation) })
    }

    pub fn claim(&mut self, name: &str, request: RequestId) -> Reply {
        let now_ms = self.now_ms;
        self.apply(&Command::Claim { now_ms, key: key(name), fingerprint: [1; 32], request })
    }

    pub fn release(&mut self, name: &str, request: RequestId) -> Reply {
        self.apply(&Command::ReleaseClaim { now_ms: self.now_ms, key: key(name), request })
    }

    pub fn finish(&mut self, name: &str, request: RequestId, body_bytes: usize) -> Reply {
        let answer = answer(body_bytes);
        let now_ms = self.now_ms;
        self.apply(&Command::FinishClaim { now_ms, key: key(name), request, answer })
    }

    pub fn restore(&mut self) {
        self.state = FleetState::from_snapshot(&self.state.to_snapshot()).expect("own snapshot");
    }
}

pub fn change(id: &str, expected: u64, operations: &[ChangeOperation], now_ms: u64) -> Command {
    let change = Change {
        id: ChangeId(id.into()),
        operator: "thandi".into(),
        expected_version: ConfigurationVersion(expected),
        operations: operations.to_vec(),
    };
    Command::Change { now_ms, change }
}

pub fn member(node: u32, incarnation: u64) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        zone: "zone-a".into(),
    }
}

pub fn request(node: u32, incarnation: u64, counter: u64) -> RequestId {
    RequestId { node: NodeId(node), incarnation: Incarnation(incarnation), counter }
}

pub fn key(name: &str) -> ClaimKey {
    ClaimKey { workspace: "quotes".into(), service: "billing".into(), key: name.into() }
}

pub fn answer(body_bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Some(vec![b'x'; body_bytes]),
    }
}

pub fn put_workspace(name: &str, weight: u32) -> ChangeOperation {
    let workspace =
        Workspace { api_key_sha256: vec![], weight, priority: Priority::Normal, max_in_flight: 16 };
    ChangeOperation::PutWorkspace { name: name.into(), workspace }
}

pub fn set_zone(zone: &str, state: ZoneState) -> ChangeOperation {
    ChangeOperation::SetZone { zone: zone.into(), state }
}

fn name(prefix: &str, number: u32) -> Arc<str> {
    format!("{prefix}-{number}").into()
}

/// Operations on few names; weight 0 is not valid and some removals fail.
pub fn operations() -> impl Strategy<Value = Vec<ChangeOperation>> {
    let operation = prop_oneof![
        (0u32..3, 0u32..4).prop_map(|(n, weight)| put_workspace(&name("workspace", n), weight)),
        (0u32..3).prop_map(|n| ChangeOperation::RemoveWorkspace { name: name("workspace", n) }),
        (0u32..2, any::<bool>()).prop_map(|(n, is_in)| {
            set_zone(&name("zone", n), if is_in { ZoneState::In } else { ZoneState::Out })
        }),
        (0u32..2).prop_map(|n| ChangeOperation::SetTarget {
            target: name("target", n),
            state: TargetState::Drained
        }),
        (0u32..2, 0u32..3).prop_map(|(n, max_answer_tokens)| ChangeOperation::PutService {
            name: name("model", n),
            service: Service {
                kind: ServiceKind::Model { max_answer_tokens },
                default_deadline_ms: 1_000,
                max_deadline_ms: 2_000,
            }
        }),
    ];
    prop::collection::vec(operation, 0..4)
}

fn requests() -> impl Strategy<Value = RequestId> {
    (0u32..2, 0u64..2, 0u64..4).prop_map(|(node, life, counter)| request(node, life, counter))
}

fn keys() -> impl Strategy<Value = ClaimKey> {
    (0u32..4).prop_map(|n| key(&name("key", n)))
}

/// Commands on few names, so that they meet each other often. Times jump up to 10 h, also backwards.
pub fn commands() -> impl Strategy<Value = Vec<Command>> {
    let time = || prop_oneof![8 => 0u64..1_000, 1 => 0u64..36_000_000];
    let command = prop_oneof![
        3 => (0u32..8, 0u64..6, operations(), time())
            .prop_map(|(id, expected, operations, now_ms)| {
                change(&name("change", id), expected, &operations, now_ms)
            }),
        3 => (0u32..2, 0u64..2, time())
            .prop_map(|(node, life, now_ms)| Command::Join { now_ms, member: member(node, life) }),
        1 => (0u32..2, 0u64..2, time()).prop_map(|(node, life, now_ms)| Command::Leave {
            now_ms, node: NodeId(node), incarnation: Incarnation(life)
        }),
        1 => (0u32..2, 0u64..2, time()).prop_map(|(node, life, now_ms)| Command::Expire {
            now_ms, node: NodeId(node), incarnation: Incarnation(life)
        }),
        8 => (keys(), 0u8..2, requests(), time()).prop_map(|(key, print, request, now_ms)| {
            Command::Claim { now_ms, key, fingerprint: [print; 32], request }
        }),
        3 => (keys(), requests(), 0usize..64, time()).prop_map(|(key, request, bytes, now_ms)| {
            Command::FinishClaim { now_ms, key, request, answer: answer(bytes) }
        }),
        3 => (keys(), requests(), time()).prop_map(|(key, request, now_ms)| {
            Command::ReleaseClaim { now_ms, key, request }
        }),
        1 => (keys(), requests(), time()).prop_map(|(key, request, now_ms)| {
            Command::AbandonClaim { now_ms, key, request }
        }),
        1 => time().prop_map(|now_ms| Command::ExpireClaims { now_ms }),
        1 => (0u64..40 << 30, time()).prop_map(|(bytes, now_ms)| Command::TakePermit {
            now_ms, target: "engine-1".into(), bytes
        }),
    ];
    prop::collection::vec(command, 0..80)
}

/// Limits that random commands reach.
pub fn small_limits() -> StateLimits {
    StateLimits {
        change_ids: 5,
        audit_records: 4,
        delta_changes: 3,
        open_claims: 3,
        claims: 3,
        claim_bytes: 2_200,
        tombstones: 2,
        refused_requests: 2,
        ..StateLimits::default()
    }
}
