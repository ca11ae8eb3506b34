//! What a gateway knows of targets, zones and other gateways.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_directory::{
    AnnouncementOutcome, GatewayChanges, GatewayInfo, GatewayList, TargetRecord, TargetState,
    TargetTable,
};
use xxhash_rust::xxh3::Xxh3;

/// What a gateway knows of targets, zones and other gateways.
#[derive(Debug, Default)]
pub struct FleetView {
    targets: TargetTable,

    /// When each target stops being cold.
    warm_at_ms: HashMap<Arc<str>, u64>,

    /// Targets that registries noted before their start, until they are heard from or most registries agree.
    noted: HashMap<Arc<str>, NotedTarget>,

    evacuated: BTreeSet<Arc<str>>,
    evacuated_index: u64,

    /// Targets that each linked registry has not heard from lately.
    silent: HashMap<SocketAddr, HashSet<Arc<str>>>,

    /// Since when all linked registries have missed a target.
    silent_since_ms: HashMap<Arc<str>, u64>,

    /// Gateways as each linked registry tells of them, and all of them.
    told_gateways: HashMap<SocketAddr, GatewayList>,
    gateways: GatewayList,

    /// Times that the gateways changed.
    gateway_changes: u64,

    /// Most gateways seen at a time, so that a share of a common limit does not grow when a link is lost.
    most_gateways: usize,
}

/// A target that may have left since it was noted.
#[derive(Debug)]
struct NotedTarget {
    record: TargetRecord,
    registries: HashSet<SocketAddr>,
}

impl FleetView {
    /// Records announcements. True when anything changed.
    pub fn observe(&mut self, now_ms: u64, records: Vec<TargetRecord>) -> bool {
        let mut has_changed = false;
        for record in records {
            let id = record.id.clone();
            self.noted.remove(&id);
            let warm_at_ms = now_ms + record.cold_remaining_ms;
            if self.targets.apply(now_ms, record) != AnnouncementOutcome::Outdated {
                self.warm_at_ms.insert(id, warm_at_ms);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Records targets that a registry noted before its start.
    pub fn note(&mut self, registry: SocketAddr, records: Vec<TargetRecord>) {
        for record in records {
            let noted = self.noted.entry(record.id.clone()).or_insert_with(|| NotedTarget {
                record: record.clone(),
                registries: HashSet::new(),
            });
            noted.registries.insert(registry);
            if (record.started_ms, record.sequence)
                > (noted.record.started_ms, noted.record.sequence)
            {
                noted.record = record;
            }
        }
    }

    /// Uses the targets that more than half of the registries have noted. True when anything changed.
    pub fn observe_agreed(&mut self, now_ms: u64, registries: usize) -> bool {
        let is_agreed = |noted: &NotedTarget| noted.registries.len() * 2 > registries;
        let agreed = self.noted.values().filter(|noted| is_agreed(noted));
        let agreed = agreed.map(|noted| noted.record.clone()).collect();
        self.observe(now_ms, agreed)
    }

    /// Uses targets that were noted, since a registry has heard from them. True when anything changed.
    pub fn hear_noted(&mut self, now_ms: u64, ids: &[Arc<str>]) -> bool {
        let heard = ids.iter().filter_map(|id| self.noted.remove(id));
        let heard = heard.map(|noted| noted.record).collect();
        self.observe(now_ms, heard)
    }

    /// Records that a target answered as cold.
    pub fn set_cold(&mut self, now_ms: u64, id: &Arc<str>, cold_ms: u64) {
        self.warm_at_ms.insert(id.clone(), now_ms + cold_ms);
    }

    /// Records the evacuated zones as of an index. True when they changed.
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

    /// Records the targets that a linked registry misses.
    pub fn set_silent(&mut self, now_ms: u64, registry: SocketAddr, ids: Vec<Arc<str>>) {
        self.silent.insert(registry, ids.into_iter().collect());
        self.update_silence(now_ms);
    }

    /// Forgets what a registry missed, since its link is lost.
    pub fn registry_lost(&mut self, now_ms: u64, registry: SocketAddr) {
        self.silent.remove(&registry);
        self.update_silence(now_ms);
        self.told_gateways.remove(&registry);
        // Without any link the gateways that were known last are the best guess.
        if !self.told_gateways.is_empty() {
            self.update_gateways();
        }
    }

    /// Since when all linked registries have missed a target.
    pub fn silent_since_ms(&self, id: &str) -> Option<u64> {
        self.silent_since_ms.get(id).copied()
    }

    /// Records all gateways that a registry knows. True when those known here changed.
    pub fn set_gateways(&mut self, registry: SocketAddr, gateways: Vec<GatewayInfo>) -> bool {
        self.told_gateways.insert(registry, GatewayList::merged(gateways));
        self.update_gateways()
    }

    /// Records what has changed of the gateways that a registry knows. True when those known here changed.
    pub fn change_gateways(&mut self, registry: SocketAddr, changes: GatewayChanges) -> bool {
        self.told_gateways.entry(registry).or_default().apply(changes);
        self.update_gateways()
    }

    fn update_gateways(&mut self) -> bool {
        let told = self.told_gateways.values().flat_map(GatewayList::infos);
        let all = GatewayList::merged(told.cloned());
        if all == self.gateways {
            return false;
        }
        self.gateway_changes += 1;
        self.most_gateways = self.most_gateways.max(all.infos().count());
        self.gateways = all;
        true
    }

    pub fn gateways(&self) -> impl Iterator<Item = &GatewayInfo> {
        self.gateways.infos()
    }

    /// Gateways among which a common limit is shared.
    pub fn sharing_gateways(&self) -> usize {
        self.most_gateways.max(1)
    }

    /// Times that the gateways changed.
    pub fn gateway_changes(&self) -> u64 {
        self.gateway_changes
    }

    /// Rank of a gateway among all at a target, from 0. Each target has an order of its own.
    pub fn rank_at(&self, target: &str, gateway: &str) -> u32 {
        let order = |gateway: &str| {
            let mut hasher = Xxh3::new();
            hasher.update(target.as_bytes());
            hasher.update(b"/");
            hasher.update(gateway.as_bytes());
            hasher.digest()
        };
        let own = order(gateway);
        let before = self.gateways.infos().filter(|info| order(&info.name) < own).count();
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
        self.targets.iter().map(|(record, _)| record).filter(move |record| {
            &*record.service == service
                && record.state == TargetState::Ready
                && !self.evacuated.contains(&record.zone)
        })
    }

    /// Whether a target may get a new request.
    pub fn is_usable(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| {
            record.state == TargetState::Ready && !self.evacuated.contains(&record.zone)
        })
    }

    /// Whether a target is known and has not left.
    pub fn is_present(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| record.state != TargetState::Gone)
    }

    /// How much longer a target is cold.
    pub fn cold_left_ms(&self, now_ms: u64, id: &str) -> u64 {
        self.warm_at_ms.get(id).map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    fn update_silence(&mut self, now_ms: u64) {
        let mut lists = self.silent.values();
        let Some(first) = lists.next() else {
            self.silent_since_ms.clear();
            return;
        };
        let missed: HashSet<Arc<str>> = lists.fold(first.clone(), |all, list| &all & list);
        self.silent_since_ms.retain(|id, _| missed.contains(id));
        for id in missed {
            self.silent_since_ms.entry(id).or_insert(now_ms);
        }
    }
}
