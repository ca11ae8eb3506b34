//! The membership lease of this entry.
//!
//! The lease starts when the entry sends the renewal, not when the grant arrives. The leader starts its
//! own timer when it handles the renewal, so the entry's lease ends before the leader removes the member.
//! A lease that started at the arrival would end later by the unbounded network delay of the grant.

use std::collections::VecDeque;

use mulberry_types::{ConfigurationVersion, Grant};

/// Safety margin for clock drift.
const DRIFT_MARGIN_PERCENT: u64 = 1;

/// Maximum number of unanswered renewals to store: 8 s at one renewal every 500 ms, longer than any
/// lease.
const MAX_UNANSWERED: usize = 16;

/// Effect of a grant on the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantEffect {
    /// The lease was extended without a gap.
    Renewed,

    /// The lease is valid again after a gap. The entry must give up all targets first, because
    /// another entry may have been their home during the gap.
    ValidAfterGap,

    /// The lease is extended once the configuration version of the grant is applied.
    AwaitsVersion,

    /// The grant answers no known renewal or has already expired.
    Ignored,
}

/// Membership lease of this entry. While it is valid, the entry's configuration counts as current.
#[derive(Debug, Default)]
pub struct EntryLease {
    /// Sequence number and send time of unanswered renewals, oldest first.
    unanswered: VecDeque<(u64, u64)>,

    /// End of the lease according to grants whose configuration version is applied.
    valid_until_ms: u64,

    /// Configuration version and lease end of grants whose version is not applied yet.
    awaiting_version: VecDeque<(ConfigurationVersion, u64)>,
}

impl EntryLease {
    /// Starts without a valid lease.
    #[must_use]
    pub fn new() -> EntryLease {
        EntryLease::default()
    }

    /// Records that a renewal is about to be sent. Call this before writing to the socket.
    pub fn renewal_sent(&mut self, sequence: u64, now_ms: u64) {
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((sequence, now_ms));
    }

    /// Handles a grant. Apply its configuration update and membership first, and pass the version
    /// that is then applied.
    ///
    /// Pass `settled_epoch` on to [`crate::HomeOwnership`] only if the effect is not
    /// [`GrantEffect::Ignored`].
    pub fn grant_received(
        &mut self,
        grant: &Grant,
        applied_version: ConfigurationVersion,
        now_ms: u64,
    ) -> GrantEffect {
        let Some(position) = self.unanswered.iter().position(|(sent, _)| *sent == grant.sequence)
        else {
            return GrantEffect::Ignored;
        };
        let (_, sent_ms) = self.unanswered[position];
        // Grants of older renewals could only end earlier.
        self.unanswered.drain(..=position);
        let until_ms = sent_ms + grant.lease_ms - grant.lease_ms * DRIFT_MARGIN_PERCENT / 100;
        if until_ms <= now_ms {
            return GrantEffect::Ignored;
        }
        if grant.version > applied_version {
            if self.awaiting_version.len() == MAX_UNANSWERED {
                self.awaiting_version.pop_front();
            }
            self.awaiting_version.push_back((grant.version, until_ms));
            return GrantEffect::AwaitsVersion;
        }
        self.extend_to(until_ms, now_ms)
    }

    /// Records that a configuration version is applied, which may complete an earlier grant.
    pub fn version_applied(
        &mut self,
        applied_version: ConfigurationVersion,
        now_ms: u64,
    ) -> GrantEffect {
        let mut until_ms = 0;
        self.awaiting_version.retain(|(version, until)| {
            let complete = *version <= applied_version;
            if complete {
                until_ms = until_ms.max(*until);
            }
            !complete && *until > now_ms
        });
        if until_ms <= now_ms {
            return GrantEffect::Ignored;
        }
        self.extend_to(until_ms, now_ms)
    }

    /// Whether the entry may start work, send cleanup orders and act as home.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }

    /// Time until the lease expires; 0 without a valid lease.
    #[must_use]
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    /// Gives up the lease, for example when control answers `Expelled`. Later answers to earlier
    /// renewals are ignored.
    pub fn relinquish(&mut self) {
        *self = EntryLease::default();
    }

    fn extend_to(&mut self, until_ms: u64, now_ms: u64) -> GrantEffect {
        let was_valid = self.is_valid(now_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
        if was_valid { GrantEffect::Renewed } else { GrantEffect::ValidAfterGap }
    }
}
