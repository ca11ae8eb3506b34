//! A configuration prepared for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Route, RoutingConfig, Service, Tenant};

/// A configuration prepared for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: RoutingConfig,

    /// Index of the route by host and path prefix.
    places: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,

    /// Index of the tenant by key.
    keys: HashMap<Arc<str>, usize>,

    services: HashMap<Arc<str>, usize>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,

    /// Holder of the key; `None` when the route is public or there are no tenants.
    pub tenant: Option<&'a Tenant>,
}

/// Why a request goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    NoRoute,
    UnknownKey,
}

impl RouteTable {
    pub fn new(config: RoutingConfig) -> RouteTable {
        let mut places: HashMap<_, HashMap<_, _>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            places.entry(route.host.clone()).or_default().insert(route.path_prefix.clone(), index);
        }
        let mut keys = HashMap::new();
        for (index, tenant) in config.tenants.iter().enumerate() {
            keys.extend(tenant.api_keys.iter().map(|key| (key.clone(), index)));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        RouteTable { config, places, keys, services }
    }

    pub fn version(&self) -> u64 {
        self.config.version
    }

    pub fn config(&self) -> &RoutingConfig {
        &self.config
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&index| &self.config.services[index])
    }

    /// Finds the route of a request and the tenant that holds its key.
    ///
    /// # Errors
    /// No route matches, or the route needs a key and `key` is none of a tenant.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, LookupError> {
        let route = self.route(host, path).ok_or(LookupError::NoRoute)?;
        if route.is_public || self.config.tenants.is_empty() {
            return Ok(RouteMatch { route, tenant: None });
        }
        let holder = key.and_then(|key| self.keys.get(key)).ok_or(LookupError::UnknownKey)?;
        Ok(RouteMatch { route, tenant: Some(&self.config.tenants[*holder]) })
    }

    /// The route with the longest prefix that begins the path.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let prefixes = self.places.get(host.as_str())?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let ends: Vec<usize> = ends.collect();
        let found = ends.iter().rev().find_map(|&end| prefixes.get(&path[..end]))?;
        Some(&self.config.routes[*found])
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
