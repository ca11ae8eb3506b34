//! The live entries and the earlier lives of each node.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_types::{Incarnation, Member, Membership, NodeId};
use serde::{Deserialize, Serialize};

use crate::JoinReply;

/// Earlier lives remembered for each node, so that a late join of one of them is refused.
const LIVES_PER_NODE: usize = 8;

/// Members and the lives of their nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct MemberTable {
    pub(crate) membership: Arc<Membership>,
    pub(crate) lives: BTreeMap<NodeId, NodeLives>,
}

/// Lives of one node. Incarnations are random numbers; only the order of their joins tells which is the
/// latest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeLives {
    /// In the order of their first joins; the last one is the current life.
    pub(crate) incarnations: Vec<Incarnation>,

    /// The current life has left by plan.
    pub(crate) left: bool,

    /// Epoch of the last join or removal; the longest unchanged non-member is forgotten first.
    pub(crate) changed_epoch: u64,
}

impl MemberTable {
    pub(crate) fn is_member(&self, node: NodeId, incarnation: Incarnation) -> bool {
        self.position(node)
            .is_ok_and(|index| self.membership.members[index].incarnation == incarnation)
    }

    /// Adds `member`. Also returns the life that it replaced.
    pub(crate) fn join(
        &mut self,
        member: &Member,
        max_members: u64,
    ) -> (JoinReply, Option<Incarnation>) {
        if self.is_superseded(member) {
            return (JoinReply::Superseded, None);
        }
        let position = self.position(member.node);
        let mut replaced = None;
        match position {
            Ok(index) => {
                let current = &self.membership.members[index];
                if current == member {
                    return (JoinReply::Unchanged { epoch: self.membership.epoch }, None);
                }
                if current.incarnation != member.incarnation {
                    replaced = Some(current.incarnation);
                }
                Arc::make_mut(&mut self.membership).members[index] = member.clone();
            }
            Err(index) => {
                if self.membership.members.len() as u64 >= max_members {
                    return (JoinReply::Full, None);
                }
                Arc::make_mut(&mut self.membership).members.insert(index, member.clone());
            }
        }
        self.raise_epoch();
        self.record_life(member, max_members);
        (JoinReply::Joined { epoch: self.membership.epoch }, replaced)
    }

    /// Removes this life of the node; another life is left alone. Returns whether it was a member.
    pub(crate) fn remove(&mut self, node: NodeId, incarnation: Incarnation, by_plan: bool) -> bool {
        let is_latest = |lives: &NodeLives| lives.incarnations.last() == Some(&incarnation);
        if by_plan && let Some(lives) = self.lives.get_mut(&node).filter(|lives| is_latest(lives)) {
            lives.left = true;
        }
        if !self.is_member(node, incarnation) {
            return false;
        }
        if let Ok(index) = self.position(node) {
            Arc::make_mut(&mut self.membership).members.remove(index);
        }
        self.raise_epoch();
        if let Some(lives) = self.lives.get_mut(&node) {
            lives.changed_epoch = self.membership.epoch.0;
        }
        true
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.membership.members.binary_search_by_key(&node, |member| member.node)
    }

    fn raise_epoch(&mut self) {
        let membership = Arc::make_mut(&mut self.membership);
        membership.epoch.0 = membership.epoch.0.saturating_add(1);
    }

    fn is_superseded(&self, member: &Member) -> bool {
        self.lives.get(&member.node).is_some_and(|lives| {
            match lives.incarnations.iter().position(|life| *life == member.incarnation) {
                Some(index) => index + 1 < lives.incarnations.len() || lives.left,
                None => false,
            }
        })
    }

    fn record_life(&mut self, member: &Member, max_members: u64) {
        let epoch = self.membership.epoch.0;
        let lives = self.lives.entry(member.node).or_insert_with(|| NodeLives {
            incarnations: Vec::new(),
            left: false,
            changed_epoch: epoch,
        });
        lives.changed_epoch = epoch;
        if lives.incarnations.last() != Some(&member.incarnation) {
            lives.incarnations.push(member.incarnation);
            lives.left = false;
        }
        if lives.incarnations.len() > LIVES_PER_NODE {
            lives.incarnations.remove(0);
        }
        if self.lives.len() as u64 > max_members.saturating_mul(2) {
            self.forget_oldest_non_member();
        }
    }

    fn forget_oldest_non_member(&mut self) {
        let oldest = self
            .lives
            .iter()
            .filter(|(node, _)| self.position(**node).is_err())
            .min_by_key(|(node, lives)| (lives.changed_epoch, **node))
            .map(|(node, _)| *node);
        if let Some(node) = oldest {
            self.lives.remove(&node);
        }
    }
}
