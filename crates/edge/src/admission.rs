//! Admission of queries by the response times of their shards.
//!
//! Load pattern: many callers come at once, or a part of the leafs is lost while callers keep coming.
//! Without a limit all queries wait at all leafs, and none is answered in time. The limit follows the
//! ratio of the usual response time to the present one, so that those admitted are answered in time
//! and the others learn at once when to come back. A few slow leafs do not count, since the third
//! quartile over the shards of a query is taken.

use std::time::Duration;

/// Ratio of present to usual response times that is no sign of overload.
const TOLERATED_RATIO: f64 = 2.2;
/// Ratio that a query counts with whose calls were refused.
const REFUSED_RATIO: f64 = 5.0;
/// Weight of the newest ratio.
const SMOOTHING: f64 = 0.2;
/// Share of the way to the new limit that one query moves it.
const STEP: f64 = 0.1;
/// Work allowed at first, in queries of the usual length.
const INITIAL_QUERIES: f64 = 48.0;
/// Least work allowed, in queries of the usual length.
const MIN_QUERIES: f64 = 2.0;
/// Work added with each answered query while there is no sign of overload, in queries.
const HEADROOM: f64 = 2.0;
/// Part of the limit that less urgent queries may use.
const LOW_PRIORITY_SHARE: f64 = 0.8;

/// `LoadSignal` is what a query that ended tells of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// Nothing.
    None,
    /// The third quartile of the response times over its shards.
    Quantile(Duration),
    /// Leafs of many of its shards refused calls.
    Refusals,
}

/// `Admission` bounds the work under way for one set of shards, in seconds of leaf time a shard.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: f64,
    running: f64,
    /// Smoothed ratio of present to usual response times.
    ratio: f64,
    /// Most urgent priority seen; 0 is the highest.
    top_priority: u32,
}

impl Admission {
    /// Creates a limit for queries that usually take `usual` at a shard.
    pub fn new(baseline: Duration) -> Self {
        Self {
            limit: INITIAL_QUERIES * baseline.as_secs_f64(),
            running: 0.0,
            ratio: 1.0,
            top_priority: u32::MAX,
        }
    }

    /// Returns whether a query may begin.
    pub fn admits(&mut self, baseline: Duration, priority: u32) -> bool {
        self.top_priority = self.top_priority.min(priority);
        let part = if priority > self.top_priority {
            LOW_PRIORITY_SHARE
        } else {
            1.0
        };
        let min_limit = MIN_QUERIES * baseline.as_secs_f64();
        self.running + baseline.as_secs_f64() <= (self.limit * part).max(min_limit)
    }

    /// Counts a query that begins.
    pub fn begin(&mut self, baseline: Duration) {
        self.running += baseline.as_secs_f64();
    }

    /// Counts a query that ends.
    pub fn end(&mut self, baseline: Duration, signal: LoadSignal) {
        let baseline = baseline.as_secs_f64();
        let was_running = self.running;
        self.running = (self.running - baseline).max(0.0);
        let ratio = match signal {
            LoadSignal::None => return,
            LoadSignal::Quantile(response) => response.as_secs_f64() / baseline.max(1e-6),
            LoadSignal::Refusals => REFUSED_RATIO,
        };
        self.ratio += SMOOTHING * (ratio - self.ratio);
        let gradient = (TOLERATED_RATIO / self.ratio).clamp(0.5, 1.0);
        let desired = self.limit * gradient + HEADROOM * baseline;
        // A limit that is far from being used says nothing about what the leafs bear.
        let max_limit = (INITIAL_QUERIES * baseline).max(2.0 * was_running);
        let next = self.limit + STEP * (desired - self.limit);
        self.limit = next.clamp(MIN_QUERIES * baseline, max_limit);
    }
}
