//! Selection of the nodes that read the store, and of those from which the others receive its changes.
//!
//! Load pattern: each node that watches the store costs calls with every change. So in a failure domain
//! with many nodes a few read the store, and the others follow one of them. A node whose source falls
//! silent tries the next one, and reads the store itself when none is left or [`SourceTiming`] allows no more
//! time, so that a change is in force in time whichever nodes are lost. A reader that
//! cannot reach the store follows readers of other domains until it can.
//!
//! When the store is lost to all, all readers drop their followers at once. So a node without a source first
//! probes the store, which costs little, and reads it only if it answers. If the store answers only after a
//! while, the readers have just regained it too, and the node gives them time to serve it again.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Time;

use crate::store_contact::SourceTiming;

/// Number of nodes in a failure domain from which on several of them read the store for the others.
const MIN_SHARED_DOMAIN: usize = 6;
/// Fewest readers of the store in such a domain.
const MIN_READERS: usize = 2;
/// Number of nodes in the fleet from which on one node reads the store for a smaller domain. In a smaller fleet each
/// node of such a domain reads it.
const MIN_SHARED_FLEET: usize = 12;
/// Nodes of a domain for each reader of the store.
const NODES_PER_READER: usize = 32;
/// Readers among the sources of a node.
const READER_SOURCES: usize = 2;
/// Followers among the sources of a node, after the readers: they read the store if the readers are lost.
const FOLLOWER_SOURCES: usize = 2;
/// Time in which a new source must send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node without a source reads the store before it tries its sources again.
const SOURCE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// How long a node gives its sources to serve it again once a store that was lost answers.
const RELIEF_TIME: Duration = Duration::from_millis(1_500);
/// Time between two attempts at the sources meanwhile.
const RELIEF_RETRY_INTERVAL: Duration = Duration::from_millis(250);
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
    let fleet_size = domains.values().map(Vec::len).sum();
    let mut others: Vec<FleetNode<'a>> = domains
        .values()
        .flat_map(|nodes| &nodes[..reader_count(nodes.len(), fleet_size)])
        .filter(|node| node.name != own)
        .copied()
        .collect();
    others.sort_by_key(|node| digest((own, node.name)));
    let fallbacks: Vec<SocketAddr> = others
        .iter()
        .take(MAX_FALLBACKS)
        .map(|node| node.addr)
        .collect();
    let mut sources = ranked.map_or_else(Vec::new, |(nodes, rank)| {
        let readers = reader_count(nodes.len(), fleet_size);
        follower_sources(own, nodes, rank, readers)
    });
    // The only reader of a small domain has no substitute there.
    if sources.len() == 1 {
        let substitutes = fallbacks.iter().filter(|addr| **addr != sources[0]);
        let substitutes: Vec<SocketAddr> = substitutes.copied().take(READER_SOURCES).collect();
        sources.extend(substitutes);
    }
    StoreRole { sources, fallbacks }
}

/// Returns the number of readers in a domain of `nodes` nodes, in a fleet of `fleet_size`.
fn reader_count(nodes: usize, fleet_size: usize) -> usize {
    if nodes >= MIN_SHARED_DOMAIN {
        nodes.div_ceil(NODES_PER_READER).max(MIN_READERS)
    } else if fleet_size >= MIN_SHARED_FLEET {
        1
    } else {
        nodes
    }
}

/// Returns the sources of the node at `rank` in its domain, which has `count` readers; none if it is one of them.
fn follower_sources(
    own: &str,
    ranked: &[FleetNode<'_>],
    rank: usize,
    count: usize,
) -> Vec<SocketAddr> {
    if rank < count {
        return Vec::new();
    }
    if count == 1 {
        return vec![ranked[0].addr];
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
    /// Start to read the store, instead of probing it.
    StartReading,
    /// Ask the store for signs of life, and report them by [`SourceSelector::set_store_reachable`].
    StartProbing,
    /// Stop reading or probing the store.
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

/// How a node uses the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreUse {
    /// The node leaves the store to its source.
    None,
    /// The node has no source of its own and waits for the store to answer.
    Probing,
    /// A store that was lost answers. The node reads it from this time on unless a source serves it before.
    Relief(Time),
    /// The node reads the store.
    Reading,
}

/// `SourceSelector` decides whether a node reads the store or follows another node.
#[derive(Debug)]
pub struct SourceSelector {
    timing: SourceTiming,
    role: Option<StoreRole>,
    state: State,
    /// When a node that has lost its source asks the store itself, whatever sources are left to try.
    search_until: Time,
    store_use: StoreUse,
    /// Whether the node needs the store but cannot reach it. Set only while it probes or reads the store.
    is_cut_off: bool,
}

impl Default for SourceSelector {
    fn default() -> Self {
        Self::new(SourceTiming::default())
    }
}

impl SourceSelector {
    /// Creates the selector of a node whose role is not known yet.
    pub fn new(timing: SourceTiming) -> Self {
        Self {
            timing,
            role: None,
            state: State::NoSource(Time::MAX),
            search_until: Time::MAX,
            store_use: StoreUse::None,
            is_cut_off: false,
        }
    }

    /// Returns whether the node has to read the store.
    pub fn is_reading(&self) -> bool {
        self.store_use == StoreUse::Reading
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
        let is_reader = role.is_reader();
        self.role = Some(role);
        if is_reader && matches!(self.store_use, StoreUse::Probing | StoreUse::Relief(_)) {
            self.start_reading(out);
        }
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

    /// Handles that the store is or is not reachable. Has no effect while the node leaves the store to its source.
    ///
    /// Load pattern: a node that is cut off from the store goes on serving. With a stale configuration it
    /// calls leafs that are gone, and other nodes refuse to serve segments of its queries.
    pub fn set_store_reachable(
        &mut self,
        is_reachable: bool,
        now: Time,
        out: &mut Vec<SourceAction>,
    ) {
        if self.store_use == StoreUse::None {
            return;
        }
        let has_changed = is_reachable == self.is_cut_off;
        self.is_cut_off = !is_reachable;
        match (self.store_use, has_changed) {
            // The store answers the first probe: only the sources are lost.
            (StoreUse::Probing, false) if is_reachable => self.start_reading(out),
            (_, false) => {}
            (_, true) if !is_reachable => self.connect_to(0, now, out),
            (StoreUse::Reading, true) => self.stop_following(now, out),
            (_, true) => {
                self.store_use = StoreUse::Relief(now + RELIEF_TIME);
                self.connect_to(0, now, out);
            }
        }
    }

    /// Handles a message of the source.
    pub fn on_message(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        let (State::Connecting { index, .. } | State::Following { index, .. }) = self.state else {
            return;
        };
        self.state = State::Following { index, heard: now };
        self.search_until = Time::MAX;
        if self.store_use != StoreUse::None && !self.is_cut_off {
            self.store_use = StoreUse::None;
            out.push(SourceAction::StopReading);
        }
    }

    /// Handles the end of the connection to the source.
    pub fn on_disconnect(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        match self.state {
            State::NoSource(_) => {}
            State::Connecting { .. } if now >= self.search_until => self.stop_following(now, out),
            State::Connecting { index, .. } => self.connect_to(index + 1, now, out),
            // The first source may have been replaced meanwhile, so it is tried again unless it was the one lost.
            State::Following { index, .. } => {
                self.search_until = now + self.timing.search();
                self.connect_to(usize::from(index == 0), now, out);
            }
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
            State::Connecting { since, .. } => {
                Some((since + FIRST_MESSAGE_TIMEOUT).min(self.search_until))
            }
            State::Following { heard, .. } => Some(heard + self.timing.silence()),
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
        match self.store_use {
            _ if self.is_cut_off => now + FALLBACK_RETRY_INTERVAL,
            _ if self.candidates().is_empty() => Time::MAX,
            StoreUse::Relief(_) => now + RELIEF_RETRY_INTERVAL,
            _ => now + SOURCE_RETRY_INTERVAL,
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
        if self.is_following() && self.is_reading() {
            out.push(SourceAction::StopReading);
            out.push(SourceAction::StartReading);
        }
    }

    fn stop_following(&mut self, now: Time, out: &mut Vec<SourceAction>) {
        self.search_until = Time::MAX;
        self.leave_source(out);
        out.push(SourceAction::Disconnect);
        let is_reader = self.role.as_ref().is_some_and(StoreRole::is_reader);
        match self.store_use {
            StoreUse::None if is_reader => self.start_reading(out),
            StoreUse::None => {
                self.store_use = StoreUse::Probing;
                out.push(SourceAction::StartProbing);
            }
            StoreUse::Relief(until) if !self.is_cut_off && now >= until => self.start_reading(out),
            StoreUse::Probing | StoreUse::Relief(_) | StoreUse::Reading => {}
        }
        self.state = State::NoSource(self.next_retry(now));
    }

    fn start_reading(&mut self, out: &mut Vec<SourceAction>) {
        self.store_use = StoreUse::Reading;
        out.push(SourceAction::StartReading);
    }
}
