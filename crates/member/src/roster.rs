//! The roster of a cell, as it is stored in the platform's store.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use monsoondeal_core::{Epoch, NodeId, PlacementItem, Position};
use serde::{Deserialize, Serialize};

/// `Member` is a node of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the process.
    pub node: NodeId,
    /// Address that peers connect to.
    pub peer: SocketAddr,
    /// Address of the interface for operators.
    pub admin: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Name of its VM in the platform's list; empty if it is not known.
    #[serde(default)]
    pub vm: String,
    /// Position in the placement, unique in the cell.
    #[serde(default)]
    pub position: u32,
    /// Whether the platform's list has contained the VM. Only then does its absence mean that the VM ended.
    #[serde(default)]
    pub listed: bool,
}

/// `PreviousRoster` is the part of the previous epoch's roster that its placement follows from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousRoster {
    /// Members of the previous epoch.
    pub members: Vec<Member>,
    /// Leafs that needed a holder in the previous epoch.
    pub seats: Vec<PlacementItem>,
}

impl PreviousRoster {
    /// Returns the positions of the members.
    pub fn positions(&self) -> Vec<Position> {
        positions(&self.members)
    }
}

/// `Roster` lists the members of a cell and the leafs that they hold in one epoch. The placement
/// follows from it alone, so that all nodes that know an epoch agree on every holder.
///
/// Invariants: members are sorted by identity and seats are sorted, without duplicates. `previous` is
/// present as long as one of its nodes may still act on its leases; while it is, no further epoch is
/// written, so at most two epochs are ever in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of this roster.
    pub epoch: Epoch,
    /// Nodes that hold leases in this epoch.
    pub members: Vec<Member>,
    /// Leafs that need a holder.
    pub seats: Vec<PlacementItem>,
    /// The previous epoch, until its leases have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<PreviousRoster>,
}

impl Roster {
    /// Returns whether the node is a member.
    pub fn contains(&self, node: NodeId) -> bool {
        self.member(node).is_some()
    }

    /// Returns the member with an identity.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&node, |m| m.node).ok()?;
        self.members.get(at)
    }

    /// Returns the positions of the members.
    pub fn positions(&self) -> Vec<Position> {
        positions(&self.members)
    }

    /// Returns the roster of the next epoch with these members and seats. Members that stay keep their
    /// positions, and new ones take the lowest free ones.
    pub fn next(&self, mut members: Vec<Member>, mut seats: Vec<PlacementItem>) -> Self {
        members.sort_by_key(|m| m.node);
        members.dedup_by_key(|m| m.node);
        seats.sort_unstable();
        seats.dedup();
        let mut taken = BTreeSet::new();
        for member in &mut members {
            if let Some(known) = self.member(member.node) {
                member.position = known.position;
                taken.insert(known.position);
            }
        }
        for member in members.iter_mut().filter(|m| !self.contains(m.node)) {
            let free = (0..)
                .find(|number| !taken.contains(number))
                .unwrap_or_default();
            member.position = free;
            taken.insert(free);
        }
        let previous = PreviousRoster {
            members: self.members.clone(),
            seats: self.seats.clone(),
        };
        let previous = (!self.members.is_empty()).then_some(previous);
        Self {
            epoch: Epoch(self.epoch.0 + 1),
            members,
            seats,
            previous,
        }
    }

    /// Returns whether this is a later state of `other` in the same epoch: the previous epoch has ended, or
    /// more members have been seen in the platform's list.
    pub fn supersedes(&self, other: &Self) -> bool {
        let listed = |roster: &Self| roster.members.iter().filter(|m| m.listed).count();
        let (settled, was_settled) = (self.previous.is_none(), other.previous.is_none());
        self.epoch == other.epoch
            && (settled, listed(self)) != (was_settled, listed(other))
            && settled >= was_settled
            && listed(self) >= listed(other)
    }

    /// Returns the same roster with the previous epoch ended.
    pub fn settled(&self) -> Self {
        Self {
            previous: None,
            ..self.clone()
        }
    }
}

fn positions(members: &[Member]) -> Vec<Position> {
    members
        .iter()
        .map(|m| Position {
            number: m.position,
            node: m.node,
        })
        .collect()
}

/// Returns the smallest number of members such that any two sets of that size, of `count`, overlap.
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns the smallest number of members such that any set of that size overlaps every majority of `count`.
pub const fn blocking_quorum(count: usize) -> usize {
    count + 1 - majority(count)
}
