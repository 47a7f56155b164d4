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
    ("not_run", "Requests proved not run", |c| c.not_run),
    ("unknown", "Requests that may have run", |c| c.unknown),
    ("faults", "Requests at fault themselves", |c| c.faults),
    ("calls", "Calls issued for queries", |c| c.calls),
    ("hedges", "Hedged calls among them", |c| c.hedges),
    ("leaf_calls", "Calls sent to leafs held by this node", |c| {
        c.leaf_calls
    }),
    (
        "refused_calls",
        "Calls refused by this node as the holder",
        |c| c.refused,
    ),
    ("mismatches", "Leaf answers from another snapshot", |c| {
        c.mismatches
    }),
    ("too_large", "Leaf answers over the limit", |c| c.too_large),
    (
        "control_messages",
        "Messages sent to peers for control",
        |c| c.control_messages,
    ),
    ("store_calls", "Store reads and writes", |c| c.store_calls),
];
