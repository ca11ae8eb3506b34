//! Log of departures: targets whose last state, draining or gone, must survive a restart.
//!
//! The warm-start file is replaced some time after a change. Until then this log holds the departures that were
//! acknowledged, and each of them costs one small write and one sync. A record is its length and its checksum, as
//! little-endian `u32`, followed by the target encoded with postcard.

use std::fs::{File, OpenOptions};
use std::io::{self, Seek as _, SeekFrom, Write as _};
use std::path::Path;

use mulberry_directory::TargetRecord;

/// File of the log, in the data folder.
pub(crate) const DEPARTURES_FILE: &str = "departures";

/// Bytes before the encoded target.
const HEADER_BYTES: usize = 8;

/// Log of departures in a data folder.
#[derive(Debug)]
pub(crate) struct DepartureLog {
    file: File,

    /// Length of the complete records. A failed write may leave bytes behind them, which the next one overwrites.
    length: u64,
}

impl DepartureLog {
    /// Opens the log and returns its records. The log ends at the first record that is damaged.
    ///
    /// # Errors
    /// The file cannot be opened or read.
    pub(crate) fn open(folder: &Path) -> io::Result<(DepartureLog, Vec<TargetRecord>)> {
        let path = folder.join(DEPARTURES_FILE);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        let bytes = std::fs::read(&path)?;
        let mut records = Vec::new();
        let mut rest = &bytes[..];
        while let Some((record, length)) = decode(rest) {
            records.push(record);
            rest = &rest[length..];
        }
        let length = (bytes.len() - rest.len()) as u64;
        Ok((DepartureLog { file, length }, records))
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    /// The disk is full or fails. The record may be missing after a restart.
    pub(crate) fn append(&mut self, record: &TargetRecord) -> io::Result<()> {
        let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        self.file.seek(SeekFrom::Start(self.length))?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has no records.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Removes all records.
    ///
    /// # Errors
    /// The file cannot be truncated.
    pub(crate) fn clear(&mut self) -> io::Result<()> {
        self.file.set_len(0)?;
        self.length = 0;
        Ok(())
    }
}

/// The first record of `bytes` and its length; `None` if it is missing, torn or damaged.
fn decode(bytes: &[u8]) -> Option<(TargetRecord, usize)> {
    let length = u32::from_le_bytes(*bytes.first_chunk()?) as usize;
    let checksum = u32::from_le_bytes(*bytes.get(4..)?.first_chunk()?);
    let end = HEADER_BYTES.checked_add(length)?;
    let body = bytes.get(HEADER_BYTES..end)?;
    if crc32c::crc32c(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}
