//! Merged view of the digests of all homes.
//!
//! The owner of a view updates it and publishes snapshots behind an `ArcSwap`. Cloning a view copies
//! one pointer per home. All snapshots share the reservations that no digest shows yet, so that
//! existing snapshots include new ones too.

use std::sync::Arc;

use mulberry_types::{
    Configuration, HomeDigest, Membership, MembershipEpoch, Priority, TargetDigest, TargetKind,
};

use crate::{CostModel, InFlightReservations, LongPrefillCap};

/// A home without a digest for this long has lost its lease or is disconnected.
const DIGEST_TIMEOUT_MS: u64 = 3_000;

/// Minimum interval between computations of the long prefill cap: the interval of digests.
const CAP_INTERVAL_MS: u64 = 250;

/// Newest digest of one home.
#[derive(Debug)]
struct ReceivedDigest {
    received_ms: u64,
    digest: HomeDigest,
}

/// Work ahead of a request, for [`crate::AdmissionController`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Targets that accept new work.
    pub ready_targets: u32,

    /// Ready targets that have a slot and some memory free.
    pub free_targets: u32,

    /// Shortest queue of prompts at or above the priority, in prefill time.
    pub shortest_queue_ms: u64,

    /// Prefill speed of the fastest ready engine.
    pub best_tokens_per_s: u32,

    /// Prefill speed of all ready engines together.
    pub tokens_per_s: u64,
}

/// What this entry knows about the targets of all homes.
#[derive(Debug, Clone)]
pub struct FleetView {
    membership: Arc<Membership>,

    /// Newest digest of each home, ordered by node.
    digests: Vec<Arc<ReceivedDigest>>,

    in_flight: Arc<InFlightReservations>,

    /// When the view was last prepared for publication.
    prepared_ms: u64,

    /// Cap of long prefills and when it was computed.
    long_prefill_cap: Option<(u64, Arc<LongPrefillCap>)>,
}

impl FleetView {
    /// A view without targets.
    #[must_use]
    pub fn new(in_flight: Arc<InFlightReservations>) -> FleetView {
        FleetView {
            membership: Arc::new(Membership::default()),
            digests: Vec::new(),
            in_flight,
            prepared_ms: 0,
            long_prefill_cap: None,
        }
    }

    /// Applies a digest, including the entry's own. Returns `false` if it was dropped because it is
    /// not newer than the last one of its home or comes from an entry that is no longer a member.
    pub fn apply(&mut self, now_ms: u64, digest: HomeDigest) -> bool {
        if digest.epoch <= self.membership.epoch && !is_member(&self.membership, &digest) {
            return false;
        }
        let position =
            self.digests.binary_search_by_key(&digest.node, |received| received.digest.node);
        if let Ok(position) = position {
            let newest = &self.digests[position].digest;
            let is_outdated = if newest.incarnation == digest.incarnation {
                digest.sequence <= newest.sequence
            } else {
                digest.epoch <= newest.epoch
            };
            if is_outdated {
                return false;
            }
        }
        let received = Arc::new(ReceivedDigest { received_ms: now_ms, digest });
        match position {
            Ok(position) => self.digests[position] = received,
            Err(position) => self.digests.insert(position, received),
        }
        true
    }

    /// Applies a membership and drops the digests of entries that are no longer members.
    pub fn membership_applied(&mut self, membership: &Arc<Membership>) {
        if membership.epoch < self.membership.epoch {
            return;
        }
        self.membership = Arc::clone(membership);
        self.digests.retain(|received| {
            received.digest.epoch > membership.epoch || is_member(membership, &received.digest)
        });
        self.long_prefill_cap = None;
    }

    /// Drops digests that were not replaced within 3 s. Call this at least once a second.
    pub fn prune(&mut self, now_ms: u64) {
        self.digests.retain(|received| now_ms < received.received_ms + DIGEST_TIMEOUT_MS);
        self.in_flight.prune(now_ms);
    }

    /// Prepares the view for publication. Call this immediately before storing the snapshot.
    ///
    /// Removes the in-flight reservations that the new digests include. If they were removed when a
    /// digest arrives, they would be missing from the ranking with the older snapshot that is still in
    /// use. Also computes the cap
    /// of long prefills, at most every 250 ms; without this call, each ranking of a long prompt
    /// computes it again.
    ///
    /// A full-size fleet has 330 homes that send a digest every 250 ms. Apply digests as they
    /// arrive, and publish a snapshot a few times a second.
    pub fn prepare(&mut self, now_ms: u64, configuration: &Configuration) {
        for received in
            self.digests.iter().filter(|received| received.received_ms >= self.prepared_ms)
        {
            self.in_flight.digest_applied(received.received_ms, &received.digest);
        }
        self.prepared_ms = now_ms;
        if self.long_prefill_cap.as_ref().is_none_or(|(at_ms, _)| now_ms >= at_ms + CAP_INTERVAL_MS)
        {
            let cap = LongPrefillCap::of(self, configuration);
            self.long_prefill_cap = Some((now_ms, Arc::new(cap)));
        }
    }

    /// Cap of long prefills according to this view.
    #[must_use]
    pub fn long_prefill_cap(&self, configuration: &Configuration) -> Arc<LongPrefillCap> {
        match &self.long_prefill_cap {
            Some((_, cap)) => Arc::clone(cap),
            None => Arc::new(LongPrefillCap::of(self, configuration)),
        }
    }

    /// Targets of all homes. While a target moves, its old and its new home may both list it.
    pub fn targets(&self) -> impl Iterator<Item = (&HomeDigest, &TargetDigest)> {
        self.digests.iter().flat_map(|received| {
            received.digest.targets.iter().map(|target| (&received.digest, target))
        })
    }

    /// Targets of the homes that have sent a digest within the last 3 s.
    pub fn fresh_targets(&self, now_ms: u64) -> impl Iterator<Item = (&HomeDigest, &TargetDigest)> {
        self.digests
            .iter()
            .filter(move |received| now_ms < received.received_ms + DIGEST_TIMEOUT_MS)
            .flat_map(|received| {
                received.digest.targets.iter().map(|target| (&received.digest, target))
            })
    }

    /// Digest of one target, from the home with the newest epoch.
    #[must_use]
    pub fn target(&self, target: &str) -> Option<&TargetDigest> {
        self.targets()
            .filter(|(_, digest)| &*digest.target == target)
            .max_by_key(|(home, _)| home.epoch)
            .map(|(_, digest)| digest)
    }

    /// Work ahead of a request of this priority for a model or service.
    #[must_use]
    pub fn backlog(
        &self,
        now_ms: u64,
        service: &str,
        priority: Priority,
        configuration: &Configuration,
    ) -> Backlog {
        let loads = self.in_flight.loads();
        let mut backlog = Backlog {
            ready_targets: 0,
            free_targets: 0,
            shortest_queue_ms: u64::MAX,
            best_tokens_per_s: 0,
            tokens_per_s: 0,
        };
        for (_, target) in self.fresh_targets(now_ms) {
            if !serves(&target.kind, service) || !is_ready(target, configuration) {
                continue;
            }
            let added = loads.of(&target.target);
            let ahead = tokens_ahead(&target.queued_prompt_tokens, priority)
                + tokens_ahead(&added.prompt_tokens, priority);
            let queue_ms = CostModel::estimate_ms(target.prefill_tokens_per_s, ahead, 0);
            backlog.ready_targets += 1;
            let has_memory = target.memory_tokens == 0 || target.free_tokens > added.tokens;
            if target.free_slots > added.slots && has_memory {
                backlog.free_targets += 1;
            }
            backlog.shortest_queue_ms = backlog.shortest_queue_ms.min(queue_ms);
            backlog.best_tokens_per_s = backlog.best_tokens_per_s.max(target.prefill_tokens_per_s);
            backlog.tokens_per_s += u64::from(target.prefill_tokens_per_s);
        }
        if backlog.ready_targets == 0 {
            backlog.shortest_queue_ms = 0;
        }
        backlog
    }

    /// Reservations of this entry that no digest shows yet.
    #[must_use]
    pub fn in_flight(&self) -> &Arc<InFlightReservations> {
        &self.in_flight
    }

    /// Newest membership that the view knows.
    #[must_use]
    pub fn epoch(&self) -> MembershipEpoch {
        self.membership.epoch
    }
}

fn is_member(membership: &Membership, digest: &HomeDigest) -> bool {
    membership.member(digest.node).is_some_and(|member| member.incarnation == digest.incarnation)
}

/// Whether a target serves the model or service of this name.
pub(crate) fn serves(kind: &TargetKind, service: &str) -> bool {
    match kind {
        TargetKind::Engine { models } => models.iter().any(|model| &**model == service),
        TargetKind::Service { service: name } => &**name == service,
    }
}

/// Whether a target accepts new work at all. Also checks the entry's own configuration, because it
/// may be newer than the one that the home used for the digest.
pub(crate) fn is_ready(target: &TargetDigest, configuration: &Configuration) -> bool {
    target.takes_work
        && configuration.zone_is_in(&target.zone)
        && configuration.target_is_in(&target.target)
}

/// Sum of the tokens at or above a priority.
pub(crate) fn tokens_ahead(by_priority: &[u64; 3], priority: Priority) -> u64 {
    by_priority[priority as usize..].iter().sum()
}
