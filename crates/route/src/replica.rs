//! What a node knows of each leaf from its own calls, and the choice between replicas.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, LeafId, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Late calls in a row after which a leaf is avoided; fewer may be chance.
const AVOID_AFTER: u32 = 3;

/// `ReplicaSelectorSettings` tune the choice between replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSelectorSettings {
    /// Weight of the newest answer in the smoothed response time.
    pub smoothing: f64,
    /// How long a refusing or failing leaf is avoided, and a late one at first.
    pub penalty: Duration,
    /// Longest time that a leaf is avoided for being late again and again.
    pub max_penalty: Duration,
    /// Replicas count as alike whose expected response times differ by less than this factor.
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

/// What is known of one leaf.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Smoothed response time in seconds; zero until the first answer.
    response: f64,
    /// Calls of this node under way.
    running: u32,
    /// Avoided until then.
    avoid_until: Time,
    /// Late calls since the last one in time.
    late: u32,
}

/// `ReplicaSelector` chooses between the leafs of a group.
#[derive(Debug)]
pub struct ReplicaSelector {
    settings: ReplicaSelectorSettings,
    records: DeterministicMap<LeafId, Record>,
    /// Drives exploration and ties; seeded, so that a run can be repeated.
    rng: SmallRng,
}

impl ReplicaSelector {
    /// Creates an empty record set. `seed` drives exploration and ties.
    pub fn new(settings: ReplicaSelectorSettings, seed: u64) -> Self {
        Self {
            settings,
            records: DeterministicMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the index of the replica to call, leaving out those for which `skip` holds.
    pub fn pick<F>(&mut self, leafs: &[LeafId], now: Time, skip: F) -> Option<usize>
    where
        F: Fn(usize) -> bool,
    {
        let explore = self.rng.random_bool(self.settings.explore);
        let mut best: Option<(usize, u32, f64)> = None;
        let mut even = 0;
        for at in (0..leafs.len()).filter(|&at| !skip(at)) {
            let (level, cost) = self.cost(leafs[at], now);
            let Some((_, best_level, best_cost)) = best else {
                best = Some((at, level, cost));
                even = 1;
                continue;
            };
            // Alike replicas share the load, so that all of them stay warm.
            let alike = cost.max(best_cost) <= cost.min(best_cost) * self.settings.tie_factor;
            let better = if level != best_level {
                level < best_level
            } else if alike {
                even += 1;
                self.rng.random_ratio(1, even)
            } else {
                (cost < best_cost) != explore
            };
            if better {
                best = Some((at, level, cost));
            }
        }
        best.map(|(at, ..)| at)
    }

    /// Returns whether a leaf is avoided at present.
    pub fn is_avoided(&self, leaf: LeafId, now: Time) -> bool {
        self.cost(leaf, now).0 > 0
    }

    /// Notes a call sent to a leaf.
    pub fn sent(&mut self, leaf: LeafId) {
        self.records.entry(leaf).or_default().running += 1;
    }

    /// Notes an answer and its response time.
    pub fn answered(&mut self, leaf: LeafId, response: Duration) {
        let smoothing = self.settings.smoothing;
        let record = self.ended(leaf);
        let seconds = response.as_secs_f64();
        record.late = 0;
        if record.response == 0.0 {
            record.response = seconds;
        } else {
            record.response += smoothing * (seconds - record.response);
        }
    }

    /// Notes a call that is late. A leaf that is late again and again is avoided, for longer each time.
    pub fn late(&mut self, leaf: LeafId, now: Time) {
        let ReplicaSelectorSettings {
            penalty,
            max_penalty,
            ..
        } = self.settings;
        let record = self.records.entry(leaf).or_default();
        record.late += 1;
        if record.late >= AVOID_AFTER {
            let doublings = (record.late - AVOID_AFTER).min(16);
            record.avoid_until = now + (penalty * 2_u32.pow(doublings)).min(max_penalty);
        }
    }

    /// Notes a refused or failed call: the leaf is avoided for a while.
    pub fn failed(&mut self, leaf: LeafId, now: Time) {
        let penalty = self.settings.penalty;
        self.ended(leaf).avoid_until = now + penalty;
    }

    /// Notes a call that ended without telling anything of the leaf, such as a cancelled one that
    /// had been under way for `elapsed`. The elapsed time is a lower bound of the response time.
    pub fn abandoned(&mut self, leaf: LeafId, elapsed: Duration) {
        let smoothing = self.settings.smoothing;
        let record = self.ended(leaf);
        let excess = elapsed.as_secs_f64() - record.response;
        if record.response > 0.0 && excess > 0.0 {
            record.response += smoothing * excess;
        }
    }

    /// Forgets the leafs for which `keep` does not hold.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(LeafId) -> bool,
    {
        self.records.retain(|leaf, _| keep(*leaf));
    }

    /// Returns the number of leafs known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no leaf is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn ended(&mut self, leaf: LeafId) -> &mut Record {
        let record = self.records.entry(leaf).or_default();
        record.running = record.running.saturating_sub(1);
        record
    }

    /// Returns how much a leaf is to be avoided, zero for not at all, and the response time to expect.
    fn cost(&self, leaf: LeafId, now: Time) -> (u32, f64) {
        let record = self.records.get(&leaf).copied().unwrap_or_default();
        let cost = record.response * f64::from(record.running + 1);
        let level = if now < record.avoid_until {
            record.late.max(1)
        } else {
            0
        };
        (level, cost)
    }
}
