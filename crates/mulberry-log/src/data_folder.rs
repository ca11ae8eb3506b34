//! Data folder of one replica.

use std::io;
use std::path::Path;

use mulberry_consensus::{DurableState, MemberId, Payload, Snapshot, Writes};

use crate::log_metadata::{LogMetadata, Segment};
use crate::record::{ItemRef, RECORD_HEADER_BYTES, SegmentId};
use crate::recovery;
use crate::snapshot_file;
use crate::{Disk, FileSystemDisk, LogError, LogSettings};

const SEGMENT_NAME: &str = "log-";
const SNAPSHOT_NAME: &str = "snapshot-";

/// Suffix of a temporary file, which is renamed to its final name once it is complete and synced.
pub(crate) const TEMP_SUFFIX: &str = ".new";

/// Maximum size of the command of one entry. The length field of a record is a `u32`, so a command of
/// this size fits into a record together with other items.
const MAX_COMMAND_BYTES: usize = 1 << 30;

/// Data folder of one replica, locked until this value is dropped.
#[derive(Debug)]
pub struct DataFolder {
    pub(crate) disk: Box<dyn Disk>,
    pub(crate) settings: LogSettings,
    pub(crate) member: MemberId,
    pub(crate) metadata: LogMetadata,

    /// Index of the latest snapshot file.
    pub(crate) snapshot_index: Option<u64>,

    /// Size of the current segment.
    pub(crate) segment_bytes: u64,

    pub(crate) buffer: Vec<u8>,

    /// Text of the first write error. No more writes are accepted after it: when a sync fails, the
    /// kernel may drop the unsynced pages, and a later sync could succeed without them.
    pub(crate) first_error: Option<String>,
}

impl DataFolder {
    /// Opens the folder, creating it on the first start, and recovers the durable state.
    ///
    /// # Errors
    /// The folder is locked, is corrupt, has an unknown format, or cannot be read or written.
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

    /// Opens the folder that `disk` gives access to.
    ///
    /// # Errors
    /// Same as [`DataFolder::open`].
    pub fn open_with_disk(
        disk: Box<dyn Disk>,
        settings: LogSettings,
    ) -> Result<(DataFolder, DurableState), LogError> {
        recovery::open(disk, settings)
    }

    /// Recovers the durable state again after a failed write, without releasing the lock. What was written before the
    /// failure without having been reported as written may be part of it.
    ///
    /// # Errors
    /// The folder is corrupt or cannot be read or written, for example because the disk is still full. It remains
    /// unusable, and this can be called again.
    pub fn reopen(&mut self) -> Result<DurableState, LogError> {
        let result = recovery::recover(self);
        self.first_error = result.as_ref().err().map(ToString::to_string);
        result
    }

    /// Id of the replica, chosen at random when the folder was created.
    pub fn member_id(&self) -> MemberId {
        self.member
    }

    /// Writes and syncs `writes` in the order of the fields. Without a snapshot, this is one sync,
    /// unless the writes are split into several records or a new segment is started.
    ///
    /// # Errors
    /// [`LogError::InvalidWrites`] if the writes do not continue the log; nothing is written then.
    /// After any other error the folder is unusable: no part of `writes` counts as written until the
    /// folder is opened again, with [`DataFolder::reopen`] for example, and each call until then fails with
    /// [`LogError::Unusable`].
    pub fn write(&mut self, writes: &Writes) -> Result<(), LogError> {
        self.check_usable()?;
        self.validate(writes)?;
        let result = self.write_checked(writes);
        self.record_failure(result)
    }

    /// Stores a snapshot and drops the log up to its index. Ignores a snapshot that is not newer than
    /// the stored one.
    ///
    /// # Errors
    /// Same as [`DataFolder::write`].
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), LogError> {
        self.check_usable()?;
        if snapshot.index <= self.metadata.base_index {
            return Ok(());
        }
        let result = self.write_snapshot_file(snapshot).and_then(|item| {
            self.append(&[item])?;
            self.remove_obsolete_files()
        });
        self.record_failure(result)
    }

    fn check_usable(&self) -> Result<(), LogError> {
        match &self.first_error {
            Some(error) => Err(LogError::Unusable { first_error: error.clone() }),
            None => Ok(()),
        }
    }

    fn record_failure(&mut self, result: Result<(), LogError>) -> Result<(), LogError> {
        if let Err(error) = &result {
            tracing::error!(event = "data_folder_failed", error = %error);
            self.first_error = Some(error.to_string());
        }
        result
    }

    fn validate(&self, writes: &Writes) -> Result<(), LogError> {
        let invalid = |problem: String| Err(LogError::InvalidWrites { problem });
        let mut base_index = self.metadata.base_index;
        let mut next_index = self.metadata.next_index;
        let snapshot = self.newer_snapshot(writes);
        if let Some(snapshot) = snapshot {
            base_index = snapshot.index;
            next_index =
                if self.log_continues(snapshot) { next_index } else { 0 }.max(snapshot.index + 1);
        }
        if let Some(from) = writes.truncate_from {
            if snapshot.is_none() && (from <= base_index || from > next_index) {
                return invalid(format!(
                    "truncation from entry {from}, but the log contains entries {} to {}",
                    base_index + 1,
                    next_index.saturating_sub(1)
                ));
            }
            next_index = from.clamp(base_index + 1, next_index);
        }
        for entry in &writes.entries {
            if entry.index != next_index {
                return invalid(format!(
                    "expected entry {next_index} but found entry {}",
                    entry.index
                ));
            }
            if matches!(&entry.payload, Payload::Command(command) if command.len() > MAX_COMMAND_BYTES)
            {
                return invalid(format!(
                    "the command of entry {next_index} exceeds {MAX_COMMAND_BYTES} bytes"
                ));
            }
            next_index += 1;
        }
        Ok(())
    }

    fn write_checked(&mut self, writes: &Writes) -> Result<(), LogError> {
        let mut items = Vec::with_capacity(writes.entries.len() + 3);
        items.extend(writes.hard_state.as_ref().map(ItemRef::HardState));
        let snapshot = self.newer_snapshot(writes);
        let mut base_index = self.metadata.base_index;
        let mut next_index = self.metadata.next_index;
        if let Some(snapshot) = snapshot {
            // The hard state must be durable first, because the snapshot can belong to the new term.
            self.append(&items)?;
            items.clear();
            let item = self.write_snapshot_file(snapshot)?;
            items.push(item);
            base_index = snapshot.index;
            next_index =
                if self.log_continues(snapshot) { next_index } else { 0 }.max(base_index + 1);
        }
        if let Some(from) = writes.truncate_from {
            items.push(ItemRef::TruncateFrom(from.clamp(base_index + 1, next_index)));
        }
        items.extend(writes.entries.iter().map(ItemRef::Entry));
        self.append(&items)?;
        if snapshot.is_some() {
            self.remove_obsolete_files()?;
        }
        Ok(())
    }

    fn newer_snapshot<'a>(&self, writes: &'a Writes) -> Option<&'a Snapshot> {
        writes.snapshot.as_ref().filter(|snapshot| snapshot.index > self.metadata.base_index)
    }

    /// Whether the log contains the last entry of `snapshot`, so that the later entries continue it. If
    /// the log has another entry at this index, or none, the later entries conflict and are dropped.
    pub(crate) fn log_continues(&self, snapshot: &Snapshot) -> bool {
        self.metadata.term_at(snapshot.index) == Some(snapshot.term)
    }

    /// Writes the snapshot file and returns the log item that installs the snapshot.
    fn write_snapshot_file<'a>(&mut self, snapshot: &Snapshot) -> Result<ItemRef<'a>, LogError> {
        let name = snapshot_name(snapshot.index);
        let bytes = snapshot_file::encode(snapshot).map_err(|error| LogError::InvalidWrites {
            problem: format!("snapshot {} cannot be encoded: {error}", snapshot.index),
        })?;
        self.write_file_atomically(&name, &bytes)?;
        Ok(ItemRef::SnapshotInstalled {
            index: snapshot.index,
            keep_later_entries: self.log_continues(snapshot),
        })
    }

    /// Writes a whole file atomically: a crash leaves either no change or the complete new file.
    pub(crate) fn write_file_atomically(
        &mut self,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), LogError> {
        let temp_name = format!("{name}{TEMP_SUFFIX}");
        self.run_on_disk("create", &temp_name, |disk| disk.create(&temp_name))?;
        self.run_on_disk("write", &temp_name, |disk| disk.append(&temp_name, bytes))?;
        self.run_on_disk("sync", &temp_name, |disk| disk.sync(&temp_name))?;
        self.run_on_disk("rename", &temp_name, |disk| disk.rename(&temp_name, name))?;
        self.sync_folder()
    }

    /// Appends and syncs the items as one record, or as several records if they are long.
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
            if (record.len() - RECORD_HEADER_BYTES) as u64 >= self.settings.record_bytes {
                self.append_record(&mut record)?;
            }
        }
        if !record.is_empty() {
            self.append_record(&mut record)?;
        }
        self.buffer = record;
        for item in items {
            apply_item(&mut self.metadata, item);
        }
        Ok(())
    }

    /// Starts a new segment. The caller has synced all earlier writes.
    pub(crate) fn start_segment(&mut self) -> Result<(), LogError> {
        let sequence = self.metadata.segments.back().map_or(1, |segment| segment.sequence + 1);
        let name = segment_name(sequence);
        let header = SegmentId::segment_header();
        let start = ItemRef::SegmentStart {
            base_index: self.metadata.base_index,
            next_index: self.metadata.next_index,
            hard_state: &self.metadata.hard_state,
        };
        let mut record = extend_record(Vec::new(), &start)?;
        let segment = SegmentId { member: self.member, sequence };
        segment.fill_header(header.len() as u64, &mut record);
        let bytes = [&header[..], &record].concat();
        self.run_on_disk("create", &name, |disk| disk.create(&name))?;
        self.run_on_disk("write", &name, |disk| disk.append(&name, &bytes))?;
        self.run_on_disk("sync", &name, |disk| disk.sync(&name))?;
        self.sync_folder()?;
        self.metadata.segments.push_back(Segment { sequence, last_index: 0 });
        self.segment_bytes = bytes.len() as u64;
        Ok(())
    }

    /// Removes the previous snapshot, and segments without entries after the latest snapshot.
    pub(crate) fn remove_obsolete_files(&mut self) -> Result<(), LogError> {
        let base_index = self.metadata.base_index;
        if let Some(older) = self.snapshot_index.filter(|older| *older != base_index) {
            self.remove(&snapshot_name(older))?;
        }
        self.snapshot_index = (base_index > 0).then_some(base_index);
        if self
            .metadata
            .segments
            .back()
            .is_some_and(|current| (1..=base_index).contains(&current.last_index))
        {
            self.start_segment()?;
        }
        while self.metadata.segments.len() > 1 && self.metadata.segments[0].last_index <= base_index
        {
            // Each removal is synced, from the oldest segment on, so that a crash leaves no gap in the
            // sequence.
            let name = segment_name(self.metadata.segments[0].sequence);
            self.remove(&name)?;
            self.metadata.segments.pop_front();
        }
        Ok(())
    }

    pub(crate) fn remove(&mut self, name: &str) -> Result<(), LogError> {
        self.run_on_disk("remove", name, |disk| disk.remove(name))?;
        self.sync_folder()
    }

    pub(crate) fn sync_folder(&mut self) -> Result<(), LogError> {
        self.run_on_disk("sync folder", "", |disk| disk.sync_folder())
    }

    pub(crate) fn run_on_disk(
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
        let sequence = self.metadata.segments.back().map_or(0, |segment| segment.sequence);
        let name = segment_name(sequence);
        SegmentId { member: self.member, sequence }.fill_header(self.segment_bytes, record);
        self.run_on_disk("write", &name, |disk| disk.append(&name, record))?;
        self.run_on_disk("sync", &name, |disk| disk.sync(&name))?;
        self.segment_bytes += record.len() as u64;
        record.clear();
        Ok(())
    }
}

/// Appends an item to a record. A new record starts with space for the header.
fn extend_record(mut record: Vec<u8>, item: &ItemRef<'_>) -> Result<Vec<u8>, LogError> {
    if record.is_empty() {
        record.resize(RECORD_HEADER_BYTES, 0);
    }
    postcard::to_extend(item, record).map_err(|error| LogError::InvalidWrites {
        problem: format!("a log item cannot be encoded: {error}"),
    })
}

fn apply_item(metadata: &mut LogMetadata, item: &ItemRef<'_>) {
    match item {
        ItemRef::SegmentStart { .. } => {}
        ItemRef::HardState(hard_state) => metadata.hard_state = **hard_state,
        ItemRef::SnapshotInstalled { index, keep_later_entries } => {
            metadata.install_snapshot(*index, *keep_later_entries);
        }
        ItemRef::TruncateFrom(from) => metadata.truncate(*from),
        ItemRef::Entry(entry) => metadata.push(entry.index, entry.term),
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
    // The maximum is excluded so that the next number does not overflow.
    (text.len() == 16 && number < u64::MAX).then_some(number)
}
