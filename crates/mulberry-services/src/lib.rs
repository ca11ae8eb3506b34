//! Client for plain services: passes a call through and says whether it may have run.

mod headers;
mod service_client;
mod service_connection;
mod service_error;

pub use headers::forwarded_headers;
pub use service_client::{ServiceAnswer, ServiceCall, ServiceClient, ServiceClientSettings};
pub use service_error::ServiceError;
