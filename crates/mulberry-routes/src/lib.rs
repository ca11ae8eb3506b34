//! Routing configuration.
//!
//! Each configuration is complete and replaces the previous one; the highest version is active. [`RouteTable`]
//! indexes a configuration for lookups of routes and API keys.

mod config_delta;
mod config_error;
mod engine_profile;
mod route_table;
mod routing_config;

pub use config_delta::ConfigDelta;
pub use config_error::ConfigError;
pub use engine_profile::EngineProfile;
pub use route_table::{LookupError, RouteMatch, RouteTable};
pub use routing_config::{
    Backend, ColdStartLimit, RequestLimits, Route, RouteKind, RoutingConfig, Service, Tenant,
};
