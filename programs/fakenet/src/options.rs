//! Options of a simulated network.

use std::time::Duration;

use monsoondeal_limit::IdempotencySettings;
use monsoondeal_member::CellSettings;
use monsoondeal_route::{QuerySettings, ReplicaSelectorSettings};

/// `Options` are the options of a simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all random draws.
    pub seed: u64,
    /// Nodes at the start.
    pub nodes: usize,
    /// Number of groups in the partition map, with two leafs each.
    pub groups: usize,
    /// Leases and heartbeats of the cell.
    pub membership: CellSettings,
    /// Limits of the tables of idempotency keys.
    pub idempotency: IdempotencySettings,
    /// Maximum number of callers' requests in flight at a node.
    pub max_inflight: usize,
    /// Selection of a replica for each call.
    pub replicas: ReplicaSelectorSettings,
    /// Limits of queries: hedging, retries and timeouts.
    pub query: QuerySettings,
    /// Minimum (inclusive) and maximum (exclusive) delay of a message between nodes, in microseconds.
    pub hop_micros: (u64, u64),
    /// Number of calls that a leaf can run at a time.
    pub slots: u32,
    /// Whether messages between nodes are encoded and decoded; only then are their bytes counted.
    pub codec: bool,
    /// Position of a node and its own lease duration, which the other nodes don't know of.
    pub lease_override: Option<(usize, Duration)>,
}

impl Default for Options {
    fn default() -> Self {
        let membership = CellSettings {
            lease_duration: Duration::from_millis(2_000),
            max_call_duration: Duration::from_millis(1_000),
            peer_timeout: Duration::from_millis(2_000),
            heartbeat_interval: Duration::from_millis(500),
        };
        Self {
            seed: 1,
            nodes: 6,
            groups: 8,
            membership,
            idempotency: IdempotencySettings::default(),
            max_inflight: 10_000,
            replicas: ReplicaSelectorSettings::default(),
            query: QuerySettings::default(),
            hop_micros: (200, 1_500),
            slots: 2,
            codec: true,
            lease_override: None,
        }
    }
}
