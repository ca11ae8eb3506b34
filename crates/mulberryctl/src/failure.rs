//! Failures and their exit codes.

use std::process::ExitCode;

use mulberry_operators::OperatorError;
use mulberry_plan::{ApplyError, FileError, PlanError};
use serde_json::json;

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    kind: FailureKind,
    report: eyre::Report,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureKind {
    Rejected,
    Usage,
    Unavailable,
    OutcomeUnknown,
}

impl Failure {
    pub fn rejected(report: impl Into<eyre::Report>) -> Failure {
        Failure { kind: FailureKind::Rejected, report: report.into() }
    }

    pub fn usage(report: impl Into<eyre::Report>) -> Failure {
        Failure { kind: FailureKind::Usage, report: report.into() }
    }

    /// Prints the failure and returns its exit code.
    pub fn report(&self, as_json: bool) -> ExitCode {
        let (name, code) = match self.kind {
            FailureKind::Rejected => ("rejected", 1),
            FailureKind::Usage => ("usage", 2),
            FailureKind::Unavailable => ("unavailable", 3),
            FailureKind::OutcomeUnknown => ("outcome_unknown", 4),
        };
        if as_json {
            let message = self.report.to_string();
            eprintln!("{}", json!({ "error": { "kind": name, "message": message } }));
        } else {
            eprintln!("error: {}", self.report);
        }
        ExitCode::from(code)
    }
}

impl From<OperatorError> for Failure {
    fn from(error: OperatorError) -> Failure {
        Failure { kind: kind_of(&error), report: error.into() }
    }
}

impl From<PlanError> for Failure {
    fn from(error: PlanError) -> Failure {
        let kind = match &error {
            PlanError::Read(error) => kind_of(error),
            PlanError::Invalid(_) => FailureKind::Rejected,
        };
        Failure { kind, report: error.into() }
    }
}

impl From<FileError> for Failure {
    fn from(error: FileError) -> Failure {
        match error {
            FileError::Read { .. } => Failure::usage(error),
            FileError::Field(_) => Failure::rejected(error),
        }
    }
}

impl From<ApplyError> for Failure {
    fn from(error: ApplyError) -> Failure {
        let kind = match &error {
            ApplyError::Request { error, .. } => kind_of(error),
            ApplyError::Conflict { .. } | ApplyError::Invalid(_) | ApplyError::IdReused { .. } => {
                FailureKind::Rejected
            }
        };
        Failure { kind, report: error.into() }
    }
}

fn kind_of(error: &OperatorError) -> FailureKind {
    match error {
        OperatorError::Rejected { .. } => FailureKind::Rejected,
        OperatorError::Unauthorized | OperatorError::InvalidRequest { .. } => FailureKind::Usage,
        OperatorError::Unavailable { .. } => FailureKind::Unavailable,
        OperatorError::OutcomeUnknown { .. } => FailureKind::OutcomeUnknown,
    }
}
