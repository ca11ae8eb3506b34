//! Registries whose disks are full or slow for a while.

mod support;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mulberry_log::{Disk, FileSystemDisk};
use support::{Group, WAIT_TIMEOUT};

/// Faults of one disk.
#[derive(Debug, Default, Clone, Copy)]
struct DiskFaults {
    /// Writes are refused, the first one after a part of it is written.
    is_full: bool,

    /// Delay of listing the files, which is the first step of opening the folder.
    list_delay: Duration,
}

/// Disk with faults that a test sets by its folder.
#[derive(Debug)]
struct FaultyDisk {
    path: PathBuf,
    inner: FileSystemDisk,
}

fn faults() -> MutexGuard<'static, BTreeMap<PathBuf, DiskFaults>> {
    static FAULTS: Mutex<BTreeMap<PathBuf, DiskFaults>> = Mutex::new(BTreeMap::new());
    FAULTS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn set_faults(group: &Group, member: u8, new: DiskFaults) {
    faults().insert(group.folder.join(member.to_string()), new);
}

fn fill_disk(group: &Group, member: u8) {
    set_faults(group, member, DiskFaults { is_full: true, ..DiskFaults::default() });
}

fn form(name: &str, network: u8, seeds: &[u8]) -> Group {
    Group::form_on_disks(name, network, seeds, usize::MAX, |path: &Path| {
        let inner = FileSystemDisk::new(path)?;
        Ok(Box::new(FaultyDisk { path: path.to_owned(), inner }))
    })
}

impl FaultyDisk {
    fn faults(&self) -> DiskFaults {
        faults().get(&self.path).copied().unwrap_or_default()
    }

    fn check_space(&self) -> io::Result<()> {
        if self.faults().is_full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl Disk for FaultyDisk {
    fn lock(&mut self) -> io::Result<bool> {
        self.inner.lock()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        std::thread::sleep(self.faults().list_delay);
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.check_space()?;
        self.inner.create(name)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        if self.faults().is_full {
            self.inner.append(name, &data[..data.len() / 2])?;
        }
        self.check_space()?;
        self.inner.append(name, data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check_space()?;
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

fn version_of(document: &str) -> u64 {
    document.split(' ').next().and_then(|version| version.parse().ok()).expect("has a version")
}

/// Waits until a registry has noticed that its disk is full.
fn wait_until_unavailable(group: &Group, member: u8) {
    let started = Instant::now();
    while !matches!(group.request(member, "GET", "/config", ""), Some((503, _))) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "member {member} has not failed a write");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a group that stays without a majority, or loses a change, after each disk was full for a while.
#[test]
fn registries_whose_disks_are_full_in_turn_come_back() {
    const FULL_AND_GAP_MS: [(u64, u64); 7] =
        [(900, 0), (600, 200), (1_500, 0), (700, 0), (1_900, 400), (600, 0), (800, 0)];
    let group = form("full-in-turn", 101, &[1, 2, 3, 4, 5]);
    group.request_until_ok(1, "PUT", "/config", "1 first");
    let acknowledged = AtomicU64::new(1);
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for version in 2.. {
                let member = (version % 5) as u8 + 1;
                let is_even = version % 2 == 0;
                let zone =
                    group.request(member, if is_even { "POST" } else { "DELETE" }, "/zone", "z");
                let changed = group.request(member, "PUT", "/config", &format!("{version} c"));
                if matches!(changed, Some((200, _))) {
                    acknowledged.store(version, Ordering::Release);
                }
                assert!(zone.is_none_or(|(status, _)| status == 200 || status == 503));
                if is_done.load(Ordering::Acquire) {
                    return;
                }
            }
        });
        for (turn, (full_ms, gap_ms)) in FULL_AND_GAP_MS.into_iter().enumerate() {
            let member = (turn % 5) as u8 + 1;
            fill_disk(&group, member);
            std::thread::sleep(Duration::from_millis(full_ms));
            set_faults(&group, member, DiskFaults::default());
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
        is_done.store(true, Ordering::Release);
    });
    let acknowledged = acknowledged.into_inner();
    assert!(acknowledged > 1, "no version was accepted");
    for member in 1..=5 {
        let known = version_of(&group.request_until_ok(member, "GET", "/config", ""));
        assert!(known >= acknowledged, "member {member} has version {known} of {acknowledged}");
        let version = acknowledged + 100 + u64::from(member);
        group.request_until_ok(member, "PUT", "/config", &format!("{version} d"));
    }
}

/// Guards against opening the data folder again while it is being opened, which replaces the replica that came from the
/// first opening.
#[test]
fn a_folder_that_opens_slowly_is_opened_once() {
    let group = form("slow-opening", 102, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    let list_delay = Duration::from_millis(2_600);
    set_faults(&group, 3, DiskFaults { is_full: true, list_delay });
    group.request_until_ok(1, "PUT", "/config", "2 b");
    wait_until_unavailable(&group, 3);
    set_faults(&group, 3, DiskFaults { is_full: false, list_delay });
    let started = Instant::now();
    for version in 3.. {
        group.request_until_ok(1, "PUT", "/config", &format!("{version} c"));
        std::thread::sleep(Duration::from_millis(100));
        if started.elapsed() > Duration::from_secs(9) {
            break;
        }
    }
    set_faults(&group, 3, DiskFaults::default());
    group.request_until_ok(3, "PUT", "/config", "1000 d");
}

/// Guards against holding requests until their deadline at a registry that cannot serve them.
#[test]
fn requests_are_refused_at_once_while_the_disk_is_full() {
    let group = form("refuse", 103, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    fill_disk(&group, 3);
    group.request_until_ok(1, "PUT", "/config", "2 b");
    wait_until_unavailable(&group, 3);
    for (method, path, body) in
        [("PUT", "/config", "3 c"), ("GET", "/config", ""), ("POST", "/zone", "z")]
    {
        let shortest = (0..5).map(|_| {
            let started = Instant::now();
            let status = group.request(3, method, path, body).map(|(status, _)| status);
            assert_eq!(status, Some(503), "{method} {path}");
            started.elapsed()
        });
        let shortest = shortest.min().expect("was sent");
        assert!(shortest < Duration::from_millis(400), "{method} {path} took {shortest:?}");
    }
    set_faults(&group, 3, DiskFaults::default());
    group.request_until_ok(3, "PUT", "/config", "4 d");
}

/// Guards against requests that a leader leaves unanswered when its disk is full, although another is elected in time.
#[test]
fn requests_forwarded_to_a_leader_with_a_full_disk_are_served() {
    let group = form("forwarded", 104, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    let mut version = 1;
    // One of the members is the leader. Elections may take longer on a busy machine, so one of several rounds counts.
    let is_served = (0..6).any(|_| {
        let statuses = [1, 2, 3].map(|member| {
            version += 1;
            fill_disk(&group, member);
            let other = member % 3 + 1;
            let changed = group.request(other, "PUT", "/config", &format!("{version} c"));
            set_faults(&group, member, DiskFaults::default());
            for member in 1..=3 {
                group.request_until_ok(member, "GET", "/config", "");
            }
            changed.map(|(status, _)| status)
        });
        statuses == [Some(200); 3]
    });
    assert!(is_served, "in each round a request forwarded to the leader was not served");
}

/// Guards against a log of departures that stays closed after it could not be opened, so that no departure is stored.
#[test]
fn departures_are_stored_once_their_log_can_be_opened() {
    let mut group = form("departures", 105, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    let log = |group: &Group, member: u8| group.folder.join(member.to_string()).join("departures");
    for member in [2, 3] {
        group.stop(member);
        std::fs::remove_file(log(&group, member)).expect("has a log of departures");
        std::fs::create_dir(log(&group, member)).expect("is created");
        group.start(member, false);
    }
    group.request_until_ok(1, "PUT", "/target", "t");
    let refused = group.request(1, "DELETE", "/target", "t").map(|(status, _)| status);
    assert_eq!(refused, Some(503));
    for member in [2, 3] {
        std::fs::remove_dir(log(&group, member)).expect("is empty");
    }
    group.request_until_ok(1, "DELETE", "/target", "t");
}
