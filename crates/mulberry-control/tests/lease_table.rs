//! Unit tests of the lease table with explicit times.

use std::net::{Ipv4Addr, SocketAddr};

use mulberry_control::{LEASE_EXPIRY_MS, LeaseTable};
use mulberry_types::{
    ConfigurationVersion, Incarnation, Member, Membership, MembershipEpoch, NodeId, Renew,
};

fn member(node: u32, incarnation: u64) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        zone: "a".into(),
    }
}

fn membership(epoch: u64, members: &[Member]) -> Membership {
    Membership { epoch: MembershipEpoch(epoch), members: members.to_vec() }
}

fn renew(member: &Member, have_epoch: u64) -> Renew {
    Renew {
        member: member.clone(),
        sequence: 1,
        have_version: ConfigurationVersion(0),
        have_epoch: MembershipEpoch(have_epoch),
    }
}

/// Guards against a new leader that expires members whose leases were renewed by an earlier leader.
#[test]
fn a_new_leader_measures_leases_from_its_election() {
    let members = membership(5, &[member(1, 10), member(2, 20)]);
    let mut leases = LeaseTable::new(1_000);
    assert!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS - 1).is_empty());
    leases.record_grant(NodeId(1), Incarnation(10), 2_000);
    let expired = leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS);
    assert_eq!(expired, [(NodeId(2), Incarnation(20))]);
    // Each removal is returned once, and the member is marked as expiring.
    assert!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS).is_empty());
    assert!(leases.is_expiring(NodeId(2), Incarnation(20)));
    assert!(!leases.is_expiring(NodeId(1), Incarnation(10)));
    // After a refused proposal, the removal is returned again.
    leases.cancel_expiry(NodeId(2), Incarnation(20));
    assert_eq!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS).len(), 1);
}

/// Guards against an expiry measured from an earlier renewal than the last granted one.
#[test]
fn each_grant_extends_the_lease() {
    let members = membership(5, &[member(1, 10)]);
    let mut leases = LeaseTable::new(0);
    leases.record_grant(NodeId(1), Incarnation(10), 3_000);
    assert!(leases.take_expired(&members, 3_000 + LEASE_EXPIRY_MS - 1).is_empty());
    assert_eq!(leases.take_expired(&members, 3_000 + LEASE_EXPIRY_MS).len(), 1);
}

/// Guards against an epoch that is settled for an entry before all other entries have applied it, or that
/// depends on the entry itself.
#[test]
fn an_epoch_settles_once_all_other_entries_have_applied_it() {
    let one = member(1, 10);
    let two = member(2, 20);
    let old = membership(5, std::slice::from_ref(&one));
    let new = membership(6, &[one.clone(), two.clone()]);
    let now = LEASE_EXPIRY_MS;
    let mut leases = LeaseTable::new(0);
    leases.record_renewal(&renew(&one, 5));
    leases.update_members(&old, &new, false, now);
    let settled = leases.settled_epochs(&new, now);
    // The first entry has not applied epoch 6 yet. The second one joined in it.
    assert_eq!(settled.for_node(NodeId(2)), MembershipEpoch(5));
    assert_eq!(settled.for_node(NodeId(1)), MembershipEpoch(6));
    assert_eq!(settled.for_all(), MembershipEpoch(5));
    leases.record_renewal(&renew(&one, 6));
    assert_eq!(leases.settled_epochs(&new, now).for_node(NodeId(2)), MembershipEpoch(6));
}

/// Guards against an epoch that settles while an incarnation replaced under an earlier leader holds a
/// lease.
#[test]
fn a_new_leader_reports_no_settled_epoch_for_one_lease() {
    let one = member(1, 10);
    let members = membership(5, std::slice::from_ref(&one));
    let mut leases = LeaseTable::new(100);
    leases.record_renewal(&renew(&one, 5));
    assert_eq!(
        leases.settled_epochs(&members, 100 + LEASE_EXPIRY_MS - 1).for_all(),
        MembershipEpoch(0)
    );
    assert_eq!(
        leases.settled_epochs(&members, 100 + LEASE_EXPIRY_MS).for_all(),
        MembershipEpoch(5)
    );
}

/// Guards against an epoch that settles while a replaced incarnation of a node may hold a lease, and
/// against one that waits for an incarnation whose lease is known to have ended.
#[test]
fn replaced_incarnations_delay_settling_and_removed_ones_do_not() {
    let one = member(1, 10);
    let (old_incarnation, new_incarnation) = (member(2, 20), member(2, 21));
    let old = membership(5, &[one.clone(), old_incarnation.clone()]);
    let new = membership(6, &[one.clone(), new_incarnation.clone()]);
    let mut leases = LeaseTable::new(0);
    leases.record_renewal(&renew(&old_incarnation, 4));
    leases.record_grant(NodeId(2), Incarnation(20), 4_000);
    leases.update_members(&old, &new, false, 5_000);
    leases.record_renewal(&renew(&one, 6));
    leases.record_renewal(&renew(&new_incarnation, 6));
    // The replaced incarnation had only applied epoch 4.
    assert_eq!(
        leases.settled_epochs(&new, 4_000 + LEASE_EXPIRY_MS - 1).for_all(),
        MembershipEpoch(4)
    );
    assert_eq!(leases.settled_epochs(&new, 4_000 + LEASE_EXPIRY_MS).for_all(), MembershipEpoch(6));

    let removed = membership(7, std::slice::from_ref(&one));
    leases.update_members(&new, &removed, true, 9_000);
    leases.record_renewal(&renew(&one, 7));
    assert_eq!(leases.settled_epochs(&removed, 9_000).for_all(), MembershipEpoch(7));
}
