//! A group of three instances in one process: changes, leases and the loss of a leader.

mod support;

use mulberry_types::{ChangeOutcome, ConfigurationVersion, RejectReason};
use support::{Group, LightEntry, set_zone};

/// Guards against a change that is acknowledged but not read back, and against two winners of a race.
#[test]
fn of_two_changes_with_equal_versions_one_wins() {
    let group = Group::start("race", 3);
    let leader = group.wait_for_leader();
    let handle = group.instance(leader).handle();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|number| {
                let change = set_zone(
                    &format!("c{number}"),
                    &format!("zone-{number}"),
                    ConfigurationVersion(0),
                );
                scope.spawn(move || handle.change(change).unwrap())
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let accepted = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };
    let conflict = ChangeOutcome::Rejected {
        reason: RejectReason::VersionConflict { current: ConfigurationVersion(1) },
    };
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == accepted).count(), 1);
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == conflict).count(), 7);
    let (version, configuration) = handle.configuration().unwrap();
    assert_eq!(version, ConfigurationVersion(1));
    assert_eq!(configuration.zones.len(), 1);
}

/// Guards against a lease without a join, and against a grant that lacks the configuration.
#[test]
fn an_entry_joins_with_its_first_renewal() {
    let group = Group::start("join", 3);
    let version = group.set_zone("c", "zone-a");
    let mut entry = LightEntry::in_group(1, &group);
    let grant = entry.renew();
    assert_eq!(grant.version, version);
    assert!(grant.update.is_some());
    let membership = grant.membership.unwrap();
    assert_eq!(membership.epoch, grant.epoch);
    assert_eq!(membership.members, vec![entry.member.clone()]);
    let grant = entry.renew();
    assert_eq!((grant.update, grant.membership), (None, None));
}
