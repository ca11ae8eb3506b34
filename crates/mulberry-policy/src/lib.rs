//! Load balancing, admission control, reservations and retry decisions.
//!
//! An *entry* is an instance that accepts requests and forwards them to targets. Each target has one
//! entry as its *home*, chosen by rendezvous hashing over the membership. The home grants
//! reservations on the target to all entries and publishes the target's load in its digests.
//!
//! This crate does no I/O, reads no clock and starts no threads. Callers pass in events and
//! `now_ms`, a monotonic time in milliseconds, and receive decisions. Random number generators are
//! seeded by the caller.

mod admission;
mod circuit_breaker;
mod cold_ramp;
mod cost_model;
mod engine_priority;
mod fair_queue;
mod fleet_view;
mod held_reservation;
mod home_ledger;
mod home_ownership;
mod in_flight_reservations;
mod lease;
mod long_prefill_cap;
mod placement;
mod retry_budget;
mod retry_decision;
mod target_inventory;
mod target_record;

pub use admission::{AdmissionController, AdmissionDecision, AdmissionRequest};
pub use circuit_breaker::CircuitBreaker;
pub use cold_ramp::ColdRamp;
pub use cost_model::CostModel;
pub use engine_priority::engine_priority;
pub use fair_queue::{FairQueue, PlacementClass, QueueFull, QueuedRequest};
pub use fleet_view::{Backlog, FleetView};
pub use held_reservation::{HeldReservation, RESERVATION_TTL_MS, START_WINDOW_MS};
pub use home_ledger::{HomeLedger, LedgerCounts, reservation_id};
pub use home_ownership::HomeOwnership;
pub use in_flight_reservations::{InFlightReservations, UnreportedLoad, UnreportedLoads};
pub use lease::{EntryLease, GrantEffect};
pub use long_prefill_cap::{LONG_PROMPT_TOKENS, LongPrefillCap};
pub use placement::{
    Candidate, NoCandidateReason, PlacementPolicy, PlacementRequest, Ranking, Segment, SplitError,
    SplitPlan, TargetSelector,
};
pub use retry_budget::{Backoff, RetryBudget, RetryKey};
pub use retry_decision::{FailedAttempt, FailedOutcome, RetryDecision};
pub use target_inventory::{CleanupOrder, InventoryItem, InventoryKind, TargetInventory};
