//! Configuration in force at a node: the tree, the partition maps and the plans built from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_config::{LeafLimits, LeafSpec, ResolvedSettings, ServiceMap, Tree};
use monsoondeal_core::{DeterministicMap, LeafId, PlacementItem, Snapshot, Time};
use monsoondeal_route::{Plan, PlanGroup, placement_item};

use crate::message::StoredMap;

/// How long leafs that were removed from the partition map keep their holder: queries that started with
/// the old map still call them.
const REMOVED_LEAF_RETENTION: Duration = Duration::from_secs(12);

/// Version of a service that a request is sent to during a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceVersion {
    Old,
    New,
}

/// A partition map and the plans built from it.
#[derive(Clone, Debug)]
pub(crate) struct MapState {
    pub(crate) revision: u64,
    pub(crate) map: Rc<ServiceMap>,
    pub(crate) plan: Rc<Plan>,
    /// Plan of the new version, if the map has one.
    pub(crate) new_plan: Option<Rc<Plan>>,
}

/// Service, group and location of a leaf.
#[derive(Clone, Debug)]
pub(crate) struct LeafInfo {
    pub(crate) service: Rc<str>,
    pub(crate) group: u32,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: String,
    /// When it was removed from the partition map.
    pub(crate) removed: Option<Time>,
}

/// Configuration in force at this node.
#[derive(Debug, Default)]
pub(crate) struct Config {
    pub(crate) tree: Option<Rc<Tree>>,
    pub(crate) maps: BTreeMap<String, MapState>,
    pub(crate) leafs: DeterministicMap<LeafId, LeafInfo>,
}

impl Config {
    /// Returns the settings in force for a request kind of a service.
    pub(crate) fn resolve(&self, service: &str, kind: &str) -> Option<ResolvedSettings> {
        self.tree.as_ref()?.resolve(service, kind)
    }

    /// Returns the limits of a leaf, or the default limits if the leaf is unknown.
    pub(crate) fn limits_of(&self, leaf: LeafId) -> LeafLimits {
        let info = self.leafs.get(&leaf);
        let resolved = info.and_then(|info| self.resolve(&info.service, ""));
        resolved.map_or_else(LeafLimits::default, |r| r.limits)
    }

    /// Returns the plan of a version of a service; without a version, that of the current one.
    pub(crate) fn plan_of(
        &self,
        service: &str,
        version: Option<ServiceVersion>,
    ) -> Option<Rc<Plan>> {
        let map = self.maps.get(service)?;
        match version {
            Some(ServiceVersion::New) => map.new_plan.clone(),
            Some(ServiceVersion::Old) | None => Some(map.plan.clone()),
        }
    }

    /// Returns whether an operator has taken the leaf or its failure domain out of service.
    pub(crate) fn is_out(&self, leaf: LeafId) -> bool {
        let Some(tree) = &self.tree else {
            return false;
        };
        let domain = self.leafs.get(&leaf).map(|i| i.domain.as_str());
        tree.leaving.contains(&leaf) || domain.is_some_and(|d| tree.domains_out.contains(d))
    }

    /// Applies a partition map unless it is older than or equal to the known one. Returns whether it was
    /// applied.
    pub(crate) fn apply_map(&mut self, stored: StoredMap, now: Time) -> bool {
        let StoredMap { revision, map } = stored;
        let known = self.maps.get(&map.service).map(|m| m.revision);
        if known.is_some_and(|known| revision <= known) {
            return false;
        }
        let service: Rc<str> = map.service.as_str().into();
        let listed = self.leafs.values_mut().filter(|i| i.service == service);
        for info in listed {
            info.removed = info.removed.or(Some(now));
        }
        for (group, leaf) in map.leafs() {
            let info = LeafInfo {
                service: service.clone(),
                group,
                addr: leaf.addr,
                domain: leaf.domain.clone(),
                removed: None,
            };
            self.leafs.insert(leaf.leaf, info);
        }
        let state = MapState {
            revision,
            map: Rc::new(map),
            plan: Rc::default(),
            new_plan: None,
        };
        self.maps.insert(service.to_string(), state);
        self.rebuild_plans();
        true
    }

    /// Rebuilds the plans without the leafs that operators have taken out of service. Groups without a
    /// callable leaf stay, since they count in the coverage of answers.
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
            state.new_plan = next.map(|next| plan(next.snapshot, &next.groups));
        }
    }

    /// Drops the leafs that were removed from the partition map more than twice
    /// [`REMOVED_LEAF_RETENTION`] ago.
    pub(crate) fn purge_removed(&mut self, now: Time) {
        let old = |info: &LeafInfo| {
            info.removed
                .is_some_and(|at| now > at + REMOVED_LEAF_RETENTION * 2)
        };
        self.leafs.retain(|_, info| !old(info));
    }

    /// Returns the leafs that the next roster should list for placement on nodes, sorted.
    pub(crate) fn placement_items(&self, now: Time) -> Vec<PlacementItem> {
        let kept = |info: &LeafInfo| {
            info.removed
                .is_none_or(|at| now < at + REMOVED_LEAF_RETENTION)
        };
        let leafs = self.leafs.iter().filter(|(_, info)| kept(info));
        let mut items: Vec<PlacementItem> = leafs
            .map(|(leaf, info)| placement_item(*leaf, &info.service, info.group))
            .collect();
        items.sort_unstable();
        items
    }
}
