//! Decides between retrying, resuming and failing after a failed attempt.

use mulberry_types::Repeatability;

/// What is known about a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    pub repeatability: Repeatability,

    /// Whether any byte of the call may have been sent to the target.
    pub may_have_been_sent: bool,

    /// Whether the target reported that it did not run the call.
    pub target_reports_not_run: bool,

    /// Whether the target sent a complete answer, which means that the call ran.
    pub target_answered: bool,

    /// Tokens or bytes of the answer already sent to the caller.
    pub sent_to_caller: u64,

    /// Whether the engine can resume an answer from a cursor.
    pub engine_can_resume: bool,

    /// Time until the deadline.
    pub remaining_ms: u64,

    /// Minimum time that another attempt needs.
    pub needed_ms: u64,

    /// Whether the retry budget has a retry left.
    pub budget_left: bool,
}

/// Whether a failed call was run, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedOutcome {
    NotRun,
    Ran,
    Unknown,
}

/// What to do after an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Run the request again from its start.
    Retry,

    /// Resume the answer after the part that the caller has received.
    Resume { cursor: u64 },

    /// Report the failure to the caller.
    Fail { outcome: FailedOutcome },
}

impl RetryDecision {
    /// Checks first whether a retry is safe, then whether it can finish in time and the retry budget
    /// allows it.
    #[must_use]
    pub fn decide(attempt: &FailedAttempt) -> RetryDecision {
        let outcome = attempt.outcome();
        let fail = RetryDecision::Fail { outcome };
        if attempt.target_answered {
            return fail;
        }
        if attempt.repeatability == Repeatability::AtMostOnce && outcome != FailedOutcome::NotRun {
            return fail;
        }
        if attempt.remaining_ms <= attempt.needed_ms || !attempt.budget_left {
            return fail;
        }
        if attempt.sent_to_caller == 0 {
            return RetryDecision::Retry;
        }
        if attempt.engine_can_resume {
            return RetryDecision::Resume { cursor: attempt.sent_to_caller };
        }
        fail
    }
}

impl FailedAttempt {
    /// Whether the call is known to have run.
    fn outcome(&self) -> FailedOutcome {
        if self.target_answered || self.sent_to_caller > 0 {
            return FailedOutcome::Ran;
        }
        if !self.may_have_been_sent || self.target_reports_not_run {
            return FailedOutcome::NotRun;
        }
        FailedOutcome::Unknown
    }
}
