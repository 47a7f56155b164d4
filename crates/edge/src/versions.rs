//! Which versions of a service's leafs may be called without a version move.
//!
//! A leaf of a new version may belong to a move whose order this node has not received yet. It gets no
//! calls until the orders have been read from the store after the leaf was first seen.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::Time;
use smallvec::SmallVec;

use crate::config::Name;

/// Time after which the orders are fetched again if there was no answer: longer than the time limit of a
/// fetch.
const FETCH_RETRY: Duration = Duration::from_millis(1_500);

/// Maximum number of versions per service that are remembered to have been on trial.
const MAX_TRIED: usize = 8;

/// A version and when it was first seen.
type Unconfirmed = (Name, Time);

/// `Versions` holds the known versions of each service.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// Whether the orders have been listed. Until then the node serves nothing.
    orders_listed: bool,
    /// Versions that may be called without a move.
    established: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Versions that may have an order which is not known yet.
    unconfirmed: HashMap<Name, SmallVec<[Unconfirmed; 2]>>,
    /// Versions that were on trial, oldest first.
    tried: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Versions among them that were rolled back.
    rolled_back: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Since when it has been unclear whether an order was withdrawn.
    recheck_since: Option<Time>,
    /// When the fetch of the orders that is under way was started.
    fetch_started: Option<Time>,
}

impl Versions {
    /// Returns whether the orders have been listed.
    pub(crate) fn orders_listed(&self) -> bool {
        self.orders_listed
    }

    /// Records that the orders have been listed.
    pub(crate) fn note_orders_listed(&mut self) {
        self.orders_listed = true;
    }

    /// Records the version of a leaf.
    pub(crate) fn leaf_seen(&mut self, service: &Name, version: &Name, now: Time) {
        let established = self.established.entry(service.clone()).or_default();
        let tried = self.tried.get(service);
        if established.contains(version) || tried.is_some_and(|list| list.contains(version)) {
            return;
        }
        if established.is_empty() || !self.orders_listed {
            established.push(version.clone());
            return;
        }
        let unconfirmed = self.unconfirmed.entry(service.clone()).or_default();
        if !unconfirmed.iter().any(|(known, _)| known == version) {
            unconfirmed.push((version.clone(), now));
        }
    }

    /// Returns whether a version may be called without a move.
    pub(crate) fn is_established(&self, service: &str, version: &Name) -> bool {
        let established = self.established.get(service);
        established.is_some_and(|list| list.contains(version))
    }

    /// Returns whether a version was on trial and is not known to have been rolled back. It may be called
    /// where there is no leaf of an established version.
    pub(crate) fn is_unjudged(&self, service: &str, version: &Name) -> bool {
        let contains = |lists: &HashMap<Name, SmallVec<[Name; 2]>>| {
            let list = lists.get(service);
            list.is_some_and(|list| list.contains(version))
        };
        contains(&self.tried) && !contains(&self.rolled_back)
    }

    /// Returns whether a service has no versions that may have an unknown order.
    pub(crate) fn all_established(&self, service: &str) -> bool {
        !self.unconfirmed.contains_key(service)
    }

    /// Records that a version is or was on trial, so that its move decides whether it may be called.
    pub(crate) fn mark_tried(&mut self, service: &Name, version: &Name) {
        remember(self.tried.entry(service.clone()).or_default(), version);
        if let Some(established) = self.established.get_mut(service) {
            established.retain(|known| known != version);
        }
        if let Some(unconfirmed) = self.unconfirmed.get_mut(service) {
            unconfirmed.retain(|(known, _)| known != version);
            if unconfirmed.is_empty() {
                self.unconfirmed.remove(service);
            }
        }
    }

    /// Records that a version was rolled back.
    pub(crate) fn roll_back(&mut self, service: &Name, version: &Name) {
        self.mark_tried(service, version);
        remember(
            self.rolled_back.entry(service.clone()).or_default(),
            version,
        );
    }

    /// Records that a service has been moved to a version, and returns the versions that were established
    /// before.
    pub(crate) fn complete(&mut self, service: &Name, version: &Name) -> SmallVec<[Name; 2]> {
        self.mark_tried(service, version);
        if let Some(rolled_back) = self.rolled_back.get_mut(service) {
            rolled_back.retain(|known| known != version);
        }
        let established = SmallVec::from_iter([version.clone()]);
        self.established
            .insert(service.clone(), established)
            .unwrap_or_default()
    }

    /// Returns whether the orders must be fetched now, and records that the fetch starts.
    pub(crate) fn start_fetch(&mut self, now: Time) -> bool {
        let is_due = self.next_fetch().is_some_and(|at| at <= now);
        if is_due {
            self.fetch_started = Some(now);
        }
        is_due
    }

    /// Returns when the orders must be fetched next; `None` if they need not be.
    pub(crate) fn next_fetch(&self) -> Option<Time> {
        let retry_at = self.fetch_started.map(|at| at + FETCH_RETRY);
        let is_needed = !self.unconfirmed.is_empty() || self.recheck_since.is_some();
        is_needed.then(|| retry_at.unwrap_or_default())
    }

    /// Requires a fetch of the orders, since it is unclear whether one was withdrawn.
    pub(crate) fn recheck_orders(&mut self, now: Time) {
        self.recheck_since = Some(now);
    }

    /// Records that the fetch that is under way has told nothing.
    pub(crate) fn fetch_failed(&mut self) {
        self.fetch_started = None;
    }

    /// Records that the orders of a fetch that started at `started_at` have been applied. Versions seen
    /// before that have no order and become established.
    pub(crate) fn orders_fetched(&mut self, started_at: Time) {
        self.fetch_started = None;
        if self.recheck_since.is_some_and(|at| at <= started_at) {
            self.recheck_since = None;
        }
        let established = &mut self.established;
        self.unconfirmed.retain(|service, versions| {
            versions.retain(|(version, seen_at)| {
                let is_established = *seen_at <= started_at;
                if is_established {
                    let known = established.entry(service.clone()).or_default();
                    known.push(version.clone());
                }
                !is_established
            });
            !versions.is_empty()
        });
    }
}

/// Adds a version to a list, and removes the oldest one if the list gets longer than [`MAX_TRIED`].
fn remember(list: &mut SmallVec<[Name; 2]>, version: &Name) {
    if !list.contains(version) {
        list.push(version.clone());
    }
    if list.len() > MAX_TRIED {
        list.remove(0);
    }
}
