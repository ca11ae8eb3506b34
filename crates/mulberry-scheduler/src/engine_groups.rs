//! Which engines are placed by one home.
//!
//! A home sees all requests of its engines, so one for all places best; but it can do no more than one machine. In a
//! big fleet the engines of each availability zone are a group with a home of its own, and a request is placed in the
//! zone of its gateway unless that is full.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{Decision, RefusalCause};

/// Engines from which on each zone is a group: more requests than one home answers in a burst (docs/MEASUREMENTS.md).
const MIN_DIVIDED_ENGINES: usize = 110;

/// Engines a zone on average below which zones are no groups: a prompt may be read by 17 engines, and some are left for
/// others.
const MIN_GROUP_ENGINES: usize = 20;

/// Time for which what was heard of a group counts.
const HEARD_MS: u64 = 1_000;

/// Load of a group that was not heard of lately, in percent.
const UNKNOWN_PERCENT: u8 = 50;

/// Load of a group that takes nothing now.
const FULL_PERCENT: u8 = 100;

/// Percent by which another group must be less loaded to be asked as well.
const MARGIN_PERCENT: u8 = 10;

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
    /// The division for these numbers of known engines by zone. Engines count also while they cannot be used, so that
    /// an outage does not change the groups.
    pub fn for_zones(engines_by_zone: &BTreeMap<Arc<str>, usize>) -> EngineGroups {
        let engines: usize = engines_by_zone.values().sum();
        let min_engines = MIN_DIVIDED_ENGINES.max(MIN_GROUP_ENGINES * engines_by_zone.len());
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

/// How loaded the groups are, as their homes have said lately.
#[derive(Debug, Default)]
pub struct GroupLoads {
    heard: HashMap<Arc<str>, Heard>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    percent: u8,
    at_ms: u64,
}

impl GroupLoads {
    /// A home has decided, and said which part of its engines reads. One without room is full whatever reads.
    pub fn record(&mut self, now_ms: u64, group: &Arc<str>, decision: &Decision, percent: u8) {
        let is_full = match decision {
            Decision::Placed(_) => false,
            Decision::Refused(refusal) => refusal.cause == RefusalCause::NoRoom,
            Decision::NoEngine => true,
        };
        let percent = if is_full { FULL_PERCENT } else { percent.min(FULL_PERCENT - 1) };
        self.heard.insert(group.clone(), Heard { percent, at_ms: now_ms });
    }

    /// A group to ask after those in `tried`, of which the first is the own one; `None` when none is likely to do
    /// better. A request that would be late is better placed only where there is clearly more room; one that is
    /// refused, anywhere. `usable` holds the engines of each group that can be used. `drawn`, from 0 to 1, spreads the
    /// gateways over the groups by what these have free.
    pub fn choose_fallback(
        &self,
        now_ms: u64,
        tried: &[Arc<str>],
        is_refused: bool,
        usable: &BTreeMap<Arc<str>, usize>,
        drawn: f64,
    ) -> Option<Arc<str>> {
        let bound = match tried {
            [own, ..] if !is_refused => self.percent(now_ms, own).saturating_sub(MARGIN_PERCENT),
            _ => FULL_PERCENT - 1,
        };
        let free: Vec<(&Arc<str>, f64)> = usable
            .iter()
            .filter(|(group, engines)| !tried.contains(group) && **engines > 0)
            .map(|(group, engines)| (group, *engines, self.percent(now_ms, group)))
            .filter(|(_, _, percent)| *percent <= bound)
            .map(|(group, engines, percent)| {
                (group, engines as f64 * f64::from(FULL_PERCENT - percent))
            })
            .collect();
        let total: f64 = free.iter().map(|(_, free)| free).sum();
        let mut left = drawn * total;
        let found = free.iter().find(|(_, free)| {
            left -= free;
            left <= 0.0
        });
        found.or(free.last()).map(|(group, _)| (*group).clone())
    }

    fn percent(&self, now_ms: u64, group: &str) -> u8 {
        let heard = self.heard.get(group).filter(|heard| heard.at_ms + HEARD_MS >= now_ms);
        heard.map_or(UNKNOWN_PERCENT, |heard| heard.percent)
    }
}
