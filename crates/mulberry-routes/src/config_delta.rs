//! Differences between two versions of a configuration.
//!
//! Most changes touch a few of hundreds of routes and are sent to every gateway, so the delta is much smaller than the
//! full configuration.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{RequestLimits, Route, RoutingConfig, Service, Tenant};

/// Changes from one configuration version to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    pub from_version: u64,
    pub version: u64,

    /// Host and path prefix of removed routes.
    removed: Vec<(Arc<str>, Arc<str>)>,

    /// Added or modified routes.
    changed: Vec<Route>,

    services: Option<Vec<Service>>,
    tenants: Option<Vec<Tenant>>,
    limits: RequestLimits,
}

impl ConfigDelta {
    pub fn between(from: &RoutingConfig, to: &RoutingConfig) -> ConfigDelta {
        let before: HashMap<_, &Route> =
            from.routes.iter().map(|route| (route_key(route), route)).collect();
        let after: HashMap<_, &Route> =
            to.routes.iter().map(|route| (route_key(route), route)).collect();
        let removed = before.keys().filter(|key| !after.contains_key(key));
        let changed = to
            .routes
            .iter()
            .filter(|route| before.get(&route_key(route)).is_none_or(|old| old != route));
        ConfigDelta {
            from_version: from.version,
            version: to.version,
            removed: removed.map(|(host, prefix)| ((*host).clone(), (*prefix).clone())).collect(),
            changed: changed.cloned().collect(),
            services: (from.services != to.services).then(|| to.services.clone()),
            tenants: (from.tenants != to.tenants).then(|| to.tenants.clone()),
            limits: to.limits,
        }
    }

    /// Applies the delta to `from`; `None` if the version of `from` is not [`ConfigDelta::from_version`]. The order of
    /// routes may differ from the configuration that the delta was computed from; lookups do not depend on it.
    pub fn apply(&self, from: &RoutingConfig) -> Option<RoutingConfig> {
        if from.version != self.from_version {
            return None;
        }
        let removed = self.removed.iter().map(|(host, prefix)| (host, prefix));
        let replaced: std::collections::HashSet<_> =
            removed.chain(self.changed.iter().map(route_key)).collect();
        let unchanged = from.routes.iter().filter(|route| !replaced.contains(&route_key(route)));
        Some(RoutingConfig {
            version: self.version,
            routes: unchanged.chain(&self.changed).cloned().collect(),
            services: self.services.clone().unwrap_or_else(|| from.services.clone()),
            tenants: self.tenants.clone().unwrap_or_else(|| from.tenants.clone()),
            limits: self.limits,
        })
    }
}

/// Host and path prefix, which are unique per route within a configuration.
fn route_key(route: &Route) -> (&Arc<str>, &Arc<str>) {
    (&route.host, &route.path_prefix)
}
