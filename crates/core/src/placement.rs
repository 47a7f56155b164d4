//! Inputs of the placement of leases on nodes.

use serde::{Deserialize, Serialize};

use crate::ids::{LeafId, NodeId};

/// `PlacementItem` is a leaf, or a bucket of idempotency keys, whose lease is to be placed on a node.
/// Serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(LeafId, u64)", into = "(LeafId, u64)")]
pub struct PlacementItem {
    /// The leaf.
    pub leaf: LeafId,
    /// Hash of the leaf's service and group; replicas of a group get different holders where possible.
    pub group: u64,
}

impl From<(LeafId, u64)> for PlacementItem {
    fn from((leaf, group): (LeafId, u64)) -> Self {
        Self { leaf, group }
    }
}

impl From<PlacementItem> for (LeafId, u64) {
    fn from(item: PlacementItem) -> Self {
        (item.leaf, item.group)
    }
}

/// `Position` is a numbered position in a cell and the node that occupies it. Placement depends on
/// the number, not on the node, so a node that replaces another at its position gets the same leafs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number within the cell.
    pub number: u32,
    /// The node.
    pub node: NodeId,
}
