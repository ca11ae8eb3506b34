//! Whether this gateway can reach the targets of each service.
//!
//! One target that cannot be reached has probably failed. If several fail in a row and those that are probed then fail as
//! well, the path to the service is lost: the targets may be healthy, and other gateways may reach them. Only new
//! connections count as contact, since open ones can live on while new ones are refused.

use std::collections::HashMap;
use std::sync::Arc;

/// Time within which failures of several targets count together.
const WINDOW_MS: u64 = 2_000;

/// Number of targets whose failure raises the suspicion that the path is lost.
const SUSPICIOUS_TARGETS: usize = 2;

/// Time after contact within which the path is neither suspected nor probed again. Several targets may fail at once.
const PROBE_PAUSE_MS: u64 = 250;

/// How a connection to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFailure {
    /// Refused, reset or closed: something has answered.
    Rejected,

    /// Nothing has answered in time.
    Silent,
}

/// Paths to the targets of each service.
#[derive(Debug, Default)]
pub struct Reachability {
    services: HashMap<Arc<str>, ServicePath>,
}

#[derive(Debug, Default)]
struct ServicePath {
    /// Time of the newest failure of each target since the last contact.
    failed_at_ms: HashMap<Arc<str>, u64>,

    last_contact_ms: Option<u64>,
    lost_since_ms: Option<u64>,
    is_probing: bool,
}

impl ServicePath {
    fn has_recent_contact(&self, now_ms: u64) -> bool {
        self.last_contact_ms.is_some_and(|at_ms| now_ms < at_ms + PROBE_PAUSE_MS)
    }
}

impl Reachability {
    /// Records that a connection to one of the `known` targets of a service failed. Returns true if other targets of the
    /// service are to be probed now, which [`Self::reached`] or [`Self::probes_failed`] ends.
    pub fn failed(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        target: &Arc<str>,
        known: usize,
        failure: PathFailure,
    ) -> bool {
        let path = self.services.entry(service.clone()).or_default();
        path.failed_at_ms.retain(|_, at_ms| now_ms < *at_ms + WINDOW_MS);
        path.failed_at_ms.insert(target.clone(), now_ms);
        let suspicious = match failure {
            PathFailure::Rejected => SUSPICIOUS_TARGETS.min(known),
            PathFailure::Silent => 1,
        };
        let must_probe = path.failed_at_ms.len() >= suspicious
            && !path.has_recent_contact(now_ms)
            && !path.is_probing
            && path.lost_since_ms.is_none();
        path.is_probing |= must_probe;
        must_probe
    }

    /// Records that a target of a service accepted a connection. Returns the time since which the path was lost, if it
    /// was.
    pub fn reached(&mut self, now_ms: u64, service: &str) -> Option<u64> {
        let path = self.services.get_mut(service)?;
        path.failed_at_ms.clear();
        path.last_contact_ms = Some(now_ms);
        path.is_probing = false;
        path.lost_since_ms.take()
    }

    /// Begins to probe a service for another reason than failures of its targets. Returns false if it is probed already.
    pub fn begin_probing(&mut self, service: &Arc<str>) -> bool {
        let path = self.services.entry(service.clone()).or_default();
        path.lost_since_ms.is_none() && !std::mem::replace(&mut path.is_probing, true)
    }

    /// Records that all probed targets failed. Returns true if the path was not lost before.
    pub fn probes_failed(&mut self, now_ms: u64, service: &str) -> bool {
        let Some(path) = self.services.get_mut(service) else { return false };
        if !std::mem::take(&mut path.is_probing) || path.lost_since_ms.is_some() {
            return false;
        }
        path.lost_since_ms = Some(now_ms);
        true
    }

    /// Whether no target of a service can be reached.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| path.lost_since_ms.is_some())
    }

    /// Whether the path may be what has failed, rather than the targets.
    pub fn is_suspected(&self, now_ms: u64, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| {
            let failed = path.failed_at_ms.values().filter(|at_ms| now_ms < **at_ms + WINDOW_MS);
            path.lost_since_ms.is_some()
                || (failed.count() >= SUSPICIOUS_TARGETS && !path.has_recent_contact(now_ms))
        })
    }

    /// Whether a target of a service has accepted a connection since `since_ms`.
    pub fn has_contact_since(&self, since_ms: u64, service: &str) -> bool {
        let last = self.services.get(service).and_then(|path| path.last_contact_ms);
        last.is_some_and(|last_ms| last_ms >= since_ms)
    }

    /// Whether the verdict on a suspicion is still open.
    pub fn is_probing(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| path.is_probing)
    }

    /// Number of services of which no target can be reached.
    pub fn lost_count(&self) -> usize {
        self.services.values().filter(|path| path.lost_since_ms.is_some()).count()
    }

    /// Forgets services that are no longer configured.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_present(service));
    }
}
