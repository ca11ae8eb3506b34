//! Logging.

use std::fs::OpenOptions;
use std::process::{Command, Stdio};

use mulberry_platform::init_logging;

/// Runs in a process of its own, started by the test below.
#[test]
#[ignore = "only the test of a full log starts it, with its standard error on a full device"]
fn log_one_line() {
    init_logging("info", "test-1");
    tracing::info!("a_line_that_is_lost");
}

/// Guards against the end of a process whose log cannot be written, such as one on a full disk.
#[test]
fn a_log_that_cannot_be_written_does_not_end_the_process() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "--nocapture", "log_one_line"])
        .stdout(Stdio::null())
        .stderr(full)
        .status()
        .unwrap();
    assert!(status.success(), "{status}");
}
