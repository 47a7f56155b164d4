//! Statistics about each leaf from this node's own calls, and selection among the leafs of a service.
//!
//! Load pattern: leafs pause for a moment, each at its own time, and some turn slow or fail part of their
//! requests without any announcement. Only the answers of a leaf, and calls that stay unanswered, show its
//! state.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, LeafId, Time};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Weight of the newest answer in the smoothed slowness and failure rate.
const SMOOTHING: f64 = 0.25;
/// Time constant with which the statistics of a leaf without calls decay.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// How long a leaf is avoided after it refused a call.
const REFUSAL_PENALTY: Duration = Duration::from_millis(60);
/// How long a leaf is avoided after a first lost connection. Doubles with each further one until a good answer.
const CONNECTION_LOSS_PENALTY: Duration = Duration::from_millis(200);
/// Maximum time that a leaf is avoided for lost connections.
const MAX_PENALTY: Duration = Duration::from_millis(1_600);
/// Weight of the failure rate in the cost of a leaf.
const FAILURE_WEIGHT: f64 = 30.0;
/// Leafs whose costs differ by less than this factor are chosen from at random.
const TIE_FACTOR: f64 = 1.25;

/// `LeafFeedback` is what the end of a call shows about its leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFeedback {
    /// A good answer, after this multiple of the median response time.
    Success(f64),
    /// The leaf ran the call and failed.
    Failed,
    /// The leaf refused the call.
    Refused,
    /// No usable answer arrived: the connection could not be opened or was lost, the leaf's name was not
    /// confirmed, another leaf has the address, or the answer was too large.
    ConnectionLost,
    /// The call was cancelled after this multiple of the median response time.
    Cancelled(f64),
}

/// Statistics of one leaf.
#[derive(Clone, Copy, Debug)]
struct LeafStats {
    /// Smoothed multiple of the median response time; 1 for an average leaf.
    slowness: f64,
    /// Smoothed share of failed calls, from 0 to 1.
    failure_rate: f64,
    updated_at: Time,
    /// Calls of this node under way at the leaf.
    running: usize,
    /// Calls under way that are overdue.
    overdue: usize,
    /// The leaf is avoided until then.
    avoid_until: Time,
    /// Number of calls that ended with [`LeafFeedback::ConnectionLost`] since the latest good answer.
    connection_losses: u32,
}

impl Default for LeafStats {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failure_rate: 0.0,
            updated_at: Time::default(),
            running: 0,
            overdue: 0,
            avoid_until: Time::default(),
            connection_losses: 0,
        }
    }
}

impl LeafStats {
    /// Returns slowness and failure rate, decayed towards those of an average leaf by the time since the
    /// last update.
    fn decayed(&self, now: Time) -> (f64, f64) {
        let keep = (-now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        (1.0 + (self.slowness - 1.0) * keep, self.failure_rate * keep)
    }

    fn record_call(&mut self, slowness: Option<f64>, failed: bool, now: Time) {
        let (old_slowness, old_rate) = self.decayed(now);
        let slowness = slowness.unwrap_or(old_slowness);
        self.slowness = old_slowness + SMOOTHING * (slowness - old_slowness);
        self.failure_rate = old_rate + SMOOTHING * (f64::from(u8::from(failed)) - old_rate);
        self.updated_at = now;
    }
}

/// `LeafSelector` chooses among leafs.
#[derive(Debug, Default)]
pub struct LeafSelector {
    leaf_stats: DeterministicMap<LeafId, LeafStats>,
}

impl LeafSelector {
    /// Returns the leaf to call next among those with fewer than `limit` calls under way, or `None` if
    /// there is none.
    pub fn pick<L>(&self, leafs: L, limit: usize, now: Time, rng: &mut SmallRng) -> Option<LeafId>
    where
        L: IntoIterator<Item = LeafId>,
    {
        let mut best: Option<(LeafId, u32, f64)> = None;
        let mut ties = 0;
        for id in leafs {
            let stats = self.leaf_stats.get(&id).copied().unwrap_or_default();
            if stats.running >= limit {
                continue;
            }
            let (level, cost) = score(&stats, now);
            let Some((_, best_level, best_cost)) = best else {
                best = Some((id, level, cost));
                ties = 1;
                continue;
            };
            let is_better = if level != best_level {
                level < best_level
            } else if cost.max(best_cost) <= cost.min(best_cost) * TIE_FACTOR {
                ties += 1;
                rng.random_ratio(1, ties)
            } else {
                cost < best_cost
            };
            if is_better {
                best = Some((id, level, cost));
            }
        }
        best.map(|(id, ..)| id)
    }

    /// Returns whether a leaf has an overdue call or is avoided at present.
    pub fn is_suspect(&self, id: LeafId, now: Time) -> bool {
        self.leaf_stats
            .get(&id)
            .is_some_and(|stats| score(stats, now).0 > 0)
    }

    /// Returns the number of this node's calls under way at a leaf.
    pub fn running(&self, id: LeafId) -> usize {
        self.leaf_stats.get(&id).map_or(0, |stats| stats.running)
    }

    /// Records a call that was sent to a leaf.
    pub fn call_sent(&mut self, id: LeafId) {
        self.leaf_stats.entry(id).or_default().running += 1;
    }

    /// Records that a call under way at a leaf is overdue.
    pub fn call_overdue(&mut self, id: LeafId) {
        self.leaf_stats.entry(id).or_default().overdue += 1;
    }

    /// Records the end of a call. `was_overdue` says whether [`LeafSelector::call_overdue`] was called for
    /// it.
    pub fn call_ended(&mut self, id: LeafId, feedback: LeafFeedback, was_overdue: bool, now: Time) {
        let stats = self.leaf_stats.entry(id).or_default();
        stats.running = stats.running.saturating_sub(1);
        if was_overdue {
            stats.overdue = stats.overdue.saturating_sub(1);
        }
        match feedback {
            LeafFeedback::Success(slowness) => {
                stats.connection_losses = 0;
                stats.record_call(Some(slowness), false, now);
            }
            LeafFeedback::Failed => stats.record_call(None, true, now),
            LeafFeedback::Refused => {
                stats.record_call(None, true, now);
                stats.avoid_until = stats.avoid_until.max(now + REFUSAL_PENALTY);
            }
            LeafFeedback::ConnectionLost => {
                let penalty = CONNECTION_LOSS_PENALTY * 2_u32.pow(stats.connection_losses.min(8));
                stats.connection_losses += 1;
                stats.record_call(None, true, now);
                let until = now + penalty.min(MAX_PENALTY);
                stats.avoid_until = stats.avoid_until.max(until);
            }
            LeafFeedback::Cancelled(slowness) => {
                let known = stats.decayed(now).0;
                stats.record_call(Some(slowness.max(known)), false, now);
            }
        }
    }

    /// Removes the statistics of a leaf.
    pub fn forget(&mut self, id: LeafId) {
        self.leaf_stats.remove(&id);
    }
}

/// Returns the level of avoidance, zero for none, and the cost of a leaf. The lowest level is preferred,
/// then the lowest cost.
fn score(stats: &LeafStats, now: Time) -> (u32, f64) {
    let (slowness, failure_rate) = stats.decayed(now);
    let level = u32::from(stats.overdue > 0) + 2 * u32::from(now < stats.avoid_until);
    let cost =
        slowness.max(0.3) * (1.0 + FAILURE_WEIGHT * failure_rate) * (stats.running + 1) as f64;
    (level, cost)
}
