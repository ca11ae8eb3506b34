//! The side of the system that faces targets: announcements that come in, and the client for engines.

mod announce_server;
mod engine_client;
mod engine_error;
mod engine_stream;
mod inventory;

pub use announce_server::parse_announcement;
pub use engine_client::{
    Completion, EngineClient, EngineClientSettings, Order, Segment, SegmentCall,
};
pub use engine_error::EngineError;
pub use engine_stream::{EngineEvent, EngineStream};
pub use inventory::{ExportReport, StreamReport};
