//! Simple placements, to compare with.
//!
//! They keep the same limits (places, memory, starts at cold engines, time left) and give each prompt to one engine.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::JobSpec;
use crate::engine_state::EngineState;
use crate::pool::{Candidate, Plan, Pool};

/// Time between two reports of an engine's load, in milliseconds; the lag that engines publish.
const REPORT_MS: u64 = 200;

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The least expected loss for the request and for all others.
    #[default]
    ExpectedCost,

    /// One engine after the other.
    RoundRobin,

    /// The engine that had the fewest requests at its last report.
    LeastReportedLoad,
}

/// A name that is no policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPolicy(String);

/// What a baseline remembers between two placements.
#[derive(Debug, Default)]
pub(crate) struct BaselineState {
    turn: usize,
    reports: HashMap<Arc<str>, usize>,
    reported_ms: Option<u64>,
}

impl PlacementPolicy {
    /// All policies with their names.
    const NAMES: [(PlacementPolicy, &'static str); 3] = [
        (PlacementPolicy::ExpectedCost, "expected-cost"),
        (PlacementPolicy::RoundRobin, "round-robin"),
        (PlacementPolicy::LeastReportedLoad, "least-reported-load"),
    ];
}

impl FromStr for PlacementPolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<PlacementPolicy, UnknownPolicy> {
        let found = PlacementPolicy::NAMES.iter().find(|(_, known)| *known == name);
        found.map(|(policy, _)| *policy).ok_or_else(|| UnknownPolicy(name.to_owned()))
    }
}

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = PlacementPolicy::NAMES.map(|(_, name)| name).join(", ");
        write!(f, "`{}` is no placement policy; use one of {names}", self.0)
    }
}

impl std::error::Error for UnknownPolicy {}

impl BaselineState {
    /// Begins the next placement.
    pub(crate) fn next(&mut self, now_ms: u64, engines: &BTreeMap<Arc<str>, EngineState>) {
        self.turn = self.turn.wrapping_add(1);
        if self.reported_ms.is_none_or(|at_ms| now_ms >= at_ms + REPORT_MS) {
            self.reported_ms = Some(now_ms);
            let load =
                |(id, engine): (&Arc<str>, &EngineState)| (id.clone(), engine.held_requests());
            self.reports = engines.iter().map(load).collect();
        }
    }
}

impl Pool {
    /// The engine that a baseline chooses; `None` when none has room.
    pub(crate) fn baseline_plan(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        policy: PlacementPolicy,
    ) -> Option<Plan> {
        let tokens = spec.prompt_tokens + spec.max_output_tokens;
        let fits: Vec<&Candidate<'_>> =
            candidates.iter().filter(|c| c.may_write && c.free_tokens >= tokens).collect();
        let BaselineState { turn, reports, .. } = &self.baseline;
        let chosen = match policy {
            PlacementPolicy::LeastReportedLoad => fits
                .iter()
                .min_by_key(|candidate| reports.get(&candidate.engine.id).copied().unwrap_or(0))?,
            PlacementPolicy::RoundRobin | PlacementPolicy::ExpectedCost => {
                fits.get(turn % fits.len().max(1))?
            }
        };
        let prefill_ms = self.profile.prefill_ms(spec.prompt_tokens);
        let end_ms = EngineState::read_end_ms(chosen.backlog_ms, prefill_ms, chosen.iteration_ms);
        Some(Plan {
            first: chosen.engine.id.clone(),
            helpers: Vec::new(),
            first_event_ms: end_ms + chosen.iteration_ms,
            cost: 0.0,
            order_cost: 0.0,
        })
    }
}
