//! Settings of the emulated engine.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_types::SettingsError;
use serde::{Deserialize, Serialize};

/// Settings of the emulated engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    pub listen: SocketAddr,

    /// Id under which the engine announces itself.
    pub target: Arc<str>,

    /// Availability zone.
    pub zone: Arc<str>,

    /// Models loaded at start.
    pub models: Vec<Arc<str>>,

    pub weight_version: Arc<str>,

    /// KV memory for prompts, answers, exports and the prefix cache.
    pub memory_tokens: u64,

    /// Requests that run at the same time.
    pub slots: u32,

    /// Requests that wait for memory or a slot; more are refused with status 429.
    pub max_queued: u32,

    /// Prefill speed, shared by all prompts in prefill.
    pub prefill_tokens_per_s: u32,

    /// Prompt tokens that one step takes at most, so that a long prompt does not hold up decoding.
    pub prefill_chunk_tokens: u32,

    /// Time of a decoding step with one stream.
    pub step_ms: u32,

    /// Time that each further stream adds to a decoding step.
    pub step_us_per_stream: u32,

    /// Speed at which imported KV cache arrives.
    pub transfer_tokens_per_s: u32,

    /// Time for fetching one imported segment.
    pub import_timeout_ms: u64,

    /// Time to load a model, an adapter or a version from the weight store.
    pub weight_load_ms: u64,

    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,

    /// Age of the load in reports.
    pub load_lag_ms: u64,

    /// Age at which cache events are published.
    pub cache_event_lag_ms: u64,

    /// Every n-th cache event is never published; 0 publishes all.
    pub cache_event_gap_every: u64,

    pub cold_start: ColdStartSettings,

    /// Entries that take announcements, tried in turn; none announces nothing.
    pub announce_to: Vec<SocketAddr>,

    pub announce_interval_ms: u64,

    /// Time for the running streams to end after a stop signal.
    pub stop_timeout_ms: u64,
}

/// How an engine that has just started fails under load. It is warm after the time or the successes, whichever is
/// reached first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStartSettings {
    pub cold_ms: u64,

    /// Completed requests after which the engine is warm.
    pub successes: u32,

    /// Requests at the same time that a cold engine survives.
    pub max_concurrent: u32,

    /// Time for which an engine that has fallen over refuses connections.
    pub down_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target: "engine-1".into(),
            zone: "zone-a".into(),
            models: vec!["model-a".into()],
            weight_version: "v1".into(),
            memory_tokens: 600_000,
            slots: 32,
            max_queued: 32,
            prefill_tokens_per_s: 40_000,
            prefill_chunk_tokens: 1_024,
            step_ms: 20,
            step_us_per_stream: 200,
            transfer_tokens_per_s: 2_000_000,
            import_timeout_ms: 2_000,
            weight_load_ms: 2_000,
            checks_fence: true,
            load_lag_ms: 1_000,
            cache_event_lag_ms: 1_000,
            cache_event_gap_every: 10,
            cold_start: ColdStartSettings::default(),
            announce_to: Vec::new(),
            announce_interval_ms: 1_000,
            stop_timeout_ms: 60_000,
        }
    }
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        Self { cold_ms: 30_000, successes: 7, max_concurrent: 4, down_ms: 5_000 }
    }
}

impl EngineSettings {
    /// Checks the values.
    ///
    /// # Errors
    /// A value is out of its range; the error names the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            ("memory_tokens", self.memory_tokens),
            ("slots", self.slots.into()),
            ("prefill_tokens_per_s", self.prefill_tokens_per_s.into()),
            ("prefill_chunk_tokens", self.prefill_chunk_tokens.into()),
            ("step_ms", self.step_ms.into()),
            ("transfer_tokens_per_s", self.transfer_tokens_per_s.into()),
            ("import_timeout_ms", self.import_timeout_ms),
            ("announce_interval_ms", self.announce_interval_ms),
            ("cold_start.max_concurrent", self.cold_start.max_concurrent.into()),
        ];
        match positive.iter().find(|(_, value)| *value == 0) {
            Some((path, _)) => Err(SettingsError::Field {
                path: (*path).to_owned(),
                problem: "must be at least 1".to_owned(),
            }),
            None => Ok(()),
        }
    }
}
