//! The live entries and the home of each target.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Incarnation, MembershipEpoch, NodeId};

/// One live entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: NodeId,
    pub incarnation: Incarnation,

    /// Where the other entries reach it.
    pub peer_address: SocketAddr,

    pub zone: Arc<str>,
}

/// The entries that hold a lease, ordered by node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub epoch: MembershipEpoch,
    pub members: Vec<Member>,
}

impl Membership {
    /// Home of `target`: the member with the highest rendezvous hash. `None` without members.
    ///
    /// A member that joins or leaves moves only the targets that it gains or loses.
    pub fn home_of(&self, target: &str) -> Option<&Member> {
        self.members.iter().max_by_key(|member| {
            (xxh3_64_with_seed(target.as_bytes(), u64::from(member.node.0)), member.node)
        })
    }

    /// The member with this node id.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }
}
