//! Prints the time and memory that the quarantine needs at its limits.
//!
//! `cargo run --release -p mulberry-quarantine --example cost`

use std::hint::black_box;
use std::time::Instant;

use mulberry_quarantine::{CrashCorrelator, CrashReport, CrashedPart, PartGuard, PartStatus};

const ROUNDS: u32 = 200;

fn report(crash: u64, request: u64) -> CrashReport {
    let part = |id| CrashedPart { id, survived_age_ms: None };
    let parts = vec![part(request % 24), part(1_000 + crash * 32 + request), part(9)];
    CrashReport { engine: format!("i-{crash:010x}").into(), age_ms: 0, request_key: request, parts }
}

fn main() {
    let mut correlator = CrashCorrelator::default();
    correlator.set_engines(195);
    for crash in 0..128 {
        for request in 0..32 {
            correlator.record_crash(crash as i64 * 100, &report(crash, crash * 32 + request));
        }
    }
    let begin = Instant::now();
    for round in 0..ROUNDS {
        correlator.record_survival(i64::from(round), 5_000_000);
        let now_ms = 13_000 + i64::from(round) * 1_000;
        black_box(correlator.new_suspects(now_ms, |_| false));
    }
    println!("128 crashes of 32 requests: {:?} for each search", begin.elapsed() / ROUNDS);

    let mut guard = PartGuard::default();
    let parts: Vec<u64> = (0..4).collect();
    for id in 0..256 {
        let status = PartStatus {
            id: 1_000 + id,
            quarantined_age_ms: Some(0),
            requested_age_ms: 0,
            survived_age_ms: None,
        };
        guard.receive(0, &status);
    }
    let begin = Instant::now();
    for _ in 0..ROUNDS * 100 {
        black_box(guard.admit(0, black_box(&parts), |_| false));
    }
    println!("admission of four parts: {:?}", begin.elapsed() / (ROUNDS * 100));
    let begin = Instant::now();
    for id in 0..u64::from(ROUNDS * 100) {
        black_box(guard.record_survival(0, black_box(&[1, 2, id])));
    }
    println!("survival of three parts: {:?}", begin.elapsed() / (ROUNDS * 100));
    let message = postcard::to_stdvec(&report(1, 2)).map(|bytes| bytes.len());
    println!("a crash report: {message:?} bytes");
}
