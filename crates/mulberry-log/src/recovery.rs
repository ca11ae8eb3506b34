//! Recovery of a folder at open.

use mulberry_consensus::{DurableState, Entry, MemberId, Snapshot};

use crate::data_folder::{
    ASIDE_SUFFIX, DataFolder, parse_segment_name, parse_snapshot_name, segment_name, snapshot_name,
};
use crate::identity::{self, IDENTITY_FILE, IdentityProblem};
use crate::log_shape::{LogShape, Segment};
use crate::record::{
    FORMAT, Found, Item, ItemRef, PREFIX_BYTES, SEGMENT_MARK, SegmentKey, decode_items,
};
use crate::snapshot_file::{self, SnapshotProblem};
use crate::{Disk, LogError, LogSettings};

/// Names of the files in the folder by kind, each kind in rising order.
struct Names {
    has_identity: bool,
    segments: Vec<u64>,
    snapshots: Vec<u64>,
    aside: Vec<String>,
}

/// Log as replayed so far.
#[derive(Default)]
struct Replay {
    shape: LogShape,
    entries: Vec<Entry>,
}

/// What was found in one segment.
struct SegmentEnd {
    /// Whether its first record is whole.
    is_started: bool,

    /// Its valid part.
    valid: Vec<u8>,

    /// Size of the torn tail behind it.
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
    let names = list(disk.as_ref())?;
    let mut folder = DataFolder {
        disk,
        settings,
        member: MemberId(0),
        shape: LogShape { next: 1, ..LogShape::default() },
        snapshot_index: None,
        segment_bytes: 0,
        buffer: Vec::new(),
        first_error: None,
    };
    for name in &names.aside {
        folder.attempt("remove", name, |disk| disk.remove(name))?;
    }
    folder.member = open_identity(&mut folder, &names)?;
    let snapshot = read_snapshot(&folder, &names)?;
    let entries = recover_log(&mut folder, &names, snapshot.as_ref())?;
    for index in names.snapshots.iter().rev().skip(1) {
        folder.remove(&snapshot_name(*index))?;
    }
    let hard_state = folder.shape.hard_state;
    Ok((folder, DurableState { hard_state, snapshot, entries }))
}

fn list(disk: &dyn Disk) -> Result<Names, LogError> {
    let files = disk.list().map_err(|source| LogError::Open {
        action: "list",
        file: disk.display_path(""),
        source,
    })?;
    let mut segments: Vec<u64> = files.iter().filter_map(|name| parse_segment_name(name)).collect();
    let mut snapshots: Vec<u64> =
        files.iter().filter_map(|name| parse_snapshot_name(name)).collect();
    segments.sort_unstable();
    snapshots.sort_unstable();
    Ok(Names {
        has_identity: files.iter().any(|name| name == IDENTITY_FILE),
        segments,
        snapshots,
        aside: files.into_iter().filter(|name| name.ends_with(ASIDE_SUFFIX)).collect(),
    })
}

fn open_identity(folder: &mut DataFolder, names: &Names) -> Result<MemberId, LogError> {
    if names.has_identity {
        let bytes = read(folder, IDENTITY_FILE)?;
        return identity::decode(&bytes).map_err(|problem| match problem {
            IdentityProblem::Damaged => {
                damage(folder, IDENTITY_FILE, 0, "its checksum does not match")
            }
            IdentityProblem::UnknownFormat(found) => {
                unknown_format(folder, IDENTITY_FILE, found, identity::FORMAT)
            }
        });
    }
    if !names.segments.is_empty() || !names.snapshots.is_empty() {
        return Err(damage(folder, IDENTITY_FILE, 0, "it is missing beside a log or snapshot"));
    }
    let member = MemberId(rand::random_range(1..=u64::MAX));
    folder.write_aside(IDENTITY_FILE, &identity::encode(member))?;
    tracing::info!(
        event = "data_folder_created",
        folder = folder.disk.display_path(""),
        %member
    );
    Ok(member)
}

fn read_snapshot(folder: &DataFolder, names: &Names) -> Result<Option<Snapshot>, LogError> {
    let Some(index) = names.snapshots.last() else { return Ok(None) };
    let name = snapshot_name(*index);
    let snapshot =
        snapshot_file::decode(&read(folder, &name)?).map_err(|problem| match problem {
            SnapshotProblem::Damaged(problem) => damage(folder, &name, 0, problem),
            SnapshotProblem::UnknownFormat(found) => {
                unknown_format(folder, &name, found, snapshot_file::FORMAT)
            }
        })?;
    if snapshot.index != *index {
        return Err(damage(folder, &name, 0, "its index does not match its name"));
    }
    Ok(Some(snapshot))
}

fn recover_log(
    folder: &mut DataFolder,
    names: &Names,
    snapshot: Option<&Snapshot>,
) -> Result<Vec<Entry>, LogError> {
    check_sequence(folder, &names.segments)?;
    let mut replay = Replay::default();
    replay.shape.next = 1;
    let mut current = Vec::new();
    for (position, sequence) in names.segments.iter().enumerate() {
        let is_last = position + 1 == names.segments.len();
        let end = replay_segment(folder, &mut replay, *sequence, is_last)?;
        let name = segment_name(*sequence);
        if !end.is_started {
            // A crash during the start of this segment; nothing in it was acknowledged. The first
            // segment of all has no predecessor, any other has one until it is whole.
            if position == 0 && (*sequence != 1 || snapshot.is_some()) {
                return Err(damage(folder, &name, 0, "it has no start"));
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
    folder.shape = replay.shape;
    if let Some(segment) = folder.shape.segments.back() {
        // After a failed sync, the page cache can hold records that the disk lacks and that no later
        // sync writes. A copy makes durable what this open returns, without the torn tail.
        let name = segment_name(segment.sequence);
        folder.write_aside(&name, &current)?;
        folder.segment_bytes = current.len() as u64;
    } else {
        if let Some(snapshot) = snapshot {
            let name = segment_name(1);
            let problem = format!("all segments beside snapshot {} are missing", snapshot.index);
            return Err(damage(folder, &name, 0, &problem));
        }
        folder.start_segment()?;
    }
    let entries = continue_snapshot(folder, replay.entries, snapshot)?;
    folder.snapshot_index = snapshot.map(|snapshot| snapshot.index);
    folder.drop_covered()?;
    Ok(entries)
}

/// Joins the log to the snapshot, which can be newer after a crash between its rename and the record
/// about it.
fn continue_snapshot(
    folder: &mut DataFolder,
    mut entries: Vec<Entry>,
    snapshot: Option<&Snapshot>,
) -> Result<Vec<Entry>, LogError> {
    let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
    if snapshot_index < folder.shape.base {
        let name = snapshot_name(folder.shape.base);
        return Err(damage(folder, &name, 0, "the snapshot that the log continues is missing"));
    }
    // Segments are removed only after the record about the snapshot that covers them is synced. Without
    // this check, damage to that record would drop all entries behind the snapshot.
    let base = folder.shape.base;
    entries.retain(|entry| entry.index > base);
    let first = entries.first().map_or(folder.shape.next, |entry| entry.index);
    if first != base + 1 {
        let problem = format!("the log starts at {first} where {} is due", base + 1);
        let oldest = folder.shape.segments.front().map_or(1, |segment| segment.sequence);
        return Err(damage(folder, &segment_name(oldest), 0, &problem));
    }
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > base) {
        let keep_after = folder.keeps_after(snapshot);
        entries.retain(|entry| keep_after && entry.index > snapshot.index);
        folder.append(&[ItemRef::SnapshotInPlace { index: snapshot.index, keep_after }])?;
    }
    Ok(entries)
}

fn check_sequence(folder: &DataFolder, segments: &[u64]) -> Result<(), LogError> {
    let gap = segments.windows(2).find(|pair| pair[0].checked_add(1) != Some(pair[1]));
    match gap {
        Some(pair) => Err(damage(folder, &segment_name(pair[0] + 1), 0, "the segment is missing")),
        None => Ok(()),
    }
}

fn replay_segment(
    folder: &DataFolder,
    replay: &mut Replay,
    sequence: u64,
    is_last: bool,
) -> Result<SegmentEnd, LogError> {
    let name = segment_name(sequence);
    let mut data = read(folder, &name)?;
    let key = SegmentKey { member: folder.member, sequence };
    if let Some(prefix) = data.get(..PREFIX_BYTES).filter(|prefix| prefix[..4] == SEGMENT_MARK) {
        let found = u32::from_le_bytes([prefix[4], prefix[5], prefix[6], prefix[7]]);
        // 0 is no format but a part of the file that was not written.
        if found != FORMAT && found != 0 {
            return Err(unknown_format(folder, &name, found, FORMAT));
        }
    }
    let has_prefix = data.starts_with(&SegmentKey::prefix());
    let mut offset = if has_prefix { PREFIX_BYTES } else { 0 };
    let mut is_started = false;
    loop {
        let found = if has_prefix {
            key.find(&data, offset)
        } else {
            // The first record is written together with the prefix, so it is no evidence of a sync.
            let end = match key.find(&data, PREFIX_BYTES) {
                Found::Record { end, .. } => Some(end),
                Found::Invalid { end, .. } => end,
                Found::End => None,
            };
            Found::Invalid { problem: "its start is no header of a segment", end }
        };
        match found {
            Found::Record { body, end } => {
                let items = decode_items(body)
                    .ok_or_else(|| damage(folder, &name, offset, "a record is malformed"))?;
                for item in items {
                    replay
                        .apply(sequence, &mut is_started, item)
                        .map_err(|problem| damage(folder, &name, offset, &problem))?;
                }
                offset = end;
            }
            Found::End if is_started || is_last => break,
            Found::End => return Err(damage(folder, &name, offset, "its first record is missing")),
            Found::Invalid { problem, .. } if !is_last => {
                return Err(damage(folder, &name, offset, problem));
            }
            Found::Invalid { problem, end } => {
                if let Some(later) = key.find_later_record(&data, offset.max(PREFIX_BYTES), end) {
                    let problem =
                        format!("{problem}, and a later record follows at offset {later}");
                    return Err(damage(folder, &name, offset, &problem));
                }
                break;
            }
        }
    }
    let torn_bytes = data.len() - offset;
    data.truncate(offset);
    Ok(SegmentEnd { is_started, valid: data, torn_bytes })
}

impl Replay {
    fn apply(&mut self, sequence: u64, is_started: &mut bool, item: Item) -> Result<(), String> {
        if let Item::Start { base, next, hard_state } = item {
            let is_first = self.shape.segments.is_empty();
            let continues = self.shape.base == base
                && self.shape.next == next
                && self.shape.hard_state == hard_state;
            if *is_started || !(is_first || continues) || base >= next {
                return Err("its start does not continue the log".to_owned());
            }
            *is_started = true;
            self.shape.base = base;
            self.shape.next = next;
            self.shape.hard_state = hard_state;
            self.shape.segments.push_back(Segment { sequence, last_index: 0 });
            return Ok(());
        }
        if !*is_started {
            return Err("its first record has no start".to_owned());
        }
        match item {
            Item::Start { .. } => {}
            Item::HardState(hard_state) => self.shape.hard_state = hard_state,
            Item::SnapshotInPlace { index, keep_after } => {
                if index <= self.shape.base || index == u64::MAX {
                    return Err(format!("snapshot {index} is not newer than the one before"));
                }
                self.shape.start_after(index, keep_after);
                if !keep_after {
                    self.entries.clear();
                }
            }
            Item::TruncateFrom(from) => {
                if from <= self.shape.base || from > self.shape.next {
                    return Err(format!("truncation from {from} is outside of the log"));
                }
                self.shape.truncate(from);
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
            }
            Item::Entry(entry) => {
                if entry.index != self.shape.next || entry.index == u64::MAX {
                    return Err(format!("entry {} where {} is due", entry.index, self.shape.next));
                }
                self.shape.push(entry.index, entry.term);
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

fn damage(folder: &DataFolder, name: &str, offset: usize, problem: &str) -> LogError {
    LogError::Corruption {
        file: folder.disk.display_path(name),
        offset: offset as u64,
        problem: problem.to_owned(),
    }
}

fn unknown_format(folder: &DataFolder, name: &str, found: u32, supported: u32) -> LogError {
    LogError::UnknownFormat { file: folder.disk.display_path(name), found, supported }
}
