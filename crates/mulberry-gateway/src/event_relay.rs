//! Selects the events of an engine's stream that are relayed to the caller.
//!
//! Only complete events are relayed, in order and once. When an engine fails, another one resumes after the last
//! relayed event, and the caller sees one stream.

use std::fmt;

/// Maximum length of an event including the comments before it; an engine that sends a longer one is considered
/// faulty.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Extracts complete server-sent events from the bytes of one or more streams.
#[derive(Debug, Default)]
pub struct EventRelay {
    partial: Vec<u8>,

    /// Id of the last relayed event.
    last_event: Option<u64>,

    events: u64,

    /// Bytes of comments since the last event.
    comment_bytes: usize,
}

/// Why a stream cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// At least one event is missing before event `got`.
    Gap { after: u64, got: u64 },

    /// An event has no end, or comments arrive without an event.
    TooLong,
}

impl EventRelay {
    /// Creates a relay for a stream that resumes after `last_event`.
    pub fn new(last_event: Option<u64>) -> EventRelay {
        EventRelay { partial: Vec::new(), last_event, events: 0, comment_bytes: 0 }
    }

    /// Id of the last relayed event, or the event after which the caller asked to resume.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of relayed events. Comments do not count, since an engine that sends only comments makes no progress.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards an incomplete event, since another engine will send it again.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes received from an engine and appends the complete new events to `out`.
    ///
    /// # Errors
    /// An event is missing or has no end. The events before it are in `out`.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), RelayError> {
        let mut searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = event_end(&self.partial, searched) {
            let event = &self.partial[start..end];
            if let Some(number) = event_number(event) {
                if let Some(last) = self.last_event {
                    if number <= last {
                        // Already relayed from the engine that failed.
                        start = end;
                        searched = end;
                        continue;
                    }
                    if number > last + 1 {
                        self.partial.drain(..start);
                        return Err(RelayError::Gap { after: last, got: number });
                    }
                }
                self.last_event = Some(number);
            }
            out.extend_from_slice(event);
            if is_comment(event) {
                self.comment_bytes += event.len();
            } else {
                self.events += 1;
                self.comment_bytes = 0;
            }
            start = end;
            searched = end;
        }
        self.partial.drain(..start);
        if self.partial.len() + self.comment_bytes > MAX_EVENT_BYTES {
            return Err(RelayError::TooLong);
        }
        Ok(())
    }
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Gap { after, got } => {
                write!(f, "event {got} follows event {after}; the stream is broken")
            }
            RelayError::TooLong => f.write_str("an event has no end; the stream is broken"),
        }
    }
}

impl std::error::Error for RelayError {}

/// Returns the end of the first event, searching for its blank line from `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let at = bytes[from..].windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf =
        bytes[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
    match (at, crlf) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Whether an event consists only of comments.
fn is_comment(event: &[u8]) -> bool {
    event.split(|&byte| byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_number(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
