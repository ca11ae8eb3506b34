//! Datagrams between gateways and homes.

use std::sync::Arc;

use mulberry_scheduler::{ActiveJob, Decision, JobId, JobSpec, Outcome};
use serde::{Deserialize, Serialize};

/// A datagram between two gateways. The encoding depends on the order of variants and fields.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum HomeMessage {
    Place {
        group: Arc<str>,
        job: JobId,
        work: JobSpec,
        budget: BudgetUse,
    },
    Decided {
        number: u64,
        decision: Decision,

        /// Percentage of the group's engines that have been prefilling recently.
        reading_percent: u8,

        /// Whether a retry is granted.
        is_granted: bool,
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
    ActiveRequests {
        group: Arc<str>,
        gateway: u64,
        up_to: u64,
        numbers: Vec<u64>,
    },

    /// Asks for a description of requests that the home does not know.
    UnknownRequests {
        group: Arc<str>,
        numbers: Vec<u64>,
    },

    DescribeRequest {
        group: Arc<str>,
        gateway: u64,
        job: ActiveJob,
    },
}

/// How a placement request affects the budget for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetUse {
    /// The first placement request for a caller's request; it is counted in the budget of one home only.
    CountsRequest,

    /// A retry, which needs a grant.
    NeedsGrant,

    /// Another group is asked about the same attempt.
    Unaffected,
}

impl BudgetUse {
    /// Returns the value for the first group that is asked about an attempt.
    pub fn of_first(is_retry: bool) -> BudgetUse {
        if is_retry { BudgetUse::NeedsGrant } else { BudgetUse::CountsRequest }
    }

    /// Returns the value for the next group that is asked about the same attempt.
    #[must_use]
    pub fn of_next(self) -> BudgetUse {
        match self {
            BudgetUse::CountsRequest | BudgetUse::Unaffected => BudgetUse::Unaffected,
            BudgetUse::NeedsGrant => BudgetUse::NeedsGrant,
        }
    }
}
