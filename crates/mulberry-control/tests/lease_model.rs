//! Property test of the lease table against a model that knows every lease, with random joins, renewals,
//! departures and elections.

use std::net::{Ipv4Addr, SocketAddr};

use mulberry_control::{LEASE_MS, LeaseTable};
use mulberry_types::{
    ConfigurationVersion, Incarnation, Member, Membership, MembershipEpoch, NodeId, Renew,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Advance {
        ms: u64,
    },

    /// A new incarnation of the node joins, whether or not the former one has ended.
    Join {
        node: u32,
    },

    /// The current incarnation of the node renews, if it is a member.
    Renew {
        node: u32,
    },

    /// The current incarnation of the node leaves voluntarily.
    Leave {
        node: u32,
    },

    /// Another leader is elected.
    Elect,
}

/// One incarnation of a node.
#[derive(Debug)]
struct NodeIncarnation {
    member: Member,
    have_epoch: MembershipEpoch,

    /// End of the lease by its last grant. The incarnation acts until then.
    lease_until_ms: u64,
}

#[derive(Debug)]
struct Model {
    now_ms: u64,
    membership: Membership,
    incarnations: Vec<NodeIncarnation>,
    leases: LeaseTable,
}

impl Model {
    fn new() -> Model {
        Model {
            now_ms: 0,
            membership: Membership::default(),
            incarnations: Vec::new(),
            leases: LeaseTable::new(0),
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Advance { ms } => self.advance(ms),
            Step::Join { node } => self.join(node),
            Step::Renew { node } => self.renew(node),
            Step::Leave { node } => self.leave(node),
            Step::Elect => self.leases = LeaseTable::new(self.now_ms),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for (node, incarnation) in self.leases.take_expired(&self.membership, self.now_ms) {
            let record =
                self.incarnations.iter().find(|record| record.member.incarnation == incarnation);
            let lease_until_ms = record.map_or(0, |record| record.lease_until_ms);
            assert!(lease_until_ms <= self.now_ms, "a member with a valid lease is removed");
            self.change_members(|members| members.retain(|member| member.node != node), true);
        }
    }

    fn join(&mut self, node: u32) {
        let member = Member {
            node: NodeId(node),
            incarnation: Incarnation(self.incarnations.len() as u64),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            zone: "a".into(),
        };
        let have_epoch = MembershipEpoch(0);
        self.incarnations.push(NodeIncarnation {
            member: member.clone(),
            have_epoch,
            lease_until_ms: 0,
        });
        self.change_members(
            |members| {
                members.retain(|other| other.node != member.node);
                members.push(member);
            },
            false,
        );
    }

    fn renew(&mut self, node: u32) {
        let Some(member) = self.membership.member(NodeId(node)).cloned() else { return };
        if self.leases.is_expiring(member.node, member.incarnation) {
            return;
        }
        let index = usize::try_from(member.incarnation.0).unwrap_or_default();
        self.leases.record_renewal(&Renew {
            member: member.clone(),
            sequence: 1,
            have_version: ConfigurationVersion(0),
            have_epoch: self.incarnations[index].have_epoch,
        });
        let settled =
            self.leases.settled_epochs(&self.membership, self.now_ms).for_node(member.node);
        for other in self.incarnations.iter().filter(|record| record.member != member) {
            let holds_lease_with_older_epoch =
                other.lease_until_ms > self.now_ms && other.have_epoch < settled;
            assert!(
                !holds_lease_with_older_epoch,
                "{settled:?} is settled for {node} but not by {other:?}"
            );
        }
        self.leases.record_grant(member.node, member.incarnation, self.now_ms);
        let record = &mut self.incarnations[index];
        record.lease_until_ms = self.now_ms + LEASE_MS;
        record.have_epoch = self.membership.epoch;
    }

    fn leave(&mut self, node: u32) {
        let Some(member) = self.membership.member(NodeId(node)).cloned() else { return };
        for record in self.incarnations.iter_mut().filter(|record| record.member == member) {
            record.lease_until_ms = 0;
        }
        self.change_members(|members| members.retain(|other| *other != member), true);
    }

    fn change_members(&mut self, change: impl FnOnce(&mut Vec<Member>), lease_ended: bool) {
        let before = self.membership.clone();
        change(&mut self.membership.members);
        self.membership.members.sort_by_key(|member| member.node);
        self.membership.epoch.0 += 1;
        self.leases.update_members(&before, &self.membership, lease_ended, self.now_ms);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_000_u64).prop_map(|ms| Step::Advance { ms }),
        2 => (0..NODES).prop_map(|node| Step::Join { node }),
        8 => (0..NODES).prop_map(|node| Step::Renew { node }),
        1 => (0..NODES).prop_map(|node| Step::Leave { node }),
        1 => Just(Step::Elect),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        // Fixed seed, so that each run executes the same cases.
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against the removal of a member with a valid lease, and against an epoch that is reported
    /// as settled while another incarnation may still act on an earlier one.
    #[test]
    fn no_two_incarnations_act_for_one_target(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
        }
    }
}
