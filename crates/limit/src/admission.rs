//! Admission of requests under overload, by priority.
//!
//! When leafs cannot serve the whole load, every query would lose some of its groups. Refusing some
//! queries on arrival keeps the others complete. Queries of the lowest priority are refused first,
//! and no more than needed: the refused share follows from how many admitted queries still lose
//! groups to overload.

use std::time::Duration;

use monsoondeal_core::{Priority, Time};

/// Time between two adjustments of the level. Queries admitted under the previous level have mostly
/// ended by then.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Share of queries that may lose a group to overload before the level rises.
const OVERLOAD_TOLERANCE: f64 = 0.02;
/// Rise of the level if all queries of an interval lost a group; proportionally less if fewer did.
const LEVEL_INCREASE: f64 = 0.3;
/// Fall of the level after an interval in which no more than the tolerated share lost a group.
const LEVEL_DECREASE: f64 = 0.05;
/// Share of first-priority requests that is admitted at any level, since the level is only adjusted, and
/// so can only fall again, when admitted queries end.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// `Admission` decides which requests to a service are refused on arrival.
///
/// The level counts priorities: at 0 all requests are admitted, at 1 none of bulk priority, at 2 none
/// of normal priority either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    /// Invariant: from 0 to 3 less [`MIN_ADMITTED_SHARE`].
    level: f64,
    /// When the level was last adjusted.
    adjusted_at: Time,
    /// Queries admitted since the last adjustment that have ended, by priority.
    ended: [u32; 3],
    /// Those of `ended` that lost a group to overload.
    overloaded: [u32; 3],
    /// Fractional refusals carried over, by priority, so that refusals are spread evenly.
    carry: [f64; 3],
}

impl Admission {
    /// Returns the share of requests of `priority` that is refused.
    pub fn refused_share(&self, priority: Priority) -> f64 {
        let refusal_start = (Priority::ALL.len() - 1 - priority.index()) as f64;
        (self.level - refusal_start).clamp(0.0, 1.0)
    }

    /// Returns whether to admit a request. Over many requests, the share refused at each priority is
    /// [`Admission::refused_share`].
    pub fn admit(&mut self, priority: Priority) -> bool {
        let share = self.refused_share(priority);
        let carry = &mut self.carry[priority.index()];
        *carry += share;
        if *carry < 1.0 {
            return true;
        }
        *carry -= 1.0;
        false
    }

    /// Records the end of a query that was admitted at `started`; `overloaded` tells whether it lost a
    /// group to overload.
    pub fn record(&mut self, priority: Priority, overloaded: bool, started: Time, now: Time) {
        // Queries admitted under an earlier level say nothing about the current one.
        if started >= self.adjusted_at {
            self.ended[priority.index()] += 1;
            self.overloaded[priority.index()] += u32::from(overloaded);
        }
        if now >= self.adjusted_at + ADJUST_INTERVAL {
            self.adjust_level(now);
        }
    }

    fn adjust_level(&mut self, now: Time) {
        let mut change = -LEVEL_DECREASE;
        for priority in Priority::ALL {
            let index = priority.index();
            let share = f64::from(self.overloaded[index]) / f64::from(self.ended[index].max(1));
            // Losses at any priority raise the level; lower priorities are refused before higher ones.
            if share > OVERLOAD_TOLERANCE {
                change = change.max(LEVEL_INCREASE * share);
            }
        }
        let max_level = Priority::ALL.len() as f64 - MIN_ADMITTED_SHARE;
        self.level = (self.level + change).clamp(0.0, max_level);
        self.adjusted_at = now;
        self.ended = [0; 3];
        self.overloaded = [0; 3];
    }
}
