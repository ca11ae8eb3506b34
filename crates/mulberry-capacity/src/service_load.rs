//! What one gateway has seen of the targets of a service, and what the home of the service has told it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::choice::{Candidate, Choice, RequestNeeds, choose};
use crate::target_estimate::LOAD_WEIGHT;
use crate::{CapacityView, LoadDigest, MAX_TARGETS, RouteTimes, TargetLoad};

/// Time for which the counts of a target are repeated after a change, since a digest may be lost.
const REPEAT_MS: u64 = 600;

/// Maximum time between two digests. A gateway without requests sends empty ones, so that it has a view when its first
/// request arrives.
const HEARTBEAT_MS: u64 = 2_000;

/// Maximum age of a view.
const VIEW_TIMEOUT_MS: u64 = 5_000;

/// Gap between two digests from which this gateway was paused, and its own times say nothing about targets.
const PAUSE_MS: u64 = 1_000;

/// Maximum time of one request that counts; the sum of logarithms stays exact far beyond it.
const MAX_TIME_MS: u64 = 3_600_000;

/// How a request at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The target responded. Its time counts unless the target was cold.
    Served { is_cold: bool },

    /// The target did not respond in time; the time counts as if it had ended now.
    TimedOut,

    /// The target responded with an error, or its connection broke.
    Failed,

    /// The target was full and did not run the request.
    Refused,

    /// It says nothing about the target: the caller has left, or nothing was sent.
    Unknown,
}

/// What one gateway has seen of the targets of a service, and the newest view of its home.
#[derive(Debug)]
pub struct ServiceLoad {
    service: Arc<str>,
    gateway: u64,
    sequence: u32,
    targets: HashMap<Arc<str>, TargetCounts>,
    open: BTreeMap<u64, OpenRequest>,
    next_request: u64,
    last_digest_ms: Option<u64>,
    last_turn_ms: Option<u64>,

    /// Requests that began before count no time, because this gateway was paused.
    measured_from_ms: u64,

    view: Option<(u64, CapacityView)>,
}

#[derive(Debug, Default)]
struct TargetCounts {
    in_flight: u32,

    /// `in_flight`, smoothed as the home does it.
    smoothed_in_flight: f64,

    refused: u32,
    failed: u32,
    served: BTreeMap<u32, (u32, u64)>,
    changed_ms: u64,
}

#[derive(Debug)]
struct OpenRequest {
    target: Arc<str>,
    route: u32,
    started_ms: u64,
}

impl ServiceLoad {
    pub fn new(service: Arc<str>, gateway: u64) -> ServiceLoad {
        ServiceLoad {
            service,
            gateway,
            sequence: 0,
            targets: HashMap::new(),
            open: BTreeMap::new(),
            next_request: 0,
            last_digest_ms: None,
            last_turn_ms: None,
            measured_from_ms: 0,
            view: None,
        }
    }

    /// Counts a request that is sent to a target. Returns its number.
    pub fn started(&mut self, now_ms: u64, target: &Arc<str>, route: u32) -> u64 {
        let counts = self.targets.entry(target.clone()).or_default();
        counts.in_flight += 1;
        counts.changed_ms = now_ms;
        self.next_request += 1;
        let request = OpenRequest { target: target.clone(), route, started_ms: now_ms };
        self.open.insert(self.next_request, request);
        self.next_request
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, now_ms: u64, number: u64, end: RequestEnd) {
        let Some(request) = self.open.remove(&number) else { return };
        let was_paused = self.last_turn_ms.is_some_and(|at_ms| now_ms > at_ms + PAUSE_MS);
        if was_paused {
            self.measured_from_ms = now_ms;
        }
        let Some(counts) = self.targets.get_mut(&request.target) else { return };
        counts.in_flight = counts.in_flight.saturating_sub(1);
        counts.changed_ms = now_ms;
        let counts_time = match end {
            RequestEnd::Served { is_cold } => !is_cold,
            RequestEnd::TimedOut => true,
            RequestEnd::Failed => {
                counts.failed = counts.failed.wrapping_add(1);
                false
            }
            RequestEnd::Refused => {
                counts.refused = counts.refused.wrapping_add(1);
                false
            }
            RequestEnd::Unknown => false,
        };
        if counts_time && request.started_ms >= self.measured_from_ms {
            let time_ms = now_ms.saturating_sub(request.started_ms).clamp(1, MAX_TIME_MS);
            let (count, log_sum) = counts.served.entry(request.route).or_default();
            *count = count.wrapping_add(1);
            *log_sum += ((time_ms as f64).ln() * 1_000.0).round() as u64;
        }
    }

    /// Returns what the home has to be told, if anything. To be called several times a second.
    pub fn digest(&mut self, now_ms: u64) -> Option<LoadDigest> {
        if self.last_turn_ms.is_some_and(|at_ms| now_ms > at_ms + PAUSE_MS) {
            self.measured_from_ms = now_ms;
        }
        self.last_turn_ms = Some(now_ms);
        for counts in self.targets.values_mut() {
            let change = f64::from(counts.in_flight) - counts.smoothed_in_flight;
            counts.smoothed_in_flight += change * LOAD_WEIGHT;
        }
        let is_due = self.last_digest_ms.is_none_or(|at_ms| now_ms >= at_ms + HEARTBEAT_MS);
        let is_told =
            |counts: &TargetCounts| counts.in_flight > 0 || now_ms < counts.changed_ms + REPEAT_MS;
        if !is_due && !self.targets.values().any(is_told) {
            return None;
        }
        let mut oldest: HashMap<Arc<str>, (u32, u32)> = HashMap::new();
        for request in self.open.values() {
            if request.started_ms >= self.measured_from_ms {
                let age_ms = u32::try_from(now_ms - request.started_ms).unwrap_or(u32::MAX);
                oldest.entry(request.target.clone()).or_insert((request.route, age_ms));
            }
        }
        self.last_digest_ms = Some(now_ms);
        self.sequence = self.sequence.wrapping_add(1);
        let told = self.targets.iter().filter(|(_, counts)| is_told(counts));
        let targets = told.take(MAX_TARGETS).map(|(id, counts)| {
            let times = |(route, (count, log_sum)): (&u32, &(u32, u64))| RouteTimes {
                route: *route,
                count: *count,
                log_sum: *log_sum,
            };
            TargetLoad {
                target: id.clone(),
                in_flight: counts.in_flight,
                refused: counts.refused,
                failed: counts.failed,
                oldest: oldest.get(id).copied(),
                served: counts.served.iter().map(times).collect(),
            }
        });
        Some(LoadDigest {
            service: self.service.clone(),
            gateway: self.gateway,
            sequence: self.sequence,
            targets: targets.collect(),
        })
    }

    /// Takes a view of the home. Late and repeated ones are ignored.
    pub fn receive(&mut self, now_ms: u64, view: CapacityView) {
        let is_late = self
            .view
            .as_ref()
            .is_some_and(|(_, known)| known.home == view.home && known.sequence >= view.sequence);
        if !is_late {
            self.view = Some((now_ms, view));
        }
    }

    /// The newest view, unless it is too old.
    pub fn view(&self, now_ms: u64) -> Option<&CapacityView> {
        self.last_view().filter(|(at_ms, _)| now_ms < at_ms + VIEW_TIMEOUT_MS).map(|(_, view)| view)
    }

    /// The newest view, and when it arrived.
    pub fn last_view(&self) -> Option<(u64, &CapacityView)> {
        self.view.as_ref().map(|(at_ms, view)| (*at_ms, view))
    }

    /// Forgets targets that are no longer present and have no requests in flight.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.targets.retain(|id, counts| counts.in_flight > 0 || is_present(id));
    }

    /// Selects the target of a request. `random` returns numbers from 0 to below 1.
    pub fn choose(
        &self,
        now_ms: u64,
        candidates: &[Candidate],
        needs: &RequestNeeds,
        random: &mut impl FnMut() -> f64,
    ) -> Choice {
        let Some(view) = self.view(now_ms) else { return Choice::Unknown };
        let own_load = |target: &str| {
            self.targets.get(target).map_or((0.0, 0.0), |counts| {
                (f64::from(counts.in_flight), counts.smoothed_in_flight)
            })
        };
        choose(view, candidates, needs, own_load, random)
    }
}
