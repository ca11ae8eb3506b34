//! The routing configuration and its validation.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ConfigError, EngineProfile};

/// A complete routing configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,

    /// If empty, no request needs an API key.
    pub tenants: Vec<Tenant>,

    pub limits: RequestLimits,
}

/// Selects requests by host and path and determines how they are forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Arc<str>,

    /// Host name to match, in lower case and without a port.
    pub host: Arc<str>,

    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: Arc<str>,

    pub kind: RouteKind,

    /// Maximum time until a request is answered.
    pub timeout_ms: u64,

    /// Latency objective: time until the end of a response, or until the first event of a stream.
    pub latency_slo_ms: u64,

    /// Latency objective for the gap between two events of a stream; 0 if there is none.
    pub max_event_gap_ms: u64,

    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,

    /// Maximum number of engines that one request is sent to.
    pub max_attempts: u32,

    /// Whether requests need no API key even if tenants are configured.
    pub is_public: bool,

    pub backends: Vec<Backend>,
}

/// Whether requests may run more than once and whether the response is an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run any number of times.
    Safe,

    /// Must run at most once.
    Unsafe,

    /// An event stream that must run at most once.
    Stream,

    /// An event stream that another engine can resume after any event.
    ResumableStream,
}

/// A service of a route and its weight in the distribution of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    pub service: Arc<str>,
    pub weight: u32,
}

/// A pool of interchangeable targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Arc<str>,
    pub health_path: Arc<str>,

    /// Maximum number of connections to one target, from all gateways together.
    pub max_connections: u32,

    /// Request rate limit of recently started targets.
    pub cold: Option<ColdStartLimit>,

    /// Performance of the engines; only for model engines.
    pub engine: Option<EngineProfile>,
}

/// Request rate limit of a cold target, that is, of one that started recently.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStartLimit {
    /// Time after its start during which a target is cold.
    pub duration_ms: u64,

    pub requests_per_s: f64,
}

/// A group of callers, identified by its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    pub name: Arc<str>,
    pub api_keys: Vec<Arc<str>>,

    /// Overrides the priority of the route.
    pub priority: Option<u32>,
}

/// Size limits and timeouts of client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,

    /// Maximum time from the first byte of a request to the end of its headers.
    pub header_timeout_ms: u64,

    /// Maximum idle time of a connection.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Common defaults of HTTP servers, used until a configuration is active.
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl RouteKind {
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request that may have run already may run again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }
}

impl RoutingConfig {
    /// Validates each part and the references between parts.
    ///
    /// # Errors
    /// The first invalid part, by name.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(&*service.name) {
                return Err(ConfigError::DuplicateService { service: service.name.clone() });
            }
        }
        let mut routes = HashMap::new();
        for route in &self.routes {
            route.check(&services)?;
            let key = (&*route.host, &*route.path_prefix);
            if let Some(other) = routes.insert(key, &route.name) {
                return Err(ConfigError::DuplicateRoute {
                    route: route.name.clone(),
                    other: Arc::clone(other),
                });
            }
        }
        let mut key_owners: HashMap<&str, &Arc<str>> = HashMap::new();
        for tenant in &self.tenants {
            for key in &tenant.api_keys {
                match key_owners.insert(key, &tenant.name) {
                    Some(other) if **other != *tenant.name => {
                        return Err(ConfigError::DuplicateApiKey {
                            tenant: tenant.name.clone(),
                            other: Arc::clone(other),
                        });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &HashSet<&str>) -> Result<(), ConfigError> {
        let route = || self.name.clone();
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return Err(ConfigError::InvalidPathPrefix { route: route() });
        }
        if self.timeout_ms == 0 {
            return Err(ConfigError::ZeroTimeout { route: route() });
        }
        if self.backends.iter().all(|backend| backend.weight == 0) {
            return Err(ConfigError::ZeroWeight { route: route() });
        }
        for backend in &self.backends {
            if !services.contains(&*backend.service) {
                let service = backend.service.clone();
                return Err(ConfigError::UnknownService { route: route(), service });
            }
        }
        Ok(())
    }
}
