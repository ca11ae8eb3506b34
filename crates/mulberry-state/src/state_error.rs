//! Errors of decoding.

use std::fmt;

/// Bytes that are no valid command or snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateError {
    /// The bytes do not start with the mark of a snapshot.
    NotASnapshot,

    /// The snapshot was written in a format that this build does not read.
    UnknownFormat { found: u32, supported: u32 },

    /// The length or checksum does not match the contents.
    Damaged { problem: &'static str },

    /// The contents break a rule of the state.
    Inconsistent { problem: String },

    /// The bytes are no command.
    MalformedCommand { problem: String },

    /// The command is longer than any that a leader proposes.
    CommandTooLong { bytes: usize, limit: usize },
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateError::NotASnapshot => f.write_str(
                "the data is no state snapshot; check that the data folder belongs to mulberry-control",
            ),
            StateError::UnknownFormat { found, supported } => write!(
                f,
                "the snapshot has format {found} and this build reads {supported}; use the release \
                 that wrote it"
            ),
            StateError::Damaged { problem } => write!(
                f,
                "the snapshot is damaged: {problem}; replace this replica with an empty data folder"
            ),
            StateError::Inconsistent { problem } => write!(
                f,
                "the snapshot is inconsistent: {problem}; replace this replica with an empty data \
                 folder and report the fault"
            ),
            StateError::MalformedCommand { problem } => write!(
                f,
                "the log entry is no command: {problem}; use the same release on all control \
                 instances"
            ),
            StateError::CommandTooLong { bytes, limit } => {
                write!(f, "the command has {bytes} bytes and the limit is {limit}; split the change")
            }
        }
    }
}

impl std::error::Error for StateError {}
