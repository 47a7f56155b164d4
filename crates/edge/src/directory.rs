//! Known leafs, and which of them may get new work.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{DeterministicMap, LeafId, Time};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Name;
use crate::leaf_notices::{LeafNotice, LeafNotices, NoticeTaken};
use crate::segment::is_segment;

/// How long a leaf is held after its entry vanished while the registry may have lost entries. Covers the
/// time within which living leafs register again, and ends before the time by which requests to a leaf that
/// left must have stopped.
const VANISHED_HOLD: Duration = Duration::from_millis(2_200);
/// Span within which entries that vanish count as one event.
const VANISH_SPAN: Duration = Duration::from_millis(400);
/// Share of all entries that must vanish together for the registry to be suspected of having lost them.
const MASS_VANISH_SHARE: f64 = 0.2;
/// Minimum number of entries that must vanish together for this suspicion.
const MASS_VANISH_MIN: usize = 4;

/// Time after a return of the store from an older copy until what was written since the copy has been written again.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of retired leafs that are remembered.
const MAX_RETIRED: usize = 4_096;
/// How long a retired leaf is remembered: longer than the age of a copy from which the store is restored.
const RETIRED_TIME: Duration = Duration::from_secs(60);

/// How long a leaf is not called after another one was found at its address.
const DISPLACED_HOLD: Duration = Duration::from_secs(5);

/// `LeafEntry` is what a leaf publishes about itself in the registry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LeafEntry {
    /// Name of the leaf, unique at any time.
    pub name: Name,
    /// Start of the leaf, in Unix milliseconds; distinguishes incarnations with the same name.
    pub born: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Address at which it accepts connections.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Version of its software.
    pub version: Name,
    /// Number of requests that it works on at the same time.
    pub slots: usize,
    /// Whether it is to get no new work.
    pub draining: bool,
    /// How much longer it stays cold.
    pub warmup: Duration,
}

/// One incarnation of a leaf.
#[derive(Clone, Debug)]
pub(crate) struct Leaf {
    pub(crate) entry: LeafEntry,
    /// The leaf is cold until then.
    pub(crate) cold_until: Time,
    /// When the leaf is dropped unless its entry returns; set if the entry vanished while the registry may
    /// have lost entries.
    pub(crate) drop_at: Option<Time>,
    /// Whether the leaf had been retired and its entry came back with an older copy of the store: it is not called before
    /// it has written its entry again, or the store has settled.
    is_outdated: bool,
    /// When the latest call that the leaf answered was sent: the leaf was alive then. `None` if it may have
    /// ended since.
    alive_at: Option<Time>,
}

/// `Removal` is what became of a leaf whose entry vanished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The leaf is not known.
    Unknown,
    /// The leaf was removed and gets no new work.
    Retired(LeafId),
    /// The registry may have lost entries of living leafs; the leaf is kept for a moment.
    Held(LeafId),
}

/// A leaf that was retired.
#[derive(Debug)]
struct Retired {
    name: Name,
    born: u64,
    at: Time,
}

/// `Directory` holds the leafs of all services, and the nodes that serve segments as leafs of the segments.
#[derive(Debug, Default)]
pub struct Directory {
    leafs: DeterministicMap<LeafId, Leaf>,
    names: HashMap<Name, LeafId>,
    services: HashMap<Name, SmallVec<[LeafId; 4]>>,
    closed_domains: HashSet<Name>,
    /// Domains that were closed when the store was restored, and that it does not list. They stay closed until it has
    /// settled.
    held_domains: HashSet<Name>,
    /// When the store has settled after it was restored from an older copy; `None` once it has.
    settles_at: Option<Time>,
    /// Leafs that were retired lately, oldest first.
    retired: VecDeque<Retired>,
    /// Leafs at whose addresses other leafs were found, with the time until which they are not called.
    displaced: DeterministicMap<LeafId, Time>,
    /// What leafs said about themselves. Outlives their entries.
    notices: LeafNotices,
    /// Leafs whose entries vanish before this time are held.
    hold_until: Time,
    /// Times at which entries vanished, within the last [`VANISH_SPAN`].
    vanish_times: Vec<Time>,
    next_id: u64,
}

impl Directory {
    /// Adds or updates a leaf. Returns the incarnation that it replaces, if any.
    pub fn upsert(&mut self, entry: LeafEntry, now: Time) -> Option<LeafId> {
        let is_settling = self.is_settling(now);
        let known = self.names.get(&entry.name).copied();
        if let Some(id) = known
            && let Some(leaf) = self.leafs.get_mut(&id)
        {
            if entry.born < leaf.entry.born {
                return None;
            }
            let is_same = entry.born == leaf.entry.born
                && entry.addr == leaf.entry.addr
                && entry.service == leaf.entry.service;
            if is_same {
                leaf.cold_until = now + entry.warmup;
                leaf.drop_at = None;
                leaf.is_outdated = false;
                // A leaf that drains does not return to work: an entry that says so is older.
                let draining = leaf.entry.draining && is_settling;
                leaf.entry = entry;
                leaf.entry.draining |= draining;
                return None;
            }
        }
        let is_outdated = is_settling && self.was_retired(&entry);
        let replaced = known.inspect(|&id| self.forget(id));
        self.notices.listed(&entry.name);
        let id = LeafId(self.next_id);
        self.next_id += 1;
        self.names.insert(entry.name.clone(), id);
        self.services
            .entry(entry.service.clone())
            .or_default()
            .push(id);
        let leaf = Leaf {
            cold_until: now + entry.warmup,
            drop_at: None,
            alive_at: None,
            is_outdated,
            entry,
        };
        self.leafs.insert(id, leaf);
        replaced
    }

    /// Handles the loss of a leaf's entry.
    pub fn remove(&mut self, name: &str, now: Time) -> Removal {
        let Some(&id) = self.names.get(name) else {
            return Removal::Unknown;
        };
        self.vanish_times.retain(|at| now.since(*at) <= VANISH_SPAN);
        self.vanish_times.push(now);
        let known = self.leafs.len();
        let recent = self.vanish_times.len();
        if recent >= MASS_VANISH_MIN && recent as f64 >= MASS_VANISH_SHARE * known as f64 {
            self.hold_vanished(now);
        }
        let Some(leaf) = self.leafs.get_mut(&id) else {
            return Removal::Unknown;
        };
        if now < self.hold_until && !leaf.entry.draining {
            leaf.drop_at.get_or_insert(now + VANISHED_HOLD);
            return Removal::Held(id);
        }
        self.retire(id, now);
        Removal::Retired(id)
    }

    /// Replaces the leafs by a full listing; nodes that serve segments stay. Returns the leafs that were
    /// replaced or removed.
    pub fn replace(&mut self, entries: Vec<LeafEntry>, now: Time) -> Vec<LeafId> {
        let listed: HashSet<Name> = entries.iter().map(|e| e.name.clone()).collect();
        let missing: Vec<Name> = self
            .names
            .iter()
            .filter(|(name, id)| !listed.contains(*name) && !self.is_peer(**id))
            .map(|(name, _)| name.clone())
            .collect();
        let mut retired: Vec<LeafId> = entries
            .into_iter()
            .filter_map(|entry| self.upsert(entry, now))
            .collect();
        for name in missing {
            if let Removal::Retired(id) = self.remove(&name, now) {
                retired.push(id);
            }
        }
        retired
    }

    /// Holds leafs whose entries vanish soon, since the registry was unreachable or may have lost entries:
    /// the leafs may be alive.
    pub fn hold_vanished(&mut self, now: Time) {
        self.hold_until = self.hold_until.max(now + VANISHED_HOLD);
    }

    /// Closes these failure domains and opens all others. Those that were closed when the store was restored stay closed
    /// until it has settled.
    pub fn close_domains(&mut self, domains: HashSet<Name>, now: Time) {
        let closed = std::mem::replace(&mut self.closed_domains, domains);
        if self.is_settling(now) {
            self.held_domains.extend(closed);
        }
        let listed = &self.closed_domains;
        self.held_domains.retain(|domain| !listed.contains(domain));
    }

    /// Records that the store was restored from an older copy. Until it has settled, what it lacks is taken to be still
    /// there, and what it shows may be outdated.
    pub fn store_restored(&mut self, now: Time) {
        self.settles_at = Some(now + SETTLE_TIME);
        self.hold_vanished(now);
    }

    fn is_settling(&self, now: Time) -> bool {
        self.settles_at.is_some_and(|at| now < at)
    }

    /// Returns whether the incarnation of an entry was retired lately.
    fn was_retired(&self, entry: &LeafEntry) -> bool {
        let is_entry = |retired: &Retired| retired.name == entry.name && retired.born == entry.born;
        self.retired.iter().any(is_entry)
    }

    /// Records that a leaf answered a call that was sent at `sent_at`.
    pub fn note_alive(&mut self, id: LeafId, sent_at: Time) {
        if let Some(leaf) = self.leafs.get_mut(&id) {
            leaf.alive_at = leaf.alive_at.max(Some(sent_at));
        }
    }

    /// Records that a connection to a leaf was lost or could not be opened: the leaf may have ended.
    pub fn note_connection_loss(&mut self, id: LeafId) {
        if let Some(leaf) = self.leafs.get_mut(&id) {
            leaf.alive_at = None;
        }
    }

    /// Records that another leaf was found at the address of this one.
    pub fn note_displaced(&mut self, id: LeafId, now: Time) {
        if let Some(leaf) = self.leafs.get_mut(&id) {
            leaf.alive_at = None;
            self.displaced.insert(id, now + DISPLACED_HOLD);
        }
    }

    /// Records what an answer of a leaf said about the leaf, whether or not its entry is still known; see
    /// [`LeafNotices::record`].
    pub(crate) fn note_notice(
        &mut self,
        (name, born): (&Name, u64),
        notice: LeafNotice,
        spread: f64,
        now: Time,
    ) -> Option<NoticeTaken> {
        let taken = self.notices.record(name, born, notice, spread, now);
        if !self.names.contains_key(name) {
            self.notices.vanished(name, now);
        }
        taken
    }

    /// Returns the known incarnation of a leaf that started at `born`.
    pub(crate) fn find(&self, name: &str, born: u64) -> Option<LeafId> {
        let id = *self.names.get(name)?;
        (self.entry(id)?.born == born).then_some(id)
    }

    /// Returns until when a leaf wants no calls, if it does so at present.
    pub fn break_end(&self, id: LeafId, now: Time) -> Option<Time> {
        let entry = self.entry(id)?;
        self.notices.break_end(&entry.name, entry.born, now)
    }

    /// Returns how many concurrent calls a leaf may get from this node after a break; `None` if that is not
    /// limited.
    pub(crate) fn call_limit(&self, id: LeafId) -> Option<usize> {
        let entry = self.entry(id)?;
        self.notices.call_limit(&entry.name, entry.born)
    }

    /// Records a call sent to a leaf. Returns whether it is the only one during a break that the leaf asked for.
    pub(crate) fn note_call(&mut self, id: LeafId, now: Time) -> bool {
        let Some(entry) = self.leafs.get(&id).map(|leaf| &leaf.entry) else {
            return false;
        };
        self.notices.call_sent(&entry.name, entry.born, now)
    }

    /// Records that a leaf served a call that was sent at `sent_at`.
    pub(crate) fn note_served(&mut self, id: LeafId, sent_at: Time, now: Time) {
        if let Some(entry) = self.leafs.get(&id).map(|leaf| &leaf.entry) {
            let (name, born) = (&entry.name, entry.born);
            self.notices.call_served(name, born, sent_at, now);
        }
    }

    /// Returns whether a leaf is known to have been alive within the last `span`.
    pub fn was_alive(&self, id: LeafId, span: Duration, now: Time) -> bool {
        let alive_at = self.leafs.get(&id).and_then(|leaf| leaf.alive_at);
        alive_at.is_some_and(|at| now.since(at) < span)
    }

    /// Drops leafs whose entries did not return in time, and returns them. Allows calls to displaced leafs
    /// again after their hold.
    pub fn expire(&mut self, now: Time) -> Vec<LeafId> {
        self.displaced.retain(|_, until| *until > now);
        self.settle(now);
        let due = |leaf: &Leaf| leaf.drop_at.is_some_and(|at| at <= now);
        let gone: Vec<LeafId> = self
            .leafs
            .iter()
            .filter(|(_, leaf)| due(leaf))
            .map(|(id, _)| *id)
            .collect();
        for &id in &gone {
            self.retire(id, now);
        }
        gone
    }

    /// Ends what holds only until the store has settled, if it has.
    fn settle(&mut self, now: Time) {
        if self.settles_at.is_none() || self.is_settling(now) {
            return;
        }
        self.settles_at = None;
        self.held_domains.clear();
        for leaf in self.leafs.values_mut() {
            leaf.is_outdated = false;
        }
    }

    /// Returns when [`Directory::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        let drops = self.leafs.values().filter_map(|leaf| leaf.drop_at);
        let displaced = self.displaced.values().copied();
        drops.chain(displaced).chain(self.settles_at).min()
    }

    /// Removes the nodes that serve segments, and returns them.
    pub fn drop_peers(&mut self) -> Vec<LeafId> {
        let ids = self.leafs.keys().copied();
        let peers: Vec<LeafId> = ids.filter(|id| self.is_peer(*id)).collect();
        for &id in &peers {
            self.forget(id);
        }
        peers
    }

    fn is_peer(&self, id: LeafId) -> bool {
        self.entry(id)
            .is_some_and(|entry| is_segment(&entry.service))
    }

    /// Returns the leafs of a service that may get new work, now or after a break that they asked for.
    pub fn usable(&self, service: &str) -> SmallVec<[LeafId; 4]> {
        let Some(ids) = self.services.get(service) else {
            return SmallVec::new();
        };
        ids.iter()
            .copied()
            .filter(|&id| self.is_usable(id))
            .collect()
    }

    /// Returns whether a leaf may get new work, now or after a break that it asked for.
    pub fn is_usable(&self, id: LeafId) -> bool {
        self.leafs.get(&id).is_some_and(|leaf| {
            !leaf.entry.draining
                && !leaf.is_outdated
                && !self.held_domains.contains(&leaf.entry.domain)
                && !self.notices.is_leaving(&leaf.entry.name, leaf.entry.born)
                && !self.displaced.contains_key(&id)
                && !self.closed_domains.contains(&leaf.entry.domain)
        })
    }

    /// Returns the latest entry of a leaf.
    pub fn entry(&self, id: LeafId) -> Option<&LeafEntry> {
        self.leafs.get(&id).map(|leaf| &leaf.entry)
    }

    /// Returns whether a leaf is cold.
    pub fn is_cold(&self, id: LeafId, now: Time) -> bool {
        self.leafs
            .get(&id)
            .is_some_and(|leaf| now < leaf.cold_until)
    }

    /// Returns the number of known leafs.
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Returns whether no leaf is known.
    pub fn is_empty(&self) -> bool {
        self.leafs.is_empty()
    }

    /// Drops a leaf whose entry vanished.
    fn retire(&mut self, id: LeafId, now: Time) {
        if let Some(entry) = self.leafs.get(&id).map(|leaf| &leaf.entry) {
            self.notices.vanished(&entry.name, now);
            let (name, born) = (entry.name.clone(), entry.born);
            self.remember_retired(Retired {
                name,
                born,
                at: now,
            });
        }
        self.forget(id);
    }

    fn remember_retired(&mut self, leaf: Retired) {
        let now = leaf.at;
        self.retired.push_back(leaf);
        let is_over = |oldest: &Retired| now.since(oldest.at) > RETIRED_TIME;
        while self.retired.len() > MAX_RETIRED || self.retired.front().is_some_and(is_over) {
            self.retired.pop_front();
        }
    }

    fn forget(&mut self, id: LeafId) {
        self.displaced.remove(&id);
        let Some(leaf) = self.leafs.remove(&id) else {
            return;
        };
        if self.names.get(&leaf.entry.name) == Some(&id) {
            self.names.remove(&leaf.entry.name);
        }
        if let Some(ids) = self.services.get_mut(&leaf.entry.service) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.services.remove(&leaf.entry.service);
            }
        }
    }
}
