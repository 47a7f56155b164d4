//! Membership of a cell: its roster, the liveness of peers, and the leaf leases that follow from
//! both.
//!
//! A *cell* is the set of nodes that together serve some services. Its roster is one object in the
//! platform's store. The members keep no agreed state among themselves; what they exchange are
//! heartbeats that say which roster each of them knows.

pub mod cell;
pub mod follow;
pub mod roster;

pub use cell::{Cell, CellSettings, Heartbeat, Lease};
pub use follow::{FleetNode, Follow, Role, Step, role};
pub use roster::{Member, Previous, Roster, blocking, majority};
