//! Replica behaviour on a full disk.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use mulberry_control::{ControlInstance, OperatorCallError};
use mulberry_log::{Disk, FileSystemDisk};
use mulberry_types::{ConfigurationVersion, ControlReply};
use support::{Group, TestEntry, set_zone, wait_for};

/// Disk that reports `StorageFull` on writes while `is_full` is set.
#[derive(Debug)]
struct FillingDisk {
    inner: FileSystemDisk,
    is_full: Arc<AtomicBool>,
}

impl FillingDisk {
    fn check(&self) -> io::Result<()> {
        if self.is_full.load(Ordering::Acquire) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl Disk for FillingDisk {
    fn lock(&mut self) -> io::Result<bool> {
        self.inner.lock()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        self.inner.create(name)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        if self.is_full.load(Ordering::Acquire) {
            // A full disk may still write part of the data.
            self.inner.append(name, &data[..data.len() / 2])?;
        }
        self.check()?;
        self.inner.append(name, data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.inner.sync_folder()
    }

    fn display_path(&self, name: &str) -> String {
        self.inner.display_path(name)
    }
}

/// Starts a group on disks that can be filled.
fn start_on_filling_disks(name: &str, size: usize) -> (Group, Vec<Arc<AtomicBool>>) {
    let mut group = Group::prepare(name, size);
    let is_full: Vec<Arc<AtomicBool>> = (0..size).map(|_| Arc::default()).collect();
    for (index, is_full) in is_full.iter().enumerate() {
        let disk = FillingDisk {
            inner: FileSystemDisk::new(&group.settings[index].data_folder).unwrap(),
            is_full: is_full.clone(),
        };
        let instance = ControlInstance::start_on_disk(&group.settings[index], Box::new(disk));
        group.instances[index] = Some(instance.unwrap());
    }
    group.wait_for_leader();
    (group, is_full)
}

fn failure(group: &Group, index: usize) -> Option<String> {
    group.instance(index).handle().status().failure
}

fn wait_for_version(group: &Group, index: usize, version: ConfigurationVersion) {
    wait_for("a replica to catch up", || {
        let status = group.instance(index).handle().status();
        (status.failure.is_none() && status.version == version).then_some(())
    });
}

/// Guards against a replica that acknowledges without being able to write, that needs a restart once space is
/// available, and against the loss of a change.
#[test]
fn full_disk_stops_the_replica_until_space_is_available() {
    let (mut group, is_full) = start_on_filling_disks("full-disk", 3);
    let version = group.set_zone("before", "a");
    let full_leader = group.wait_for_leader();
    is_full[full_leader].store(true, Ordering::Release);

    // The change is sent to the leader with the full disk. Its outcome there is unknown.
    let change = set_zone("during", "b", version);
    let refused = group.instance(full_leader).handle().change(change.clone()).unwrap_err();
    // `NotLeader` is possible too, because the leader may be replaced at the same time.
    assert!(
        matches!(refused, OperatorCallError::OutcomeUnknown | OperatorCallError::NotLeader { .. }),
        "{refused:?}"
    );
    let reason = wait_for("the failure in the status", || failure(&group, full_leader));
    assert!(reason.contains("free space"), "{reason}");
    let mut entry = TestEntry::in_group(1, &group);
    // Longer than several attempts to open the folder.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        assert!(failure(&group, full_leader).is_some());
        assert!(!group.instance(full_leader).health().is_ready());
        let renewal = entry.renewal();
        let reply = entry.call(full_leader, renewal, Duration::from_secs(5)).unwrap();
        assert!(matches!(reply, ControlReply::Unavailable { .. }), "{reply:?}");
        let handle = group.instance(full_leader).handle();
        assert!(matches!(handle.configuration(), Err(OperatorCallError::Unavailable { .. })));
    }

    // The other replicas continue to serve, and the retried change has one outcome.
    group.change(&change);
    entry.renew();
    let changed = ConfigurationVersion(version.0 + 1);
    is_full[full_leader].store(false, Ordering::Release);
    wait_for_version(&group, full_leader, changed);
    assert!(group.instance(full_leader).health().is_ready());
    let leader = group.wait_for_leader();
    assert_eq!(group.instance(leader).handle().configuration().unwrap().0, changed);

    // What it has acknowledged since is on its disk.
    group.abort(full_leader);
    group.start_one(full_leader);
    wait_for_version(&group, full_leader, changed);
}

/// Guards against a group that stays without a majority after each disk was full for a moment, never two at once.
#[test]
fn disks_that_are_full_in_turn_leave_a_serving_group() {
    let (group, is_full) = start_on_filling_disks("full-in-turn", 3);
    group.set_zone("before", "a");
    for round in 0..2 {
        for (index, full) in is_full.iter().enumerate() {
            full.store(true, Ordering::Release);
            wait_for("a failed write", || {
                group.set_zone(&format!("{round}-{index}"), "b");
                failure(&group, index)
            });
            full.store(false, Ordering::Release);
        }
    }
    let version = group.set_zone("after", "c");
    for index in 0..3 {
        wait_for_version(&group, index, version);
    }
}
