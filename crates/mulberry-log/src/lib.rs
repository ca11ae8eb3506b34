//! Data folder with a checksummed log and snapshots.
//!
//! One folder belongs to one replica and holds:
//!
//! - `lock`: locked while a process uses the folder.
//! - `identity`: format and member id, written before anything else.
//! - `log-{sequence}`: segments of the log. Each [`DataFolder::write`] appends one record and syncs it.
//! - `snapshot-{index}`: the newest snapshot, and the one before it until the newest is in place.
//! - `*.new`: a file that is being written; removed at open.
//!
//! # Torn tail and damage
//!
//! A record is one whole `write` call with one checksum, and it is synced before the next one is
//! appended. Therefore at most the last record of the last segment can be incomplete after a crash, in
//! any shape: a part of its bytes, or later parts without earlier ones. It was never acknowledged and is
//! truncated at open.
//!
//! A valid record after an invalid one proves that the invalid one had been synced: this is damage, and
//! the folder is refused. To find such a record although the length of the invalid one cannot be
//! trusted, each later offset is tried. The checksums cover the member id, the segment and the offset,
//! so that neither the contents of a command nor bytes of another file pass for a record. An invalid
//! record in any but the last segment is damage too, because a segment is started only after everything
//! before it is synced.
//!
//! Damage to the very last record cannot be told from a torn tail: it is truncated like one. The
//! replica then lacks its latest acknowledged write, which a log alone cannot detect.

mod data_folder;
mod disk;
mod identity;
mod log_error;
mod log_settings;
mod log_shape;
mod record;
mod recovery;
mod snapshot_file;

pub use data_folder::DataFolder;
pub use disk::{Disk, FileSystemDisk};
pub use log_error::LogError;
pub use log_settings::LogSettings;
