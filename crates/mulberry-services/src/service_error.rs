//! What can go wrong between an entry and a plain service.

use std::fmt;

/// A failed call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceError {
    /// No connection was made, so no byte has left and none will.
    NotSent { problem: String },

    /// The call may have run: the connection was cut or the answer did not come in time.
    MayHaveRun { problem: String },

    /// The answer is longer than the limit; the call ran.
    AnswerTooLong { limit_bytes: u64 },
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServiceError::NotSent { problem } => {
                write!(f, "no connection to the service: {problem}")
            }
            ServiceError::MayHaveRun { problem } => {
                write!(f, "the call may have run, but its answer was lost: {problem}")
            }
            ServiceError::AnswerTooLong { limit_bytes } => {
                write!(f, "the call ran, but its answer is longer than {limit_bytes} bytes")
            }
        }
    }
}

impl std::error::Error for ServiceError {}
