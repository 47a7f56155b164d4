//! Copy of the state read from the store, from which new followers get a snapshot.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use monsoondeal_core::{Revision, Time};
use monsoondeal_edge::{Config, LeafEntry, MoveOrder, Name, Peer};

use crate::event::Update;

/// `Mirror` accumulates updates into the current state.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    config: Option<Rc<Config>>,
    /// Leafs by name, each with the time at which its entry was received; `None` until all are listed.
    leafs: Option<BTreeMap<Name, (LeafEntry, Time)>>,
    closed_domains: Option<HashSet<Name>>,
    /// Orders of version moves, and the time at which they were received.
    moves: Option<(Vec<MoveOrder>, Time)>,
    peers: Option<Vec<Peer>>,
}

impl Mirror {
    /// Clears everything but the list of nodes, which may be outdated until it is read again.
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
                let is_newer = |held: &Rc<Config>| {
                    (held.version, held.listed.era) < (config.version, config.listed.era)
                };
                if held.is_none_or(is_newer) {
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
            Update::ClosedDomains(domains) => self.closed_domains = Some(domains.clone()),
            Update::Moves(orders) => self.moves = Some((orders.clone(), now)),
            Update::Peers(peers) => self.peers = Some(peers.clone()),
            Update::ConfigCurrent
            | Update::RegistryLost
            | Update::Settings(_)
            | Update::StoreReachable(_)
            | Update::StoreRestored(_) => {}
        }
    }

    /// Adds the nodes known before to a list of nodes. Entries of nodes are never removed, so a list that lacks some is of a
    /// store that has lost them, and they still share the leafs.
    pub(super) fn add_known_peers(&self, listed: &mut Vec<Peer>) {
        let known = self.peers.iter().flatten();
        let lost = known.filter(|peer| !listed.iter().any(|other| other.name == peer.name));
        let lost: Vec<Peer> = lost.cloned().collect();
        listed.extend(lost);
    }

    /// Returns the configuration as of a return of the store to this era; `None` if the configuration is not known, or is
    /// of that era or a later one.
    pub(super) fn restored_config(&self, era: u64) -> Option<Config> {
        let held = self
            .config
            .as_ref()
            .filter(|held| held.listed.era < Some(era))?;
        let mut config = Config::clone(held);
        config.listed = Revision::new(era, 0);
        Some(config)
    }

    /// Returns updates from which the state can be rebuilt, or `None` until the state is complete. Remaining
    /// warm-up times and elapsed times are adjusted to `now`.
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
            Update::ClosedDomains(self.closed_domains.clone()?),
            Update::Moves(orders.collect()),
            Update::Peers(self.peers.clone()?),
        ])
    }
}
