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
    /// Peers to ask for the configuration until a roster is known.
    pub seeds: Vec<SocketAddr>,
    /// Spans of membership.
    pub membership: CellSettings,
    /// Bounds of the tables of idempotency keys.
    pub idempotency: IdempotencySettings,
    /// Choice between replicas.
    pub replicas: ReplicaSelectorSettings,
    /// Bounds of queries; the deadline comes from the request kind.
    pub query: QuerySettings,
    /// Most requests of callers under way.
    pub inflight: usize,
    /// Unix time, for the set times of version moves.
    pub wall: WallClock,
    /// Seed of random choices.
    pub seed: u64,
}
