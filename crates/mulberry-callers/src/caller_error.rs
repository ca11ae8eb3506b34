//! Errors as callers see them.

use std::fmt;

use mulberry_http::{Response, StatusCode};

/// Whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing of it ran and nothing will.
    NotRun,

    /// It ran, at least in part.
    Ran,

    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of `error.outcome`.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Stable code of an error, in `error.code`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorCode {
    InvalidRequest,
    InvalidApiKey,
    UnknownModel,
    UnknownService,
    UnknownRoute,
    InvalidDeadline,
    PromptTooLong,
    WorkspaceLimit,
    DeadlineTooShort,
    NoCapacity,
    NoTarget,
    StaleConfiguration,
    Stopping,
    DeadlineExceeded,
    TargetFailed,
    AnswerIncomplete,
    StillRunning,
    OutcomeUnknown,
    IdempotencyConflict,
    AnswerNotKept,
    ControlUnavailable,
}

impl ErrorCode {
    /// Every code, in the order of the page that documents them.
    pub const ALL: [ErrorCode; 21] = [
        ErrorCode::InvalidRequest,
        ErrorCode::InvalidApiKey,
        ErrorCode::UnknownModel,
        ErrorCode::UnknownService,
        ErrorCode::UnknownRoute,
        ErrorCode::InvalidDeadline,
        ErrorCode::PromptTooLong,
        ErrorCode::WorkspaceLimit,
        ErrorCode::DeadlineTooShort,
        ErrorCode::NoCapacity,
        ErrorCode::NoTarget,
        ErrorCode::StaleConfiguration,
        ErrorCode::Stopping,
        ErrorCode::DeadlineExceeded,
        ErrorCode::TargetFailed,
        ErrorCode::AnswerIncomplete,
        ErrorCode::StillRunning,
        ErrorCode::OutcomeUnknown,
        ErrorCode::IdempotencyConflict,
        ErrorCode::AnswerNotKept,
        ErrorCode::ControlUnavailable,
    ];

    /// Value of `error.code`.
    pub fn name(self) -> &'static str {
        match self {
            ErrorCode::InvalidRequest => "invalid_request",
            ErrorCode::InvalidApiKey => "invalid_api_key",
            ErrorCode::UnknownModel => "unknown_model",
            ErrorCode::UnknownService => "unknown_service",
            ErrorCode::UnknownRoute => "unknown_route",
            ErrorCode::InvalidDeadline => "invalid_deadline",
            ErrorCode::PromptTooLong => "prompt_too_long",
            ErrorCode::WorkspaceLimit => "workspace_limit",
            ErrorCode::DeadlineTooShort => "deadline_too_short",
            ErrorCode::NoCapacity => "no_capacity",
            ErrorCode::NoTarget => "no_target",
            ErrorCode::StaleConfiguration => "stale_configuration",
            ErrorCode::Stopping => "stopping",
            ErrorCode::DeadlineExceeded => "deadline_exceeded",
            ErrorCode::TargetFailed => "target_failed",
            ErrorCode::AnswerIncomplete => "answer_incomplete",
            ErrorCode::StillRunning => "still_running",
            ErrorCode::OutcomeUnknown => "outcome_unknown",
            ErrorCode::IdempotencyConflict => "idempotency_conflict",
            ErrorCode::AnswerNotKept => "answer_not_kept",
            ErrorCode::ControlUnavailable => "control_unavailable",
        }
    }

    /// HTTP status of an error that comes before any part of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            ErrorCode::InvalidRequest | ErrorCode::InvalidDeadline => StatusCode::BAD_REQUEST,
            ErrorCode::InvalidApiKey => StatusCode::UNAUTHORIZED,
            ErrorCode::UnknownModel | ErrorCode::UnknownService | ErrorCode::UnknownRoute => {
                StatusCode::NOT_FOUND
            }
            ErrorCode::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
            ErrorCode::DeadlineTooShort
            | ErrorCode::NoCapacity
            | ErrorCode::NoTarget
            | ErrorCode::StaleConfiguration
            | ErrorCode::Stopping
            | ErrorCode::ControlUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            ErrorCode::TargetFailed | ErrorCode::AnswerIncomplete => StatusCode::BAD_GATEWAY,
            ErrorCode::StillRunning
            | ErrorCode::OutcomeUnknown
            | ErrorCode::IdempotencyConflict
            | ErrorCode::AnswerNotKept => StatusCode::CONFLICT,
        }
    }
}

/// An error as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    pub code: ErrorCode,
    pub outcome: Outcome,

    /// Says what is wrong and what to do.
    pub message: String,

    /// When coming back may help.
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    pub fn new(code: ErrorCode, outcome: Outcome, message: impl Into<String>) -> CallerError {
        CallerError { code, outcome, message: message.into(), retry_after_ms: None }
    }

    /// Sets the time after which coming back may help.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> CallerError {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The error as a whole answer.
    pub fn to_response(&self) -> Response {
        let code = self.code.name();
        let response =
            Response::error(self.code.status(), code, self.outcome.name(), &self.message);
        match self.retry_after_ms {
            // The header has whole seconds; rounding down would ask callers back too early.
            Some(ms) => response.header("retry-after", &ms.div_ceil(1_000).max(1).to_string()),
            None => response,
        }
    }

    /// The error as the last event of a stream that has begun.
    pub fn to_event(&self) -> String {
        let body = self.to_response().body;
        format!("data: {}\n\n", String::from_utf8_lossy(&body))
    }
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.name(), self.message)
    }
}

impl std::error::Error for CallerError {}
