//! Configuration, its versions and counts of version moves, as exchanged between nodes.

use monsoondeal_config::{ServiceMap, Tree};
use monsoondeal_core::{Epoch, TreeVersion};
use monsoondeal_member::Roster;
use monsoondeal_moves::{Evidence, MoveRecord};
use serde::{Deserialize, Serialize};

/// `ConfigVersions` are the versions of a node's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersions {
    /// Version of the tree.
    #[serde(rename = "t")]
    pub tree: TreeVersion,
    /// Epoch of the roster.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Whether the previous epoch has ended: the roster no longer contains its predecessor.
    #[serde(rename = "s")]
    pub settled: bool,
    /// Sum of the store versions of all partition maps and version moves.
    #[serde(rename = "m")]
    pub maps: u64,
}

impl ConfigVersions {
    /// Returns whether any version of `other` is later.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.tree < other.tree
            || (self.epoch, self.settled) < (other.epoch, other.settled)
            || self.maps < other.maps
    }
}

/// `StoredMap` is a partition map with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMap {
    /// Version in the store.
    pub revision: u64,
    /// Partition map.
    pub map: ServiceMap,
}

/// `StoredMove` is the record of a version move with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMove {
    /// Version in the store.
    pub revision: u64,
    /// Record of the move.
    pub record: MoveRecord,
}

/// `ConfigState` is the configuration of a node, or an update of parts of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Tree, if known or updated.
    pub tree: Option<Tree>,
    /// Roster of the cell, if known or updated.
    pub roster: Option<Roster>,
    /// Partition maps of the cell's services.
    pub maps: Vec<StoredMap>,
    /// Version moves of the cell's services.
    pub moves: Vec<StoredMove>,
}

/// `MoveReport` contains a node's counts since the start of a version move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Service of the move.
    pub service: String,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// All counts of the node since the start of the move.
    pub evidence: Evidence,
}
