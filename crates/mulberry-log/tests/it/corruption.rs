//! Torn writes, corruption and arbitrary file contents.

use mulberry_consensus::{DurableState, HardState, Payload, Snapshot, Writes};
use mulberry_log::{DataFolder, LogError, LogSettings};
use proptest::prelude::*;

use crate::common::{Call, Model as _, Step, cases, entry, open, steps};
use crate::fake_disk::FakeDisk;

const SEGMENT: &str = "log-0000000000000001";

/// Writes `count` records of one entry each. Returns the disk and the end offset of each record.
fn records(count: u64) -> (FakeDisk, Vec<usize>) {
    let disk = FakeDisk::new(0);
    let (mut folder, _) = open_with_default_settings(&disk).expect("new folder");
    let mut ends = Vec::new();
    for index in 1..=count {
        let writes = Writes { entries: vec![entry(index, 1, 40)], ..Writes::default() };
        folder.write(&writes).expect("no fault");
        ends.push(disk.contents(SEGMENT).len());
    }
    (disk, ends)
}

fn open_with_default_settings(disk: &FakeDisk) -> Result<(DataFolder, DurableState), LogError> {
    DataFolder::open_with_disk(disk.handle(), LogSettings::default())
}

fn recovered_entries(disk: &FakeDisk, contents: &[u8]) -> Result<usize, LogError> {
    disk.put(SEGMENT, contents);
    open_with_default_settings(disk).map(|(_, state)| state.entries.len())
}

/// Guards against a torn tail that prevents the folder from opening, or hides the records before it.
#[test]
fn torn_tail_is_truncated_at_every_length() {
    let (disk, ends) = records(3);
    let contents = disk.contents(SEGMENT);
    for length in 0..=contents.len() {
        let whole = ends.iter().filter(|end| **end <= length).count();
        assert_eq!(recovered_entries(&disk, &contents[..length]).expect("torn"), whole, "{length}");
        // Part of the file can be allocated without having been written.
        let mut zeros = contents[..length].to_vec();
        zeros.resize(contents.len(), 0);
        if length > *ends.get(1).expect("three records") {
            let found = recovered_entries(&disk, &zeros).expect("torn");
            assert_eq!(found, 2 + usize::from(zeros == contents));
        }
    }
}

/// Guards against confusing a torn segment start with corruption of the start. The segment header and the
/// first record are written together.
#[test]
fn torn_segment_start_is_rewritten() {
    let start_bytes = records(0).0.contents(SEGMENT).len();
    let (disk, _) = records(1);
    let contents = disk.contents(SEGMENT);
    let start = &contents[..start_bytes];
    for offset in 0..start.len() {
        let mut torn = start.to_vec();
        torn[..=offset].fill(0);
        assert_eq!(recovered_entries(&disk, &torn).expect("torn"), 0, "{offset}");
        let mut corrupted = contents.clone();
        corrupted[..=offset].fill(0);
        let result = recovered_entries(&disk, &corrupted);
        assert!(matches!(result, Err(LogError::Corruption { .. })), "{offset}: {result:?}");
    }
}

/// Guards against taking corruption before the last record for a torn tail, which would silently drop
/// acknowledged records. Every byte of the second record is changed in turn, including its length.
#[test]
fn corruption_before_the_last_record_is_rejected() {
    let (disk, ends) = records(4);
    let contents = disk.contents(SEGMENT);
    for offset in ends[0]..ends[1] {
        let mut corrupted = contents.clone();
        corrupted[offset] ^= 0x10;
        match recovered_entries(&disk, &corrupted) {
            Err(LogError::Corruption { file, offset, .. }) => {
                assert_eq!((file.as_str(), offset), ("data/log-0000000000000001", ends[0] as u64));
            }
            other => panic!("offset {offset}: {other:?}"),
        }
    }
    // A corrupt last record cannot be distinguished from a torn one, because no record follows it.
    let mut corrupted = contents.clone();
    *corrupted.last_mut().expect("not empty") ^= 1;
    assert_eq!(recovered_entries(&disk, &corrupted).expect("like a torn tail"), 3);
}

/// Guards against truncating a corrupt record because the record after it is torn.
#[test]
fn corruption_before_a_torn_tail_is_rejected() {
    let (disk, ends) = records(3);
    let mut contents = disk.contents(SEGMENT);
    contents.truncate(ends[2] - 1);
    contents[ends[1] - 1] ^= 1;
    let result = recovered_entries(&disk, &contents);
    assert!(matches!(result, Err(LogError::Corruption { .. })), "{result:?}");
}

/// Guards against taking the bytes of a command in a torn record for a later record. The replica would then
/// fail to start after a crash.
#[test]
fn command_with_the_bytes_of_a_record_is_not_taken_for_one() {
    let (disk, ends) = records(2);
    let contents = disk.contents(SEGMENT);
    let (mut folder, _) = open_with_default_settings(&disk).expect("whole");
    let mut last = entry(3, 1, 0);
    last.payload = Payload::Command(contents[ends[0]..].to_vec());
    folder.write(&Writes { entries: vec![last], ..Writes::default() }).expect("no fault");
    drop(folder);
    let mut torn = disk.contents(SEGMENT);
    let header = ends[1];
    torn[header] ^= 1;
    assert_eq!(recovered_entries(&disk, &torn).expect("torn"), 2);
}

/// Guards against taking a torn write for corruption when later parts of it reached the disk without
/// earlier ones.
#[test]
fn torn_record_is_truncated_as_a_whole() {
    let (disk, ends) = records(1);
    let (mut folder, _) = open_with_default_settings(&disk).expect("whole");
    let entries = (2..12).map(|index| entry(index, 1, 40)).collect();
    folder.write(&Writes { entries, ..Writes::default() }).expect("no fault");
    drop(folder);
    let contents = disk.contents(SEGMENT);
    for offset in ends[0]..contents.len() {
        let mut torn = contents.clone();
        torn[ends[0]..=offset].fill(0);
        assert_eq!(recovered_entries(&disk, &torn).expect("torn"), 1, "{offset}");
    }
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against a flipped bit that silently changes the recovered state. It must be reported as
    /// corruption or have no effect, except that in the last record it may be treated as a torn write.
    #[test]
    fn flipped_bit_is_never_recovered_silently(
        steps in steps(),
        flips in prop::collection::vec((any::<usize>(), any::<usize>(), 0u8..8), 16),
    ) {
        let disk = FakeDisk::new(0);
        let (mut folder, mut state) = open(&disk).expect("new folder");
        let mut allowed_states = vec![state.clone()];
        for step in steps.iter().filter(|step| !matches!(step, Step::Reopen)) {
            let call = state.call(step);
            let files_before: Vec<Vec<u8>> =
                disk.names().iter().map(|name| disk.contents(name)).collect();
            match &call {
                Call::Write(writes) => folder.write(writes).expect("no fault"),
                Call::SaveSnapshot(snapshot) => folder.save_snapshot(snapshot).expect("no fault"),
                Call::Reopen => {}
            }
            let files: Vec<Vec<u8>> =
                disk.names().iter().map(|name| disk.contents(name)).collect();
            if files != files_before {
                allowed_states = state.states(&call);
            }
            state = state.states(&call).pop().expect("at least one");
        }
        drop(folder);
        let names = disk.names();
        let intact: Vec<Vec<u8>> = names.iter().map(|name| disk.contents(name)).collect();
        for (file, offset, bit) in flips {
            let file = file % names.len();
            let mut contents = intact[file].clone();
            let offset = offset % contents.len();
            contents[offset] ^= 1 << bit;
            disk.put(&names[file], &contents);
            match open(&disk) {
                Ok((_, found)) => prop_assert!(
                    allowed_states.contains(&found),
                    "{} {}: found {:?}, allowed {:?}",
                    names[file],
                    offset,
                    found,
                    allowed_states
                ),
                Err(LogError::Corruption { .. } | LogError::UnknownFormat { .. }) => {}
                Err(error) => prop_assert!(false, "{}", error),
            }
            disk.names().iter().for_each(|name| disk.delete(name));
            names.iter().zip(&intact).for_each(|(name, contents)| disk.put(name, contents));
        }
    }

    /// Guards against panics on arbitrary file contents, with and without valid checksums.
    #[test]
    fn arbitrary_contents_never_panic(
        body in prop::collection::vec(any::<u8>(), 0..60),
        small in prop::collection::vec(0u8..6, 0..60),
        has_valid_checksums in any::<bool>(),
        which in 0..3,
    ) {
        for body in [body, small] {
            let (disk, _) = records(2);
            let identity = disk.contents("identity");
            let name = ["identity", SEGMENT, "snapshot-0000000000000001"][which as usize];
            let contents = match (has_valid_checksums, which) {
                (true, 1) => valid_segment(&identity[8..16], &body),
                (true, 2) => valid_snapshot(&body),
                _ => body,
            };
            disk.put(name, &contents);
            if let Ok((mut folder, state)) = open(&disk) {
                let hard_state = Some(HardState::default());
                let entries = vec![entry(state.last() + 1, 1, 1)];
                let _ = folder.write(&Writes { hard_state, entries, ..Writes::default() });
                let index = state.last();
                let _ = folder.save_snapshot(&Snapshot { index, ..Snapshot::default() });
            }
        }
    }
}

fn valid_snapshot(body: &[u8]) -> Vec<u8> {
    let mut contents = b"MLSN\x01\0\0\0".to_vec();
    contents.extend((body.len() as u64).to_le_bytes());
    contents.extend(crc32c::crc32c(body).to_le_bytes());
    contents.extend(body);
    contents
}

/// Returns a segment with one record of `body` after its start, all with valid checksums.
fn valid_segment(member: &[u8], body: &[u8]) -> Vec<u8> {
    // Segment start with base index 0, next index 1, term 0 and no vote.
    let mut contents = b"MLOG\x01\0\0\0".to_vec();
    for body in [&[0, 0, 1, 0, 0], body] {
        let length = (body.len() as u32).to_le_bytes();
        let mut input = member.to_vec();
        input.extend(1u64.to_le_bytes());
        input.extend((contents.len() as u64).to_le_bytes());
        input.extend(length);
        let header_checksum = crc32c::crc32c(&input);
        contents.extend(length);
        contents.extend(header_checksum.to_le_bytes());
        contents.extend(crc32c::crc32c_append(header_checksum, body).to_le_bytes());
        contents.extend(body);
    }
    contents
}

/// Error texts for corrupt folders. Each must name the file, the offset (unless the format is unknown) and
/// the remedy.
#[test]
fn corruption_error_texts() {
    let error_text_after = |change: &dyn Fn(&FakeDisk, &[usize])| {
        let (disk, ends) = records(3);
        change(&disk, &ends);
        open_with_default_settings(&disk).expect_err("corrupt folder").to_string()
    };
    let flip = |name: &'static str, offset: usize| {
        move |disk: &FakeDisk, _: &[usize]| {
            let mut contents = disk.contents(name);
            contents[offset] ^= 4;
            disk.put(name, &contents);
        }
    };
    let texts = [
        error_text_after(&flip("identity", 9)),
        error_text_after(&flip("identity", 4)),
        error_text_after(&|disk, _| disk.delete("identity")),
        error_text_after(&flip(SEGMENT, 4)),
        error_text_after(&|disk, ends| flip(SEGMENT, ends[0] + 20)(disk, ends)),
        error_text_after(&|disk, _| disk.put("log-0000000000000003", &[])),
        error_text_after(&|disk, ends| {
            disk.put(SEGMENT, &disk.contents(SEGMENT)[..ends[2] - 1]);
            disk.put("log-0000000000000002", &[]);
        }),
        error_text_after(&|disk, _| {
            disk.put("snapshot-0000000000000001", &valid_snapshot(&[1, 1, 0, 0]));
        }),
        error_text_after(&|disk, _| disk.put("snapshot-0000000000000001", &[7; 30])),
        error_text_after(&|disk, _| {
            disk.put("snapshot-0000000000000002", &valid_snapshot(&[2, 1, 0, 0, 0]));
            disk.delete(SEGMENT);
        }),
    ];
    insta::assert_debug_snapshot!(texts);
}
