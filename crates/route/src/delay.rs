//! Quantiles of recent response times, and the delay after which a call is hedged.

use std::time::Duration;

/// Delay until [`MIN_SAMPLES`] response times are recorded.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// Number of response times that are kept.
const WINDOW_SIZE: usize = 512;
/// Number of response times between two computations of the quantile.
const UPDATE_INTERVAL: usize = 32;
/// Number of response times from which the quantile is computed.
const MIN_SAMPLES: usize = 64;
/// Share of the hedge budget that late calls should use on average. The rest is left for bursts.
const BUDGET_UTILIZATION: f64 = 0.85;

/// `ResponseQuantile` is the response time that a given share of recent response times exceeded.
#[derive(Clone, Debug)]
pub struct ResponseQuantile {
    /// Share of response times above the quantile.
    share: f64,
    value: Option<Duration>,
    /// Recent response times in seconds, as a ring buffer.
    window: Vec<f32>,
    /// Number of response times recorded so far.
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

    /// Returns the quantile, or `None` until enough response times are recorded.
    pub fn value(&self) -> Option<Duration> {
        self.value
    }

    /// Returns the recent response times, in no particular order.
    pub fn latest(&self) -> impl Iterator<Item = Duration> {
        let latest = self.window.iter();
        latest.map(|seconds| Duration::from_secs_f32(*seconds))
    }

    /// Records a response time.
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

/// `HedgeDelay` tracks the delay at which hedged calls use up their budget.
///
/// A hedged call is recorded with the time until its group was answered. That time is shorter than
/// the first call alone would have taken but longer than the delay, so the share of response times
/// above the delay is right.
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

    /// Replaces the ratio of the budget.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.quantile.share = ratio * BUDGET_UTILIZATION;
    }

    /// Returns the current delay.
    pub fn delay(&self) -> Duration {
        self.quantile.value().unwrap_or(INITIAL_DELAY)
    }

    /// Records the time from the first call for a group to the group's answer.
    pub fn record(&mut self, response: Duration) {
        self.quantile.record(response);
    }
}
