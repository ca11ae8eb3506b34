//! What an engine holds, by its own account.

use std::sync::Arc;

use serde::Deserialize;

/// One stream in `GET /streams`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StreamReport {
    /// Request id that the stream was started with.
    pub id: Arc<str>,

    pub prompt_tokens: u64,

    /// KV tokens that it holds; 0 while it waits.
    pub tokens_held: u64,

    pub age_ms: u64,
}

/// One exported segment in `GET /kv/exports`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ExportReport {
    pub handle: Arc<str>,

    /// Request id that the export was made for.
    pub request_id: Arc<str>,

    pub tokens: u64,

    pub age_ms: u64,
}
