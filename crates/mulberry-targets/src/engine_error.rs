//! What can go wrong between an entry and an engine.

use std::fmt;

/// A failed call of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was made, so no byte has left.
    NotSent { problem: String },

    /// The engine has no room now; nothing ran.
    Overloaded { status: u16, code: String },

    /// The engine will not run this request; nothing ran.
    Refused { status: u16, code: String },

    /// The connection was cut or the engine answered with a server error.
    Failed { problem: String },

    /// The engine sent nothing for the silence limit.
    Silent,

    /// A chunk belongs to another request, or is out of sequence.
    Mismatch { problem: String },

    /// The stream ended without its last chunk.
    Incomplete,

    /// The request's deadline has passed.
    DeadlinePassed,
}

impl EngineError {
    /// Whether nothing of the request can have run at the engine.
    pub fn is_not_run(&self) -> bool {
        match self {
            EngineError::NotSent { .. }
            | EngineError::Overloaded { .. }
            | EngineError::Refused { .. } => true,
            EngineError::Failed { .. }
            | EngineError::Silent
            | EngineError::Mismatch { .. }
            | EngineError::Incomplete
            | EngineError::DeadlinePassed => false,
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::NotSent { problem } => write!(f, "no connection to the engine: {problem}"),
            EngineError::Overloaded { status, code } => {
                write!(f, "the engine has no room: status {status}, code {code}")
            }
            EngineError::Refused { status, code } => {
                write!(f, "the engine refused the request: status {status}, code {code}")
            }
            EngineError::Failed { problem } => write!(f, "the engine failed: {problem}"),
            EngineError::Silent => f.write_str("the engine went silent"),
            EngineError::Mismatch { problem } => {
                write!(f, "the engine's answer does not match the request: {problem}")
            }
            EngineError::Incomplete => f.write_str("the engine's answer ended before its end"),
            EngineError::DeadlinePassed => f.write_str("the deadline has passed"),
        }
    }
}

impl std::error::Error for EngineError {}
