//! Messages between gateways and homes, sent as UDP datagrams.
//!
//! Fields may be appended to a variant: gateways of older versions ignore them, and they decode as zero or empty if the
//! sender is of an older version.

use std::sync::Arc;

use mulberry_capacity::{CapacityView, LoadDigest};
use mulberry_scheduler::{ActiveJob, Decision, JobId, JobOrigin, JobSpec, Outcome, ShareUse};
use serde::{Deserialize, Serialize};

/// Stands in for fields that a sender of an older version does not know.
const MISSING_FIELDS: [u8; 16] = [0; 16];

/// A message between two gateways. The encoding depends on the order of variants and fields.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum HomeMessage {
    Place {
        group: Arc<str>,
        job: JobId,
        spec: JobSpec,
        budget_effect: BudgetEffect,
        origin: JobOrigin,
    },
    PlaceReply {
        number: u64,
        decision: Decision,

        /// Percentage of the group's engines that have been prefilling recently.
        prefill_load_percent: u8,

        /// Whether a retry is granted.
        is_granted: bool,

        /// What a refusal for a share was decided from.
        share: Option<ShareUse>,
    },
    FirstEvent {
        group: Arc<str>,
        job: JobId,
    },
    Finish {
        group: Arc<str>,
        job: JobId,
        outcome: Outcome,
    },

    /// Numbers of all active requests of a gateway in a group; requests above `up_to` may be missing.
    ActiveJobs {
        group: Arc<str>,
        gateway: u64,
        up_to: u64,
        numbers: Vec<u64>,
    },

    /// Asks a gateway for the descriptions of requests that the home does not know.
    UnknownJobs {
        group: Arc<str>,
        numbers: Vec<u64>,
    },

    JobDescription {
        group: Arc<str>,
        gateway: u64,
        job: ActiveJob,
        origin: JobOrigin,
    },

    /// What a gateway has seen of the targets of a plain service, for the home of the service. Sent like the next one
    /// only by gateways that learn capacity; others drop it.
    LoadDigest(LoadDigest),

    /// What the home of a plain service knows about its targets.
    CapacityView(CapacityView),
}

impl HomeMessage {
    /// Decodes a datagram.
    ///
    /// # Errors
    /// The bytes are no message of this or an older version.
    pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<HomeMessage> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[bytes, &MISSING_FIELDS].concat())
            }
            decoded => decoded,
        }
    }
}

/// How a placement request affects the retry budget of the home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetEffect {
    /// The first placement request for a caller's request. It raises the budget, at one home only.
    CountsRequest,

    /// A retry, which needs a grant; a grant takes from the budget.
    NeedsGrant,

    /// A further group is asked to place a request that another home has already counted.
    Unaffected,
}

impl BudgetEffect {
    /// Returns the effect on the first group that is asked to place an attempt.
    pub fn for_first_group(is_retry: bool) -> BudgetEffect {
        if is_retry { BudgetEffect::NeedsGrant } else { BudgetEffect::CountsRequest }
    }

    /// Returns the effect on the next group that is asked to place the same attempt.
    #[must_use]
    pub fn for_next_group(self) -> BudgetEffect {
        match self {
            BudgetEffect::CountsRequest | BudgetEffect::Unaffected => BudgetEffect::Unaffected,
            BudgetEffect::NeedsGrant => BudgetEffect::NeedsGrant,
        }
    }
}
