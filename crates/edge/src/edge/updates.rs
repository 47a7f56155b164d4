//! Updates of what the node knows: configuration, settings, nodes, leafs, closed domains, version moves.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{MoveLimits, PostingReply};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Edge, EdgeSettings};
use crate::action::Action;
use crate::config::{Config, Name};
use crate::directory::{LeafEntry, Removal};
use crate::leaf_notices::LeafNotice;
use crate::ledger_client::{LedgerClient, MovePost};
use crate::segment::{Peer, segment_size, serving_nodes};
use crate::version_moves::MoveOrder;

/// Span over which the nodes spread their writes after the store was restored: its minimum, and the time per node.
const MIN_REGISTER_SPREAD: Duration = Duration::from_millis(500);
const REGISTER_SPREAD_PER_NODE: Duration = Duration::from_millis(5);

impl Edge {
    /// Records the store's era. A later one than the known one means that the store was restored from a copy some seconds
    /// old: what it lacks is not withdrawn, and what it shows may be outdated, until it has been written again. What this
    /// system alone wrote is written again now.
    pub fn note_store_era(&mut self, era: Option<u64>, now: Time, out: &mut Vec<Action>) {
        if era <= self.era {
            return;
        }
        let previous = std::mem::replace(&mut self.era, era);
        if let (Some(era), Some(_)) = (era, previous) {
            self.store_restored(era, now, out);
        }
    }

    fn store_restored(&mut self, era: u64, now: Time, out: &mut Vec<Action>) {
        self.directory.store_restored(now);
        let spread = write_spread(self.nodes());
        let jitter = spread.mul_f64(process_jitter(self.settings.seed, era));
        self.moves.store_restored(jitter, now);
        out.push(Action::Register { era, spread });
        self.drive_moves(now, out);
    }

    /// Puts a configuration in force unless the present one is as new or newer. Returns whether it was put
    /// in force. Requests under way keep the configuration that they began with.
    pub fn set_config<C>(&mut self, config: C) -> bool
    where
        C: Into<Rc<Config>>,
    {
        let config = config.into();
        let is_current = |held: &Rc<Config>| held.version >= config.version;
        if self.config.as_ref().is_some_and(is_current) {
            return false;
        }
        self.config = Some(config);
        self.update_segmented_routes();
        true
    }

    /// Determines which routes' queries are split into segments.
    fn update_segmented_routes(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let (split, direct): (Vec<&[Name]>, Vec<&[Name]>) = config
            .fan_outs()
            .partition(|shards| self.needs_segments(shards));
        self.has_segments = !split.is_empty();
        self.direct_shards.clear();
        if self.has_segments {
            let shards = direct.into_iter().flatten().cloned();
            self.direct_shards.extend(shards);
        }
    }

    /// Replaces the settings; the number of nodes stays.
    pub fn set_settings(&mut self, settings: EdgeSettings) {
        self.shares
            .set_bounds(settings.repeat_ratio, settings.repeat_slack);
        self.settings = settings;
    }

    /// Sets the nodes that share the leafs and may serve segments of queries.
    pub fn set_peers(&mut self, mut peers: Vec<Peer>, out: &mut Vec<Action>) {
        self.shares.set_nodes(peers.len());
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        if peers == self.peers {
            return;
        }
        self.segment_size = segment_size(&peers);
        self.peers = peers;
        self.update_segmented_routes();
        for id in self.directory.drop_peers() {
            self.drop_leaf(id, out);
        }
    }

    /// Adds the nodes that serve a segment as its leafs, unless they have been added.
    pub(super) fn add_segment_leafs(&mut self, segment: &Name, now: Time) {
        if self.directory.usable(segment).is_empty() {
            for entry in serving_nodes(segment, &self.peers) {
                self.directory.upsert(entry, now);
            }
        }
    }

    /// Adds or updates a leaf.
    pub fn upsert_leaf(&mut self, entry: LeafEntry, now: Time, out: &mut Vec<Action>) {
        let service = entry.service.clone();
        self.moves.leaf_seen(&service, &entry.version, now);
        if let Some(replaced) = self.directory.upsert(entry, now) {
            self.drop_leaf(replaced, out);
        }
        self.serve_waiters(&service, now, out);
        self.drive_moves(now, out);
    }

    /// Handles the loss of a leaf's entry in the registry.
    pub fn remove_leaf(&mut self, name: &str, now: Time, out: &mut Vec<Action>) -> Removal {
        let removal = self.directory.remove(name, now);
        if let Removal::Retired(id) = removal {
            self.drop_leaf(id, out);
        }
        removal
    }

    /// Records what an answer of a leaf said about the leaf, which started at `born`, in Unix milliseconds. Calls to
    /// it that have not been written yet go to other leafs.
    pub fn note_leaf(
        &mut self,
        (name, born): (&Name, u64),
        notice: LeafNotice,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let spread = self.rng.random();
        let taken = self
            .directory
            .note_notice((name, born), notice, spread, now);
        let Some(taken) = taken else {
            return;
        };
        self.counts.leaving += u64::from(notice.leaving);
        self.counts.breaks += u64::from(taken.no_calls_for.is_some());
        out.push(Action::LogNotice(taken));
        let Some(leaf) = self.directory.find(name, born) else {
            return;
        };
        if notice.leaving {
            out.push(Action::CloseIdle(leaf));
        }
        let calls = self.calls.iter().filter(|(_, call)| call.leaf == leaf);
        out.extend(calls.map(|(id, _)| Action::Withhold(*id)));
    }

    /// Replaces all leafs by a full listing.
    pub fn replace_leafs(&mut self, entries: Vec<LeafEntry>, now: Time, out: &mut Vec<Action>) {
        self.leafs_listed = true;
        for entry in &entries {
            self.moves.leaf_seen(&entry.service, &entry.version, now);
        }
        for id in self.directory.replace(entries, now) {
            self.drop_leaf(id, out);
        }
        self.drive_moves(now, out);
    }

    /// Handles an outage of the registry, see [`Directory::hold_vanished`](crate::Directory::hold_vanished).
    pub fn note_registry_outage(&mut self, now: Time) {
        self.directory.hold_vanished(now);
    }

    /// Closes these failure domains and opens all others.
    pub fn close_domains(&mut self, domains: HashSet<Name>, now: Time) {
        self.domains_listed = true;
        self.directory.close_domains(domains, now);
    }

    /// Replaces the orders of version moves.
    pub fn set_moves(&mut self, orders: Vec<MoveOrder>, now: Time, out: &mut Vec<Action>) {
        let limits = |order: &MoveOrder| MoveLimits {
            duration: order.duration,
            share: self.settings.exposure_share,
            slack: self.settings.exposure_slack,
            nodes: self.caller_count(&order.service),
        };
        let orders: Vec<(MoveOrder, MoveLimits)> = orders
            .into_iter()
            .map(|order| {
                let limits = limits(&order);
                (order, limits)
            })
            .collect();
        let (shares, rng, process) = (&self.shares, &mut self.rng, self.settings.seed);
        self.moves.set_orders(orders, now, |service, limits| {
            let is_used = shares.is_used(service, now);
            LedgerClient::new(limits, process, is_used, rng.random(), now)
        });
        self.drive_moves(now, out);
    }

    /// Handles the reply to a posting of [`Action::Post`]; `None` if it is not certain that the posting was
    /// written.
    pub fn post_ended(
        &mut self,
        post: &MovePost,
        reply: Option<&PostingReply>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let jitter = self.rng.random();
        self.moves.post_ended(post, reply, jitter, now);
        // Calls may be waiting for the permits.
        self.serve_waiters(&post.service, now, out);
        self.drive_moves(now, out);
    }

    /// Handles the orders of an [`Action::FetchOrders`] that started at `started_at`.
    pub fn orders_fetched(
        &mut self,
        orders: Vec<MoveOrder>,
        started_at: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.set_moves(orders, now, out);
        self.moves.orders_fetched(started_at);
    }

    /// Returns whether the node knows enough to serve requests.
    pub fn is_ready(&self) -> bool {
        self.config.is_some()
            && self.leafs_listed
            && self.domains_listed
            && self.moves.orders_listed()
    }

    /// Drops the state of a leaf that is retired, and closes its idle connections.
    pub(super) fn drop_leaf(&mut self, id: LeafId, out: &mut Vec<Action>) {
        self.selector.forget(id);
        self.next_cold.remove(&id);
        out.push(Action::CloseIdle(id));
    }

    /// Emits the actions of version moves that are due.
    pub(super) fn drive_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.moves.start_fetch(now) {
            out.push(Action::FetchOrders);
        }
        let posts_due = self.moves.due_posts(now);
        out.extend(posts_due.into_iter().map(Action::Post));
        let decisions = self.moves.due_decisions(now);
        out.extend(decisions.into_iter().map(Action::Move));
        let reports = self.moves.due_reports(now);
        out.extend(reports.into_iter().map(Action::Report));
    }
}

/// Returns the span over which this many nodes spread writes that each of them makes once.
fn write_spread(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let spread = REGISTER_SPREAD_PER_NODE.saturating_mul(nodes);
    spread.max(MIN_REGISTER_SPREAD)
}

/// Returns a number from 0 to 1 that differs between processes and eras.
fn process_jitter(seed: u64, era: u64) -> f64 {
    SmallRng::seed_from_u64(seed ^ era.rotate_left(32)).random()
}
