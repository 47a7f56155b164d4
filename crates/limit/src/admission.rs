//! Admission of requests under overload, by priority.
//!
//! Where leafs cannot serve everything, part of every query would be missing. Refusing some queries
//! whole and early keeps the others whole: least important ones first, no more than needed. The
//! share to refuse follows from whether admitted queries still lose groups to overload.

use std::time::Duration;

use monsoondeal_core::{Priority, Time};

/// Time between two changes of the level. Queries that were admitted under the old level have mostly
/// ended by then.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Share of queries that may lose a group to overload before the level rises.
const OVERLOAD_TOLERANCE: f64 = 0.02;
/// Rise of the level if all queries of a period lost a group; less in proportion.
const LEVEL_INCREASE: f64 = 0.3;
/// Fall of the level after a period in which no more than the tolerance did.
const LEVEL_DECREASE: f64 = 0.05;
/// Share of first-priority requests that is admitted whatever the level, so that the level can fall.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// `Admission` decides which requests of a service to refuse at the entry.
///
/// The level counts in priorities: at 0 everything is admitted, at 1 nothing of bulk priority, at 2
/// nothing of normal priority either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    /// Invariant: from 0 to 3 less [`MIN_ADMITTED_SHARE`].
    level: f64,
    /// When the level was last looked at.
    adjusted_at: Time,
    /// Queries admitted since then that have ended, by priority, and those of them that lost a group
    /// to overload.
    ended: [u32; 3],
    overloaded: [u32; 3],
    /// Fractions of refusals carried over, by priority; spreads refusals evenly.
    carry: [f64; 3],
}

impl Admission {
    /// Returns the share of requests of that priority that is refused.
    pub fn refused_share(&self, priority: Priority) -> f64 {
        let refusal_start = (Priority::ALL.len() - 1 - priority.index()) as f64;
        (self.level - refusal_start).clamp(0.0, 1.0)
    }

    /// Decides on a request. Over many requests, the wanted share of each priority is refused.
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

    /// Notes the end of a query that was admitted at `started`: whether it lost a group to overload.
    pub fn record(&mut self, priority: Priority, overloaded: bool, started: Time, now: Time) {
        // Queries of an earlier level say nothing of the present one.
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
            // A loss among the important counts until they are reached by the level; the less
            // important are refused before.
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
