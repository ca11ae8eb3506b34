//! Data folder with a checksummed log and snapshots.
//!
//! One folder belongs to one replica and holds:
//!
//! - `lock`: locked while a process uses the folder.
//! - `identity`: format and member id, written before any other file except `lock`.
//! - `log-{sequence}`: segments of the log. Each [`DataFolder::write`] appends one record and syncs it.
//! - `snapshot-{index}`: the latest snapshot, and the previous one until the latest is installed.
//! - `*.new`: a temporary file that is being written; removed at open.
//!
//! # Torn writes and corruption
//!
//! A record contains one whole `write` call, has one checksum, and is synced before the next record is
//! appended. Only long calls and calls with a snapshot take several records. After a crash, therefore,
//! only the last record of the last segment can be incomplete. Any of its bytes can be missing, even
//! earlier bytes when later ones were written. It was never acknowledged and is truncated at open.
//!
//! A valid record after an invalid one proves that the invalid one had been synced. This is corruption,
//! and opening the folder fails. Because the length of the invalid record cannot be trusted, the search
//! for a valid record tries every later offset. The checksums cover the member id, the segment and the
//! offset, so that neither the contents of a command nor bytes of another file are taken for a record.
//! An invalid record in any segment but the last is corruption too, because a segment is started only
//! after everything before it is synced.
//!
//! Corruption of the very last record cannot be distinguished from a torn write, so the record is
//! truncated. The replica then lacks its latest acknowledged write, which the log alone cannot detect.

mod data_folder;
mod disk;
mod identity;
mod log_error;
mod log_metadata;
mod log_settings;
mod record;
mod recovery;
mod snapshot_file;

pub use data_folder::DataFolder;
pub use disk::{Disk, FileSystemDisk};
pub use log_error::LogError;
pub use log_settings::LogSettings;
