//! What a node learns of each leaf from its own calls, and the choice between the leafs of a service.
//!
//! Load pattern: leafs pause for a moment, each at its own time, and some turn slow or fail part of
//! their requests while they look well. Nothing but the answers and the silence of a leaf tells.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, LeafId, Time};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Weight of the newest answer in the smoothed slowness and failure rate.
const SMOOTHING: f64 = 0.25;
/// Time constant with which knowledge about a leaf without calls fades.
const FADE: Duration = Duration::from_secs(3);
/// How long a leaf is avoided after it refused a call.
const REFUSAL_PENALTY: Duration = Duration::from_millis(60);
/// How long a leaf is avoided after a lost connection, at first. It doubles with each further one.
const BREAK_PENALTY: Duration = Duration::from_millis(200);
/// Longest time that a leaf is avoided for lost connections.
const LONGEST_PENALTY: Duration = Duration::from_millis(1_600);
/// Weight of the failure rate in the cost of a leaf.
const FAILURE_WEIGHT: f64 = 30.0;
/// Leafs whose costs differ by less than this factor share the load.
const ALIKE: f64 = 1.25;

/// `LeafFeedback` is how a call to a leaf ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFeedback {
    /// A good answer, after this multiple of the usual response time.
    Good(f64),
    /// The leaf ran the call and failed.
    Failed,
    /// The leaf refused the call.
    Refused,
    /// The connection could not be opened, or was lost.
    Broken,
    /// The call was given up after this multiple of the usual response time.
    Abandoned(f64),
}

/// What is known of one leaf.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Smoothed multiple of the usual response time; 1 for a leaf like the others.
    slowness: f64,
    /// Smoothed share of failed calls, from 0 to 1.
    failures: f64,
    /// When the record was last updated.
    updated: Time,
    /// Calls of this node under way.
    running: usize,
    /// Calls under way that are overdue.
    overdue: usize,
    /// Avoided until then.
    avoid_until: Time,
    /// Lost connections in a row.
    breaks: u32,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            updated: Time::default(),
            running: 0,
            overdue: 0,
            avoid_until: Time::default(),
            breaks: 0,
        }
    }
}

impl Record {
    /// Moves what is known towards the usual, by the time since the last update.
    fn faded(&self, now: Time) -> (f64, f64) {
        let keep = (-now.since(self.updated).as_secs_f64() / FADE.as_secs_f64()).exp();
        (1.0 + (self.slowness - 1.0) * keep, self.failures * keep)
    }

    fn note(&mut self, slowness: Option<f64>, failed: bool, now: Time) {
        let (old_slowness, old_failures) = self.faded(now);
        let slowness = slowness.unwrap_or(old_slowness);
        self.slowness = old_slowness + SMOOTHING * (slowness - old_slowness);
        self.failures = old_failures + SMOOTHING * (f64::from(u8::from(failed)) - old_failures);
        self.updated = now;
    }
}

/// `LeafSelector` chooses between leafs.
#[derive(Debug, Default)]
pub struct LeafSelector {
    records: DeterministicMap<LeafId, Record>,
}

impl LeafSelector {
    /// Returns the leaf to call next, of those with fewer than `limit` calls under way, or `None` if
    /// there is none.
    pub fn pick<L>(&self, leafs: L, limit: usize, now: Time, rng: &mut SmallRng) -> Option<LeafId>
    where
        L: IntoIterator<Item = LeafId>,
    {
        let mut best: Option<(LeafId, u32, f64)> = None;
        let mut alike = 0;
        for id in leafs {
            let record = self.records.get(&id).copied().unwrap_or_default();
            if record.running >= limit {
                continue;
            }
            let (level, cost) = rate(&record, now);
            let Some((_, best_level, best_cost)) = best else {
                best = Some((id, level, cost));
                alike = 1;
                continue;
            };
            let better = if level != best_level {
                level < best_level
            } else if cost.max(best_cost) <= cost.min(best_cost) * ALIKE {
                alike += 1;
                rng.random_ratio(1, alike)
            } else {
                cost < best_cost
            };
            if better {
                best = Some((id, level, cost));
            }
        }
        best.map(|(id, ..)| id)
    }

    /// Returns whether a leaf is overdue with a call or was lost a moment ago.
    pub fn is_doubtful(&self, id: LeafId, now: Time) -> bool {
        self.records
            .get(&id)
            .is_some_and(|record| rate(record, now).0 > 0)
    }

    /// Returns the calls of this node under way at a leaf.
    pub fn running(&self, id: LeafId) -> usize {
        self.records.get(&id).map_or(0, |record| record.running)
    }

    /// Notes a call sent to a leaf.
    pub fn sent(&mut self, id: LeafId) {
        self.records.entry(id).or_default().running += 1;
    }

    /// Notes that a call is overdue.
    pub fn overdue(&mut self, id: LeafId) {
        self.records.entry(id).or_default().overdue += 1;
    }

    /// Notes the end of a call. `was_overdue` says whether [`LeafSelector::overdue`] was noted for it.
    pub fn ended(&mut self, id: LeafId, verdict: LeafFeedback, was_overdue: bool, now: Time) {
        let record = self.records.entry(id).or_default();
        record.running = record.running.saturating_sub(1);
        if was_overdue {
            record.overdue = record.overdue.saturating_sub(1);
        }
        match verdict {
            LeafFeedback::Good(slowness) => {
                record.breaks = 0;
                record.note(Some(slowness), false, now);
            }
            LeafFeedback::Failed => record.note(None, true, now),
            LeafFeedback::Refused => {
                record.note(None, true, now);
                record.avoid_until = record.avoid_until.max(now + REFUSAL_PENALTY);
            }
            LeafFeedback::Broken => {
                let penalty = BREAK_PENALTY * 2_u32.pow(record.breaks.min(8));
                record.breaks += 1;
                record.note(None, true, now);
                let until = now + penalty.min(LONGEST_PENALTY);
                record.avoid_until = record.avoid_until.max(until);
            }
            LeafFeedback::Abandoned(slowness) => {
                let known = record.faded(now).0;
                record.note(Some(slowness.max(known)), false, now);
            }
        }
    }

    /// Forgets a leaf.
    pub fn forget(&mut self, id: LeafId) {
        self.records.remove(&id);
    }
}

/// Returns how much a leaf is to be avoided, zero for not at all, and its cost.
fn rate(record: &Record, now: Time) -> (u32, f64) {
    let (slowness, failures) = record.faded(now);
    let level = u32::from(record.overdue > 0) + 2 * u32::from(now < record.avoid_until);
    let cost = slowness.max(0.3) * (1.0 + FAILURE_WEIGHT * failures) * (record.running + 1) as f64;
    (level, cost)
}
