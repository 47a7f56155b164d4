//! Configuration in force at a node: the tree, the partition maps and the plans made from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_config::{LeafLimits, LeafSpec, ResolvedSettings, ServiceMap, Tree};
use monsoondeal_core::{DeterministicMap, LeafId, PlacementItem, Snapshot, Time};
use monsoondeal_route::{Plan, PlanGroup, placement_item};

use crate::message::StoredMap;

/// How long leafs that left the partition map keep their holder, for queries pinned to the old map.
const RETIRE_AFTER: Duration = Duration::from_secs(12);

/// Version that a request goes to during a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Version {
    Old,
    New,
}

/// A partition map and the plan made from it.
#[derive(Clone, Debug)]
pub(crate) struct MapState {
    pub(crate) revision: u64,
    pub(crate) map: Rc<ServiceMap>,
    pub(crate) plan: Rc<Plan>,
    /// Plan of the next version, if there is one.
    pub(crate) next: Option<Rc<Plan>>,
}

/// What is known of a leaf.
#[derive(Clone, Debug)]
pub(crate) struct LeafInfo {
    pub(crate) service: Rc<str>,
    pub(crate) group: u32,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: String,
    /// Since when no partition map lists it.
    pub(crate) retired: Option<Time>,
}

/// Configuration in force at this node.
#[derive(Debug, Default)]
pub(crate) struct Config {
    pub(crate) tree: Option<Rc<Tree>>,
    pub(crate) maps: BTreeMap<String, MapState>,
    pub(crate) leafs: DeterministicMap<LeafId, LeafInfo>,
}

impl Config {
    /// Returns the settings of a request kind of a service.
    pub(crate) fn resolve(&self, service: &str, kind: &str) -> Option<ResolvedSettings> {
        self.tree.as_ref()?.resolve(service, kind)
    }

    /// Returns the limits of a leaf, or the default ones if it is unknown.
    pub(crate) fn limits_of(&self, leaf: LeafId) -> LeafLimits {
        let info = self.leafs.get(&leaf);
        let resolved = info.and_then(|info| self.resolve(&info.service, ""));
        resolved.map_or_else(LeafLimits::default, |r| r.limits)
    }

    /// Returns the plan of a service's present version, or of the next one.
    pub(crate) fn plan_of(&self, service: &str, version: Option<Version>) -> Option<Rc<Plan>> {
        let map = self.maps.get(service)?;
        match version {
            Some(Version::New) => map.next.clone(),
            Some(Version::Old) | None => Some(map.plan.clone()),
        }
    }

    /// Returns whether an operator has taken the leaf out.
    pub(crate) fn is_out(&self, leaf: LeafId) -> bool {
        let Some(tree) = &self.tree else {
            return false;
        };
        let domain = self.leafs.get(&leaf).map(|i| i.domain.as_str());
        tree.leaving.contains(&leaf) || domain.is_some_and(|d| tree.domains_out.contains(d))
    }

    /// Takes in a partition map. Returns whether it is news; an older or equal one is ignored.
    pub(crate) fn learn_map(&mut self, stored: StoredMap, now: Time) -> bool {
        let StoredMap { revision, map } = stored;
        let known = self.maps.get(&map.service).map(|m| m.revision);
        if known.is_some_and(|known| revision <= known) {
            return false;
        }
        let service: Rc<str> = map.service.as_str().into();
        let listed = self.leafs.values_mut().filter(|i| i.service == service);
        for info in listed {
            info.retired = info.retired.or(Some(now));
        }
        for (group, leaf) in map.leafs() {
            let info = LeafInfo {
                service: service.clone(),
                group,
                addr: leaf.addr,
                domain: leaf.domain.clone(),
                retired: None,
            };
            self.leafs.insert(leaf.leaf, info);
        }
        let state = MapState {
            revision,
            map: Rc::new(map),
            plan: Rc::default(),
            next: None,
        };
        self.maps.insert(service.to_string(), state);
        self.rebuild_plans();
        true
    }

    /// Rebuilds the plans: leafs that are out or leaving are not called, but their groups count.
    pub(crate) fn rebuild_plans(&mut self) {
        let tree = self.tree.clone();
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
        for state in self.maps.values_mut() {
            state.plan = plan(state.map.snapshot, &state.map.groups);
            let next = state.map.next.as_ref();
            state.next = next.map(|next| plan(next.snapshot, &next.groups));
        }
    }

    /// Forgets the leafs that no partition map has listed for long.
    pub(crate) fn purge_retired(&mut self, now: Time) {
        let old = |info: &LeafInfo| info.retired.is_some_and(|at| now > at + RETIRE_AFTER * 2);
        self.leafs.retain(|_, info| !old(info));
    }

    /// Returns the seats that the roster should have, in order.
    pub(crate) fn wanted_seats(&self, now: Time) -> Vec<PlacementItem> {
        let kept = |info: &LeafInfo| info.retired.is_none_or(|at| now < at + RETIRE_AFTER);
        let leafs = self.leafs.iter().filter(|(_, info)| kept(info));
        let mut seats: Vec<PlacementItem> = leafs
            .map(|(leaf, info)| placement_item(*leaf, &info.service, info.group))
            .collect();
        seats.sort_unstable();
        seats
    }
}
