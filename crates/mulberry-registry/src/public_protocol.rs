//! The protocol of operators and targets, implemented by the embedding program.

use std::fmt::Debug;
use std::sync::Arc;

use mulberry_directory::TargetRecord;
use mulberry_routes::RoutingConfig;

/// A request from an operator or a target.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicRequest {
    /// Replaces the configuration; `document` holds the bytes returned when it is read.
    Configure {
        config: Box<RoutingConfig>,
        document: Vec<u8>,
    },

    /// Reads the newest configuration.
    ReadConfig,

    Evacuate {
        zone: Arc<str>,
    },
    Restore {
        zone: Arc<str>,
    },
    Announce(TargetRecord),

    /// A target leaves; `started_ms` is its start time, if given.
    Leave {
        id: Arc<str>,
        started_ms: Option<u64>,
    },
}

/// Status and reason for rejecting a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRequest {
    pub status: u16,
    pub reason: String,
}

/// The protocol of operators and targets.
pub trait PublicProtocol: Debug {
    /// Decodes a request.
    ///
    /// # Errors
    /// The protocol has no such request, or the body is invalid.
    fn decode(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PublicRequest, InvalidRequest>;

    /// Media type of response bodies.
    fn media_type(&self) -> &'static str;

    /// Body of a successful response without content.
    fn success_body(&self) -> Vec<u8>;

    /// Body of an error response.
    fn error_body(&self, reason: &str) -> Vec<u8>;
}
