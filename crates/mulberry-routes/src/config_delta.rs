//! What changes from one configuration to a later one.
//!
//! Most changes touch a few of hundreds of routes, and each goes to every gateway.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{RequestLimits, Route, RoutingConfig, Service, Tenant};

/// What changes from one configuration to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    pub from_version: u64,
    pub version: u64,

    /// Host and path prefix of routes that are gone.
    removed: Vec<(Arc<str>, Arc<str>)>,

    /// Routes that are new or different.
    changed: Vec<Route>,

    services: Option<Vec<Service>>,
    tenants: Option<Vec<Tenant>>,
    limits: RequestLimits,
}

impl ConfigDelta {
    pub fn between(from: &RoutingConfig, to: &RoutingConfig) -> ConfigDelta {
        let before: HashMap<_, &Route> =
            from.routes.iter().map(|route| (place(route), route)).collect();
        let after: HashMap<_, &Route> =
            to.routes.iter().map(|route| (place(route), route)).collect();
        let removed = before.keys().filter(|place| !after.contains_key(place));
        let changed = to
            .routes
            .iter()
            .filter(|route| before.get(&place(route)).is_none_or(|old| old != route));
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

    /// The later configuration; `None` when `from` is not the one that the delta starts from. Routes may stand in
    /// another order than where the delta was made, which no lookup depends on.
    pub fn apply(&self, from: &RoutingConfig) -> Option<RoutingConfig> {
        if from.version != self.from_version {
            return None;
        }
        let gone = self.removed.iter().map(|(host, prefix)| (host, prefix));
        let replaced: std::collections::HashSet<_> =
            gone.chain(self.changed.iter().map(place)).collect();
        let kept = from.routes.iter().filter(|route| !replaced.contains(&place(route)));
        Some(RoutingConfig {
            version: self.version,
            routes: kept.chain(&self.changed).cloned().collect(),
            services: self.services.clone().unwrap_or_else(|| from.services.clone()),
            tenants: self.tenants.clone().unwrap_or_else(|| from.tenants.clone()),
            limits: self.limits,
        })
    }
}

/// No two routes of a configuration have the same.
fn place(route: &Route) -> (&Arc<str>, &Arc<str>) {
    (&route.host, &route.path_prefix)
}
