//! Prints synced writes per second, recovery time and bytes on disk.
//!
//! Usage: `measure_log [folder]`. The folder must be on the disk to measure and is removed afterwards;
//! the default is below the folder for temporary files.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use mulberry_consensus::{Entry, Payload, Snapshot, Writes};
use mulberry_log::{DataFolder, LogSettings};

/// Encoded size of a change that adds or replaces one workspace with two API keys.
const CHANGE_BYTES: usize = 260;

const CHANGES: u64 = 100_000;
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

fn main() {
    let folder = std::env::args().nth(1).map_or_else(
        || std::env::temp_dir().join(format!("measure-log-{}", std::process::id())),
        PathBuf::from,
    );
    for batch in [1, 10, 100] {
        measure_batches(&folder, batch);
    }
    measure_recovery(&folder);
    fs::remove_dir_all(&folder).expect("the folder was created here");
}

fn open_new(folder: &Path) -> DataFolder {
    let _ = fs::remove_dir_all(folder);
    DataFolder::open(folder, LogSettings::default()).expect("a new folder").0
}

/// Writes with `count` entries, from index `first` on.
fn batch_of(first: u64, count: u64) -> Writes {
    let entries = (first..first + count)
        .map(|index| {
            // The bytes vary, as in real commands.
            let command = (0..CHANGE_BYTES).map(|byte| (byte as u64 * 31 + index) as u8).collect();
            Entry { index, term: 1, payload: Payload::Command(command) }
        })
        .collect();
    Writes { entries, ..Writes::default() }
}

fn measure_batches(folder: &Path, batch: u64) {
    let mut data = open_new(folder);
    let mut next = 1;
    let mut times_us = Vec::new();
    let started = Instant::now();
    while started.elapsed() < MEASUREMENT_TIME {
        let writes = batch_of(next, batch);
        let write_started = Instant::now();
        data.write(&writes).expect("the disk works");
        times_us.push(write_started.elapsed().as_micros());
        next += batch;
    }
    let seconds = started.elapsed().as_secs_f64();
    times_us.sort_unstable();
    let quantile = |part: f64| times_us[((times_us.len() - 1) as f64 * part) as usize];
    println!(
        "{batch} entries per batch: {:.0} synced writes/s, {:.0} entries/s, write p50 {} us, p99 {} us",
        times_us.len() as f64 / seconds,
        (next - 1) as f64 / seconds,
        quantile(0.5),
        quantile(0.99)
    );
}

fn measure_recovery(folder: &Path) {
    let mut data = open_new(folder);
    for first in (1..=CHANGES).step_by(100) {
        data.write(&batch_of(first, 100)).expect("the disk works");
    }
    drop(data);
    let bytes = stored_bytes(folder);
    println!(
        "{CHANGES} changes of {CHANGE_BYTES} bytes: {bytes} bytes on disk, {:.1} per change",
        bytes as f64 / CHANGES as f64
    );
    let started = Instant::now();
    let (mut data, state) = DataFolder::open(folder, LogSettings::default()).expect("whole");
    println!("recovery of {} entries: {} ms", state.entries.len(), started.elapsed().as_millis());

    let snapshot =
        Snapshot { index: CHANGES, term: 1, data: vec![7; 8 << 20], ..Snapshot::default() };
    let started = Instant::now();
    data.save_snapshot(&snapshot).expect("the disk works");
    println!("snapshot of 8 MiB with removal of the log: {} ms", started.elapsed().as_millis());
    drop(data);
    println!("bytes on disk after the snapshot: {}", stored_bytes(folder));
    let started = Instant::now();
    DataFolder::open(folder, LogSettings::default()).expect("whole");
    println!("recovery from the snapshot: {} ms", started.elapsed().as_millis());
}

fn stored_bytes(folder: &Path) -> u64 {
    fs::read_dir(folder)
        .expect("the folder exists")
        .map(|entry| entry.and_then(|entry| entry.metadata()).expect("readable").len())
        .sum()
}
