//! Quantiles of the latest response times, and the delay after which a call is hedged.

use std::time::Duration;

/// Delay before enough is known.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// Response times that are remembered.
const WINDOW_SIZE: usize = 512;
/// Response times between two computations of the delay.
const UPDATE_INTERVAL: usize = 32;
/// Response times from which on the delay is computed.
const MIN_SAMPLES: usize = 64;
/// Part of the budget that late calls should use up. The rest is for bursts.
const BUDGET_UTILIZATION: f64 = 0.85;

/// `ResponseQuantile` is the response time that a given share of the latest ones exceeded.
#[derive(Clone, Debug)]
pub struct ResponseQuantile {
    /// Share of response times above the quantile.
    share: f64,
    value: Option<Duration>,
    /// The latest response times, in seconds, as a ring.
    window: Vec<f32>,
    /// Response times noted so far.
    recorded: usize,
}

impl ResponseQuantile {
    /// Creates a quantile that `share` of the response times exceed.
    pub fn above(share: f64) -> Self {
        Self {
            share,
            value: None,
            window: Vec::with_capacity(WINDOW_SIZE),
            recorded: 0,
        }
    }

    /// Returns the quantile once enough is known.
    pub fn value(&self) -> Option<Duration> {
        self.value
    }

    /// Returns the latest response times.
    pub fn latest(&self) -> impl Iterator<Item = Duration> {
        let latest = self.window.iter();
        latest.map(|seconds| Duration::from_secs_f32(*seconds))
    }

    /// Notes a response time.
    pub fn record(&mut self, response: Duration) {
        let seconds = response.as_secs_f32();
        if self.window.len() < WINDOW_SIZE {
            self.window.push(seconds);
        } else {
            self.window[self.recorded % WINDOW_SIZE] = seconds;
        }
        self.recorded += 1;
        if self.recorded.is_multiple_of(UPDATE_INTERVAL) && self.window.len() >= MIN_SAMPLES {
            self.update();
        }
    }

    fn update(&mut self) {
        let mut times = self.window.clone();
        let last = times.len() - 1;
        let rank = ((1.0 - self.share) * last as f64).round() as usize;
        let (_, value, _) = times.select_nth_unstable_by(rank.min(last), f32::total_cmp);
        self.value = Some(Duration::from_secs_f32(*value));
    }
}

/// `HedgeDelay` is the delay that uses up a budget of hedged calls.
///
/// A hedged call counts with the time until its group was answered. That is less than it would have
/// taken, but more than the delay, so that the share above the delay stays true.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    quantile: ResponseQuantile,
}

impl HedgeDelay {
    /// Creates a tracker for a budget of `ratio` hedged calls per first call.
    pub fn new(ratio: f64) -> Self {
        Self {
            quantile: ResponseQuantile::above(ratio * BUDGET_UTILIZATION),
        }
    }

    /// Replaces the budget.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.quantile.share = ratio * BUDGET_UTILIZATION;
    }

    /// Returns the present delay.
    pub fn delay(&self) -> Duration {
        self.quantile.value().unwrap_or(INITIAL_DELAY)
    }

    /// Notes the time from the first call for a group to its answer.
    pub fn record(&mut self, response: Duration) {
        self.quantile.record(response);
    }
}
