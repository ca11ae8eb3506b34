//! Simple placement policies, as baselines for comparison.
//!
//! They respect the same limits (slots, memory, cold-start rate, deadline) and run each prompt on a single engine.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use mulberry_routes::EngineProfile;

use crate::JobSpec;
use crate::engine_state::EngineState;
use crate::plan::{Candidate, Plan, PlanCost};

/// Interval between two load reports of an engine, in milliseconds. Equal to the report lag that engines publish.
const REPORT_INTERVAL_MS: u64 = 200;

/// How engines are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// Lowest expected cost to the request and to all others.
    #[default]
    ExpectedCost,

    /// Each engine in turn.
    RoundRobin,

    /// The engine with the fewest requests in its last load report.
    LeastReportedLoad,
}

/// Error for a name that is no placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPolicy(String);

/// State of the baseline policies between placements.
#[derive(Debug, Default)]
pub(crate) struct BaselineState {
    turn: usize,
    /// Number of requests of each engine in its last load report.
    reports: HashMap<Arc<str>, usize>,
    reported_ms: Option<u64>,
}

impl PlacementPolicy {
    /// All policies and their names in settings.
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
    /// Advances the round-robin turn and refreshes the load reports if they are due.
    pub(crate) fn begin_placement(
        &mut self,
        now_ms: u64,
        engines: &BTreeMap<Arc<str>, EngineState>,
    ) {
        self.turn = self.turn.wrapping_add(1);
        if self.reported_ms.is_none_or(|at_ms| now_ms >= at_ms + REPORT_INTERVAL_MS) {
            self.reported_ms = Some(now_ms);
            let load =
                |(id, engine): (&Arc<str>, &EngineState)| (id.clone(), engine.held_requests());
            self.reports = engines.iter().map(load).collect();
        }
    }

    /// The placement by a baseline policy; `None` if no engine has room.
    pub(crate) fn plan(
        &self,
        profile: &EngineProfile,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        policy: PlacementPolicy,
    ) -> Option<Plan> {
        let tokens = spec.prompt_tokens + spec.max_output_tokens;
        let with_room: Vec<&Candidate<'_>> =
            candidates.iter().filter(|c| c.may_decode && c.free_tokens >= tokens).collect();
        let BaselineState { turn, reports, .. } = self;
        let chosen = match policy {
            PlacementPolicy::LeastReportedLoad => with_room
                .iter()
                .min_by_key(|candidate| reports.get(&candidate.engine.id).copied().unwrap_or(0))?,
            PlacementPolicy::RoundRobin | PlacementPolicy::ExpectedCost => {
                with_room.get(turn % with_room.len().max(1))?
            }
        };
        let prefill_ms = profile.prefill_ms(spec.prompt_tokens);
        let end_ms =
            EngineState::prefill_end_ms(chosen.backlog_ms, prefill_ms, chosen.iteration_ms);
        Some(Plan {
            primary: chosen.engine.id.clone(),
            helpers: Vec::new(),
            first_event_ms: end_ms + chosen.iteration_ms,
            cost: PlanCost::default(),
        })
    }
}
