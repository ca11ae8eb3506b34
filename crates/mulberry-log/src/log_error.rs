//! Errors of the data folder.

use std::{fmt, io};

/// Error of the data folder. The message names the affected file and the remedy.
#[derive(Debug)]
pub enum LogError {
    /// Another process uses the folder.
    Locked { folder: String },

    /// A file has a format that this build does not support.
    UnknownFormat { file: String, found: u32, supported: u32 },

    /// A file was modified or lost after it had been synced.
    Corruption { file: String, offset: u64, problem: String },

    /// A file or folder could not be accessed while opening the data folder.
    Open { action: &'static str, file: String, source: io::Error },

    /// A write failed. The folder rejects all writes until it is opened again.
    Write { action: &'static str, file: String, source: io::Error },

    /// An earlier write failed, so this write was rejected.
    Unusable { first_error: String },

    /// The writes do not continue the log. Nothing was written.
    InvalidWrites { problem: String },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Locked { folder } => write!(
                f,
                "data folder {folder} is in use by another process; stop that process or choose \
                 another folder"
            ),
            LogError::UnknownFormat { file, found, supported } => write!(
                f,
                "{file} has format {found} but this build supports format {supported}; use the \
                 release that wrote it"
            ),
            LogError::Corruption { file, offset, problem } => write!(
                f,
                "{file} is corrupt at offset {offset}: {problem}; move the data folder away, start \
                 with an empty one and add this replica as a new member"
            ),
            LogError::Open { action, file, source } => write!(
                f,
                "cannot {action} {file}: {source}; check the disk and the permissions, then start \
                 again"
            ),
            LogError::Write { action, file, source } => {
                write!(f, "cannot {action} {file}: {source}; free space or replace the disk")
            }
            LogError::Unusable { first_error } => write!(
                f,
                "the data folder rejects writes until it is opened again after an earlier failure \
                 ({first_error})"
            ),
            LogError::InvalidWrites { problem } => write!(
                f,
                "the writes do not continue the log: {problem}; nothing was written, report this \
                 as a bug"
            ),
        }
    }
}

impl std::error::Error for LogError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LogError::Open { source, .. } | LogError::Write { source, .. } => Some(source),
            _ => None,
        }
    }
}
