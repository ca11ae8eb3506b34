//! Messages about crashes and parts. Times are sent as ages, since clocks of machines differ.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A request that was waiting for its first tokens at an engine that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub engine: Arc<str>,

    /// Time since the crash.
    pub age_ms: u64,

    /// Id of the part of the prompt that only this request has; the same when the caller repeats the request.
    pub request_key: u64,

    /// Parts of the prompt that other requests may have, in order.
    pub parts: Vec<CrashedPart>,
}

/// A part of the prompt of a crashed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedPart {
    pub id: u64,

    /// Time since an engine last survived a request with this part, if the reporting gateway has seen one.
    pub survived_age_ms: Option<u64>,
}

/// What a process knows about a part. Without `quarantined_age_ms`, the part is only suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    pub id: u64,

    /// Time since the part was quarantined.
    pub quarantined_age_ms: Option<u64>,

    /// Time since the last request with the part.
    pub requested_age_ms: u64,

    /// Time since an engine last survived a request with the part.
    pub survived_age_ms: Option<u64>,
}
