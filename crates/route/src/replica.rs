//! Statistics of leafs from the node's own calls, and the choice between replicas.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, LeafId, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Late calls in a row after which a leaf is avoided; fewer may be chance.
const AVOID_AFTER_LATE: u32 = 3;

/// `ReplicaSelectorSettings` are the parameters of the choice between replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSelectorSettings {
    /// Weight of the newest answer in the smoothed response time.
    pub smoothing: f64,
    /// How long a leaf is avoided after a refused or failed call, and at first after late calls.
    pub penalty: Duration,
    /// Longest time that a leaf is avoided for repeated late calls.
    pub max_penalty: Duration,
    /// Replicas count as tied if their expected response times differ by no more than this factor.
    pub tie_factor: f64,
    /// Share of choices that go to the slower replica, so that a recovered leaf is noticed.
    pub explore: f64,
}

impl Default for ReplicaSelectorSettings {
    fn default() -> Self {
        Self {
            smoothing: 0.2,
            penalty: Duration::from_millis(250),
            max_penalty: Duration::from_secs(8),
            tie_factor: 2.0,
            explore: 0.01,
        }
    }
}

/// Statistics of one leaf.
#[derive(Clone, Copy, Debug, Default)]
struct LeafStats {
    /// Smoothed response time in seconds; zero until the first answer.
    response_time: f64,
    /// Calls of this node under way.
    running: u32,
    /// Until when the leaf is avoided.
    avoid_until: Time,
    /// Late calls since the last answer.
    late_calls: u32,
}

/// `ReplicaSelector` chooses between the leafs of a group.
#[derive(Debug)]
pub struct ReplicaSelector {
    settings: ReplicaSelectorSettings,
    stats: DeterministicMap<LeafId, LeafStats>,
    /// Source of exploration and tie-breaking; seeded, so that runs are reproducible.
    rng: SmallRng,
}

impl ReplicaSelector {
    /// Creates a selector without statistics. `seed` determines exploration and tie-breaking.
    pub fn new(settings: ReplicaSelectorSettings, seed: u64) -> Self {
        Self {
            settings,
            stats: DeterministicMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the index of the replica to call, or `None` if `skip` holds for all of them.
    pub fn pick<F>(&mut self, leafs: &[LeafId], now: Time, skip: F) -> Option<usize>
    where
        F: Fn(usize) -> bool,
    {
        let explore = self.rng.random_bool(self.settings.explore);
        let mut best: Option<(usize, u32, f64)> = None;
        let mut tied = 0;
        for index in (0..leafs.len()).filter(|&index| !skip(index)) {
            let (avoidance, cost) = self.rank(leafs[index], now);
            let Some((_, best_avoidance, best_cost)) = best else {
                best = Some((index, avoidance, cost));
                tied = 1;
                continue;
            };
            // Tied replicas share the load, so that all of them stay warm.
            let is_tie = cost.max(best_cost) <= cost.min(best_cost) * self.settings.tie_factor;
            let better = if avoidance != best_avoidance {
                avoidance < best_avoidance
            } else if is_tie {
                tied += 1;
                self.rng.random_ratio(1, tied)
            } else {
                (cost < best_cost) != explore
            };
            if better {
                best = Some((index, avoidance, cost));
            }
        }
        best.map(|(index, ..)| index)
    }

    /// Returns whether a leaf is currently avoided.
    pub fn is_avoided(&self, leaf: LeafId, now: Time) -> bool {
        self.rank(leaf, now).0 > 0
    }

    /// Records a call sent to a leaf.
    pub fn record_sent(&mut self, leaf: LeafId) {
        self.stats.entry(leaf).or_default().running += 1;
    }

    /// Records an answer and its response time.
    pub fn record_answer(&mut self, leaf: LeafId, response_time: Duration) {
        let smoothing = self.settings.smoothing;
        let leaf_stats = self.end_call(leaf);
        let seconds = response_time.as_secs_f64();
        leaf_stats.late_calls = 0;
        if leaf_stats.response_time == 0.0 {
            leaf_stats.response_time = seconds;
        } else {
            leaf_stats.response_time += smoothing * (seconds - leaf_stats.response_time);
        }
    }

    /// Records a late call. A leaf with repeated late calls is avoided, for longer each time.
    pub fn record_late(&mut self, leaf: LeafId, now: Time) {
        let ReplicaSelectorSettings {
            penalty,
            max_penalty,
            ..
        } = self.settings;
        let leaf_stats = self.stats.entry(leaf).or_default();
        leaf_stats.late_calls += 1;
        if leaf_stats.late_calls >= AVOID_AFTER_LATE {
            let doublings = (leaf_stats.late_calls - AVOID_AFTER_LATE).min(16);
            leaf_stats.avoid_until = now + (penalty * 2_u32.pow(doublings)).min(max_penalty);
        }
    }

    /// Records a refused or failed call: the leaf is avoided for the penalty time.
    pub fn record_failure(&mut self, leaf: LeafId, now: Time) {
        let penalty = self.settings.penalty;
        self.end_call(leaf).avoid_until = now + penalty;
    }

    /// Records a call that ended with neither an answer nor a failure, such as one cancelled after
    /// `elapsed`. The elapsed time is a lower bound of the response time.
    pub fn record_abandoned(&mut self, leaf: LeafId, elapsed: Duration) {
        let smoothing = self.settings.smoothing;
        let leaf_stats = self.end_call(leaf);
        let excess = elapsed.as_secs_f64() - leaf_stats.response_time;
        if leaf_stats.response_time > 0.0 && excess > 0.0 {
            leaf_stats.response_time += smoothing * excess;
        }
    }

    /// Drops the statistics of the leafs for which `keep` does not hold.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(LeafId) -> bool,
    {
        self.stats.retain(|leaf, _| keep(*leaf));
    }

    /// Returns the number of leafs with statistics.
    pub fn len(&self) -> usize {
        self.stats.len()
    }

    /// Returns whether no leaf has statistics.
    pub fn is_empty(&self) -> bool {
        self.stats.is_empty()
    }

    fn end_call(&mut self, leaf: LeafId) -> &mut LeafStats {
        let leaf_stats = self.stats.entry(leaf).or_default();
        leaf_stats.running = leaf_stats.running.saturating_sub(1);
        leaf_stats
    }

    /// Returns the degree to which a leaf is avoided (zero if it is not), and its expected response time.
    fn rank(&self, leaf: LeafId, now: Time) -> (u32, f64) {
        let leaf_stats = self.stats.get(&leaf).copied().unwrap_or_default();
        let cost = leaf_stats.response_time * f64::from(leaf_stats.running + 1);
        let avoidance = if now < leaf_stats.avoid_until {
            leaf_stats.late_calls.max(1)
        } else {
            0
        };
        (avoidance, cost)
    }
}
