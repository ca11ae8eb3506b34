//! Names and forms of the headers that callers and targets use.

use std::fmt::Debug;
use std::net::SocketAddr;

use mulberry_http1::{Headers, ResponseHead};

/// What a caller says of its request in headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerFields {
    pub request_id: Option<Box<str>>,

    /// How long the caller will wait.
    pub deadline_ms: Option<u64>,

    pub api_key: Option<Box<str>>,

    /// Tokens of the prompt; 0 when the request names none.
    pub prompt_tokens: u64,

    /// Tokens of the answer at most.
    pub answer_tokens: u64,

    /// Event after which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What the gateway says to a target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardFields<'a> {
    /// Time that is left.
    pub deadline_ms: Option<u64>,

    /// Target that must serve the request; any other one at the address refuses it.
    pub target_id: &'a str,

    /// Holder of the caller's key.
    pub tenant: Option<&'a str>,

    /// Rank at the engine from 0 to 9; 0 is first.
    pub priority: Option<u8>,

    /// Engines that read parts of the prompt, with the ticket of the memory they lend.
    pub helpers: &'a [(SocketAddr, Option<String>)],

    /// Event after which the stream is to go on.
    pub last_event: Option<u64>,
}

/// What a target says of its answer in headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseFields {
    pub request_id: Option<Box<str>>,

    /// Whether the target says that it did not run the request and never will.
    pub is_not_executed: bool,

    /// Whether the answer bears the target's signature.
    pub is_signed: bool,

    /// Address of the engine at fault, when it is not the one that answers.
    pub faulty_engine: Option<SocketAddr>,

    /// How long the target stays cold.
    pub cold_ms: Option<u64>,
}

/// A call to a target that is no caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// Names and forms of the headers that callers and targets use.
pub trait Dialect: Debug {
    fn caller_fields(&self, headers: &Headers) -> CallerFields;

    /// Writes `fields` into the headers of a caller's request and removes what a target must not see.
    fn forward(&self, headers: &mut Headers, fields: &ForwardFields<'_>);

    fn response_fields(&self, head: &ResponseHead) -> ResponseFields;

    /// Whether a call at the readiness port asks for readiness.
    fn is_readiness_request(&self, method: &str, path: &str) -> bool;

    /// Lends memory of an engine under a ticket for a time.
    fn reserve(&self, target_id: &str, ticket: &str, tokens: u64, hold_ms: u64) -> TargetCall;

    /// Gives the memory of a ticket back.
    fn release(&self, target_id: &str, ticket: &str) -> TargetCall;
}
