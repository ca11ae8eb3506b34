//! Bytes in their order, in parts whose whole memory is counted.

use std::collections::VecDeque;

/// Size of a part; longer bytes have a part of their own.
const PART_BYTES: usize = 4 * 1024;

/// Bytes that wait for a reader.
#[derive(Debug, Default)]
pub struct PartQueue {
    parts: VecDeque<Vec<u8>>,

    /// Bytes of the first part that the reader has taken.
    taken_bytes: usize,
}

impl PartQueue {
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The first bytes that wait.
    pub fn front(&self) -> Option<&[u8]> {
        self.parts.front().map(|part| &part[self.taken_bytes..])
    }

    /// Appends bytes. Returns by how much the memory has grown.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        if bytes.is_empty() {
            return 0;
        }
        match self.parts.back_mut() {
            Some(last) if last.len() + bytes.len() <= last.capacity() => {
                last.extend_from_slice(bytes);
                0
            }
            _ => {
                let mut part = Vec::with_capacity(bytes.len().max(PART_BYTES));
                part.extend_from_slice(bytes);
                let grown_bytes = part.capacity();
                self.parts.push_back(part);
                grown_bytes
            }
        }
    }

    /// Removes bytes that the reader has taken of [`Self::front`]. Returns by how much the memory has shrunk.
    pub fn take(&mut self, count: usize) -> usize {
        self.taken_bytes += count;
        if self.parts.front().is_none_or(|part| self.taken_bytes < part.len()) {
            return 0;
        }
        self.taken_bytes = 0;
        self.parts.pop_front().map_or(0, |part| part.capacity())
    }
}
