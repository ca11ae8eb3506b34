//! Ids of replicas and the members of a group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of a replica, chosen at random when its data folder is created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

/// Members of a Raft group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards majorities.
    pub voters: Vec<MemberId>,

    /// Replicas that receive the log but do not count towards majorities.
    pub learners: Vec<MemberId>,
}

/// History of the members, back to the last compaction. Truncating the log can make earlier members current again.
#[derive(Debug, Default)]
pub(crate) struct MemberHistory {
    /// Index of each membership entry or snapshot and the members from that index on, in ascending order of index.
    changes: Vec<(u64, Members)>,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Members {
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.contains(&id)
    }

    pub fn is_learner(&self, id: MemberId) -> bool {
        self.learners.contains(&id)
    }

    pub fn contains(&self, id: MemberId) -> bool {
        self.is_voter(id) || self.is_learner(id)
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Smallest number of voters that forms a majority.
    pub(crate) fn quorum_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Highest value that a majority of the voters has reached, or 0 if there are no voters.
    pub(crate) fn majority_value(&self, value_of: impl Fn(MemberId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|&id| value_of(id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum_size() - 1).copied().unwrap_or(0)
    }
}

impl MemberHistory {
    pub(crate) fn reset(&mut self, index: u64, members: Members) {
        self.changes.clear();
        self.changes.push((index, members));
    }

    pub(crate) fn push(&mut self, index: u64, members: Members) {
        self.changes.push((index, members));
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.changes.retain(|&(at, _)| at < index);
    }

    /// Drops changes that a later change at or before `index` superseded.
    pub(crate) fn compact_through(&mut self, index: u64) {
        let keep = self.changes.partition_point(|&(at, _)| at <= index).saturating_sub(1);
        self.changes.drain(..keep);
    }

    pub(crate) fn current(&self) -> Option<&(u64, Members)> {
        self.changes.last()
    }

    /// Members at `index` and after every later change.
    pub(crate) fn since(&self, index: u64) -> impl Iterator<Item = &Members> {
        let first = self.changes.partition_point(|&(at, _)| at <= index).saturating_sub(1);
        self.changes[first..].iter().map(|(_, members)| members)
    }

    pub(crate) fn at(&self, index: u64) -> Option<&Members> {
        self.changes.iter().rev().find(|&&(at, _)| at <= index).map(|(_, members)| members)
    }
}
