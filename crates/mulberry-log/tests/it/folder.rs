//! General behavior of the folder: size, batched writes, locking and use of the file system.

use std::fs;
use std::path::{Path, PathBuf};

use mulberry_consensus::{HardState, Snapshot, Writes};
use mulberry_log::{DataFolder, LogError, LogSettings};
use proptest::prelude::*;

use crate::common::{Call, Model as _, cases, entry, open, small_settings, steps};
use crate::fake_disk::{FakeDisk, Fault};

/// Temporary folder of one test below the build folder, removed when dropped. Its name contains the
/// process id, so that concurrent test runs do not share it.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let name = format!("{name}-{}", std::process::id());
        Scratch(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

proptest! {
    #![proptest_config(cases(24))]

    /// Guards against differences between the file system and the fake disk that other tests use.
    #[test]
    fn real_files_hold_what_was_written(steps in steps()) {
        let scratch = Scratch::new("real-files");
        let open = || DataFolder::open(&scratch.0, small_settings());
        let (mut folder, mut state) = open().expect("new folder");
        let member = folder.member_id();
        for step in &steps {
            let call = state.call(step);
            match &call {
                Call::Write(writes) => folder.write(writes).expect("disk works"),
                Call::SaveSnapshot(snapshot) => folder.save_snapshot(snapshot).expect("disk works"),
                Call::Reopen => {
                    drop(folder);
                    let (reopened, found) = open().expect("whole");
                    prop_assert_eq!(&found, &state);
                    folder = reopened;
                }
            }
            state = state.states(&call).pop().expect("at least one");
        }
        drop(folder);
        let (folder, found) = open().expect("whole");
        prop_assert_eq!(found, state);
        prop_assert_eq!(folder.member_id(), member);
    }

    /// Guards against errors in splitting a long write into several records.
    #[test]
    fn long_write_is_split(record_bytes in 1u64..200, count in 1u64..20) {
        let disk = FakeDisk::new(0);
        let settings = LogSettings { record_bytes, ..small_settings() };
        let (mut folder, _) = DataFolder::open_with_disk(disk.handle(), settings).expect("new folder");
        let entries: Vec<_> = (1..=count).map(|index| entry(index, 1, 30)).collect();
        let writes = Writes { entries: entries.clone(), ..Writes::default() };
        folder.write(&writes).expect("no fault");
        drop(folder);
        disk.lose_power();
        prop_assert_eq!(open(&disk).expect("whole").1.entries, entries);
    }
}

/// Guards against two processes that use the same folder.
#[test]
fn second_process_is_rejected() {
    let scratch = Scratch::new("locked");
    let folder = DataFolder::open(&scratch.0, LogSettings::default()).expect("new folder");
    let second = DataFolder::open(&scratch.0, LogSettings::default());
    assert!(matches!(second, Err(LogError::Locked { .. })), "{second:?}");
    drop(folder);
    DataFolder::open(&scratch.0, LogSettings::default()).expect("free again");
}

/// Guards against two replicas with the same id.
#[test]
fn each_folder_has_its_own_id() {
    let ids: Vec<u64> = (0..4)
        .map(|seed| open(&FakeDisk::new(seed)).expect("new folder").0.member_id().0)
        .collect();
    assert!(ids.iter().all(|id| *id != 0));
    assert!(ids.windows(2).all(|pair| pair[0] != pair[1]), "{ids:?}");
}

/// Guards against syncing each entry of a write separately, and against a sync for an empty write.
#[test]
fn one_sync_per_write() {
    let disk = FakeDisk::new(0);
    let (mut folder, _) =
        DataFolder::open_with_disk(disk.handle(), LogSettings::default()).expect("new folder");
    let before = disk.syncs();
    for batch in 0..10 {
        let writes = Writes {
            hard_state: Some(HardState { term: batch, voted_for: None }),
            entries: (1..=100).map(|n| entry(batch * 100 + n, batch, 50)).collect(),
            ..Writes::default()
        };
        folder.write(&writes).expect("no fault");
    }
    assert_eq!(disk.syncs() - before, 10);
    folder.write(&Writes::default()).expect("nothing to do");
    assert_eq!(disk.syncs() - before, 10);
}

/// Guards against segments and snapshots that are never removed.
#[test]
fn obsolete_files_are_removed() {
    let disk = FakeDisk::new(0);
    let (mut folder, _) = open(&disk).expect("new folder");
    for index in 1..=2_000 {
        let entries = vec![entry(index, 1, 50)];
        folder.write(&Writes { entries, ..Writes::default() }).expect("no fault");
        if index % 20 == 0 {
            let snapshot = Snapshot { index: index - 3, term: 1, ..Snapshot::default() };
            folder.save_snapshot(&snapshot).expect("no fault");
            let bytes: usize = disk.names().iter().map(|name| disk.contents(name).len()).sum();
            assert!(disk.names().len() <= 4 && bytes < 2_000, "{bytes} {:?}", disk.names());
        }
    }
}

/// Guards against accepting writes that leave a gap or overlap the snapshot. They must not change the disk.
#[test]
fn writes_that_do_not_continue_the_log_are_rejected() {
    let disk = FakeDisk::new(0);
    let (mut folder, _) = open(&disk).expect("new folder");
    let entries = (1..=5).map(|index| entry(index, 1, 1)).collect();
    folder.write(&Writes { entries, ..Writes::default() }).expect("no fault");
    folder.save_snapshot(&Snapshot { index: 3, term: 1, ..Snapshot::default() }).expect("no fault");
    let rejected = [(None, 7), (None, 5), (Some(3), 3), (Some(7), 7), (Some(5), 6)];
    let operations = disk.operations();
    let texts: Vec<String> = rejected
        .iter()
        .map(|(truncate_from, index)| {
            let entries = vec![entry(*index, 2, 1)];
            let writes = Writes { truncate_from: *truncate_from, entries, ..Writes::default() };
            folder.write(&writes).expect_err("does not continue the log").to_string()
        })
        .collect();
    assert_eq!(disk.operations(), operations);
    folder
        .write(&Writes { entries: vec![entry(6, 2, 1)], ..Writes::default() })
        .expect("still usable");
    insta::assert_debug_snapshot!(texts);
}

/// Texts of the errors other than corruption and invalid writes.
#[test]
fn error_texts() {
    let disk = FakeDisk::new(0);
    let (mut folder, _) = open(&disk).expect("new folder");
    disk.plan_fault(0, Fault::Full);
    let writes = Writes { entries: vec![entry(1, 1, 1)], ..Writes::default() };
    let texts = [
        folder.write(&writes).expect_err("full").to_string(),
        folder.write(&writes).expect_err("unusable").to_string(),
        open(&disk).expect_err("locked").to_string(),
    ];
    insta::assert_debug_snapshot!(texts);
}
