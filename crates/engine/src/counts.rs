//! Counters of a node.

use serde::Serialize;

/// `Counts` are counters since the start of the process. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests received from callers.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answered requests with full coverage: a part from every group.
    pub full: u64,
    /// Requests proved not to have run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Invalid requests.
    pub faults: u64,
    /// Calls issued for queries.
    pub calls: u64,
    /// Calls issued as hedges; also counted in `calls`.
    pub hedges: u64,
    /// Calls sent to leafs by this node as the holder.
    pub leaf_calls: u64,
    /// Calls refused by this node as the holder.
    pub refused: u64,
    /// Calls whose leaf serves another snapshot.
    pub mismatches: u64,
    /// Leaf answers over the size limit.
    pub too_large: u64,
    /// Control messages sent to peers: heartbeats, configuration, version moves and transfers.
    pub control_messages: u64,
    /// Reads and writes of the store.
    pub store_calls: u64,
}
