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
    /// Failure domain that the leaf runs in.
    pub domain: String,
}

/// `NextVersion` is a version of a service that runs beside the current one, with leafs of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextVersion {
    /// Snapshot that queries to this version are pinned to.
    pub snapshot: Snapshot,
    /// Replicas of each group.
    pub groups: Vec<Vec<LeafSpec>>,
}

/// `ServiceMap` is the partition map of one service, an object of its own in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMap {
    /// Service that the map belongs to.
    pub service: String,
    /// Snapshot that queries under this map are pinned to.
    pub snapshot: Snapshot,
    /// Replicas of each group; the position is the group's number.
    pub groups: Vec<Vec<LeafSpec>>,
    /// Version that a version move may shift traffic to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextVersion>,
}

impl ServiceMap {
    /// Returns the version of the partition map.
    pub fn version(&self) -> MapVersion {
        self.snapshot.map
    }

    /// Iterates over all leafs with their group number, including those of the next version.
    pub fn leafs(&self) -> impl Iterator<Item = (u32, &LeafSpec)> {
        let next = self
            .next
            .iter()
            .flat_map(|next| next.groups.iter().enumerate());
        let groups = self.groups.iter().enumerate().chain(next);
        groups.flat_map(|(group, leafs)| leafs.iter().map(move |leaf| (group as u32, leaf)))
    }

    /// Checks the invariants: there is at least one group, and no leaf is listed twice.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn check(&self) -> Result<(), Findings> {
        let source = format!("map of service '{}'", self.service);
        let mut findings = Findings::default();
        if self.groups.is_empty() {
            findings
                .0
                .extend(Findings::single(&source, "the map has no group").0);
        }
        let mut seen = HashSet::new();
        for (group, leaf) in self.leafs() {
            if !seen.insert(leaf.leaf) {
                let text = format!("group {group}: leaf {} is listed twice", leaf.leaf);
                findings.0.extend(Findings::single(&source, text).0);
            }
        }
        findings.into_result(())
    }
}
