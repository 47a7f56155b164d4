//! What a network is shaped by.

use std::time::Duration;

use monsoondeal_limit::IdempotencySettings;
use monsoondeal_member::CellSettings;
use monsoondeal_route::{QuerySettings, ReplicaSelectorSettings};

/// `Options` shape a network.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of everything random.
    pub seed: u64,
    /// Nodes at the start.
    pub nodes: usize,
    /// Groups of the partition map, of two leafs each.
    pub groups: usize,
    /// Spans of membership.
    pub membership: CellSettings,
    /// Bounds of the tables of idempotency keys.
    pub idempotency: IdempotencySettings,
    /// Most requests of callers under way at a node.
    pub inflight: usize,
    /// Choice between replicas.
    pub replicas: ReplicaSelectorSettings,
    /// Bounds of queries.
    pub query: QuerySettings,
    /// Least and largest delay of a message between nodes, in microseconds.
    pub hop_micros: (u64, u64),
    /// Calls that a leaf bears.
    pub slots: u32,
    /// Whether messages go through the codec, and their bytes are counted.
    pub codec: bool,
    /// A node that holds its leases for longer than the others allow for.
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
            inflight: 10_000,
            replicas: ReplicaSelectorSettings::default(),
            query: QuerySettings::default(),
            hop_micros: (200, 1_500),
            slots: 2,
            codec: true,
            lease_override: None,
        }
    }
}
