//! Response times of a route's calls, and the time after which a call is overdue.

use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_moves::LatencyHistogram;
use monsoondeal_route::ResponseQuantile;

/// A call is overdue after this multiple of the median response time. Ordinary calls stay below it; a
/// pause, or a leaf that has turned slow, exceeds it. The median is stable while only a minority is slow.
const OVERDUE_FACTOR: f64 = 2.3;
/// Minimum time after which a call is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(4);
/// Share of the objective that is assumed as the median response time of a call to a shard until it is
/// measured.
const INITIAL_SHARE_SHARD: f64 = 0.12;
/// The same for a call to a single leaf.
const INITIAL_SHARE_SINGLE: f64 = 0.25;

/// Time constant with which the unloaded time follows a median that has risen.
const RISE_TIME: Duration = Duration::from_secs(20);
/// Time constant with which the unloaded time follows a median that has fallen.
const FALL_TIME: Duration = Duration::from_secs(1);

/// `ResponseTracker` tracks the response times of one route's calls.
#[derive(Clone, Debug)]
pub struct ResponseTracker {
    median: ResponseQuantile,
    initial_median: Duration,
    /// Response time without overload, in seconds; zero until it is measured.
    unloaded_time: f64,
    updated_at: Time,
}

impl ResponseTracker {
    /// Creates a tracker for calls to one of many shards, or to a single leaf.
    pub fn new(objective: Duration, is_shard: bool) -> Self {
        let share = if is_shard {
            INITIAL_SHARE_SHARD
        } else {
            INITIAL_SHARE_SINGLE
        };
        Self {
            median: ResponseQuantile::above(0.5),
            initial_median: objective.mul_f64(share),
            unloaded_time: 0.0,
            updated_at: Time::default(),
        }
    }

    /// Records the response time of an answered call.
    pub fn record(&mut self, response: Duration, now: Time) {
        self.median.record(response);
        let Some(median) = self.median.value() else {
            return;
        };
        let median = median.as_secs_f64();
        if self.unloaded_time == 0.0 {
            self.unloaded_time = median;
        }
        let span = if median > self.unloaded_time {
            RISE_TIME
        } else {
            FALL_TIME
        };
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let step = 1.0 - (-elapsed / span.as_secs_f64()).exp();
        self.unloaded_time += step * (median - self.unloaded_time);
        self.updated_at = now;
    }

    /// Returns the latest response times.
    pub fn times(&self) -> LatencyHistogram {
        let mut times = LatencyHistogram::default();
        self.median
            .latest()
            .for_each(|response| times.record(response));
        times
    }

    /// Returns the response time without overload; an assumption until it is measured.
    pub fn unloaded_time(&self) -> Duration {
        if self.unloaded_time == 0.0 {
            return self.initial_median;
        }
        Duration::from_secs_f64(self.unloaded_time)
    }

    /// Returns the present median response time; an assumption until it is measured.
    pub fn median(&self) -> Duration {
        self.median.value().unwrap_or(self.initial_median)
    }

    /// Returns the time after which a call is overdue.
    pub fn overdue_after(&self) -> Duration {
        self.median().mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE)
    }

    /// Returns a response time as a multiple of the median.
    pub fn slowness(&self, response: Duration) -> f64 {
        response.as_secs_f64() / self.median().as_secs_f64().max(1e-6)
    }
}
