//! Partition maps.

use std::collections::HashSet;
use std::net::SocketAddr;

use monsoondeal_core::{Findings, LeafId, MapVersion, Snapshot};
use serde::{Deserialize, Serialize};

/// `LeafSpec` is one replica of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafSpec {
    /// Identity, unique across services.
    pub leaf: LeafId,
    /// Address of the leaf.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
}

/// `ServiceMap` is the partition map of one service, an object of its own in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMap {
    /// Service that it belongs to.
    pub service: String,
    /// What queries are pinned to under this map.
    pub snapshot: Snapshot,
    /// Replicas of each group; the position is the group's number.
    pub groups: Vec<Vec<LeafSpec>>,
}

impl ServiceMap {
    /// Returns the version of the partition map.
    pub fn version(&self) -> MapVersion {
        self.snapshot.map
    }

    /// Iterates over all leafs with their group.
    pub fn leafs(&self) -> impl Iterator<Item = (u32, &LeafSpec)> {
        let groups = self.groups.iter().enumerate();
        groups.flat_map(|(group, leafs)| leafs.iter().map(move |leaf| (group as u32, leaf)))
    }

    /// Checks the invariants: at least one group, and each leaf in one place only.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn check(&self) -> Result<(), Findings> {
        let source = format!("map of service '{}'", self.service);
        let mut findings = Findings::default();
        if self.groups.is_empty() {
            findings.0.extend(Findings::single(&source, "no group").0);
        }
        let mut seen = HashSet::new();
        for (group, leaf) in self.leafs() {
            if !seen.insert(leaf.leaf) {
                let text = format!("group {group}: leaf {} stands twice", leaf.leaf);
                findings.0.extend(Findings::single(&source, text).0);
            }
        }
        findings.or_ok(())
    }
}
