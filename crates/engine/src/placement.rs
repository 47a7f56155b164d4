//! Who holds what: leafs and places of idempotency keys, from the roster and the partition maps.

use std::rc::Rc;
use std::time::Duration;

use monsoondeal_config::LeafSpec;
use monsoondeal_core::{LeafId, LeafSeat, Snapshot, Time};
use monsoondeal_route::{Placement, Plan, PlanGroup, place, seat};

use crate::control::LeafInfo;
use crate::engine::Engine;

/// How long leafs that left the partition map keep their holder, for queries pinned to the old map.
const RETIRE_AFTER: Duration = Duration::from_secs(12);
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

impl Engine {
    pub(crate) fn recompute_seats(&mut self) {
        let roster = self.cell.roster();
        let positions = roster.positions();
        let key_seats: Vec<LeafSeat> = (0..KEY_PLACES).map(key_seat).collect();
        let mut seats = Seats {
            leafs: place(&positions, &roster.seats),
            keys: place(&positions, &key_seats),
            ..Seats::default()
        };
        if let Some(previous) = &roster.previous {
            seats.leafs_before = place(&previous.positions(), &previous.seats);
            seats.keys_before = place(&previous.positions(), &key_seats);
        }
        self.seats = seats;
    }

    /// Rebuilds the plans: leafs that are out or leaving are not called, but their groups count.
    pub(crate) fn rebuild_plans(&mut self) {
        let tree = self.config.tree.clone();
        let is_out = |leaf: LeafId, domain: &str| {
            let tree = tree.as_ref();
            tree.is_some_and(|t| t.domains_out.contains(domain) || t.leaving.contains(&leaf))
        };
        let plan = |snapshot: Snapshot, groups: &[Vec<LeafSpec>]| {
            let groups = groups.iter().enumerate().map(|(group, leafs)| {
                let callable = leafs.iter().filter(|l| !is_out(l.leaf, &l.domain));
                PlanGroup {
                    group: group as u32,
                    leafs: callable.map(|l| l.leaf).collect(),
                }
            });
            Rc::new(Plan {
                snapshot,
                groups: groups.collect(),
            })
        };
        for state in self.config.maps.values_mut() {
            state.plan = plan(state.map.snapshot, &state.map.groups);
            let next = state.map.next.as_ref();
            state.next = next.map(|next| plan(next.snapshot, &next.groups));
        }
    }

    /// Returns whether an operator has taken the leaf out.
    pub(crate) fn is_out(&self, leaf: LeafId) -> bool {
        let Some(tree) = &self.config.tree else {
            return false;
        };
        let domain = self.config.leafs.get(&leaf).map(|i| i.domain.as_str());
        tree.leaving.contains(&leaf) || domain.is_some_and(|d| tree.domains_out.contains(d))
    }

    pub(crate) fn purge_retired(&mut self, now: Time) {
        let old = |info: &LeafInfo| info.retired.is_some_and(|at| now > at + RETIRE_AFTER * 2);
        self.config.leafs.retain(|_, info| !old(info));
        let known = &self.config.leafs;
        self.entry.replicas.retain(|leaf| known.contains_key(&leaf));
    }

    /// Returns the seats that the roster should have, in order.
    pub(crate) fn wanted_seats(&self, now: Time) -> Vec<LeafSeat> {
        let kept = |info: &LeafInfo| info.retired.is_none_or(|at| now < at + RETIRE_AFTER);
        let leafs = self.config.leafs.iter().filter(|(_, info)| kept(info));
        let mut seats: Vec<LeafSeat> = leafs
            .map(|(leaf, info)| seat(*leaf, &info.service, info.group))
            .collect();
        seats.sort_unstable();
        seats
    }
}

/// Returns the seat of a place of idempotency keys.
pub(crate) fn key_seat(place: u32) -> LeafSeat {
    LeafSeat {
        leaf: LeafId(u64::from(place)),
        group: u64::from(place),
    }
}
