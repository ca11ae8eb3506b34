//! The lease table by itself, with times that are passed in.

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

/// Guards against a new leader that expires members whose leases an earlier leader has renewed.
#[test]
fn a_new_leader_counts_from_its_election() {
    let members = membership(5, &[member(1, 10), member(2, 20)]);
    let mut leases = LeaseTable::new(1_000);
    assert!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS - 1).is_empty());
    leases.record_grant(NodeId(1), Incarnation(10), 2_000);
    let expired = leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS);
    assert_eq!(expired, [(NodeId(2), Incarnation(20))]);
    // Each removal is proposed once, and no lease is granted meanwhile.
    assert!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS).is_empty());
    assert!(leases.is_expiring(NodeId(2), Incarnation(20)));
    assert!(!leases.is_expiring(NodeId(1), Incarnation(10)));
    // A refused proposal is made again.
    leases.cancel_expiry(NodeId(2), Incarnation(20));
    assert_eq!(leases.take_expired(&members, 1_000 + LEASE_EXPIRY_MS).len(), 1);
}

/// Guards against an expiry that counts from an earlier renewal than the last answered one.
#[test]
fn each_answer_extends_the_lease() {
    let members = membership(5, &[member(1, 10)]);
    let mut leases = LeaseTable::new(0);
    leases.record_grant(NodeId(1), Incarnation(10), 3_000);
    assert!(leases.take_expired(&members, 3_000 + LEASE_EXPIRY_MS - 1).is_empty());
    assert_eq!(leases.take_expired(&members, 3_000 + LEASE_EXPIRY_MS).len(), 1);
}

/// Guards against an epoch that is settled for an entry before all others have applied it, or that
/// waits for the entry itself.
#[test]
fn an_epoch_settles_by_the_others() {
    let one = member(1, 10);
    let two = member(2, 20);
    let old = membership(5, std::slice::from_ref(&one));
    let new = membership(6, &[one.clone(), two.clone()]);
    let now = LEASE_EXPIRY_MS;
    let mut leases = LeaseTable::new(0);
    leases.record_renewal(&renew(&one, 5));
    leases.update_members(&old, &new, false, now);
    let settled = leases.settled_epochs(&new, now);
    // The first entry has not applied epoch 6 yet; the second one joined in it.
    assert_eq!(settled.for_node(NodeId(2)), MembershipEpoch(5));
    assert_eq!(settled.for_node(NodeId(1)), MembershipEpoch(6));
    assert_eq!(settled.for_all(), MembershipEpoch(5));
    leases.record_renewal(&renew(&one, 6));
    assert_eq!(leases.settled_epochs(&new, now).for_node(NodeId(2)), MembershipEpoch(6));
}

/// Guards against an epoch that settles while a life replaced under an earlier leader holds a lease.
#[test]
fn a_new_leader_reports_nothing_as_settled_for_one_lease() {
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

/// Guards against an epoch that settles while the replaced life of a node may hold a lease, and against
/// one that waits for a life whose lease is known to have ended.
#[test]
fn a_replaced_life_delays_settling_and_a_removed_one_does_not() {
    let one = member(1, 10);
    let (old_life, new_life) = (member(2, 20), member(2, 21));
    let old = membership(5, &[one.clone(), old_life.clone()]);
    let new = membership(6, &[one.clone(), new_life.clone()]);
    let mut leases = LeaseTable::new(0);
    leases.record_renewal(&renew(&old_life, 4));
    leases.record_grant(NodeId(2), Incarnation(20), 4_000);
    leases.update_members(&old, &new, false, 5_000);
    leases.record_renewal(&renew(&one, 6));
    leases.record_renewal(&renew(&new_life, 6));
    // The replaced life had applied epoch 4 only.
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
