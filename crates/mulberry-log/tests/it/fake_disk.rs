//! In-memory disk that can fail, tear writes and lose unsynced data.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mulberry_log::Disk;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// What happens at one write operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process crashes: this operation is partly done or not at all, and all later ones fail.
    Crash,

    /// The disk is full: this append and all later ones fail.
    Full,

    /// This operation, if it is a sync, fails and drops unsynced pages. Later syncs succeed without
    /// them.
    LostSync,
}

/// State shared by all handles, so that it outlives the data folder.
#[derive(Debug, Clone)]
pub struct FakeDisk(Arc<Mutex<Inner>>);

/// Access of one data folder to the disk. Releases the lock when dropped.
#[derive(Debug)]
struct DiskHandle {
    disk: FakeDisk,
    holds_lock: bool,
}

#[derive(Debug)]
struct Inner {
    files: Vec<File>,

    /// File numbers by name, as visible to processes.
    names: BTreeMap<String, usize>,

    /// File numbers by name, as of the last sync of the folder.
    durable_names: BTreeMap<String, usize>,

    /// Changes of names since the last sync of the folder.
    pending_names: Vec<NameChange>,

    is_locked: bool,
    operations: u64,
    syncs: u64,
    fault: Option<(u64, Fault)>,
    is_crashed: bool,
    is_full: bool,
    random: ChaCha8Rng,
}

#[derive(Debug, Default, Clone)]
struct File {
    visible: Vec<u8>,
    durable: Vec<u8>,

    /// Bytes below this offset are marked clean since a failed sync and are never written again.
    dropped_below: usize,
}

#[derive(Debug, Clone)]
enum NameChange {
    Set(String, usize),
    Remove(String),
    Move { from: String, to: String, file: usize },
}

impl FakeDisk {
    pub fn new(seed: u64) -> FakeDisk {
        FakeDisk(Arc::new(Mutex::new(Inner {
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            pending_names: Vec::new(),
            is_locked: false,
            operations: 0,
            syncs: 0,
            fault: None,
            is_crashed: false,
            is_full: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        })))
    }

    pub fn handle(&self) -> Box<dyn Disk> {
        Box::new(DiskHandle { disk: self.clone(), holds_lock: false })
    }

    /// Plans a fault for the operation that follows the next `after` operations.
    pub fn plan_fault(&self, after: u64, fault: Fault) {
        let mut inner = self.inner();
        inner.fault = Some((inner.operations + after, fault));
    }

    /// Restarts the process. Faults end and a full disk has space again, but the page cache is kept.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.fault = None;
        inner.is_full = false;
        inner.is_crashed = false;
    }

    /// Restarts the machine. Unsynced data is kept, lost or torn at random.
    pub fn lose_power(&self) {
        self.restart();
        self.inner().lose_power();
    }

    /// Number of write operations so far.
    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// Number of file syncs so far.
    pub fn syncs(&self) -> u64 {
        self.inner().syncs
    }

    pub fn names(&self) -> Vec<String> {
        self.inner().names.keys().cloned().collect()
    }

    pub fn contents(&self, name: &str) -> Vec<u8> {
        let inner = self.inner();
        inner.files[inner.names[name]].visible.clone()
    }

    /// Creates or replaces a file durably.
    pub fn put(&self, name: &str, contents: &[u8]) {
        let mut inner = self.inner();
        let file = inner.add_file();
        inner.files[file].visible = contents.to_vec();
        inner.files[file].durable = contents.to_vec();
        inner.names.insert(name.to_owned(), file);
        inner.durable_names.insert(name.to_owned(), file);
    }

    pub fn delete(&self, name: &str) {
        let mut inner = self.inner();
        inner.names.remove(name);
        inner.durable_names.remove(name);
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add_file(&mut self) -> usize {
        self.files.push(File::default());
        self.files.len() - 1
    }

    fn random_below(&mut self, bound: usize) -> usize {
        (self.random.next_u64() % (bound as u64).max(1)) as usize
    }

    fn file(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Counts a write operation. Returns whether a crash occurs during it.
    fn begin_operation(&mut self) -> io::Result<bool> {
        if self.is_crashed {
            return Err(io::Error::other("the process has ended"));
        }
        self.operations += 1;
        self.is_crashed = self.fault == Some((self.operations - 1, Fault::Crash));
        Ok(self.is_crashed)
    }

    fn is_fault_due(&self, fault: Fault) -> bool {
        self.fault == Some((self.operations - 1, fault))
    }

    fn change_name(&mut self, change: NameChange) {
        change.clone().apply(&mut self.names);
        self.pending_names.push(change);
    }

    /// Applies a name change. If a crash occurs during it, it is applied with a probability of 1/2.
    fn finish_name_change(&mut self, is_crash: bool, change: NameChange) -> io::Result<()> {
        if !is_crash || self.random_below(2) == 0 {
            self.change_name(change);
        }
        crash_result(is_crash)
    }

    /// Returns the contents of a file after its unsynced changes were written in part: a random mix of
    /// blocks of the visible and the durable contents.
    fn mix_versions(&mut self, file: &File) -> Vec<u8> {
        let (visible, durable) = (&file.visible, &file.durable);
        let shorter = visible.len().min(durable.len());
        let longer = visible.len().max(durable.len());
        let length = match self.random_below(4) {
            0 => durable.len(),
            1 => visible.len(),
            _ => shorter + self.random_below(longer - shorter + 1),
        };
        let mut data = vec![0; length];
        let block_bytes = 1 + self.random_below(64);
        let keeps_all = self.random_below(3) == 0;
        let mut from_visible = true;
        for (offset, byte) in data.iter_mut().enumerate() {
            if offset % block_bytes == 0 {
                from_visible = keeps_all || self.random_below(2) == 0;
            }
            let is_dropped = offset < file.dropped_below;
            let source = if from_visible && !is_dropped { visible } else { durable };
            *byte = source.get(offset).copied().unwrap_or(0);
        }
        data
    }

    fn lose_power(&mut self) {
        let mut names = std::mem::take(&mut self.durable_names);
        let keeps_all = self.random_below(3) == 0;
        for change in std::mem::take(&mut self.pending_names) {
            if keeps_all || self.random_below(2) == 0 {
                change.apply(&mut names);
            }
        }
        for number in 0..self.files.len() {
            let data = self.mix_versions(&self.files[number].clone());
            let file = &mut self.files[number];
            *file = File { visible: data.clone(), durable: data, dropped_below: 0 };
        }
        self.durable_names = names.clone();
        self.names = names;
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Set(name, file) => drop(names.insert(name, file)),
            NameChange::Remove(name) => drop(names.remove(&name)),
            NameChange::Move { from, to, file } => {
                names.remove(&from);
                names.insert(to, file);
            }
        }
    }
}

impl Disk for DiskHandle {
    fn lock(&mut self) -> io::Result<bool> {
        let mut inner = self.disk.inner();
        self.holds_lock = !inner.is_locked;
        inner.is_locked = true;
        Ok(self.holds_lock)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.disk.inner();
        Ok(inner.files[inner.file(name)?].visible.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        // An existing file is truncated, not replaced with a new file.
        if let Ok(file) = inner.file(name) {
            inner.files[file].visible.clear();
            return crash_result(is_crash);
        }
        let file = inner.add_file();
        inner.finish_name_change(is_crash, NameChange::Set(name.to_owned(), file))
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        let file = inner.file(name)?;
        inner.is_full |= inner.is_fault_due(Fault::Full);
        let is_partial = is_crash || inner.is_full;
        let bytes = if is_partial { inner.random_below(data.len() + 1) } else { data.len() };
        inner.files[file].visible.extend(&data[..bytes]);
        if inner.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        crash_result(is_crash)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        inner.syncs += 1;
        let number = inner.file(name)?;
        let file = inner.files[number].clone();
        if inner.is_fault_due(Fault::LostSync) {
            inner.files[number].durable = inner.mix_versions(&file);
            inner.files[number].dropped_below = file.visible.len();
            return Err(io::Error::other("pages were dropped"));
        }
        if !is_crash {
            let file = &mut inner.files[number];
            let kept = file.dropped_below.min(file.visible.len());
            let mut durable = file.durable.clone();
            durable.resize(kept, 0);
            durable.extend(&file.visible[kept..]);
            file.durable = durable;
        }
        crash_result(is_crash)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        let file = inner.file(from)?;
        let (from, to) = (from.to_owned(), to.to_owned());
        inner.finish_name_change(is_crash, NameChange::Move { from, to, file })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        inner.file(name)?;
        inner.finish_name_change(is_crash, NameChange::Remove(name.to_owned()))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.disk.inner();
        let is_crash = inner.begin_operation()?;
        if inner.is_fault_due(Fault::LostSync) {
            return Err(io::Error::other("the folder was not synced"));
        }
        if !is_crash {
            inner.pending_names.clear();
            inner.durable_names = inner.names.clone();
        }
        crash_result(is_crash)
    }

    fn display_path(&self, name: &str) -> String {
        format!("data/{name}")
    }
}

impl Drop for DiskHandle {
    fn drop(&mut self) {
        if self.holds_lock {
            self.disk.inner().is_locked = false;
        }
    }
}

fn crash_result(is_crash: bool) -> io::Result<()> {
    if is_crash { Err(io::Error::other("the process has ended")) } else { Ok(()) }
}
