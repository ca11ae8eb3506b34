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
    plan_membership(MemberId(1), before, views, 3).map(|plan| (plan.members, plan.reason))
}

#[test]
fn a_healthy_group_needs_no_change() {
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &[alive(1), alive(2), alive(3)]), None);
}

#[test]
fn a_silent_voter_stays_without_a_replacement() {
    let views = [alive(1), alive(2), silent(3, 60_000)];
    assert_eq!(plan(&members(&[1, 2, 3], &[]), &views), None);
}

#[test]
fn a_member_with_a_lost_disk_joins_as_a_learner_replaces_its_old_id_and_becomes_a_voter() {
    let displaced = MemberView { is_displaced: true, ..silent(3, 300) };
    let new = MemberView { is_caught_up: false, ..alive(4) };
    let group = members(&[1, 2, 3], &[]);
    let (group, reason) = plan(&group, &[alive(1), alive(2), displaced, new]).expect("a change");
    assert_eq!((group.clone(), reason), (members(&[1, 2, 3], &[4]), "new_member"));
    assert_eq!(plan(&group, &[alive(1), alive(2), displaced, new]), None, "it must catch up first");
    let views = [alive(1), alive(2), displaced, alive(4)];
    let (group, reason) = plan(&group, &views).expect("a change");
    assert_eq!((group.clone(), reason), (members(&[1, 2], &[4]), "voter_lost"));
    let (group, reason) =
        plan(&group, &views[..2].iter().chain(&views[3..]).copied().collect::<Vec<_>>())
            .expect("a change");
    assert_eq!((group, reason), (members(&[1, 2, 4], &[]), "caught_up"));
}

#[test]
fn a_replacement_at_another_address_waits_until_the_old_member_is_silent() {
    let group = members(&[1, 2, 3], &[4]);
    assert_eq!(plan(&group, &[alive(1), alive(2), alive(3), alive(4)]), None);
    let views = [alive(1), alive(2), silent(3, 1_300), alive(4)];
    assert_eq!(plan(&group, &views), Some((members(&[1, 2], &[4]), "voter_lost")));
}

#[test]
fn the_leader_never_removes_itself_and_makes_one_change_at_a_time() {
    let group = members(&[1, 2, 3], &[4, 5]);
    let views = [silent(1, 9_000), silent(2, 9_000), silent(3, 9_000), alive(4), alive(5)];
    let (after, _) = plan(&group, &views).expect("a change");
    assert_eq!(after.voters.len(), 2);
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
fn a_group_grows_to_the_desired_number_of_voters() {
    let group = members(&[1, 2, 3], &[4, 5, 6]);
    let views: Vec<MemberView> = (1..=6).map(alive).collect();
    let grow =
        |group: &Members| plan_membership(MemberId(1), group, &views, 5).map(|plan| plan.members);
    let group = grow(&group).expect("a fourth voter");
    let group = grow(&group).expect("a fifth voter");
    assert_eq!((group.voters.len(), group.learners.len()), (5, 1));
    assert_eq!(grow(&group), None);
}

#[test]
fn a_new_learner_with_a_recent_hello_stays_until_its_first_response() {
    let learner = MemberView { silent_ms: silence_ms(900, None, Some(800)), ..silent(4, 0) };
    let views = [alive(1), alive(2), alive(3), learner];
    assert_eq!(plan(&members(&[1, 2, 3], &[4]), &views), None);
    assert_eq!(silence_ms(900, Some(850), Some(800)), Some(50));
    assert_eq!(silence_ms(900, None, None), None);
}
