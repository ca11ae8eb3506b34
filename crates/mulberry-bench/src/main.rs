//! Load generator and experiment runner.

fn main() {}
