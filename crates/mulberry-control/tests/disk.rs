//! Replica behaviour on a full disk.

mod support;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

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

/// Guards against a replica that acknowledges without being able to write, that resumes once space is
/// available although a write may be missing, and against the loss of a change.
#[test]
fn full_disk_stops_the_replica_until_restart() {
    let mut group = Group::prepare("full-disk", 3);
    let is_full: Vec<Arc<AtomicBool>> = (0..3).map(|_| Arc::default()).collect();
    for (index, is_full) in is_full.iter().enumerate() {
        let disk = FillingDisk {
            inner: FileSystemDisk::new(&group.settings[index].data_folder).unwrap(),
            is_full: is_full.clone(),
        };
        let instance = ControlInstance::start_on_disk(&group.settings[index], Box::new(disk));
        group.instances[index] = Some(instance.unwrap());
    }
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
    let status = wait_for("the failure in the status", || {
        let status = group.instance(full_leader).handle().status();
        status.failure.is_some().then_some(status)
    });
    assert!(status.failure.unwrap().contains("free space"));
    assert!(!group.instance(full_leader).health().is_ready());
    let mut entry = TestEntry::in_group(1, &group);
    let renewal = entry.renewal();
    let reply = entry.call(full_leader, renewal, Duration::from_secs(5)).unwrap();
    assert!(matches!(reply, ControlReply::Unavailable { .. }), "{reply:?}");

    // Calls are still refused once space is available, because the folder may lack a write.
    is_full[full_leader].store(false, Ordering::Release);
    let handle = group.instance(full_leader).handle();
    assert!(matches!(handle.configuration(), Err(OperatorCallError::Unavailable { .. })));

    // The other replicas continue to serve, and the retried change has one outcome.
    group.change(&change);
    entry.renew();
    group.abort(full_leader);
    group.start_one(full_leader);
    wait_for("the restarted replica to catch up", || {
        let status = group.instance(full_leader).handle().status();
        (status.failure.is_none() && status.version == ConfigurationVersion(version.0 + 1))
            .then_some(())
    });
}
