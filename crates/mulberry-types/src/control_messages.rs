//! Messages between entries and control instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    ConfigurationUpdate, ConfigurationVersion, Incarnation, Member, Membership, MembershipEpoch,
    NodeId, RequestId,
};

/// Request of an entry. Only the leader answers; others reply with [`ControlReply::Redirect`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Joins or renews the lease.
    Renew(Renew),

    /// Planned stop: the entry has stopped acting as home for any target.
    Leave { node: NodeId, incarnation: Incarnation },

    /// Asks for the right to dispatch a call that must not run twice. A resend with the same
    /// request id gets the first result.
    Claim { key: ClaimKey, fingerprint: [u8; 32], request: RequestId },

    /// Stores the answer of a claimed call.
    FinishClaim { key: ClaimKey, request: RequestId, answer: StoredAnswer },

    /// Gives a claim back. Sent only when no byte of the call can have left or will leave.
    ReleaseClaim { key: ClaimKey, request: RequestId },

    /// The call was dispatched and its result is not known.
    AbandonClaim { key: ClaimKey, request: RequestId },

    /// Asks for a share of the weight store's rate for one load order.
    TakePermit { target: Arc<str>, bytes: u64 },
}

/// Renewal of an entry's lease, sent every 500 ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    pub member: Member,

    /// Grows with each renewal; the grant repeats it, so that the entry counts the lease from the
    /// time at which it sent this renewal.
    pub sequence: u64,

    /// Newest configuration version that the entry has applied.
    pub have_version: ConfigurationVersion,

    /// Newest epoch that the entry has applied; it no longer acts for targets that it lost in it.
    pub have_epoch: MembershipEpoch,
}

/// Identity of a call that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    pub workspace: Arc<str>,
    pub service: Arc<str>,

    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
}

/// Answer of a finished call, kept with its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,

    /// At most 64 KiB; `None` when the answer was longer, so that it cannot be repeated.
    pub body: Option<Vec<u8>>,
}

/// Reply or push of a control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    Granted(Grant),

    /// This instance is not the leader.
    Redirect {
        leader: Option<SocketAddr>,
    },

    /// The renewal was not accepted: the entry is not a member any more or was replaced by a newer
    /// incarnation. It must give up its homes and join again.
    Expelled,

    Claim(ClaimReply),

    /// The command is committed.
    Done,

    Permit(Permit),

    /// Pushed to every connected entry when a change or a new epoch is committed.
    Update {
        update: Option<ConfigurationUpdate>,
        membership: Option<Membership>,
    },

    /// The instance cannot serve the request now, for example because its disk is full.
    Unavailable {
        reason: String,
    },

    /// The request was decided and has no effect, for example because the entry is no member, a limit is
    /// reached, or the claim is not held by this request. No other instance decides differently.
    Refused {
        reason: String,
    },
}

/// Lease granted to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence of the renewal that this grant answers.
    pub sequence: u64,

    /// Length of the lease, counted from the sending of that renewal.
    pub lease_ms: u64,

    /// Version committed when leadership was confirmed. The lease is valid only once the entry has
    /// applied it.
    pub version: ConfigurationVersion,

    /// Epoch committed when leadership was confirmed.
    pub epoch: MembershipEpoch,

    /// Newest epoch that every other member has applied.
    pub settled_epoch: MembershipEpoch,

    /// What the entry lacks, if it lacks any.
    pub update: Option<ConfigurationUpdate>,

    pub membership: Option<Membership>,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The caller of this request may dispatch, once.
    Won,

    /// The same call is running under another request.
    Running,

    /// The same call has finished with this answer.
    Finished(StoredAnswer),

    /// The same call was dispatched and its result was lost; it is not repeated.
    Unknown,

    /// The key was used for a different call.
    Conflict,

    /// This claim was released before it arrived.
    Released,
}

/// Permit of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    Granted,

    /// The budget is used up; ask again after this time.
    Wait {
        retry_after_ms: u64,
    },
}
