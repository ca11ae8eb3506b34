//! Lists of gateways, and what changes in them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::GatewayInfo;

/// Gateways by name, each with its newest start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GatewayList {
    by_name: BTreeMap<Arc<str>, GatewayInfo>,
}

/// What has changed in a list of gateways. Lists grow with the fleet, and every gateway is told of every change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayChanges {
    /// Gateways that are new or have changed.
    pub updated: Vec<GatewayInfo>,

    /// Names of those that are gone.
    pub removed: Vec<Arc<str>>,
}

impl GatewayList {
    /// The newest start of each name; a gateway that is stopping stays so.
    pub fn merged(infos: impl IntoIterator<Item = GatewayInfo>) -> GatewayList {
        let mut by_name: BTreeMap<Arc<str>, GatewayInfo> = BTreeMap::new();
        for info in infos {
            match by_name.get_mut(&info.name) {
                Some(known)
                    if (known.started_ms, !known.is_active)
                        >= (info.started_ms, !info.is_active) => {}
                Some(known) => *known = info,
                None => {
                    by_name.insert(info.name.clone(), info);
                }
            }
        }
        GatewayList { by_name }
    }

    pub fn infos(&self) -> impl Iterator<Item = &GatewayInfo> {
        self.by_name.values()
    }

    /// What must change in this list to make it `later`; `None` when they are the same.
    pub fn changes_to(&self, later: &GatewayList) -> Option<GatewayChanges> {
        let is_new = |info: &&GatewayInfo| self.by_name.get(&info.name) != Some(info);
        let changes = GatewayChanges {
            updated: later.infos().filter(is_new).cloned().collect(),
            removed: self
                .by_name
                .keys()
                .filter(|name| !later.by_name.contains_key(*name))
                .cloned()
                .collect(),
        };
        (!changes.updated.is_empty() || !changes.removed.is_empty()).then_some(changes)
    }

    /// Brings the list up to date.
    pub fn apply(&mut self, changes: GatewayChanges) {
        changes.removed.iter().for_each(|name| drop(self.by_name.remove(name)));
        self.by_name.extend(changes.updated.into_iter().map(|info| (info.name.clone(), info)));
    }
}
