//! The targets that this entry may act for as home.
//!
//! A target is gained only in a settled epoch, because before that its previous home may not have
//! heard of the change and still act. A target that the entry has acted for without interruption is
//! kept through unsettled epochs, since nobody else can have gained it: that would have needed this
//! entry's own renewal with the epoch that moved it.
//!
//! Without a list of targets, "without interruption" is decided from the memberships since the
//! newest settled one: the entry acts for a target if each of them names it. An epoch that the entry
//! did not see does not end the continuity. If such an epoch named another entry, that one has a
//! higher rendezvous hash than this entry and is missing from the newest membership, so it has left
//! or its lease has expired. This holds only while the entry's own lease is valid without a gap, so
//! [`HomeOwnership::lease_lost`] must be called at each gap.

use std::collections::VecDeque;
use std::sync::Arc;

use mulberry_types::{Incarnation, Member, Membership, MembershipEpoch, NodeId};

/// Unsettled epochs in a row that are remembered. Epochs settle within about a second; more than
/// this many means that one member does not renew, and continuity is given up rather than memory.
const MAX_UNSETTLED: usize = 64;

/// Which targets this entry may act for as home.
#[derive(Debug)]
pub struct HomeOwnership {
    node: NodeId,
    incarnation: Incarnation,
    newest: Arc<Membership>,

    /// Memberships applied from the newest settled one on; empty while none is settled.
    since_settled: VecDeque<Arc<Membership>>,

    /// Memberships applied since then, or since the lease was gained, that are not settled.
    unsettled: VecDeque<Arc<Membership>>,
}

impl HomeOwnership {
    /// Acts for nothing until a membership with this node and incarnation is settled.
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

    /// Applies a membership; older ones than the newest are ignored.
    ///
    /// Once this returns, the entry no longer acts for targets that it lost, and may send the epoch
    /// in its renewals.
    pub fn membership_applied(&mut self, membership: &Arc<Membership>) {
        if membership.epoch <= self.newest.epoch {
            return;
        }
        if self.unsettled.len() >= MAX_UNSETTLED {
            self.since_settled.clear();
            self.unsettled.clear();
        }
        self.newest = Arc::clone(membership);
        self.unsettled.push_back(Arc::clone(membership));
        if !self.since_settled.is_empty() {
            self.since_settled.push_back(Arc::clone(membership));
        }
    }

    /// Notes that every other member has applied `epoch`. Call it after
    /// [`HomeOwnership::membership_applied`] with the membership of the same grant.
    ///
    /// An epoch above the newest applied one settles nothing: the entry is behind and may have lost
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

    /// The lease is over or was lost: every target must be gained again.
    pub fn lease_lost(&mut self) {
        self.since_settled.clear();
        self.unsettled.clear();
        // The newest membership can be settled again by a later grant, if the entry was not
        // removed.
        self.unsettled.push_back(Arc::clone(&self.newest));
    }

    /// Whether the entry may act for `target` now.
    #[must_use]
    pub fn acts_for(&self, target: &str, lease_valid: bool) -> bool {
        lease_valid
            && !self.since_settled.is_empty()
            && self.since_settled.iter().all(|membership| self.is_named(membership, target))
    }

    /// Whether the newest membership names this entry, settled or not.
    #[must_use]
    pub fn is_named_home(&self, target: &str) -> bool {
        self.is_named(&self.newest, target)
    }

    /// Home of a target by the newest membership.
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

    fn is_named(&self, membership: &Membership, target: &str) -> bool {
        membership.home_of(target).is_some_and(|member| {
            member.node == self.node && member.incarnation == self.incarnation
        })
    }
}
