//! The delay after which a call is hedged.

use std::time::Duration;

/// Delay before enough is known.
const FIRST_DELAY: Duration = Duration::from_millis(10);
/// Response times that are remembered.
const WINDOW: usize = 512;
/// Response times between two computations of the delay.
const RENEWAL: usize = 32;
/// Response times from which on the delay is computed.
const LEAST_SAMPLES: usize = 64;
/// Part of the budget that late calls should use up. The rest is for bursts.
const BUDGET_USE: f64 = 0.85;

/// `HedgeDelay` is the response time that a given share of the latest calls exceeded.
///
/// A hedged call counts with the time until its group was answered. That is less than it would have
/// taken, but more than the delay, so that the share above the delay stays true.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    /// Share of calls that may be late.
    late_share: f64,
    delay: Duration,
    /// The latest response times, in seconds, as a ring.
    window: Vec<f32>,
    /// Response times noted so far.
    noted: usize,
}

impl HedgeDelay {
    /// Creates a tracker for a budget of `ratio` hedged calls per first call.
    pub fn new(ratio: f64) -> Self {
        Self {
            late_share: ratio * BUDGET_USE,
            delay: FIRST_DELAY,
            window: Vec::with_capacity(WINDOW),
            noted: 0,
        }
    }

    /// Replaces the budget.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.late_share = ratio * BUDGET_USE;
    }

    /// Returns the present delay.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Notes the time from the first call for a group to its answer.
    pub fn note(&mut self, response: Duration) {
        let seconds = response.as_secs_f32();
        if self.window.len() < WINDOW {
            self.window.push(seconds);
        } else {
            self.window[self.noted % WINDOW] = seconds;
        }
        self.noted += 1;
        if self.noted.is_multiple_of(RENEWAL) && self.window.len() >= LEAST_SAMPLES {
            self.renew();
        }
    }

    fn renew(&mut self) {
        let mut times = self.window.clone();
        let last = times.len() - 1;
        let rank = ((1.0 - self.late_share) * last as f64).round() as usize;
        let (_, delay, _) = times.select_nth_unstable_by(rank.min(last), f32::total_cmp);
        self.delay = Duration::from_secs_f32(*delay);
    }
}
