//! Replicated state machine: configuration, claims and membership.
//!
//! [`FleetState::apply`] is a pure function of the state and the command: it reads no clock and draws
//! no random number, so that every replica that applies the same log reaches the same state. The leader
//! stamps its wall clock into each command, and the machine keeps the latest time that it has seen.

mod change_table;
mod claim_table;
mod command;
mod fleet_state;
mod member_table;
mod permit_bucket;
mod reply;
mod snapshot;
mod state_error;
mod state_limits;

pub use command::{Command, MAX_COMMAND_BYTES};
pub use fleet_state::FleetState;
pub use reply::{AuditPage, ClaimCounts, ClaimRefusal, JoinReply, Reply, SettleReply};
pub use state_error::StateError;
pub use state_limits::StateLimits;
