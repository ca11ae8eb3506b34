//! What the platform sees of a process: health checks, metrics and logs.

mod error_line;
mod health;
mod logging;
mod platform_server;

pub use error_line::error_line;
pub use health::Health;
pub use logging::{LogLevel, init_logging};
pub use platform_server::{PlatformServer, SharedRegistry};
