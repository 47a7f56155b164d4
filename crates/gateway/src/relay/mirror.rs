//! What a node that reads the store has learnt from it, for nodes that begin to follow it.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use monsoondeal_core::Time;
use monsoondeal_edge::{Config, LeafEntry, MoveOrder, Name, Peer};

use crate::event::Update;

/// `Mirror` holds the latest state that updates add up to.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    config: Option<Rc<Config>>,
    /// Leafs by name, each with the time at which its entry came; `None` until they are listed.
    leafs: Option<BTreeMap<Name, (LeafEntry, Time)>>,
    domains: Option<HashSet<Name>>,
    /// Version moves, and the time at which they came.
    moves: Option<(Vec<MoveOrder>, Time)>,
    peers: Option<Vec<Peer>>,
}

impl Mirror {
    /// Forgets what is read from the store but the list of nodes, which may be old.
    pub(super) fn clear(&mut self) {
        *self = Self {
            peers: self.peers.take(),
            ..Self::default()
        };
    }

    /// Applies an update.
    pub(super) fn apply(&mut self, update: &Update, now: Time) {
        match update {
            Update::Config(config) => {
                let held = self.config.as_ref();
                if held.is_none_or(|held| held.version < config.version) {
                    self.config = Some(config.clone());
                }
            }
            Update::Leafs(entries) => {
                let entries = entries.iter().cloned();
                let leafs = entries.map(|entry| (entry.name.clone(), (entry, now)));
                self.leafs = Some(leafs.collect());
            }
            Update::Leaf(entry) => {
                if let Some(leafs) = &mut self.leafs {
                    let entry = LeafEntry::clone(entry);
                    leafs.insert(entry.name.clone(), (entry, now));
                }
            }
            Update::LeafGone(name) => {
                if let Some(leafs) = &mut self.leafs {
                    leafs.remove(name);
                }
            }
            Update::ClosedDomains(domains) => self.domains = Some(domains.clone()),
            Update::Moves(orders) => self.moves = Some((orders.clone(), now)),
            Update::Peers(peers) => self.peers = Some(peers.clone()),
            Update::ConfigCurrent
            | Update::RegistryLost
            | Update::Settings(_)
            | Update::StoreReachable(_) => {}
        }
    }

    /// Returns updates that add up to the state, or `None` until all of it is known. Spans that run on
    /// are those of the present.
    pub(super) fn snapshot(&self, now: Time) -> Option<Vec<Update>> {
        let leafs = self
            .leafs
            .as_ref()?
            .values()
            .map(|(entry, since)| LeafEntry {
                warmup: entry.warmup.saturating_sub(now.since(*since)),
                ..entry.clone()
            });
        let (orders, since) = self.moves.as_ref()?;
        let orders = orders.iter().map(|order| MoveOrder {
            elapsed: order.elapsed + now.since(*since),
            ..order.clone()
        });
        Some(vec![
            Update::Config(self.config.clone()?),
            Update::Leafs(leafs.collect()),
            Update::ClosedDomains(self.domains.clone()?),
            Update::Moves(orders.collect()),
            Update::Peers(self.peers.clone()?),
        ])
    }
}
