//! Messages on the link port.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_consensus::RaftMessage;
use mulberry_directory::{GatewayInfo, TargetRecord};
use serde::{Deserialize, Serialize};

use crate::Command;

/// From a registry to another one.
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
    },

    /// Answer to [`PeerMessage::Propose`]; false: it is not known whether the command will be in force.
    ProposeReply {
        request_id: u64,
        is_committed: bool,
    },

    /// Asks the leader for an index that holds all that was acknowledged before.
    ReadIndex {
        from: u64,
        request_id: u64,
    },

    /// Answer to [`PeerMessage::ReadIndex`]; `None`: the peer could not confirm that it leads.
    ReadIndexReply {
        request_id: u64,
        index: Option<u64>,
    },

    Targets(Vec<TargetRecord>),

    /// Targets that the sender has heard from lately.
    TargetsSeen(Vec<Arc<str>>),

    /// Gateways that are linked to the sender.
    Gateways {
        from: u64,
        gateways: Vec<GatewayInfo>,
    },
}

/// How a registry introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerHello {
    pub member: u64,
    pub address: SocketAddr,

    /// Whether it belongs to a group, as far as it knows.
    pub has_group: bool,

    /// Ids with which it would form the first group, or has.
    pub initial_members: Vec<u64>,
}
