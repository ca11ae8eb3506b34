//! Routing configuration.
//!
//! A configuration is whole: it replaces the one before, and the highest version is in force. [`RouteTable`] is the
//! form in which a gateway looks routes and keys up.

mod config_delta;
mod config_error;
mod engine_terms;
mod route_table;
mod routing_config;

pub use config_delta::ConfigDelta;
pub use config_error::ConfigError;
pub use engine_terms::EngineTerms;
pub use route_table::{Denied, RouteTable, Target};
pub use routing_config::{
    Backend, ColdLimit, RequestLimits, Route, RouteKind, RoutingConfig, Service, Tenant,
};
