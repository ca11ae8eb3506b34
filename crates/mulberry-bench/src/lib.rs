//! Load generator and experiment runner.
//!
//! It sends requests to running entries as callers would and starts no processes. Every answer is compared with the
//! only right one, and at the end the accounting of the emulated engines and services is read.

mod accounting;
mod client;
mod compare;
mod experiment;
mod outcome;
mod plan;
mod plot;
mod prompt;
mod report;
mod runner;
mod smoke;

pub use accounting::FinalAccounting;
pub use client::{Call, Completion, Route, Sent, send_call, send_completion};
pub use compare::compare;
pub use experiment::{
    Action, CallLoad, CompletionLoad, Entry, Experiment, MAX_IN_FLIGHT, WorkspaceLoad,
};
pub use outcome::{Outcome, check_answer, check_partial_answer};
pub use plan::{Planned, PlannedKind, plan};
pub use plot::plot;
pub use prompt::Prompt;
pub use report::{ActionReport, LoadResult, Percentiles, Report, Second};
pub use runner::run;
pub use smoke::{SmokeTest, smoke};
