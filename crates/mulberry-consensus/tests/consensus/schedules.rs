//! Random schedules of faults and calls on groups of 3 and 5 replicas.

use mulberry_consensus::{MemberChangeError, MemberId, Members, Raft};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fake::Group;

/// Cases of a CI run, about 2 s. `MULBERRY_CASES` sets another number and `MULBERRY_SEED` another seed.
const DEFAULT_CASES: u32 = 1_000;

/// One step of a schedule. Replicas are chosen by their place among the replicas whose disk exists.
#[derive(Debug, Clone)]
enum Action {
    Run { ms: u64 },
    Propose { count: u64 },
    ProposeAnywhere { place: usize },
    Read { place: usize },
    ReadAtLeader,
    Crash { place: usize },
    CrashAll,
    Restart { place: usize },
    CutOneWay { from: usize, to: usize },
    Isolate { place: usize },
    Heal,
    Links { loss_percent: u32, duplicate_percent: u32, max_delay_ms: u64 },
    Freeze { place: usize, ms: u64 },
    Clock { place: usize, percent: u64 },
    StallDisk { place: usize, ms: u64 },
    LoseDisk { place: usize },
    Transfer { place: usize },
    Demote { place: usize },
    Compact { place: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let place = 0..8_usize;
    prop_oneof![
        8 => (10..1_500_u64).prop_map(|ms| Action::Run { ms }),
        4 => (1..120_u64).prop_map(|count| Action::Propose { count }),
        2 => place.clone().prop_map(|place| Action::ProposeAnywhere { place }),
        3 => place.clone().prop_map(|place| Action::Read { place }),
        3 => Just(Action::ReadAtLeader),
        3 => place.clone().prop_map(|place| Action::Crash { place }),
        1 => Just(Action::CrashAll),
        4 => place.clone().prop_map(|place| Action::Restart { place }),
        3 => (place.clone(), place.clone()).prop_map(|(from, to)| Action::CutOneWay { from, to }),
        2 => place.clone().prop_map(|place| Action::Isolate { place }),
        2 => Just(Action::Heal),
        2 => (0..30_u32, 0..30_u32, 20..400_u64).prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| {
            Action::Links { loss_percent, duplicate_percent, max_delay_ms }
        }),
        1 => (place.clone(), 100..4_000_u64).prop_map(|(place, ms)| Action::Freeze { place, ms }),
        1 => (place.clone(), 30..300_u64).prop_map(|(place, percent)| Action::Clock { place, percent }),
        1 => (place.clone(), 100..3_000_u64).prop_map(|(place, ms)| Action::StallDisk { place, ms }),
        2 => place.clone().prop_map(|place| Action::LoseDisk { place }),
        2 => place.clone().prop_map(|place| Action::Transfer { place }),
        1 => place.clone().prop_map(|place| Action::Demote { place }),
        3 => place.prop_map(|place| Action::Compact { place }),
    ]
}

/// Replicas whose disk exists.
fn present(group: &Group) -> Vec<MemberId> {
    group.replicas.iter().filter(|(_, replica)| !replica.lost).map(|(&id, _)| id).collect()
}

/// Whether every group of members that some replica may act on keeps a majority without `id`. More losses than that
/// are outside of what a group survives.
fn may_lose(group: &Group, id: MemberId) -> bool {
    let all_up = group.replicas.values().all(|replica| replica.lost || replica.raft.is_some());
    let rafts = group.replicas.values().filter_map(|replica| replica.raft.as_ref());
    all_up
        && rafts
            .map(Raft::members)
            .filter(|members| !members.is_empty())
            .all(|members| keeps_majority(group, members, id))
}

fn keeps_majority(group: &Group, members: &Members, without: MemberId) -> bool {
    let left =
        members.voters.iter().filter(|&&voter| voter != without && !group.replicas[&voter].lost);
    left.count() > members.voters.len() / 2
}

/// What an operator does until the group has its size again: adds new replicas as learners, promotes them, and removes
/// the identities of lost disks.
fn repair(group: &mut Group, size: usize) {
    let Some(leader) = group.leader() else { return };
    let is_lost = |id: &MemberId| group.replicas[id].lost;
    let old = group.replicas[&leader].raft.as_ref().expect("a leader runs").members().clone();
    let mut new = old.clone();
    new.learners.retain(|id| !is_lost(id));
    let present_voters = old.voters.iter().filter(|id| !is_lost(id)).count();
    let newcomer = present(group).into_iter().find(|&id| !old.contains(id));
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
        Err(error) => panic!("a valid change was refused: {error}"),
    }
}

fn perform(group: &mut Group, size: usize, action: &Action) {
    let ids = present(group);
    let id_at = |place: usize| ids[place % ids.len()];
    match *action {
        Action::Run { ms } => {
            for _ in 0..ms.div_ceil(100) {
                repair(group, size);
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
        Action::ProposeAnywhere { place } => drop(group.propose(id_at(place))),
        Action::ReadAtLeader => {
            if let Some(leader) = group.leader() {
                group.read(leader);
            }
        }
        Action::Read { place } => drop(group.read(id_at(place))),
        Action::Crash { place } => group.crash(id_at(place)),
        Action::CrashAll => ids.iter().for_each(|&id| group.crash(id)),
        Action::Restart { place } => group.restart(id_at(place)),
        Action::CutOneWay { from, to } => drop(group.cuts.insert((id_at(from), id_at(to)))),
        Action::Isolate { place } => group.isolate(id_at(place)),
        Action::Heal => {
            group.heal();
            group.max_delay_ms = 20;
        }
        Action::Links { loss_percent, duplicate_percent, max_delay_ms } => {
            group.loss_percent = loss_percent;
            group.duplicate_percent = duplicate_percent;
            group.max_delay_ms = max_delay_ms;
        }
        Action::Freeze { place, ms } => {
            let until_ms = group.now_ms + ms;
            group.replicas.get_mut(&id_at(place)).expect("present").frozen_until_ms = until_ms;
        }
        Action::Clock { place, percent } => {
            group.replicas.get_mut(&id_at(place)).expect("present").clock_percent = percent;
        }
        Action::StallDisk { place, ms } => {
            let until_ms = group.now_ms + ms;
            group.replicas.get_mut(&id_at(place)).expect("present").disk_stalled_until_ms =
                until_ms;
        }
        Action::LoseDisk { place } => {
            if may_lose(group, id_at(place)) {
                group.lose_disk(id_at(place));
            }
        }
        Action::Transfer { place } => {
            if let Some(leader) = group.leader() {
                group.raft(leader).transfer_leadership(id_at(place)).expect("the leader");
            }
        }
        Action::Demote { place } => {
            let id = id_at(place);
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
        Action::Compact { place } => group.compact(id_at(place)),
    }
}

/// After the faults have ended: the group elects a leader, accepts changes, regains its size, and every replica holds
/// every acknowledged command.
fn check_recovery(group: &mut Group, size: usize) {
    group.heal();
    let end_ms = group.now_ms + 60_000;
    loop {
        repair(group, size);
        group.run(100);
        let ids = present(group);
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
    group.commit_one(10_000);
    let (confirmed, end_ms) = (group.confirmed_reads, group.now_ms + 10_000);
    while group.confirmed_reads == confirmed {
        assert!(group.now_ms < end_ms, "no read was confirmed: {}", group.describe());
        group.leader().map(|leader| group.read(leader));
        group.run(100);
    }
    group.run(2_000);
    let newest = *group.history.last_key_value().expect("a commit").0;
    let commands = group.commands_up_to(newest);
    let missing: Vec<_> = group.acknowledged.iter().filter(|c| !commands.contains(c)).collect();
    assert!(missing.is_empty(), "acknowledged commands {missing:?} are lost");
    for id in present(group) {
        let replica = &group.replicas[&id];
        assert_eq!(replica.applied.index, newest, "replica {id} lags behind");
        assert_eq!(replica.commands, commands, "replica {id} differs");
    }
}

/// Guards against any loss of safety under faults, and against groups that do not recover when the faults end.
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
            perform(&mut group, size, action);
        }
        check_recovery(&mut group, size);
        let lost = group.replicas.values().filter(|replica| replica.lost).count();
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
    // A schedule generator that reaches none of these would pass for no reason.
    assert!(acknowledged > 0 && reads > 0 && snapshots > 0 && lost > 0);
}
