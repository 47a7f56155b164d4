//! The counters of the engine, as exported to metric collectors.

use monsoondeal_engine::Counts;
use monsoondeal_engine::io::Response;

use crate::metrics::Counter;

/// Bounds of the response time buckets, in seconds.
pub(crate) const RESPONSE_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.25, 0.5, 1.0,
];

/// Returns the outcome label of a response.
pub(crate) fn outcome_label(response: &Response) -> &'static str {
    match response {
        Response::Answered(_) => "answered",
        Response::NotRun(_) => "not_run",
        Response::Unknown(_) => "unknown",
        Response::Invalid(_) => "fault",
    }
}

/// All counters.
pub(crate) const COUNTERS: [Counter<Counts>; 14] = [
    ("requests", "Requests of callers", |c| c.requests),
    ("answered", "Requests answered", |c| c.answered),
    (
        "full_answers",
        "Answers that cover the whole partition map",
        |c| c.full,
    ),
    ("not_run", "Requests proved not to have run", |c| c.not_run),
    ("unknown", "Requests that may have run", |c| c.unknown),
    ("faults", "Invalid requests", |c| c.faults),
    ("calls", "Calls issued for queries", |c| c.calls),
    (
        "hedges",
        "Hedged calls among the calls issued for queries",
        |c| c.hedges,
    ),
    (
        "leaf_calls",
        "Calls sent to leafs whose lease this node holds",
        |c| c.leaf_calls,
    ),
    (
        "refused_calls",
        "Calls refused by this node as the holder of the leaf's lease",
        |c| c.refused,
    ),
    ("mismatches", "Leaf answers from another snapshot", |c| {
        c.mismatches
    }),
    ("too_large", "Leaf answers over the size limit", |c| {
        c.too_large
    }),
    ("control_messages", "Control messages sent to peers", |c| {
        c.control_messages
    }),
    ("store_calls", "Store reads and writes", |c| c.store_calls),
];
