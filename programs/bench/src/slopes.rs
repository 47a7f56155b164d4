//! Slopes.
pub(crate) fn run(_seed: u64) {}
