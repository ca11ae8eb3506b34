//! Entry instance: accepts requests from callers, selects a target for each and forwards it.
//!
//! Every target is assigned to one entry, its *home*. The home accepts the target's announcements, grants or refuses
//! reservations of its capacity, and publishes its load in a digest to all entries.
//!
//! A request passes through `caller_server`, `completion` or `service_call`, `acquire` (queueing, ranking of targets,
//! reservation) and `reservations` (calls to the home). The home's side is in `entry` (message handlers), `timers` and
//! `reconciler`. `renewal` and `lease_state` maintain the lease without which an entry neither starts work nor acts as
//! a home.

mod acquire;
mod active_configuration;
mod admissions;
mod caller_server;
mod claims;
mod clock;
mod completion;
mod control_client;
mod dispatcher;
mod entry;
mod instance;
mod lease_state;
mod metrics;
mod peer_clients;
mod reconciler;
mod renewal;
mod request_context;
mod reservations;
mod response_sink;
mod service_call;
mod settings;
mod shared_fleet_view;
mod split;
mod target_server;
mod timers;
mod workspace_limits;

pub use instance::Instance;
pub use metrics::{EntryMetrics, NameLabel};
pub use settings::{EntrySettings, PlacementSetting};
