//! Tests of the data folder.
//!
//! The seeds are fixed. `MULBERRY_CASES` raises the number of cases of each property.

mod common;
mod corruption;
mod crashes;
mod encoding;
mod fake_disk;
mod folder;
