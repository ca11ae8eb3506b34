//! Bounds of the replicated state.

use serde::{Deserialize, Serialize};

/// Retention that the caller API promises. It is also the longest deadline, so that no call outlives its
/// claim.
const MIN_CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Frames between processes are limited to 16 MiB; half is left for what goes with the configuration.
const MAX_MESSAGE_BYTES: u64 = 8 << 20;

/// Bounds of the replicated state.
///
/// They decide the outcome of commands, so they must be equal on all replicas. They are therefore part
/// of the state itself: they are kept in the snapshot and changed only by `Command::SetLimits`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StateLimits {
    /// Change ids whose first outcome is kept.
    pub change_ids: u64,

    /// Records kept in the audit trail.
    pub audit_records: u64,

    /// Encoded size of the records kept in the audit trail.
    pub audit_bytes: u64,

    /// Recent changes that are sent as a delta; an entry further behind gets the whole configuration.
    pub delta_changes: u64,

    /// Encoded size of the operations in one delta; it must fit into one message.
    pub delta_bytes: u64,

    /// Encoded size of the operations of one change.
    pub change_bytes: u64,

    /// Encoded size of the whole configuration; it must fit into one message.
    pub configuration_bytes: u64,

    /// Live entries.
    pub members: u64,

    /// Claims whose call is running.
    pub open_claims: u64,

    /// All claims, open or settled.
    pub claims: u64,

    /// Size of all claims with their stored answers.
    pub claim_bytes: u64,

    /// Time for which a settled claim is kept.
    pub claim_retention_ms: u64,

    /// Released requests that are remembered.
    pub tombstones: u64,

    /// Time for which a released request is remembered. A claim is sent at the start of its request and
    /// delayed by a connection or a proposal at most, so an hour is ample.
    pub tombstone_retention_ms: u64,

    /// Requests whose claim was not won and whose first result is remembered, oldest forgotten first.
    pub refused_requests: u64,

    /// Rate of the weight store over the whole fleet; 0 stops all loads.
    pub weight_store_bytes_per_s: u64,

    /// Bytes of the weight store that can be granted at once after a quiet time.
    pub weight_store_burst_bytes: u64,
}

impl Default for StateLimits {
    fn default() -> Self {
        StateLimits {
            change_ids: 100_000,
            audit_records: 20_000,
            audit_bytes: 64 << 20,
            delta_changes: 2_000,
            delta_bytes: 1 << 20,
            change_bytes: 1 << 20,
            configuration_bytes: MAX_MESSAGE_BYTES,
            members: 4_096,
            open_claims: 20_000,
            claims: 200_000,
            claim_bytes: 256 << 20,
            claim_retention_ms: MIN_CLAIM_RETENTION_MS,
            tombstones: 200_000,
            tombstone_retention_ms: 60 * 60 * 1_000,
            refused_requests: 100_000,
            weight_store_bytes_per_s: 10 << 30,
            weight_store_burst_bytes: 20 << 30,
        }
    }
}

impl StateLimits {
    /// Checks the limits on which promises to callers or messages depend.
    ///
    /// # Errors
    /// The name of the first field that is out of range, and the remedy.
    pub fn check(&self) -> Result<(), String> {
        if self.claim_retention_ms < MIN_CLAIM_RETENTION_MS {
            return Err(format!(
                "claim_retention_ms is {}; use at least {MIN_CLAIM_RETENTION_MS}, which callers are told",
                self.claim_retention_ms
            ));
        }
        let messages = [
            ("change_bytes", self.change_bytes),
            ("configuration_bytes", self.configuration_bytes),
            ("delta_bytes", self.delta_bytes),
        ];
        match messages.iter().find(|(_, bytes)| *bytes > MAX_MESSAGE_BYTES) {
            Some((name, bytes)) => Err(format!(
                "{name} is {bytes}; use at most {MAX_MESSAGE_BYTES}, which fits into one message"
            )),
            None => Ok(()),
        }
    }
}
