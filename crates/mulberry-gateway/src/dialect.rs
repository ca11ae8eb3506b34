//! Names and formats of the headers exchanged with callers and targets.

use std::fmt::Debug;
use std::net::SocketAddr;

use mulberry_http1::{Headers, ResponseHead};

/// Headers of a caller's request that the gateway evaluates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerFields {
    pub request_id: Option<Box<str>>,

    /// Time for which the caller will wait for the response.
    pub deadline_ms: Option<u64>,

    pub api_key: Option<Box<str>>,

    /// Number of prompt tokens; 0 if the request does not state it.
    pub prompt_tokens: u64,

    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,

    /// Event after which a stream is to be resumed.
    pub last_event: Option<u64>,

    /// Ids of the parts of the prompt, in order. Requests share parts, except for the last one.
    pub prompt_parts: Vec<u64>,
}

/// Headers that the gateway adds to a request for a target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardFields<'a> {
    /// Remaining time of the request.
    pub deadline_ms: Option<u64>,

    /// Target that must serve the request; a different one at the same address refuses it.
    pub target_id: &'a str,

    /// Tenant to which the caller's key belongs.
    pub tenant: Option<&'a str>,

    /// Priority at the engine from 0 to 9; 0 is served first.
    pub priority: Option<u8>,

    /// Engines that prefill parts of the prompt, with the ticket of the memory reserved at them.
    pub helpers: &'a [(SocketAddr, Option<String>)],

    /// Event after which the stream is to be resumed.
    pub last_event: Option<u64>,
}

/// Headers of a target's response that the gateway evaluates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseFields {
    pub request_id: Option<Box<str>>,

    /// Whether the target states that it did not run the request and never will.
    pub is_not_executed: bool,

    /// Whether the response carries the target's signature.
    pub is_signed: bool,

    /// Address of the engine that caused an error, if it is not the responding one.
    pub faulty_engine: Option<SocketAddr>,

    /// Remaining time for which the target is cold.
    pub cold_ms: Option<u64>,

    /// Whether the target is about to leave and wants no new requests.
    pub is_leaving: bool,

    /// Time for which the target wants no new requests.
    pub retry_after_ms: Option<u64>,
}

/// A request of the gateway itself to a target, not one forwarded from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// Names and formats of the headers exchanged with callers and targets.
pub trait Dialect: Debug {
    fn caller_fields(&self, headers: &Headers) -> CallerFields;

    /// Writes `fields` into the headers of a caller's request and removes headers that a target must not see.
    fn forward(&self, headers: &mut Headers, fields: &ForwardFields<'_>);

    fn response_fields(&self, head: &ResponseHead) -> ResponseFields;

    /// Whether a request to the readiness port is a readiness check.
    fn is_readiness_request(&self, method: &str, path: &str) -> bool;

    /// Builds the call that reserves memory of an engine under a ticket; the reservation expires after `ttl_ms`.
    fn reserve(&self, target_id: &str, ticket: &str, tokens: u64, ttl_ms: u64) -> TargetCall;

    /// Builds the call that releases the memory reserved under a ticket.
    fn release(&self, target_id: &str, ticket: &str) -> TargetCall;
}
