//! Decides when a replica writes a snapshot.

/// Multiple of `min_entries` after which a snapshot is due regardless of its size, which bounds the log
/// size and the restart time.
const MAX_INTERVAL_FACTOR: u64 = 20;

/// Schedule of the snapshots of a replica.
///
/// Writing a snapshot blocks the replica: with 100,000 stored responses (69 MB) for 0.5 s, as long as an
/// election timeout. A snapshot is therefore due only once the commands applied since the last one add up
/// to its size, which bounds the share of time and disk space spent on snapshots.
#[derive(Debug)]
pub struct SnapshotSchedule {
    min_entries: u64,
    last_snapshot_bytes: u64,
    command_bytes: u64,
}

impl SnapshotSchedule {
    /// Creates a schedule with at least `min_entries` log entries between two snapshots.
    pub fn new(min_entries: u64) -> SnapshotSchedule {
        SnapshotSchedule { min_entries, last_snapshot_bytes: 0, command_bytes: 0 }
    }

    /// Adds the size of an applied command.
    pub fn record_command(&mut self, command_bytes: usize) {
        self.command_bytes += command_bytes as u64;
    }

    /// Records that a snapshot was written or restored.
    pub fn record_snapshot(&mut self, snapshot_bytes: usize) {
        self.last_snapshot_bytes = snapshot_bytes as u64;
        self.command_bytes = 0;
    }

    /// Whether a snapshot is due after `entries` log entries since the last one.
    pub fn is_due(&self, entries: u64) -> bool {
        let has_enough_bytes = self.command_bytes >= self.last_snapshot_bytes;
        entries >= self.min_entries
            && (has_enough_bytes || entries / MAX_INTERVAL_FACTOR >= self.min_entries)
    }
}
