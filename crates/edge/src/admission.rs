//! Admission control for queries, based on the response times of their shards.
//!
//! Load pattern: many callers arrive at once, or some of the leafs are lost while callers keep coming.
//! Without a limit all queries wait at all leafs, and none is answered in time. The limit follows the ratio
//! of the unloaded response time to the present one, so that admitted queries are answered in time and the
//! others are rejected at once with the time after which to retry. A few slow leafs do not affect the limit,
//! since the third quartile over the shards of a query is used.

use std::time::Duration;

/// Ratio of present to unloaded response time up to which there is no sign of overload.
const TOLERATED_RATIO: f64 = 2.2;
/// Ratio that is recorded for a query whose calls were refused.
const REFUSED_RATIO: f64 = 5.0;
/// Weight of the newest ratio in the smoothed one.
const SMOOTHING: f64 = 0.2;
/// Fraction of the difference to the desired limit by which one query moves the limit.
const STEP: f64 = 0.1;
/// Initial limit, in queries that take the unloaded response time.
const INITIAL_QUERIES: f64 = 48.0;
/// Minimum limit, in queries that take the unloaded response time.
const MIN_QUERIES: f64 = 2.0;
/// Queries added to the desired limit with each answered query, so that it grows while there is no sign of
/// overload.
const HEADROOM: f64 = 2.0;
/// Share of the limit that queries below the highest priority seen may use.
const LOW_PRIORITY_SHARE: f64 = 0.8;

/// `LoadSignal` is what a query that ended shows about the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The query shows nothing about the load.
    None,
    /// Third quartile of the response times of its shards.
    Quantile(Duration),
    /// Leafs of many of its shards refused calls.
    Refusals,
}

/// `Admission` limits the work under way for one set of shards, in seconds of leaf time per shard.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Work that may be under way.
    limit: f64,
    /// Work that is under way.
    running: f64,
    /// Smoothed ratio of present to unloaded response time.
    ratio: f64,
    /// Highest priority seen, which is the lowest number; 0 is the highest of all.
    top_priority: u32,
}

impl Admission {
    /// Creates a limit for queries that take `unloaded_time` per shard without overload.
    pub fn new(unloaded_time: Duration) -> Self {
        Self {
            limit: INITIAL_QUERIES * unloaded_time.as_secs_f64(),
            running: 0.0,
            ratio: 1.0,
            top_priority: u32::MAX,
        }
    }

    /// Returns whether a query may begin.
    pub fn admits(&mut self, unloaded_time: Duration, priority: u32) -> bool {
        self.top_priority = self.top_priority.min(priority);
        let share = if priority > self.top_priority {
            LOW_PRIORITY_SHARE
        } else {
            1.0
        };
        let min_limit = MIN_QUERIES * unloaded_time.as_secs_f64();
        self.running + unloaded_time.as_secs_f64() <= (self.limit * share).max(min_limit)
    }

    /// Counts a query that begins.
    pub fn begin(&mut self, unloaded_time: Duration) {
        self.running += unloaded_time.as_secs_f64();
    }

    /// Counts a query that ends, and adjusts the limit.
    pub fn end(&mut self, unloaded_time: Duration, signal: LoadSignal) {
        let unloaded_time = unloaded_time.as_secs_f64();
        let was_running = self.running;
        self.running = (self.running - unloaded_time).max(0.0);
        let ratio = match signal {
            LoadSignal::None => return,
            LoadSignal::Quantile(response) => response.as_secs_f64() / unloaded_time.max(1e-6),
            LoadSignal::Refusals => REFUSED_RATIO,
        };
        self.ratio += SMOOTHING * (ratio - self.ratio);
        let gradient = (TOLERATED_RATIO / self.ratio).clamp(0.5, 1.0);
        let desired = self.limit * gradient + HEADROOM * unloaded_time;
        // The limit must not grow far beyond the work under way: a limit that is hardly used says nothing
        // about the capacity of the leafs.
        let max_limit = (INITIAL_QUERIES * unloaded_time).max(2.0 * was_running);
        let next = self.limit + STEP * (desired - self.limit);
        self.limit = next.clamp(MIN_QUERIES * unloaded_time, max_limit);
    }
}
