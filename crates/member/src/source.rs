//! Selection of the nodes that read the store, and of those from which the others receive its changes.
//!
//! Load pattern: each node that watches the store costs calls with every change. So in a failure domain
//! with many nodes a few read the store, and the others follow one of them. A node whose source falls
//! silent tries the next one, and reads the store itself when none is left, so that the configuration in
//! force at a node does not depend on any other node for longer than a second or two. A reader that
//! cannot reach the store follows readers of other domains until it can.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Time;

/// Number of nodes in a failure domain below which each of them reads the store itself.
const MIN_SHARED_DOMAIN: usize = 6;
/// Fewest readers of the store in a domain where other nodes follow them.
const MIN_READERS: usize = 2;
/// Nodes of a domain for each reader of the store.
const NODES_PER_READER: usize = 32;
/// Readers among the sources of a node.
const READER_SOURCES: usize = 2;
/// Followers among the sources of a node, after the readers: they read the store if the readers are lost.
const FOLLOWER_SOURCES: usize = 2;
/// Time in which a new source must send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which a source counts as lost. Sources send messages three times as often.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a node without a source reads the store before it tries its sources again.
const SOURCE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Readers that a node tries while it cannot reach the store.
const MAX_FALLBACKS: usize = 3;
/// Time between two such attempts.
const FALLBACK_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// `FleetNode` describes a node of the fleet, as far as roles depend on it.
#[derive(Clone, Copy, Debug)]
pub struct FleetNode<'a> {
    /// Name, unique in the fleet.
    pub name: &'a str,
    /// Failure domain of its VM.
    pub domain: &'a str,
    /// Processor share of its VM, in cores.
    pub cores: f64,
    /// Address at which it accepts followers.
    pub addr: SocketAddr,
}

/// `StoreRole` is whether a node reads the store, and which nodes it follows otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRole {
    /// Nodes to follow, in order of preference. A node without any reads the store.
    pub sources: Vec<SocketAddr>,
    /// Readers to follow while the node has to read the store but cannot reach it.
    pub fallbacks: Vec<SocketAddr>,
}

impl StoreRole {
    /// Returns whether the node reads the store.
    pub fn is_reader(&self) -> bool {
        self.sources.is_empty()
    }
}

/// Returns the role of the node named `own` in a fleet. A node that the fleet does not list reads the store.
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
    let ranked = domains.values().find_map(|nodes| {
        let rank = nodes.iter().position(|node| node.name == own)?;
        Some((nodes, rank))
    });
    let sources = ranked.map_or_else(Vec::new, |(nodes, rank)| follower_sources(own, nodes, rank));
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

/// Returns the number of readers in a domain of `nodes` nodes.
fn reader_count(nodes: usize) -> usize {
    if nodes < MIN_SHARED_DOMAIN {
        return nodes;
    }
    nodes.div_ceil(NODES_PER_READER).max(MIN_READERS)
}

/// Returns the sources of the node at `rank` in its domain; none if it is a reader.
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

/// `SourceAction` is an action that the node has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceAction {
    /// Start to read the store.
    StartReading,
    /// Stop reading the store.
    StopReading,
    /// Follow the node at an address, instead of any other.
    Connect(SocketAddr),
    /// Stop following.
    Disconnect,
}

/// State of the connection to a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no source, and none is tried until this time.
    NoSource(Time),
    /// The first message of a source is awaited.
    Connecting { index: usize, since: Time },
    /// A source is followed, whose last message came at `heard`.
    Following { index: usize, heard: Time },
}

/// `SourceSelector` decides whether a node reads the store or follows another node.
#[derive(Debug)]
pub struct SourceSelector {
    role: Option<StoreRole>,
    state: State,
    is_reading: bool,
    /// Whether the node has to read the store but cannot reach it. Set only while `is_reading` is.
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
    /// Returns whether the node has to read the store.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns whether the node follows another one, so that its own reads of the store must not be used.
    pub fn is_following(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Sets the node's role, as it follows from the list of nodes.
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

    /// Handles that the store is or is not reachable. Has no effect while the node does not read the store.
    ///
    /// Load pattern: a node that is cut off from the store goes on serving. With a stale configuration it
    /// calls leafs that are gone, and other nodes refuse to serve segments of its queries.
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

    /// Handles a message of the source.
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

    /// Handles the end of the connection to the source.
    pub fn on_disconnect(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        match self.state {
            State::NoSource(_) => {}
            State::Connecting { index, .. } => self.connect_to(index + 1, now, out),
            // The first source may have been replaced meanwhile, so it is tried again unless it was the one lost.
            State::Following { index, .. } => self.connect_to(usize::from(index == 0), now, out),
        }
    }

    /// Handles timers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        if self.next_wake().is_none_or(|wake| now < wake) {
            return;
        }
        match self.state {
            State::NoSource(_) => self.connect_to(0, now, out),
            State::Connecting { .. } | State::Following { .. } => self.on_disconnect(now, out),
        }
    }

    /// Returns when [`SourceSelector::tick`] must be called.
    pub fn next_wake(&self) -> Option<Time> {
        match self.state {
            State::NoSource(until) => (until != Time::MAX).then_some(until),
            State::Connecting { since, .. } => Some(since + FIRST_MESSAGE_TIMEOUT),
            State::Following { heard, .. } => Some(heard + SOURCE_TIMEOUT),
        }
    }

    /// Returns the nodes to follow, in order of preference.
    fn candidates(&self) -> &[SocketAddr] {
        match &self.role {
            Some(role) if self.is_cut_off => &role.fallbacks,
            Some(role) => &role.sources,
            None => &[],
        }
    }

    /// Returns when a node without a source tries the candidates again.
    fn next_retry(&self, now: Time) -> Time {
        if self.is_cut_off {
            now + FALLBACK_RETRY_INTERVAL
        } else if self.candidates().is_empty() {
            Time::MAX
        } else {
            now + SOURCE_RETRY_INTERVAL
        }
    }

    /// Returns the source that is tried or followed.
    fn current_source(&self) -> Option<SocketAddr> {
        match self.state {
            State::NoSource(_) => None,
            State::Connecting { index, .. } | State::Following { index, .. } => {
                self.candidates().get(index).copied()
            }
        }
    }

    /// Tries the candidate at `index`, or stops following if there is none.
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

    /// Restarts reading if the node reads the store and followed a source. Changes that were read meanwhile
    /// were not used and are not delivered again, so everything must be read anew.
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
