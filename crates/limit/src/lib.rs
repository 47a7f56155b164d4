//! Limits on calls and requests: concurrency and queue of a leaf, cold start, retry and hedge
//! budgets, admission under overload, and the table that runs requests which are not idempotent at
//! most once.
//!
//! All types are state machines without I/O: they take inputs and the current time, and return
//! decisions.

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
