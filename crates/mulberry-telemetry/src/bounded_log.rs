//! Log lines on a stream that may stall: queued within a bound, written by a thread of their own.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use prometheus_client::metrics::counter::Counter;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Registry};

use crate::LogLevel;
use crate::logging::format_line;

/// Lines that may wait for the stream; further ones are counted and left out.
const MAX_WAITING_LINES: usize = 8_192;

/// Lines of one kind that are written within [`RATE_WINDOW`], unless they tell of a failure.
const MAX_LINES_OF_KIND: u64 = 400;

/// The same for lines about a request; a gateway serves some tens of requests a second.
const MAX_REQUEST_LINES_OF_KIND: u64 = 4_000;

/// Waiting lines from which on only failures and lines about requests are queued.
const RESERVED_FROM: usize = MAX_WAITING_LINES / 4 * 3;

/// Window of the limit by kind.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Longest time that lines wait for more to be written together.
const GATHER: Duration = Duration::from_millis(20);

/// Longest time that the end of a process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Lines written together at most.
const MAX_GATHERED_LINES: usize = 256;

/// Lines that this process has left out so far.
pub fn log_lines_left_out() -> &'static Counter {
    static LEFT_OUT: LazyLock<Counter> = LazyLock::new(Counter::default);
    &LEFT_OUT
}

/// Starts logging for this process on `stream`. A call never waits for the stream: when it takes no more, or when one
/// kind of line comes too often, lines are left out and their number is written as soon as possible.
///
/// # Errors
/// The thread cannot be started.
pub fn init_bounded_log(
    level: &LogLevel,
    instance: &str,
    stream: impl Write + Send + 'static,
) -> io::Result<LogGuard> {
    let (layer, writer) = BoundedLog::new(instance);
    let guard = LogGuard { lines: layer.lines.clone() };
    Builder::new().name("log".to_owned()).spawn(move || writer.run(stream))?;
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    // A second call fails because a subscriber is set; the first one stays.
    let _ = Registry::default().with(filter).with(layer).try_init();
    Ok(guard)
}

/// Gives the last lines of a process time to be written, when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    lines: Sender<String>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let begin = Instant::now();
        while !self.lines.is_empty() && begin.elapsed() < LAST_LINES {
            std::thread::sleep(GATHER);
        }
        // Lines that were taken from the queue are still gathered.
        std::thread::sleep(GATHER * 2);
    }
}

/// The layer that queues lines.
#[derive(Debug)]
pub struct BoundedLog {
    instance: String,
    lines: Sender<String>,
    left_out: Arc<AtomicU64>,

    /// Lines of each kind within the window.
    kinds: Mutex<(Instant, HashMap<tracing::callsite::Identifier, u64>)>,
}

/// Writes the queued lines.
#[derive(Debug)]
pub struct LogWriter {
    lines: Receiver<String>,
    left_out: Arc<AtomicU64>,
    instance: String,
}

impl BoundedLog {
    /// The layer and the writer of its lines.
    pub fn new(instance: &str) -> (BoundedLog, LogWriter) {
        let (sender, lines) = bounded(MAX_WAITING_LINES);
        let left_out = Arc::<AtomicU64>::default();
        let log = BoundedLog {
            instance: instance.to_owned(),
            lines: sender,
            left_out: left_out.clone(),
            kinds: Mutex::new((Instant::now(), HashMap::new())),
        };
        (log, LogWriter { lines, left_out, instance: instance.to_owned() })
    }

    /// Whether a line of this kind may be written now. Warnings and errors always may, lines about requests last.
    fn is_within_rate(&self, event: &Event<'_>) -> bool {
        if *event.metadata().level() <= Level::WARN {
            return true;
        }
        let is_about_request = event.metadata().fields().field("request_id").is_some();
        if !is_about_request && self.lines.len() >= RESERVED_FROM {
            return false;
        }
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        if kinds.0.elapsed() > RATE_WINDOW {
            *kinds = (Instant::now(), HashMap::new());
        }
        let count = kinds.1.entry(event.metadata().callsite()).or_default();
        *count += 1;
        *count <= if is_about_request { MAX_REQUEST_LINES_OF_KIND } else { MAX_LINES_OF_KIND }
    }

    fn leave_out(&self) {
        self.left_out.fetch_add(1, Ordering::Relaxed);
        log_lines_left_out().inc();
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for BoundedLog {
    fn on_event(&self, event: &Event<'_>, _context: Context<'_, S>) {
        if !self.is_within_rate(event) {
            self.leave_out();
            return;
        }
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(format_line(&self.instance, event))
        {
            self.leave_out();
        }
    }
}

impl LogWriter {
    /// Writes lines until the layer is gone. A stream that fails loses lines, nothing else.
    pub fn run(self, mut stream: impl Write) {
        while let Ok(line) = self.lines.recv() {
            std::thread::sleep(GATHER);
            let mut text = line;
            for line in self.lines.try_iter().take(MAX_GATHERED_LINES) {
                text.push_str(&line);
            }
            let left_out = self.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let instance = &self.instance;
                text.push_str(&format!(
                    "level=warn instance={instance} event=log_lines_left_out count={left_out}\n"
                ));
            }
            let _ = stream.write_all(text.as_bytes()).and_then(|()| stream.flush());
        }
    }
}
