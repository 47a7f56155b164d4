//! Routing decisions: which node holds the lease on which leaf, which replica a call goes to, and
//! the state machine of a query over all groups of a partition map.
//!
//! All types are state machines without I/O.

pub mod delay;
pub mod placement;
pub mod plan;
pub mod query;
pub mod replica;

pub use delay::{HedgeDelay, ResponseQuantile};
pub use placement::{Placement, hash_slot, load_bound, place, placement_item};
pub use plan::{Action, Answer, LossReason, Plan, PlanGroup, QueryContext, QuerySettings, Reply};
pub use query::Query;
pub use replica::{ReplicaSelector, ReplicaSelectorSettings};
