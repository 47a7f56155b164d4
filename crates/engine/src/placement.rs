//! Who holds what: leafs and places of idempotency keys, from the roster.

use monsoondeal_core::{LeafId, PlacementItem};
use monsoondeal_member::Roster;
use monsoondeal_route::{Placement, hash_slot, place};

/// Number of places that idempotency keys are spread over.
pub(crate) const KEY_PLACES: u32 = 64;

/// Who holds what, computed from the roster.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    pub(crate) leafs: Placement,
    pub(crate) leafs_before: Placement,
    pub(crate) keys: Placement,
    pub(crate) keys_before: Placement,
}

impl Seats {
    /// Computes the seats of a roster.
    pub(crate) fn new(roster: &Roster) -> Self {
        let positions = roster.positions();
        let key_seats: Vec<PlacementItem> = (0..KEY_PLACES).map(key_seat).collect();
        let mut seats = Self {
            leafs: place(&positions, &roster.seats),
            keys: place(&positions, &key_seats),
            ..Self::default()
        };
        if let Some(previous) = &roster.previous {
            seats.leafs_before = place(&previous.positions(), &previous.seats);
            seats.keys_before = place(&previous.positions(), &key_seats);
        }
        seats
    }
}

/// Returns the seat of a place of idempotency keys.
pub(crate) fn key_seat(place: u32) -> PlacementItem {
    PlacementItem {
        leaf: LeafId(u64::from(place)),
        group: u64::from(place),
    }
}

/// Returns the place of an idempotency key.
pub(crate) fn place_of(service: &str, key: &str) -> u32 {
    hash_slot(service, key, KEY_PLACES as usize) as u32
}
