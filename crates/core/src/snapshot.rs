//! Snapshots and coverage.

use serde::{Deserialize, Serialize};

use crate::ids::{IndexVersion, MapVersion};

/// `Snapshot` is one version of the data under one partition map. Each query is pinned to one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the data.
    pub index: IndexVersion,
    /// Version of the partition map.
    pub map: MapVersion,
}

/// `Coverage` counts the groups whose answer is part of the result.
///
/// Invariant: `answered <= total`, and `total` counts every group of the snapshot's partition map,
/// lost groups included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Groups answered from the snapshot.
    pub answered: u32,
    /// Groups of the partition map.
    pub total: u32,
}

impl Coverage {
    /// Returns whether every group is part of the result.
    pub const fn is_full(self) -> bool {
        self.answered == self.total
    }
}
