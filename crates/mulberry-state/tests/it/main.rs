//! Tests of the replicated state machine.
//!
//! The seeds are fixed. `MULBERRY_CASES` raises the number of cases of each property.

mod changes;
mod claims;
mod common;
mod decoders;
mod encoding;
mod members;
mod permits;
mod replicas;
