//! Measures what a line of the log costs, at its caller and at the thread that writes it.

use std::time::{Duration, Instant};

use mulberry_telemetry::init_bounded_log;

/// Lines that fit the queue, so that none is left out.
const LINES: u32 = 5_000;

const ROUNDS: u32 = 10;

/// Time for the writer to take all of a round.
const PAUSE: Duration = Duration::from_millis(200);

/// Processor time of all threads of this process, in nanoseconds.
fn processor_ns() -> std::io::Result<u64> {
    let mut sum = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}

fn main() -> std::io::Result<()> {
    let stream = std::fs::OpenOptions::new().write(true).open("/dev/null")?;
    let _log = init_bounded_log("info", "measured", stream)?;
    let (mut caller, before) = (Duration::ZERO, processor_ns()?);
    for _ in 0..ROUNDS {
        let begin = Instant::now();
        for number in 0..LINES {
            // As long as the line at the end of a request; a warning, since the others are limited in number.
            tracing::warn!(
                event = "request_ended",
                request_id = "9c41d07be2a35f68",
                route = "r-2yhvz3p",
                outcome = "served",
                status = 200,
                target_id = "i-edddf18d21",
                sends = 1,
                unsent = 0,
                helpers = 4,
                forecast_ms = number,
                prompt_tokens = 45_000,
                first_event_ms = 180,
                total_ms = 1_900,
                config_version = 7,
                reason = "-"
            );
        }
        caller += begin.elapsed();
        std::thread::sleep(PAUSE);
    }
    let lines = f64::from(LINES * ROUNDS);
    let all_us = (processor_ns()? - before) as f64 / lines / 1_000.0;
    println!(
        "caller {:.2} us a line; all threads {all_us:.2} us a line",
        caller.as_secs_f64() * 1e6 / lines
    );
    Ok(())
}
