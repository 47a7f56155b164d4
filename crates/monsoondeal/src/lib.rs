//! The state machines of the query tier, for embedding in other programs.
//!
//! Each state machine takes inputs and the current [`Time`](core::Time), and returns decisions. None does
//! I/O, spawns a task or reads a clock. Times are microseconds on the monotonic clock of one process;
//! durations are [`std::time::Duration`]s.
//!
//! - [`limit`]: concurrency limiter of a leaf, retry and hedge budgets, idempotency tables;
//! - [`route`]: placement of leases, selection of replicas, the state machine of a query;
//! - [`member`]: rosters, liveness of peers and fenced leases;
//! - [`moves`]: version moves: evidence, the sequential test, the plan and the coordinator;
//! - [`config`]: the tree of settings and changes to it;
//! - [`engine`]: a node, which combines all of them.

pub use monsoondeal_config as config;
pub use monsoondeal_core as core;
pub use monsoondeal_engine as engine;
pub use monsoondeal_limit as limit;
pub use monsoondeal_member as member;
pub use monsoondeal_moves as moves;
pub use monsoondeal_route as route;
