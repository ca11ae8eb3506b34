//! Identity of replicas and the set of them that forms a group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identity of one replica's data folder, drawn at random when the folder is created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

/// Replicas of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas whose votes and acknowledgements count.
    pub voters: Vec<MemberId>,

    /// Replicas that receive the log but do not count.
    pub learners: Vec<MemberId>,
}

/// Members of each log position that can still become current again by truncation.
#[derive(Debug, Default)]
pub(crate) struct MemberHistory {
    /// Index of the entry or snapshot and the members from there on, ascending by index.
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

    /// Smallest number of voters that is more than half of them.
    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached. 0 without voters.
    pub(crate) fn majority_value(&self, value_of: impl Fn(MemberId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|&id| value_of(id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied().unwrap_or(0)
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

    /// Drops changes that were replaced by another at or before `index`.
    pub(crate) fn drop_before(&mut self, index: u64) {
        let keep = self.changes.partition_point(|&(at, _)| at <= index).saturating_sub(1);
        self.changes.drain(..keep);
    }

    pub(crate) fn current(&self) -> Option<&(u64, Members)> {
        self.changes.last()
    }

    /// Members in force at `index` and all later ones.
    pub(crate) fn since(&self, index: u64) -> impl Iterator<Item = &Members> {
        let first = self.changes.partition_point(|&(at, _)| at <= index).saturating_sub(1);
        self.changes[first..].iter().map(|(_, members)| members)
    }

    pub(crate) fn at(&self, index: u64) -> Option<&Members> {
        self.changes.iter().rev().find(|&&(at, _)| at <= index).map(|(_, members)| members)
    }
}
