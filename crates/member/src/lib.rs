//! Membership of a cell: its roster, the liveness of peers, and the leaf leases that follow from
//! both.
//!
//! A *cell* is the set of nodes that together serve some services. Its roster is one object in the
//! platform's store. The members keep no agreed state among themselves; what they exchange are
//! heartbeats that say which roster each of them knows.

pub mod cell;
pub mod roster;
pub mod source;

pub use cell::{CellSettings, CellView, Heartbeat, LeaseStatus};
pub use roster::{Member, PreviousRoster, Roster, blocking_quorum, majority};
pub use source::{FleetNode, SourceAction, SourceSelector, StoreRole, store_role};
