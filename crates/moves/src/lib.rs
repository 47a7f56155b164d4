//! Moves of a service from one version to the next.
//!
//! The new version starts beside the old one with a small share of the traffic. Nodes count what
//! both do on each route ([`evidence`]); a test that may be looked at at any time ([`verdict`])
//! compares them; the [`plan`] steps the share up so that the move ends by a set time; and the
//! [`coordinator`] joins these: it finishes the move on schedule or takes it back, and never returns from
//! a reversal.
//!
//! Nothing here does I/O. One node of a cell conducts a move and grants the others their share for a
//! short span; each node also stops by itself on its own evidence ([`agent`]).

pub mod agent;
pub mod coordinator;
pub mod evidence;
pub mod histogram;
pub mod ledger;
pub mod plan;
pub mod record;
pub mod verdict;

pub use agent::{Grant, MoveAgent};
pub use coordinator::{CoordinatorState, MoveCoordinator, RollbackReason};
pub use evidence::{Evidence, Outcome, RequestCounts, RouteEvidence};
pub use histogram::LatencyHistogram;
pub use ledger::{
    Ledger, MoveLimits, OrderKey, Posting, PostingReply, RouteSamples, Ruling, Totals,
};
pub use plan::{Plan, Step};
pub use record::{MoveRecord, Progress, WallClock};
pub use verdict::{Detector, Fault, Verdict, VerdictSettings};
