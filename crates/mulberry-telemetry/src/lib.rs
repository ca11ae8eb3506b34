//! What operators see of a process: health checks, metrics and logs.

mod bounded_log;
mod error_line;
mod health;
mod logging;
mod metrics_server;
mod platform_server;

pub use bounded_log::{BoundedLog, LogGuard, LogWriter, init_bounded_log, log_lines_left_out};
pub use error_line::error_line;
pub use health::Health;
pub use logging::{LogLevel, check_log_level, init_logging};
pub use metrics_server::serve_metrics;
pub use platform_server::{PlatformServer, SharedRegistry};
