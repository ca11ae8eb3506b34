//! Frames on the peer port of a control instance, which entries and the other control instances share.
//!
//! Raft messages travel as encoded bytes, so that entries do not depend on the consensus crate.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{ControlReply, ControlRequest};

/// Frame to the peer port of a control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlPortRequest {
    /// Request of an entry, sent as a call and answered by [`ControlPortReply::Entry`].
    Entry(ControlRequest),

    /// One-way message of another control instance: who is behind its address.
    Hello(ReplicaHello),

    /// One-way Raft message of another control instance.
    Replica {
        /// Member id of the sender's data folder.
        from: u64,

        /// Member id that the message is meant for. An instance that has come back with an empty disk
        /// drops what is meant for its former identity.
        to: u64,

        /// Raft message in postcard encoding.
        message: Vec<u8>,
    },
}

/// Reply or push to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlPortReply {
    /// Reply to [`ControlPortRequest::Entry`], or a pushed [`ControlReply::Update`].
    Entry(ControlReply),
}

/// Identity of a control instance, sent to the others when it starts and every few hundred milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaHello {
    /// Member id of the data folder.
    pub member: u64,

    /// Peer address at which the other instances and the entries reach it.
    pub address: SocketAddr,

    /// Address of its operator API, to which operators are sent while it leads.
    pub operator_address: SocketAddr,

    /// Whether the data folder belongs to a group.
    pub has_group: bool,

    /// Member ids of the first group as far as this instance knows them, ascending. Instances without a
    /// group form one only if all of them name the same ids.
    pub known_members: Vec<u64>,
}
