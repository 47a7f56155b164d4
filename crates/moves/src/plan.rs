//! Steps of the share, planned back from the set time.

use std::time::Duration;

use monsoondeal_core::Time;

/// `Step` is a share and how long it is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Share of the traffic that goes to the new version.
    pub share: f64,
    /// Least time before the next step.
    pub min_duration: Duration,
}

/// `Plan` steps a share up from 1 % to everything.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// When the move may begin.
    pub start: Time,
    /// When it must be done or taken back.
    pub deadline: Time,
}

/// Shares of the steps. The last one is the soak: everything goes to the new version while the old
/// one is kept warm.
const SHARES: [f64; 6] = [0.01, 0.05, 0.2, 0.5, 0.8, 1.0];
/// Part of the time that the steps take if nothing holds them up; the rest is for waiting.
const STEP_FRACTION: f64 = 0.5;
/// Part of the time that is kept for a reversal.
const ROLLBACK_FRACTION: f64 = 0.05;

impl Plan {
    /// Returns the number of steps.
    pub const fn step_count(&self) -> usize {
        SHARES.len()
    }

    /// Returns a step, or `None` beyond the last.
    pub fn step(&self, index: usize) -> Option<Step> {
        let share = *SHARES.get(index)?;
        let min_duration = self
            .deadline
            .since(self.start)
            .mul_f64(STEP_FRACTION / SHARES.len() as f64);
        Some(Step {
            share,
            min_duration,
        })
    }

    /// Returns when a step must have begun, or the move cannot be done by the set time any more.
    pub fn latest_start(&self, index: usize) -> Time {
        let remaining: Duration = (index..self.step_count())
            .filter_map(|s| self.step(s))
            .map(|s| s.min_duration)
            .sum();
        self.deadline - self.deadline.since(self.start).mul_f64(ROLLBACK_FRACTION) - remaining
    }
}
