//! Hand-written fault scenarios of whole groups.

use mulberry_consensus::{
    Confirmation, Entry, HardState, MemberChangeError, MemberId, Members, Payload, Role,
};

use crate::simulation::{Group, STEP_MS};

fn formed_group(size: u64) -> (Group, MemberId) {
    let mut group = Group::new(size, 1);
    let leader = group.run_until_leader();
    group.commit_command(5_000);
    (group, leader)
}

fn others(group: &Group, without: MemberId) -> Vec<MemberId> {
    group.replicas.keys().copied().filter(|&id| id != without).collect()
}

fn block_both_ways(group: &mut Group, a: MemberId, b: MemberId) {
    group.blocked_links.extend([(a, b), (b, a)]);
}

/// Guards against a partitioned replica that deposes the leader when it reconnects.
#[test]
fn reconnected_replica_does_not_depose_the_leader() {
    let (mut group, leader) = formed_group(3);
    let term = group.raft(leader).term();
    let follower = others(&group, leader)[0];
    group.isolate(follower);
    group.run(10_000);
    group.heal();
    group.run(2_000);
    assert_eq!((group.leader(), group.raft(leader).term()), (Some(leader), term));
    assert_eq!(group.raft(follower).term(), term);
}

/// Guards against a replica that deposes the leader because it receives nothing from the leader, although it can reach
/// the other replicas.
#[test]
fn replica_without_messages_from_the_leader_does_not_depose_it() {
    let (mut group, leader) = formed_group(3);
    let term = group.raft(leader).term();
    let follower = others(&group, leader)[0];
    group.blocked_links.insert((leader, follower));
    group.run(10_000);
    assert_eq!((group.leader(), group.raft(leader).term()), (Some(leader), term));
}

/// Guards against an isolated leader that keeps accepting proposals, whose callers would wait for commits that cannot
/// happen.
#[test]
fn leader_without_a_majority_steps_down() {
    let (mut group, leader) = formed_group(3);
    group.isolate(leader);
    group.run(700);
    assert_ne!(group.raft(leader).role(), Role::Leader);
    assert!(group.raft(leader).confirm_leadership(77).is_err());
}

/// Guards against reads that never get an outcome after leadership is lost; their callers would wait for the whole
/// deadline.
#[test]
fn reads_are_reported_as_lost_with_the_leadership() {
    let (mut group, leader) = formed_group(3);
    let raft = group.raft(leader);
    raft.confirm_leadership(77).expect("the leader");
    raft.tick(u64::MAX / 2);
    assert_eq!(raft.take_confirmations(), [Confirmation::Lost { context: 77 }]);
}

/// Guards against stale reads from a deposed leader. A leader whose clock has stopped does not step down although
/// another leader has been elected.
#[test]
fn deposed_leader_confirms_no_read() {
    let (mut group, leader) = formed_group(3);
    group.replicas.get_mut(&leader).expect("the leader").clock_percent = 0;
    group.isolate(leader);
    group.run(3_000);
    group.commit_command(3_000);
    assert_ne!(group.leader(), Some(leader));
    assert_eq!(group.raft(leader).role(), Role::Leader);
    // The simulation checks each confirmed read against the commits before the request.
    assert!(group.read(leader));
    group.run(1_000);
    group.heal();
    group.run(1_000);
    assert_eq!(group.confirmed_reads, 0);
    let leader = group.run_until_leader();
    assert!(group.read(leader));
    group.run(500);
    assert_eq!(group.confirmed_reads, 1);
}

/// Guards against acknowledging an entry of an earlier term before an entry of the leader's own term commits. A leader
/// of a later term can still overwrite the entry, even if a majority holds it.
#[test]
fn entry_of_an_earlier_term_is_not_acknowledged_before_one_of_the_current_term() {
    let mut group = Group::new(5, 1);
    group.max_message_bytes = 1;
    let [old, down, third, fourth, newer] = [1, 2, 3, 4, 5].map(MemberId);
    let voters = group.raft(old).members().clone();
    let first = Entry { index: 1, term: 1, payload: Payload::Members(voters) };
    for id in [old, down, third, fourth, newer] {
        group.crash(id);
        let disk = &mut group.replicas.get_mut(&id).expect("a replica").disk;
        disk.hard_state = HardState { term: 3, voted_for: Some(newer) };
        disk.entries = vec![first.clone()];
        if id == old || id == newer {
            let term: u64 = if id == old { 2 } else { 3 };
            let payload = Payload::Command(term.to_le_bytes().to_vec());
            disk.entries.push(Entry { index: 2, term, payload });
        }
    }
    // The entry of term 2 reaches a majority, the first entry of term 4 does not.
    for id in [old, third, fourth] {
        group.restart(id);
    }
    let holds = |group: &Group, id| group.replicas[&id].disk.entries.len() == 2;
    group.run_until_leader();
    while !(holds(&group, third) && holds(&group, fourth)) {
        for id in [third, fourth] {
            if holds(&group, id) {
                group.blocked_links.insert((old, id));
            }
        }
        group.run(STEP_MS);
    }
    group.isolate(old);
    group.blocked_links.retain(|&(from, _)| from == old);
    group.run(100);
    group.crash(old);
    // The simulation checks that the entry of term 3 does not overwrite a committed entry.
    group.restart(newer);
    group.run_until(10_000, "election", |group| group.leader() == Some(newer));
    group.commit_command(5_000);
    assert_eq!(group.committed_entries[&2].0, 3);
}

/// Guards against promoting a learner that lacks committed entries. The group could then lose its majority with the
/// next failure.
#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    let (mut group, leader) = formed_group(3);
    let lost = others(&group, leader)[0];
    let learner = group.lose_disk(lost);
    block_both_ways(&mut group, leader, learner);
    let voters = group.raft(leader).members().voters.clone();
    let with_learner = Members { voters: voters.clone(), learners: vec![learner] };
    group.raft(leader).propose_members(with_learner).expect("a valid change");
    group.run(500);
    let promoted = Members { voters: [voters, vec![learner]].concat(), learners: Vec::new() };
    let early = group.raft(leader).propose_members(promoted.clone());
    group.commit_command(5_000);
    assert!(matches!(early, Err(MemberChangeError::NotCaughtUp { .. })), "{early:?}");
    group.blocked_links.clear();
    group.run(1_000);
    group.raft(leader).propose_members(promoted).expect("the learner has caught up");
    group.commit_command(5_000);
}

/// Guards against losing acknowledged commands when a second disk is lost right after the first was replaced.
#[test]
fn second_lost_disk_right_after_a_repair_loses_nothing() {
    let (mut group, leader) = formed_group(3);
    let [lagging, lost] = others(&group, leader)[..] else { panic!("a group of 3") };
    // From here on, only the leader and `lost` hold newly acknowledged commands.
    group.isolate(lagging);
    for _ in 0..50 {
        group.commit_command(5_000);
    }
    let replacement = group.lose_disk(lost);
    group.run(300);
    // The leader becomes unreachable too, while the lagging replica reconnects.
    group.blocked_links.clear();
    group.isolate(leader);
    group.run(5_000);
    assert_eq!(group.leader(), None, "elected without the acknowledged entries");

    group.blocked_links.clear();
    let leader = group.run_until_leader();
    group.run(500);
    for (voters, learners) in [
        (vec![leader, lagging, lost], vec![replacement]),
        (vec![leader, lagging, lost, replacement], vec![]),
        (vec![leader, lagging, replacement], vec![]),
    ] {
        group.raft(leader).propose_members(Members { voters, learners }).expect("a valid change");
        group.run(1_000);
    }
    group.lose_disk(leader);
    group.commit_command(5_000);
    group.run(1_000);
    let last_index = *group.committed_entries.last_key_value().expect("commits").0;
    let commands = group.commands_up_to(last_index);
    assert!(group.acknowledged.len() > 50);
    assert!(group.acknowledged.iter().all(|command| commands.contains(command)));
    assert_eq!(group.replicas[&replacement].commands, commands);
}

/// Guards against a removed leader that continues to lead, or that disturbs the group with elections.
#[test]
fn removed_leader_steps_down_and_does_not_campaign() {
    let (mut group, leader) = formed_group(3);
    let rest = others(&group, leader);
    let members = Members { voters: rest.clone(), learners: Vec::new() };
    group.raft(leader).propose_members(members).expect("a valid change");
    group.run(5_000);
    let term = group.raft(rest[0]).term();
    assert!(rest.contains(&group.leader().expect("a new leader")));
    group.run(10_000);
    assert_eq!(group.raft(rest[0]).term(), term);
    group.commit_command(1_000);
}

/// Guards against planned restarts that leave the group without a leader for an election timeout.
#[test]
fn leadership_is_transferred_to_a_lagging_voter() {
    let (mut group, leader) = formed_group(3);
    let to = others(&group, leader)[0];
    group.replicas.get_mut(&to).expect("a follower").paused_until_ms = group.now_ms + 200;
    for _ in 0..200 {
        group.propose(leader);
    }
    group.raft(leader).transfer_leadership(to).expect("the leader");
    assert!(group.raft(leader).propose(vec![1]).is_err());
    group.run(900);
    assert_eq!(group.leader(), Some(to));
    group.commit_command(1_000);
}

/// Guards against a leadership transfer to a stopped replica that blocks proposals for long.
#[test]
fn transfer_to_a_stopped_voter_is_aborted() {
    let (mut group, leader) = formed_group(3);
    let to = others(&group, leader)[0];
    group.crash(to);
    group.propose(leader);
    group.raft(leader).transfer_leadership(to).expect("the leader");
    group.commit_command(1_500);
    assert_eq!(group.leader(), Some(leader));
}

/// Guards against a single voter that makes no progress because it receives no messages.
#[test]
fn single_voter_commits_reads_and_restarts() {
    let (mut group, leader) = formed_group(1);
    assert!(group.read(leader));
    group.run(100);
    assert_eq!(group.confirmed_reads, 1);
    group.compact(leader);
    group.commit_command(1_000);
    group.crash(leader);
    group.restart(leader);
    group.commit_command(3_000);
    assert_eq!(group.snapshots_restored, 1);
    assert!(group.acknowledged.len() >= 3);
}

/// Guards against a replica that cannot catch up after the leader compacted the log. It needs the snapshot, in several
/// chunks, and then the log.
#[test]
fn replica_behind_the_compacted_log_catches_up_by_snapshot() {
    let (mut group, leader) = formed_group(3);
    let follower = others(&group, leader)[0];
    group.crash(follower);
    for _ in 0..400 {
        group.propose(leader);
    }
    group.run(2_000);
    group.compact(leader);
    group.loss_percent = 10;
    group.restart(follower);
    group.run(5_000);
    group.commit_command(5_000);
    group.run(1_000);
    assert_eq!(group.snapshots_restored, 1);
    assert_eq!(group.replicas[&follower].commands, group.replicas[&leader].commands);
}
