//! Determines which targets this entry may act for as home.
//!
//! A membership epoch is *settled* once every other member has applied it. An entry takes over a
//! target only in a settled epoch; before that, the previous home may not know of the change and
//! still act for the target. An entry keeps a target that it has owned without interruption through
//! unsettled epochs: another entry could take it over only after this entry had renewed its lease
//! with the epoch that moves the target.
//!
//! Ownership is computed instead of stored: the entry acts for a target if every membership from the
//! newest settled one on names it as home. An epoch that the entry did not receive does not interrupt
//! ownership, even if it named another entry as home. That entry has a higher rendezvous hash than
//! this one and yet is not the home in the newest membership, so it is no longer a member: it has left
//! or its lease has expired. This holds only while this entry's own lease has no gap, so
//! [`HomeOwnership::lease_lost`] must be called at each gap.

use std::collections::VecDeque;
use std::sync::Arc;

use mulberry_types::{Incarnation, Member, Membership, MembershipEpoch, NodeId};

/// Maximum number of consecutive unsettled epochs to store. Epochs settle within about a second, so
/// more than this means that a member does not renew its lease. The entry then gives up its targets
/// to bound its memory use.
const MAX_UNSETTLED_EPOCHS: usize = 64;

/// Which targets this entry may act for as home.
#[derive(Debug)]
pub struct HomeOwnership {
    node: NodeId,
    incarnation: Incarnation,
    newest: Arc<Membership>,

    /// The newest settled membership and all applied after it; empty while none is settled.
    since_settled: VecDeque<Arc<Membership>>,

    /// Unsettled memberships applied since then, or since the lease became valid.
    unsettled: VecDeque<Arc<Membership>>,
}

impl HomeOwnership {
    /// Owns no targets until a membership with this node and incarnation is settled.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation) -> HomeOwnership {
        HomeOwnership {
            node,
            incarnation,
            newest: Arc::new(Membership::default()),
            since_settled: VecDeque::new(),
            unsettled: VecDeque::new(),
        }
    }

    /// Applies a membership. One that is not newer than the current one is ignored.
    ///
    /// After this returns, the entry no longer acts for targets that moved away, and may send the
    /// epoch in its renewals.
    pub fn membership_applied(&mut self, membership: &Arc<Membership>) {
        if membership.epoch <= self.newest.epoch {
            return;
        }
        if self.unsettled.len() >= MAX_UNSETTLED_EPOCHS {
            self.since_settled.clear();
            self.unsettled.clear();
        }
        self.newest = Arc::clone(membership);
        self.unsettled.push_back(Arc::clone(membership));
        if !self.since_settled.is_empty() {
            self.since_settled.push_back(Arc::clone(membership));
        }
    }

    /// Records that every other member has applied `epoch`. Call this after
    /// [`HomeOwnership::membership_applied`] with the membership of the same grant.
    ///
    /// An epoch above the newest applied one is ignored: this entry is behind and may have lost
    /// targets.
    pub fn epoch_settled(&mut self, epoch: MembershipEpoch) {
        let Some(position) = self.unsettled.iter().position(|membership| membership.epoch == epoch)
        else {
            return;
        };
        self.unsettled.drain(..position);
        self.since_settled = self.unsettled.clone();
        self.unsettled.pop_front();
    }

    /// Gives up all targets because the lease has expired or was lost.
    pub fn lease_lost(&mut self) {
        self.since_settled.clear();
        self.unsettled.clear();
        // A later grant can settle the newest membership again if this entry was not removed.
        self.unsettled.push_back(Arc::clone(&self.newest));
    }

    /// Whether the entry may act for `target` now.
    #[must_use]
    pub fn acts_for(&self, target: &str, lease_valid: bool) -> bool {
        lease_valid
            && !self.since_settled.is_empty()
            && self.since_settled.iter().all(|membership| self.names_this_entry(membership, target))
    }

    /// Whether the newest membership, settled or not, names this entry as home.
    #[must_use]
    pub fn is_latest_home(&self, target: &str) -> bool {
        self.names_this_entry(&self.newest, target)
    }

    /// Home of a target in the newest membership.
    #[must_use]
    pub fn home_of(&self, target: &str) -> Option<&Member> {
        self.newest.home_of(target)
    }

    /// Newest applied membership.
    #[must_use]
    pub fn membership(&self) -> &Arc<Membership> {
        &self.newest
    }

    /// Newest applied epoch, for renewals.
    #[must_use]
    pub fn epoch(&self) -> MembershipEpoch {
        self.newest.epoch
    }

    fn names_this_entry(&self, membership: &Membership, target: &str) -> bool {
        membership.home_of(target).is_some_and(|member| {
            member.node == self.node && member.incarnation == self.incarnation
        })
    }
}
