//! Which versions of a service's leafs may be called without a version move.
//!
//! A leaf of a version that was not there before may belong to a move whose order the node has not heard
//! of. It gets no calls until the store has been asked for the orders after the leaf was first seen.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::Time;
use smallvec::SmallVec;

use crate::config::Name;

/// Time between two questions for the orders while none is answered: longer than the store is waited for.
const ASK_AGAIN: Duration = Duration::from_millis(1_500);

/// Most versions of a service that were on trial and are remembered.
const MOST_TRIED: usize = 8;

/// A version and when it was first seen.
type Unproven = (Name, Time);

/// `Versions` holds the versions that were seen of each service.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// Whether the orders have been listed. Before that the node serves nothing.
    knows_orders: bool,
    proven: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Versions that may be on trial.
    unproven: HashMap<Name, SmallVec<[Unproven; 2]>>,
    /// Versions that were on trial, oldest first.
    tried: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Those of them that were taken back.
    barred: HashMap<Name, SmallVec<[Name; 2]>>,
    /// Since when it is in doubt whether an order was withdrawn.
    doubted_at: Option<Time>,
    /// When the orders were last asked for, until they are told.
    asked_at: Option<Time>,
}

impl Versions {
    /// Returns whether the orders have been listed.
    pub(crate) fn knows_orders(&self) -> bool {
        self.knows_orders
    }

    /// Notes that the orders have been listed.
    pub(crate) fn note_orders(&mut self) {
        self.knows_orders = true;
    }

    /// Notes the version of a leaf.
    pub(crate) fn saw(&mut self, service: &Name, version: &Name, now: Time) {
        let proven = self.proven.entry(service.clone()).or_default();
        let tried = self.tried.get(service);
        if proven.contains(version) || tried.is_some_and(|list| list.contains(version)) {
            return;
        }
        if proven.is_empty() || !self.knows_orders {
            proven.push(version.clone());
            return;
        }
        let unproven = self.unproven.entry(service.clone()).or_default();
        if !unproven.iter().any(|(known, _)| known == version) {
            unproven.push((version.clone(), now));
        }
    }

    /// Returns whether a version may be called without a move.
    pub(crate) fn is_proven(&self, service: &str, version: &Name) -> bool {
        let proven = self.proven.get(service);
        proven.is_some_and(|list| list.contains(version))
    }

    /// Returns whether nothing is known against a version: it was on trial, and how that ended is not known.
    /// It may be called where there is no leaf of a proven one.
    pub(crate) fn is_open(&self, service: &str, version: &Name) -> bool {
        let holds = |lists: &HashMap<Name, SmallVec<[Name; 2]>>| {
            let list = lists.get(service);
            list.is_some_and(|list| list.contains(version))
        };
        holds(&self.tried) && !holds(&self.barred)
    }

    /// Returns whether all versions of a service are proven.
    pub(crate) fn are_proven(&self, service: &str) -> bool {
        !self.unproven.contains_key(service)
    }

    /// Notes that a version is on trial, so that what holds for it is up to its move.
    pub(crate) fn on_trial(&mut self, service: &Name, version: &Name) {
        remember(self.tried.entry(service.clone()).or_default(), version);
        if let Some(proven) = self.proven.get_mut(service) {
            proven.retain(|known| known != version);
        }
        if let Some(unproven) = self.unproven.get_mut(service) {
            unproven.retain(|(known, _)| known != version);
            if unproven.is_empty() {
                self.unproven.remove(service);
            }
        }
    }

    /// Notes that a version was taken back.
    pub(crate) fn bar(&mut self, service: &Name, version: &Name) {
        self.on_trial(service, version);
        remember(self.barred.entry(service.clone()).or_default(), version);
    }

    /// Notes that a service has been moved to a version, and returns those that it had before.
    pub(crate) fn moved(&mut self, service: &Name, version: &Name) -> SmallVec<[Name; 2]> {
        self.on_trial(service, version);
        if let Some(barred) = self.barred.get_mut(service) {
            barred.retain(|known| known != version);
        }
        let proven = SmallVec::from_iter([version.clone()]);
        self.proven
            .insert(service.clone(), proven)
            .unwrap_or_default()
    }

    /// Returns whether the orders are to be asked for now, and notes that they are.
    pub(crate) fn ask(&mut self, now: Time) -> bool {
        let is_due = self.next_ask().is_some_and(|at| at <= now);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Returns when the orders are to be asked for, if they are.
    pub(crate) fn next_ask(&self) -> Option<Time> {
        let again = self.asked_at.map(|at| at + ASK_AGAIN);
        let is_asked = !self.unproven.is_empty() || self.doubted_at.is_some();
        is_asked.then(|| again.unwrap_or_default())
    }

    /// Notes that it is in doubt whether an order was withdrawn: the store is to be asked.
    pub(crate) fn doubt(&mut self, now: Time) {
        self.doubted_at = Some(now);
    }

    /// Notes that the store was asked for the orders at `asked_at`, and that what it told is known. Versions
    /// seen before that have no order.
    pub(crate) fn answered(&mut self, asked_at: Time) {
        self.asked_at = None;
        if self.doubted_at.is_some_and(|at| at <= asked_at) {
            self.doubted_at = None;
        }
        let proven = &mut self.proven;
        self.unproven.retain(|service, versions| {
            versions.retain(|(version, seen_at)| {
                let is_proven = *seen_at <= asked_at;
                if is_proven {
                    let known = proven.entry(service.clone()).or_default();
                    known.push(version.clone());
                }
                !is_proven
            });
            !versions.is_empty()
        });
    }
}

/// Adds a version to a list, from which the oldest one goes if it gets too long.
fn remember(list: &mut SmallVec<[Name; 2]>, version: &Name) {
    if !list.contains(version) {
        list.push(version.clone());
    }
    if list.len() > MOST_TRIED {
        list.remove(0);
    }
}
