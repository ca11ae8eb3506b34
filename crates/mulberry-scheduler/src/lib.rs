//! Which engines read and write which prompt.
//!
//! An engine works in passes: it reads prompts and, in the same pass, writes the next event of each request that is
//! past its prompt. A long prompt that is read makes the pass long, which all writers of the engine feel as a pause.
//! The scheduler therefore weighs, for each way to place a request, how late the request itself gets and how late it
//! makes others, and takes the cheapest. Long prompts are read by several engines at once.

mod baseline;
mod cost;
mod demand;
mod engine_groups;
mod engine_state;
mod group_coordinator;
mod job;
mod pool;
mod scheduler;
mod settings;

pub use baseline::{PlacementPolicy, UnknownPolicy};
pub use cost::abandonment_timeout_ms;
pub use engine_groups::{EngineGroups, GroupLoads};
pub use engine_state::EngineInfo;
pub use group_coordinator::{GroupCoordinator, ServiceEngines};
pub use job::{
    ActiveJob, Decision, Helper, JobId, JobSpec, Outcome, Placement, Refusal, RefusalCause,
};
pub use scheduler::Scheduler;
pub use settings::SchedulerSettings;
