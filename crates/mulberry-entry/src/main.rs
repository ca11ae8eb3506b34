//! Entry instance between callers and targets.

fn main() {}
