//! Decisions of entries and homes: where a request goes, whether it is admitted, what a home
//! reserves, and what happens after a failure.
//!
//! Everything here is pure. Callers pass events and `now_ms`, a monotonic time in milliseconds, and
//! get decisions back; nothing reads a clock, opens a socket or file, or starts a thread. Random
//! numbers come from generators with a seed that the caller chooses.

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
    Candidate, NoCandidateReason, Placement, PlacementPolicy, PlacementRequest, Ranking, Segment,
    SplitError, SplitPlan,
};
pub use retry_budget::{Backoff, RetryBudget, RetryKey};
pub use retry_decision::{FailedAttempt, FailedOutcome, RetryDecision};
pub use target_inventory::{CleanupOrder, InventoryItem, InventoryKind, TargetInventory};
