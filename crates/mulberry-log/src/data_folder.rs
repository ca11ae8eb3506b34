//! The data folder of one replica.

use std::io;
use std::path::Path;

use mulberry_consensus::{DurableState, MemberId, Payload, Snapshot, Writes};

use crate::log_shape::{LogShape, Segment};
use crate::record::{HEADER_BYTES, ItemRef, SegmentKey};
use crate::recovery;
use crate::snapshot_file;
use crate::{Disk, FileSystemDisk, LogError, LogSettings};

const SEGMENT_NAME: &str = "log-";
const SNAPSHOT_NAME: &str = "snapshot-";

/// Suffix of a file that is being written.
pub(crate) const ASIDE_SUFFIX: &str = ".new";

/// Longest command of one entry. The length of a record is a `u32` and leaves room for a whole record
/// beside it.
const MAX_COMMAND_BYTES: usize = 1 << 30;

/// Data folder of one replica, locked while this value lives.
#[derive(Debug)]
pub struct DataFolder {
    pub(crate) disk: Box<dyn Disk>,
    pub(crate) settings: LogSettings,
    pub(crate) member: MemberId,
    pub(crate) shape: LogShape,

    /// Index of the newest snapshot file.
    pub(crate) snapshot_index: Option<u64>,

    /// Size of the current segment.
    pub(crate) segment_bytes: u64,

    pub(crate) buffer: Vec<u8>,

    /// Text of the first failed write. After a failed sync the kernel may have dropped the unsynced
    /// pages, so a later sync could succeed without them.
    pub(crate) first_error: Option<String>,
}

impl DataFolder {
    /// Opens the folder, creates it on the first start, and recovers what was written.
    ///
    /// # Errors
    /// The folder is locked, damaged, of an unknown format, or cannot be read or written.
    pub fn open(
        path: &Path,
        settings: LogSettings,
    ) -> Result<(DataFolder, DurableState), LogError> {
        let disk = FileSystemDisk::new(path).map_err(|source| LogError::Open {
            action: "create",
            file: path.display().to_string(),
            source,
        })?;
        DataFolder::open_with_disk(Box::new(disk), settings)
    }

    /// Opens the folder on `disk`.
    ///
    /// # Errors
    /// As [`DataFolder::open`].
    pub fn open_with_disk(
        disk: Box<dyn Disk>,
        settings: LogSettings,
    ) -> Result<(DataFolder, DurableState), LogError> {
        recovery::open(disk, settings)
    }

    /// Id of the replica, drawn at the first start of the folder.
    pub fn member_id(&self) -> MemberId {
        self.member
    }

    /// Writes and syncs, in the order of the fields of `writes`. Without a snapshot this is one sync.
    ///
    /// # Errors
    /// [`LogError::InvalidWrites`] when the writes do not continue the log; nothing is written then. Any
    /// other error ends the use of the folder: nothing of `writes` counts as written until the folder is
    /// opened again, and each later call fails with [`LogError::Unusable`].
    pub fn write(&mut self, writes: &Writes) -> Result<(), LogError> {
        self.check_usable()?;
        self.check(writes)?;
        let result = self.write_checked(writes);
        self.remember_failure(result)
    }

    /// Stores a snapshot and drops the log up to its index. A snapshot that is not newer than the stored
    /// one is ignored.
    ///
    /// # Errors
    /// As [`DataFolder::write`].
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), LogError> {
        self.check_usable()?;
        if snapshot.index <= self.shape.base {
            return Ok(());
        }
        let result = self.place_snapshot(snapshot).and_then(|item| {
            self.append(&[item])?;
            self.drop_covered()
        });
        self.remember_failure(result)
    }

    fn check_usable(&self) -> Result<(), LogError> {
        match &self.first_error {
            Some(error) => Err(LogError::Unusable { first_error: error.clone() }),
            None => Ok(()),
        }
    }

    fn remember_failure(&mut self, result: Result<(), LogError>) -> Result<(), LogError> {
        if let Err(error) = &result {
            tracing::error!(event = "data_folder_failed", error = %error);
            self.first_error = Some(error.to_string());
        }
        result
    }

    fn check(&self, writes: &Writes) -> Result<(), LogError> {
        let invalid = |problem: String| Err(LogError::InvalidWrites { problem });
        let mut shape_base = self.shape.base;
        let mut next = self.shape.next;
        let snapshot = self.newer_snapshot(writes);
        if let Some(snapshot) = snapshot {
            shape_base = snapshot.index;
            next = if self.keeps_after(snapshot) { next } else { 0 }.max(snapshot.index + 1);
        }
        if let Some(from) = writes.truncate_from {
            if snapshot.is_none() && (from <= shape_base || from > next) {
                return invalid(format!(
                    "truncation from {from}, but the log holds {} to {}",
                    shape_base + 1,
                    next.saturating_sub(1)
                ));
            }
            next = from.clamp(shape_base + 1, next);
        }
        for entry in &writes.entries {
            if entry.index != next {
                return invalid(format!("entry {} where {next} is due", entry.index));
            }
            if matches!(&entry.payload, Payload::Command(command) if command.len() > MAX_COMMAND_BYTES)
            {
                return invalid(format!("entry {next} is over {MAX_COMMAND_BYTES} bytes"));
            }
            next += 1;
        }
        Ok(())
    }

    fn write_checked(&mut self, writes: &Writes) -> Result<(), LogError> {
        let mut items = Vec::with_capacity(writes.entries.len() + 3);
        items.extend(writes.hard_state.as_ref().map(ItemRef::HardState));
        let snapshot = self.newer_snapshot(writes);
        let mut base = self.shape.base;
        let mut next = self.shape.next;
        if let Some(snapshot) = snapshot {
            // First, because the snapshot can belong to the new term.
            self.append(&items)?;
            items.clear();
            let item = self.place_snapshot(snapshot)?;
            items.push(item);
            base = snapshot.index;
            next = if self.keeps_after(snapshot) { next } else { 0 }.max(base + 1);
        }
        if let Some(from) = writes.truncate_from {
            items.push(ItemRef::TruncateFrom(from.clamp(base + 1, next)));
        }
        items.extend(writes.entries.iter().map(ItemRef::Entry));
        self.append(&items)?;
        if snapshot.is_some() {
            self.drop_covered()?;
        }
        Ok(())
    }

    fn newer_snapshot<'a>(&self, writes: &'a Writes) -> Option<&'a Snapshot> {
        writes.snapshot.as_ref().filter(|snapshot| snapshot.index > self.shape.base)
    }

    /// Whether the entries after `snapshot` continue it. If the log holds another entry at its index, or
    /// none, they belong to another history and are dropped.
    pub(crate) fn keeps_after(&self, snapshot: &Snapshot) -> bool {
        self.shape.term_at(snapshot.index) == Some(snapshot.term)
    }

    /// Writes the snapshot file and returns the item that makes the log continue it.
    fn place_snapshot<'a>(&mut self, snapshot: &Snapshot) -> Result<ItemRef<'a>, LogError> {
        let name = snapshot_name(snapshot.index);
        let bytes = snapshot_file::encode(snapshot).map_err(|error| LogError::InvalidWrites {
            problem: format!("snapshot {} cannot be encoded: {error}", snapshot.index),
        })?;
        self.write_aside(&name, &bytes)?;
        Ok(ItemRef::SnapshotInPlace {
            index: snapshot.index,
            keep_after: self.keeps_after(snapshot),
        })
    }

    /// Writes a whole file so that it is either missing or complete after a crash.
    pub(crate) fn write_aside(&mut self, name: &str, bytes: &[u8]) -> Result<(), LogError> {
        let aside = format!("{name}{ASIDE_SUFFIX}");
        self.attempt("create", &aside, |disk| disk.create(&aside))?;
        self.attempt("write", &aside, |disk| disk.append(&aside, bytes))?;
        self.attempt("sync", &aside, |disk| disk.sync(&aside))?;
        self.attempt("rename", &aside, |disk| disk.rename(&aside, name))?;
        self.sync_folder()
    }

    /// Appends and syncs the items as one record, or several if they are long.
    pub(crate) fn append(&mut self, items: &[ItemRef<'_>]) -> Result<(), LogError> {
        if items.is_empty() {
            return Ok(());
        }
        if self.segment_bytes >= self.settings.segment_bytes {
            self.start_segment()?;
        }
        let mut record = std::mem::take(&mut self.buffer);
        record.clear();
        for item in items {
            record = extend_record(record, item)?;
            if (record.len() - HEADER_BYTES) as u64 >= self.settings.record_bytes {
                self.append_record(&mut record)?;
            }
        }
        if !record.is_empty() {
            self.append_record(&mut record)?;
        }
        self.buffer = record;
        for item in items {
            apply(&mut self.shape, item);
        }
        Ok(())
    }

    /// Starts a segment. Everything before it is synced already.
    pub(crate) fn start_segment(&mut self) -> Result<(), LogError> {
        let sequence = self.shape.segments.back().map_or(1, |segment| segment.sequence + 1);
        let name = segment_name(sequence);
        let prefix = SegmentKey::prefix();
        let start = ItemRef::Start {
            base: self.shape.base,
            next: self.shape.next,
            hard_state: &self.shape.hard_state,
        };
        let mut record = extend_record(Vec::new(), &start)?;
        let key = SegmentKey { member: self.member, sequence };
        key.seal(prefix.len() as u64, &mut record);
        let bytes = [&prefix[..], &record].concat();
        self.attempt("create", &name, |disk| disk.create(&name))?;
        self.attempt("write", &name, |disk| disk.append(&name, &bytes))?;
        self.attempt("sync", &name, |disk| disk.sync(&name))?;
        self.sync_folder()?;
        self.shape.segments.push_back(Segment { sequence, last_index: 0 });
        self.segment_bytes = bytes.len() as u64;
        Ok(())
    }

    /// Removes older snapshots, and segments that hold nothing behind the newest one.
    pub(crate) fn drop_covered(&mut self) -> Result<(), LogError> {
        let base = self.shape.base;
        if let Some(older) = self.snapshot_index.filter(|older| *older != base) {
            self.remove(&snapshot_name(older))?;
        }
        self.snapshot_index = (base > 0).then_some(base);
        if self
            .shape
            .segments
            .back()
            .is_some_and(|current| (1..=base).contains(&current.last_index))
        {
            self.start_segment()?;
        }
        while self.shape.segments.len() > 1 && self.shape.segments[0].last_index <= base {
            // Synced one by one from the oldest, so that no crash leaves a gap in the sequence.
            let name = segment_name(self.shape.segments[0].sequence);
            self.remove(&name)?;
            self.shape.segments.pop_front();
        }
        Ok(())
    }

    pub(crate) fn remove(&mut self, name: &str) -> Result<(), LogError> {
        self.attempt("remove", name, |disk| disk.remove(name))?;
        self.sync_folder()
    }

    pub(crate) fn sync_folder(&mut self) -> Result<(), LogError> {
        self.attempt("sync folder", "", |disk| disk.sync_folder())
    }

    pub(crate) fn attempt(
        &mut self,
        action: &'static str,
        name: &str,
        operation: impl FnOnce(&mut dyn Disk) -> io::Result<()>,
    ) -> Result<(), LogError> {
        operation(self.disk.as_mut()).map_err(|source| LogError::Write {
            action,
            file: self.disk.display_path(name),
            source,
        })
    }

    fn append_record(&mut self, record: &mut Vec<u8>) -> Result<(), LogError> {
        let sequence = self.shape.segments.back().map_or(0, |segment| segment.sequence);
        let name = segment_name(sequence);
        SegmentKey { member: self.member, sequence }.seal(self.segment_bytes, record);
        self.attempt("write", &name, |disk| disk.append(&name, record))?;
        self.attempt("sync", &name, |disk| disk.sync(&name))?;
        self.segment_bytes += record.len() as u64;
        record.clear();
        Ok(())
    }
}

/// Appends an item to a record, after room for the header.
fn extend_record(mut record: Vec<u8>, item: &ItemRef<'_>) -> Result<Vec<u8>, LogError> {
    if record.is_empty() {
        record.resize(HEADER_BYTES, 0);
    }
    postcard::to_extend(item, record).map_err(|error| LogError::InvalidWrites {
        problem: format!("an item cannot be encoded: {error}"),
    })
}

fn apply(shape: &mut LogShape, item: &ItemRef<'_>) {
    match item {
        ItemRef::Start { .. } => {}
        ItemRef::HardState(hard_state) => shape.hard_state = **hard_state,
        ItemRef::SnapshotInPlace { index, keep_after } => shape.start_after(*index, *keep_after),
        ItemRef::TruncateFrom(from) => shape.truncate(*from),
        ItemRef::Entry(entry) => shape.push(entry.index, entry.term),
    }
}

pub(crate) fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_NAME}{sequence:016x}")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_NAME}{index:016x}")
}

/// Sequence of a segment file.
pub(crate) fn parse_segment_name(name: &str) -> Option<u64> {
    parse_number(name.strip_prefix(SEGMENT_NAME)?)
}

/// Index of a snapshot file.
pub(crate) fn parse_snapshot_name(name: &str) -> Option<u64> {
    parse_number(name.strip_prefix(SNAPSHOT_NAME)?)
}

fn parse_number(text: &str) -> Option<u64> {
    let number = u64::from_str_radix(text, 16).ok()?;
    // Room for the next number.
    (text.len() == 16 && number < u64::MAX).then_some(number)
}
