//! The thread that owns the data folder, so that a slow disk stops nothing but what waits for it.

use std::path::PathBuf;
use std::thread::Builder;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, unbounded};
use mulberry_consensus::{DurableState, MemberId, Snapshot, Writes};
use mulberry_log::{DataFolder, LogError, LogSettings};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Size at which a new log file is started. Small, since a restart reads all of them.
const SEGMENT_BYTES: u64 = 2 << 20;

/// What the disk is asked to do, in order.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Opens the folder and recovers what is there, also after a failure.
    Open,
    Write(Writes),
    Save(Snapshot),
}

/// What the disk has done.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    Opened { member: MemberId, durable: DurableState },
    Written { writes: Writes, took_s: f64 },
    Saved(Snapshot),

    /// Nothing that was asked since counts as written; the folder must be opened again.
    Failed(LogError),
}

/// The sender of jobs to the disk thread and the receiver of what it has done.
#[derive(Debug)]
pub(crate) struct DiskThread {
    jobs: Sender<DiskJob>,
}

impl DiskThread {
    /// Starts the thread; it ends when the value is dropped.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(
        folder: PathBuf,
    ) -> std::io::Result<(DiskThread, UnboundedReceiver<DiskEvent>)> {
        let (jobs, receiver) = unbounded();
        let (sender, events) = unbounded_channel();
        Builder::new().name("disk".to_owned()).spawn(move || run(folder, &receiver, &sender))?;
        Ok((DiskThread { jobs }, events))
    }

    pub(crate) fn ask(&self, job: DiskJob) {
        // The thread ends only after this value.
        let _ = self.jobs.send(job);
    }
}

fn run(path: PathBuf, jobs: &Receiver<DiskJob>, events: &UnboundedSender<DiskEvent>) {
    let mut folder: Option<DataFolder> = None;
    while let Ok(job) = jobs.recv() {
        let event = match (job, &mut folder) {
            (DiskJob::Open, _) => {
                // The lock of the folder must be free before it is taken again.
                folder = None;
                let settings =
                    LogSettings { segment_bytes: SEGMENT_BYTES, ..LogSettings::default() };
                DataFolder::open(&path, settings).map(|(opened, durable)| {
                    let member = opened.member_id();
                    folder = Some(opened);
                    DiskEvent::Opened { member, durable }
                })
            }
            (DiskJob::Write(writes), Some(folder)) => {
                let begin = Instant::now();
                folder.write(&writes).map(|()| DiskEvent::Written {
                    writes,
                    took_s: begin.elapsed().as_secs_f64(),
                })
            }
            (DiskJob::Save(snapshot), Some(folder)) => {
                folder.save_snapshot(&snapshot).map(|()| DiskEvent::Saved(snapshot))
            }
            // Left over from before the failure.
            (DiskJob::Write(_) | DiskJob::Save(_), None) => continue,
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
