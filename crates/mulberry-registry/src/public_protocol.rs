//! What operators and targets speak, given by the embedding program.

use std::fmt::Debug;
use std::sync::Arc;

use mulberry_directory::TargetRecord;
use mulberry_routes::RoutingConfig;

/// A call of an operator or a target.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicRequest {
    /// A whole configuration, and the bytes to read back.
    Configure {
        config: Box<RoutingConfig>,
        document: Vec<u8>,
    },

    /// Asks for the newest configuration.
    ReadConfig,

    Evacuate {
        zone: Arc<str>,
    },
    Restore {
        zone: Arc<str>,
    },
    Announce(TargetRecord),

    /// A target leaves; `started_ms` is its start, if it says so.
    Leave {
        id: Arc<str>,
        started_ms: Option<u64>,
    },
}

/// A call that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRequest {
    pub status: u16,
    pub reason: String,
}

/// What operators and targets speak.
pub trait PublicProtocol: Debug {
    /// Decodes a call.
    ///
    /// # Errors
    /// The call is none of the protocol, or its body cannot be used.
    fn decode(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PublicRequest, InvalidRequest>;

    /// Media type of answers.
    fn media_type(&self) -> &'static str;

    /// Body of an answer that tells of nothing but success.
    fn success_body(&self) -> Vec<u8>;

    /// Body of an answer that names a problem.
    fn error_body(&self, reason: &str) -> Vec<u8>;
}
