//! The whole replicated state.

use std::sync::Arc;

use mulberry_types::{
    Configuration, ConfigurationUpdate, ConfigurationVersion, Incarnation, Member, Membership,
    NodeId,
};

use crate::change_table::ChangeTable;
use crate::claim_table::{Attempt, ClaimTable};
use crate::member_table::MemberTable;
use crate::permit_bucket::PermitBucket;
use crate::{AuditPage, ClaimCounts, Command, Reply, StateLimits};

/// Configuration, audit trail, members, claims and permits of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetState {
    pub(crate) limits: StateLimits,
    pub(crate) applied_index: u64,
    pub(crate) now_ms: u64,
    pub(crate) changes: ChangeTable,
    pub(crate) members: MemberTable,
    pub(crate) claims: ClaimTable,
    pub(crate) permits: PermitBucket,
}

impl FleetState {
    /// Empty state. All replicas must start with equal limits; later ones come with `SetLimits`.
    pub fn new(limits: StateLimits) -> FleetState {
        FleetState { limits, ..FleetState::default() }
    }

    /// Applies the command of the log entry at `index`.
    ///
    /// Entries that are applied already are skipped, so a replay after a restart is harmless.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        if index <= self.applied_index {
            return Reply::AlreadyApplied;
        }
        self.applied_index = index;
        self.now_ms = self.now_ms.max(command.now_ms());
        let now_ms = self.now_ms;
        match command {
            Command::Change { change, .. } => {
                Reply::Change(self.changes.apply(now_ms, change, &self.limits))
            }
            Command::Join { member, .. } => self.join(member),
            Command::Leave { node, incarnation, .. } => self.remove(*node, *incarnation, true),
            Command::Expire { node, incarnation, .. } => self.remove(*node, *incarnation, false),
            Command::Claim { key, fingerprint, request, .. } => {
                self.claim(Attempt { key, fingerprint, request: *request })
            }
            Command::FinishClaim { key, request, answer, .. } => {
                Reply::Settle(self.claims.finish(now_ms, key, *request, answer, &self.limits))
            }
            Command::ReleaseClaim { key, request, .. } => {
                Reply::Settle(self.claims.release(now_ms, key, *request, &self.limits))
            }
            Command::AbandonClaim { key, request, .. } => {
                Reply::Settle(self.claims.abandon(now_ms, key, *request))
            }
            Command::ExpireClaims { .. } => {
                let (removed, more) = self.claims.expire(now_ms, &self.limits);
                Reply::Expired { removed, more }
            }
            Command::TakePermit { bytes, .. } => {
                Reply::Permit(self.permits.take(now_ms, *bytes, &self.limits))
            }
            Command::SetLimits { limits, .. } => {
                if let Err(problem) = limits.check() {
                    return Reply::LimitsRejected { problem };
                }
                self.limits = limits.clone();
                self.changes.enforce(&self.limits);
                self.claims.enforce(&self.limits);
                Reply::LimitsSet
            }
        }
    }

    /// The accepted configuration; replaced as a whole by each change.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.changes.configuration
    }

    /// Version of the configuration; 0 before the first change.
    pub fn version(&self) -> ConfigurationVersion {
        self.changes.version
    }

    /// The live entries, replaced as a whole when the set changes.
    pub fn membership(&self) -> &Arc<Membership> {
        &self.members.membership
    }

    /// The bounds in force.
    pub fn limits(&self) -> &StateLimits {
        &self.limits
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Latest time seen in a command, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// What an entry at `version` lacks: the operations since then, or the whole configuration when they
    /// are no longer kept or too long. `None` when `version` is not older than the current one.
    pub fn update_since(&self, version: ConfigurationVersion) -> Option<ConfigurationUpdate> {
        self.changes.update_since(version, &self.limits)
    }

    /// Audit records of the changes that led to the versions from `first` to `last`, both included, at
    /// most `max_records`.
    pub fn audit(
        &self,
        first: ConfigurationVersion,
        last: ConfigurationVersion,
        max_records: usize,
    ) -> AuditPage {
        self.changes.audit_page(first, last, max_records)
    }

    /// Sizes of the claim table, for metrics.
    pub fn claim_counts(&self) -> ClaimCounts {
        self.claims.counts()
    }

    fn join(&mut self, member: &Member) -> Reply {
        let (reply, replaced) = self.members.join(member, self.limits.members);
        if let Some(incarnation) = replaced {
            self.claims.lose_holder(self.now_ms, member.node, incarnation);
        }
        Reply::Join(reply)
    }

    fn remove(&mut self, node: NodeId, incarnation: Incarnation, by_plan: bool) -> Reply {
        let removed = self.members.remove(node, incarnation, by_plan);
        if removed {
            self.claims.lose_holder(self.now_ms, node, incarnation);
        }
        Reply::Removed { removed, epoch: self.membership().epoch }
    }

    fn claim(&mut self, attempt: Attempt<'_>) -> Reply {
        let request = attempt.request;
        let is_member = self.members.is_member(request.node, request.incarnation);
        match self.claims.claim(self.now_ms, attempt, is_member, &self.limits) {
            Ok(reply) => Reply::Claim(reply),
            Err(refusal) => Reply::ClaimRefused(refusal),
        }
    }
}
