//! What a placement is computed from.

use serde::{Deserialize, Serialize};

use crate::ids::{LeafId, NodeId};

/// `PlacementItem` is a leaf that needs a node to hold its lease. Serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(LeafId, u64)", into = "(LeafId, u64)")]
pub struct PlacementItem {
    /// The leaf.
    pub leaf: LeafId,
    /// Hash of its service and group; replicas of a group get different holders where possible.
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

/// `Position` is a place in a cell and the node that has it. Placement depends on the number, so a
/// node that takes the position of another gets exactly its leafs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number within the cell.
    pub number: u32,
    /// The node.
    pub node: NodeId,
}
