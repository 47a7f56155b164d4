//! Membership of a cell: its roster, the liveness of peers, and the leaf leases that follow from
//! both.
//!
//! A *cell* is the set of nodes that together serve some services. Its roster is one object in the
//! platform's store. The members run no consensus protocol among themselves; they exchange heartbeats,
//! each with the epoch of the roster that its sender knows.
//!
//! [`source`] is independent of cells: it selects the nodes that read the store, and those from which
//! the others receive its changes. [`store_contact`] bounds the time that this may cost a change.

pub mod cell;
pub mod roster;
pub mod source;
pub mod store_contact;

pub use cell::{CellSettings, CellView, Heartbeat, LeaseStatus};
pub use roster::{Member, PreviousRoster, Roster, blocking_quorum, majority};
pub use source::{FleetNode, SourceAction, SourceSelector, StoreRole, store_role};
pub use store_contact::{SourceTiming, StoreContact};
