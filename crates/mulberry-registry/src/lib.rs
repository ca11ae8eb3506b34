//! A registry: a replica of the routing configuration that also receives the announcements of targets.
//!
//! Changes to the configuration and to the evacuated zones are commands in a replicated log, acknowledged only after a
//! majority has synced them to disk. Target announcements are soft state: each registry forwards changes to the other
//! registries and to its connected gateways, and targets repeat their announcements every few seconds. Only departures,
//! which nobody repeats, are acknowledged after a majority has them on disk.

mod command;
mod departure_log;
mod disk_thread;
mod feed_frames;
mod gateway_link;
mod gateway_links;
mod membership;
mod node;
mod operator_state;
mod pause_detector;
mod peer_links;
mod peer_message;
mod peer_outbox;
mod public_protocol;
mod public_server;
mod registry;
mod registry_metrics;
mod restored_targets;
mod sent_bytes;
mod settings;
mod target_feed;

pub use command::Command;
pub use disk_thread::OpenDisk;
pub use membership::{MemberView, MembershipPlan, plan_membership, silence_ms};
pub use operator_state::OperatorState;
pub use public_protocol::{InvalidRequest, PublicProtocol, PublicRequest};
pub use registry::{Registry, RegistryError};
pub use settings::RegistrySettings;
