//! A whole routing configuration.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ConfigError, EngineProfile};

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,

    /// Empty: no request needs a key.
    pub tenants: Vec<Tenant>,

    pub limits: RequestLimits,
}

/// Which requests go where, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Arc<str>,

    /// Host of the request, in lower case and without a port.
    pub host: Arc<str>,

    /// Start of the path, from slash to slash.
    pub path_prefix: Arc<str>,

    pub kind: RouteKind,

    /// Longest time until a request is answered.
    pub timeout_ms: u64,

    /// Time within which an answer is worth most: until its end, or until the first event of a stream.
    pub latency_slo_ms: u64,

    /// Longest pause between two events of a stream that is still on time; 0 if none is given.
    pub max_event_gap_ms: u64,

    /// Rank; 0 is the most urgent.
    pub priority: u32,

    /// Engines that one request may be sent to.
    pub max_attempts: u32,

    /// Whether a request needs no key although there are tenants.
    pub is_public: bool,

    pub backends: Vec<Backend>,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,

    /// May run once at most.
    Unsafe,

    /// A stream of events that may run once at most.
    Stream,

    /// A stream of events that another engine can go on with after any event.
    ResumableStream,
}

/// A service of a route with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    pub service: Arc<str>,
    pub weight: u32,
}

/// A pool of equal targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Arc<str>,
    pub health_path: Arc<str>,

    /// Connections that one target accepts from all callers.
    pub max_connections: u32,

    /// How a target that has started lately must be spared.
    pub cold: Option<ColdStartLimit>,

    /// Present for model engines.
    pub engine: Option<EngineProfile>,
}

/// Requests that a cold target bears.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStartLimit {
    /// Time for which a target is cold after its start.
    pub duration_ms: u64,

    pub requests_per_s: f64,
}

/// Who may call, by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    pub name: Arc<str>,
    pub api_keys: Vec<Arc<str>>,

    /// Goes before the priority of the route.
    pub priority: Option<u32>,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,

    /// Time for the head of a request from its first byte.
    pub header_timeout_ms: u64,

    /// Time for which a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Usual bounds of HTTP servers, until a configuration names others.
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

    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }
}

impl RoutingConfig {
    /// Checks what must hold between the parts of a configuration.
    ///
    /// # Errors
    /// The first part that is wrong, by name.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(&*service.name) {
                return Err(ConfigError::DuplicateService { service: service.name.clone() });
            }
        }
        let mut places = HashMap::new();
        for route in &self.routes {
            route.check(&services)?;
            let place = (&*route.host, &*route.path_prefix);
            if let Some(other) = places.insert(place, &route.name) {
                return Err(ConfigError::DuplicateRoute {
                    route: route.name.clone(),
                    other: Arc::clone(other),
                });
            }
        }
        let mut holders: HashMap<&str, &Arc<str>> = HashMap::new();
        for tenant in &self.tenants {
            for key in &tenant.api_keys {
                match holders.insert(key, &tenant.name) {
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
