//! Model engine emulator for tests and measurement.

fn main() {}
