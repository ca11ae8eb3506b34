//! What the platform sees of a process: health checks, metrics and logs.

mod health;
mod logging;
mod platform_server;

pub use health::Health;
pub use logging::{LogLevel, init_logging};
pub use platform_server::{PlatformServer, SharedRegistry};
