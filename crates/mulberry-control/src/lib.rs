//! Control instance: a replica of the control group with a lease service for entries and an API for
//! operators.
//!
//! [`ControlInstance`] starts all components from [`ControlSettings`]. The replica thread exclusively owns
//! the Raft core, the data folder, the state machine and the leases. All other threads send it inputs.

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
pub use lease_table::{LEASE_EXPIRY_MS, LEASE_MS, LeaseTable, SettledEpochs};
pub use peer_directory::{HelloOutcome, PeerDirectory};
pub use peer_link::PeerLink;
pub use replica_input::{MembershipChange, OperatorCallError};
pub use replica_status::ReplicaStatus;
pub use snapshot_schedule::SnapshotSchedule;
