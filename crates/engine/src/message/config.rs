//! Configuration that nodes tell each other.

use monsoondeal_config::{ServiceMap, Tree};
use monsoondeal_core::{Epoch, TreeVersion};
use monsoondeal_member::Roster;
use monsoondeal_moves::{Evidence, MoveRecord};
use serde::{Deserialize, Serialize};

/// `ConfigVersions` tell how recent a node's configuration is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersions {
    /// Of the tree.
    #[serde(rename = "t")]
    pub tree: TreeVersion,
    /// Of the roster.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Whether the epoch before has ended.
    #[serde(rename = "s")]
    pub settled: bool,
    /// Sum of the store versions of all partition maps and version moves.
    #[serde(rename = "m")]
    pub maps: u64,
}

impl ConfigVersions {
    /// Returns whether `other` knows something that this one does not.
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
    /// The map.
    pub map: ServiceMap,
}

/// `StoredMove` is the record of a version move with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMove {
    /// Version in the store.
    pub revision: u64,
    /// The record.
    pub record: MoveRecord,
}

/// `ConfigState` is all configuration that a node has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The tree.
    pub tree: Option<Tree>,
    /// The roster of the cell.
    pub roster: Option<Roster>,
    /// Partition maps of the cell's services.
    pub maps: Vec<StoredMap>,
    /// Version moves of the cell's services.
    pub moves: Vec<StoredMove>,
}

/// `MoveReport` is what a node has counted since a version move began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The service.
    pub service: String,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// All counts so far.
    pub evidence: Evidence,
}
