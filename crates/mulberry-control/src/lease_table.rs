//! Leases of the entries, in the leader's memory.
//!
//! Times are milliseconds of the leader's monotonic clock. Nothing here is replicated: a new leader
//! starts with an empty table and waits one full lease before it expires any member.

use std::collections::{HashMap, HashSet};

use mulberry_operators::EntryStatus;
use mulberry_types::{
    ConfigurationVersion, Incarnation, Member, Membership, MembershipEpoch, NodeId, Renew,
};

/// Length of a lease, counted by the entry from the sending of the renewal.
pub const LEASE_MS: u64 = 3_000;

/// Time after the last answered renewal after which the leader removes a member: the lease plus 1 % of
/// clock drift on each side, rounded up.
pub const EXPIRY_MS: u64 = 3_100;

const _: () = assert!(EXPIRY_MS >= LEASE_MS + LEASE_MS / 50, "drift of 1 % on each side");

/// Leases since this leader's election.
#[derive(Debug)]
pub struct LeaseTable {
    elected_ms: u64,
    records: HashMap<NodeId, LeaseRecord>,

    /// Members whose removal is proposed; their renewals are not answered any more.
    expiring: HashSet<(NodeId, Incarnation)>,

    replaced: Vec<ReplacedLife>,
}

#[derive(Debug)]
struct LeaseRecord {
    incarnation: Incarnation,

    /// Time of the last answered renewal, or else of the join or the leader's election.
    counted_from_ms: u64,

    /// Newest epoch that the entry has applied, or in which it joined.
    have_epoch: MembershipEpoch,

    have_version: ConfigurationVersion,
}

/// A life of a node that was replaced by a later one while its lease may still be valid.
#[derive(Debug)]
struct ReplacedLife {
    /// Newest epoch that it is known to have applied.
    have_epoch: MembershipEpoch,

    until_ms: u64,
}

/// Settled epochs of one moment. See [`LeaseTable::settled`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledEpochs {
    lowest: Option<(NodeId, MembershipEpoch)>,
    second_lowest: MembershipEpoch,
    limit: MembershipEpoch,
}

impl LeaseTable {
    /// Table of a leader elected at `now_ms`.
    pub fn new(now_ms: u64) -> LeaseTable {
        LeaseTable {
            elected_ms: now_ms,
            records: HashMap::new(),
            expiring: HashSet::new(),
            replaced: Vec::new(),
        }
    }

    /// Records what the entry of a renewal has applied. The entry must be a member.
    pub fn renewed(&mut self, renew: &Renew) {
        let record = self.record(renew.member.node, renew.member.incarnation);
        record.have_epoch = record.have_epoch.max(renew.have_epoch);
        record.have_version = record.have_version.max(renew.have_version);
    }

    /// Records that a renewal of a member is answered now.
    pub fn answered(&mut self, node: NodeId, incarnation: Incarnation, now_ms: u64) {
        let record = self.record(node, incarnation);
        record.counted_from_ms = record.counted_from_ms.max(now_ms);
    }

    /// Members as the leader sees them.
    pub fn entries(&self, membership: &Membership, now_ms: u64) -> Vec<EntryStatus> {
        let status = |member: &Member| {
            let record = self.records.get(&member.node);
            let record = record.filter(|record| record.incarnation == member.incarnation);
            let counted_from_ms = record.map_or(self.elected_ms, |record| record.counted_from_ms);
            EntryStatus {
                node: member.node,
                incarnation: member.incarnation,
                peer_address: member.peer_address,
                zone: member.zone.clone(),
                lease_age_ms: now_ms.saturating_sub(counted_from_ms),
                applied_version: record.map_or_else(Default::default, |record| record.have_version),
                applied_epoch: record.map_or_else(Default::default, |record| record.have_epoch),
            }
        };
        membership.members.iter().map(status).collect()
    }

    /// Whether the removal of this life is proposed already, so that it must not get a lease.
    pub fn is_expiring(&self, node: NodeId, incarnation: Incarnation) -> bool {
        self.expiring.contains(&(node, incarnation))
    }

    /// Records the change of the members from `old` to `new`. `by_lease` tells that whoever has gone has
    /// no lease: it was expired, or it left by plan.
    pub fn members_changed(
        &mut self,
        old: &Membership,
        new: &Membership,
        by_lease: bool,
        now_ms: u64,
    ) {
        for member in &old.members {
            let stays =
                new.member(member.node).is_some_and(|m| m.incarnation == member.incarnation);
            if stays {
                continue;
            }
            self.expiring.remove(&(member.node, member.incarnation));
            if !by_lease {
                let record = self.records.get(&member.node);
                let record = record.filter(|record| record.incarnation == member.incarnation);
                let counted_from_ms = record.map_or(self.elected_ms, |r| r.counted_from_ms);
                self.replaced.push(ReplacedLife {
                    have_epoch: record.map_or(MembershipEpoch(0), |record| record.have_epoch),
                    until_ms: counted_from_ms + EXPIRY_MS,
                });
            }
            self.records.remove(&member.node);
        }
        for member in &new.members {
            let stayed =
                old.member(member.node).is_some_and(|m| m.incarnation == member.incarnation);
            if !stayed {
                let record = LeaseRecord {
                    incarnation: member.incarnation,
                    counted_from_ms: now_ms,
                    have_epoch: new.epoch,
                    have_version: ConfigurationVersion(0),
                };
                self.records.insert(member.node, record);
            }
        }
    }

    /// Members whose lease has certainly ended. Each is returned once.
    pub fn take_expired(
        &mut self,
        membership: &Membership,
        now_ms: u64,
    ) -> Vec<(NodeId, Incarnation)> {
        let mut expired = Vec::new();
        for member in &membership.members {
            let key = (member.node, member.incarnation);
            let counted_from_ms = match self.records.get(&member.node) {
                Some(record) if record.incarnation == member.incarnation => record.counted_from_ms,
                _ => self.elected_ms,
            };
            if now_ms >= counted_from_ms + EXPIRY_MS && self.expiring.insert(key) {
                expired.push(key);
            }
        }
        expired
    }

    /// Forgets that a removal is proposed, because the proposal was refused.
    pub fn cancel_expiry(&mut self, node: NodeId, incarnation: Incarnation) {
        self.expiring.remove(&(node, incarnation));
    }

    /// Members that hold a lease at present, as far as the leader can tell.
    pub fn valid_leases(&self, now_ms: u64) -> usize {
        self.records.values().filter(|record| now_ms < record.counted_from_ms + LEASE_MS).count()
    }

    /// Which epochs are settled now.
    ///
    /// A new leader does not know which lives were replaced under an earlier leader and may hold a
    /// lease, so it reports no epoch before one full lease has passed.
    pub fn settled(&mut self, membership: &Membership, now_ms: u64) -> SettledEpochs {
        self.replaced.retain(|life| now_ms < life.until_ms);
        let replaced = self.replaced.iter().map(|life| life.have_epoch).min();
        let mut limit = replaced.unwrap_or(membership.epoch).min(membership.epoch);
        if now_ms < self.elected_ms + EXPIRY_MS {
            limit = MembershipEpoch(0);
        }
        let mut lowest = None;
        let mut second_lowest = membership.epoch;
        for member in &membership.members {
            let have_epoch = match self.records.get(&member.node) {
                Some(record) if record.incarnation == member.incarnation => record.have_epoch,
                _ => MembershipEpoch(0),
            };
            match lowest {
                Some((_, epoch)) if epoch <= have_epoch => {
                    second_lowest = second_lowest.min(have_epoch);
                }
                Some((_, epoch)) => {
                    second_lowest = second_lowest.min(epoch);
                    lowest = Some((member.node, have_epoch));
                }
                None => lowest = Some((member.node, have_epoch)),
            }
        }
        SettledEpochs { lowest, second_lowest, limit }
    }

    fn record(&mut self, node: NodeId, incarnation: Incarnation) -> &mut LeaseRecord {
        let new = || LeaseRecord {
            incarnation,
            counted_from_ms: self.elected_ms,
            have_epoch: MembershipEpoch(0),
            have_version: ConfigurationVersion(0),
        };
        let record = self.records.entry(node).or_insert_with(new);
        if record.incarnation != incarnation {
            *record = new();
        }
        record
    }
}

impl SettledEpochs {
    /// Newest epoch that every member other than `node` has applied.
    pub fn for_node(&self, node: NodeId) -> MembershipEpoch {
        match self.lowest {
            Some((lowest, epoch)) if lowest != node => epoch.min(self.limit),
            _ => self.second_lowest.min(self.limit),
        }
    }

    /// Newest epoch that every member has applied.
    pub fn for_all(&self) -> MembershipEpoch {
        self.lowest.map_or(self.limit, |(_, epoch)| epoch.min(self.limit))
    }
}
