//! Lists of gateways and the differences between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::GatewayInfo;

/// Gateways by name; contains only the latest start of each gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GatewayList {
    by_name: BTreeMap<Arc<str>, GatewayInfo>,
}

/// Difference between two gateway lists. Sent instead of the full list, since every gateway receives every change and
/// the list grows with the number of gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayChanges {
    /// Gateways that were added or changed.
    pub updated: Vec<GatewayInfo>,

    /// Names of the gateways that were removed.
    pub removed: Vec<Arc<str>>,
}

impl GatewayList {
    /// Merges several lists. Keeps the info of the latest start of each gateway; of several infos of one start, an
    /// inactive one takes precedence.
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

    /// Returns the changes that turn this list into `later`, or `None` if the lists are equal.
    pub fn changes_to(&self, later: &GatewayList) -> Option<GatewayChanges> {
        let is_updated = |info: &&GatewayInfo| self.by_name.get(&info.name) != Some(info);
        let changes = GatewayChanges {
            updated: later.infos().filter(is_updated).cloned().collect(),
            removed: self
                .by_name
                .keys()
                .filter(|name| !later.by_name.contains_key(*name))
                .cloned()
                .collect(),
        };
        (!changes.updated.is_empty() || !changes.removed.is_empty()).then_some(changes)
    }

    /// Applies the changes to this list.
    pub fn apply(&mut self, changes: GatewayChanges) {
        changes.removed.iter().for_each(|name| drop(self.by_name.remove(name)));
        self.by_name.extend(changes.updated.into_iter().map(|info| (info.name.clone(), info)));
    }
}
