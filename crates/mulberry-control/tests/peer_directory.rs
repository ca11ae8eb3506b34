//! Recording of hello messages and conditions for bootstrapping a group.

use std::net::{Ipv4Addr, SocketAddr};

use mulberry_consensus::MemberId;
use mulberry_control::{HelloOutcome, PeerDirectory};
use mulberry_types::ReplicaHello;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn directory() -> PeerDirectory {
    let peers = [address(1), address(2), address(3)];
    PeerDirectory::new(MemberId(11), address(1), address(101), &peers)
}

fn hello(member: u64, port: u16, has_group: bool, known: &[u64]) -> ReplicaHello {
    ReplicaHello {
        member,
        address: address(port),
        operator_address: address(port + 100),
        has_group,
        known_members: known.to_vec(),
    }
}

/// Guards against two groups with different initial members.
#[test]
fn bootstrap_requires_the_same_ids_from_all_instances() {
    let mut directory = directory();
    assert_eq!(directory.initial_members(), None);
    directory.record_hello(hello(12, 2, false, &[11, 12, 13]));
    assert_eq!(directory.initial_members(), None);
    // The third instance does not know the second one yet.
    directory.record_hello(hello(13, 3, false, &[11, 13]));
    assert_eq!(directory.initial_members(), None);
    directory.record_hello(hello(13, 3, false, &[11, 12, 13]));
    let members = directory.initial_members().unwrap();
    assert_eq!(members.voters, [MemberId(11), MemberId(12), MemberId(13)]);
}

/// Guards against an instance that has lost its disk and forms its own group, or joins the existing one
/// without being added.
#[test]
fn an_instance_with_a_lost_disk_does_not_bootstrap() {
    let mut directory = directory();
    // The others have formed a group with this instance's former id, 10.
    directory.record_hello(hello(12, 2, true, &[10, 12, 13]));
    directory.record_hello(hello(13, 3, true, &[10, 12, 13]));
    assert_eq!(directory.initial_members(), None);
    // Also if another instance has lost its disk.
    directory.record_hello(hello(14, 3, false, &[11, 12, 14]));
    assert_eq!(directory.initial_members(), None);
}

/// Guards against a bootstrap that never completes after one instance has formed the group and the others
/// have not.
#[test]
fn bootstrap_adopts_the_members_of_a_group_formed_by_another_instance() {
    let mut directory = directory();
    directory.record_hello(hello(12, 2, true, &[11, 12, 13]));
    let members = directory.initial_members().unwrap();
    assert_eq!(members.voters, [MemberId(11), MemberId(12), MemberId(13)]);
}

/// Guards against messages to the former id of an instance, and against accepting an unknown address.
#[test]
fn a_new_id_replaces_the_former_one_at_the_same_address() {
    let mut directory = directory();
    assert_eq!(directory.record_hello(hello(12, 2, true, &[])), HelloOutcome::Updated);
    assert_eq!(directory.record_hello(hello(12, 2, true, &[])), HelloOutcome::Unchanged);
    assert_eq!(directory.address_of(MemberId(12)), Some(address(2)));
    assert_eq!(directory.operator_address_of(MemberId(12)), Some(address(102)));
    assert_eq!(directory.record_hello(hello(99, 2, false, &[])), HelloOutcome::Updated);
    assert_eq!(directory.address_of(MemberId(12)), None);
    assert_eq!(directory.address_of(MemberId(99)), Some(address(2)));
    assert_eq!(directory.record_hello(hello(55, 9, false, &[])), HelloOutcome::UnknownAddress);
    // A copy of this instance's data folder.
    assert_eq!(directory.record_hello(hello(11, 2, false, &[])), HelloOutcome::DuplicateIdentity);
}
