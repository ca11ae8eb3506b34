//! A gateway: takes requests of callers and passes each on to a target of the service that its route names.
//!
//! One thread serves everything, since a gateway may have a quarter of a core. What is decided without a socket lies
//! in modules of its own: which targets can be used ([`FleetView`]), whether a further attempt is allowed
//! ([`RetryBudget`]), what of a stream is passed on ([`EventRelay`]).

mod answer_memory;
mod attempt;
mod caller_server;
mod dialect;
mod event_relay;
mod exchange;
mod fleet_view;
mod gateway;
mod home_message;
mod home_role;
mod loans;
mod metrics;
mod placed_job;
mod placement;
mod ready_server;
mod registry_links;
mod retry_budget;
mod settings;
mod shared;
mod target_health;
mod target_pool;

pub use dialect::{CallerFields, Dialect, ForwardFields, ResponseFields, TargetCall};
pub use event_relay::{EventRelay, RelayError};
pub use fleet_view::FleetView;
pub use gateway::{Gateway, GatewayError, SeedUpdates};
pub use home_message::BudgetUse;
pub use home_role::{HomeRole, Question, Said};
pub use retry_budget::{BudgetShare, RetryBudget, RetryGrants};
pub use settings::{GatewaySettings, RetrySettings};
pub use target_health::TargetHealth;
