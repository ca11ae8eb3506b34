//! File access within one folder. Tests substitute a disk that fails, tears writes and loses unsynced
//! data.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

use fs4::fs_std::FileExt as _;

const LOCK_FILE: &str = "lock";

/// Access to the files of one folder by name.
///
/// File contents are durable after `sync`, and file names after `sync_folder`. Until then a crash may
/// keep, lose or tear each change independently of the others.
pub trait Disk: Debug + Send {
    /// Locks the folder until this value is dropped. Returns false if another process holds the lock.
    ///
    /// # Errors
    /// The lock file cannot be created.
    fn lock(&mut self) -> io::Result<bool>;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates it if it exists.
    ///
    /// # Errors
    /// The file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to an existing file.
    ///
    /// # Errors
    /// The disk is full or fails. A part of the data may have been written.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Makes the contents of a file durable.
    ///
    /// # Errors
    /// The contents cannot be synced. Some of them may never become durable, even if a later call
    /// succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file with the new name.
    ///
    /// # Errors
    /// The file cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// The folder cannot be synced.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Path of a file for use in messages. An empty name stands for the folder itself.
    fn display_path(&self, name: &str) -> String;
}

/// Folder on the file system.
#[derive(Debug)]
pub struct FileSystemDisk {
    path: PathBuf,

    /// File that was last appended to. It stays open so that `sync` reports errors of its earlier
    /// writes.
    current: Option<(String, File)>,

    lock: Option<File>,
}

impl FileSystemDisk {
    /// Opens the folder, creating it if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(path: &Path) -> io::Result<FileSystemDisk> {
        if !path.is_dir() {
            fs::create_dir_all(path)?;
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?;
            }
        }
        Ok(FileSystemDisk { path: path.to_owned(), current: None, lock: None })
    }

    fn current_file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.current.as_ref().is_none_or(|(current, _)| current != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.current = Some((name.to_owned(), file));
        }
        match &mut self.current {
            Some((_, file)) => Ok(file),
            None => Err(io::Error::other("no file is open")),
        }
    }

    fn close(&mut self, name: &str) {
        self.current.take_if(|(current, _)| current == name);
    }
}

impl Disk for FileSystemDisk {
    fn lock(&mut self) -> io::Result<bool> {
        let path = self.path.join(LOCK_FILE);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        let is_locked = file.try_lock_exclusive()?;
        self.lock = is_locked.then_some(file);
        Ok(is_locked)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.current_file(name)?.write_all(data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.current_file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn display_path(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }
}
