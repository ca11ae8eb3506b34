//! Snapshot of the state.
//!
//! Layout, numbers in little-endian order: mark (4 bytes), format (u32), length of the body (u64),
//! crc32c of the body (u32), body in postcard. The body is read and written in the order of the fields
//! below. Indexes are not stored but rebuilt, and what they need to be unique is checked.

use std::sync::Arc;

use mulberry_types::{
    ChangeId, Configuration, ConfigurationVersion, Membership, NodeId, RequestId,
};
use serde::{Deserialize, Serialize};

use crate::change_table::{ChangeTable, FirstOutcome, KeptRecord};
use crate::claim_table::{Claim, ClaimTable, RefusedResult};
use crate::member_table::{MemberTable, NodeLives};
use crate::permit_bucket::PermitBucket;
use crate::{FleetState, StateError, StateLimits};

const MARK: [u8; 4] = *b"MLST";
const FORMAT: u32 = 1;
const HEADER_BYTES: usize = 20;
const MAX_COUNTER: u64 = 1 << 62;

/// Body as it is written, without copies of the large parts.
#[derive(Serialize)]
struct BodyRef<'a> {
    limits: &'a StateLimits,
    applied_index: u64,
    now_ms: u64,
    version: ConfigurationVersion,
    configuration: &'a Configuration,
    outcomes: Vec<(&'a ChangeId, &'a FirstOutcome)>,
    audit: Vec<&'a KeptRecord>,
    dropped_records: u64,
    membership: &'a Membership,
    lives: Vec<(&'a NodeId, &'a NodeLives)>,
    next_sequence: u64,
    claims: Vec<(&'a u64, &'a Claim)>,
    tombstones: Vec<&'a (u64, RequestId)>,
    refused: Vec<(&'a u64, &'a (RequestId, RefusedResult))>,
    permits: &'a PermitBucket,
}

/// Body as it is read; the same fields in the same order.
#[derive(Deserialize)]
struct Body {
    limits: StateLimits,
    applied_index: u64,
    now_ms: u64,
    version: ConfigurationVersion,
    configuration: Configuration,
    outcomes: Vec<(ChangeId, FirstOutcome)>,
    audit: Vec<KeptRecord>,
    dropped_records: u64,
    membership: Membership,
    lives: Vec<(NodeId, NodeLives)>,
    next_sequence: u64,
    claims: Vec<(u64, Claim)>,
    tombstones: Vec<(u64, RequestId)>,
    refused: Vec<(u64, (RequestId, RefusedResult))>,
    permits: PermitBucket,
}

impl FleetState {
    /// Encodes the whole state. Equal states give equal bytes.
    ///
    /// # Panics
    /// Never in practice: every part of the state can be encoded into memory.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let outcomes = self.changes.order.iter();
        let body = BodyRef {
            limits: &self.limits,
            applied_index: self.applied_index,
            now_ms: self.now_ms,
            version: self.changes.version,
            configuration: &self.changes.configuration,
            outcomes: outcomes.map(|id| (id, &self.changes.outcomes[id])).collect(),
            audit: self.changes.audit.iter().collect(),
            dropped_records: self.changes.dropped_records,
            membership: &self.members.membership,
            lives: self.members.lives.iter().collect(),
            next_sequence: self.claims.next_sequence,
            claims: self.claims.claims.iter().collect(),
            tombstones: self.claims.tombstones.iter().collect(),
            refused: self.claims.refused.iter().collect(),
            permits: &self.permits,
        };
        let mut bytes = vec![0; HEADER_BYTES];
        bytes = postcard::to_extend(&body, bytes).expect("all parts can be encoded");
        let (header, body) = bytes.split_at_mut(HEADER_BYTES);
        header[..4].copy_from_slice(&MARK);
        header[4..8].copy_from_slice(&FORMAT.to_le_bytes());
        header[8..16].copy_from_slice(&(body.len() as u64).to_le_bytes());
        header[16..20].copy_from_slice(&crc32c::crc32c(body).to_le_bytes());
        bytes
    }

    /// Decodes a state. Memory is bounded by a small multiple of the length of `data`.
    ///
    /// # Errors
    /// The data is no snapshot, damaged, of an unknown format, or breaks a rule of the state.
    pub fn from_snapshot(data: &[u8]) -> Result<FleetState, StateError> {
        let body = checked_body(data)?;
        let (body, rest) = postcard::take_from_bytes::<Body>(body)
            .map_err(|error| StateError::Inconsistent { problem: error.to_string() })?;
        if !rest.is_empty() {
            return Err(inconsistent(format!("{} bytes after its end", rest.len())));
        }
        check_ranges(&body)?;
        body.configuration.check().map_err(|error| inconsistent(error.to_string()))?;
        Ok(FleetState {
            limits: body.limits,
            applied_index: body.applied_index,
            now_ms: body.now_ms,
            changes: restore_changes(
                (body.version, body.configuration),
                body.outcomes,
                (body.audit, body.dropped_records),
            )?,
            members: restore_members(body.membership, body.lives)?,
            claims: ClaimTable::restore(
                body.next_sequence,
                body.claims,
                body.tombstones,
                body.refused,
            )
            .map_err(inconsistent)?,
            permits: body.permits,
        })
    }
}

fn checked_body(data: &[u8]) -> Result<&[u8], StateError> {
    if data.len() < HEADER_BYTES {
        return Err(StateError::Damaged { problem: "it is shorter than its header" });
    }
    let (header, body) = data.split_at(HEADER_BYTES);
    if header[..4] != MARK {
        return Err(StateError::NotASnapshot);
    }
    let found = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if found != FORMAT {
        return Err(StateError::UnknownFormat { found, supported: FORMAT });
    }
    if header[8..16] != (body.len() as u64).to_le_bytes() {
        return Err(StateError::Damaged { problem: "its length does not match its header" });
    }
    if header[16..20] != crc32c::crc32c(body).to_le_bytes() {
        return Err(StateError::Damaged { problem: "its checksum does not match" });
    }
    Ok(body)
}

/// Counters far beyond any real one would overflow later.
fn check_ranges(body: &Body) -> Result<(), StateError> {
    let counters =
        [body.version.0, body.next_sequence, body.membership.epoch.0, body.dropped_records];
    let in_range = counters.iter().all(|counter| *counter <= MAX_COUNTER)
        && body.audit.iter().all(|kept| kept.bytes <= u64::from(u32::MAX));
    if in_range { Ok(()) } else { Err(inconsistent("a counter is out of range".to_owned())) }
}

fn restore_changes(
    (version, configuration): (ConfigurationVersion, Configuration),
    outcomes: Vec<(ChangeId, FirstOutcome)>,
    (audit, dropped_records): (Vec<KeptRecord>, u64),
) -> Result<ChangeTable, StateError> {
    let mut table = ChangeTable {
        configuration: Arc::new(configuration),
        version,
        dropped_records,
        ..ChangeTable::default()
    };
    for (id, outcome) in outcomes {
        table.order.push_back(id.clone());
        if table.outcomes.insert(id.clone(), outcome).is_some() {
            return Err(inconsistent(format!("change id {} occurs twice", id.0)));
        }
    }
    // The delta from a version is found by its distance from the end, so no version may be missing.
    for (kept, distance) in audit.iter().rev().zip(0..) {
        let record = &kept.record;
        let expected = version.0.checked_sub(distance);
        if expected != Some(record.to_version.0) || record.from_version.0.checked_add(1) != expected
        {
            return Err(inconsistent("the audit trail does not lead to the version".to_owned()));
        }
        table.audit_bytes += kept.bytes;
    }
    table.audit = audit.into();
    Ok(table)
}

fn restore_members(
    membership: Membership,
    lives: Vec<(NodeId, NodeLives)>,
) -> Result<MemberTable, StateError> {
    // Members are found by binary search.
    if !membership.members.is_sorted_by(|left, right| left.node < right.node) {
        return Err(inconsistent("the members are not ordered by node".to_owned()));
    }
    Ok(MemberTable { membership: Arc::new(membership), lives: lives.into_iter().collect() })
}

fn inconsistent(problem: String) -> StateError {
    StateError::Inconsistent { problem }
}
