//! An entry instance: takes requests of callers, finds them a target, and is the home of some targets.
//!
//! A request passes through `caller_server`, `completion` or `service_call`, `acquire` (turn, ranking, reservation) and
//! `rooms` (the home's answer). Home duties are in `entry` (messages), `timers` and `sweeper`; `renewal` and
//! `lease_state` keep the lease that all of them depend on.

mod acquire;
mod admissions;
mod answer_sink;
mod caller_server;
mod claims;
mod clock;
mod completion;
mod control_link;
mod dispatcher;
mod entry;
mod fleet_holder;
mod in_force;
mod instance;
mod job;
mod lease_state;
mod metrics;
mod peer_links;
mod renewal;
mod rooms;
mod service_call;
mod settings;
mod split;
mod sweeper;
mod target_server;
mod timers;
mod workspace_limits;

pub use instance::Instance;
pub use metrics::{EntryMetrics, NameLabel};
pub use settings::{EntrySettings, PlacementSetting};
