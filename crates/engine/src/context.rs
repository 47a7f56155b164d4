//! State that all components of an engine share.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{CallId, DeterministicMap, LeafId, NodeId, Time};
use monsoondeal_member::{CellView, LeaseStatus};

use crate::config::Config;
use crate::counts::Counts;
use crate::event::{LocalEvent, Origin, Timer};
use crate::io::{LinkId, Output};
use crate::links::{Link, Peer};
use crate::local_move::LocalMove;
use crate::message::ConfigVersions;
use crate::placement::{Placements, bucket_of, key_item};
use crate::settings::EngineSettings;
use crate::timers::Timers;

/// Messages with an idempotency key that are older than this are not run: the home node may have
/// forgotten an earlier copy of the request by then.
pub(crate) const MAX_MESSAGE_AGE: Duration = Duration::from_secs(10);

/// `Context` is the state that all components of an engine share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: EngineSettings,
    pub(crate) cell: CellView,
    pub(crate) config: Config,
    pub(crate) placements: Placements,
    /// Version moves by service.
    pub(crate) moves: BTreeMap<String, LocalMove>,
    /// Peers that this node connects to.
    pub(crate) peers: DeterministicMap<SocketAddr, Peer>,
    pub(crate) links: DeterministicMap<LinkId, Link>,
    pub(crate) timers: Timers<Timer>,
    /// Events between components. Invariant: empty between two inputs.
    pub(crate) local_events: VecDeque<LocalEvent>,
    pub(crate) counts: Counts,
    /// Next unused identifier of a call, at-most-once request or query.
    pub(crate) next_id: CallId,
}

impl Context {
    /// Creates the context of a node without configuration and roster.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            cell: CellView::new(settings.membership, settings.me.clone()),
            settings,
            config: Config::default(),
            placements: Placements::default(),
            moves: BTreeMap::new(),
            peers: DeterministicMap::default(),
            links: DeterministicMap::default(),
            timers: Timers::default(),
            local_events: VecDeque::new(),
            counts: Counts::default(),
            next_id: CallId(0),
        }
    }

    /// Allocates the identifier of a call, at-most-once request or query.
    pub(crate) fn allocate_id(&mut self) -> CallId {
        let id = self.next_id;
        self.next_id.0 += 1;
        id
    }

    /// Requests a read of an object in the store.
    pub(crate) fn read_object(&mut self, key: String, out: &mut Vec<Output>) {
        self.counts.store_calls += 1;
        out.push(Output::Read(key));
    }

    /// Returns the versions of the configuration that this node has.
    pub(crate) fn config_versions(&self) -> ConfigVersions {
        let roster = self.cell.roster();
        ConfigVersions {
            tree: self
                .config
                .tree
                .as_ref()
                .map(|t| t.version)
                .unwrap_or_default(),
            epoch: roster.epoch,
            settled: roster.previous.is_none(),
            maps: self.config.maps.values().map(|m| m.revision).sum::<u64>()
                + self.moves.values().map(|m| m.revision).sum::<u64>(),
        }
    }

    /// Returns the address of a member.
    pub(crate) fn addr_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.cell.roster().member(node).map(|m| m.peer)
    }

    /// Returns the address of a member if its connection is up and it is considered alive.
    pub(crate) fn reachable_addr(&self, node: NodeId, now: Time) -> Option<SocketAddr> {
        let addr = self.addr_of(node)?;
        let up = self.peers.get(&addr).is_some_and(|peer| peer.up);
        (up && self.cell.is_alive(node, now)).then_some(addr)
    }

    /// Returns the peers whose connection is up.
    pub(crate) fn peers_up(&self) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.up)
            .map(|(addr, _)| *addr)
            .collect()
    }

    /// Returns the node that opened a connection, once it has identified itself.
    pub(crate) fn link_node(&self, link: LinkId) -> Option<NodeId> {
        self.links.get(&link).and_then(|l| l.node)
    }

    /// Returns whether this node holds the lease on a leaf now.
    pub(crate) fn holds_leaf(&self, leaf: LeafId, now: Time) -> bool {
        let me = self.settings.me.node;
        self.placements.leafs.holder(leaf) == Some(me)
            && self
                .cell
                .lease(self.placements.previous_leafs.holder(leaf), now)
                == LeaseStatus::Held
    }

    /// Returns whether this node holds the lease on a bucket of idempotency keys now.
    pub(crate) fn holds_bucket(&self, bucket: u32, now: Time) -> bool {
        let item = key_item(bucket).leaf;
        self.placements.keys.holder(item) == Some(self.settings.me.node)
            && self
                .cell
                .lease(self.placements.previous_keys.holder(item), now)
                == LeaseStatus::Held
    }

    /// Returns the home node of an idempotency key.
    pub(crate) fn home_of(&self, service: &str, key: &str) -> Option<NodeId> {
        self.placements
            .keys
            .holder(key_item(bucket_of(service, key)).leaf)
    }

    /// Estimates the time since a message was sent, in transit and in queues. `sent` is the send time by
    /// the sender's clock, in microseconds.
    pub(crate) fn message_age(&self, from: Origin, sent: u64, now: Time) -> Duration {
        match from {
            Origin::Local => now.since(Time::from_micros(sent)),
            Origin::Link(link) => self
                .links
                .get(&link)
                .map_or(Duration::ZERO, |link| link.age(sent, now)),
        }
    }
}
