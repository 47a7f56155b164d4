//! Placement of leaf leases on the nodes of a cell.
//!
//! Every node computes the same placement from the same roster and leaf list; nothing is stored.
//! Each pair of position and leaf has a hash score, as in rendezvous hashing. Pairs are taken in order
//! of score until every leaf has a holder; a node that is full, or that already holds a replica of
//! the leaf's group, is skipped. A leaf that every node skips goes to the least loaded one. The load
//! bound keeps a node within [`LOAD_FACTOR`] times the mean, and since the scores are fixed, few leases
//! move when the roster changes.

use std::collections::HashSet;

use monsoondeal_core::{DeterministicMap, LeafId, NodeId, PlacementItem, Position};
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Largest load of a node as a multiple of the mean, where the mean is at least 4 leafs.
pub const LOAD_FACTOR: f64 = 1.25;
/// Secrets of the hashes. Part of the protocol: all nodes must use the same.
const HASH_SECRETS: RapidSecrets = RapidSecrets::seed(0x6d6f_6e73_6f6f_6e01);

/// Returns the placement item of a leaf in a group of a service.
pub fn placement_item(leaf: LeafId, service: &str, group: u32) -> PlacementItem {
    let mut bytes = service.as_bytes().to_vec();
    bytes.extend(group.to_le_bytes());
    PlacementItem {
        leaf,
        group: rapidhash_v3_seeded(&bytes, &HASH_SECRETS),
    }
}

/// Returns the slot of a key among `count` slots. The same on every node.
pub fn hash_slot(service: &str, key: &str, count: usize) -> usize {
    let mut bytes = service.as_bytes().to_vec();
    // A separator that no service name contains, so that no two pairs of names give the same bytes.
    bytes.push(0);
    bytes.extend(key.as_bytes());
    let hash = rapidhash_v3_seeded(&bytes, &HASH_SECRETS);
    (hash % count.max(1) as u64) as usize
}

/// `Placement` maps each leaf to the node that should hold its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    holders: DeterministicMap<LeafId, NodeId>,
}

impl Placement {
    /// Returns the holder of a leaf, or `None` for an unknown leaf or an empty roster.
    pub fn holder(&self, leaf: LeafId) -> Option<NodeId> {
        self.holders.get(&leaf).copied()
    }

    /// Iterates over all leafs and their holders, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (LeafId, NodeId)> + '_ {
        self.holders.iter().map(|(leaf, node)| (*leaf, *node))
    }
}

/// Returns the largest number of leafs that one node may hold.
pub fn load_bound(nodes: usize, leafs: usize) -> usize {
    let mean = leafs as f64 / nodes.max(1) as f64;
    let bound = (mean * LOAD_FACTOR).floor() as usize;
    // Below a mean of 4 leafs, a quarter of the mean is less than one leaf, and rounding down could
    // give less than the mean.
    bound.max(mean.ceil() as usize)
}

/// Computes the placement of `items` on `positions`; the order of either does not matter.
pub fn place(positions: &[Position], items: &[PlacementItem]) -> Placement {
    let mut placement = Placement::default();
    if positions.is_empty() {
        return placement;
    }

    let bound = load_bound(positions.len(), items.len());
    let mut loads = vec![0_usize; positions.len()];
    let mut groups: HashSet<(usize, u64)> = HashSet::new();
    for (_, i, j) in ranked_pairs(positions, items) {
        let item = items[j as usize];
        let position = i as usize;
        let placed = placement.holders.contains_key(&item.leaf);
        if placed || loads[position] >= bound || groups.contains(&(position, item.group)) {
            continue;
        }
        loads[position] += 1;
        groups.insert((position, item.group));
        placement
            .holders
            .insert(item.leaf, positions[position].node);
    }
    place_remaining(positions, items, &mut loads, &mut placement);
    placement
}

/// Places the leafs for which every node was full or held a replica of their group, each on the
/// least loaded node.
fn place_remaining(
    positions: &[Position],
    items: &[PlacementItem],
    loads: &mut [usize],
    placement: &mut Placement,
) {
    let unplaced = |leaf: &LeafId| !placement.holders.contains_key(leaf);
    let mut remaining: Vec<LeafId> = items
        .iter()
        .map(|item| item.leaf)
        .filter(unplaced)
        .collect();
    remaining.sort_unstable();
    for leaf in remaining {
        let least_loaded = (0..positions.len())
            .min_by_key(|&position| (loads[position], positions[position].number));
        let Some(position) = least_loaded else { return };
        loads[position] += 1;
        placement.holders.insert(leaf, positions[position].node);
    }
}

/// Returns all pairs as (score, position index, item index), lowest score first.
fn ranked_pairs(positions: &[Position], items: &[PlacementItem]) -> Vec<(u64, u32, u32)> {
    let mut pairs = Vec::with_capacity(positions.len() * items.len());
    for (i, position) in positions.iter().enumerate() {
        for (j, item) in items.iter().enumerate() {
            pairs.push((pair_score(*position, item.leaf), i as u32, j as u32));
        }
    }
    // Equal scores are ordered by position and leaf, so that the result does not depend on input order.
    let key = |&(score, i, j): &(u64, u32, u32)| {
        (score, positions[i as usize].number, items[j as usize].leaf)
    };
    pairs.sort_unstable_by_key(key);
    pairs
}

fn pair_score(position: Position, leaf: LeafId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&u64::from(position.number).to_le_bytes());
    bytes[8..].copy_from_slice(&leaf.0.to_le_bytes());
    rapidhash_v3_seeded(&bytes, &HASH_SECRETS)
}
