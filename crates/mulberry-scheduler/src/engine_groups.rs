//! Division of engines into groups with one coordinator each.
//!
//! A coordinator sees all requests of its engines, so a single coordinator for all engines places best, but its
//! throughput is limited to that of one host. In a large fleet the engines of each availability zone form a group with
//! its own coordinator, and a request is placed in the zone of its gateway unless that zone is full.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{Decision, RefusalCause};

/// Minimum fleet size for one group per zone. A single coordinator cannot keep up with a burst in a larger fleet
/// (docs/MEASUREMENTS.md).
const MIN_FLEET_ENGINES: usize = 110;

/// Minimum average number of engines per zone for one group per zone: a prompt may occupy 17 engines for prefill, and
/// some must be left for other requests.
const MIN_ENGINES_PER_ZONE: usize = 20;

/// Time for which a reported load is valid.
const LOAD_VALID_MS: u64 = 1_000;

/// Load assumed for a group without a recent report, in percent.
const DEFAULT_LOAD_PERCENT: u8 = 50;

/// Load of a group that cannot take requests, in percent.
const FULL_LOAD_PERCENT: u8 = 100;

/// Minimum difference in load for another group to be asked as well, in percentage points.
const MIN_DIFFERENCE_PERCENT: u8 = 10;

/// How engines are divided into groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineGroups {
    /// All engines are one group.
    #[default]
    One,

    /// Each availability zone is a group.
    ByZone,
}

impl EngineGroups {
    /// Chooses the grouping from the numbers of known engines by zone. Unusable engines count as well, so that an
    /// outage does not change the groups.
    pub fn for_zones(engines_by_zone: &BTreeMap<Arc<str>, usize>) -> EngineGroups {
        let engines: usize = engines_by_zone.values().sum();
        let min_engines = MIN_FLEET_ENGINES.max(MIN_ENGINES_PER_ZONE * engines_by_zone.len());
        if engines_by_zone.len() > 1 && engines >= min_engines {
            EngineGroups::ByZone
        } else {
            EngineGroups::One
        }
    }

    /// The group of the engines in a zone.
    pub fn group_of(self, zone: &Arc<str>) -> Arc<str> {
        match self {
            EngineGroups::One => "".into(),
            EngineGroups::ByZone => zone.clone(),
        }
    }
}

/// Loads of the groups, as last reported by their coordinators.
#[derive(Debug, Default)]
pub struct GroupLoads {
    reports: HashMap<Arc<str>, LoadReport>,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    percent: u8,
    at_ms: u64,
}

impl GroupLoads {
    /// Records a coordinator's decision and the prefill load it reported, in percent. A group without room counts as
    /// full whatever its prefill load.
    pub fn record(&mut self, now_ms: u64, group: &Arc<str>, decision: &Decision, percent: u8) {
        let is_full = match decision {
            Decision::Placed(_) => false,
            Decision::Refused(refusal) => refusal.cause == RefusalCause::NoRoom,
            Decision::NoEngine => true,
        };
        let percent = if is_full { FULL_LOAD_PERCENT } else { percent.min(FULL_LOAD_PERCENT - 1) };
        self.reports.insert(group.clone(), LoadReport { percent, at_ms: now_ms });
    }

    /// Chooses a group to ask after those in `tried`, of which the first is the gateway's own; `None` if none is likely
    /// to do better. A request that was placed with a late forecast is only moved to a clearly less loaded group, a
    /// refused one to any group that is not full. `usable` holds the number of usable engines of each group. `drawn`, a
    /// random number from 0 to 1, distributes requests over the groups in proportion to their free capacity.
    pub fn choose_fallback(
        &self,
        now_ms: u64,
        tried: &[Arc<str>],
        is_refused: bool,
        usable: &BTreeMap<Arc<str>, usize>,
        drawn: f64,
    ) -> Option<Arc<str>> {
        let max_percent = match tried {
            [own, ..] if !is_refused => {
                self.percent(now_ms, own).saturating_sub(MIN_DIFFERENCE_PERCENT)
            }
            _ => FULL_LOAD_PERCENT - 1,
        };
        let free: Vec<(&Arc<str>, f64)> = usable
            .iter()
            .filter(|(group, engines)| !tried.contains(group) && **engines > 0)
            .map(|(group, engines)| (group, *engines, self.percent(now_ms, group)))
            .filter(|(_, _, percent)| *percent <= max_percent)
            .map(|(group, engines, percent)| {
                (group, engines as f64 * f64::from(FULL_LOAD_PERCENT - percent))
            })
            .collect();
        let total: f64 = free.iter().map(|(_, free)| free).sum();
        let mut remaining = drawn * total;
        let found = free.iter().find(|(_, free)| {
            remaining -= free;
            remaining <= 0.0
        });
        found.or(free.last()).map(|(group, _)| (*group).clone())
    }

    fn percent(&self, now_ms: u64, group: &str) -> u8 {
        let report =
            self.reports.get(group).filter(|report| report.at_ms + LOAD_VALID_MS >= now_ms);
        report.map_or(DEFAULT_LOAD_PERCENT, |report| report.percent)
    }
}
