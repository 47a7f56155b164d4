//! Benchmarks.
fn main() {}
