//! Replies of the state machine.

use mulberry_types::{
    AuditRecord, ChangeOutcome, ClaimReply, ConfigurationVersion, MembershipEpoch, Permit,
};

/// Reply to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Change(ChangeOutcome),

    Join(JoinReply),

    /// Reply to `Leave` and `Expire`. `removed` is false when this life was not a member, for example
    /// because a newer one has joined.
    Removed {
        removed: bool,
        epoch: MembershipEpoch,
    },

    Claim(ClaimReply),

    /// The claim was neither granted nor recorded; nothing was or may be dispatched.
    ClaimRefused(ClaimRefusal),

    /// Reply to `FinishClaim`, `ReleaseClaim` and `AbandonClaim`.
    Settle(SettleReply),

    /// Number of claims and tombstones that were removed. With `more`, the same command removes further
    /// ones; each command removes a limited number so that no apply takes long.
    Expired {
        removed: u64,
        more: bool,
    },

    Permit(Permit),

    LimitsSet,

    /// A limit is out of range; all limits stay as they were.
    LimitsRejected {
        problem: String,
    },

    /// The index is not above the last one applied; nothing was changed.
    AlreadyApplied,
}

/// Reply to `Join`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinReply {
    Joined {
        epoch: MembershipEpoch,
    },

    /// This life was a member already.
    Unchanged {
        epoch: MembershipEpoch,
    },

    /// A later life of the node has joined, or this life has left; it must not act again.
    Superseded,

    /// The limit on members is reached.
    Full,
}

/// Why a claim was refused without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The entry that made the request is not a member, so that its death would go unnoticed.
    NotMember,

    /// A part of the key is longer than allowed.
    KeyTooLong,

    /// Too many claimed calls are running.
    OpenClaimsFull,

    /// The number or size of the claims kept for their retention has reached its limit. A kept claim is
    /// never removed early, because its call could then run a second time.
    StoredClaimsFull,
}

/// Reply to `FinishClaim`, `ReleaseClaim` and `AbandonClaim`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleReply {
    Done,

    /// The claim is finished, but its answer is too long or the limit on stored bytes is reached; a
    /// later attempt is told that the call has finished, without a body.
    DoneWithoutAnswer,

    /// The claim is not held by this request, or it was settled in a way that excludes this one.
    NotHeld,

    /// Too many released requests are remembered, so a late claim of this request could not be refused.
    /// The outcome must be reported as unknown, not as `not_run`.
    TombstonesFull,
}

/// Part of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditPage {
    pub records: Vec<AuditRecord>,

    /// Version that the oldest kept record led to; `None` when none is kept. Older records are no
    /// longer in the state: control writes each accepted change to its log as well, which is their
    /// long-term place.
    pub first_kept: Option<ConfigurationVersion>,

    /// Records that are no longer kept.
    pub dropped_records: u64,
}

/// Numbers for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    pub claims: u64,
    pub open: u64,
    pub stored_bytes: u64,
    pub tombstones: u64,
    pub refused_requests: u64,
}
