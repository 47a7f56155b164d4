//! Settings of an engine.

use std::net::SocketAddr;

use monsoondeal_limit::IdempotencySettings;
use monsoondeal_member::{CellSettings, Member};
use monsoondeal_moves::WallClock;
use monsoondeal_route::{QuerySettings, ReplicaSelectorSettings};

/// `EngineSettings` configure an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the cell.
    pub cell: String,
    /// This node.
    pub me: Member,
    /// Peers to fetch the configuration from until a roster is known.
    pub seeds: Vec<SocketAddr>,
    /// Settings of membership: lease time, timeouts and heartbeats.
    pub membership: CellSettings,
    /// Limits of the tables of idempotency keys.
    pub idempotency: IdempotencySettings,
    /// Settings for the choice between the replicas of a group.
    pub replicas: ReplicaSelectorSettings,
    /// Settings of queries; the deadline is replaced by that of the request kind.
    pub query: QuerySettings,
    /// Maximum number of requests of callers in flight.
    pub max_inflight: usize,
    /// Offset to Unix time, for the deadlines of version moves.
    pub wall: WallClock,
    /// Seed of the random number generator.
    pub seed: u64,
}
