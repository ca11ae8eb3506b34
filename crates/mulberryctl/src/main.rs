//! Command line for operators.

fn main() {}
