//! Snapshot files.
//!
//! Layout, numbers in little-endian order: mark (4 bytes), format (u32), length of the body (u64),
//! crc32c of the body (u32), body in postcard.

use mulberry_consensus::Snapshot;

const MARK: [u8; 4] = *b"MLSN";
pub(crate) const FORMAT: u32 = 1;
const HEADER_BYTES: usize = 20;

/// Why a snapshot file cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SnapshotProblem {
    Damaged(&'static str),
    UnknownFormat(u32),
}

pub(crate) fn encode(snapshot: &Snapshot) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(snapshot, vec![0; HEADER_BYTES])?;
    let (header, body) = bytes.split_at_mut(HEADER_BYTES);
    header[..4].copy_from_slice(&MARK);
    header[4..8].copy_from_slice(&FORMAT.to_le_bytes());
    header[8..16].copy_from_slice(&(body.len() as u64).to_le_bytes());
    header[16..].copy_from_slice(&crc32c::crc32c(body).to_le_bytes());
    Ok(bytes)
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotProblem> {
    if bytes.len() < HEADER_BYTES || bytes[..4] != MARK {
        return Err(SnapshotProblem::Damaged("its start is no header of a snapshot"));
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    let format = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if format != FORMAT {
        return Err(SnapshotProblem::UnknownFormat(format));
    }
    if header[8..16] != (body.len() as u64).to_le_bytes() {
        return Err(SnapshotProblem::Damaged("its length does not match its header"));
    }
    if header[16..] != crc32c::crc32c(body).to_le_bytes() {
        return Err(SnapshotProblem::Damaged("its checksum does not match"));
    }
    postcard::from_bytes(body).map_err(|_| SnapshotProblem::Damaged("its contents are malformed"))
}
