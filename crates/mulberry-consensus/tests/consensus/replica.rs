//! Tests of a single replica with hand-written messages.

use mulberry_consensus::{
    AppendResult, Committed, DurableState, Entry, HardState, MemberChangeError, MemberId, Members,
    MessageBody, Payload, Position, Raft, RaftMessage, RaftSettings, Role, Snapshot,
};

const SELF: MemberId = MemberId(1);
const SECOND: MemberId = MemberId(2);
const THIRD: MemberId = MemberId(3);

/// Time at which every election timeout has expired for a replica started at 0.
const LATER_MS: u64 = 1_000;

fn members(voters: &[u64]) -> Members {
    Members { voters: voters.iter().copied().map(MemberId).collect(), learners: Vec::new() }
}

fn settings(voters: &[u64]) -> RaftSettings {
    RaftSettings {
        id: SELF,
        bootstrap: true,
        initial_members: members(voters),
        ..RaftSettings::default()
    }
}

fn message(term: u64, body: MessageBody) -> RaftMessage {
    RaftMessage { term, body }
}

fn command_entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![7; 100]) }
}

/// Durable state of a bootstrapped group of `voters`, with one command per term in `terms` after the first entry.
fn durable_state(voters: &[u64], terms: &[u64]) -> DurableState {
    let first = Entry { index: 1, term: 1, payload: Payload::Members(members(voters)) };
    let commands = (2..).zip(terms).map(|(index, &term)| command_entry(index, term));
    let entries: Vec<_> = std::iter::once(first).chain(commands).collect();
    let term = terms.last().copied().unwrap_or(1);
    DurableState { hard_state: HardState { term, voted_for: None }, snapshot: None, entries }
}

fn sync(raft: &mut Raft) {
    let writes = raft.take_writes();
    raft.writes_synced(&writes);
}

/// Makes `raft` the leader of the next term with the vote of `SECOND`.
fn elect(raft: &mut Raft) {
    raft.tick(LATER_MS);
    for reply in [
        |granted| MessageBody::PreVoteReply { granted },
        |granted| MessageBody::RequestVoteReply { granted },
    ] {
        sync(raft);
        let term = raft.term() + u64::from(raft.role() == Role::PreCandidate);
        raft.receive(LATER_MS, SECOND, message(term, reply(true)));
    }
    assert_eq!(raft.role(), Role::Leader);
}

fn acknowledge(raft: &mut Raft, from: MemberId, match_index: u64) {
    let body = MessageBody::AppendEntriesReply(AppendResult::Accepted { match_index });
    raft.receive(LATER_MS, from, message(raft.term(), body));
}

/// Guards against votes and acknowledgements that are sent before the sync. A crash could lose them, and the replica
/// could then vote for another candidate or accept other entries.
#[test]
fn vote_and_acknowledgement_wait_for_the_sync() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[]), 0);
    let last = Position { term: 1, index: 1 };
    raft.receive(600, SECOND, message(2, MessageBody::RequestVote { last, transfer: false }));
    assert_eq!(raft.take_messages(), []);
    sync(&mut raft);
    let vote = message(2, MessageBody::RequestVoteReply { granted: true });
    assert_eq!(raft.take_messages(), [(SECOND, vote)]);

    let entries = vec![command_entry(2, 2)];
    let append = MessageBody::AppendEntries { previous: last, entries, commit_index: 1 };
    raft.receive(600, SECOND, message(2, append));
    assert_eq!(raft.take_messages(), []);
    sync(&mut raft);
    let reply = MessageBody::AppendEntriesReply(AppendResult::Accepted { match_index: 2 });
    assert_eq!(raft.take_messages(), [(SECOND, message(2, reply))]);
}

/// Guards against a second vote in one term after a crash, which could elect two leaders in it.
#[test]
fn crash_before_the_sync_does_not_allow_a_second_vote() {
    let on_disk = durable_state(&[1, 2, 3], &[]);
    let last = Position { term: 1, index: 1 };
    let mut granted = 0;
    for candidate in [SECOND, THIRD] {
        // Nothing was synced before the crash, so the restarted replica has the same durable state.
        let mut raft = Raft::new(settings(&[1, 2, 3]), on_disk.clone(), 0);
        raft.receive(
            600,
            candidate,
            message(2, MessageBody::RequestVote { last, transfer: false }),
        );
        granted += raft.take_messages().len();
    }
    assert!(granted <= 1, "voted for two candidates in term 2");
}

/// Guards against a leader that counts its own entries before they are synced, and so commits entries that only a
/// minority has on disk.
#[test]
fn leader_counts_its_own_entries_only_after_the_sync() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), DurableState::default(), 0);
    elect(&mut raft);
    acknowledge(&mut raft, SECOND, 2);
    assert_eq!(raft.commit_index(), 0);
    sync(&mut raft);
    assert_eq!(raft.commit_index(), 2);
}

/// Guards against committing an entry of an earlier term by counting replicas. A leader of a later term can still
/// overwrite it, even if a majority holds it.
#[test]
fn entries_of_an_earlier_term_commit_only_with_one_of_the_current_term() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[2]), 0);
    elect(&mut raft);
    sync(&mut raft);
    acknowledge(&mut raft, SECOND, 2);
    assert_eq!(raft.commit_index(), 0);
    acknowledge(&mut raft, SECOND, 3);
    assert_eq!(raft.commit_index(), 3);
}

/// Guards against votes while a leader may be alive, or right after a start. They would let a replica with a broken
/// link depose the leader.
#[test]
fn votes_are_refused_while_a_leader_may_be_alive() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[]), 0);
    let last = Position { term: 1, index: 1 };
    let vote = |transfer| message(9, MessageBody::RequestVote { last, transfer });
    raft.receive(499, THIRD, vote(false));
    let heartbeat = MessageBody::Heartbeat { commit_index: 1, round: 0 };
    raft.receive(499, SECOND, message(2, heartbeat));
    raft.receive(998, THIRD, vote(false));
    assert_eq!(raft.term(), 2);
    raft.receive(998, THIRD, vote(true));
    assert_eq!(raft.term(), 9);
}

/// Guards against a replica with an empty disk that takes part in elections. It may have voted and acknowledged entries
/// under another id before it lost its disk.
#[test]
fn replica_without_members_neither_votes_nor_campaigns() {
    for initial in [members(&[]), members(&[2, 3])] {
        let settings = RaftSettings { initial_members: initial, ..settings(&[]) };
        let mut raft = Raft::new(settings, DurableState::default(), 0);
        raft.tick(5_000);
        let last = Position { term: 5, index: 5 };
        raft.receive(5_000, SECOND, message(5, MessageBody::PreVote { last }));
        raft.receive(5_000, SECOND, message(5, MessageBody::RequestVote { last, transfer: true }));
        assert_eq!((raft.role(), raft.term()), (Role::Follower, 0));
        assert!(raft.take_messages().is_empty() && raft.take_writes().is_empty());
    }
}

/// Guards against a group that stays without a leader. If the replica with the most up-to-date log does not campaign,
/// the others cannot win because they cannot get its vote.
#[test]
fn removed_voter_campaigns_until_its_removal_is_committed() {
    for (commit_index, role) in [(1, Role::PreCandidate), (2, Role::Follower)] {
        let mut state = durable_state(&[1, 2, 3], &[2]);
        state.entries[1].payload = Payload::Members(members(&[2, 3]));
        let mut raft = Raft::new(settings(&[]), state, 0);
        raft.receive(0, SECOND, message(2, MessageBody::Heartbeat { commit_index, round: 0 }));
        raft.tick(LATER_MS);
        assert_eq!(raft.role(), role);
    }
}

/// Guards against unbounded messages and in-flight entries, with which a leader would queue its whole log repeatedly
/// for an unreachable member.
#[test]
fn messages_and_entries_in_flight_are_bounded() {
    let limits = RaftSettings {
        max_message_bytes: 1_000,
        max_in_flight_bytes: 5_000,
        ..settings(&[1, 2, 3])
    };
    let mut raft = Raft::new(limits, DurableState::default(), 0);
    elect(&mut raft);
    raft.take_messages();
    acknowledge(&mut raft, SECOND, 1);
    for _ in 0..1_000 {
        raft.propose(vec![7; 100]).expect("the leader");
    }
    let mut sent = 0;
    for (to, message) in raft.take_messages() {
        if let (SECOND, MessageBody::AppendEntries { entries, .. }) = (to, message.body) {
            assert!(entries.len() <= 10, "{} entries of 100 bytes in a message", entries.len());
            sent += entries.len();
        }
    }
    assert!((30..=60).contains(&sent), "{sent} entries of 100 bytes in flight");
}

/// Guards against decrementing the next index by one entry per message, which takes one round trip per conflicting
/// entry.
#[test]
fn next_index_skips_conflicting_terms() {
    let mut leader = Raft::new(
        settings(&[1, 2, 3]),
        durable_state(&[1, 2, 3], &[vec![2], vec![5; 300]].concat()),
        0,
    );
    elect(&mut leader);
    let conflicting = [vec![2], vec![3; 200], vec![4; 200]].concat();
    let follower_settings = RaftSettings { id: SECOND, ..settings(&[1, 2, 3]) };
    let mut follower = Raft::new(follower_settings, durable_state(&[1, 2, 3], &conflicting), 0);
    let mut rounds = 0;
    while follower.last_index() != leader.last_index() {
        rounds += 1;
        assert!(rounds <= 4, "more than 4 round trips");
        for (to, message) in leader.take_messages() {
            if to == SECOND {
                follower.receive(LATER_MS, SELF, message);
            }
        }
        sync(&mut follower);
        for (_, message) in follower.take_messages() {
            leader.receive(LATER_MS, SECOND, message);
        }
    }
}

/// Guards against changing several voters at once, which allows two disjoint majorities.
#[test]
fn unsafe_membership_changes_are_refused() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), DurableState::default(), 0);
    assert!(matches!(raft.propose_members(members(&[1, 2])), Err(MemberChangeError::NotLeader(_))));
    elect(&mut raft);
    sync(&mut raft);
    assert_eq!(raft.propose_members(members(&[1, 2])), Err(MemberChangeError::TermNotCommitted));
    acknowledge(&mut raft, SECOND, 2);
    let with_learner = Members { learners: vec![MemberId(4)], ..members(&[1, 2, 3]) };
    for (refused, error) in [
        (members(&[1]), MemberChangeError::MoreThanOneVoter),
        (members(&[1, 2, 4]), MemberChangeError::MoreThanOneVoter),
        (members(&[]), MemberChangeError::NoVoters),
        (members(&[1, 2, 3, 3]), MemberChangeError::Duplicate(THIRD)),
        (members(&[1, 2, 3, 4]), MemberChangeError::NotLearner(MemberId(4))),
        (members(&[1, 2, 3]), MemberChangeError::Unchanged),
    ] {
        assert_eq!(raft.propose_members(refused), Err(error));
    }
    raft.propose_members(with_learner).expect("a valid change");
    assert_eq!(
        raft.propose_members(members(&[1, 2])),
        Err(MemberChangeError::ChangeInProgress { index: 3 })
    );
}

/// Guards against keeping entries that conflict with the snapshot. A crash between writing a received snapshot and
/// removing the old log leaves such entries.
#[test]
fn entries_that_conflict_with_the_snapshot_are_dropped_at_start() {
    for (conflicting, kept) in [(3, false), (5, true)] {
        let snapshot = Snapshot { index: 2, term: 4, members: members(&[1, 2, 3]), data: vec![9] };
        let hard_state = HardState { term: 5, voted_for: None };
        let entries = vec![command_entry(3, conflicting), command_entry(4, 5)];
        let durable = DurableState { hard_state, snapshot: Some(snapshot.clone()), entries };
        let mut raft = Raft::new(settings(&[]), durable, 0);
        assert_eq!(raft.last_index(), if kept { 4 } else { 2 });
        assert_eq!(raft.take_writes().truncate_from, if kept { None } else { Some(3) });
        assert_eq!(raft.take_committed(), [Committed::Snapshot(snapshot)]);
    }
}

/// Guards against overwriting a committed entry, which would corrupt the state machine.
#[test]
#[should_panic(expected = "entry 2 is committed")]
fn conflict_with_a_committed_entry_panics() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[2]), 0);
    raft.receive(0, SECOND, message(2, MessageBody::Heartbeat { commit_index: 2, round: 0 }));
    let previous = Position { term: 1, index: 1 };
    let entries = vec![command_entry(2, 3)];
    let append = MessageBody::AppendEntries { previous, entries, commit_index: 1 };
    raft.receive(0, THIRD, message(3, append));
}

/// Guards against continuing on a disk that was reset to an earlier state and has lost entries that the replica had
/// acknowledged.
#[test]
#[should_panic(expected = "this disk has lost acknowledged entries")]
fn loss_of_acknowledged_entries_panics() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[2]), 0);
    raft.receive(0, SECOND, message(2, MessageBody::Heartbeat { commit_index: 3, round: 0 }));
}

/// Guards against accepting two leaders in one term, which means that some replica voted twice.
#[test]
#[should_panic(expected = "two leaders in term 2")]
fn second_leader_in_a_term_panics() {
    let mut raft = Raft::new(settings(&[1, 2, 3]), durable_state(&[1, 2, 3], &[]), 0);
    for leader in [SECOND, THIRD] {
        raft.receive(0, leader, message(2, MessageBody::Heartbeat { commit_index: 0, round: 0 }));
    }
}
