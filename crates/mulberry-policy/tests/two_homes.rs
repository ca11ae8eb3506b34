//! Simulation that guards against two entries acting as home of one target at the same time, with
//! clock drift, process freezes, lost and delayed messages, joins, restarts, expiries and changes of
//! the control leader. The leader is a small model of section 3.2 of the design page.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_policy::{EntryLease, GrantEffect, HomeOwnership};
use mulberry_types::{
    ConfigurationVersion, ControlReply, Grant, Incarnation, Member, Membership, MembershipEpoch,
    NodeId, Renew,
};
use proptest::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const NODES: u32 = 4;
const TICK_MS: u64 = 10;
const LEASE_MS: u64 = 3_000;
const REMOVE_MS: u64 = 3_100;
const FAULTS_END_MS: u64 = 40_000;
const END_MS: u64 = 55_000;

#[derive(Debug, Clone)]
enum Message {
    Renew(Renew),
    Reply { to: Member, reply: ControlReply },
}

#[derive(Debug)]
struct Entry {
    member: Member,
    lease: EntryLease,
    ownership: HomeOwnership,
    clock_rate: f64,
    sequence: u64,
    joined: bool,
    next_renewal_ms: u64,
    frozen_until_ms: u64,
    inbox: Vec<ControlReply>,
}

#[derive(Debug)]
struct MemberState {
    joined_epoch: MembershipEpoch,
    have_epoch: MembershipEpoch,
    answered_ms: u64,
}

#[derive(Debug)]
struct Leader {
    clock_rate: f64,
    membership: Membership,
    known: BTreeMap<NodeId, MemberState>,
    newest_incarnation: BTreeMap<NodeId, Incarnation>,
    absent_until_ms: u64,
}

struct Simulation {
    random: ChaCha8Rng,
    now_ms: u64,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    leader: Leader,
    entries: Vec<Entry>,
}

fn local_ms(true_ms: u64, rate: f64) -> u64 {
    (true_ms as f64 * rate) as u64
}

fn member(node: u32, incarnation: u64) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    let (node, incarnation) = (NodeId(node), Incarnation(incarnation));
    Member { node, incarnation, peer_address: address, zone: "a".into() }
}

impl Entry {
    fn start(member: Member, clock_rate: f64, now_ms: u64) -> Entry {
        Entry {
            ownership: HomeOwnership::new(member.node, member.incarnation),
            lease: EntryLease::new(),
            member,
            clock_rate,
            sequence: 0,
            joined: false,
            next_renewal_ms: now_ms,
            frozen_until_ms: 0,
            inbox: Vec::new(),
        }
    }

    fn handle_lease_loss(&mut self) {
        self.lease.relinquish();
        self.ownership.lease_lost();
        self.joined = false;
    }

    fn receive(&mut self, reply: ControlReply, now_ms: u64) {
        match reply {
            ControlReply::Granted(grant) => {
                if let Some(membership) = &grant.membership {
                    self.ownership.membership_applied(&Arc::new(membership.clone()));
                }
                let effect = self.lease.grant_received(&grant, ConfigurationVersion(0), now_ms);
                if effect == GrantEffect::ValidAfterGap {
                    self.ownership.lease_lost();
                }
                if effect != GrantEffect::Ignored {
                    self.joined = true;
                    self.ownership.epoch_settled(grant.settled_epoch);
                }
            }
            ControlReply::Update { membership: Some(membership), .. } => {
                self.ownership.membership_applied(&Arc::new(membership));
            }
            _ => self.handle_lease_loss(),
        }
    }
}

impl Leader {
    fn change(&mut self, edit: impl FnOnce(&mut Vec<Member>)) {
        self.membership.epoch.0 += 1;
        edit(&mut self.membership.members);
        self.membership.members.sort_by_key(|member| member.node);
    }

    /// Newest epoch with which every other member that joined before it has renewed.
    fn settled_for(&self, node: NodeId) -> MembershipEpoch {
        let mut epoch = self.membership.epoch;
        loop {
            let settled = self.known.iter().all(|(other, known)| {
                *other == node || known.joined_epoch >= epoch || known.have_epoch >= epoch
            });
            if settled || epoch.0 == 0 {
                return epoch;
            }
            epoch.0 -= 1;
        }
    }

    fn renew(&mut self, renew: &Renew, now_ms: u64) -> ControlReply {
        let Renew { member, sequence, have_epoch, .. } = renew.clone();
        let newest = self.newest_incarnation.entry(member.node).or_insert(member.incarnation);
        *newest = (*newest).max(member.incarnation);
        let is_member = self.membership.member(member.node).map(|known| known.incarnation)
            == Some(member.incarnation);
        if *newest != member.incarnation || (!is_member && have_epoch.0 != 0) {
            return ControlReply::Expelled;
        }
        if !is_member {
            let joining = member.clone();
            self.change(|members| {
                members.retain(|known| known.node != joining.node);
                members.push(joining);
            });
            let joined_epoch = self.membership.epoch;
            let known =
                MemberState { joined_epoch, have_epoch: MembershipEpoch(0), answered_ms: now_ms };
            self.known.insert(member.node, known);
        }
        let epoch = self.membership.epoch;
        let settled_epoch = self.settled_for(member.node);
        if let Some(known) = self.known.get_mut(&member.node) {
            known.have_epoch = known.have_epoch.max(have_epoch);
            known.answered_ms = now_ms;
        }
        let membership = (have_epoch < epoch).then(|| self.membership.clone());
        let (lease_ms, version) = (LEASE_MS, ConfigurationVersion(0));
        let update = None;
        let grant = Grant { sequence, lease_ms, version, epoch, settled_epoch, update, membership };
        ControlReply::Granted(grant)
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut rate = || random.random_range(0.9905..1.0095);
        let leader = Leader {
            clock_rate: rate(),
            membership: Membership::default(),
            known: BTreeMap::new(),
            newest_incarnation: BTreeMap::new(),
            absent_until_ms: 0,
        };
        let entries =
            (0..NODES).map(|node| Entry::start(member(node, 1), rate(), u64::from(node))).collect();
        Simulation { random, now_ms: 1_000, messages: BTreeMap::new(), sent: 0, leader, entries }
    }

    fn send(&mut self, message: Message) {
        let faulty = self.now_ms < FAULTS_END_MS;
        if faulty && self.random.random_bool(0.1) {
            return;
        }
        let delay_ms = match self.random.random_range(0..20) {
            0 if faulty => self.random.random_range(0..5_000),
            1 if faulty => self.random.random_range(0..1_000),
            _ => self.random.random_range(0..30),
        };
        self.sent += 1;
        self.messages.insert((self.now_ms + delay_ms, self.sent), message);
    }

    fn inject_faults(&mut self) {
        if self.now_ms >= FAULTS_END_MS {
            return;
        }
        for index in 0..self.entries.len() {
            if self.random.random_bool(0.002) {
                let freeze_ms = self.random.random_range(50..6_000);
                self.entries[index].frozen_until_ms = self.now_ms + freeze_ms;
            }
            if self.random.random_bool(0.0006) {
                let entry = &self.entries[index];
                let next = member(entry.member.node.0, entry.member.incarnation.0 + 1);
                let later_ms = self.now_ms + self.random.random_range(0..5_000);
                let mut restarted = Entry::start(next, entry.clock_rate, later_ms);
                restarted.frozen_until_ms = later_ms;
                self.entries[index] = restarted;
            }
        }
        if self.random.random_bool(0.0005) {
            // A new leader knows the members, but not their renewals or applied epochs.
            let absent_ms = self.random.random_range(0..4_000);
            self.leader.absent_until_ms = self.now_ms + absent_ms;
            self.leader.clock_rate = self.random.random_range(0.9905..1.0095);
            let elected_ms = local_ms(self.leader.absent_until_ms, self.leader.clock_rate);
            for known in self.leader.known.values_mut() {
                known.have_epoch = MembershipEpoch(0);
                known.answered_ms = elected_ms;
            }
        }
    }

    fn run_leader(&mut self) {
        if self.now_ms < self.leader.absent_until_ms {
            return;
        }
        let now_ms = local_ms(self.now_ms, self.leader.clock_rate);
        let before = self.leader.membership.epoch;
        let overdue = self
            .leader
            .known
            .iter()
            .find(|(_, known)| now_ms >= known.answered_ms + REMOVE_MS)
            .map(|(node, _)| *node);
        if let Some(node) = overdue {
            self.leader.known.remove(&node);
            self.leader.change(|members| members.retain(|member| member.node != node));
        }
        if self.leader.membership.epoch != before {
            self.push_update();
        }
    }

    fn push_update(&mut self) {
        for to in self.leader.membership.members.clone() {
            let membership = Some(self.leader.membership.clone());
            let reply = ControlReply::Update { update: None, membership };
            self.send(Message::Reply { to, reply });
        }
    }

    fn deliver(&mut self) {
        while let Some(due) = self.messages.first_entry().filter(|due| due.key().0 <= self.now_ms) {
            match due.remove() {
                Message::Renew(renew) if self.now_ms >= self.leader.absent_until_ms => {
                    let now_ms = local_ms(self.now_ms, self.leader.clock_rate);
                    let before = self.leader.membership.epoch;
                    let reply = self.leader.renew(&renew, now_ms);
                    self.send(Message::Reply { to: renew.member, reply });
                    if self.leader.membership.epoch != before {
                        self.push_update();
                    }
                }
                Message::Renew(_) => {}
                Message::Reply { to, reply } => {
                    // Replies to an earlier incarnation do not reach a restarted process.
                    let entry = self.entries.iter_mut().find(|entry| entry.member == to);
                    entry.into_iter().for_each(|entry| entry.inbox.push(reply.clone()));
                }
            }
        }
    }

    fn run_entries(&mut self) {
        let mut renewals = Vec::new();
        for entry in &mut self.entries {
            if self.now_ms < entry.frozen_until_ms {
                continue;
            }
            let now_ms = local_ms(self.now_ms, entry.clock_rate);
            if entry.joined && !entry.lease.is_valid(now_ms) {
                entry.handle_lease_loss();
            }
            for reply in std::mem::take(&mut entry.inbox) {
                entry.receive(reply, now_ms);
            }
            if self.now_ms >= entry.next_renewal_ms {
                entry.next_renewal_ms = self.now_ms + 500;
                entry.sequence += 1;
                entry.lease.renewal_sent(entry.sequence, now_ms);
                let have_epoch =
                    if entry.joined { entry.ownership.epoch() } else { MembershipEpoch(0) };
                let (member, sequence) = (entry.member.clone(), entry.sequence);
                let have_version = ConfigurationVersion(0);
                renewals.push(Renew { member, sequence, have_version, have_epoch });
            }
        }
        for renewal in renewals {
            self.send(Message::Renew(renewal));
        }
    }

    fn acting_for(&self, target: &str) -> Vec<NodeId> {
        self.entries
            .iter()
            .filter(|entry| {
                let now_ms = local_ms(self.now_ms, entry.clock_rate);
                entry.ownership.acts_for(target, entry.lease.is_valid(now_ms))
            })
            .map(|entry| entry.member.node)
            .collect()
    }
}

fn run(seed: u64) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(seed);
    let targets = common::names("engine", 12);
    let mut acted = 0;
    while simulation.now_ms < END_MS {
        simulation.now_ms += TICK_MS;
        simulation.inject_faults();
        simulation.run_leader();
        simulation.deliver();
        simulation.run_entries();
        for target in &targets {
            let acting = simulation.acting_for(target);
            acted += acting.len();
            prop_assert!(acting.len() <= 1, "{target} at {} ms: {acting:?}", simulation.now_ms);
        }
    }
    prop_assert!(acted > 0);
    // Every target has a home again 15 s after the last fault.
    for target in &targets {
        prop_assert_eq!(simulation.acting_for(target).len(), 1, "{} has no home", target);
    }
    Ok(())
}

proptest! {
    #![proptest_config(common::config(48))]

    /// Fails if an entry acts for a new target before the epoch is settled, if the lease starts at
    /// the arrival of the grant, or if targets are kept across a gap in the lease.
    #[test]
    fn two_homes_never_act_for_one_target(seed in any::<u64>()) {
        run(seed)?;
    }
}
