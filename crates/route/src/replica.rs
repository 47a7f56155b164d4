//! What a node knows of each leaf from its own calls, and the choice between replicas.

use std::time::Duration;

use monsoondeal_core::{FixedMap, LeafId, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// `ReplicaSettings` tune the choice between replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// Weight of the newest answer in the smoothed response time.
    pub smoothing: f64,
    /// How long a refusing or failing leaf is avoided.
    pub penalty: Duration,
    /// Share of choices that go to the slower replica, so that a recovered leaf is noticed.
    pub explore: f64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            smoothing: 0.2,
            penalty: Duration::from_millis(250),
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
}

/// `Replicas` chooses between the leafs of a group.
#[derive(Debug)]
pub struct Replicas {
    settings: ReplicaSettings,
    records: FixedMap<LeafId, Record>,
    /// Drives exploration and ties; seeded, so that a run can be repeated.
    rng: SmallRng,
}

impl Replicas {
    /// Creates an empty record set. `seed` drives exploration and ties.
    pub fn new(settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            settings,
            records: FixedMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the index of the replica to call, leaving out those for which `skip` holds.
    pub fn pick<F>(&mut self, leafs: &[LeafId], now: Time, skip: F) -> Option<usize>
    where
        F: Fn(usize) -> bool,
    {
        let explore = self.rng.random_bool(self.settings.explore);
        let flip = self.rng.random::<bool>();
        let candidates = (0..leafs.len()).filter(|&i| !skip(i));
        candidates.min_by(|&a, &b| {
            let (avoid_a, cost_a) = self.cost(leafs[a], now, explore);
            let (avoid_b, cost_b) = self.cost(leafs[b], now, explore);
            let order = avoid_a.cmp(&avoid_b).then(cost_a.total_cmp(&cost_b));
            order.then(if flip { b.cmp(&a) } else { a.cmp(&b) })
        })
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
        if record.response == 0.0 {
            record.response = seconds;
        } else {
            record.response += smoothing * (seconds - record.response);
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

    fn cost(&self, leaf: LeafId, now: Time, explore: bool) -> (bool, f64) {
        let record = self.records.get(&leaf).copied().unwrap_or_default();
        let cost = record.response * f64::from(record.running + 1);
        (now < record.avoid_until, if explore { -cost } else { cost })
    }
}
