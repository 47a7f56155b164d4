//! Steps in which the share of the new version is raised, scheduled back from the deadline.

use std::time::Duration;

use monsoondeal_core::Time;

/// `Step` is a share and how long it is kept at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Share of the traffic that goes to the new version.
    pub share: f64,
    /// Shortest time before the next step.
    pub min_duration: Duration,
}

/// `Plan` raises the share of the new version in steps from 1 % to all traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// When the move may begin.
    pub start: Time,
    /// When the move must be completed or rolled back.
    pub deadline: Time,
}

/// Shares of the steps. The last one is the soak: all traffic goes to the new version while the old
/// one is kept warm.
const SHARES: [f64; 6] = [0.01, 0.05, 0.2, 0.5, 0.8, 1.0];
/// Fraction of the time that the steps take if nothing delays them; the rest is for delays.
const STEP_FRACTION: f64 = 0.5;
/// Fraction of the time that is reserved for a rollback.
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

    /// Returns the latest time at which a step can begin for the move to be completed by the deadline.
    pub fn latest_start(&self, index: usize) -> Time {
        let remaining: Duration = (index..self.step_count())
            .filter_map(|s| self.step(s))
            .map(|s| s.min_duration)
            .sum();
        self.deadline - self.deadline.since(self.start).mul_f64(ROLLBACK_FRACTION) - remaining
    }
}
