//! Encoding of the messages between replicas and of their durable state.
//!
//! Replicas of two versions run side by side during an upgrade, and the encoding depends on the order of
//! fields and variants.

#[path = "../../mulberry-types/tests/support/encoding.rs"]
mod encoding;

use encoding::encoded;
use mulberry_consensus::{
    AppendResult, DurableState, Entry, HardState, MemberId, Members, MessageBody, Payload,
    Position, RaftMessage, Snapshot, Writes,
};

fn members() -> Members {
    Members { voters: vec![MemberId(1), MemberId(300)], learners: vec![MemberId(3)] }
}

fn entries() -> Vec<Entry> {
    [Payload::Noop, Payload::Command(vec![9, 8]), Payload::Members(members())]
        .into_iter()
        .zip(5..)
        .map(|(payload, index)| Entry { index, term: 2, payload })
        .collect()
}

fn snapshot() -> Snapshot {
    Snapshot { index: 4, term: 1, members: members(), data: vec![1, 2, 3] }
}

/// Guards against reordered fields or variants of messages, which would make replicas of two versions incompatible.
#[test]
fn messages_keep_their_bytes() {
    let last = Position { term: 2, index: 7 };
    let bodies = [
        MessageBody::PreVote { last },
        MessageBody::PreVoteReply { granted: true },
        MessageBody::RequestVote { last, transfer: true },
        MessageBody::RequestVoteReply { granted: false },
        MessageBody::AppendEntries { previous: last, entries: entries(), commit_index: 6 },
        MessageBody::AppendEntriesReply(AppendResult::Accepted { match_index: 7 }),
        MessageBody::AppendEntriesReply(AppendResult::Rejected { previous_index: 6, hint: last }),
        MessageBody::Heartbeat { commit_index: 6, round: 11 },
        MessageBody::HeartbeatReply { round: 11 },
        MessageBody::InstallSnapshot {
            position: last,
            members: members(),
            offset: 12,
            total_bytes: 13,
            data: vec![1],
        },
        MessageBody::InstallSnapshotReply { index: 4, received_bytes: 13 },
        MessageBody::TimeoutNow,
        MessageBody::NewerTerm,
    ];
    let messages: Vec<RaftMessage> =
        bodies.into_iter().map(|body| RaftMessage { term: 2, body }).collect();
    insta::assert_snapshot!(encoded(&messages));
}

/// Guards against reordered fields or variants of the durable state.
#[test]
fn durable_state_keeps_its_bytes() {
    let hard_state = HardState { term: 2, voted_for: Some(MemberId(300)) };
    let state = DurableState { hard_state, snapshot: Some(snapshot()), entries: entries() };
    let writes = Writes {
        hard_state: Some(hard_state),
        snapshot: Some(snapshot()),
        truncate_from: Some(5),
        entries: entries(),
    };
    insta::assert_snapshot!(encoded(&[state]) + &encoded(&[writes]));
}
