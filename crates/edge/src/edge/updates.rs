//! What the node believes of its surroundings: configuration, leafs, closed domains, version moves.

use std::collections::HashSet;
use std::rc::Rc;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{MoveLimits, PostingReply};
use rand::RngExt;

use super::{Edge, EdgeSettings};
use crate::action::Action;
use crate::config::{Config, Name};
use crate::directory::{LeafEntry, Removal};
use crate::ledger_client::{MovePost, Trial};
use crate::segment::{Peer, place, segment_shards};
use crate::version_moves::MoveOrder;

impl Edge {
    /// Puts a configuration in force unless a newer one is. Returns whether it was put in force.
    /// Requests under way keep the one that they began with.
    pub fn set_config<C>(&mut self, config: C) -> bool
    where
        C: Into<Rc<Config>>,
    {
        let config = config.into();
        let is_older = |held: &Rc<Config>| held.version >= config.version;
        if self.config.as_ref().is_some_and(is_older) {
            return false;
        }
        self.config = Some(config);
        true
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
        self.segment_shards = segment_shards(&peers);
        self.peers = peers;
        for id in self.directory.drop_peers() {
            self.retire(id, out);
        }
    }

    /// Returns the nodes that serve a segment. They are placed when they are first asked for.
    pub(super) fn place_segment(&mut self, segment: &Name, now: Time) {
        if self.directory.usable(segment).is_empty() {
            for entry in place(segment, &self.peers) {
                self.directory.upsert(entry, now);
            }
        }
    }

    /// Adds or updates a leaf.
    pub fn upsert_leaf(&mut self, entry: LeafEntry, now: Time, out: &mut Vec<Action>) {
        let service = entry.service.clone();
        self.shifts.saw(&service, &entry.version, now);
        if let Some(replaced) = self.directory.upsert(entry, now) {
            self.retire(replaced, out);
        }
        self.pump(&service, now, out);
        self.decide_moves(now, out);
    }

    /// Notes that a leaf's entry vanished from the registry.
    pub fn remove_leaf(&mut self, name: &str, now: Time, out: &mut Vec<Action>) -> Removal {
        let removal = self.directory.remove(name, now);
        if let Removal::Retired(id) = removal {
            self.retire(id, out);
        }
        removal
    }

    /// Replaces all leafs by a full listing.
    pub fn replace_leafs(&mut self, entries: Vec<LeafEntry>, now: Time, out: &mut Vec<Action>) {
        self.knows_leafs = true;
        for entry in &entries {
            self.shifts.saw(&entry.service, &entry.version, now);
        }
        for id in self.directory.replace(entries, now) {
            self.retire(id, out);
        }
        self.decide_moves(now, out);
    }

    /// Notes that the registry was out of reach, see [`Directory::hold_vanished`].
    pub fn note_registry_outage(&mut self, now: Time) {
        self.directory.hold_vanished(now);
    }

    /// Closes these failure domains and opens all others.
    pub fn close_domains(&mut self, domains: HashSet<Name>) {
        self.knows_domains = true;
        self.directory.close_domains(domains);
    }

    /// Replaces the version moves that are asked for.
    pub fn set_moves(&mut self, orders: Vec<MoveOrder>, now: Time, out: &mut Vec<Action>) {
        let terms = |order: &MoveOrder| MoveLimits {
            duration: order.duration,
            share: self.settings.exposure_share,
            slack: self.settings.exposure_slack,
            nodes: self.callers(&order.service),
        };
        let orders: Vec<(MoveOrder, MoveLimits)> = orders
            .into_iter()
            .map(|order| {
                let terms = terms(&order);
                (order, terms)
            })
            .collect();
        let (shares, rng, poster) = (&self.shares, &mut self.rng, self.settings.seed);
        self.shifts.set(orders, now, |service, terms| {
            let is_busy = shares.is_used(service, now);
            Trial::new(terms, poster, is_busy, rng.random(), now)
        });
        self.decide_moves(now, out);
    }

    /// Takes in the answer to a posting of [`Action::Post`]; `None` if it may not have been written.
    pub fn post_ended(
        &mut self,
        post: &MovePost,
        answer: Option<&PostingReply>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let chance = self.rng.random();
        self.shifts.posted(post, answer, chance, now);
        // Calls may wait for the permits.
        self.pump(&post.service, now, out);
        self.decide_moves(now, out);
    }

    /// Takes in the orders that the store was asked for by [`Action::FetchOrders`] at `asked_at`.
    pub fn orders_fetched(
        &mut self,
        orders: Vec<MoveOrder>,
        asked_at: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.set_moves(orders, now, out);
        self.shifts.orders_fetched(asked_at);
    }

    /// Returns whether the node knows enough to serve requests.
    pub fn is_ready(&self) -> bool {
        self.config.is_some()
            && self.knows_leafs
            && self.knows_domains
            && self.shifts.knows_orders()
    }

    pub(super) fn retire(&mut self, id: LeafId, out: &mut Vec<Action>) {
        self.choice.forget(id);
        self.cold_next.remove(&id);
        out.push(Action::CloseIdle(id));
    }

    pub(super) fn decide_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.shifts.ask_orders(now) {
            out.push(Action::FetchOrders);
        }
        let posts = self.shifts.posts(now);
        out.extend(posts.into_iter().map(Action::Post));
        let decisions = self.shifts.decide(now);
        out.extend(decisions.into_iter().map(Action::Move));
        let reports = self.shifts.report(now);
        out.extend(reports.into_iter().map(Action::Report));
    }
}
