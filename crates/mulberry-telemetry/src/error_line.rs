//! Errors as one line of text.

use std::error::Error;

/// Message of an error and of its causes, in one line for a person.
///
/// Many messages name their cause already, because they go on with the remedy; such a cause is not repeated.
pub fn error_line(error: &(dyn Error + 'static)) -> String {
    let mut line = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let text = cause.to_string();
        if !line.contains(&text) {
            line.push_str(": ");
            line.push_str(&text);
        }
        source = cause.source();
    }
    line
}
