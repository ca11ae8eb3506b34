//! Leases of entries against a group of three instances.

mod support;

use std::time::{Duration, Instant};

use mulberry_control::{LEASE_EXPIRY_MS, LEASE_MS};
use mulberry_peers::{FaultDirection, LinkFault};
use mulberry_types::{ConfigurationUpdate, ControlReply, Incarnation, MembershipEpoch};
use support::{Group, TestEntry, wait_for};

/// Guards against a lease granted to an entry that has not joined, and against a grant without the
/// configuration.
#[test]
fn an_entry_joins_with_its_first_renewal() {
    let group = Group::start("join", 3);
    let version = group.set_zone("c", "zone-a");
    let mut entry = TestEntry::in_group(1, &group);
    let grant = entry.renew();
    assert_eq!(grant.version, version);
    assert_eq!(grant.lease_ms, LEASE_MS);
    assert!(grant.update.is_some());
    let membership = grant.membership.unwrap();
    assert_eq!(membership.epoch, grant.epoch);
    assert_eq!(membership.members, vec![entry.member.clone()]);
    let grant = entry.renew();
    assert_eq!((grant.update, grant.membership), (None, None));
}

/// Guards against a member that is removed while its lease is valid, or never, and against an epoch that is
/// reported as settled before every other member has applied it.
#[test]
fn an_expired_member_is_removed_and_epochs_settle_after_renewals() {
    let group = Group::start("expiry", 3);
    let mut kept = TestEntry::in_group(1, &group);
    let mut lost = TestEntry::in_group(2, &group);
    kept.renew();
    let two = lost.renew().epoch;
    // Lower bound for the time at which the leader grants the last renewal.
    let last_renewal = Instant::now();
    lost.renew();
    let grant = kept.renew();
    assert_eq!(grant.epoch, two);

    let expired = wait_for("the removal of the member", || {
        let grant = kept.renew();
        (grant.epoch > two).then_some(grant)
    });
    assert!(last_renewal.elapsed() >= Duration::from_millis(LEASE_EXPIRY_MS));
    assert_eq!(expired.membership.unwrap().members, vec![kept.member.clone()]);

    // A third entry joins. The epoch is settled for it only once the first one has applied it.
    let mut third = TestEntry::in_group(3, &group);
    let joined = third.renew();
    assert!(joined.settled_epoch < joined.epoch);
    assert!(third.renew().settled_epoch < joined.epoch);
    // The first renewal delivers the epoch, the second one reports it as applied.
    assert_eq!(kept.renew().epoch, joined.epoch);
    assert!(third.renew().settled_epoch < joined.epoch);
    wait_for("the epoch to settle", || {
        kept.renew();
        (third.renew().settled_epoch >= joined.epoch).then_some(())
    });
}

/// Guards against an epoch that settles while a replaced incarnation of a node may hold a valid lease.
#[test]
fn an_epoch_settles_after_the_lease_of_a_replaced_incarnation() {
    let group = Group::start("replaced", 3);
    let mut other = TestEntry::in_group(1, &group);
    let mut old_incarnation = TestEntry::in_group(2, &group);
    other.renew();
    old_incarnation.renew();
    // No epoch is reported as settled until one lease has passed since the election.
    let before = wait_for("a settled epoch", || {
        old_incarnation.renew();
        other.renew();
        let grant = other.renew();
        (grant.settled_epoch == grant.epoch).then_some(grant.epoch)
    });
    let last_renewal = Instant::now();
    old_incarnation.renew();
    let mut new_incarnation = TestEntry::in_group(2, &group);
    new_incarnation.member.incarnation = Incarnation(77);
    let epoch = new_incarnation.renew().epoch;
    assert!(epoch > before);
    wait_for("the new epoch to settle", || {
        other.renew();
        (new_incarnation.renew().settled_epoch >= epoch).then_some(())
    });
    assert!(last_renewal.elapsed() >= Duration::from_millis(LEASE_MS));
    // The replaced incarnation no longer gets a lease.
    let renewal = old_incarnation.renewal();
    assert_eq!(old_incarnation.request(&renewal), ControlReply::Expelled);
}

/// Guards against a change that reaches connected entries only with their next renewal.
#[test]
fn changes_and_members_are_pushed() {
    let group = Group::start("push", 3);
    let mut entry = TestEntry::in_group(1, &group);
    let grant = entry.renew();
    let version = group.set_zone("c", "zone-a");
    let update = wait_for("a push of the change", || {
        let pushes = entry.pushes.lock().unwrap();
        pushes.iter().find_map(|push| match push {
            ControlReply::Update { update: Some(update), .. } => Some(update.clone()),
            _ => None,
        })
    });
    let ConfigurationUpdate::Delta { from_version, to_version, operations } = update else {
        panic!("expected a delta, but the full configuration was pushed");
    };
    assert_eq!((from_version, to_version), (grant.version, version));
    assert_eq!(operations.len(), 1);

    let mut second = TestEntry::in_group(2, &group);
    let epoch = second.renew().epoch;
    wait_for("a push of the members", || {
        let pushes = entry.pushes.lock().unwrap();
        pushes.iter().find_map(|push| match push {
            ControlReply::Update { membership: Some(membership), .. }
                if membership.epoch == epoch =>
            {
                Some(())
            }
            _ => None,
        })
    });
}

/// Guards against a lease granted by a leader that the majority has replaced, and against a new leader that
/// expires a member before its lease has ended.
#[test]
fn an_isolated_leader_grants_no_lease() {
    let group = Group::start("isolated", 3);
    let mut entry = TestEntry::in_group(1, &group);
    let epoch = entry.renew().epoch;
    let old_leader = group.wait_for_leader();
    let others: Vec<usize> = (0..3).filter(|index| *index != old_leader).collect();
    let set_links = |fault| {
        for other in &others {
            let faults = group.instance(old_leader).faults();
            faults.set(group.settings[*other].peer_address, FaultDirection::Both, fault);
        }
    };
    set_links(Some(LinkFault::Drop));
    let next = std::thread::scope(|scope| {
        let mut probe = TestEntry::in_group(1, &group);
        scope.spawn(move || {
            // The isolated leader must not grant a lease.
            let begin = Instant::now();
            while begin.elapsed() < Duration::from_millis(1_500) {
                assert_eq!(probe.try_renew(old_leader), None);
            }
        });
        let next = wait_for("a leader of the majority", || {
            let mut others = others.iter().copied();
            others.find(|other| group.instance(*other).handle().configuration().is_ok())
        });
        let grant = wait_for("a lease of the new leader", || entry.try_renew(next));
        // The new leader has not expired the member in the meantime.
        assert_eq!(grant.epoch, epoch);
        assert_eq!(grant.settled_epoch, MembershipEpoch(0));
        next
    });
    assert_eq!(entry.try_renew(old_leader), None);

    set_links(None);
    let term = group.instance(next).handle().status().term;
    wait_for("the former leader to follow", || {
        let status = group.instance(old_leader).handle().status();
        (status.leader.is_some() && status.term >= term).then_some(())
    });
}
