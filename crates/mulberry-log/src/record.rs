//! Records of a segment.
//!
//! A segment starts with a header: a magic number (4 bytes) and the format version (u32). Records
//! follow: length of the body (u32), checksum of the header (u32), checksum of header and body (u32),
//! body. All numbers are little-endian and all checksums are CRC-32C. The separate checksum of the
//! header lets the search for a later record reject almost every offset without reading a body.

use mulberry_consensus::{Entry, HardState, MemberId};
use serde::{Deserialize, Serialize};

pub(crate) const SEGMENT_MAGIC: [u8; 4] = *b"MLOG";
pub(crate) const FORMAT: u32 = 1;

/// Size of the magic number and the format version at the start of a segment.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 8;

pub(crate) const RECORD_HEADER_BYTES: usize = 12;

/// Item of a record's body. The order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) enum Item {
    /// First item of a segment. Contains the state before the segment, so that earlier segments can be
    /// removed.
    SegmentStart {
        base_index: u64,
        next_index: u64,
        hard_state: HardState,
    },

    HardState(HardState),

    /// The snapshot up to `index` is complete on disk. If `keep_later_entries` is false, the entries
    /// after it are dropped.
    SnapshotInstalled {
        index: u64,
        keep_later_entries: bool,
    },

    TruncateFrom(u64),

    Entry(Entry),
}

/// Borrowed form of [`Item`], for writing without copies.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) enum ItemRef<'a> {
    SegmentStart { base_index: u64, next_index: u64, hard_state: &'a HardState },
    HardState(&'a HardState),
    SnapshotInstalled { index: u64, keep_later_entries: bool },
    TruncateFrom(u64),
    Entry(&'a Entry),
}

/// Identifies a segment. Its checksums cover both fields.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SegmentId {
    pub(crate) member: MemberId,
    pub(crate) sequence: u64,
}

/// Result of reading a record at an offset of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome<'a> {
    Record {
        body: &'a [u8],

        /// Offset of the first byte after the record.
        end: usize,
    },

    /// The offset is the end of the file.
    End,

    Invalid {
        problem: &'static str,

        /// Offset of the first byte after the record, if its header is valid.
        end: Option<usize>,
    },
}

impl SegmentId {
    /// Header of a segment file.
    pub(crate) fn segment_header() -> [u8; SEGMENT_HEADER_BYTES] {
        let mut header = [0; SEGMENT_HEADER_BYTES];
        header[..4].copy_from_slice(&SEGMENT_MAGIC);
        header[4..].copy_from_slice(&FORMAT.to_le_bytes());
        header
    }

    /// Fills in the header of a record that will be written at `offset`. `record` contains space for
    /// the header, followed by the body.
    pub(crate) fn fill_header(self, offset: u64, record: &mut [u8]) {
        let (header, body) = record.split_at_mut(RECORD_HEADER_BYTES);
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
        let header_checksum = self.header_checksum(offset, length);
        header[..4].copy_from_slice(&length);
        header[4..8].copy_from_slice(&header_checksum.to_le_bytes());
        header[8..].copy_from_slice(&crc32c::crc32c_append(header_checksum, body).to_le_bytes());
    }

    pub(crate) fn read_at(self, data: &[u8], offset: usize) -> ReadOutcome<'_> {
        let rest = &data[offset.min(data.len())..];
        if rest.is_empty() {
            return ReadOutcome::End;
        }
        if rest.len() < RECORD_HEADER_BYTES {
            return ReadOutcome::Invalid {
                problem: "the header of a record is incomplete",
                end: None,
            };
        }
        let (header, rest) = rest.split_at(RECORD_HEADER_BYTES);
        let length = [header[0], header[1], header[2], header[3]];
        let header_checksum = self.header_checksum(offset as u64, length);
        if header[4..8] != header_checksum.to_le_bytes() {
            return ReadOutcome::Invalid {
                problem: "the header of a record is invalid",
                end: None,
            };
        }
        let length = u32::from_le_bytes(length) as usize;
        let end = offset.checked_add(RECORD_HEADER_BYTES + length);
        let Some(body) = rest.get(..length) else {
            return ReadOutcome::Invalid { problem: "the body of a record is incomplete", end };
        };
        if header[8..] != crc32c::crc32c_append(header_checksum, body).to_le_bytes() {
            return ReadOutcome::Invalid {
                problem: "the checksum of a record does not match",
                end,
            };
        }
        ReadOutcome::Record { body, end: offset + RECORD_HEADER_BYTES + length }
    }

    /// Returns the offset of a later record, which proves that the invalid record at `invalid` had been
    /// synced.
    ///
    /// If the header of the invalid record is valid, a valid header directly after that record
    /// suffices. Otherwise the later record must be valid as a whole.
    pub(crate) fn find_later_record(
        self,
        data: &[u8],
        invalid: usize,
        end: Option<usize>,
    ) -> Option<usize> {
        if let Some(end) = end.filter(|end| *end < data.len()) {
            let found = self.read_at(data, end);
            if !matches!(found, ReadOutcome::End | ReadOutcome::Invalid { end: None, .. }) {
                return Some(end);
            }
        }
        (invalid + 1..data.len().saturating_sub(RECORD_HEADER_BYTES))
            .find(|offset| matches!(self.read_at(data, *offset), ReadOutcome::Record { .. }))
    }

    fn header_checksum(self, offset: u64, length: [u8; 4]) -> u32 {
        let mut input = [0; 28];
        input[..8].copy_from_slice(&self.member.0.to_le_bytes());
        input[8..16].copy_from_slice(&self.sequence.to_le_bytes());
        input[16..24].copy_from_slice(&offset.to_le_bytes());
        input[24..].copy_from_slice(&length);
        crc32c::crc32c(&input)
    }
}

/// Decodes the items of a record's body. Returns `None` if the body is malformed.
pub(crate) fn decode_items(mut body: &[u8]) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    while !body.is_empty() {
        let (item, rest) = postcard::take_from_bytes(body).ok()?;
        items.push(item);
        body = rest;
    }
    Some(items)
}
