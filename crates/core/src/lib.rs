//! Types that all crates of the query tier share: identities, time, snapshots, coverage, request
//! kinds, outcomes and findings on input.
//!
//! Nothing here does I/O. Every other crate builds on these types, so they stay small.

pub mod finding;
pub mod ids;
pub mod kind;
pub mod map;
pub mod outcome;
pub mod placement;
pub mod revision;
pub mod snapshot;
pub mod time;

pub use finding::{Finding, Findings, SourceLocation};
pub use ids::{CallId, Epoch, IndexVersion, LeafId, MapVersion, NodeId, TreeVersion};
pub use kind::{Priority, RequestKind};
pub use map::DeterministicMap;
pub use outcome::{Refusal, UnknownReason};
pub use placement::{PlacementItem, Position};
pub use revision::Revision;
pub use snapshot::{Coverage, Snapshot};
pub use time::{Clock, Time};
