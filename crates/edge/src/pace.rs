//! Usual response times of a route's calls, and the delay after which a call is repeated.

use std::time::Duration;

use monsoondeal_route::ResponseQuantile;

/// A call is overdue after this multiple of the median response time. Even calls stay below it; a
/// pause, or a leaf that has turned slow, exceeds it. The median holds while a minority is slow.
const OVERDUE_FACTOR: f64 = 2.3;
/// Shortest delay of a repeat.
const LEAST_DELAY: Duration = Duration::from_millis(4);
/// Share of the objective taken as the median of a call to a shard before enough is known.
const FIRST_SHARE_SHARD: f64 = 0.12;
/// The same for a call to a single leaf.
const FIRST_SHARE_SINGLE: f64 = 0.25;

/// `Pace` tracks the response times of one route's calls.
#[derive(Clone, Debug)]
pub struct Pace {
    median: ResponseQuantile,
    first: Duration,
}

impl Pace {
    /// Creates a tracker for calls to one of many shards, or to a single leaf.
    pub fn new(objective: Duration, shards: bool) -> Self {
        let share = if shards {
            FIRST_SHARE_SHARD
        } else {
            FIRST_SHARE_SINGLE
        };
        Self {
            median: ResponseQuantile::above(0.5),
            first: objective.mul_f64(share),
        }
    }

    /// Notes the response time of a call that was answered.
    pub fn note(&mut self, response: Duration) {
        self.median.note(response);
    }

    /// Returns the usual response time.
    pub fn median(&self) -> Duration {
        self.median.value().unwrap_or(self.first)
    }

    /// Returns the time after which a call is overdue.
    pub fn overdue(&self) -> Duration {
        self.median().mul_f64(OVERDUE_FACTOR).max(LEAST_DELAY)
    }

    /// Returns the multiple of the usual response time.
    pub fn slowness(&self, response: Duration) -> f64 {
        response.as_secs_f64() / self.median().as_secs_f64().max(1e-6)
    }
}
