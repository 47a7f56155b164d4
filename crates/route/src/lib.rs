//! Routing decisions: which node holds the lease on which leaf, which replica a call goes to, and
//! the life of one query over all groups of a partition map.
//!
//! All types are state machines without I/O.

pub mod delay;
pub mod place;
pub mod plan;
pub mod query;
pub mod replica;

pub use delay::{HedgeDelay, ResponseQuantile};
pub use place::{Placement, load_bound, place, seat, slot_of};
pub use plan::{Action, Answer, Env, Loss, Plan, PlanGroup, QuerySettings, Reply};
pub use query::Query;
pub use replica::{ReplicaSettings, Replicas};
