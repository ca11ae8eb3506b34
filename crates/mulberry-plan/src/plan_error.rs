//! Errors of plans.

use std::fmt;

use mulberry_operators::OperatorError;
use mulberry_types::{ChangeId, ConfigurationError, ConfigurationVersion};

/// A plan that cannot be printed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// The configuration in force cannot be read.
    Read(OperatorError),

    /// Names that the plan uses but that do not exist, or impossible values.
    Invalid(Vec<ConfigurationError>),
}

/// A configuration file that cannot be used.
#[derive(Debug)]
pub enum FileError {
    /// The file cannot be read.
    Read { file: String, source: std::io::Error },

    /// A field is unknown, missing or has a wrong type or value.
    Field(ConfigurationError),
}

/// A printed plan that is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// Another change came first.
    Conflict { expected: ConfigurationVersion, current: ConfigurationVersion },

    /// The control group refused a field.
    Invalid(ConfigurationError),

    /// Another change has the same id.
    IdReused { id: ChangeId },

    /// The request failed; [`OperatorError::OutcomeUnknown`] means that the change may be in force.
    Request { id: ChangeId, error: OperatorError },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Read(error) => {
                write!(f, "cannot read the configuration in force: {error}")
            }
            PlanError::Invalid(errors) => {
                for (index, error) in errors.iter().enumerate() {
                    let line_end = if index == 0 { "" } else { "\n" };
                    write!(f, "{line_end}{error}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for PlanError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PlanError::Read(error) => Some(error),
            PlanError::Invalid(_) => None,
        }
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Read { file, source } => {
                write!(f, "cannot read configuration file {file}: {source}; check the path")
            }
            FileError::Field(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            FileError::Read { source, .. } => Some(source),
            FileError::Field(_) => None,
        }
    }
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Conflict { expected, current } => write!(
                f,
                "planned on version {expected}, but version {current} is in force; nothing was \
                 changed; read it and plan again"
            ),
            ApplyError::Invalid(error) => write!(f, "nothing was changed: {error}"),
            ApplyError::IdReused { id } => write!(
                f,
                "change id {} was used for another change; nothing was changed; plan again",
                id.0
            ),
            ApplyError::Request { id, error: error @ OperatorError::OutcomeUnknown { .. } } => {
                write!(f, "change {}: {error}", id.0)
            }
            ApplyError::Request { error, .. } => error.fmt(f),
        }
    }
}

impl std::error::Error for ApplyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ApplyError::Request { error, .. } => Some(error),
            _ => None,
        }
    }
}
