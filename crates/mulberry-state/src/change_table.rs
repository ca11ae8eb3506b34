//! Configuration, outcomes of changes and the audit trail.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use mulberry_types::{
    AuditRecord, Change, ChangeId, ChangeOutcome, Configuration, ConfigurationError,
    ConfigurationUpdate, ConfigurationVersion, RejectReason,
};
use postcard::ser_flavors::Size;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{AuditPage, StateLimits};

/// Longest change id and operator name.
const MAX_ID_BYTES: usize = 128;

/// Longest path or problem kept with a rejected change. A path holds a name of the change, which can be
/// as long as the change itself, and 100,000 outcomes are kept.
const MAX_PROBLEM_BYTES: usize = 256;

/// Configuration with its version, the first outcome of each recent change id and the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ChangeTable {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) version: ConfigurationVersion,
    pub(crate) outcomes: HashMap<ChangeId, FirstOutcome>,

    /// Keys of `outcomes` from the oldest to the newest.
    pub(crate) order: VecDeque<ChangeId>,

    pub(crate) audit: VecDeque<KeptRecord>,
    pub(crate) audit_bytes: u64,
    pub(crate) dropped_records: u64,
}

/// First outcome of a change id, with a fingerprint of the change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstOutcome {
    pub(crate) fingerprint: [u8; 32],
    pub(crate) outcome: ChangeOutcome,
}

/// Audit record with its encoded size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptRecord {
    pub(crate) bytes: u64,
    pub(crate) record: AuditRecord,
}

impl ChangeTable {
    pub(crate) fn apply(
        &mut self,
        now_ms: u64,
        change: &Change,
        limits: &StateLimits,
    ) -> ChangeOutcome {
        // Not recorded: the outcome depends on nothing but the id, and such an id must not be kept.
        if change.id.0.is_empty() || change.id.0.len() > MAX_ID_BYTES {
            return invalid("id", &format!("use 1 to {MAX_ID_BYTES} bytes"));
        }
        let Ok(encoded) = postcard::to_stdvec(change) else {
            return invalid(
                "operations",
                "cannot be encoded; send the change as the client built it",
            );
        };
        let fingerprint = Sha256::digest(&encoded).into();
        if let Some(first) = self.outcomes.get(&change.id) {
            if first.fingerprint == fingerprint {
                return first.outcome.clone();
            }
            return ChangeOutcome::Rejected { reason: RejectReason::IdReused };
        }
        let outcome = match self.accept(now_ms, change, encoded.len() as u64, limits) {
            Ok(version) => ChangeOutcome::Accepted { version },
            Err(reason) => ChangeOutcome::Rejected { reason },
        };
        self.outcomes
            .insert(change.id.clone(), FirstOutcome { fingerprint, outcome: outcome.clone() });
        self.order.push_back(change.id.clone());
        self.enforce(limits);
        outcome
    }

    /// Drops the oldest outcomes and audit records beyond the limits.
    pub(crate) fn enforce(&mut self, limits: &StateLimits) {
        while self.order.len() as u64 > limits.change_ids {
            if let Some(id) = self.order.pop_front() {
                self.outcomes.remove(&id);
            }
        }
        while self.audit.len() as u64 > limits.audit_records
            || self.audit_bytes > limits.audit_bytes
        {
            let Some(kept) = self.audit.pop_front() else { break };
            self.audit_bytes = self.audit_bytes.saturating_sub(kept.bytes);
            self.dropped_records += 1;
        }
    }

    /// What leads from `version` to the current one; `None` when it is not older.
    pub(crate) fn update_since(
        &self,
        version: ConfigurationVersion,
        limits: &StateLimits,
    ) -> Option<ConfigurationUpdate> {
        let behind = self.version.0.checked_sub(version.0).filter(|behind| *behind > 0)?;
        Some(self.delta(version, behind, limits).unwrap_or_else(|| ConfigurationUpdate::Full {
            version: self.version,
            configuration: (*self.configuration).clone(),
        }))
    }

    /// Records that led to the versions from `first` to `last`, at most `max_records`.
    pub(crate) fn audit_page(
        &self,
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    ) -> AuditPage {
        let start = self.audit.partition_point(|kept| kept.record.to_version < first);
        let records = self
            .audit
            .range(start..)
            .take_while(|kept| kept.record.to_version <= last)
            .take(max_records)
            .map(|kept| kept.record.clone())
            .collect();
        AuditPage {
            records,
            first_kept: self.audit.front().map(|kept| kept.record.to_version),
            dropped_records: self.dropped_records,
        }
    }

    fn accept(
        &mut self,
        now_ms: u64,
        change: &Change,
        encoded_bytes: u64,
        limits: &StateLimits,
    ) -> Result<ConfigurationVersion, RejectReason> {
        if change.operator.is_empty() || change.operator.len() > MAX_ID_BYTES {
            return Err(problem("operator", &format!("use 1 to {MAX_ID_BYTES} bytes")));
        }
        if change.operations.is_empty() {
            return Err(problem("operations", "is empty; send at least one operation"));
        }
        if encoded_bytes > limits.change_bytes {
            let bytes = limits.change_bytes;
            return Err(problem(
                "operations",
                &format!("need more than {bytes} bytes; split them"),
            ));
        }
        if change.expected_version != self.version {
            return Err(RejectReason::VersionConflict { current: self.version });
        }

        // A copy, so that no operation remains when a later one or the check fails. The check reads the
        // whole configuration as well, so the copy does not add to the order of the cost.
        let mut candidate = (*self.configuration).clone();
        for operation in &change.operations {
            operation.apply(&mut candidate).map_err(rejected)?;
        }
        candidate.check().map_err(rejected)?;
        let candidate_bytes = postcard::serialize_with_flavor(&candidate, Size::default());
        if candidate_bytes.map_or(u64::MAX, |bytes| bytes as u64) > limits.configuration_bytes {
            let bytes = limits.configuration_bytes;
            let text = format!("needs more than {bytes} bytes; remove what is unused first");
            return Err(problem("configuration", &text));
        }

        let from_version = self.version;
        self.version = ConfigurationVersion(self.version.0 + 1);
        self.configuration = Arc::new(candidate);
        self.audit_bytes += encoded_bytes;
        self.audit.push_back(KeptRecord {
            bytes: encoded_bytes,
            record: AuditRecord {
                change_id: change.id.clone(),
                operator: change.operator.clone(),
                at_unix_ms: now_ms,
                from_version,
                to_version: self.version,
                operations: change.operations.clone(),
            },
        });
        Ok(self.version)
    }

    fn delta(
        &self,
        from_version: ConfigurationVersion,
        behind: u64,
        limits: &StateLimits,
    ) -> Option<ConfigurationUpdate> {
        if behind > limits.delta_changes || behind > self.audit.len() as u64 {
            return None;
        }
        let start = self.audit.len() - usize::try_from(behind).ok()?;
        let bytes: u64 = self.audit.range(start..).map(|kept| kept.bytes).sum();
        if bytes > limits.delta_bytes {
            return None;
        }
        let operations = self
            .audit
            .range(start..)
            .flat_map(|kept| kept.record.operations.iter().cloned())
            .collect();
        Some(ConfigurationUpdate::Delta { from_version, to_version: self.version, operations })
    }
}

fn rejected(error: ConfigurationError) -> RejectReason {
    RejectReason::Invalid { path: shortened(error.path), problem: shortened(error.problem) }
}

fn problem(path: &str, problem: &str) -> RejectReason {
    RejectReason::Invalid { path: path.to_owned(), problem: problem.to_owned() }
}

fn invalid(path: &str, text: &str) -> ChangeOutcome {
    ChangeOutcome::Rejected { reason: problem(path, text) }
}

fn shortened(mut text: String) -> String {
    if text.len() > MAX_PROBLEM_BYTES {
        let end = (0..=MAX_PROBLEM_BYTES).rev().find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or(0));
    }
    text
}
