//! Identifiers, configuration, settings and messages shared by the crates of the system.
//!
//! Nothing here has behaviour beyond checks of its own data: decisions live in `mulberry-policy` and
//! `mulberry-state`, transport in `mulberry-peers`.

mod announcement;
mod change;
mod configuration;
mod configuration_check;
mod control_messages;
mod control_port;
mod home_messages;
mod ids;
mod length_class;
mod membership;
mod settings_file;

pub use announcement::{Announcement, LoadReport, TargetKind};
pub use change::{
    AuditRecord, Change, ChangeOperation, ChangeOutcome, ConfigurationUpdate, RejectReason,
};
pub use configuration::{
    Configuration, Operation, Priority, Repeatability, Service, ServiceKind, TargetOverride,
    TargetState, Workspace, Zone, ZoneState,
};
pub use configuration_check::ConfigurationError;
pub use control_messages::{
    ClaimKey, ClaimReply, ControlReply, ControlRequest, Grant, Permit, Renew, StoredAnswer,
};
pub use control_port::{ControlPortReply, ControlPortRequest, ReplicaHello};
pub use home_messages::{
    HomeDigest, HomeReply, HomeRequest, RefuseReason, Refused, Release, ReleaseOutcome, Reserve,
    Reserved, TargetDigest,
};
pub use ids::{
    ChangeId, ConfigurationVersion, Fence, Incarnation, MembershipEpoch, NodeId, RequestId,
    ReservationId,
};
pub use length_class::{LengthClass, estimate_tokens};
pub use membership::{Member, Membership};
pub use settings_file::{SettingsError, load_settings, parse_settings};
