//! Limits in front of leafs and callers: slots, cold-start allowance, retry and hedge budgets,
//! and the table that makes non-repeatable requests run at most once.
//!
//! All types are state machines without I/O: inputs and the present time go in, decisions come
//! out.

pub mod admission;
pub mod budget;
pub mod gate;
pub mod once;

pub use admission::Admission;
pub use budget::Budget;
pub use gate::{Cancelled, Decision, Gate, GateSettings, Offer, Verdict};
pub use once::{Handover, Once, OnceSettings, Record, Seen};
