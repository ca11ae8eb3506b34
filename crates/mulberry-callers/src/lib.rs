//! The HTTP API that callers use: parsing, authentication, errors and event streams.
//!
//! The shapes are those that client libraries of language models read, so that they work unchanged. Where a request
//! goes is decided elsewhere.

mod api_keys;
mod caller_error;
mod completion_answer;
mod completion_request;

pub use api_keys::ApiKeys;
pub use caller_error::{CallerError, ErrorCode, Outcome};
pub use completion_answer::{AnswerShape, models_body};
pub use completion_request::{CompletionRequest, Endpoint, header_deadline_ms};
