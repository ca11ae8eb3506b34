//! Snapshot files.
//!
//! Layout, with little-endian numbers: magic number (4 bytes), format version (u32), length of the body
//! (u64), CRC-32C of the body (u32), body in postcard encoding.

use mulberry_consensus::Snapshot;

const MAGIC: [u8; 4] = *b"MLSN";
pub(crate) const FORMAT: u32 = 1;
const HEADER_BYTES: usize = 20;

/// Error of decoding a snapshot file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SnapshotFileError {
    Corrupt(&'static str),
    UnknownFormat(u32),
}

pub(crate) fn encode(snapshot: &Snapshot) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(snapshot, vec![0; HEADER_BYTES])?;
    let (header, body) = bytes.split_at_mut(HEADER_BYTES);
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&FORMAT.to_le_bytes());
    header[8..16].copy_from_slice(&(body.len() as u64).to_le_bytes());
    header[16..].copy_from_slice(&crc32c::crc32c(body).to_le_bytes());
    Ok(bytes)
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotFileError> {
    if bytes.len() < HEADER_BYTES || bytes[..4] != MAGIC {
        return Err(SnapshotFileError::Corrupt("the snapshot header is invalid"));
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    let format = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if format != FORMAT {
        return Err(SnapshotFileError::UnknownFormat(format));
    }
    if header[8..16] != (body.len() as u64).to_le_bytes() {
        return Err(SnapshotFileError::Corrupt("the length of the file does not match its header"));
    }
    if header[16..] != crc32c::crc32c(body).to_le_bytes() {
        return Err(SnapshotFileError::Corrupt("the checksum does not match"));
    }
    postcard::from_bytes(body).map_err(|_| SnapshotFileError::Corrupt("the contents are malformed"))
}
