//! Planning of membership changes of the replication group.

use mulberry_consensus::{MemberId, Members};
use mulberry_registry::{MemberView, plan_membership, silence_ms};

fn ids(numbers: &[u64]) -> Vec<MemberId> {
    numbers.iter().copied().map(MemberId).collect()
}

fn members(voters: &[u64], learners: &[u64]) -> Members {
    Members { voters: ids(voters), learners: ids(learners) }
}

fn alive(member: u64) -> MemberView {
    MemberView {
        member: MemberId(member),
        silent_ms: Some(50),
        is_caught_up: true,
        is_displaced: false,
    }
}

fn silent(member: u64, silent_ms: u64) -> MemberView {
    MemberView { silent_ms: Some(silent_ms), is_caught_up: false, ..alive(member) }
}

fn plan(before: &Members, views: &[MemberView]) -> Option<(Members, &'static str)> {
    plan_membership(MemberId(1), before, views, usize::MAX).map(|plan| (plan.members, plan.reason))
}

/// Plans changes until none is needed, and returns the members after each of them.
fn plan_all(before: &Members, views: &[MemberView], max_voters: usize) -> Vec<Members> {
    let mut steps = vec![before.clone()];
    while let Some(plan) =
        plan_membership(MemberId(1), steps.last().expect("not empty"), views, max_voters)
    {
        steps.push(plan.members);
        assert!(steps.len() < 50, "the plan does not end: {steps:?}");
    }
    steps
}

#[test]
fn a_healthy_group_needs_no_change() {
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &[alive(1), alive(2), alive(3)]), None);
}

#[test]
fn a_silent_voter_stays_without_a_replacement() {
    let views = [alive(1), alive(2), silent(3, 59_000)];
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &views), None);
    let views = [alive(1), alive(2), MemberView { silent_ms: None, ..silent(3, 0) }];
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &views), None);
}

#[test]
fn a_voter_that_does_not_return_is_removed() {
    let views = [alive(1), alive(2), silent(3, 61_000)];
    let expected = Some((members(&[1, 2], &[]), "voter_lost"));
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &views), expected);
}

#[test]
fn a_member_with_a_lost_disk_joins_as_a_learner_becomes_a_voter_and_replaces_its_old_id() {
    let displaced = MemberView { is_displaced: true, ..silent(3, 300) };
    let new = MemberView { is_caught_up: false, ..alive(4) };
    let group = members(&[1, 2, 3], &[]);
    let (group, reason) = plan(&group, &[alive(1), alive(2), displaced, new]).expect("a change");
    assert_eq!((group.clone(), reason), (members(&[1, 2, 3], &[4]), "new_member"));
    assert_eq!(plan(&group, &[alive(1), alive(2), displaced, new]), None, "it must catch up first");
    let views = [alive(1), alive(2), displaced, alive(4)];
    let (group, reason) = plan(&group, &views).expect("a change");
    assert_eq!((group.clone(), reason), (members(&[1, 2, 3, 4], &[]), "caught_up"));
    let (group, reason) = plan(&group, &views).expect("a change");
    assert_eq!((group, reason), (members(&[1, 2, 4], &[]), "voter_lost"));
}

#[test]
fn a_replacement_at_another_address_takes_the_place_of_the_old_member_once_that_is_silent() {
    let group = members(&[1, 2, 3], &[4]);
    let (group, _) = plan(&group, &[alive(1), alive(2), alive(3), alive(4)]).expect("a change");
    assert_eq!(group, members(&[1, 2, 3, 4], &[]));
    assert_eq!(plan(&group, &[alive(1), alive(2), silent(3, 1_100), alive(4)]), None);
    let views = [alive(1), alive(2), silent(3, 1_300), alive(4)];
    assert_eq!(plan(&group, &views), Some((members(&[1, 2, 4], &[]), "voter_lost")));
}

#[test]
fn a_lost_disk_is_removed_before_a_voter_that_may_return() {
    let displaced = MemberView { is_displaced: true, ..silent(5, 300) };
    let views = [alive(1), silent(2, 9_000), alive(3), alive(4), displaced, alive(6)];
    let expected = Some((members(&[1, 2, 3, 4, 6], &[]), "voter_lost"));
    assert_eq!(plan(&members(&[1, 2, 3, 4, 5, 6], &[]), &views), expected);
}

/// Guards against a minority of the registries that acknowledges changes: two of five registries were a majority of
/// three voters.
#[test]
fn all_registries_become_voters_and_silent_ones_stay_voters() {
    let views: Vec<MemberView> = (1..=5).map(alive).collect();
    let steps = plan_all(&members(&[1, 2, 3], &[]), &views, usize::MAX);
    assert_eq!(steps.last(), Some(&members(&[1, 2, 3, 4, 5], &[])));
    let views = [alive(1), alive(2), alive(3), silent(4, 9_000), silent(5, 9_000)];
    assert_eq!(plan(&members(&[1, 2, 3, 4, 5], &[]), &views), None);
}

/// Guards against a majority of voters that is less than half of the registries, for groups of any size and any number
/// of silent registries.
#[test]
fn a_majority_of_the_voters_is_at_least_half_of_the_registries() {
    for registries in 1..=10_u64 {
        let all: Vec<u64> = (1..=registries).collect();
        let whole = members(&all, &[]);
        for silent_count in 0..=(registries - 1) / 2 {
            let views: Vec<MemberView> = (1..=registries)
                .map(
                    |id| if id > registries - silent_count { silent(id, 9_000) } else { alive(id) },
                )
                .collect();
            for group in plan_all(&whole, &views, usize::MAX) {
                let quorum = group.voters.len() as u64 / 2 + 1;
                assert!(quorum * 2 >= registries, "{registries}, {silent_count}: {group:?}");
            }
        }
    }
}

/// Guards against a group that cannot elect a leader any more: a silent voter was removed before its replacement was
/// promoted, and one of the two voters left lost its disk then.
#[test]
fn the_loss_of_a_disk_while_a_silent_voter_is_replaced_leaves_a_majority() {
    for voters in [3_u64, 5, 7] {
        for spares in 0..=3 {
            for silent_voter in 2..=voters {
                let learners: Vec<u64> = (voters + 1..=voters + spares).collect();
                let group = members(&(1..=voters).collect::<Vec<_>>(), &learners);
                let views: Vec<MemberView> = (1..=voters + spares)
                    .map(|id| if id == silent_voter { silent(id, 5_000) } else { alive(id) })
                    .collect();
                for max_voters in [3, usize::MAX] {
                    for group in plan_all(&group, &views, max_voters) {
                        // The silent voter returns with its disk; one other voter has lost its disk.
                        let left = group.voters.len() - 1;
                        assert!(left > group.voters.len() / 2, "{group:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn the_leader_never_removes_itself_and_makes_one_change_at_a_time() {
    let group = members(&[1, 2, 3, 4], &[5, 6]);
    let views = [
        silent(1, 9_000),
        silent(2, 9_000),
        silent(3, 9_000),
        silent(4, 9_000),
        alive(5),
        alive(6),
    ];
    let (after, _) = plan(&group, &views).expect("a change");
    assert_eq!(after.voters.len(), 3);
    assert!(after.is_voter(MemberId(1)));
}

#[test]
fn a_silent_learner_is_removed() {
    let group = members(&[1, 2, 3], &[4]);
    let views = [alive(1), alive(2), alive(3), silent(4, 19_000)];
    assert_eq!(plan(&group, &views), None);
    let views = [alive(1), alive(2), alive(3), silent(4, 21_000)];
    assert_eq!(plan(&group, &views), Some((members(&[1, 2, 3], &[]), "learner_lost")));
}

#[test]
fn a_group_grows_to_the_maximum_number_of_voters() {
    let views: Vec<MemberView> = (1..=6).map(alive).collect();
    let steps = plan_all(&members(&[1, 2, 3], &[4, 5, 6]), &views, 5);
    assert_eq!(steps.last(), Some(&members(&[1, 2, 3, 4, 5], &[6])));
    assert_eq!(steps.len(), 3, "one change at a time");
}

#[test]
fn a_full_group_replaces_a_lost_voter_without_fewer_voters_in_between() {
    let views = [alive(1), alive(2), silent(3, 5_000), alive(4)];
    let steps = plan_all(&members(&[1, 2, 3], &[4]), &views, 3);
    assert_eq!(steps[1..], [members(&[1, 2, 3, 4], &[]), members(&[1, 2, 4], &[])]);
}

#[test]
fn a_new_learner_with_a_recent_hello_stays_until_its_first_response() {
    let learner = MemberView { silent_ms: silence_ms(900, None, Some(800)), ..silent(4, 0) };
    let views = [alive(1), alive(2), alive(3), learner];
    assert_eq!(plan(&members(&[1, 2, 3], &[4]), &views), None);
    assert_eq!(silence_ms(900, Some(850), Some(800)), Some(50));
    assert_eq!(silence_ms(900, None, None), None);
}
