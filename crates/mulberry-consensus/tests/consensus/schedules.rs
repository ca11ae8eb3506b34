//! Random schedules of faults and calls on groups of 3 and 5 replicas.

use mulberry_consensus::{MemberChangeError, MemberId, Members, Raft};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::simulation::Group;

/// Cases of a CI run, about 2 s. `MULBERRY_CASES` sets another number and `MULBERRY_SEED` another seed.
const DEFAULT_CASES: u32 = 1_000;

/// One step of a schedule. Replicas are chosen by their index among the replicas whose disk is not lost.
#[derive(Debug, Clone)]
enum Action {
    Run { ms: u64 },
    Propose { count: u64 },
    ProposeAnywhere { index: usize },
    Read { index: usize },
    ReadAtLeader,
    Crash { index: usize },
    CrashAll,
    Restart { index: usize },
    BlockOneWay { from: usize, to: usize },
    Isolate { index: usize },
    Heal,
    SetLinkFaults { loss_percent: u32, duplicate_percent: u32, max_delay_ms: u64 },
    PauseProcess { index: usize, ms: u64 },
    SetClockSpeed { index: usize, percent: u64 },
    StallDisk { index: usize, ms: u64 },
    LoseDisk { index: usize },
    Transfer { index: usize },
    Demote { index: usize },
    Compact { index: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let index = 0..8_usize;
    prop_oneof![
        8 => (10..1_500_u64).prop_map(|ms| Action::Run { ms }),
        4 => (1..120_u64).prop_map(|count| Action::Propose { count }),
        2 => index.clone().prop_map(|index| Action::ProposeAnywhere { index }),
        3 => index.clone().prop_map(|index| Action::Read { index }),
        3 => Just(Action::ReadAtLeader),
        3 => index.clone().prop_map(|index| Action::Crash { index }),
        1 => Just(Action::CrashAll),
        4 => index.clone().prop_map(|index| Action::Restart { index }),
        3 => (index.clone(), index.clone()).prop_map(|(from, to)| Action::BlockOneWay { from, to }),
        2 => index.clone().prop_map(|index| Action::Isolate { index }),
        2 => Just(Action::Heal),
        2 => (0..30_u32, 0..30_u32, 20..400_u64).prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| {
            Action::SetLinkFaults { loss_percent, duplicate_percent, max_delay_ms }
        }),
        1 => (index.clone(), 100..4_000_u64).prop_map(|(index, ms)| Action::PauseProcess { index, ms }),
        1 => (index.clone(), 30..300_u64).prop_map(|(index, percent)| Action::SetClockSpeed { index, percent }),
        1 => (index.clone(), 100..3_000_u64).prop_map(|(index, ms)| Action::StallDisk { index, ms }),
        2 => index.clone().prop_map(|index| Action::LoseDisk { index }),
        2 => index.clone().prop_map(|index| Action::Transfer { index }),
        1 => index.clone().prop_map(|index| Action::Demote { index }),
        3 => index.prop_map(|index| Action::Compact { index }),
    ]
}

/// Replicas whose disk is not lost.
fn replicas_with_disk(group: &Group) -> Vec<MemberId> {
    group.replicas.iter().filter(|(_, replica)| !replica.disk_lost).map(|(&id, _)| id).collect()
}

/// Whether the members known to each replica would keep a majority if `id` lost its disk. A group is not expected to
/// survive the loss of a majority.
fn can_lose_disk(group: &Group, id: MemberId) -> bool {
    let all_up = group.replicas.values().all(|replica| replica.disk_lost || replica.raft.is_some());
    let rafts = group.replicas.values().filter_map(|replica| replica.raft.as_ref());
    all_up
        && rafts
            .map(Raft::members)
            .filter(|members| !members.is_empty())
            .all(|members| keeps_majority(group, members, id))
}

fn keeps_majority(group: &Group, members: &Members, without: MemberId) -> bool {
    let left = members
        .voters
        .iter()
        .filter(|&&voter| voter != without && !group.replicas[&voter].disk_lost);
    left.count() > members.voters.len() / 2
}

/// Does one operator step towards a group of `size` voters: adds a new replica as a learner, promotes a learner, or
/// removes the id of a lost disk.
fn repair_members(group: &mut Group, size: usize) {
    let Some(leader) = group.leader() else { return };
    let is_lost = |id: &MemberId| group.replicas[id].disk_lost;
    let old = group.replicas[&leader].raft.as_ref().expect("a leader runs").members().clone();
    let mut new = old.clone();
    new.learners.retain(|id| !is_lost(id));
    let present_voters = old.voters.iter().filter(|id| !is_lost(id)).count();
    let newcomer = replicas_with_disk(group).into_iter().find(|&id| !old.contains(id));
    if let (Some(id), true) = (newcomer, old.voters.len() <= size) {
        new.learners.push(id);
    } else if let (Some(&id), true) = (new.learners.first(), present_voters < size) {
        new.learners.retain(|&learner| learner != id);
        new.voters.push(id);
    } else if let (Some(&id), true) =
        (old.voters.iter().find(|id| is_lost(id)), old.voters.len() > size)
    {
        new.voters.retain(|&voter| voter != id);
    }
    change_members(group, leader, new);
}

fn change_members(group: &mut Group, leader: MemberId, members: Members) {
    match group.raft(leader).propose_members(members) {
        Ok(_)
        | Err(
            MemberChangeError::Unchanged
            | MemberChangeError::NotLeader(_)
            | MemberChangeError::TermNotCommitted
            | MemberChangeError::ChangeInProgress { .. }
            | MemberChangeError::NotCaughtUp { .. },
        ) => {}
        Err(error) => panic!("a valid membership change was rejected: {error}"),
    }
}

fn perform_action(group: &mut Group, size: usize, action: &Action) {
    let ids = replicas_with_disk(group);
    let id_at = |index: usize| ids[index % ids.len()];
    match *action {
        Action::Run { ms } => {
            for _ in 0..ms.div_ceil(100) {
                repair_members(group, size);
                group.run(ms.min(100));
            }
        }
        Action::Propose { count } => {
            for _ in 0..count {
                if let Some(leader) = group.leader() {
                    group.propose(leader);
                }
            }
        }
        Action::ProposeAnywhere { index } => drop(group.propose(id_at(index))),
        Action::ReadAtLeader => {
            if let Some(leader) = group.leader() {
                group.read(leader);
            }
        }
        Action::Read { index } => drop(group.read(id_at(index))),
        Action::Crash { index } => group.crash(id_at(index)),
        Action::CrashAll => ids.iter().for_each(|&id| group.crash(id)),
        Action::Restart { index } => group.restart(id_at(index)),
        Action::BlockOneWay { from, to } => {
            group.blocked_links.insert((id_at(from), id_at(to)));
        }
        Action::Isolate { index } => group.isolate(id_at(index)),
        Action::Heal => {
            group.heal();
            group.max_delay_ms = 20;
        }
        Action::SetLinkFaults { loss_percent, duplicate_percent, max_delay_ms } => {
            group.loss_percent = loss_percent;
            group.duplicate_percent = duplicate_percent;
            group.max_delay_ms = max_delay_ms;
        }
        Action::PauseProcess { index, ms } => {
            let until_ms = group.now_ms + ms;
            group.replicas.get_mut(&id_at(index)).expect("present").paused_until_ms = until_ms;
        }
        Action::SetClockSpeed { index, percent } => {
            group.replicas.get_mut(&id_at(index)).expect("present").clock_percent = percent;
        }
        Action::StallDisk { index, ms } => {
            let until_ms = group.now_ms + ms;
            group.replicas.get_mut(&id_at(index)).expect("present").disk_stalled_until_ms =
                until_ms;
        }
        Action::LoseDisk { index } => {
            if can_lose_disk(group, id_at(index)) {
                group.lose_disk(id_at(index));
            }
        }
        Action::Transfer { index } => {
            if let Some(leader) = group.leader() {
                group.raft(leader).transfer_leadership(id_at(index)).expect("the leader");
            }
        }
        Action::Demote { index } => {
            let id = id_at(index);
            if let Some(leader) = group.leader() {
                let mut members = group.raft(leader).members().clone();
                members.voters.retain(|&voter| voter != id);
                members.learners.retain(|&learner| learner != id);
                members.learners.push(id);
                if keeps_majority(group, &members, id) {
                    change_members(group, leader, members);
                }
            }
        }
        Action::Compact { index } => group.compact(id_at(index)),
    }
}

/// Checks that the group recovers after the faults end: it elects a leader, accepts membership changes, regains its
/// size, and every replica holds every acknowledged command.
fn check_recovery(group: &mut Group, size: usize) {
    group.heal();
    let end_ms = group.now_ms + 60_000;
    loop {
        repair_members(group, size);
        group.run(100);
        let ids = replicas_with_disk(group);
        let done = group.leader().is_some_and(|leader| {
            let raft = group.raft(leader);
            let members = raft.members();
            raft.members_committed()
                && members.voters.len() == size
                && ids.iter().all(|&id| members.contains(id))
        });
        if done {
            break;
        }
        assert!(
            group.now_ms < end_ms,
            "the group did not regain its members: {}",
            group.describe()
        );
    }
    group.commit_command(10_000);
    let (confirmed, end_ms) = (group.confirmed_reads, group.now_ms + 10_000);
    while group.confirmed_reads == confirmed {
        assert!(group.now_ms < end_ms, "no read was confirmed: {}", group.describe());
        group.leader().map(|leader| group.read(leader));
        group.run(100);
    }
    group.run(2_000);
    let last_index = *group.committed_entries.last_key_value().expect("a commit").0;
    let commands = group.commands_up_to(last_index);
    let missing: Vec<_> = group.acknowledged.iter().filter(|c| !commands.contains(c)).collect();
    assert!(missing.is_empty(), "acknowledged commands {missing:?} are lost");
    for id in replicas_with_disk(group) {
        let replica = &group.replicas[&id];
        assert_eq!(
            replica.applied.index, last_index,
            "replica {id} has not applied every committed entry"
        );
        assert_eq!(replica.commands, commands, "replica {id} holds different commands");
    }
}

/// Guards against safety violations under random faults, and against groups that do not recover after the faults end.
#[test]
fn groups_stay_correct_under_random_faults_and_recover() {
    let cases = std::env::var("MULBERRY_CASES").ok().map(|cases| cases.parse().expect("a number"));
    let cases = cases.unwrap_or(DEFAULT_CASES);
    let seed = std::env::var("MULBERRY_SEED").map_or(1, |seed| seed.parse().expect("0 to 255"));
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedule = (
        any::<u64>(),
        any::<bool>(),
        prop_oneof![Just(3_usize), Just(5)],
        prop::collection::vec(action(), 10..60),
    );
    let totals = std::cell::Cell::new([0; 4]);
    let result = runner.run(&schedule, |(seed, formed, size, actions)| {
        let mut group = Group::new(size as u64, seed);
        if formed {
            group.run_until_leader();
            group.run(300);
        }
        for action in &actions {
            perform_action(&mut group, size, action);
        }
        check_recovery(&mut group, size);
        let lost = group.replicas.values().filter(|replica| replica.disk_lost).count();
        let counts =
            [group.acknowledged.len(), group.confirmed_reads, group.snapshots_restored, lost];
        let sums: Vec<_> =
            totals.get().iter().zip(counts).map(|(sum, count)| sum + count).collect();
        totals.set(sums.try_into().expect("4 sums"));
        Ok(())
    });
    let [acknowledged, reads, snapshots, lost] = totals.get();
    println!(
        "cases={cases} acknowledged={acknowledged} reads={reads} snapshots={snapshots} lost_disks={lost}"
    );
    if let Err(error) = result {
        panic!("{error}");
    }
    // Without any of these events, the test would pass without having checked them.
    assert!(acknowledged > 0 && reads > 0 && snapshots > 0 && lost > 0);
}
