//! The thread that owns the data folder, so that a slow disk doesn't block the event loop.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::thread::Builder;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, unbounded};
use mulberry_consensus::{DurableState, MemberId, Snapshot, Writes};
use mulberry_directory::TargetRecord;
use mulberry_log::{DataFolder, Disk, FileSystemDisk, LogError, LogSettings};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::departure_log::{DEPARTURES_FILE, DepartureLog};
use crate::node::DepartureRequester;

/// Size at which a new log segment is started. Small, because a restart reads all segments.
const SEGMENT_BYTES: u64 = 2 << 20;

/// File with the warm-start state, in the data folder of the log.
const WARM_START_FILE: &str = "notes";

/// Temporary file while the warm-start state is written. Its suffix differs from that of the log's temporary files,
/// which the log deletes.
const WARM_START_TEMP_FILE: &str = "notes.new";

/// Opens the disk with the folder of the log.
pub type OpenDisk = fn(&Path) -> io::Result<Box<dyn Disk>>;

/// Jobs for the disk thread, executed in order.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Opens the data folder and recovers its contents; also used after a failure.
    Open,
    Write(Writes),
    Save(Snapshot),

    /// Saves state that speeds up a restart; it may be lost.
    SaveWarmStart(Vec<u8>),

    /// Stores that a target drains or has left, until the next warm-start state is saved, which must contain it.
    StoreDeparture {
        requester: DepartureRequester,
        record: TargetRecord,
    },
}

/// Results from the disk thread.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    Opened {
        member: MemberId,
        durable: DurableState,
        warm_start: Vec<u8>,
        departures: Vec<TargetRecord>,
    },
    Written {
        writes: Writes,
        took_s: f64,
    },
    Saved(Snapshot),
    DepartureStored {
        requester: DepartureRequester,
        record: TargetRecord,
    },

    /// None of the pending jobs count as written; the folder must be opened again.
    Failed(LogError),
}

/// Sends jobs to the disk thread.
#[derive(Debug)]
pub(crate) struct DiskThread {
    jobs: Sender<DiskJob>,
}

impl DiskThread {
    /// Starts the thread, which ends when the returned handle is dropped.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(
        folder: PathBuf,
        open_disk: OpenDisk,
    ) -> io::Result<(DiskThread, UnboundedReceiver<DiskEvent>)> {
        let (jobs, receiver) = unbounded();
        let (sender, events) = unbounded_channel();
        Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(&folder, open_disk, &receiver, &sender))?;
        Ok((DiskThread { jobs }, events))
    }

    pub(crate) fn submit(&self, job: DiskJob) {
        // The receiver outlives this sender unless the node has been dropped.
        let _ = self.jobs.send(job);
    }
}

/// Opens the folder at `path` on the file system.
pub(crate) fn open_file_system(path: &Path) -> io::Result<Box<dyn Disk>> {
    Ok(Box::new(FileSystemDisk::new(path)?))
}

/// Opens the folder of the log and recovers its contents.
fn open_log(path: &Path, open_disk: OpenDisk) -> Result<(DataFolder, DurableState), LogError> {
    let settings = LogSettings { segment_bytes: SEGMENT_BYTES, ..LogSettings::default() };
    let disk = open_disk(path).map_err(|source| LogError::Open {
        action: "create",
        file: path.display().to_string(),
        source,
    })?;
    DataFolder::open_with_disk(disk, settings)
}

/// Reads the warm-start state; empty if it cannot be read.
fn read_warm_start(folder: &Path) -> Vec<u8> {
    let read = fs::read(folder.join(WARM_START_FILE));
    read.unwrap_or_else(|error| {
        tracing::info!(event = "no_notes", %error);
        Vec::new()
    })
}

/// Replaces the warm-start file, and clears the log of departures, which the file contains. An older file is also usable
/// after a crash, unless it precedes a departure: only then the folder is synced.
fn write_warm_start(folder: &Path, bytes: &[u8], departures: &mut DepartureLog) -> io::Result<()> {
    let temp_path = folder.join(WARM_START_TEMP_FILE);
    let mut file = File::create(&temp_path)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    fs::rename(temp_path, folder.join(WARM_START_FILE))?;
    if departures.is_empty() {
        return Ok(());
    }
    File::open(folder)?.sync_all()?;
    departures.clear()
}

/// Opens the log of departures. Without it departures are not stored, so the data folder is not open either.
fn open_departures(folder: &Path) -> Result<(DepartureLog, Vec<TargetRecord>), LogError> {
    DepartureLog::open(folder).map_err(|source| LogError::Open {
        action: "open",
        file: folder.join(DEPARTURES_FILE).display().to_string(),
        source,
    })
}

fn run(
    path: &Path,
    open_disk: OpenDisk,
    jobs: &Receiver<DiskJob>,
    events: &UnboundedSender<DiskEvent>,
) {
    let mut folder: Option<(DataFolder, DepartureLog)> = None;
    while let Ok(job) = jobs.recv() {
        let event = match (job, &mut folder) {
            (DiskJob::Open, _) => {
                // Release the folder lock before acquiring it again.
                folder = None;
                open_log(path, open_disk).and_then(|(opened, durable)| {
                    let (departure_log, departures) = open_departures(path)?;
                    let member = opened.member_id();
                    folder = Some((opened, departure_log));
                    let warm_start = read_warm_start(path);
                    Ok(DiskEvent::Opened { member, durable, warm_start, departures })
                })
            }
            (DiskJob::Write(writes), Some((folder, _))) => {
                let started = Instant::now();
                folder.write(&writes).map(|()| DiskEvent::Written {
                    writes,
                    took_s: started.elapsed().as_secs_f64(),
                })
            }
            (DiskJob::Save(snapshot), Some((folder, _))) => {
                folder.save_snapshot(&snapshot).map(|()| DiskEvent::Saved(snapshot))
            }
            (DiskJob::SaveWarmStart(bytes), Some((_, departure_log))) => {
                if let Err(error) = write_warm_start(path, &bytes, departure_log) {
                    tracing::warn!(event = "notes_not_written", %error);
                }
                continue;
            }
            (DiskJob::StoreDeparture { requester, record }, Some((_, departure_log))) => {
                match departure_log.append(&record) {
                    Ok(()) => Ok(DiskEvent::DepartureStored { requester, record }),
                    Err(error) => {
                        tracing::warn!(event = "departure_not_stored", %error);
                        continue;
                    }
                }
            }
            // Jobs queued before the failure are discarded.
            (
                DiskJob::Write(_)
                | DiskJob::Save(_)
                | DiskJob::SaveWarmStart(_)
                | DiskJob::StoreDeparture { .. },
                None,
            ) => continue,
        };
        let event = event.unwrap_or_else(|error| {
            folder = None;
            DiskEvent::Failed(error)
        });
        if events.send(event).is_err() {
            return;
        }
    }
}
