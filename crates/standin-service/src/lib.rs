//! Plain service emulator for tests and measurement.
//!
//! A [`Service`] answers any call with an echo and counts each side effect, so that a call that ran twice shows.

mod calls;
mod service;
mod settings;

pub use calls::{Fault, body_sha256, expected_number};
pub use service::Service;
pub use settings::{ColdStartSettings, ServiceSettings};
