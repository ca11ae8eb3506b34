//! Commands of the replicated log.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_routes::RoutingConfig;
use serde::{Deserialize, Serialize};

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration unless the current one has the same or a higher version.
    Configure {
        config: RoutingConfig,

        /// The configuration as the operator sent it, returned unchanged when it is read.
        document: Vec<u8>,
    },

    /// Stops sending new requests to the targets of a zone.
    Evacuate { zone: Arc<str> },

    /// Ends the evacuation of a zone.
    Restore { zone: Arc<str> },

    /// Sets the link address of a member.
    SetMemberAddress { member: u64, address: SocketAddr },
}

impl Command {
    /// Whether the command changes the evacuated zones. These changes carry no version, so a late one must be told from
    /// a new one by the changes made since it was sent.
    pub fn is_zone_change(&self) -> bool {
        matches!(self, Command::Evacuate { .. } | Command::Restore { .. })
    }
}
