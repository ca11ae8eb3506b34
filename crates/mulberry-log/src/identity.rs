//! Format of the folder and id of its replica.

use mulberry_consensus::MemberId;

pub(crate) const IDENTITY_FILE: &str = "identity";

const MARK: [u8; 4] = *b"MLID";
pub(crate) const FORMAT: u32 = 1;
const BYTES: usize = 20;

/// Why an identity file cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum IdentityProblem {
    Damaged,
    UnknownFormat(u32),
}

/// Mark, format (u32), member id (u64) and crc32c of all before it (u32), in little-endian order.
pub(crate) fn encode(member: MemberId) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(BYTES);
    bytes.extend(MARK);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(member.0.to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Result<MemberId, IdentityProblem> {
    if bytes.len() < 8 || bytes[..4] != MARK {
        return Err(IdentityProblem::Damaged);
    }
    let format = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if format != FORMAT {
        return Err(IdentityProblem::UnknownFormat(format));
    }
    if bytes.len() != BYTES || bytes[16..] != crc32c::crc32c(&bytes[..16]).to_le_bytes() {
        return Err(IdentityProblem::Damaged);
    }
    let mut member = [0; 8];
    member.copy_from_slice(&bytes[8..16]);
    Ok(MemberId(u64::from_le_bytes(member)))
}
