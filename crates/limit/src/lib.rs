//! Limits in front of leafs and callers: slots, cold-start allowance, retry and hedge budgets,
//! and the table that makes non-repeatable requests run at most once.
//!
//! All types are state machines without I/O: inputs and the present time go in, decisions come
//! out.

pub mod admission;
pub mod budget;
pub mod idempotency;
pub mod leaf_limiter;

pub use admission::Admission;
pub use budget::Budget;
pub use idempotency::{IdempotencySettings, IdempotencyTable, KeyRecord, KeyState, TableHandover};
pub use leaf_limiter::{
    CallFeedback, CancelOutcome, Decision, LeafLimiter, LeafLimiterSettings, Offer,
};
