//! Prints applies per second, and time and size of a snapshot, at 390 workspaces and 100,000 claims.

use std::time::{Duration, Instant};

use mulberry_state::{Command, FleetState, Reply};
use mulberry_types::{
    Change, ChangeId, ChangeOperation, ChangeOutcome, ClaimKey, ClaimReply, Incarnation, Member,
    NodeId, Priority, RequestId, StoredAnswer, Workspace,
};

const WORKSPACES: u64 = 390;
const NODES: u32 = 330;
const CLAIMS: u64 = 100_000;
const CHANGES: u64 = 20_000;
const ANSWER_BYTES: usize = 512;

fn main() {
    let mut index = 0;
    let mut state = FleetState::default();
    let mut apply = |state: &mut FleetState, command: &Command| {
        index += 1;
        state.apply(index, command)
    };

    for node in 0..NODES {
        apply(&mut state, &join(node));
    }
    for workspace in 0..WORKSPACES {
        let reply = apply(&mut state, &change(workspace, workspace, 1));
        assert!(is_accepted(&reply), "{reply:?}");
    }

    let changes: Vec<Command> = (0..CHANGES)
        .map(|number| change(WORKSPACES + number, number % WORKSPACES, 2 + number % 9))
        .collect();
    let started = Instant::now();
    for command in &changes {
        let reply = apply(&mut state, command);
        assert!(is_accepted(&reply), "{reply:?}");
    }
    print_rate("changes", CHANGES, started.elapsed());

    let conflict = change(u64::MAX >> 1, 0, 1);
    let Command::Change { now_ms, change: first } = conflict else { return };
    let started = Instant::now();
    for number in 0..CHANGES {
        let id = ChangeId(format!("conflict-{number}").into());
        let change = Change { id, ..first.clone() };
        apply(&mut state, &Command::Change { now_ms, change });
    }
    print_rate("changes with a version conflict", CHANGES, started.elapsed());

    // In parts, because the number of open claims is limited.
    let (mut claim_time, mut finish_time) = (Duration::ZERO, Duration::ZERO);
    for first in (0..CLAIMS).step_by(10_000) {
        let claims: Vec<Command> = (first..first + 10_000).map(claim).collect();
        let started = Instant::now();
        for command in &claims {
            assert_eq!(apply(&mut state, command), Reply::Claim(ClaimReply::Won));
        }
        claim_time += started.elapsed();
        let finishes: Vec<Command> = (first..first + 10_000).map(finish).collect();
        let started = Instant::now();
        for command in &finishes {
            apply(&mut state, command);
        }
        finish_time += started.elapsed();
    }
    print_rate("claims", CLAIMS, claim_time);
    print_rate("finished claims", CLAIMS, finish_time);

    let started = Instant::now();
    let data = state.to_snapshot();
    println!("to_snapshot: {} ms, {} bytes", started.elapsed().as_millis(), data.len());
    let started = Instant::now();
    let restored = FleetState::from_snapshot(&data).expect("own snapshot");
    println!("from_snapshot: {} ms", started.elapsed().as_millis());
    assert_eq!(restored, state);
    println!("{:?}, version {}", state.claim_counts(), state.version());
}

fn print_rate(what: &str, count: u64, elapsed: Duration) {
    println!("{what}: {:.0} applies/s", count as f64 / elapsed.as_secs_f64());
}

fn is_accepted(reply: &Reply) -> bool {
    matches!(reply, Reply::Change(ChangeOutcome::Accepted { .. }))
}

fn join(node: u32) -> Command {
    let member = Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
        peer_address: ([10, 0, (node >> 8) as u8, node as u8], 7_000).into(),
        zone: format!("zone-{}", node % 17).into(),
    };
    Command::Join { now_ms: 1, member }
}

fn change(version: u64, workspace: u64, weight: u64) -> Command {
    let keys = [workspace * 2, workspace * 2 + 1];
    let contents = Workspace {
        api_key_sha256: keys.iter().map(|key| format!("{key:064x}").into()).collect(),
        weight: weight as u32,
        priority: Priority::Normal,
        max_in_flight: 256,
    };
    let name = format!("workspace-{workspace}").into();
    let change = Change {
        id: ChangeId(format!("01234567-89ab-cdef-0123-{version:012}").into()),
        operator: "thandi@example".into(),
        expected_version: mulberry_types::ConfigurationVersion(version),
        operations: vec![ChangeOperation::PutWorkspace { name, workspace: contents }],
    };
    Command::Change { now_ms: 1, change }
}

fn request(number: u64) -> RequestId {
    let node = NodeId((number % u64::from(NODES)) as u32);
    RequestId { node, incarnation: Incarnation(1), counter: number }
}

fn key(number: u64) -> ClaimKey {
    ClaimKey {
        workspace: format!("workspace-{}", number % WORKSPACES).into(),
        service: "billing".into(),
        key: format!("fedcba98-7654-3210-fedc-{number:012}").into(),
    }
}

fn claim(number: u64) -> Command {
    let mut fingerprint = [7; 32];
    fingerprint[..8].copy_from_slice(&number.to_le_bytes());
    Command::Claim { now_ms: 1, key: key(number), fingerprint, request: request(number) }
}

fn finish(number: u64) -> Command {
    let answer = StoredAnswer {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: Some(vec![b'x'; ANSWER_BYTES]),
    };
    Command::FinishClaim { now_ms: 1, key: key(number), request: request(number), answer }
}
