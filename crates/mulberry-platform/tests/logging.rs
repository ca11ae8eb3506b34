//! Logging and error texts.

use std::error::Error;
use std::fmt;
use std::fs::OpenOptions;
use std::process::{Command, Stdio};

use mulberry_platform::{error_line, init_logging};

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
