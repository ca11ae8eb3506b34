//! When a replica writes a snapshot.

/// Multiple of the least number of entries after which a snapshot is written in any case, so that the
/// log and the time of a restart stay bounded.
const MAX_FACTOR: u64 = 20;

/// When a replica writes a snapshot.
///
/// A write stops the replica: with 100,000 stored answers (69 MB) for 0.5 s, as long as an election
/// timeout. A snapshot is therefore due only after as many bytes of commands as the last one has, which
/// bounds the share of time and disk that snapshots take.
#[derive(Debug)]
pub struct SnapshotSchedule {
    min_entries: u64,
    last_snapshot_bytes: u64,
    command_bytes: u64,
}

impl SnapshotSchedule {
    /// Schedule with at least `min_entries` log entries between two snapshots.
    pub fn new(min_entries: u64) -> SnapshotSchedule {
        SnapshotSchedule { min_entries, last_snapshot_bytes: 0, command_bytes: 0 }
    }

    /// Counts an applied command.
    pub fn applied(&mut self, command_bytes: usize) {
        self.command_bytes += command_bytes as u64;
    }

    /// Records that a snapshot was written or restored.
    pub fn replaced(&mut self, snapshot_bytes: usize) {
        self.last_snapshot_bytes = snapshot_bytes as u64;
        self.command_bytes = 0;
    }

    /// Whether a snapshot is due when so many entries were applied since the last one.
    pub fn is_due(&self, entries: u64) -> bool {
        let has_doubled = self.command_bytes >= self.last_snapshot_bytes;
        entries >= self.min_entries && (has_doubled || entries / MAX_FACTOR >= self.min_entries)
    }
}
