//! Seats of leafs in the placement.

use serde::{Deserialize, Serialize};

use crate::ids::LeafId;

/// `LeafSeat` is a leaf that needs a node to hold its lease. Serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(LeafId, u64)", into = "(LeafId, u64)")]
pub struct LeafSeat {
    /// The leaf.
    pub leaf: LeafId,
    /// Hash of its service and group; replicas of a group get different holders where possible.
    pub group: u64,
}

impl From<(LeafId, u64)> for LeafSeat {
    fn from((leaf, group): (LeafId, u64)) -> Self {
        Self { leaf, group }
    }
}

impl From<LeafSeat> for (LeafId, u64) {
    fn from(seat: LeafSeat) -> Self {
        (seat.leaf, seat.group)
    }
}
