//! A log whose reader does not read, and one with a storm of lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mulberry_telemetry::BoundedLog;
use tracing_subscriber::Registry;
use tracing_subscriber::layer::SubscriberExt as _;

/// Takes nothing until it is told to.
struct Stalled {
    go: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
    is_free: bool,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_free {
            let _ = self.go.recv();
            self.is_free = true;
        }
        self.text.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_does_not_read_delays_nobody_and_learns_what_was_left_out() {
    let (log, writer) = BoundedLog::new("test");
    let (go, stalled) = channel();
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let stream = Stalled { go: stalled, text: text.clone(), is_free: false };
    let written = thread::spawn(move || writer.run(stream));
    let begin = Instant::now();
    tracing::subscriber::with_default(Registry::default().with(log), || {
        for number in 0..50_000 {
            tracing::warn!(event = "storm", number);
        }
    });
    assert!(begin.elapsed() < Duration::from_secs(20), "the log waited for its reader");
    go.send(()).expect("the writer waits");
    written.join().expect("the writer ends with the log");
    let text = String::from_utf8(text.lock().expect("not poisoned").clone()).expect("text");
    let lines = text.lines().filter(|line| line.contains("event=storm")).count();
    let left_out: usize = text
        .lines()
        .filter_map(|line| line.split_once("event=log_lines_left_out count="))
        .map(|(_, count)| count.parse::<usize>().expect("a number"))
        .sum();
    assert!(left_out > 0 && lines < 50_000);
    assert_eq!(lines + left_out, 50_000, "each line is written or counted");
}

#[test]
fn lines_about_requests_are_left_out_last() {
    let (log, writer) = BoundedLog::new("test");
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (go, stalled) = channel();
    let stream = Stalled { go: stalled, text: text.clone(), is_free: false };
    let written = thread::spawn(move || writer.run(stream));
    let before = mulberry_telemetry::log_lines_left_out().get();
    tracing::subscriber::with_default(Registry::default().with(log), || {
        for number in 0..6_500 {
            tracing::warn!(event = "storm", number);
        }
        tracing::info!(event = "usual");
        for number in 0..1_000 {
            tracing::info!(event = "ended", request_id = "r", number);
        }
    });
    assert!(mulberry_telemetry::log_lines_left_out().get() > before, "the counter shows it");
    go.send(()).expect("the writer waits");
    written.join().expect("the writer ends with the log");
    let text = String::from_utf8(text.lock().expect("not poisoned").clone()).expect("text");
    let count = |event: &str| text.lines().filter(|line| line.contains(event)).count();
    assert_eq!(count("event=ended"), 1_000);
    assert_eq!(count("event=usual"), 0, "there was room for requests only");
}

#[test]
fn one_kind_of_line_is_limited_but_failures_are_not() {
    let (log, writer) = BoundedLog::new("test");
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (go, stalled) = channel();
    let stream = Stalled { go: stalled, text: text.clone(), is_free: true };
    let written = thread::spawn(move || writer.run(stream));
    tracing::subscriber::with_default(Registry::default().with(log), || {
        for number in 0..2_000 {
            tracing::info!(event = "usual", number);
        }
        for number in 0..1_000 {
            tracing::error!(event = "failure", number);
        }
        tracing::info!(event = "other");
    });
    written.join().expect("the writer ends with the log");
    drop(go);
    let text = String::from_utf8(text.lock().expect("not poisoned").clone()).expect("text");
    let count = |event: &str| text.lines().filter(|line| line.contains(event)).count();
    assert!(count("event=usual") < 2_000);
    assert_eq!(count("event=failure"), 1_000);
    assert_eq!(count("event=other"), 1);
}
