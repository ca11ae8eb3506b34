//! Recovery of the data folder when it is opened, for the first time or after a failure.

use mulberry_consensus::{DurableState, Entry, MemberId, Snapshot};

use crate::data_folder::{
    DataFolder, TEMP_SUFFIX, parse_segment_name, parse_snapshot_name, segment_name, snapshot_name,
};
use crate::identity::{self, IDENTITY_FILE, IdentityError};
use crate::log_metadata::{LogMetadata, Segment};
use crate::record::{
    FORMAT, Item, ItemRef, ReadOutcome, SEGMENT_HEADER_BYTES, SEGMENT_MAGIC, SegmentId,
    decode_items,
};
use crate::snapshot_file::{self, SnapshotFileError};
use crate::{Disk, LogError, LogSettings};

/// Id of a folder whose identity has not been read yet.
const NO_MEMBER: MemberId = MemberId(0);

/// Files in the folder by kind. Segment sequence numbers and snapshot indexes are in ascending order.
struct FolderFiles {
    has_identity: bool,
    segments: Vec<u64>,
    snapshots: Vec<u64>,
    temp: Vec<String>,
}

/// State of the log during replay.
#[derive(Default)]
struct Replay {
    metadata: LogMetadata,
    entries: Vec<Entry>,
}

/// Result of replaying one segment.
struct ReplayedSegment {
    /// Whether the first record is complete.
    has_start: bool,

    /// Valid part of the file.
    valid: Vec<u8>,

    /// Size of the torn tail after the valid part.
    torn_bytes: usize,
}

pub(crate) fn open(
    mut disk: Box<dyn Disk>,
    settings: LogSettings,
) -> Result<(DataFolder, DurableState), LogError> {
    let is_locked = disk.lock().map_err(|source| LogError::Open {
        action: "lock",
        file: disk.display_path(""),
        source,
    })?;
    if !is_locked {
        return Err(LogError::Locked { folder: disk.display_path("") });
    }
    let mut folder = DataFolder {
        disk,
        settings,
        member: NO_MEMBER,
        metadata: LogMetadata::default(),
        snapshot_index: None,
        segment_bytes: 0,
        buffer: Vec::new(),
        first_error: None,
    };
    let durable = recover(&mut folder)?;
    Ok((folder, durable))
}

/// Recovers the durable state of a locked folder.
pub(crate) fn recover(folder: &mut DataFolder) -> Result<DurableState, LogError> {
    folder.metadata = LogMetadata { next_index: 1, ..LogMetadata::default() };
    folder.snapshot_index = None;
    folder.segment_bytes = 0;
    let files = list_files(folder.disk.as_ref())?;
    for name in &files.temp {
        folder.run_on_disk("remove", name, |disk| disk.remove(name))?;
    }
    folder.member = open_identity(folder, &files)?;
    let snapshot = read_snapshot(folder, &files)?;
    let entries = recover_log(folder, &files, snapshot.as_ref())?;
    for index in files.snapshots.iter().rev().skip(1) {
        folder.remove(&snapshot_name(*index))?;
    }
    let hard_state = folder.metadata.hard_state;
    Ok(DurableState { hard_state, snapshot, entries })
}

fn list_files(disk: &dyn Disk) -> Result<FolderFiles, LogError> {
    let names = disk.list().map_err(|source| LogError::Open {
        action: "list",
        file: disk.display_path(""),
        source,
    })?;
    let mut segments: Vec<u64> = names.iter().filter_map(|name| parse_segment_name(name)).collect();
    let mut snapshots: Vec<u64> =
        names.iter().filter_map(|name| parse_snapshot_name(name)).collect();
    segments.sort_unstable();
    snapshots.sort_unstable();
    Ok(FolderFiles {
        has_identity: names.iter().any(|name| name == IDENTITY_FILE),
        segments,
        snapshots,
        temp: names.into_iter().filter(|name| name.ends_with(TEMP_SUFFIX)).collect(),
    })
}

fn open_identity(folder: &mut DataFolder, files: &FolderFiles) -> Result<MemberId, LogError> {
    if files.has_identity {
        let bytes = read(folder, IDENTITY_FILE)?;
        return identity::decode(&bytes).map_err(|problem| match problem {
            IdentityError::Corrupt => {
                corruption(folder, IDENTITY_FILE, 0, "the checksum does not match")
            }
            IdentityError::UnknownFormat(found) => {
                unknown_format(folder, IDENTITY_FILE, found, identity::FORMAT)
            }
        });
    }
    let problem = if !files.segments.is_empty() || !files.snapshots.is_empty() {
        Some("the file is missing although a log or snapshot exists")
    } else if folder.member != NO_MEMBER {
        Some("the file has been removed")
    } else {
        None
    };
    if let Some(problem) = problem {
        return Err(corruption(folder, IDENTITY_FILE, 0, problem));
    }
    let member = MemberId(rand::random_range(1..=u64::MAX));
    folder.write_file_atomically(IDENTITY_FILE, &identity::encode(member))?;
    tracing::info!(
        event = "data_folder_created",
        folder = folder.disk.display_path(""),
        %member
    );
    Ok(member)
}

fn read_snapshot(folder: &DataFolder, files: &FolderFiles) -> Result<Option<Snapshot>, LogError> {
    let Some(index) = files.snapshots.last() else { return Ok(None) };
    let name = snapshot_name(*index);
    let snapshot =
        snapshot_file::decode(&read(folder, &name)?).map_err(|problem| match problem {
            SnapshotFileError::Corrupt(problem) => corruption(folder, &name, 0, problem),
            SnapshotFileError::UnknownFormat(found) => {
                unknown_format(folder, &name, found, snapshot_file::FORMAT)
            }
        })?;
    if snapshot.index != *index {
        return Err(corruption(
            folder,
            &name,
            0,
            "the snapshot's index does not match the file name",
        ));
    }
    Ok(Some(snapshot))
}

fn recover_log(
    folder: &mut DataFolder,
    files: &FolderFiles,
    snapshot: Option<&Snapshot>,
) -> Result<Vec<Entry>, LogError> {
    check_sequence(folder, &files.segments)?;
    let mut replay = Replay::default();
    replay.metadata.next_index = 1;
    let mut current = Vec::new();
    for (position, sequence) in files.segments.iter().enumerate() {
        let is_last = position + 1 == files.segments.len();
        let end = replay_segment(folder, &mut replay, *sequence, is_last)?;
        let name = segment_name(*sequence);
        if !end.has_start {
            // A crash interrupted the start of this segment, so nothing in it was acknowledged. Only
            // the very first segment has no predecessor: that of any other is kept until its start is
            // complete.
            if position == 0 && (*sequence != 1 || snapshot.is_some()) {
                return Err(corruption(
                    folder,
                    &name,
                    0,
                    "the segment has no complete first record",
                ));
            }
            folder.remove(&name)?;
            break;
        }
        if end.torn_bytes > 0 {
            tracing::warn!(
                event = "torn_tail_truncated",
                file = folder.disk.display_path(&name),
                offset = end.valid.len(),
                bytes = end.torn_bytes
            );
        }
        current = end.valid;
    }
    folder.metadata = replay.metadata;
    if let Some(segment) = folder.metadata.segments.back() {
        // After a failed sync, the page cache can contain records that are not on disk and that no
        // later sync writes. Rewriting the segment without the torn tail makes everything that this
        // open returns durable.
        let name = segment_name(segment.sequence);
        folder.write_file_atomically(&name, &current)?;
        folder.segment_bytes = current.len() as u64;
    } else {
        if let Some(snapshot) = snapshot {
            let name = segment_name(1);
            let problem =
                format!("all segments are missing although snapshot {} exists", snapshot.index);
            return Err(corruption(folder, &name, 0, &problem));
        }
        folder.start_segment()?;
    }
    let entries = reconcile_with_snapshot(folder, replay.entries, snapshot)?;
    folder.snapshot_index = snapshot.map(|snapshot| snapshot.index);
    folder.remove_obsolete_files()?;
    Ok(entries)
}

/// Makes the log continue the snapshot. The snapshot can be newer than the log's record of it after a
/// crash between the rename of the snapshot file and the write of that record.
fn reconcile_with_snapshot(
    folder: &mut DataFolder,
    mut entries: Vec<Entry>,
    snapshot: Option<&Snapshot>,
) -> Result<Vec<Entry>, LogError> {
    let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
    if snapshot_index < folder.metadata.base_index {
        let name = snapshot_name(folder.metadata.base_index);
        return Err(corruption(folder, &name, 0, "the snapshot that precedes the log is missing"));
    }
    // Segments are removed only after the record that installs the covering snapshot is synced. Without
    // this check, corruption of that record would drop all entries after the snapshot.
    let base_index = folder.metadata.base_index;
    entries.retain(|entry| entry.index > base_index);
    let first = entries.first().map_or(folder.metadata.next_index, |entry| entry.index);
    if first != base_index + 1 {
        let problem =
            format!("the log starts at entry {first} but should start at entry {}", base_index + 1);
        let oldest = folder.metadata.segments.front().map_or(1, |segment| segment.sequence);
        return Err(corruption(folder, &segment_name(oldest), 0, &problem));
    }
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > base_index) {
        let keep_later_entries = folder.log_continues(snapshot);
        entries.retain(|entry| keep_later_entries && entry.index > snapshot.index);
        folder
            .append(&[ItemRef::SnapshotInstalled { index: snapshot.index, keep_later_entries }])?;
    }
    Ok(entries)
}

fn check_sequence(folder: &DataFolder, segments: &[u64]) -> Result<(), LogError> {
    let gap = segments.windows(2).find(|pair| pair[0].checked_add(1) != Some(pair[1]));
    match gap {
        Some(pair) => {
            Err(corruption(folder, &segment_name(pair[0] + 1), 0, "the segment is missing"))
        }
        None => Ok(()),
    }
}

fn replay_segment(
    folder: &DataFolder,
    replay: &mut Replay,
    sequence: u64,
    is_last: bool,
) -> Result<ReplayedSegment, LogError> {
    let name = segment_name(sequence);
    let mut data = read(folder, &name)?;
    let segment = SegmentId { member: folder.member, sequence };
    if let Some(header) =
        data.get(..SEGMENT_HEADER_BYTES).filter(|header| header[..4] == SEGMENT_MAGIC)
    {
        let found = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        // 0 is not a format version but a part of the file that was never written.
        if found != FORMAT && found != 0 {
            return Err(unknown_format(folder, &name, found, FORMAT));
        }
    }
    let has_header = data.starts_with(&SegmentId::segment_header());
    let mut offset = if has_header { SEGMENT_HEADER_BYTES } else { 0 };
    let mut has_start = false;
    loop {
        let found = if has_header {
            segment.read_at(&data, offset)
        } else {
            // The first record is written together with the segment header, so a valid first record
            // does not prove that the header had been synced. The search for a later record starts
            // after it.
            let end = match segment.read_at(&data, SEGMENT_HEADER_BYTES) {
                ReadOutcome::Record { end, .. } => Some(end),
                ReadOutcome::Invalid { end, .. } => end,
                ReadOutcome::End => None,
            };
            ReadOutcome::Invalid { problem: "the segment header is invalid", end }
        };
        match found {
            ReadOutcome::Record { body, end } => {
                let items = decode_items(body)
                    .ok_or_else(|| corruption(folder, &name, offset, "a record is malformed"))?;
                for item in items {
                    replay
                        .apply(sequence, &mut has_start, item)
                        .map_err(|problem| corruption(folder, &name, offset, &problem))?;
                }
                offset = end;
            }
            ReadOutcome::End if has_start || is_last => break,
            ReadOutcome::End => {
                return Err(corruption(folder, &name, offset, "the first record is missing"));
            }
            ReadOutcome::Invalid { problem, .. } if !is_last => {
                return Err(corruption(folder, &name, offset, problem));
            }
            ReadOutcome::Invalid { problem, end } => {
                if let Some(later) =
                    segment.find_later_record(&data, offset.max(SEGMENT_HEADER_BYTES), end)
                {
                    let problem =
                        format!("{problem}, and a later record follows at offset {later}");
                    return Err(corruption(folder, &name, offset, &problem));
                }
                break;
            }
        }
    }
    let torn_bytes = data.len() - offset;
    data.truncate(offset);
    Ok(ReplayedSegment { has_start, valid: data, torn_bytes })
}

impl Replay {
    fn apply(&mut self, sequence: u64, has_start: &mut bool, item: Item) -> Result<(), String> {
        if let Item::SegmentStart { base_index, next_index, hard_state } = item {
            let is_first = self.metadata.segments.is_empty();
            let continues = self.metadata.base_index == base_index
                && self.metadata.next_index == next_index
                && self.metadata.hard_state == hard_state;
            if *has_start || !(is_first || continues) || base_index >= next_index {
                return Err("the segment's first record does not continue the log".to_owned());
            }
            *has_start = true;
            self.metadata.base_index = base_index;
            self.metadata.next_index = next_index;
            self.metadata.hard_state = hard_state;
            self.metadata.segments.push_back(Segment { sequence, last_index: 0 });
            return Ok(());
        }
        if !*has_start {
            return Err("the segment's first record has no start item".to_owned());
        }
        match item {
            Item::SegmentStart { .. } => {}
            Item::HardState(hard_state) => self.metadata.hard_state = hard_state,
            Item::SnapshotInstalled { index, keep_later_entries } => {
                if index <= self.metadata.base_index || index == u64::MAX {
                    return Err(format!("snapshot {index} is not newer than the previous one"));
                }
                self.metadata.install_snapshot(index, keep_later_entries);
                if !keep_later_entries {
                    self.entries.clear();
                }
            }
            Item::TruncateFrom(from) => {
                if from <= self.metadata.base_index || from > self.metadata.next_index {
                    return Err(format!("truncation from entry {from} is outside of the log"));
                }
                self.metadata.truncate(from);
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
            }
            Item::Entry(entry) => {
                if entry.index != self.metadata.next_index || entry.index == u64::MAX {
                    return Err(format!(
                        "expected entry {} but found entry {}",
                        self.metadata.next_index, entry.index
                    ));
                }
                self.metadata.push(entry.index, entry.term);
                self.entries.push(entry);
            }
        }
        Ok(())
    }
}

fn read(folder: &DataFolder, name: &str) -> Result<Vec<u8>, LogError> {
    folder.disk.read(name).map_err(|source| LogError::Open {
        action: "read",
        file: folder.disk.display_path(name),
        source,
    })
}

fn corruption(folder: &DataFolder, name: &str, offset: usize, problem: &str) -> LogError {
    LogError::Corruption {
        file: folder.disk.display_path(name),
        offset: offset as u64,
        problem: problem.to_owned(),
    }
}

fn unknown_format(folder: &DataFolder, name: &str, found: u32, supported: u32) -> LogError {
    LogError::UnknownFormat { file: folder.disk.display_path(name), found, supported }
}
