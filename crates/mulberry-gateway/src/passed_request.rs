//! What a gateway tells another one about a request that it passes on, in a header.

use std::fmt::Write as _;
use std::sync::Arc;

use mulberry_http1::Headers;
use serde::{Deserialize, Serialize};

/// Name of the header. It counts only on connections between gateways.
const HEADER: &str = "Mulberry-Passed-On";

/// Upper bound on the sends that another gateway can name.
const MAX_SENDS: u32 = 1_000;

/// Stands in for fields that a sender of an older version does not know.
const MISSING_FIELDS: [u8; 16] = [0; 16];

/// State of a request that another gateway passes on. Fields may be appended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PassedRequest {
    /// Time that the request has spent at the other gateway.
    pub waited_ms: u64,

    /// Sends to targets so far.
    pub sends: u32,

    pub may_have_run: bool,

    /// Whether a home has counted the request for the retry budget.
    pub is_counted: bool,

    /// Version of the configuration that the other gateway has in force.
    pub config_version: u64,

    /// Event after which the stream is to be resumed.
    pub last_event: Option<u64>,

    /// Targets to which the request was sent.
    pub sent_to: Vec<Arc<str>>,
}

impl PassedRequest {
    /// Sets the header, in place of one that the caller may have sent.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub(crate) fn write(&self, headers: &mut Headers) -> postcard::Result<()> {
        let mut text = String::new();
        for byte in postcard::to_stdvec(self)? {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        headers.set(HEADER, text.as_bytes());
        Ok(())
    }

    /// Reads and removes the header. `None` if there is none that can be read.
    pub(crate) fn take(headers: &mut Headers) -> Option<PassedRequest> {
        let text = headers.text(HEADER)?.to_owned();
        headers.remove(HEADER);
        let digits = text.as_bytes().chunks(2);
        let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        let bytes: Vec<u8> = digits.map(byte).collect::<Option<_>>()?;
        let mut passed: PassedRequest = match postcard::from_bytes(&bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[&*bytes, &MISSING_FIELDS].concat()).ok()
            }
            decoded => decoded.ok(),
        }?;
        passed.sends = passed.sends.min(MAX_SENDS);
        Some(passed)
    }
}
