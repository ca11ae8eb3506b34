//! State set by operators, as of an index of the log.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_routes::RoutingConfig;
use serde::{Deserialize, Serialize};

use crate::Command;

/// State set by operators, as of an index of the log. This is the state machine of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorState {
    pub applied_index: u64,

    /// `None` until the first configuration.
    pub config: Option<Arc<RoutingConfig>>,

    /// The configuration as the operator sent it.
    pub document: Arc<Vec<u8>>,

    pub evacuated: BTreeSet<Arc<str>>,

    /// Index of the last change of `evacuated`.
    pub evacuated_index: u64,

    /// Addresses of members.
    pub addresses: BTreeMap<u64, SocketAddr>,
}

impl OperatorState {
    /// Version of the configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Applies the command at `index`.
    pub fn apply(&mut self, index: u64, command: Command) {
        self.applied_index = index;
        match command {
            Command::Configure { config, document } => {
                if self.config.is_none() || config.version > self.version() {
                    self.config = Some(Arc::new(config));
                    self.document = Arc::new(document);
                }
            }
            Command::Evacuate { zone } => {
                self.evacuated.insert(zone);
                self.evacuated_index = index;
            }
            Command::Restore { zone } => {
                self.evacuated.remove(&zone);
                self.evacuated_index = index;
            }
            Command::SetMemberAddress { member, address } => {
                // An address belongs to the member that started there last.
                self.addresses.retain(|_, known| *known != address);
                self.addresses.insert(member, address);
            }
        }
    }
}
