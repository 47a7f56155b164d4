//! The counters and gauges of the direct path, as collectors see them.

use std::time::Duration;

use monsoondeal_edge::Counts;
use monsoondeal_node::metrics::{Counter, Gauge};

use crate::logs::millis;

/// What collectors see.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) counts: Counts,
    /// How long ago the configuration was last known to be the newest one.
    pub(crate) config_age: Option<Duration>,
}

/// Bounds of the response time buckets, in seconds.
pub(crate) const RESPONSE_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.2, 0.4, 0.8, 2.0, 8.0,
];

/// All counters.
pub(crate) const COUNTERS: [Counter<Figures>; 20] = [
    ("requests", "Requests of callers", |f| f.counts.requests),
    ("answered", "Requests answered in full", |f| {
        f.counts.answered
    }),
    ("partial", "Responses that leave shards out", |f| {
        f.counts.partial
    }),
    ("rejected", "Requests rejected as not run", |f| {
        f.counts.rejected
    }),
    ("failed", "Requests that failed and may have run", |f| {
        f.counts.failed
    }),
    ("timed_out", "Requests without an answer in time", |f| {
        f.counts.timed_out
    }),
    ("no_route", "Requests without a route", |f| {
        f.counts.no_route
    }),
    ("left", "Requests whose caller left", |f| f.counts.left),
    ("calls", "Calls sent to leafs", |f| f.counts.calls),
    ("hedges", "Hedged calls among them", |f| f.counts.hedges),
    ("retries", "Retried calls among them", |f| f.counts.retries),
    (
        "repeats",
        "Calls beyond the first that may have reached a leaf",
        |f| f.counts.repeats,
    ),
    ("denied", "Repeats that the budget did not allow", |f| {
        f.counts.denied
    }),
    ("trials", "Calls sent to versions on trial", |f| {
        f.counts.trials
    }),
    ("refused", "Calls that leafs refused", |f| f.counts.refused),
    (
        "misdirected",
        "Calls that another leaf answered than the one meant",
        |f| f.counts.misdirected,
    ),
    ("broken", "Calls whose answer was lost or unusable", |f| {
        f.counts.broken
    }),
    ("unsent", "Calls that could not be sent", |f| {
        f.counts.unsent
    }),
    (
        "unchecked",
        "Calls not sent since the leaf did not tell its name in time",
        |f| f.counts.unchecked,
    ),
    (
        "displaced",
        "Calls not sent since another leaf has the address",
        |f| f.counts.displaced,
    ),
];

/// All gauges.
pub(crate) const GAUGES: [Gauge<Figures>; 1] = [(
    "config_age_ms",
    "Time since the configuration was known to be the newest one, -1 before that",
    |f| millis(f.config_age),
)];
