//! Commands of the replicated log.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_routes::RoutingConfig;
use serde::{Deserialize, Serialize};

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force unless one of the same or a higher version is.
    Configure {
        config: RoutingConfig,

        /// The configuration as the operator sent it, to be read back.
        document: Vec<u8>,
    },

    /// Gives nothing new to the targets of a zone.
    Evacuate { zone: Arc<str> },

    /// Takes a zone back.
    Restore { zone: Arc<str> },

    /// Where a member is reached.
    SetMemberAddress { member: u64, address: SocketAddr },
}
