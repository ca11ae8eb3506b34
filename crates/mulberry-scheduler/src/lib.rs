//! Places LLM requests on engines for prefill and decode.
//!
//! An engine runs iterations: each one prefills prompt chunks and decodes the next tokens of the requests that are past
//! prefill. A long prefill lengthens the iteration and stalls all streams that decode on the engine. For each possible
//! placement the scheduler therefore estimates the latency of the request and the delay of other requests, and takes
//! the placement with the lowest cost. Long prompts are prefilled by several engines in parallel.

mod baseline;
mod cost;
mod demand;
mod engine_groups;
mod engine_state;
mod engine_time_price;
mod fair_level;
mod group_coordinator;
mod job;
mod plan;
mod pool;
mod scheduler;
mod settings;
mod tracked_job;
mod turn_keeping;
mod turns;
mod workspace_shares;

pub use baseline::{PlacementPolicy, UnknownPolicy};
pub use cost::abandonment_timeout_ms;
pub use engine_groups::{EngineGroups, GroupLoads};
pub use engine_state::EngineInfo;
pub use group_coordinator::{GroupCoordinator, ServiceEngines};
pub use job::{
    ActiveJob, Decision, Helper, JobId, JobOrigin, JobSpec, Outcome, Placement, Refusal,
    RefusalCause,
};
pub use scheduler::Scheduler;
pub use settings::{CostFactors, SchedulerSettings};
pub use turns::TurnStep;
pub use workspace_shares::{ShareReport, ShareUse, WorkspaceUse};
