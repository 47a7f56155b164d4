//! Placement of leafs and of buckets of idempotency keys on nodes, computed from the roster.

use monsoondeal_core::{LeafId, PlacementItem};
use monsoondeal_member::Roster;
use monsoondeal_route::{Placement, hash_slot, place};

/// Number of buckets that idempotency keys are hashed to.
pub(crate) const KEY_BUCKETS: u32 = 64;

/// Holders of leafs and of buckets of idempotency keys, by the present and the previous roster.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    pub(crate) leafs: Placement,
    pub(crate) previous_leafs: Placement,
    pub(crate) keys: Placement,
    pub(crate) previous_keys: Placement,
}

impl Placements {
    /// Computes the placements of a roster.
    pub(crate) fn new(roster: &Roster) -> Self {
        let positions = roster.positions();
        let key_items: Vec<PlacementItem> = (0..KEY_BUCKETS).map(key_item).collect();
        let mut placements = Self {
            leafs: place(&positions, &roster.seats),
            keys: place(&positions, &key_items),
            ..Self::default()
        };
        if let Some(previous) = &roster.previous {
            placements.previous_leafs = place(&previous.positions(), &previous.seats);
            placements.previous_keys = place(&previous.positions(), &key_items);
        }
        placements
    }
}

/// Returns the item that stands for a bucket of idempotency keys in a placement. Its leaf identifier
/// is the bucket number.
pub(crate) fn key_item(bucket: u32) -> PlacementItem {
    PlacementItem {
        leaf: LeafId(u64::from(bucket)),
        group: u64::from(bucket),
    }
}

/// Returns the bucket of an idempotency key.
pub(crate) fn bucket_of(service: &str, key: &str) -> u32 {
    hash_slot(service, key, KEY_BUCKETS as usize) as u32
}
