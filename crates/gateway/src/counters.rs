//! The exported counters and gauges of the direct path.

use std::time::Duration;

use monsoondeal_edge::Counts;
use monsoondeal_node::metrics::{Counter, Gauge};

use crate::connections::RoomCounts;
use crate::logs::millis;

/// Values that the exported metrics are read from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MetricValues {
    pub(crate) counts: Counts,
    /// Connections to leafs that were closed for a fault of their answers.
    pub(crate) faulty_ends: u64,
    /// What was done to make room for connections of callers and of other nodes.
    pub(crate) room: RoomCounts,
    /// Connections that could not be accepted, on all listeners.
    pub(crate) accept_failures: u64,
    /// Open connections of callers.
    pub(crate) caller_connections: usize,
    /// How long ago the configuration was last confirmed to be the newest one.
    pub(crate) config_age: Option<Duration>,
}

/// Bounds of the response time buckets, in seconds.
pub(crate) const RESPONSE_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.2, 0.4, 0.8, 2.0, 8.0,
];

/// All counters.
pub(crate) const COUNTERS: [Counter<MetricValues>; 28] = [
    ("requests", "Requests of callers", |v| v.counts.requests),
    ("answered", "Requests answered in full", |v| {
        v.counts.answered
    }),
    ("partial", "Responses that leave shards out", |v| {
        v.counts.partial
    }),
    ("rejected", "Requests rejected as not run", |v| {
        v.counts.rejected
    }),
    ("failed", "Requests that failed and may have run", |v| {
        v.counts.failed
    }),
    ("timed_out", "Requests without an answer in time", |v| {
        v.counts.timed_out
    }),
    ("no_route", "Requests without a route", |v| {
        v.counts.no_route
    }),
    (
        "faulty_connections",
        "Connections to leafs closed since answers could not be told apart or took too much memory",
        |v| v.faulty_ends,
    ),
    (
        "connections_closed",
        "Connections without a request closed to make room for others",
        |v| v.room.closed,
    ),
    (
        "connections_turned_away",
        "Connections closed unread since all others had requests under way",
        |v| v.room.turned_away,
    ),
    (
        "accept_failures",
        "Connections that could not be accepted, as for want of descriptors",
        |v| v.accept_failures,
    ),
    (
        "unknown_plans",
        "Segments asked for by nodes with another configuration, not run",
        |v| v.counts.unknown_plans,
    ),
    ("left", "Requests whose caller left", |v| v.counts.left),
    ("calls", "Calls sent to leafs", |v| v.counts.calls),
    ("hedges", "Hedged calls among them", |v| v.counts.hedges),
    ("retries", "Retried calls among them", |v| v.counts.retries),
    (
        "repeats",
        "Calls beyond the first that may have reached a leaf",
        |v| v.counts.repeats,
    ),
    ("denied", "Repeats that the budget did not allow", |v| {
        v.counts.denied
    }),
    ("trials", "Calls sent to versions on trial", |v| {
        v.counts.trials
    }),
    ("refused", "Calls that leafs refused", |v| v.counts.refused),
    (
        "misdirected",
        "Calls that another leaf answered than the one meant",
        |v| v.counts.misdirected,
    ),
    ("broken", "Calls whose answer was lost or unusable", |v| {
        v.counts.broken
    }),
    ("unsent", "Calls that could not be sent", |v| {
        v.counts.unsent
    }),
    (
        "unchecked",
        "Calls not sent since the leaf did not tell its name in time",
        |v| v.counts.unchecked,
    ),
    (
        "displaced",
        "Calls not sent since another leaf has the address",
        |v| v.counts.displaced,
    ),
    (
        "withdrawn",
        "Calls taken back before any of them was written, as their caller had left or their leaf wants none",
        |v| v.counts.withdrawn,
    ),
    (
        "leaving",
        "Leafs that said in an answer that they are leaving",
        |v| v.counts.leaving,
    ),
    ("breaks", "Breaks without calls that leafs asked for", |v| {
        v.counts.breaks
    }),
];

/// All gauges.
pub(crate) const GAUGES: [Gauge<MetricValues>; 2] = [
    (
        "config_age_ms",
        "Time since the configuration was known to be the newest one, -1 before that",
        |v| millis(v.config_age),
    ),
    ("caller_connections", "Open connections of callers", |v| {
        v.caller_connections as i64
    }),
];
