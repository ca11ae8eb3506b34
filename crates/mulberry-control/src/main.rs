//! Control instance with replicated state.

fn main() {}
