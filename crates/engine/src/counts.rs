//! Counters of a node.

use serde::Serialize;

/// `Counts` only grow, from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests of callers.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers that cover the whole partition map.
    pub full: u64,
    /// Requests proved not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests at fault themselves.
    pub faults: u64,
    /// Calls issued for queries.
    pub calls: u64,
    /// Hedged calls among them.
    pub hedges: u64,
    /// Calls sent to leafs by this node as the holder.
    pub leaf_calls: u64,
    /// Calls refused by this node as the holder.
    pub refused: u64,
    /// Answers whose stamp did not match.
    pub mismatches: u64,
    /// Leaf answers over the limit.
    pub too_large: u64,
    /// Messages sent to peers for control.
    pub control_messages: u64,
    /// Store reads and writes asked for.
    pub store_calls: u64,
}
