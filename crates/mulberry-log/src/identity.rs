//! Identity file: format version of the folder and member id of its replica.

use mulberry_consensus::MemberId;

pub(crate) const IDENTITY_FILE: &str = "identity";

const MAGIC: [u8; 4] = *b"MLID";
pub(crate) const FORMAT: u32 = 1;
const FILE_BYTES: usize = 20;

/// Error of decoding an identity file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum IdentityError {
    Corrupt,
    UnknownFormat(u32),
}

/// Encodes the magic number (4 bytes), format version (u32), member id (u64) and CRC-32C of the
/// preceding bytes (u32), all little-endian.
pub(crate) fn encode(member: MemberId) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_BYTES);
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(member.0.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Result<MemberId, IdentityError> {
    if bytes.len() < 8 || bytes[..4] != MAGIC {
        return Err(IdentityError::Corrupt);
    }
    let format = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if format != FORMAT {
        return Err(IdentityError::UnknownFormat(format));
    }
    if bytes.len() != FILE_BYTES || bytes[16..] != crc32c::crc32c(&bytes[..16]).to_le_bytes() {
        return Err(IdentityError::Corrupt);
    }
    let mut member = [0; 8];
    member.copy_from_slice(&bytes[8..16]);
    Ok(MemberId(u64::from_le_bytes(member)))
}
