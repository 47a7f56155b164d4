//! Moves of a service from one version to the next.
//!
//! The new version starts beside the old one with a small share of the traffic. Nodes count what
//! both do on each route ([`evidence`]); a test that may be looked at at any time ([`verdict`])
//! compares them; the [`plan`] steps the share up so that the move ends by a set time; and the
//! [`conduct`] joins these: it finishes the move on schedule or takes it back, and never returns from
//! a reversal.
//!
//! Nothing here does I/O. One node of a cell conducts a move and grants the others their share for a
//! short span; each node also stops by itself on its own evidence ([`guard`]).

pub mod conduct;
pub mod evidence;
pub mod guard;
pub mod ledger;
pub mod plan;
pub mod record;
pub mod times;
pub mod verdict;

pub use conduct::{Conduct, Reversal, State};
pub use evidence::{Evidence, Outcome, RouteEvidence, Tally};
pub use guard::{Grant, Guard};
pub use ledger::{Ledger, OrderKey, Posted, Posting, Ruling, Samples, Terms, Totals};
pub use plan::{Plan, Step};
pub use record::{MoveRecord, Progress, WallClock};
pub use times::Times;
pub use verdict::{Detector, Fault, Verdict, VerdictSettings};
