//! A configuration indexed for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Route, RoutingConfig, Service, Tenant};

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: RoutingConfig,

    /// Indexes into `config.routes`, by host and path prefix.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,

    /// Indexes into `config.tenants`, by API key.
    api_keys: HashMap<Arc<str>, usize>,

    /// Indexes into `config.services`, by name.
    services: HashMap<Arc<str>, usize>,
}

/// The route of a request and the tenant that sent it.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,

    /// Owner of the API key; `None` if the route is public or no tenants are configured.
    pub tenant: Option<&'a Tenant>,
}

/// Why a lookup found no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    NoRoute,
    UnknownKey,
}

impl RouteTable {
    pub fn new(config: RoutingConfig) -> RouteTable {
        let mut routes: HashMap<_, HashMap<_, _>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            routes.entry(route.host.clone()).or_default().insert(route.path_prefix.clone(), index);
        }
        let mut api_keys = HashMap::new();
        for (index, tenant) in config.tenants.iter().enumerate() {
            api_keys.extend(tenant.api_keys.iter().map(|key| (key.clone(), index)));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        RouteTable { config, routes, api_keys, services }
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

    /// Whether the routes of a service differ in priority.
    pub fn ranks_routes_of(&self, service: &str) -> bool {
        let leads_there =
            |route: &&Route| route.backends.iter().any(|backend| &*backend.service == service);
        let mut priorities =
            self.config.routes.iter().filter(leads_there).map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Finds the route of a request and the tenant that owns its API key.
    ///
    /// # Errors
    /// [`LookupError::NoRoute`] if no route matches, [`LookupError::UnknownKey`] if the route requires an API key and `key`
    /// does not belong to a tenant.
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
        let tenant_index =
            key.and_then(|key| self.api_keys.get(key)).ok_or(LookupError::UnknownKey)?;
        Ok(RouteMatch { route, tenant: Some(&self.config.tenants[*tenant_index]) })
    }

    /// The route with the longest matching path prefix.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let prefixes = self.routes.get(host.as_str())?;
        let prefix_ends = path.match_indices('/').map(|(at, _)| at + 1);
        let prefix_ends: Vec<usize> = prefix_ends.collect();
        let route_index = prefix_ends.iter().rev().find_map(|&end| prefixes.get(&path[..end]))?;
        Some(&self.config.routes[*route_index])
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
