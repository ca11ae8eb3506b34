//! Learns how many requests each target of a plain service takes at once before its time per request rises, and how
//! fast it is.
//!
//! Every gateway sees only a small part of a target's requests. It counts them in a [`ServiceLoad`] and sends what has
//! changed, as a [`LoadDigest`], to the home of the service: one gateway, which merges the digests in a
//! [`ServiceHome`] and returns a [`CapacityView`]. With a recent view, [`ServiceLoad::choose`] selects the target of a
//! request; without one it selects none, and the gateway decides by what it sees itself.
//!
//! This crate has no clock, socket or thread: time, events and random numbers are passed in.

mod choice;
mod digest;
mod service_home;
mod service_load;
mod target_estimate;

pub use choice::{Candidate, Choice, RequestNeeds};
pub use digest::{
    CapacityView, LoadDigest, MAX_TARGETS, RouteReference, RouteTimes, TargetCapacity, TargetLoad,
};
pub use service_home::ServiceHome;
pub use service_load::{RequestEnd, ServiceLoad};
pub use target_estimate::{Observation, TargetEstimate};
