//! Messages between entries about the targets that one of them is the home of.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Announcement, Incarnation, MembershipEpoch, NodeId, Priority, RequestId, ReservationId,
    TargetKind,
};

/// Request to an entry as home of a target, or a digest that it receives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeRequest {
    /// Passed on by the entry that received it over HTTP.
    Announce(Announcement),

    Reserve(Reserve),

    /// Keeps the reservations of one entry alive; sent every 500 ms.
    Extend {
        node: NodeId,
        incarnation: Incarnation,
        reservations: Vec<ReservationId>,
    },

    Release(Release),

    /// The first token has arrived, so the prompt is not queued any more. Sent without a reply.
    FirstToken {
        reservation: ReservationId,
    },

    /// Sent every 250 ms without a reply.
    Digest(HomeDigest),
}

/// Asks for room on a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    pub request: RequestId,
    pub target: Arc<str>,

    /// Epoch by which the sender chose this home.
    pub epoch: MembershipEpoch,

    pub prompt_tokens: u64,

    /// KV tokens for the prompt and the longest allowed answer; 0 for plain services.
    pub total_tokens: u64,

    pub priority: Priority,

    /// Time that is left until the request's deadline.
    pub remaining_ms: u64,

    /// Longest expected time to first token for which the sender wants this target; it knows another
    /// one that is expected to take about as long. `None` if it wants this target in any case.
    pub max_first_token_ms: Option<u64>,
}

/// Room on a target, held until it is released or not extended for `expires_in_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    pub reservation: ReservationId,
    pub target: Arc<str>,
    pub boot_id: u64,
    pub address: SocketAddr,
    pub expires_in_ms: u64,
}

/// Why a home gives no room now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    pub reason: RefuseReason,

    /// When asking again may help.
    pub retry_after_ms: u64,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The entry is not the target's home in the newest epoch, or that epoch is not settled yet.
    NotHome,

    /// The home has no valid lease.
    LeaseLost,

    /// No announcement of this target for some seconds.
    TargetUnknown,

    TargetLeaving,

    /// Operators have drained the target.
    TargetDrained,

    /// Operators have taken the availability zone out.
    ZoneOut,

    /// The prompt and its answer need more memory than the target has in all.
    NeverFits,

    /// Not enough free KV memory now.
    MemoryFull,

    /// All slots are taken now.
    SlotsFull,

    /// The target is cold and takes no more until some requests have succeeded.
    ColdRamp,

    /// Too many targets are in long prefill.
    LongPrefillCap,

    /// The circuit breaker of the target is open.
    BreakerOpen,

    /// More prompts wait at the target than the sender knew of.
    Busy,

    /// The request cannot finish before its deadline.
    DeadlineTooShort,
}

/// Ends a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    pub target: Arc<str>,
    pub reservation: ReservationId,
    pub outcome: ReleaseOutcome,

    /// Measured time to first token, if there was one.
    pub first_token_ms: Option<u64>,
}

/// How the work of a reservation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// Nothing was sent to the target.
    Unused,

    Succeeded,

    /// The caller went away or the deadline passed; says nothing about the target.
    Cancelled,

    /// The target refused for lack of memory or slots.
    Overloaded,

    /// The target failed: connection refused or cut, silence, or a server error.
    Failed,
}

/// Reply of a home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeReply {
    Reserved(Reserved),
    Refused(Refused),

    /// Answer to `Extend`: the reservations that are not live at this home.
    Extended {
        unknown: Vec<ReservationId>,
    },

    Done,
}

/// Summary of a home's targets for the other entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeDigest {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub epoch: MembershipEpoch,

    /// Grows with each digest; an older one than the newest seen is dropped.
    pub sequence: u64,

    pub targets: Vec<TargetDigest>,
}

/// What an entry needs to know of a target to choose it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDigest {
    pub target: Arc<str>,
    pub boot_id: u64,
    pub kind: TargetKind,
    pub address: SocketAddr,
    pub zone: Arc<str>,

    /// KV memory of the target in all.
    pub memory_tokens: u64,

    /// KV memory without a reservation.
    pub free_tokens: u64,

    /// Slots that the ramp and the reservations leave.
    pub free_slots: u32,

    /// Slots that are taken. A target that ramps up may have few slots free and few taken.
    pub taken_slots: u32,

    pub slots: u32,

    /// Prefill speed, corrected by what was observed.
    pub prefill_tokens_per_s: u32,

    /// Prompt tokens of reservations that have not had their first token, by priority from low to
    /// high.
    pub queued_prompt_tokens: [u64; 3],

    /// Whether a prompt of more than 16,000 tokens is in prefill.
    pub long_prefill: bool,

    /// Whether new work is taken at all: neither leaving nor drained, zone in, breaker closed.
    pub takes_work: bool,
}
