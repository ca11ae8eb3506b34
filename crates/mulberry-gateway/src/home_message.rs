//! What gateways and homes tell each other, by datagram.

use std::sync::Arc;

use mulberry_scheduler::{ActiveJob, Decision, JobId, JobSpec, Outcome};
use serde::{Deserialize, Serialize};

/// Between gateways.
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

        /// Part of the group's engines that have been reading lately.
        reading_percent: u8,

        /// Whether a further send is granted.
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

    /// Numbers of all active requests of a gateway in a group; those above `up_to` may be missing.
    Active {
        group: Arc<str>,
        gateway: u64,
        up_to: u64,
        numbers: Vec<u64>,
    },

    /// Asks for the requests that the home does not know.
    Unknown {
        group: Arc<str>,
        numbers: Vec<u64>,
    },

    Tell {
        group: Arc<str>,
        gateway: u64,
        job: ActiveJob,
    },
}

/// What a question is to the budget for further sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetUse {
    /// The first question about a request: it adds to the budget of one home only.
    Adds,

    /// A further send, which needs a grant.
    Wants,

    /// Another group is asked about the same send.
    Neither,
}

impl BudgetUse {
    /// Of the first group that is asked about a send.
    pub fn of_first(is_further: bool) -> BudgetUse {
        if is_further { BudgetUse::Wants } else { BudgetUse::Adds }
    }

    /// Of the next group that is asked about the same send.
    #[must_use]
    pub fn of_next(self) -> BudgetUse {
        match self {
            BudgetUse::Adds | BudgetUse::Neither => BudgetUse::Neither,
            BudgetUse::Wants => BudgetUse::Wants,
        }
    }
}
