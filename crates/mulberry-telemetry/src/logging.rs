//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt::{self, Write as _};
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Least level that is logged, such as `info` or `mulberry_entry=debug,warn`.
pub type LogLevel = str;

/// Checks a log level from a settings file.
///
/// # Errors
/// A part is no level. A misspelt level would count as the name of a module, and nothing would be logged.
pub fn check_log_level(level: &LogLevel) -> Result<(), String> {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let is_level = |part: &str| {
        let name = part.rsplit('=').next().unwrap_or_default().trim();
        LEVELS.iter().any(|level| level.eq_ignore_ascii_case(name))
    };
    if level.split(',').all(is_level) && EnvFilter::try_new(level).is_ok() {
        return Ok(());
    }
    Err(format!("is \"{level}\"; use {}, or MODULE=LEVEL separated by commas", LEVELS.join(", ")))
}

/// Starts logging for this process. `instance` stands on every line.
///
/// A level that cannot be parsed is replaced by `info`. A second call does nothing.
pub fn init_logging(level: &LogLevel, instance: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let format = KeyValueFormat { instance: instance.to_owned() };
    // A second call fails because a subscriber is set; the first one stays.
    let _ = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        // Reporting a failed write would write to standard error again and panic: a full disk behind the log would
        // end the process. The line is lost instead.
        .log_internal_errors(false)
        .event_format(format)
        .try_init();
}

struct KeyValueFormat {
    instance: String,
}

impl<S, N> FormatEvent<S, N> for KeyValueFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str(&format_line(&self.instance, event))
    }
}

/// One line for an event, with its end.
pub(crate) fn format_line(instance: &str, event: &Event<'_>) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let level = event.metadata().level().as_str().to_ascii_lowercase();
    let mut line = format!(
        "time_s={}.{:03} level={level} instance={instance}",
        since.as_secs(),
        since.subsec_millis(),
    );
    event.record(&mut KeyValues(&mut line));
    line.push('\n');
    line
}

struct KeyValues<'a>(&'a mut String);

impl KeyValues<'_> {
    fn pair(&mut self, name: &str, value: &str) {
        let name = if name == "message" { "event" } else { name };
        let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
        // Writing to a string cannot fail.
        let _ = if !value.is_empty() && value.bytes().all(is_plain) {
            write!(self.0, " {name}={value}")
        } else {
            write!(self.0, " {name}={value:?}")
        };
    }
}

impl Visit for KeyValues<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.pair(field.name(), &format!("{value:?}"));
    }
}
