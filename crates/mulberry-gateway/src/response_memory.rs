//! Memory for responses that are buffered before they are forwarded.
//!
//! A faulty target may send bytes without end. The memory of one response and of all together is bounded, so that only
//! the requests to that target fail.

use std::cell::Cell;
use std::rc::Rc;

use crate::GatewaySettings;
use crate::held_memory::HeldMemory;

/// Maximum length of a part formed by joining shorter ones.
const PART_BYTES: usize = 16 * 1024;

/// Tracks the bytes of buffered responses against their limit.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    max_response_bytes: usize,
    max_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
    held_memory: Rc<HeldMemory>,
}

/// A buffered response body, counted against the limit until dropped. It is kept in parts, since one growing buffer
/// would be copied and take twice the counted memory.
#[derive(Debug)]
pub(crate) struct Body {
    parts: Vec<Vec<u8>>,
    length: usize,
    max_response_bytes: usize,
    max_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
    held_memory: Rc<HeldMemory>,
}

impl ResponseMemory {
    pub(crate) fn new(settings: &GatewaySettings, held_memory: Rc<HeldMemory>) -> ResponseMemory {
        ResponseMemory {
            max_response_bytes: settings.max_response_bytes,
            max_bytes: settings.response_memory_bytes,
            used_bytes: Rc::default(),
            held_memory,
        }
    }

    /// Returns an empty body.
    pub(crate) fn body(&self) -> Body {
        Body {
            parts: Vec::new(),
            length: 0,
            max_response_bytes: self.max_response_bytes,
            max_bytes: self.max_bytes,
            used_bytes: self.used_bytes.clone(),
            held_memory: self.held_memory.clone(),
        }
    }
}

impl Body {
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(Vec::as_slice)
    }

    /// Length in bytes.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Appends a part. Returns false if it exceeds the limit of one response or of all together.
    pub(crate) fn append(&mut self, part: Vec<u8>) -> bool {
        let used_bytes = self.used_bytes.get() + part.len();
        if self.length + part.len() > self.max_response_bytes
            || used_bytes > self.max_bytes
            || !self.held_memory.hold_answer(part.len())
        {
            tracing::warn!(
                event = "answer_too_long",
                answer_bytes = self.length,
                held_bytes = self.used_bytes.get()
            );
            return false;
        }
        self.used_bytes.set(used_bytes);
        self.length += part.len();
        match self.parts.last_mut() {
            Some(last) if last.len() + part.len() <= PART_BYTES => last.extend_from_slice(&part),
            _ => self.parts.push(part),
        }
        true
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.used_bytes.set(self.used_bytes.get() - self.length);
        self.held_memory.release_answer(self.length);
    }
}
