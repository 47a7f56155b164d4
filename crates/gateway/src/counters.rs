//! The counters of the direct path, as collectors see them.

use monsoondeal_edge::Counts;
use monsoondeal_node::metrics::Counter;

/// Bounds of the response time buckets, in seconds.
pub(crate) const RESPONSE_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.2, 0.4, 0.8, 2.0, 8.0,
];

/// All counters.
pub(crate) const COUNTERS: [Counter<Counts>; 14] = [
    ("requests", "Requests of callers", |c| c.requests),
    ("answered", "Requests answered in full", |c| c.answered),
    ("partial", "Responses that leave shards out", |c| c.partial),
    ("rejected", "Requests rejected as not run", |c| c.rejected),
    ("failed", "Requests that failed and may have run", |c| {
        c.failed
    }),
    ("timed_out", "Requests without an answer in time", |c| {
        c.timed_out
    }),
    ("no_route", "Requests without a route", |c| c.no_route),
    ("left", "Requests whose caller left", |c| c.left),
    ("calls", "Calls sent to leafs", |c| c.calls),
    ("hedges", "Hedged calls among them", |c| c.hedges),
    ("retries", "Retried calls among them", |c| c.retries),
    ("refused", "Calls that leafs refused", |c| c.refused),
    ("broken", "Calls whose answer was lost or unusable", |c| {
        c.broken
    }),
    ("unsent", "Calls that could not be sent", |c| c.unsent),
];
