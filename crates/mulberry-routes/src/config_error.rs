//! Validation errors of a configuration.

use std::fmt;
use std::sync::Arc;

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    DuplicateService { service: Arc<str> },
    UnknownService { route: Arc<str>, service: Arc<str> },
    DuplicateRoute { route: Arc<str>, other: Arc<str> },
    ZeroWeight { route: Arc<str> },
    ZeroTimeout { route: Arc<str> },
    InvalidPathPrefix { route: Arc<str> },
    DuplicateApiKey { tenant: Arc<str>, other: Arc<str> },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::DuplicateService { service } => {
                write!(f, "service {service} is listed twice; list it once")
            }
            ConfigError::UnknownService { route, service } => write!(
                f,
                "route {route} names the service {service}, which is not listed; add the service or change the route"
            ),
            ConfigError::DuplicateRoute { route, other } => write!(
                f,
                "routes {route} and {other} have the same host and path prefix; change one of them"
            ),
            ConfigError::ZeroWeight { route } => {
                write!(f, "the weights of route {route} add up to 0; give a service a weight")
            }
            ConfigError::ZeroTimeout { route } => {
                write!(f, "the time limit of route {route} is 0; give it one of 1 ms or more")
            }
            ConfigError::InvalidPathPrefix { route } => {
                write!(f, "the path prefix of route {route} must begin and end with a slash")
            }
            ConfigError::DuplicateApiKey { tenant, other } => {
                write!(f, "tenants {tenant} and {other} share a key; take it from one of them")
            }
        }
    }
}

impl std::error::Error for ConfigError {}
