//! What became of one request.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

/// What became of one request, from the caller's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole right answer, in time.
    Right,

    /// A refusal that says "not run" and when to retry.
    Refused,

    /// A refusal that says "not run" only.
    RefusedWithoutRetryAfter,

    /// An error that says anything else, or a connection that was cut.
    FailedVisibly,

    /// A final outcome after the deadline.
    Late,

    /// The answer contains text that does not belong to it.
    WrongCrossed,

    /// The answer contains a part of its text twice.
    WrongDoubled,

    /// The answer lacks a part of its text in the middle.
    WrongGap,

    /// The answer ended early without an error.
    Truncated,

    /// No final outcome long after the deadline.
    Lost,

    /// The load generator had no thread left.
    NotSent,
}

impl Outcome {
    pub const ALL: [Outcome; 11] = [
        Outcome::Right,
        Outcome::Refused,
        Outcome::RefusedWithoutRetryAfter,
        Outcome::FailedVisibly,
        Outcome::Late,
        Outcome::WrongCrossed,
        Outcome::WrongDoubled,
        Outcome::WrongGap,
        Outcome::Truncated,
        Outcome::Lost,
        Outcome::NotSent,
    ];

    /// Name in tables and results.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Right => "right",
            Outcome::Refused => "refused",
            Outcome::RefusedWithoutRetryAfter => "refused_no_retry_after",
            Outcome::FailedVisibly => "failed_visibly",
            Outcome::Late => "late",
            Outcome::WrongCrossed => "wrong_crossed",
            Outcome::WrongDoubled => "wrong_doubled",
            Outcome::WrongGap => "wrong_gap",
            Outcome::Truncated => "truncated",
            Outcome::Lost => "lost",
            Outcome::NotSent => "not_sent",
        }
    }

    /// Whether the system broke a rule, whatever failed around it.
    pub fn is_violation(self) -> bool {
        match self {
            Outcome::Right
            | Outcome::Refused
            | Outcome::RefusedWithoutRetryAfter
            | Outcome::FailedVisibly
            | Outcome::NotSent => false,
            Outcome::Late
            | Outcome::WrongCrossed
            | Outcome::WrongDoubled
            | Outcome::WrongGap
            | Outcome::Truncated
            | Outcome::Lost => true,
        }
    }

    /// Whether the request was refused with "not run".
    pub fn is_not_run(self) -> bool {
        matches!(self, Outcome::Refused | Outcome::RefusedWithoutRetryAfter)
    }
}

/// Compares an answer that claims to be whole with the right one.
pub fn check_answer(expected: &str, received: &str) -> Outcome {
    if received == expected {
        return Outcome::Right;
    }
    if expected.starts_with(received) {
        return Outcome::Truncated;
    }
    let known: HashSet<&str> = expected.split_inclusive(' ').collect();
    let mut seen = HashSet::new();
    let mut is_doubled = false;
    for token in received.split_inclusive(' ') {
        if !known.contains(token) {
            return Outcome::WrongCrossed;
        }
        is_doubled |= !seen.insert(token);
    }
    if is_doubled { Outcome::WrongDoubled } else { Outcome::WrongGap }
}

/// Compares the part of an answer that came before an error with the right answer.
///
/// Returns `None` if it is the start of the right answer.
pub fn check_partial_answer(expected: &str, received: &str) -> Option<Outcome> {
    (!expected.starts_with(received)).then(|| check_answer(expected, received))
}
