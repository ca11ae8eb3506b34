//! Validation errors of a configuration.

use std::fmt;
use std::sync::Arc;

/// Why a configuration is invalid. Each message names the part and how to correct it.
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
                write!(f, "service {service} is defined twice; remove one definition")
            }
            ConfigError::UnknownService { route, service } => write!(
                f,
                "route {route} refers to service {service}, which is not defined; define the service or change the route"
            ),
            ConfigError::DuplicateRoute { route, other } => write!(
                f,
                "routes {route} and {other} have the same host and path prefix; change one of them"
            ),
            ConfigError::ZeroWeight { route } => {
                write!(
                    f,
                    "the weights of route {route} add up to 0; set at least one weight above 0"
                )
            }
            ConfigError::ZeroTimeout { route } => {
                write!(f, "the timeout of route {route} is 0; set it to at least 1 ms")
            }
            ConfigError::InvalidPathPrefix { route } => {
                write!(f, "the path prefix of route {route} must begin and end with a slash")
            }
            ConfigError::DuplicateApiKey { tenant, other } => {
                write!(
                    f,
                    "tenants {tenant} and {other} have the same API key; remove it from one of them"
                )
            }
        }
    }
}

impl std::error::Error for ConfigError {}
