//! Detection of pauses of a process.

#![allow(dead_code, reason = "the detector is private, so its file is compiled into the test")]

#[path = "../src/pause_detector.rs"]
mod pause_detector;

use std::cell::Cell;
use std::time::Duration;

use mulberry_clock::Clock;
use pause_detector::PauseDetector;

thread_local! {
    static NOW: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn advance(ms: u64) {
    NOW.set(NOW.get() + Duration::from_millis(ms));
}

#[test]
fn a_process_that_runs_is_not_paused() {
    let mut detector = PauseDetector::with_clock(Clock::with_source(|| NOW.get()));
    let accepted_ms = detector.now_ms();
    for _ in 0..100 {
        advance(400);
        detector.record_activity();
    }
    assert!(!detector.has_paused_since(accepted_ms));
}

/// Guards against requests that waited while the process was paused, also when they are read before the next tick, on
/// connections accepted from the backlog after the pause.
#[test]
fn connections_opened_before_the_end_of_a_pause_may_carry_late_requests() {
    let mut detector = PauseDetector::with_clock(Clock::with_source(|| NOW.get()));
    let before_ms = detector.now_ms();
    advance(7_000);
    assert!(detector.has_paused_since(before_ms), "seen without a tick");
    assert!(detector.has_paused_since(detector.now_ms()), "accepted from the backlog");
    for _ in 0..3 {
        advance(400);
        detector.record_activity();
    }
    assert!(!detector.has_paused_since(detector.now_ms()), "opened after the pause");
    assert!(detector.has_paused_since(before_ms));
}
