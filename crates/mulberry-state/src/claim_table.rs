//! Claims on calls that must not run twice.
//!
//! A claim is kept until its retention has passed since it was settled. While a claim is kept, its key
//! is won by no other request, unless the holder releases it. The results of requests that did not win
//! are remembered too, so that a resent or delayed claim cannot win later without anyone waiting for it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use mulberry_types::{ClaimKey, ClaimReply, Incarnation, NodeId, RequestId, StoredAnswer};
use serde::{Deserialize, Serialize};

use crate::{ClaimCounts, ClaimRefusal, SettleReply, StateLimits};

/// Longest workspace or service name.
const MAX_NAME_BYTES: usize = 64;

/// Longest `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 256;

/// Longest stored body.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Longest stored headers. Longer ones are not stored, and the body is then not stored either, because
/// an answer without its headers is not the same answer.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Estimated memory of a claim besides its texts and its answer: the record and five index entries.
const CLAIM_OVERHEAD_BYTES: u64 = 512;

/// Removals in one `ExpireClaims`, so that one apply stays within a few milliseconds.
const MAX_REMOVALS: u64 = 10_000;

/// All claims with their indexes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ClaimTable {
    pub(crate) next_sequence: u64,

    /// By sequence, the order in which they were made.
    pub(crate) claims: BTreeMap<u64, Claim>,

    /// Released requests with the time of the release, oldest first.
    pub(crate) tombstones: VecDeque<(u64, RequestId)>,

    /// Requests that did not win, by sequence.
    pub(crate) refused: BTreeMap<u64, (RequestId, RefusedResult)>,

    by_key: HashMap<ClaimKey, u64>,
    by_request: HashMap<RequestId, RequestRecord>,
    open_by_holder: BTreeMap<(NodeId, Incarnation), BTreeSet<u64>>,

    /// Time since which the claim is in its status, and its sequence.
    by_age: BTreeSet<(u64, u64)>,

    open: u64,
    stored_bytes: u64,
}

/// Claim of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: [u8; 32],
    pub(crate) request: RequestId,

    /// Time since which it is in its status.
    pub(crate) since_ms: u64,

    pub(crate) status: ClaimStatus,
}

/// Status of a claim. `Finished` is final; `Unknown` can become `Finished` when the answer arrives late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimStatus {
    Open,
    Finished(StoredAnswer),

    /// The holder's life ended or the call ran longer than the retention. The holder may still be alive
    /// behind a network partition and can release the claim, because it alone knows that it sent nothing.
    HolderLost,

    /// The holder itself said that it does not know the result.
    Abandoned,
}

/// First result of a request that did not win.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RefusedResult {
    Running,
    Unknown,
    Conflict,

    /// The answer of the claim with this sequence.
    Finished(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestRecord {
    Holds(u64),
    Refused(u64),
    Released,
}

impl ClaimTable {
    pub(crate) fn claim(
        &mut self,
        now_ms: u64,
        attempt: Attempt<'_>,
        is_member: bool,
        limits: &StateLimits,
    ) -> Result<ClaimReply, ClaimRefusal> {
        let Attempt { key, fingerprint, request } = attempt;
        if let Some(record) = self.by_request.get(&request) {
            return Ok(self.first_result(*record, key, fingerprint));
        }
        if !key_fits(key) {
            return Err(ClaimRefusal::KeyTooLong);
        }
        if !is_member {
            return Err(ClaimRefusal::NotMember);
        }
        if let Some(sequence) = self.by_key.get(key).copied() {
            let claim = &self.claims[&sequence];
            let (result, reply) = if claim.fingerprint != *fingerprint {
                (RefusedResult::Conflict, ClaimReply::Conflict)
            } else {
                match &claim.status {
                    ClaimStatus::Open => (RefusedResult::Running, ClaimReply::Running),
                    ClaimStatus::Finished(answer) => {
                        (RefusedResult::Finished(sequence), ClaimReply::Finished(answer.clone()))
                    }
                    ClaimStatus::HolderLost | ClaimStatus::Abandoned => {
                        (RefusedResult::Unknown, ClaimReply::Unknown)
                    }
                }
            };
            self.record_refused(request, result, limits);
            return Ok(reply);
        }
        if self.open >= limits.open_claims {
            return Err(ClaimRefusal::OpenClaimsFull);
        }
        let bytes = key_bytes(key);
        if self.claims.len() as u64 >= limits.claims
            || self.stored_bytes.saturating_add(bytes) > limits.claim_bytes
        {
            return Err(ClaimRefusal::StoredClaimsFull);
        }
        let sequence = self.next_sequence();
        let claim = Claim {
            key: key.clone(),
            fingerprint: *fingerprint,
            request,
            since_ms: now_ms,
            status: ClaimStatus::Open,
        };
        self.insert(sequence, claim);
        Ok(ClaimReply::Won)
    }

    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        key: &ClaimKey,
        request: RequestId,
        answer: &StoredAnswer,
        limits: &StateLimits,
    ) -> SettleReply {
        let Some(sequence) = self.held(key, request) else { return SettleReply::NotHeld };
        if let ClaimStatus::Finished(_) = self.claims[&sequence].status {
            return SettleReply::Done; // Resent: the first answer stays.
        }
        let header_bytes: usize =
            answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let body_bytes = answer.body.as_ref().map_or(0, Vec::len);
        let bytes = answer_bytes(answer);
        let fits = header_bytes <= MAX_HEADER_BYTES
            && body_bytes <= MAX_BODY_BYTES
            && self.stored_bytes.saturating_add(bytes) <= limits.claim_bytes;
        let (stored, reply) = if fits {
            (answer.clone(), SettleReply::Done)
        } else {
            let stored = StoredAnswer { status: answer.status, headers: Vec::new(), body: None };
            (stored, SettleReply::DoneWithoutAnswer)
        };
        self.settle(now_ms, sequence, ClaimStatus::Finished(stored));
        reply
    }

    pub(crate) fn release(
        &mut self,
        now_ms: u64,
        key: &ClaimKey,
        request: RequestId,
        limits: &StateLimits,
    ) -> SettleReply {
        match self.by_request.get(&request).copied() {
            Some(RequestRecord::Released) => return SettleReply::Done,
            Some(RequestRecord::Holds(sequence)) => {
                let claim = &self.claims[&sequence];
                let may_release =
                    matches!(claim.status, ClaimStatus::Open | ClaimStatus::HolderLost);
                if claim.key != *key || !may_release {
                    return SettleReply::NotHeld;
                }
                if self.tombstones.len() as u64 >= limits.tombstones {
                    return SettleReply::TombstonesFull;
                }
                self.remove(sequence);
            }
            Some(RequestRecord::Refused(sequence)) => {
                if self.tombstones.len() as u64 >= limits.tombstones {
                    return SettleReply::TombstonesFull;
                }
                self.refused.remove(&sequence);
            }
            None => {
                if self.tombstones.len() as u64 >= limits.tombstones {
                    return SettleReply::TombstonesFull;
                }
            }
        }
        self.by_request.insert(request, RequestRecord::Released);
        self.tombstones.push_back((now_ms, request));
        SettleReply::Done
    }

    pub(crate) fn abandon(
        &mut self,
        now_ms: u64,
        key: &ClaimKey,
        request: RequestId,
    ) -> SettleReply {
        let Some(sequence) = self.held(key, request) else { return SettleReply::NotHeld };
        match self.claims[&sequence].status {
            ClaimStatus::Open | ClaimStatus::HolderLost => {
                self.settle(now_ms, sequence, ClaimStatus::Abandoned);
                SettleReply::Done
            }
            ClaimStatus::Abandoned => SettleReply::Done,
            ClaimStatus::Finished(_) => SettleReply::NotHeld,
        }
    }

    /// The life of an entry has ended: nobody will report the results of its open claims.
    pub(crate) fn lose_holder(&mut self, now_ms: u64, node: NodeId, incarnation: Incarnation) {
        for sequence in self.open_by_holder.remove(&(node, incarnation)).unwrap_or_default() {
            self.settle(now_ms, sequence, ClaimStatus::HolderLost);
        }
    }

    /// Removes claims and tombstones whose retention has passed. An open claim is settled as unknown
    /// first and kept for another retention: the longest deadline equals the retention, so its call has
    /// ended, but a second run must stay excluded.
    pub(crate) fn expire(&mut self, now_ms: u64, limits: &StateLimits) -> (u64, bool) {
        let mut removed = 0;
        while removed < MAX_REMOVALS {
            let Some((since_ms, sequence)) = self.by_age.first().copied() else { break };
            if since_ms.saturating_add(limits.claim_retention_ms) > now_ms {
                break;
            }
            removed += 1;
            if self.claims[&sequence].status == ClaimStatus::Open {
                self.settle(now_ms, sequence, ClaimStatus::HolderLost);
            } else {
                let request = self.claims[&sequence].request;
                self.remove(sequence);
                self.by_request.remove(&request);
            }
        }
        while removed < MAX_REMOVALS {
            let Some((released_ms, request)) = self.tombstones.front().copied() else { break };
            if released_ms.saturating_add(limits.tombstone_retention_ms) > now_ms {
                break;
            }
            removed += 1;
            self.tombstones.pop_front();
            self.by_request.remove(&request);
        }
        (removed, removed == MAX_REMOVALS)
    }

    pub(crate) fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            claims: self.claims.len() as u64,
            open: self.open,
            stored_bytes: self.stored_bytes,
            tombstones: self.tombstones.len() as u64,
            refused_requests: self.refused.len() as u64,
        }
    }

    /// Rebuilds the table from the parts that a snapshot holds.
    pub(crate) fn restore(
        next_sequence: u64,
        claims: Vec<(u64, Claim)>,
        tombstones: Vec<(u64, RequestId)>,
        refused: Vec<(u64, (RequestId, RefusedResult))>,
    ) -> Result<ClaimTable, String> {
        let mut table = ClaimTable { next_sequence, ..ClaimTable::default() };
        let check_sequence = |sequence: u64| {
            if sequence < next_sequence {
                return Ok(());
            }
            Err(format!("claim sequence {sequence} is not below {next_sequence}"))
        };
        for (sequence, claim) in claims {
            check_sequence(sequence)?;
            if table.claims.contains_key(&sequence)
                || table.by_key.contains_key(&claim.key)
                || table.by_request.contains_key(&claim.request)
            {
                return Err(format!("claim {sequence} or its key or request occurs twice"));
            }
            table.insert(sequence, claim);
        }
        for (sequence, (request, result)) in refused {
            check_sequence(sequence)?;
            let record = RequestRecord::Refused(sequence);
            let is_new = table.by_request.insert(request, record).is_none()
                && table.refused.insert(sequence, (request, result)).is_none();
            if !is_new {
                return Err(format!("refused request {request} occurs twice"));
            }
        }
        for (released_ms, request) in tombstones {
            if table.by_request.insert(request, RequestRecord::Released).is_some() {
                return Err(format!("released request {request} occurs twice"));
            }
            table.tombstones.push_back((released_ms, request));
        }
        Ok(table)
    }

    fn first_result(
        &self,
        record: RequestRecord,
        key: &ClaimKey,
        fingerprint: &[u8; 32],
    ) -> ClaimReply {
        match record {
            RequestRecord::Released => ClaimReply::Released,
            RequestRecord::Holds(sequence) => {
                let claim = &self.claims[&sequence];
                if claim.key != *key || claim.fingerprint != *fingerprint {
                    return ClaimReply::Conflict;
                }
                // `Won` only while the claim is open: after that, a delayed duplicate of this claim must
                // not let its call be dispatched.
                match &claim.status {
                    ClaimStatus::Open => ClaimReply::Won,
                    ClaimStatus::Finished(answer) => ClaimReply::Finished(answer.clone()),
                    ClaimStatus::HolderLost | ClaimStatus::Abandoned => ClaimReply::Unknown,
                }
            }
            RequestRecord::Refused(sequence) => match self.refused[&sequence].1 {
                RefusedResult::Running => ClaimReply::Running,
                RefusedResult::Unknown => ClaimReply::Unknown,
                RefusedResult::Conflict => ClaimReply::Conflict,
                RefusedResult::Finished(finished) => {
                    match self.claims.get(&finished).map(|claim| &claim.status) {
                        Some(ClaimStatus::Finished(answer)) => ClaimReply::Finished(answer.clone()),
                        _ => ClaimReply::Unknown,
                    }
                }
            },
        }
    }

    fn held(&self, key: &ClaimKey, request: RequestId) -> Option<u64> {
        match self.by_request.get(&request) {
            Some(RequestRecord::Holds(sequence)) if self.claims[sequence].key == *key => {
                Some(*sequence)
            }
            _ => None,
        }
    }

    fn next_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    fn record_refused(&mut self, request: RequestId, result: RefusedResult, limits: &StateLimits) {
        let sequence = self.next_sequence();
        self.refused.insert(sequence, (request, result));
        self.by_request.insert(request, RequestRecord::Refused(sequence));
        self.enforce(limits);
    }

    /// Forgets the oldest requests that did not win. At worst, a late duplicate of such a claim wins
    /// without being dispatched and blocks its key; it never permits a second run.
    pub(crate) fn enforce(&mut self, limits: &StateLimits) {
        while self.refused.len() as u64 > limits.refused_requests {
            if let Some((_, (request, _))) = self.refused.pop_first() {
                self.by_request.remove(&request);
            }
        }
    }

    fn insert(&mut self, sequence: u64, claim: Claim) {
        self.stored_bytes += claim_bytes(&claim);
        self.by_key.insert(claim.key.clone(), sequence);
        self.by_request.insert(claim.request, RequestRecord::Holds(sequence));
        self.by_age.insert((claim.since_ms, sequence));
        if claim.status == ClaimStatus::Open {
            self.open += 1;
            self.open_by_holder.entry(holder(&claim)).or_default().insert(sequence);
        }
        self.claims.insert(sequence, claim);
    }

    /// Removes the claim; its request stays in `by_request`, for the caller to replace or remove.
    fn remove(&mut self, sequence: u64) {
        let Some(claim) = self.claims.remove(&sequence) else { return };
        self.stored_bytes -= claim_bytes(&claim);
        self.by_key.remove(&claim.key);
        self.by_age.remove(&(claim.since_ms, sequence));
        if claim.status == ClaimStatus::Open {
            self.close(holder(&claim), sequence);
        }
    }

    fn settle(&mut self, now_ms: u64, sequence: u64, status: ClaimStatus) {
        let Some(claim) = self.claims.get_mut(&sequence) else { return };
        self.stored_bytes -= claim_bytes(claim);
        self.by_age.remove(&(claim.since_ms, sequence));
        let was_open = claim.status == ClaimStatus::Open;
        claim.status = status;
        claim.since_ms = now_ms;
        self.stored_bytes += claim_bytes(claim);
        self.by_age.insert((now_ms, sequence));
        let holder = holder(claim);
        if was_open {
            self.close(holder, sequence);
        }
    }

    fn close(&mut self, holder: (NodeId, Incarnation), sequence: u64) {
        self.open -= 1;
        if let Some(sequences) = self.open_by_holder.get_mut(&holder) {
            sequences.remove(&sequence);
            if sequences.is_empty() {
                self.open_by_holder.remove(&holder);
            }
        }
    }
}

/// A claim as an entry sends it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) key: &'a ClaimKey,
    pub(crate) fingerprint: &'a [u8; 32],
    pub(crate) request: RequestId,
}

fn holder(claim: &Claim) -> (NodeId, Incarnation) {
    (claim.request.node, claim.request.incarnation)
}

fn key_fits(key: &ClaimKey) -> bool {
    key.workspace.len() <= MAX_NAME_BYTES
        && key.service.len() <= MAX_NAME_BYTES
        && key.key.len() <= MAX_KEY_BYTES
}

fn key_bytes(key: &ClaimKey) -> u64 {
    let text_bytes = key.workspace.len() + key.service.len() + key.key.len();
    CLAIM_OVERHEAD_BYTES + text_bytes as u64
}

fn answer_bytes(answer: &StoredAnswer) -> u64 {
    // Each header holds two strings of 24 bytes besides its text.
    let headers: usize =
        answer.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
    (headers + answer.body.as_ref().map_or(0, Vec::len)) as u64
}

fn claim_bytes(claim: &Claim) -> u64 {
    let answer = match &claim.status {
        ClaimStatus::Finished(answer) => answer_bytes(answer),
        ClaimStatus::Open | ClaimStatus::HolderLost | ClaimStatus::Abandoned => 0,
    };
    key_bytes(&claim.key) + answer
}
