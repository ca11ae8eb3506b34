//! A registry: one replica of the routing configuration that also takes the announcements of targets.
//!
//! Configuration and evacuated zones are commands of a replicated log: nothing is acknowledged before a majority has
//! synced it. Announcements of targets are soft state: each registry passes changes on to the other registries and to
//! all gateways linked to it, and targets announce themselves again within seconds.

mod command;
mod disk_thread;
mod gateway_links;
mod membership;
mod node;
mod operator_state;
mod peer_links;
mod peer_message;
mod public_protocol;
mod public_server;
mod registry;
mod registry_metrics;
mod restored_targets;
mod settings;

pub use command::Command;
pub use membership::{MemberView, MembershipPlan, plan_membership, silence_ms};
pub use operator_state::OperatorState;
pub use public_protocol::{InvalidRequest, PublicProtocol, PublicRequest};
pub use registry::{Registry, RegistryError};
pub use settings::RegistrySettings;
