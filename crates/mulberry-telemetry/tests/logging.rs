//! Logging and error texts.

use std::error::Error;
use std::fmt;
use std::fs::OpenOptions;
use std::process::{Command, Stdio};

use mulberry_telemetry::{check_log_level, error_line, init_logging};

/// Started once more by the test below, in a process whose standard error is a full device.
#[test]
fn log_one_line() {
    init_logging("info", "test-1");
    tracing::info!("a_line_that_is_lost");
}

/// Guards against the end of a process whose log cannot be written, such as one on a full disk.
#[test]
fn a_log_that_cannot_be_written_does_not_end_the_process() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "--nocapture", "log_one_line"])
        .stdout(Stdio::null())
        .stderr(full)
        .status()
        .unwrap();
    assert!(status.success(), "{status}");
}

/// Guards against a misspelt level, which would silence the log, and against refusing a right one.
#[test]
fn log_levels_are_checked() {
    for level in ["info", "WARN", "off", "mulberry_entry=debug,warn"] {
        assert_eq!(check_log_level(level), Ok(()), "{level}");
    }
    for level in [
        "",
        "inof",
        "mulberry_entry",
        "mulberry_entry=",
        "info,",
        "info, mulberry_log=trace",
        "mulberry_entry=loud",
    ] {
        assert!(check_log_level(level).is_err(), "{level}");
    }
}

#[derive(Debug)]
struct Failure(&'static str, Option<Box<Failure>>);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl Error for Failure {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.1.as_deref().map(|cause| cause as &dyn Error)
    }
}

/// Guards against a cause that is printed twice, and against one that is left out.
#[test]
fn an_error_line_names_each_cause_once() {
    let cause = || Some(Box::new(Failure("no space", None)));
    let named = Failure("cannot write: no space; free some", cause());
    assert_eq!(error_line(&named), "cannot write: no space; free some");
    let outer = Failure("cannot start", Some(Box::new(named)));
    assert_eq!(error_line(&outer), "cannot start: cannot write: no space; free some");
}
