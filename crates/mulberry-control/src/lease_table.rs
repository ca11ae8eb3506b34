//! Leases of the entries, held in the leader's memory.
//!
//! Times are in milliseconds on the leader's monotonic clock. The table is not replicated: a new leader
//! starts with an empty table and waits for one full lease before it expires any member.

use std::collections::{HashMap, HashSet};

use mulberry_operators::EntryStatus;
use mulberry_types::{
    ConfigurationVersion, Incarnation, Member, Membership, MembershipEpoch, NodeId, Renew,
};

/// Duration of a lease, measured by the entry from the time it sends the renewal.
pub const LEASE_MS: u64 = 3_000;

/// Time since the last granted renewal after which the leader removes a member: the lease duration plus
/// 1 % clock drift on each side, rounded up.
pub const LEASE_EXPIRY_MS: u64 = 3_100;

const _: () =
    assert!(LEASE_EXPIRY_MS >= LEASE_MS + LEASE_MS / 50, "must allow 1 % clock drift on each side");

/// Leases granted since this leader's election.
#[derive(Debug)]
pub struct LeaseTable {
    elected_ms: u64,
    records: HashMap<NodeId, LeaseRecord>,

    /// Members whose removal has been proposed. Their renewals are no longer granted.
    expiring: HashSet<(NodeId, Incarnation)>,

    replaced: Vec<ReplacedIncarnation>,
}

#[derive(Debug)]
struct LeaseRecord {
    incarnation: Incarnation,

    /// Time of the last granted renewal; without one, of the join or of the leader's election.
    lease_start_ms: u64,

    /// Newest epoch that the entry has applied, or the epoch in which it joined.
    applied_epoch: MembershipEpoch,

    applied_version: ConfigurationVersion,
}

/// An incarnation of a node that was replaced by a later one while its lease may still be valid.
#[derive(Debug)]
struct ReplacedIncarnation {
    /// Newest epoch that the incarnation is known to have applied.
    applied_epoch: MembershipEpoch,

    lease_end_ms: u64,
}

/// Settled epochs at one point in time. See [`LeaseTable::settled_epochs`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledEpochs {
    lowest: Option<(NodeId, MembershipEpoch)>,
    second_lowest: MembershipEpoch,
    upper_bound: MembershipEpoch,
}

impl LeaseTable {
    /// Creates the table of a leader elected at `now_ms`.
    pub fn new(now_ms: u64) -> LeaseTable {
        LeaseTable {
            elected_ms: now_ms,
            records: HashMap::new(),
            expiring: HashSet::new(),
            replaced: Vec::new(),
        }
    }

    /// Records the epoch and version that a renewing entry has applied. The entry must be a member.
    pub fn record_renewal(&mut self, renew: &Renew) {
        let record = self.record_mut(renew.member.node, renew.member.incarnation);
        record.applied_epoch = record.applied_epoch.max(renew.have_epoch);
        record.applied_version = record.applied_version.max(renew.have_version);
    }

    /// Records that a renewal of a member is granted at `now_ms`.
    pub fn record_grant(&mut self, node: NodeId, incarnation: Incarnation, now_ms: u64) {
        let record = self.record_mut(node, incarnation);
        record.lease_start_ms = record.lease_start_ms.max(now_ms);
    }

    /// Lease status of all members.
    pub fn entries(&self, membership: &Membership, now_ms: u64) -> Vec<EntryStatus> {
        let status = |member: &Member| {
            let record = self.records.get(&member.node);
            let record = record.filter(|record| record.incarnation == member.incarnation);
            let lease_start_ms = record.map_or(self.elected_ms, |record| record.lease_start_ms);
            EntryStatus {
                node: member.node,
                incarnation: member.incarnation,
                peer_address: member.peer_address,
                zone: member.zone.clone(),
                lease_age_ms: now_ms.saturating_sub(lease_start_ms),
                applied_version: record
                    .map_or_else(Default::default, |record| record.applied_version),
                applied_epoch: record.map_or_else(Default::default, |record| record.applied_epoch),
            }
        };
        membership.members.iter().map(status).collect()
    }

    /// Whether the removal of this incarnation has been proposed, so that it must not get a lease.
    pub fn is_expiring(&self, node: NodeId, incarnation: Incarnation) -> bool {
        self.expiring.contains(&(node, incarnation))
    }

    /// Records a membership change from `old` to `new`. `lease_ended` states that removed members hold no
    /// lease, because they expired or left voluntarily.
    pub fn update_members(
        &mut self,
        old: &Membership,
        new: &Membership,
        lease_ended: bool,
        now_ms: u64,
    ) {
        for member in &old.members {
            let stays =
                new.member(member.node).is_some_and(|m| m.incarnation == member.incarnation);
            if stays {
                continue;
            }
            self.expiring.remove(&(member.node, member.incarnation));
            if !lease_ended {
                let record = self.records.get(&member.node);
                let record = record.filter(|record| record.incarnation == member.incarnation);
                let lease_start_ms = record.map_or(self.elected_ms, |r| r.lease_start_ms);
                self.replaced.push(ReplacedIncarnation {
                    applied_epoch: record.map_or(MembershipEpoch(0), |record| record.applied_epoch),
                    lease_end_ms: lease_start_ms + LEASE_EXPIRY_MS,
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
                    lease_start_ms: now_ms,
                    applied_epoch: new.epoch,
                    applied_version: ConfigurationVersion(0),
                };
                self.records.insert(member.node, record);
            }
        }
    }

    /// Returns the members whose lease has certainly ended, each of them once.
    pub fn take_expired(
        &mut self,
        membership: &Membership,
        now_ms: u64,
    ) -> Vec<(NodeId, Incarnation)> {
        let mut expired = Vec::new();
        for member in &membership.members {
            let key = (member.node, member.incarnation);
            let lease_start_ms = match self.records.get(&member.node) {
                Some(record) if record.incarnation == member.incarnation => record.lease_start_ms,
                _ => self.elected_ms,
            };
            if now_ms >= lease_start_ms + LEASE_EXPIRY_MS && self.expiring.insert(key) {
                expired.push(key);
            }
        }
        expired
    }

    /// Clears the expiring mark of a member whose removal could not be proposed.
    pub fn cancel_expiry(&mut self, node: NodeId, incarnation: Incarnation) {
        self.expiring.remove(&(node, incarnation));
    }

    /// Number of members that hold a lease at `now_ms`, as far as the leader knows.
    pub fn valid_leases(&self, now_ms: u64) -> usize {
        self.records.values().filter(|record| now_ms < record.lease_start_ms + LEASE_MS).count()
    }

    /// Epochs that are settled at `now_ms`.
    ///
    /// A new leader does not know which incarnations were replaced under an earlier leader and may still
    /// hold a lease, so it reports no epoch as settled until one full lease has passed.
    pub fn settled_epochs(&mut self, membership: &Membership, now_ms: u64) -> SettledEpochs {
        self.replaced.retain(|incarnation| now_ms < incarnation.lease_end_ms);
        let replaced = self.replaced.iter().map(|incarnation| incarnation.applied_epoch).min();
        let mut upper_bound = replaced.unwrap_or(membership.epoch).min(membership.epoch);
        if now_ms < self.elected_ms + LEASE_EXPIRY_MS {
            upper_bound = MembershipEpoch(0);
        }
        let mut lowest = None;
        let mut second_lowest = membership.epoch;
        for member in &membership.members {
            let applied_epoch = match self.records.get(&member.node) {
                Some(record) if record.incarnation == member.incarnation => record.applied_epoch,
                _ => MembershipEpoch(0),
            };
            match lowest {
                Some((_, epoch)) if epoch <= applied_epoch => {
                    second_lowest = second_lowest.min(applied_epoch);
                }
                Some((_, epoch)) => {
                    second_lowest = second_lowest.min(epoch);
                    lowest = Some((member.node, applied_epoch));
                }
                None => lowest = Some((member.node, applied_epoch)),
            }
        }
        SettledEpochs { lowest, second_lowest, upper_bound }
    }

    fn record_mut(&mut self, node: NodeId, incarnation: Incarnation) -> &mut LeaseRecord {
        let new = || LeaseRecord {
            incarnation,
            lease_start_ms: self.elected_ms,
            applied_epoch: MembershipEpoch(0),
            applied_version: ConfigurationVersion(0),
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
            Some((lowest, epoch)) if lowest != node => epoch.min(self.upper_bound),
            _ => self.second_lowest.min(self.upper_bound),
        }
    }

    /// Newest epoch that every member has applied.
    pub fn for_all(&self) -> MembershipEpoch {
        self.lowest.map_or(self.upper_bound, |(_, epoch)| epoch.min(self.upper_bound))
    }
}
