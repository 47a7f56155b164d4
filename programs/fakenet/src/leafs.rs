//! Fake leafs that count the calls that violate their limits.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_config::LeafSpec;
use monsoondeal_core::{IndexVersion, LeafId, Snapshot, Time};
use monsoondeal_engine::io::{LeafCall, LeafOutcome};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};

/// How a leaf behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeafMode {
    /// Runs the call and answers.
    #[default]
    Healthy,
    /// Runs the call and answers with an error.
    Failing,
    /// Runs the call and closes the connection without an answer.
    Losing,
    /// Rejects the call without running it.
    Shedding,
    /// Accepts no connections.
    Unreachable,
    /// Runs the call and answers with the stamp of another index version.
    WrongStamp,
}

#[derive(Debug, Default)]
struct Leaf {
    group: u32,
    snapshot: Snapshot,
    mode: LeafMode,
    /// Calls in flight by node.
    running: BTreeMap<usize, u32>,
    /// Calls left until the leaf is warm.
    cold_calls: u32,
    calls: u64,
    last_start: Time,
    /// Failure domain.
    domain: String,
    /// Factor on the service time; zero means unset, as one does.
    time_factor: f64,
    /// Share of calls that end with an error.
    fail_share: f64,
    /// Replaces the random service time, if set.
    fixed_time: Option<Duration>,
}

/// `Leafs` are all leafs of a simulated network.
#[derive(Debug)]
pub struct Leafs {
    leafs: BTreeMap<LeafId, Leaf>,
    rng: SmallRng,
    /// Number of calls that a leaf can run at a time.
    slots: u32,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Median service time of all leafs.
    pub service_time: Duration,
    /// Share of calls whose service time is 10 times as long.
    pub slow_share: f64,
    /// Calls that began while another node had a call in flight at the same leaf.
    pub node_overlaps: u64,
    /// Calls that began while all slots of the leaf were taken.
    pub over_slots: u64,
    /// Calls that began at a cold leaf while another call was in flight there.
    pub over_cold: u64,
    /// Number of runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
}

impl Leafs {
    /// Creates a set without leafs.
    pub fn new(seed: u64, slots: u32) -> Self {
        Self {
            leafs: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x1eaf),
            slots,
            sigma: 0.4,
            service_time: Duration::from_millis(2),
            slow_share: 0.0,
            node_overlaps: 0,
            over_slots: 0,
            over_cold: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Adds a leaf, or sets the group, snapshot and failure domain of a known one.
    pub fn add(&mut self, spec: &LeafSpec, group: u32, snapshot: Snapshot) {
        let leaf = self.leafs.entry(spec.leaf).or_default();
        leaf.domain.clone_from(&spec.domain);
        leaf.group = group;
        leaf.snapshot = snapshot;
    }

    /// Returns the identities of all leafs.
    pub fn ids(&self) -> Vec<LeafId> {
        self.leafs.keys().copied().collect()
    }

    /// Sets how a leaf behaves.
    pub fn set_mode(&mut self, leaf: LeafId, mode: LeafMode) {
        if let Some(leaf) = self.leafs.get_mut(&leaf) {
            leaf.mode = mode;
        }
    }

    /// Sets a fixed service time for a leaf.
    pub fn set_service_time(&mut self, leaf: LeafId, service_time: Duration) {
        if let Some(leaf) = self.leafs.get_mut(&leaf) {
            leaf.fixed_time = Some(service_time);
        }
    }

    /// Sets the share of a leaf's calls that run and end with an error.
    pub fn set_fail_share(&mut self, leaf: LeafId, share: f64) {
        if let Some(leaf) = self.leafs.get_mut(&leaf) {
            leaf.fail_share = share;
        }
    }

    /// Multiplies the service times of a leaf by a factor.
    pub fn set_time_factor(&mut self, leaf: LeafId, factor: f64) {
        if let Some(leaf) = self.leafs.get_mut(&leaf) {
            leaf.time_factor = factor;
        }
    }

    /// Marks the leafs of a failure domain as cold for the next `calls` calls of each.
    pub fn mark_domain_cold(&mut self, domain: &str, calls: u32) {
        let leafs = self.leafs.values_mut().filter(|leaf| leaf.domain == domain);
        leafs.for_each(|leaf| leaf.cold_calls = calls);
    }

    /// Marks all leafs as cold for the next `calls` calls of each.
    pub fn mark_all_cold(&mut self, calls: u32) {
        self.leafs
            .values_mut()
            .for_each(|leaf| leaf.cold_calls = calls);
    }

    /// Returns the number of calls that a leaf has run.
    pub fn calls(&self, leaf: LeafId) -> u64 {
        self.leafs.get(&leaf).map_or(0, |l| l.calls)
    }

    /// Returns the time at which a leaf last began to run a call.
    pub fn last_start(&self, leaf: LeafId) -> Time {
        self.leafs
            .get(&leaf)
            .map(|l| l.last_start)
            .unwrap_or_default()
    }

    /// Begins a call and returns its duration and outcome.
    pub fn begin_call(
        &mut self,
        node: usize,
        call: &LeafCall,
        now: Time,
    ) -> (Duration, LeafOutcome) {
        let factor = LogNormal::new(0.0, self.sigma).map_or(1.0, |d| d.sample(&mut self.rng));
        let service_time = self.service_time.mul_f64(factor);
        let slow = self.rng.random_bool(self.slow_share);
        let Some(leaf) = self.leafs.get_mut(&call.leaf) else {
            return (Duration::ZERO, LeafOutcome::NoConnection);
        };
        *leaf.running.entry(node).or_default() += 1;
        match leaf.mode {
            LeafMode::Unreachable => return (Duration::from_millis(1), LeafOutcome::NoConnection),
            LeafMode::Shedding => return (Duration::from_micros(200), LeafOutcome::Shed),
            _ if call.snapshot != leaf.snapshot => {
                return (Duration::from_micros(200), LeafOutcome::Mismatch);
            }
            _ => {}
        }

        leaf.calls += 1;
        leaf.last_start = now;
        let total: u32 = leaf.running.values().sum();
        let others = leaf
            .running
            .iter()
            .any(|(other, count)| *other != node && *count > 0);
        self.node_overlaps += u64::from(others);
        self.over_slots += u64::from(total > self.slots);
        self.over_cold += u64::from(leaf.cold_calls > 0 && total > 1);
        leaf.cold_calls = leaf.cold_calls.saturating_sub(1);
        if let Some(key) = &call.key {
            *self.runs.entry(key.clone()).or_default() += 1;
        }
        let duration = leaf.fixed_time.unwrap_or(if slow {
            service_time * 10
        } else {
            service_time
        });
        let duration = if leaf.time_factor > 0.0 {
            duration.mul_f64(leaf.time_factor)
        } else {
            duration
        };
        let mut stamp = leaf.snapshot;
        if leaf.mode == LeafMode::WrongStamp {
            stamp.index = IndexVersion(stamp.index.0 + 7);
        }
        let fails = leaf.fail_share > 0.0 && self.rng.random_bool(leaf.fail_share);
        let outcome = match leaf.mode {
            _ if fails => LeafOutcome::Failed,
            LeafMode::Failing => LeafOutcome::Failed,
            LeafMode::Losing => LeafOutcome::Broken,
            _ => LeafOutcome::Data {
                stamp,
                body: answer_body(leaf.group, stamp, &call.body),
            },
        };
        (duration, outcome)
    }

    /// Ends a call of a node.
    pub fn end_call(&mut self, node: usize, leaf: LeafId) {
        if let Some(count) = self
            .leafs
            .get_mut(&leaf)
            .and_then(|l| l.running.get_mut(&node))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Drops the calls of a killed node, whose connections are closed.
    pub fn forget_node(&mut self, node: usize) {
        self.leafs.values_mut().for_each(|leaf| {
            leaf.running.remove(&node);
        });
    }
}

/// Returns the body of an answer, which names the group and the stamp and echoes the request.
fn answer_body(group: u32, stamp: Snapshot, body: &Bytes) -> Bytes {
    let echo = String::from_utf8_lossy(body);
    Bytes::from(format!("[{group},{},{},{echo}]", stamp.index, stamp.map))
}
