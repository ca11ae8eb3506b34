//! Records of a segment.
//!
//! A segment starts with a mark (4 bytes) and the format (u32). Then follow records: length of the body
//! (u32), checksum of the header (u32), checksum of header and body (u32), body. All numbers are in
//! little-endian order, all checksums are crc32c. The separate checksum of the header lets the search
//! for a later record reject almost every offset without reading a body.

use mulberry_consensus::{Entry, HardState, MemberId};
use serde::{Deserialize, Serialize};

pub(crate) const SEGMENT_MARK: [u8; 4] = *b"MLOG";
pub(crate) const FORMAT: u32 = 1;

/// Mark and format at the start of a segment.
pub(crate) const PREFIX_BYTES: usize = 8;

pub(crate) const HEADER_BYTES: usize = 12;

/// Part of a record. The order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) enum Item {
    /// First item of a segment: the state before it, so that earlier segments can be removed.
    Start {
        base: u64,
        next: u64,
        hard_state: HardState,
    },

    HardState(HardState),

    /// A snapshot up to `index` is in place. Later entries are kept if `keep_after`, else dropped.
    SnapshotInPlace {
        index: u64,
        keep_after: bool,
    },

    TruncateFrom(u64),

    Entry(Entry),
}

/// [`Item`] without copies, for writing.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) enum ItemRef<'a> {
    Start { base: u64, next: u64, hard_state: &'a HardState },
    HardState(&'a HardState),
    SnapshotInPlace { index: u64, keep_after: bool },
    TruncateFrom(u64),
    Entry(&'a Entry),
}

/// Segment whose records are read or written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SegmentKey {
    pub(crate) member: MemberId,
    pub(crate) sequence: u64,
}

/// What is at an offset of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found<'a> {
    Record {
        body: &'a [u8],

        /// Offset behind the record.
        end: usize,
    },

    /// Exactly the end of the file.
    End,

    Invalid {
        problem: &'static str,

        /// Offset behind the record, if its header is valid.
        end: Option<usize>,
    },
}

impl SegmentKey {
    /// Start of a segment file.
    pub(crate) fn prefix() -> [u8; PREFIX_BYTES] {
        let mut prefix = [0; PREFIX_BYTES];
        prefix[..4].copy_from_slice(&SEGMENT_MARK);
        prefix[4..].copy_from_slice(&FORMAT.to_le_bytes());
        prefix
    }

    /// Fills in the header of a record that is to be at `offset`. `record` holds room for the header,
    /// then the body.
    pub(crate) fn seal(self, offset: u64, record: &mut [u8]) {
        let (header, body) = record.split_at_mut(HEADER_BYTES);
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
        let header_sum = self.header_sum(offset, length);
        header[..4].copy_from_slice(&length);
        header[4..8].copy_from_slice(&header_sum.to_le_bytes());
        header[8..].copy_from_slice(&crc32c::crc32c_append(header_sum, body).to_le_bytes());
    }

    pub(crate) fn find(self, data: &[u8], offset: usize) -> Found<'_> {
        let rest = &data[offset.min(data.len())..];
        if rest.is_empty() {
            return Found::End;
        }
        if rest.len() < HEADER_BYTES {
            return Found::Invalid { problem: "the header of a record is incomplete", end: None };
        }
        let (header, rest) = rest.split_at(HEADER_BYTES);
        let length = [header[0], header[1], header[2], header[3]];
        let header_sum = self.header_sum(offset as u64, length);
        if header[4..8] != header_sum.to_le_bytes() {
            return Found::Invalid { problem: "the header of a record is invalid", end: None };
        }
        let length = u32::from_le_bytes(length) as usize;
        let end = offset.checked_add(HEADER_BYTES + length);
        let Some(body) = rest.get(..length) else {
            return Found::Invalid { problem: "the body of a record is incomplete", end };
        };
        if header[8..] != crc32c::crc32c_append(header_sum, body).to_le_bytes() {
            return Found::Invalid { problem: "the checksum of a record does not match", end };
        }
        Found::Record { body, end: offset + HEADER_BYTES + length }
    }

    /// Offset of evidence that the record at `invalid` had been synced: a valid record behind it.
    ///
    /// When the header of the invalid record can be trusted, a valid header right behind it is enough.
    pub(crate) fn find_later_record(
        self,
        data: &[u8],
        invalid: usize,
        end: Option<usize>,
    ) -> Option<usize> {
        if let Some(end) = end.filter(|end| *end < data.len()) {
            let found = self.find(data, end);
            if !matches!(found, Found::End | Found::Invalid { end: None, .. }) {
                return Some(end);
            }
        }
        (invalid + 1..data.len().saturating_sub(HEADER_BYTES))
            .find(|offset| matches!(self.find(data, *offset), Found::Record { .. }))
    }

    fn header_sum(self, offset: u64, length: [u8; 4]) -> u32 {
        let mut salt = [0; 28];
        salt[..8].copy_from_slice(&self.member.0.to_le_bytes());
        salt[8..16].copy_from_slice(&self.sequence.to_le_bytes());
        salt[16..24].copy_from_slice(&offset.to_le_bytes());
        salt[24..].copy_from_slice(&length);
        crc32c::crc32c(&salt)
    }
}

/// Items of a record's body. `None` if it is not made of whole items.
pub(crate) fn decode_items(mut body: &[u8]) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    while !body.is_empty() {
        let (item, rest) = postcard::take_from_bytes(body).ok()?;
        items.push(item);
        body = rest;
    }
    Some(items)
}
