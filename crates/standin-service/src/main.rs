//! Plain service emulator for tests and measurement.

fn main() {}
