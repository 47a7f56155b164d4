//! Coordination parts of the query tier, for embedding.
//!
//! Each part is a state machine: inputs and the present [`Time`](core::Time) go in, decisions come
//! out. None does I/O, spawns a task or reads a clock. Times are microseconds on one process's
//! monotonic clock; spans are [`std::time::Duration`]s.
//!
//! - [`limit`]: the gate in front of a leaf, budgets for extra calls, at-most-once tables;
//! - [`route`]: placement of leases, choice between replicas, the life of a query;
//! - [`member`]: rosters, liveness and fenced leases;
//! - [`moves`]: version moves: evidence, the sequential test, the plan and its conduct;
//! - [`config`]: the tree of settings and the changes to it;
//! - [`engine`]: all of them together as one node.

pub use monsoondeal_config as config;
pub use monsoondeal_core as core;
pub use monsoondeal_engine as engine;
pub use monsoondeal_limit as limit;
pub use monsoondeal_member as member;
pub use monsoondeal_moves as moves;
pub use monsoondeal_route as route;
