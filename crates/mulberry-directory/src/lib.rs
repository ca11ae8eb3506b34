//! Target and gateway records shared by gateways and registries, and the messages that carry them.

mod frame;
mod gateway_list;
mod messages;
mod target_digest;
mod target_keys;
mod target_record;
mod target_table;

pub use frame::{FrameError, MAX_FRAME_BYTES, encode_frame, read_frame, write_frame};
pub use gateway_list::{GatewayChanges, GatewayList};
pub use messages::{
    FeedPosition, FeedRequest, GatewayInfo, GatewayMessage, LinkMessage, RegistryMessage,
};
pub use target_digest::TargetDigest;
pub use target_keys::TargetKeys;
pub use target_record::{TargetRecord, TargetState};
pub use target_table::{AnnouncementOutcome, TargetTable};
