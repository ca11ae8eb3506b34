//! Tests of the `mulberry_queued` metric.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{Fleet, KEY, MODEL, TEST_TIMEOUT, engine};
use standin_engine::EngineSettings;

/// Sends a completion request without reading the response.
fn send_completion(entry: SocketAddr, max_tokens: u32) -> TcpStream {
    let body = serde_json::json!({"model": MODEL, "prompt": "p", "max_tokens": max_tokens});
    let body = body.to_string();
    let mut stream = TcpStream::connect(entry).unwrap();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    stream
}

fn wait_until_queued(platform: SocketAddr, expected: u32) {
    let end = Instant::now() + TEST_TIMEOUT;
    let line = format!("mulberry_queued {expected}");
    loop {
        let url = format!("http://{platform}/metrics");
        let text = attohttpc::get(url).send().unwrap().text_utf8().unwrap();
        if text.lines().any(|other| other == line) {
            return;
        }
        assert!(Instant::now() < end, "no line {line:?} in:\n{text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a gauge that stays above 0 after the last waiting caller has disconnected, which would
/// keep an alert firing.
#[test]
fn queued_metric_returns_to_zero_when_the_only_waiting_caller_disconnects() {
    let settings = EngineSettings { slots: 1, step_ms: 50, ..engine("engine-1", "zone-a") };
    let fleet = Fleet::start(1, vec![settings]);
    let (callers, platform) =
        (fleet.entries[0].caller_address(), fleet.entries[0].platform_address());
    let running = send_completion(callers, 600);
    std::thread::sleep(Duration::from_millis(500));
    let waiting = send_completion(callers, 600);
    wait_until_queued(platform, 1);
    drop(waiting);
    wait_until_queued(platform, 0);
    drop(running);
}
