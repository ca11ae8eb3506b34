//! Settings of one replica.

use crate::{MemberId, Members};

/// Settings of one replica. Times are in milliseconds of the clock that the driver passes in.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    pub id: MemberId,

    /// Seed of the election timeouts; must differ between replicas, or they campaign at the same time.
    pub seed: u64,

    /// Whether this replica forms a new group with `initial_members` if it has no log and no snapshot.
    ///
    /// Ignored if `initial_members` does not name this replica as a voter, so that a replica which returns with a new
    /// identity after the loss of its disk waits for the group's leader instead.
    pub bootstrap: bool,

    /// Members of a new group, the same on each of them.
    pub initial_members: Members,

    pub heartbeat_interval_ms: u64,

    /// Shortest election timeout. Also the time without a majority after which a leader steps down, and the time after
    /// a leader's last message for which votes are refused.
    pub election_timeout_min_ms: u64,

    /// Longest election timeout (exclusive).
    pub election_timeout_max_ms: u64,

    /// Size of the entries in one message. A single larger entry is sent alone.
    pub max_message_bytes: usize,

    /// Size of the entries sent to one member and not yet acknowledged.
    pub max_in_flight_bytes: usize,

    /// Number of entries sent to one member and not yet acknowledged.
    pub max_in_flight_entries: usize,

    /// Size of one part of a snapshot. A frame between processes holds at most 16 MiB.
    pub snapshot_chunk_bytes: usize,

    /// Entries kept in memory before a snapshot, so that slow members need no snapshot.
    pub retained_entries: u64,
}

impl Default for RaftSettings {
    fn default() -> RaftSettings {
        RaftSettings {
            id: MemberId(0),
            seed: 0,
            bootstrap: false,
            initial_members: Members::default(),
            heartbeat_interval_ms: 100,
            election_timeout_min_ms: 500,
            election_timeout_max_ms: 1_000,
            max_message_bytes: 1 << 20,
            max_in_flight_bytes: 8 << 20,
            max_in_flight_entries: 8_192,
            snapshot_chunk_bytes: 1 << 20,
            retained_entries: 1_000,
        }
    }
}
