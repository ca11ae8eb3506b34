//! The lease of this entry.
//!
//! The lease counts from the moment at which the entry sent the renewal that a grant answers: the
//! leader answered later than that, so it removes the member later than the entry stops. Counting
//! from the arrival of the grant would add the time that the grant spent on the way, which has no
//! bound.

use std::collections::VecDeque;

use mulberry_types::{ConfigurationVersion, Grant};

/// Share of the lease that the entry gives up for the drift of its clock.
const DRIFT_MARGIN_PERCENT: u64 = 1;

/// Renewals without an answer that are remembered: 8 s at one renewal every 500 ms, longer than any
/// lease.
const MAX_UNANSWERED: usize = 16;

/// What a grant did to the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantEffect {
    /// The lease continues without a gap.
    Renewed,

    /// The lease is valid again after a time in which it was not. Homes must be given up before
    /// they are used again, because another entry may have acted for the targets in between.
    ValidAfterGap,

    /// The lease counts once the configuration version of the grant is applied.
    AwaitsVersion,

    /// The grant answers no known renewal or is over already.
    Ignored,
}

/// Lease of this entry, which is also the freshness lease of its configuration.
#[derive(Debug, Default)]
pub struct EntryLease {
    /// Sequence and time of sending of renewals without an answer, oldest first.
    unanswered: VecDeque<(u64, u64)>,

    /// End of the lease by grants whose version is applied.
    valid_until_ms: u64,

    /// Version and end of grants whose version is not applied yet.
    awaiting: VecDeque<(ConfigurationVersion, u64)>,
}

impl EntryLease {
    /// No lease until the first grant.
    #[must_use]
    pub fn new() -> EntryLease {
        EntryLease::default()
    }

    /// Notes the sending of a renewal. Call it before the bytes are handed to the socket.
    pub fn renewal_sent(&mut self, sequence: u64, now_ms: u64) {
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((sequence, now_ms));
    }

    /// Takes a grant. Apply its configuration update and its membership before, and pass the
    /// version applied by now.
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
        // Older renewals without an answer can only give a shorter lease.
        self.unanswered.drain(..=position);
        let until_ms = sent_ms + grant.lease_ms - grant.lease_ms * DRIFT_MARGIN_PERCENT / 100;
        if until_ms <= now_ms {
            return GrantEffect::Ignored;
        }
        if grant.version > applied_version {
            if self.awaiting.len() == MAX_UNANSWERED {
                self.awaiting.pop_front();
            }
            self.awaiting.push_back((grant.version, until_ms));
            return GrantEffect::AwaitsVersion;
        }
        self.extend_to(until_ms, now_ms)
    }

    /// Notes that a configuration version is applied, which may complete an earlier grant.
    pub fn version_applied(
        &mut self,
        applied_version: ConfigurationVersion,
        now_ms: u64,
    ) -> GrantEffect {
        let mut until_ms = 0;
        self.awaiting.retain(|(version, until)| {
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

    /// Whether the entry may start work, send orders and act as home.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }

    /// Time until the lease ends without a further grant; 0 without a valid lease.
    #[must_use]
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    /// Gives the lease up, for example when control answers `Expelled`. Answers to earlier renewals
    /// are ignored.
    pub fn lost(&mut self) {
        *self = EntryLease::default();
    }

    fn extend_to(&mut self, until_ms: u64, now_ms: u64) -> GrantEffect {
        let was_valid = self.is_valid(now_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
        if was_valid { GrantEffect::Renewed } else { GrantEffect::ValidAfterGap }
    }
}
