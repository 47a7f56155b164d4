//! The state machine of the direct path.

mod arrival;
mod call_outcome;
mod dispatch;
mod timers;
mod updates;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::{CallId, DeterministicMap, LeafId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::action::{Action, Reply, Token};
use crate::admission::Admission;
use crate::config::{Config, Name, Route, Target};
use crate::directory::Directory;
use crate::request::PendingRequest;
use crate::response_tracker::ResponseTracker;
use crate::round_robin::WeightedRoundRobin;
use crate::segment::{Peer, segment_size};
use crate::selector::LeafSelector;
use crate::shares::Shares;
use crate::version_moves::VersionMoves;

/// How long a call may go on after its request was answered, so that its connection can be kept.
const LINGER_TIME: Duration = Duration::from_millis(450);

/// `EdgeSettings` are the settings of the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Number of nodes that share the leafs, until the actual number is known.
    pub nodes: usize,
    /// Repeats (see [`Counts::repeats`]) allowed per request for a service, over all nodes.
    pub repeat_ratio: f64,
    /// Repeats allowed beyond the ratio, over all nodes.
    pub repeat_slack: f64,
    /// Share of a service's calls that a bad version may get from all nodes together.
    pub exposure_share: f64,
    /// Calls that a bad version may get beyond that share.
    pub exposure_slack: f64,
    /// Factor on the rate of requests that a cold leaf can take.
    pub cold_factor: f64,
    /// Requests that a cold leaf can take in one second beyond that rate, from all nodes together.
    pub cold_slack: f64,
    /// Minimum time from the end of a leaf until another one may get its address.
    pub address_reuse: Duration,
    /// How long after the node's start leafs may still hold connections of its previous process. Until then
    /// the node uses fewer connections than its share.
    pub former_time: Duration,
    /// Processor share of the node, in cores.
    pub cores: f64,
    /// Seed of random choices, such as that between equally good leafs. Also identifies the process in the
    /// ledgers of version moves.
    pub seed: u64,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            nodes: 10,
            repeat_ratio: 0.1,
            repeat_slack: 10.0,
            exposure_share: 0.1,
            exposure_slack: 0.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
            address_reuse: Duration::from_secs(2),
            former_time: Duration::ZERO,
            cores: 1.0,
            seed: 1,
        }
    }
}

/// `Counts` are the counters of the direct path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests of callers.
    pub requests: u64,
    /// Requests answered by a leaf, or merged from all shards.
    pub answered: u64,
    /// Responses that lack some shards.
    pub partial: u64,
    /// Requests rejected without having run.
    pub rejected: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Requests without a route.
    pub no_route: u64,
    /// Segments that other nodes asked for whose plan was not in force.
    pub unknown_plans: u64,
    /// Requests whose caller disconnected.
    pub left: u64,
    /// Calls sent to leafs.
    pub calls: u64,
    /// Hedged calls among them.
    pub hedges: u64,
    /// Retried calls among them.
    pub retries: u64,
    /// Calls, hedged or retried, that were sent after another call for the same shard may have reached a
    /// leaf. They are charged to the budget of their service.
    pub repeats: u64,
    /// Repeats that the budget did not allow.
    pub denied: u64,
    /// Calls sent to versions on trial.
    pub trials: u64,
    /// Calls that leafs refused.
    pub refused: u64,
    /// Calls that reached another leaf than the intended one.
    pub misdirected: u64,
    /// Calls whose answer was lost or unusable.
    pub broken: u64,
    /// Calls that could not be sent.
    pub unsent: u64,
    /// Calls that were not sent since the leaf did not report its name in time.
    pub unchecked: u64,
    /// Calls that were not sent since another leaf has the address.
    pub displaced: u64,
    /// Calls that were taken back before any of them was written.
    pub withdrawn: u64,
    /// Leafs that said in an answer that they are leaving.
    pub leaving: u64,
    /// Breaks that leafs asked for, extensions included.
    pub breaks: u64,
}

/// A call under way.
#[derive(Clone, Debug)]
struct Call {
    token: Token,
    /// Index of the shard in its request.
    shard: usize,
    leaf: LeafId,
    service: Name,
    version: Name,
    /// Key under which the response time is tracked.
    tracker_key: Name,
    sent_at: Time,
    is_overdue: bool,
}

/// A shard that waits for a leaf.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    priority: u32,
    received_at: Time,
    token: Token,
    /// Index of the shard in its request.
    shard: usize,
}

/// `Edge` is the direct path of one node.
#[derive(Debug)]
pub struct Edge {
    settings: EdgeSettings,
    config: Option<Rc<Config>>,
    /// Newest known era of the store.
    era: Option<u64>,
    /// Whether a full listing of the leafs has been received.
    leafs_listed: bool,
    /// Whether the list of closed failure domains has been received.
    domains_listed: bool,
    /// Nodes that may serve segments.
    peers: Vec<Peer>,
    /// Maximum number of shards per segment.
    segment_size: usize,
    /// Whether queries of some route are split into segments.
    has_segments: bool,
    /// Shards of routes whose queries are not split, if those of other routes are.
    direct_shards: HashSet<Name>,
    directory: Directory,
    selector: LeafSelector,
    shares: Shares,
    splits: WeightedRoundRobin,
    moves: VersionMoves,
    /// Response times of calls, by tracker key.
    trackers: HashMap<Name, ResponseTracker>,
    /// Admission limits of queries, keyed by their first shard.
    admissions: HashMap<Name, Admission>,
    pending: DeterministicMap<Token, PendingRequest>,
    calls: DeterministicMap<CallId, Call>,
    /// Shards that wait for a leaf, by service.
    waiters: HashMap<Name, Vec<Waiter>>,
    request_timers: BinaryHeap<Reverse<(Time, Token)>>,
    linger_timers: BinaryHeap<Reverse<(Time, CallId)>>,
    /// When a cold leaf may get its next call.
    next_cold: DeterministicMap<LeafId, Time>,
    next_call: u64,
    counts: Counts,
    /// Whether leafs may still hold connections of the node's previous process.
    after_restart: bool,
    rng: SmallRng,
}

impl Edge {
    /// Creates a node's direct path, without a configuration.
    pub fn new(settings: EdgeSettings) -> Self {
        let shares = Shares::new(settings.nodes, settings.repeat_ratio, settings.repeat_slack);
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            after_restart: !settings.former_time.is_zero(),
            settings,
            config: None,
            era: None,
            leafs_listed: false,
            domains_listed: false,
            peers: Vec::new(),
            segment_size: segment_size(&[]),
            has_segments: false,
            direct_shards: HashSet::new(),
            directory: Directory::default(),
            selector: LeafSelector::default(),
            shares,
            splits: WeightedRoundRobin::default(),
            moves: VersionMoves::default(),
            trackers: HashMap::new(),
            admissions: HashMap::new(),
            pending: DeterministicMap::default(),
            calls: DeterministicMap::default(),
            waiters: HashMap::new(),
            request_timers: BinaryHeap::new(),
            linger_timers: BinaryHeap::new(),
            next_cold: DeterministicMap::default(),
            next_call: 0,
            counts: Counts::default(),
            rng,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Returns the known leafs.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Counts a request that is rejected because the node is stopping.
    pub fn count_stop_rejection(&mut self) {
        self.counts.requests += 1;
        self.counts.rejected += 1;
    }

    /// Returns the number of requests under way.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of calls under way.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of nodes that the shares are computed for.
    pub fn nodes(&self) -> usize {
        self.shares.nodes()
    }

    /// Returns the newest known era of the store.
    pub fn store_era(&self) -> Option<u64> {
        self.era
    }

    /// Ends all requests under way, for a process that must exit.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        let tokens: Vec<Token> = self.pending.keys().copied().collect();
        for token in tokens {
            self.finish(token, Reply::Failed("the node is stopping"), now, out);
        }
    }

    /// Returns when [`Edge::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let request = self.request_timers.peek().map(|Reverse((at, _))| *at);
        let linger = self.linger_timers.peek().map(|Reverse((at, _))| *at);
        let expiry = self.directory.next_expiry();
        let moves = self.moves.next_wake();
        [request, linger, expiry, moves].into_iter().flatten().min()
    }
}

fn tracker<'a>(
    trackers: &'a mut HashMap<Name, ResponseTracker>,
    key: &Name,
    route: &Route,
) -> &'a mut ResponseTracker {
    trackers.entry(key.clone()).or_insert_with(|| {
        let has_shards = matches!(route.target, Target::FanOut(..));
        ResponseTracker::new(route.objective, has_shards)
    })
}
