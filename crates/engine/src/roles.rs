//! Roles in a cell: which members watch the store and which write the roster.
//!
//! The two members of lowest identity that reach the store watch it. Every member states in its
//! heartbeats whether the store has answered it recently. While no member states so, further members
//! probe the store, two more each second, until one gets an answer. The roles need no lease: all writes
//! are conditional on the stored version, so it is harmless if more nodes take a role.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{Epoch, NodeId, Time};
use monsoondeal_member::Roster;

use crate::context::Context;
use crate::io::Output;
use crate::objects::{TREE_KEY, VMS_KEY, map_key, move_key, roster_key};

/// Number of members that watch the store.
const WATCHERS: usize = 2;
/// Maximum number of members that probe the store while no member reaches it.
const MAX_PROBERS: usize = 8;
/// Interval at which a watcher probes the store.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// The store counts as reachable for this long after an answer.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Interval at which further members start to probe a store that no member reaches.
const ESCALATION_INTERVAL: Duration = Duration::from_secs(1);
/// A cell of at most this many members confirms its leases by reads of the store when too few peers are
/// heard.
const STORE_CONFIRM_LIMIT: usize = 4;
/// Delay before the second watcher or a joining node writes a roster, so that the first watcher can
/// write it first.
const PROPOSAL_DELAY: Duration = Duration::from_millis(300);

/// The roster as last read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredRoster {
    /// Version in the store; `None` if there is no stored roster.
    version: Option<u64>,
    epoch: Epoch,
    settled: bool,
}

/// Roles of this node in its cell.
#[derive(Debug, Default)]
pub(crate) struct Roles {
    /// Keys of the watched objects.
    watched: BTreeSet<String>,
    stored: Option<StoredRoster>,
    /// When the write in progress began.
    pub(crate) write_started: Option<Time>,
    /// When this node first had a roster to propose.
    proposed_since: Option<Time>,
    /// When the store last answered; `None` after a failed read.
    last_contact: Option<Time>,
    /// Since when no member is known to reach the store.
    unreachable_since: Option<Time>,
    last_probe: Option<Time>,
}

impl Roles {
    pub(crate) fn record_stored(&mut self, version: Option<u64>, roster: &Roster) {
        let settled = roster.previous.is_none();
        self.stored = Some(StoredRoster {
            version,
            epoch: roster.epoch,
            settled,
        });
    }
}

impl Roles {
    /// Records whether the store has answered a read.
    pub(crate) fn record_contact(&mut self, cx: &mut Context, answered: bool, now: Time) {
        self.last_contact = answered.then_some(now);
        cx.cell.set_store_reachable(answered);
    }

    pub(crate) fn update_roles(&mut self, cx: &mut Context, now: Time, out: &mut Vec<Output>) {
        let contact = self
            .last_contact
            .is_some_and(|at| now < at + CONTACT_TIMEOUT);
        cx.cell.set_store_reachable(contact);
        let with_store = cx.cell.members_with_store(now);
        self.unreachable_since = match with_store.is_empty() {
            true => self.unreachable_since.or(Some(now)),
            false => None,
        };
        let watches = self.is_watcher(cx, &with_store, now);
        self.update_watches(cx, watches, out);
        self.probe(cx, watches, now, out);
        self.confirm_by_store(cx, now, out);
        self.propose_roster(cx, &with_store, now, out);
    }

    /// Returns whether this node should watch the store, given the members that reach it.
    ///
    /// A node that is not in the roster always watches.
    fn is_watcher(&self, cx: &Context, with_store: &[NodeId], now: Time) -> bool {
        let me = cx.settings.me.node;
        let roster = cx.cell.roster();
        if !roster.contains(me) {
            return true;
        }
        if with_store.contains(&me) {
            return with_store.iter().filter(|node| **node < me).count() < WATCHERS;
        }
        let alive = roster
            .members
            .iter()
            .filter(|m| cx.cell.is_alive(m.node, now));
        let rank = alive.filter(|m| m.node < me).count();
        let outage = self
            .unreachable_since
            .map_or(Duration::ZERO, |since| now.since(since));
        let steps = (outage.as_millis() / ESCALATION_INTERVAL.as_millis()) as usize;
        rank < (WATCHERS * (1 + steps)).min(MAX_PROBERS)
    }

    fn update_watches(&mut self, cx: &mut Context, watches: bool, out: &mut Vec<Output>) {
        let mut wanted = BTreeSet::new();
        if watches {
            wanted.insert(TREE_KEY.to_owned());
            wanted.insert(VMS_KEY.to_owned());
            wanted.insert(roster_key(&cx.settings.cell));
            if let Some(tree) = &cx.config.tree {
                let services = tree.cell_services(&cx.settings.cell);
                wanted.extend(services.flat_map(|service| [map_key(service), move_key(service)]));
            }
        }
        if wanted != self.watched {
            self.watched.clone_from(&wanted);
            out.push(Output::Watch(wanted.into_iter().collect()));
        }
    }

    /// Reads the roster periodically, so that an unreachable store is detected.
    fn probe(&mut self, cx: &mut Context, watches: bool, now: Time, out: &mut Vec<Output>) {
        let due = self.last_probe.is_none_or(|at| now >= at + PROBE_PERIOD);
        if watches && due {
            self.last_probe = Some(now);
            cx.read_object(roster_key(&cx.settings.cell), out);
        }
    }

    /// Reads the roster to confirm the leases of a small cell when too few peers are heard.
    fn confirm_by_store(&mut self, cx: &mut Context, now: Time, out: &mut Vec<Output>) {
        let roster = cx.cell.roster();
        let small = roster.members.len() <= STORE_CONFIRM_LIMIT;
        let period = cx.cell.settings().heartbeat_interval;
        let due = self.last_probe.is_none_or(|at| now >= at + period);
        if small && due && roster.contains(cx.settings.me.node) && !cx.cell.is_confirmed(now) {
            self.last_probe = Some(now);
            cx.read_object(roster_key(&cx.settings.cell), out);
        }
    }

    fn propose_roster(
        &mut self,
        cx: &mut Context,
        with_store: &[NodeId],
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let me = &cx.settings.me;
        let rank = with_store.iter().position(|node| *node == me.node);
        if rank.is_some_and(|rank| rank >= WATCHERS) || self.is_write_pending(cx, now) {
            return;
        }
        let roster = cx.cell.roster();
        let Some(stored) = self.stored else {
            return;
        };
        if (stored.epoch, stored.settled) != (roster.epoch, roster.previous.is_none()) {
            return;
        }
        let joins = !roster.contains(me.node) && cx.cell.may_join(now);
        let joining = if joins { std::slice::from_ref(me) } else { &[] };
        // Only watchers that reach the store and nodes that may join propose a roster.
        if rank.is_none() && !joins {
            return;
        }
        let items = cx.config.placement_items(now);
        let Some(next) = cx.cell.proposal(joining, &items, now) else {
            self.proposed_since = None;
            return;
        };
        // The first watcher writes at once, the others after a delay unless no roster is stored yet.
        let since = *self.proposed_since.get_or_insert(now);
        if rank != Some(0) && stored.version.is_some() && now < since + PROPOSAL_DELAY {
            return;
        }
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        self.proposed_since = None;
        self.write_started = Some(now);
        cx.counts.store_calls += 1;
        let key = roster_key(&cx.settings.cell);
        out.push(Output::Write {
            key,
            expects: stored.version,
            value: Bytes::from(value),
        });
    }

    fn is_write_pending(&self, cx: &Context, now: Time) -> bool {
        let limit = cx.cell.settings().peer_timeout * 2;
        self.write_started.is_some_and(|at| now < at + limit)
    }
}
