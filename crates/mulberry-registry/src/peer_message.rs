//! Messages between registries on the link port.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_consensus::RaftMessage;
use mulberry_directory::{GatewayInfo, TargetRecord};
use serde::{Deserialize, Serialize};

use crate::Command;

/// A message from one registry to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    Hello(PeerHello),
    Raft {
        from: u64,
        to: u64,
        message: RaftMessage,
    },

    /// Asks the leader to replicate a command.
    Propose {
        from: u64,
        request_id: u64,
        command: Command,

        /// For a change of the evacuated zones: index of the last one that the sender has applied. `None` for other
        /// commands, and if the sender is of an older version.
        last_zone_change: Option<u64>,
    },

    /// Reply to [`PeerMessage::Propose`]; if `is_committed` is false, the outcome of the command is unknown.
    ProposeReply {
        request_id: u64,
        is_committed: bool,
    },

    /// Asks the leader for an index that covers all entries acknowledged so far.
    ReadIndex {
        from: u64,
        request_id: u64,
    },

    /// Reply to [`PeerMessage::ReadIndex`]; `None` if the peer could not confirm its leadership.
    ReadIndexReply {
        request_id: u64,
        index: Option<u64>,
    },

    Targets(Vec<TargetRecord>),

    /// Targets that announced themselves to the sender since its last gossip round.
    TargetsSeen(Vec<Arc<str>>),

    /// Gateways that are connected to the sender.
    Gateways {
        from: u64,
        gateways: Vec<GatewayInfo>,
    },

    /// Asks to store that a target drains or has left. Sent only to registries whose hello says that they can.
    StoreDeparture {
        from: u64,
        request_id: u64,
        record: TargetRecord,

        /// Whether the target has left without naming its start. The departure is then that of the newest start that
        /// the receiver knows.
        is_any_start: bool,
    },

    /// Reply to [`PeerMessage::StoreDeparture`] with the record that is on the sender's disk.
    DepartureStored {
        from: u64,
        request_id: u64,
        record: TargetRecord,
    },

    /// The gateways that are connected to the sender are still those with this checksum. Sent only to registries whose
    /// hello says that they know it.
    GatewaysUnchanged {
        from: u64,
        checksum: u32,
    },

    /// Asks for [`PeerMessage::Gateways`].
    RequestGateways {
        from: u64,
    },
}

impl PeerMessage {
    /// Name of the kind of message in metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Targets(_) => "peer_targets",
            PeerMessage::TargetsSeen(_) => "peer_seen",
            PeerMessage::Gateways { .. }
            | PeerMessage::GatewaysUnchanged { .. }
            | PeerMessage::RequestGateways { .. } => "peer_gateways",
            _ => "peer_group",
        }
    }
}

/// Identity and group status that a registry sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerHello {
    pub member: u64,
    pub address: SocketAddr,

    /// Whether the registry knows of a group that it belongs to.
    pub has_group: bool,

    /// Member ids of the initial group that it proposes or has formed.
    pub initial_members: Vec<u64>,

    /// Whether the registry understands [`PeerMessage::StoreDeparture`]. Decodes as false if it is of an older version.
    pub stores_departures: bool,

    /// Whether the registry understands [`PeerMessage::GatewaysUnchanged`]. Decodes as false if it is of an older
    /// version.
    pub knows_checksums: bool,

    /// Addresses of the members of the sender's group, in hellos to registries that are none of them. Decodes as empty
    /// if the sender is of an older version.
    pub members: Vec<SocketAddr>,
}
