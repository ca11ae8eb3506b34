//! Standard output.

use std::io::{ErrorKind, Write};

use serde::Serialize;

/// Prints a line. A reader that has gone away, such as `head`, is no error.
pub fn print(text: &str) {
    if let Err(error) = writeln!(std::io::stdout().lock(), "{text}") {
        if error.kind() != ErrorKind::BrokenPipe {
            eprintln!("error: cannot write to standard output: {error}");
        }
    }
}

/// Prints a value as one line of JSON.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => print(&text),
        Err(error) => eprintln!("error: cannot write JSON: {error}"),
    }
}
