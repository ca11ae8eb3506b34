//! Settings of one replica.

use crate::{MemberId, Members};

/// Settings of one replica. Times are in milliseconds of the clock that the driver passes in.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    pub id: MemberId,

    /// Seed of the random election timeouts. Must differ between replicas, or they campaign at the same time.
    pub seed: u64,

    /// Whether this replica forms a new group with `initial_members` if it has neither log nor snapshot.
    ///
    /// Ignored if `initial_members` does not list this replica as a voter. A replica that returns under a new id after
    /// losing its disk therefore waits for the group's leader instead.
    pub bootstrap: bool,

    /// Initial members of a new group. Must be equal on all of them.
    pub initial_members: Members,

    pub heartbeat_interval_ms: u64,

    /// Shortest election timeout. Also the time without contact to a majority after which a leader steps down, and the
    /// time after a leader's last message during which vote requests are ignored.
    pub election_timeout_min_ms: u64,

    /// Longest election timeout (exclusive).
    pub election_timeout_max_ms: u64,

    /// Maximum size of the entries in one message. A larger entry is sent in a message of its own.
    pub max_message_bytes: usize,

    /// Size of unacknowledged entries to one member at which no more are sent.
    pub max_in_flight_bytes: usize,

    /// Number of unacknowledged entries to one member at which no more are sent.
    pub max_in_flight_entries: usize,

    /// Size of one snapshot chunk. A frame between processes holds at most 16 MiB.
    pub snapshot_chunk_bytes: usize,

    /// Number of entries before a snapshot that stay in memory after compaction, so that slow members do not need the
    /// snapshot.
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
