//! A gateway: accepts requests from callers and forwards each to a target of the service selected by its route.
//!
//! Everything runs on one thread, since a gateway may have only a quarter of a core. Decisions that need no socket
//! live in modules of their own: which targets are usable ([`FleetView`]), whether a further attempt is allowed
//! ([`RetryBudget`]), which bytes of a stream are relayed ([`EventRelay`]), and what may be held for callers that read
//! slowly ([`BufferBudget`]).

mod attempt;
mod buffer_budget;
mod caller_outbox;
mod caller_server;
mod capacity;
mod crash_detection;
mod dialect;
mod event_relay;
mod exchange;
mod feed_choice;
mod fleet_view;
mod gateway;
mod held_memory;
mod hex_list;
mod home_message;
mod home_role;
mod memory_reservation;
mod metrics;
mod part_queue;
mod passed_request;
mod path_probes;
mod peer_forwarding;
mod peer_server;
mod placed_job;
mod placement;
mod reachability;
mod ready_server;
mod registry_links;
mod registry_lists;
mod response_memory;
mod retry_budget;
mod settings;
mod share_metrics;
mod shared;
mod target_health;
mod target_pool;

pub use buffer_budget::{BufferBudget, BufferLimits, StreamNumber};
pub use dialect::{CallerFields, Dialect, ForwardFields, ResponseFields, TargetCall};
pub use event_relay::{EventRelay, RelayError};
pub use feed_choice::FeedChoice;
pub use fleet_view::FleetView;
pub use gateway::{Gateway, GatewayError, SeedUpdates};
pub use home_message::BudgetEffect;
pub use home_role::{HomeRole, PlacementReply, PlacementRequest};
pub use part_queue::PartQueue;
pub use reachability::{PathFailure, Reachability};
pub use retry_budget::{BudgetShare, RetryBudget, RetryGrants};
pub use settings::{GatewaySettings, GatewaySettingsError, RetrySettings};
pub use target_health::TargetHealth;
