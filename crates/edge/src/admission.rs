//! Admission of queries by the response times of their shards.
//!
//! Load pattern: many callers come at once, or a part of the leafs is lost while callers keep coming.
//! Without a limit all queries wait at all leafs, and none is answered in time. The limit follows the
//! ratio of the usual response time to the present one, so that those admitted are answered in time
//! and the others learn at once when to come back. A few slow leafs do not count, since the third
//! quartile over the shards of a query is taken.

use std::time::Duration;

/// Ratio of present to usual response times that is no sign of overload.
const TOLERANCE: f64 = 2.2;
/// Ratio that a query counts with whose calls were refused.
const REFUSED_RATIO: f64 = 5.0;
/// Weight of the newest ratio.
const SMOOTHING: f64 = 0.2;
/// Share of the way to the new limit that one query moves it.
const STEP: f64 = 0.1;
/// Work allowed at first, in queries of the usual length.
const FIRST_QUERIES: f64 = 48.0;
/// Least work allowed, in queries of the usual length.
const LEAST_QUERIES: f64 = 2.0;
/// Work added with each answered query while there is no sign of overload, in queries.
const HEADROOM: f64 = 2.0;
/// Part of the limit that less urgent queries may use.
const LESS_URGENT_PART: f64 = 0.8;

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
    urgent: u32,
}

impl Admission {
    /// Creates a limit for queries that usually take `usual` at a shard.
    pub fn new(usual: Duration) -> Self {
        Self {
            limit: FIRST_QUERIES * usual.as_secs_f64(),
            running: 0.0,
            ratio: 1.0,
            urgent: u32::MAX,
        }
    }

    /// Returns whether a query may begin.
    pub fn admits(&mut self, usual: Duration, priority: u32) -> bool {
        self.urgent = self.urgent.min(priority);
        let part = if priority > self.urgent {
            LESS_URGENT_PART
        } else {
            1.0
        };
        let least = LEAST_QUERIES * usual.as_secs_f64();
        self.running + usual.as_secs_f64() <= (self.limit * part).max(least)
    }

    /// Counts a query that begins.
    pub fn begin(&mut self, usual: Duration) {
        self.running += usual.as_secs_f64();
    }

    /// Counts a query that ends.
    pub fn end(&mut self, usual: Duration, sign: LoadSignal) {
        let usual = usual.as_secs_f64();
        let was_running = self.running;
        self.running = (self.running - usual).max(0.0);
        let ratio = match sign {
            LoadSignal::None => return,
            LoadSignal::Quantile(response) => response.as_secs_f64() / usual.max(1e-6),
            LoadSignal::Refusals => REFUSED_RATIO,
        };
        self.ratio += SMOOTHING * (ratio - self.ratio);
        let gradient = (TOLERANCE / self.ratio).clamp(0.5, 1.0);
        let wanted = self.limit * gradient + HEADROOM * usual;
        // A limit that is far from being used says nothing about what the leafs bear.
        let most = (FIRST_QUERIES * usual).max(2.0 * was_running);
        let next = self.limit + STEP * (wanted - self.limit);
        self.limit = next.clamp(LEAST_QUERIES * usual, most);
    }
}
