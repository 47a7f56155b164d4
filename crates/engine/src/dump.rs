//! Dump of an engine's state as JSON, for operators.

use serde::Serialize;

use monsoondeal_core::Time;
use monsoondeal_member::Roster;
use monsoondeal_moves::Progress;

use crate::counts::Counts;
use crate::engine::Engine;
use crate::local_move::LocalMove;
use crate::message::ConfigVersions;

/// State of a node at a point in time.
#[derive(Debug, Serialize)]
struct Dump<'a> {
    node: u64,
    cell: &'a str,
    domain: &'a str,
    ready: bool,
    confirmed: bool,
    stopping: bool,
    versions: VersionsDump,
    roster: &'a Roster,
    peers: Vec<PeerDump>,
    leafs: Vec<LeafDump>,
    moves: Vec<MoveDump>,
    queries: usize,
    orders: usize,
    keys: usize,
    faults: &'a std::collections::BTreeMap<String, String>,
    counts: Counts,
}

/// [`ConfigVersions`] with the names that operators read.
#[derive(Debug, Serialize)]
struct VersionsDump {
    tree: u64,
    epoch: u64,
    settled: bool,
    maps: u64,
}

impl From<ConfigVersions> for VersionsDump {
    fn from(versions: ConfigVersions) -> Self {
        let ConfigVersions {
            tree,
            epoch,
            settled,
            maps,
        } = versions;
        Self {
            tree: tree.0,
            epoch: epoch.0,
            settled,
            maps,
        }
    }
}

#[derive(Debug, Serialize)]
struct PeerDump {
    addr: std::net::SocketAddr,
    up: bool,
}

#[derive(Debug, Serialize)]
struct LeafDump {
    leaf: u64,
    held: bool,
    cold: bool,
    running: u32,
    waiting: usize,
}

/// State of a version move at this node.
#[derive(Debug, Serialize)]
struct MoveDump {
    service: String,
    progress: Progress,
    /// Whether the new version is stopped at this node.
    stopped: bool,
    /// Whether this node coordinates the move.
    conducts: bool,
}

impl Engine {
    /// Returns the state of the engine as JSON.
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let mut peers: Vec<PeerDump> = self
            .cx
            .peers
            .iter()
            .map(|(addr, peer)| PeerDump {
                addr: *addr,
                up: peer.up,
            })
            .collect();
        peers.sort_by_key(|p| p.addr);
        let dump = Dump {
            node: self.cx.settings.me.node.0,
            cell: &self.cx.settings.cell,
            domain: &self.cx.settings.me.domain,
            ready: self.is_ready(now),
            confirmed: self.cx.cell.is_confirmed(now),
            stopping: self.stopping,
            versions: self.cx.config_versions().into(),
            roster: self.cx.cell.roster(),
            peers,
            leafs: self.leaf_dumps(now),
            moves: self.move_dumps(),
            queries: self.queries.count(),
            orders: self.at_most_once.count(),
            keys: self.home.key_count(),
            faults: &self.feed.errors,
            counts: self.cx.counts,
        };
        serde_json::to_value(&dump).unwrap_or_default()
    }

    fn move_dumps(&self) -> Vec<MoveDump> {
        let dump = |(service, local_move): (&String, &LocalMove)| MoveDump {
            service: service.clone(),
            progress: local_move.record.progress.clone(),
            stopped: local_move.agent.is_stopped(),
            conducts: local_move.coordinator.is_some(),
        };
        self.cx.moves.iter().map(dump).collect()
    }

    fn leaf_dumps(&self, now: Time) -> Vec<LeafDump> {
        let limiters = self.holder.limiters();
        let mut leafs: Vec<LeafDump> = limiters
            .map(|(leaf, limiter)| LeafDump {
                leaf: leaf.0,
                held: self.cx.holds_leaf(leaf, now),
                cold: limiter.is_cold(),
                running: limiter.running(),
                waiting: limiter.waiting(),
            })
            .collect();
        leafs.sort_by_key(|l| l.leaf);
        leafs
    }
}
