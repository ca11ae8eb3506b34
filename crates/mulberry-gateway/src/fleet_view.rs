//! A gateway's view of targets, zones and other gateways.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_directory::{
    AnnouncementOutcome, GatewayChanges, GatewayInfo, GatewayList, TargetDigest, TargetKeys,
    TargetRecord, TargetState, TargetTable,
};
use xxhash_rust::xxh3::Xxh3;

/// A gateway's view of targets, zones and other gateways.
#[derive(Debug, Default)]
pub struct FleetView {
    targets: TargetTable,

    /// Digest of `targets`, until they change.
    digest: Option<TargetDigest>,

    /// When each target stops being cold.
    warm_at_ms: HashMap<Arc<str>, u64>,

    /// Targets that registries restored from storage at their start, until a registry hears from them or most
    /// registries agree.
    restored: HashMap<Arc<str>, RestoredTarget>,

    /// Targets that further registries restored, without their records.
    restored_keys: HashMap<SocketAddr, TargetKeys>,

    /// Targets that have told this gateway that they are leaving, with their start times.
    leaving: HashMap<Arc<str>, u64>,

    evacuated: BTreeSet<Arc<str>>,
    evacuated_index: u64,

    /// Targets that each linked registry has not heard from recently.
    silent: HashMap<SocketAddr, HashSet<Arc<str>>>,

    /// Time since which no linked registry has heard from a target.
    silent_since_ms: HashMap<Arc<str>, u64>,

    /// Gateways reported by each linked registry, and the merged list.
    gateways_by_registry: HashMap<SocketAddr, GatewayList>,
    gateways: GatewayList,

    /// Number of changes to the merged list of gateways.
    gateway_changes: u64,

    /// Maximum number of gateways known at any time. Used as the divisor of common limits, so that this gateway's share
    /// does not grow when a link is lost.
    max_gateways: usize,
}

/// A target that may have left since a registry stored it.
#[derive(Debug)]
struct RestoredTarget {
    record: TargetRecord,
    registries: HashSet<SocketAddr>,
}

impl FleetView {
    /// Applies announcements. Returns true if anything changed.
    pub fn apply_announcements(&mut self, now_ms: u64, records: Vec<TargetRecord>) -> bool {
        let mut has_changed = false;
        for record in records {
            let id = record.id.clone();
            self.restored.remove(&id);
            let warm_at_ms = now_ms.saturating_add(record.cold_remaining_ms);
            if self.targets.apply(now_ms, record) != AnnouncementOutcome::Outdated {
                self.warm_at_ms.insert(id, warm_at_ms);
                self.digest = None;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Digest of the targets that have not left.
    pub fn target_digest(&mut self) -> TargetDigest {
        let records = self.targets.iter().map(|(record, _)| record);
        *self.digest.get_or_insert_with(|| TargetDigest::of(records))
    }

    /// Records targets that a registry restored from storage at its start, without using them yet.
    pub fn add_restored(&mut self, registry: SocketAddr, records: Vec<TargetRecord>) {
        for record in records {
            let restored = self.restored.entry(record.id.clone()).or_insert_with(|| {
                RestoredTarget { record: record.clone(), registries: HashSet::new() }
            });
            restored.registries.insert(registry);
            if (record.started_ms, record.sequence)
                > (restored.record.started_ms, restored.record.sequence)
            {
                restored.record = record;
            }
        }
    }

    /// Like [`FleetView::add_restored`], from a registry that leaves the records to others.
    pub fn add_restored_keys(&mut self, registry: SocketAddr, keys: TargetKeys) {
        self.restored_keys.insert(registry, keys);
    }

    /// Makes the targets usable that more than half of the registries restored. Returns true if anything changed.
    pub fn confirm_by_majority(&mut self, now_ms: u64, registries: usize) -> bool {
        let is_agreed = |restored: &RestoredTarget| {
            let keys = self.restored_keys.iter().filter(|(registry, keys)| {
                !restored.registries.contains(registry) && keys.contains(&restored.record.id)
            });
            (restored.registries.len() + keys.count()) * 2 > registries
        };
        let agreed = self.restored.values().filter(|restored| is_agreed(restored));
        let agreed = agreed.map(|restored| restored.record.clone()).collect();
        self.apply_announcements(now_ms, agreed)
    }

    /// Makes restored targets usable that a registry has heard from. Returns true if anything changed.
    pub fn confirm_seen(&mut self, now_ms: u64, ids: &[Arc<str>]) -> bool {
        let seen = ids.iter().filter_map(|id| self.restored.remove(id));
        let seen = seen.map(|restored| restored.record).collect();
        self.apply_announcements(now_ms, seen)
    }

    /// Records that a target reported itself as cold.
    pub fn set_cold(&mut self, now_ms: u64, id: &Arc<str>, cold_ms: u64) {
        self.warm_at_ms.insert(id.clone(), now_ms.saturating_add(cold_ms));
    }

    /// Records that a target has said in a response that it is leaving. Returns true unless that was known.
    pub fn set_leaving(&mut self, id: &Arc<str>) -> bool {
        let Some(record) = self.targets.get(id) else { return false };
        self.leaving.insert(id.clone(), record.started_ms) != Some(record.started_ms)
    }

    /// Whether this start of a target has said that it is leaving.
    pub fn is_leaving(&self, record: &TargetRecord) -> bool {
        self.leaving.get(&record.id) == Some(&record.started_ms)
    }

    /// Forgets targets that have left, or started anew.
    pub fn expire_leaving(&mut self) {
        let targets = &self.targets;
        self.leaving.retain(|id, started_ms| {
            targets.get(id).is_some_and(|record| {
                record.started_ms == *started_ms && record.state != TargetState::Gone
            })
        });
    }

    /// Records the evacuated zones as of a log index. Returns true unless the index is outdated.
    pub fn set_evacuated(&mut self, index: u64, zones: Vec<Arc<str>>) -> bool {
        if index <= self.evacuated_index {
            return false;
        }
        self.evacuated_index = index;
        self.evacuated = zones.into_iter().collect();
        true
    }

    pub fn evacuated(&self) -> &BTreeSet<Arc<str>> {
        &self.evacuated
    }

    /// Records the targets that a linked registry has not heard from recently.
    pub fn set_silent(&mut self, now_ms: u64, registry: SocketAddr, ids: Vec<Arc<str>>) {
        self.silent.insert(registry, ids.into_iter().collect());
        self.update_silence(now_ms);
    }

    /// Applies changes to the targets that a linked registry has not heard from recently.
    pub fn change_silent(
        &mut self,
        now_ms: u64,
        registry: SocketAddr,
        added: Vec<Arc<str>>,
        removed: &[Arc<str>],
    ) {
        let silent = self.silent.entry(registry).or_default();
        for id in removed {
            silent.remove(id);
        }
        silent.extend(added);
        self.update_silence(now_ms);
    }

    /// Removes the reports of a registry whose link is lost.
    pub fn registry_lost(&mut self, now_ms: u64, registry: SocketAddr) {
        self.silent.remove(&registry);
        self.update_silence(now_ms);
        self.gateways_by_registry.remove(&registry);
        // Without any link, the last known gateways are the best estimate.
        if !self.gateways_by_registry.is_empty() {
            self.update_gateways();
        }
    }

    /// Time since which no linked registry has heard from a target.
    pub fn silent_since_ms(&self, id: &str) -> Option<u64> {
        self.silent_since_ms.get(id).copied()
    }

    /// Records all gateways that a registry knows. Returns true if the merged list changed.
    pub fn set_gateways(&mut self, registry: SocketAddr, gateways: Vec<GatewayInfo>) -> bool {
        self.gateways_by_registry.insert(registry, GatewayList::merged(gateways));
        self.update_gateways()
    }

    /// Applies changes to the gateways that a registry knows. Returns true if the merged list changed.
    pub fn change_gateways(&mut self, registry: SocketAddr, changes: GatewayChanges) -> bool {
        self.gateways_by_registry.entry(registry).or_default().apply(changes);
        self.update_gateways()
    }

    fn update_gateways(&mut self) -> bool {
        let reported = self.gateways_by_registry.values().flat_map(GatewayList::infos);
        let all = GatewayList::merged(reported.cloned());
        if all == self.gateways {
            return false;
        }
        self.gateway_changes += 1;
        self.max_gateways = self.max_gateways.max(all.infos().count());
        self.gateways = all;
        true
    }

    pub fn gateways(&self) -> impl Iterator<Item = &GatewayInfo> {
        self.gateways.infos()
    }

    /// Number of gateways among which a common limit is divided.
    pub fn sharing_gateways(&self) -> usize {
        self.max_gateways.max(1)
    }

    /// Number of changes to the merged list of gateways.
    pub fn gateway_changes(&self) -> u64 {
        self.gateway_changes
    }

    /// Rank of a gateway among all gateways at a target, starting at 0. Each target has a different order.
    pub fn rank_at(&self, target: &str, gateway: &str) -> u32 {
        let hash = |gateway: &str| {
            let mut hasher = Xxh3::new();
            hasher.update(target.as_bytes());
            hasher.update(b"/");
            hasher.update(gateway.as_bytes());
            hasher.digest()
        };
        let own = hash(gateway);
        let before = self.gateways.infos().filter(|info| hash(&info.name) < own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Targets of a service that have not left.
    pub fn present<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetRecord> + 'a {
        self.targets
            .iter()
            .map(|(record, _)| record)
            .filter(move |record| &*record.service == service && record.state != TargetState::Gone)
    }

    pub fn get(&self, id: &str) -> Option<&TargetRecord> {
        self.targets.get(id)
    }

    /// Targets of a service that may get new requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetRecord> + 'a {
        self.targets
            .iter()
            .map(|(record, _)| record)
            .filter(move |record| &*record.service == service && self.may_get_requests(record))
    }

    /// Whether a target may get a new request.
    pub fn is_usable(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| self.may_get_requests(record))
    }

    fn may_get_requests(&self, record: &TargetRecord) -> bool {
        record.state == TargetState::Ready
            && !self.evacuated.contains(&record.zone)
            && !self.is_leaving(record)
    }

    /// Whether a target is known and has not left.
    pub fn is_present(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| record.state != TargetState::Gone)
    }

    /// Remaining time for which a target is cold.
    pub fn cold_left_ms(&self, now_ms: u64, id: &str) -> u64 {
        self.warm_at_ms.get(id).map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    fn update_silence(&mut self, now_ms: u64) {
        let mut lists = self.silent.values();
        let Some(first) = lists.next() else {
            self.silent_since_ms.clear();
            return;
        };
        let silent: HashSet<Arc<str>> = lists.fold(first.clone(), |all, list| &all & list);
        self.silent_since_ms.retain(|id, _| silent.contains(id));
        for id in silent {
            self.silent_since_ms.entry(id).or_insert(now_ms);
        }
    }
}
