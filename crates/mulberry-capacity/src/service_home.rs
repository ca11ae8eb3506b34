//! The home of a service: merges the digests of all gateways into one estimate of each target.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{
    CapacityView, LoadDigest, MAX_TARGETS, Observation, RouteReference, TargetCapacity,
    TargetEstimate, TargetLoad,
};

/// Time without news after which the requests of a gateway at a target no longer count as in flight.
const IN_FLIGHT_TIMEOUT_MS: u64 = 1_500;

/// Time without a digest after which a gateway gets no more views.
const SUBSCRIPTION_MS: u64 = 5_000;

/// Time for which the counts of a silent gateway are kept, so that its next digest is compared with the last one.
const COUNTS_TIMEOUT_MS: u64 = 60_000;

/// Maximum time between two views.
const HEARTBEAT_MS: u64 = 2_000;

/// Change of a limit or slowness that is reported at once.
const REPORTED_CHANGE: f64 = 0.2;

/// Change of a load, as a share of the limit, that is reported at once.
const REPORTED_LOAD_CHANGE: f64 = 0.25;

/// Number of requests and time over which the usual time of a route is averaged.
const ROUTE_MEMORY: u32 = 100;
const ROUTE_MEMORY_S: f64 = 30.0;

/// Share by which the usual slowness moves towards 1 with each update.
const ANCHOR_WEIGHT: f64 = 0.05;

/// Maximum number of routes of a service whose times are compared.
const MAX_ROUTES: usize = 256;

/// Share of the requests of a service that may try targets from which gateways turn away.
const TRIAL_SHARE: f64 = 0.02;

/// Trials of one target in a second.
const TRIALS_PER_S: f64 = 1.0;

/// Slowness relative to the usual one of the service from which a target needs trials.
const TRIED_SLOWNESS: f64 = 1.3;

/// Share of failures beyond the usual from which a target needs trials.
const TRIED_FAILURES: f64 = 0.15;

/// Share by which the smoothed rate of requests moves towards the newest sample.
const RATE_WEIGHT: f64 = 0.2;

/// State of this gateway as the home of a service.
#[derive(Debug)]
pub struct ServiceHome {
    service: Arc<str>,
    home: u64,
    sequence: u32,
    targets: BTreeMap<Arc<str>, Target>,
    routes: HashMap<u32, Route>,
    gateways: HashMap<u64, GatewayLoads>,
    rate_per_s: f64,
    updated_ms: u64,
    viewed_ms: Option<u64>,
    viewed: Vec<TargetCapacity>,
}

#[derive(Debug)]
struct Target {
    estimate: TargetEstimate,

    /// What has been seen since the last update.
    seen: Observation,

    /// Served requests since the last update by route: count and sum of logarithms of their times,
    /// in thousandths.
    times: BTreeMap<u32, (u32, u64)>,
}

/// Usual time of a route at a target with a slowness of 1.
#[derive(Debug, Clone, Copy)]
struct Route {
    log_ms: f64,
    count: u32,
}

/// Newest digest of one gateway, by target.
#[derive(Debug, Default)]
struct GatewayLoads {
    sequence: u32,
    heard_ms: u64,
    targets: HashMap<Arc<str>, (u64, TargetLoad)>,
}

impl ServiceHome {
    pub fn new(now_ms: u64, service: Arc<str>, home: u64) -> ServiceHome {
        ServiceHome {
            service,
            home,
            sequence: 0,
            targets: BTreeMap::new(),
            routes: HashMap::new(),
            gateways: HashMap::new(),
            rate_per_s: 0.0,
            updated_ms: now_ms,
            viewed_ms: None,
            viewed: Vec::new(),
        }
    }

    /// Sets the targets and the requests that each declares to take at once.
    pub fn set_targets(&mut self, now_ms: u64, targets: &[(Arc<str>, u32)]) {
        self.targets.retain(|id, _| targets.iter().any(|(target, _)| target == id));
        for (id, slots) in targets.iter().take(MAX_TARGETS) {
            match self.targets.get_mut(id) {
                Some(target) => target.estimate.set_slots(*slots),
                None => {
                    let estimate = TargetEstimate::new(now_ms, *slots);
                    let seen = Observation::default();
                    let target = Target { estimate, seen, times: BTreeMap::new() };
                    self.targets.insert(id.clone(), target);
                }
            }
        }
    }

    /// Continues with the last view of an earlier home.
    pub fn resume(&mut self, view: &CapacityView) {
        for capacity in &view.targets {
            if let Some(target) = self.targets.get_mut(&capacity.target) {
                target.estimate.resume(capacity.limit(), capacity.slowness());
            }
        }
        for reference in view.routes.iter().take(MAX_ROUTES) {
            let log_ms = (f64::from(reference.usual_us.max(1)) / 1_000.0).ln();
            self.routes.insert(reference.route, Route { log_ms, count: ROUTE_MEMORY });
        }
    }

    /// Merges a digest. Late and repeated ones are ignored.
    pub fn receive(&mut self, now_ms: u64, digest: &LoadDigest) {
        let is_new = !self.gateways.contains_key(&digest.gateway);
        let gateway = self.gateways.entry(digest.gateway).or_default();
        if !is_new && digest.sequence <= gateway.sequence {
            return;
        }
        gateway.sequence = digest.sequence;
        gateway.heard_ms = now_ms;
        for load in digest.targets.iter().take(MAX_TARGETS) {
            let Some(target) = self.targets.get_mut(&load.target) else { continue };
            let before = gateway.targets.insert(load.target.clone(), (now_ms, load.clone()));
            match before {
                Some((_, before)) => target.add(Some(&before), load),
                None if !is_new => target.add(None, load),
                // The first totals of a gateway say nothing about when its requests ran.
                None => {}
            }
        }
    }

    /// Whether gateways still send digests.
    pub fn is_in_use(&self, now_ms: u64) -> bool {
        let heard = self.gateways.values().map(|gateway| gateway.heard_ms).max();
        heard.is_some_and(|heard_ms| now_ms < heard_ms + SUBSCRIPTION_MS)
    }

    /// Gateways that have sent a digest lately.
    pub fn subscribers(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        let is_recent = move |gateway: &GatewayLoads| now_ms < gateway.heard_ms + SUBSCRIPTION_MS;
        self.gateways.iter().filter(move |(_, gateway)| is_recent(gateway)).map(|(id, _)| *id)
    }

    /// Estimate of a target.
    pub fn estimate(&self, target: &str) -> Option<&TargetEstimate> {
        self.targets.get(target).map(|target| &target.estimate)
    }

    pub fn estimates(&self) -> impl Iterator<Item = (&Arc<str>, &TargetEstimate)> {
        self.targets.iter().map(|(id, target)| (id, &target.estimate))
    }

    /// Updates all estimates, at a regular interval. Returns a view if it is due.
    pub fn update(&mut self, now_ms: u64) -> Option<CapacityView> {
        self.add_requests_in_flight(now_ms);
        let elapsed_s = now_ms.saturating_sub(self.updated_ms).max(1) as f64 / 1_000.0;
        self.updated_ms = now_ms;
        let usual = self.anchor();
        let mut ended = 0;
        let mut learned: BTreeMap<u32, (u32, f64)> = BTreeMap::new();
        for target in self.targets.values_mut() {
            for (route, (count, log_sum)) in std::mem::take(&mut target.times) {
                ended += count;
                let log_sum = log_sum as f64 / 1_000.0;
                // What the times would be at a target with a slowness of 1.
                let usual_sum = log_sum - target.estimate.log_slowness() * f64::from(count);
                if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
                    continue;
                }
                let known = self.routes.entry(route);
                let first = Route { log_ms: usual_sum / f64::from(count), count: 0 };
                let log_ms = known.or_insert(first).log_ms;
                target.seen.served += count;
                target.seen.log_ratio_sum += log_sum - log_ms * f64::from(count);
                let entry = learned.entry(route).or_default();
                entry.0 += count;
                entry.1 += usual_sum;
            }
            ended += target.seen.failed + target.seen.refused;
            target.estimate.update(now_ms, &target.seen, usual);
            target.seen = Observation::default();
        }
        for (route, (count, usual_sum)) in learned {
            if let Some(known) = self.routes.get_mut(&route) {
                known.learn(count, usual_sum / f64::from(count), elapsed_s);
            }
        }
        let rate_per_s = f64::from(ended) / elapsed_s;
        self.rate_per_s += (rate_per_s - self.rate_per_s) * RATE_WEIGHT;
        let targets = self.capacities(now_ms);
        if !self.is_view_due(now_ms, &targets) {
            return None;
        }
        self.viewed_ms = Some(now_ms);
        self.viewed.clone_from(&targets);
        self.sequence += 1;
        Some(CapacityView {
            service: self.service.clone(),
            home: self.home,
            sequence: self.sequence,
            routes: self.route_references(),
            targets,
        })
    }

    /// Moves the usual slowness towards 1 and the times of the routes with it, as only their products are observed.
    /// Returns the logarithm of the usual slowness.
    fn anchor(&mut self) -> f64 {
        let usual = median(self.targets.values().map(|target| target.estimate.log_slowness()));
        let shift = usual * ANCHOR_WEIGHT;
        self.targets.values_mut().for_each(|target| target.estimate.shift(shift));
        self.routes.values_mut().for_each(|route| route.log_ms += shift);
        usual - shift
    }

    /// Sums up the requests in flight and forgets gateways that are silent.
    fn add_requests_in_flight(&mut self, now_ms: u64) {
        self.gateways.retain(|_, gateway| now_ms < gateway.heard_ms + COUNTS_TIMEOUT_MS);
        for gateway in self.gateways.values_mut() {
            let targets = &self.targets;
            gateway.targets.retain(|id, _| targets.contains_key(id));
            for (id, (heard_ms, load)) in &gateway.targets {
                // A gateway repeats what is in flight with each digest.
                if load.in_flight == 0 || now_ms >= heard_ms + IN_FLIGHT_TIMEOUT_MS {
                    continue;
                }
                let Some(target) = self.targets.get_mut(id) else { continue };
                target.seen.in_flight += load.in_flight;
                let oldest = load.oldest.and_then(|(route, age_ms)| {
                    let usual = self.routes.get(&route)?;
                    Some(f64::from(age_ms.max(1)).ln() - usual.log_ms)
                });
                if oldest > target.seen.oldest_log_ratio {
                    target.seen.oldest_log_ratio = oldest;
                }
            }
        }
    }

    fn capacities(&self, now_ms: u64) -> Vec<TargetCapacity> {
        let estimates = || self.targets.values().map(|target| &target.estimate);
        let usual_slowness = median(estimates().map(TargetEstimate::slowness));
        let usual_failures = median(estimates().map(TargetEstimate::failure_share));
        let excess = |estimate: &TargetEstimate| estimate.failure_share() - usual_failures;
        let needs_trials = |estimate: &TargetEstimate| {
            estimate.slowness() > usual_slowness * TRIED_SLOWNESS
                || excess(estimate) > TRIED_FAILURES
                || estimate.is_idle(now_ms)
        };
        let tried = estimates().filter(|estimate| needs_trials(estimate)).count().max(1);
        let trial_share = (TRIALS_PER_S / self.rate_per_s.max(0.1)).min(TRIAL_SHARE / tried as f64);
        let capacity = |(id, target): (&Arc<str>, &Target)| {
            let estimate = &target.estimate;
            let is_tried = needs_trials(estimate) && estimate.load() < 1.0;
            TargetCapacity {
                target: id.clone(),
                load_tenths: whole(estimate.load() * 10.0),
                // Rounded down, so that it never exceeds the declared slots.
                limit_tenths: (estimate.limit() * 10.0) as u32,
                slowness_percent: whole(estimate.slowness() * 100.0).max(1),
                failure_percent: whole(excess(estimate).max(0.0) * 100.0),
                trial_permille: if is_tried { whole(trial_share * 1_000.0) } else { 0 },
            }
        };
        self.targets.iter().map(capacity).collect()
    }

    fn is_view_due(&self, now_ms: u64, targets: &[TargetCapacity]) -> bool {
        let is_heartbeat = self.viewed_ms.is_none_or(|at_ms| now_ms >= at_ms + HEARTBEAT_MS);
        is_heartbeat
            || targets.len() != self.viewed.len()
            || targets.iter().zip(&self.viewed).any(|(new, old)| is_reported(new, old))
    }

    fn route_references(&self) -> Vec<RouteReference> {
        let reference = |(route, usual): (&u32, &Route)| RouteReference {
            route: *route,
            usual_us: whole(usual.log_ms.exp() * 1_000.0).max(1),
        };
        let mut references: Vec<_> = self.routes.iter().map(reference).collect();
        references.sort_by_key(|reference| reference.route);
        references
    }
}

impl Target {
    /// Adds the difference between two digests of one gateway.
    fn add(&mut self, before: Option<&TargetLoad>, now: &TargetLoad) {
        self.seen.refused += now.refused.saturating_sub(before.map_or(0, |load| load.refused));
        self.seen.failed += now.failed.saturating_sub(before.map_or(0, |load| load.failed));
        let earlier_times = before.map_or(&[][..], |load| &load.served);
        for times in &now.served {
            let earlier = earlier_times.iter().find(|earlier| earlier.route == times.route);
            let (count, log_sum) = earlier.map_or((0, 0), |times| (times.count, times.log_sum));
            let added = times.count.saturating_sub(count);
            if added > 0 {
                let entry = self.times.entry(times.route).or_default();
                entry.0 += added;
                entry.1 += times.log_sum.saturating_sub(log_sum);
            }
        }
    }
}

impl Route {
    /// Adds the times of `count` requests. Once enough are known, the usual time follows slowly, so that it keeps what
    /// it was while all targets become slower.
    fn learn(&mut self, count: u32, mean_log_ms: f64, elapsed_s: f64) {
        let is_known = self.count >= ROUTE_MEMORY;
        self.count = self.count.saturating_add(count).min(ROUTE_MEMORY);
        let weight = (f64::from(count) / f64::from(self.count)).min(1.0);
        let weight = if is_known { weight.min(elapsed_s / ROUTE_MEMORY_S) } else { weight };
        self.log_ms += (mean_log_ms - self.log_ms) * weight;
    }
}

/// Whether a change must not wait for the next regular view.
fn is_reported(new: &TargetCapacity, old: &TargetCapacity) -> bool {
    let has_changed = |new: f64, old: f64| (new / old).ln().abs() > (1.0 + REPORTED_CHANGE).ln();
    new.target != old.target
        || has_changed(new.slowness(), old.slowness())
        || has_changed(new.limit(), old.limit())
        || new.failure_percent.abs_diff(old.failure_percent) > 10
        || (new.trial_permille == 0) != (old.trial_permille == 0)
        || (new.load() - old.load()).abs() > REPORTED_LOAD_CHANGE * new.limit()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

fn whole(value: f64) -> u32 {
    value.round() as u32
}
