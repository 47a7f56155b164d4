//! Which nodes read the store, and from whom the others take its changes.
//!
//! Load pattern: each node that watches the store costs calls with every change. In a failure domain
//! with many nodes a few read the store and the others follow one of them. A node whose source falls
//! silent tries the next one, and reads the store itself when there is none left, so that what is in
//! force at a node does not depend on any other node for longer than a second or two. A node that cannot
//! reach the store itself follows readers of other domains until it can.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Time;

/// Nodes of a failure domain below which each reads the store itself.
const MIN_SHARED_DOMAIN: usize = 6;
/// Nodes that read the store, in a domain with others that follow them, at least.
const MIN_READERS: usize = 2;
/// Nodes for each of which one more reads the store.
const NODES_PER_READER: usize = 32;
/// Readers that a node tries.
const READER_SOURCES: usize = 2;
/// Nodes that it tries after them: those that read the store when the readers are lost.
const FOLLOWER_SOURCES: usize = 2;
/// Time for a node to send what it knows.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which a source counts as lost. Sources send something three times as often.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a node without a source reads the store before it looks for one again.
const SOURCE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Nodes that a node tries while it cannot reach the store.
const MAX_FALLBACKS: usize = 3;
/// Time between two searches for one of them.
const FALLBACK_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// `FleetNode` is what decides on a node's part in reading the store.
#[derive(Clone, Copy, Debug)]
pub struct FleetNode<'a> {
    /// Name, unique in the fleet.
    pub name: &'a str,
    /// Failure domain of its VM.
    pub domain: &'a str,
    /// Processor share of its VM, in cores.
    pub cores: f64,
    /// Where it accepts nodes that follow it.
    pub addr: SocketAddr,
}

/// `StoreRole` is a node's part in reading the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRole {
    /// Nodes to follow, the first one that it can. A node without any reads the store.
    pub sources: Vec<SocketAddr>,
    /// Nodes to follow while it is to read the store and cannot reach it.
    pub fallbacks: Vec<SocketAddr>,
}

impl StoreRole {
    /// Returns whether the node reads the store.
    pub fn is_reader(&self) -> bool {
        self.sources.is_empty()
    }
}

/// Returns the part of the node named `own` in a fleet. A node that is not listed reads the store.
pub fn store_role<'a, N>(own: &str, fleet: N) -> StoreRole
where
    N: IntoIterator<Item = FleetNode<'a>>,
{
    let mut domains: BTreeMap<&str, Vec<FleetNode<'a>>> = BTreeMap::new();
    for node in fleet {
        domains.entry(node.domain).or_default().push(node);
    }
    for nodes in domains.values_mut() {
        nodes.sort_by(|a, b| {
            let by_size = b.cores.total_cmp(&a.cores);
            by_size.then_with(|| digest(a.name).cmp(&digest(b.name)))
        });
    }
    let position = domains.values().find_map(|nodes| {
        let rank = nodes.iter().position(|node| node.name == own)?;
        Some((nodes, rank))
    });
    let sources =
        position.map_or_else(Vec::new, |(nodes, rank)| follower_sources(own, nodes, rank));
    let mut others: Vec<FleetNode<'a>> = domains
        .values()
        .flat_map(|nodes| &nodes[..reader_count(nodes.len())])
        .filter(|node| node.name != own)
        .copied()
        .collect();
    others.sort_by_key(|node| digest((own, node.name)));
    StoreRole {
        sources,
        fallbacks: others
            .iter()
            .take(MAX_FALLBACKS)
            .map(|node| node.addr)
            .collect(),
    }
}

/// Returns how many nodes of a domain read the store.
fn reader_count(nodes: usize) -> usize {
    if nodes < MIN_SHARED_DOMAIN {
        return nodes;
    }
    nodes.div_ceil(NODES_PER_READER).max(MIN_READERS)
}

/// Returns whom the node of a rank in its domain follows.
fn follower_sources(own: &str, ranked: &[FleetNode<'_>], rank: usize) -> Vec<SocketAddr> {
    let count = reader_count(ranked.len());
    if rank < count {
        return Vec::new();
    }
    let mut readers = ranked[..count].to_vec();
    readers.sort_by_key(|reader| digest((own, reader.name)));
    let followers = ranked[count..rank].iter().take(FOLLOWER_SOURCES);
    let candidates = readers.iter().take(READER_SOURCES).chain(followers);
    candidates.map(|node| node.addr).collect()
}

fn digest<T>(value: T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// `SourceAction` is what the node has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceAction {
    /// Read the store.
    StartReading,
    /// Leave the store alone.
    StopReading,
    /// Follow the node at an address, and no other one.
    Connect(SocketAddr),
    /// Follow no node.
    Disconnect,
}

/// How far a follower has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It follows nobody, until then.
    NoSource(Time),
    /// It waits for the first message of a node.
    Connecting { index: usize, since: Time },
    /// It follows a node and has last heard of it then.
    Following { index: usize, heard: Time },
}

/// `SourceSelector` decides whether a node reads the store or follows another node.
#[derive(Debug)]
pub struct SourceSelector {
    role: Option<StoreRole>,
    state: State,
    is_reading: bool,
    /// Whether the node is to read the store and cannot reach it. Only while it is reading.
    is_cut_off: bool,
}

impl Default for SourceSelector {
    fn default() -> Self {
        Self {
            role: None,
            state: State::NoSource(Time::MAX),
            is_reading: false,
            is_cut_off: false,
        }
    }
}

impl SourceSelector {
    /// Returns whether the node reads the store.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns whether the node follows another one, so that what it reads itself is out of date.
    pub fn is_following(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Sets the node's part, as the list of nodes tells it.
    pub fn set_role(&mut self, role: StoreRole, now: Time, out: &mut Vec<SourceAction>) {
        if self.role.as_ref() == Some(&role) {
            return;
        }
        let current_source = self.current_source();
        self.role = Some(role);
        let nodes = self.candidates();
        let is_empty = nodes.is_empty();
        let kept = current_source.and_then(|addr| nodes.iter().position(|node| *node == addr));
        match (&mut self.state, kept) {
            (State::Connecting { index, .. } | State::Following { index, .. }, Some(kept)) => {
                *index = kept
            }
            _ if is_empty => self.stop_following(now, out),
            _ => self.connect_to(0, now, out),
        }
    }

    /// Notes whether the store can be reached, as far as the node reads it.
    ///
    /// Load pattern: a node that is cut off from the store goes on serving. With an old configuration it
    /// asks leafs that are gone, and other nodes refuse to serve segments of its queries.
    pub fn set_store_reachable(
        &mut self,
        is_reachable: bool,
        now: Time,
        out: &mut Vec<SourceAction>,
    ) {
        if !self.is_reading || is_reachable != self.is_cut_off {
            return;
        }
        self.is_cut_off = !is_reachable;
        if self.is_cut_off {
            self.connect_to(0, now, out);
            return;
        }
        self.stop_following(now, out);
    }

    /// Notes a message of the node that is followed.
    pub fn on_message(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        let (State::Connecting { index, .. } | State::Following { index, .. }) = self.state else {
            return;
        };
        self.state = State::Following { index, heard: now };
        if self.is_reading && !self.is_cut_off {
            self.is_reading = false;
            out.push(SourceAction::StopReading);
        }
    }

    /// Notes that the connection to the node that is followed ended.
    pub fn on_disconnect(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        match self.state {
            State::NoSource(_) => {}
            State::Connecting { index, .. } => self.connect_to(index + 1, now, out),
            // The node may only have been replaced, so that the first one is worth a new try.
            State::Following { index, .. } => self.connect_to(usize::from(index == 0), now, out),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        if self.next_wake().is_none_or(|wake| now < wake) {
            return;
        }
        match self.state {
            State::NoSource(_) => self.connect_to(0, now, out),
            State::Connecting { .. } | State::Following { .. } => self.on_disconnect(now, out),
        }
    }

    /// Returns when [`SourceSelector::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        match self.state {
            State::NoSource(until) => (until != Time::MAX).then_some(until),
            State::Connecting { since, .. } => Some(since + FIRST_MESSAGE_TIMEOUT),
            State::Following { heard, .. } => Some(heard + SOURCE_TIMEOUT),
        }
    }

    /// Returns the nodes to follow, best first.
    fn candidates(&self) -> &[SocketAddr] {
        match &self.role {
            Some(role) if self.is_cut_off => &role.fallbacks,
            Some(role) => &role.sources,
            None => &[],
        }
    }

    /// Returns when a node that follows nobody looks for one again.
    fn next_retry(&self, now: Time) -> Time {
        if self.is_cut_off {
            now + FALLBACK_RETRY_INTERVAL
        } else if self.candidates().is_empty() {
            Time::MAX
        } else {
            now + SOURCE_RETRY_INTERVAL
        }
    }

    /// Returns the node that is tried or followed.
    fn current_source(&self) -> Option<SocketAddr> {
        match self.state {
            State::NoSource(_) => None,
            State::Connecting { index, .. } | State::Following { index, .. } => {
                self.candidates().get(index).copied()
            }
        }
    }

    fn connect_to(&mut self, index: usize, now: Time, out: &mut Vec<SourceAction>) {
        match self.candidates().get(index).copied() {
            Some(addr) => {
                self.leave_source(out);
                self.state = State::Connecting { index, since: now };
                out.push(SourceAction::Connect(addr));
            }
            None => self.stop_following(now, out),
        }
    }

    /// Leaves the node that is followed. What was read meanwhile was not used, and is not told again: it is
    /// read anew.
    fn leave_source(&mut self, out: &mut Vec<SourceAction>) {
        if self.is_following() && self.is_reading {
            out.push(SourceAction::StopReading);
            out.push(SourceAction::StartReading);
        }
    }

    fn stop_following(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        self.leave_source(out);
        self.state = State::NoSource(self.next_retry(now));
        out.push(SourceAction::Disconnect);
        if !self.is_reading {
            self.is_reading = true;
            out.push(SourceAction::StartReading);
        }
    }
}
