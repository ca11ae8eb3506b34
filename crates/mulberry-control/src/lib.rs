//! One control instance: a replica of the control group with its lease service for entries and its API
//! for operators.
//!
//! [`ControlInstance`] starts everything from [`ControlSettings`]. The replica thread alone owns the Raft
//! core, the data folder, the state machine and the leases; all other threads send it inputs.

mod control_handle;
mod control_instance;
mod control_metrics;
mod control_settings;
mod entry_connections;
mod fault_endpoint;
mod lease_table;
mod operator_backend;
mod peer_directory;
mod peer_link;
mod replica;
mod replica_input;
mod replica_status;
mod snapshot_schedule;

pub use control_handle::ControlHandle;
pub use control_instance::{ControlInstance, StartError};
pub use control_metrics::ControlMetrics;
pub use control_settings::ControlSettings;
pub use lease_table::{EXPIRY_MS, LEASE_MS, LeaseTable, SettledEpochs};
pub use peer_directory::{HelloEffect, PeerDirectory};
pub use peer_link::PeerLink;
pub use replica_input::{MembersChange, OperatorCallError};
pub use replica_status::ReplicaStatus;
pub use snapshot_schedule::SnapshotSchedule;
