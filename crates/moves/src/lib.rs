//! Moves of a service from one version to the next.
//!
//! The new version starts beside the old one with a small share of the traffic. Nodes count the outcomes of
//! both on each route ([`evidence`]); a sequential test ([`verdict`]) compares them; the [`plan`] raises the
//! share in steps so that the move ends by its deadline; and the [`coordinator`] joins these: it completes
//! the move on schedule or rolls it back, and a rollback is final.
//!
//! Nothing here does I/O. One node of a cell coordinates a move and grants the others their share for a
//! short time; each node also stops the new version by itself on its own evidence ([`agent`]). Nodes without
//! a coordinator share a record in the store instead ([`ledger`]).

pub mod agent;
pub mod coordinator;
pub mod evidence;
pub mod histogram;
pub mod ledger;
pub mod order;
pub mod plan;
pub mod record;
pub mod verdict;

pub use agent::{Grant, MoveAgent};
pub use coordinator::{CoordinatorState, MoveCoordinator, RollbackReason};
pub use evidence::{Evidence, Outcome, RequestCounts, RouteEvidence};
pub use histogram::LatencyHistogram;
pub use ledger::{
    Ledger, MoveLimits, OrderKey, Posting, PostingHistory, PostingReply, RecordedPosting,
    RouteSamples, Ruling, Totals,
};
pub use order::OrderId;
pub use plan::{Plan, Step};
pub use record::{MoveRecord, Progress, WallClock};
pub use verdict::{Detector, Fault, Verdict, VerdictSettings};
