//! Errors of the operator client.

use std::fmt;

/// Why a request of an operator gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// No operator has this token.
    Unauthorized,

    /// The request is malformed; says which field and why.
    InvalidRequest { problem: String },

    /// The rules of the control group forbid the request now.
    Rejected { problem: String },

    /// The request was not carried out: no instance could serve it within the time limit.
    Unavailable { problem: String },

    /// The request may have been carried out.
    OutcomeUnknown { problem: String },
}

/// A client that cannot be set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorClientError {
    /// No address was given.
    NoAddress,

    /// The token is empty or holds characters that a header cannot.
    BadToken,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::Unauthorized => {
                f.write_str("no operator has this token; check the token file or variable")
            }
            OperatorError::InvalidRequest { problem } => write!(f, "invalid request: {problem}"),
            OperatorError::Rejected { problem } => write!(f, "rejected: {problem}"),
            OperatorError::Unavailable { problem } => {
                write!(f, "unavailable, nothing was done: {problem}; retry later")
            }
            OperatorError::OutcomeUnknown { problem } => write!(
                f,
                "outcome unknown: {problem}; look at the audit trail or the status before you \
                 repeat it"
            ),
        }
    }
}

impl std::error::Error for OperatorError {}

impl fmt::Display for OperatorClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OperatorClientError::NoAddress => {
                "no control instance is given; name the operator address of at least one"
            }
            OperatorClientError::BadToken => {
                "the token is empty or has characters other than printable ASCII; use the token \
                 as it was issued"
            }
        })
    }
}

impl std::error::Error for OperatorClientError {}
