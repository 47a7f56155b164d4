//! Simulates a cell of engines with a fake network, store and leafs, in virtual time.
//!
//! Each node's clock has a random offset, so that a test fails if a node compares clocks of different
//! nodes. Messages are encoded and decoded unless [`Options::codec`] is off. A run depends on its seed
//! alone.

mod faults;
mod leafs;
mod links;
mod options;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{LeafId, NodeId, Time};
use monsoondeal_engine::io::{LeafCall, LeafCallId, LeafOutcome, LinkId, Request, Response, Token};
use monsoondeal_engine::{Engine, EngineSettings, Input, Message, Output, VMS_KEY, VmList};
use monsoondeal_member::Member;
use monsoondeal_moves::WallClock;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use leafs::{LeafMode, Leafs};
pub use options::Options;
pub use store::initial_map;
use store::initial_tree;

/// Name of the simulated service.
pub const SERVICE: &str = "catalogue";
/// Unix time at time zero of the network's clock, in milliseconds.
pub const WALL_START: i64 = 1_800_000_000_000;
/// Failure domains that nodes and leafs are spread over.
pub const DOMAINS: [&str; 4] = ["p1", "p2", "p3", "p4"];

/// A scheduled event.
#[derive(Debug)]
enum Event {
    /// An input reaches a node.
    Input(usize, Input),
    /// A message reaches the node that accepted the connection.
    ToAcceptor { link: u64, message: Box<Message> },
    /// A message reaches the node that dialed the connection.
    ToDialer { link: u64, message: Box<Message> },
    /// A node tries to connect to a peer.
    OpenLink { dialer: usize, addr: SocketAddr },
    /// A node's timer expires.
    Wake(usize),
    /// A call ends at a leaf.
    LeafCallEnded {
        node: usize,
        id: LeafCallId,
        leaf: LeafId,
        outcome: LeafOutcome,
    },
    /// A call reaches a leaf.
    LeafCallArrived { node: usize, call: Box<LeafCall> },
    /// A node's write reaches the store.
    StoreWrite {
        node: usize,
        key: String,
        expects: Option<u64>,
        value: Bytes,
    },
    /// The store shows the platform's list of VMs with this number, unless it shows a later one already.
    VmListShown(u64, VmList),
    /// A node's read reaches the store.
    StoreRead {
        node: usize,
        key: String,
        sent: Time,
    },
}

#[derive(Debug)]
struct Queued {
    at: Time,
    seq: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// `Node` is a node of the network.
#[derive(Debug)]
pub struct Node {
    /// State machine of the node.
    pub engine: Engine,
    /// Entry of the node in rosters.
    pub member: Member,
    /// Offset of the node's clock from the network's.
    skew: Duration,
    /// Whether the node has not been killed.
    pub alive: bool,
    frozen: bool,
    /// Inputs that arrived while the node was frozen.
    held_inputs: Vec<Input>,
    next_wake: Option<Time>,
    watched: BTreeSet<String>,
    /// Last delivered version of each watched key.
    delivered: BTreeMap<String, Option<u64>>,
    wanted_peers: BTreeSet<SocketAddr>,
    /// Whether a planned stop has completed.
    pub stopped: bool,
    /// Versions of the configuration trees that were in force at the node, in order.
    pub trees: Vec<u64>,
}

/// A connection between two nodes.
#[derive(Clone, Copy, Debug)]
struct Link {
    dialer: usize,
    addr: SocketAddr,
    acceptor: usize,
    /// Latest scheduled delivery to the dialer and to the acceptor; keeps messages in order.
    last_delivery: [Time; 2],
}

/// `ResponseRecord` is a response to a caller, with the node and the time.
#[derive(Clone, Debug)]
pub struct ResponseRecord {
    /// Node that answered.
    pub node: usize,
    /// Request that was answered.
    pub token: Token,
    /// Response to the request.
    pub response: Response,
    /// Time of the response on the network's clock.
    pub at: Time,
}

/// `Net` is a simulated network of nodes with its store and leafs.
#[derive(Debug)]
pub struct Net {
    /// Current time of the network's clock.
    pub now: Time,
    options: Options,
    queue: BinaryHeap<Reverse<Queued>>,
    seq: u64,
    /// Random generator of the simulation; tests draw from it, too.
    pub rng: SmallRng,
    /// All nodes started so far, including killed ones.
    pub nodes: Vec<Node>,
    links: BTreeMap<u64, Link>,
    next_link: u64,
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    /// Whether the store is unreachable for all nodes.
    pub store_down: bool,
    /// Number of further writes that take effect without a timely reply.
    pub lose_replies: u32,
    /// Reads and writes sent to the store, without watches.
    pub store_calls: u64,
    /// All leafs.
    pub leafs: Leafs,
    /// Pairs of nodes that cannot reach each other, lower position first.
    cut_pairs: BTreeSet<(usize, usize)>,
    /// Directions (sender, receiver) in which messages are held back.
    stalled: BTreeSet<(usize, usize)>,
    /// Messages held back on stalled directions.
    stalled_events: Vec<Event>,
    /// Nodes that cannot reach the store.
    pub store_cut: BTreeSet<usize>,
    /// All responses so far, in order of time.
    pub responses: Vec<ResponseRecord>,
    next_token: u64,
    /// Whether the list of VMs is no longer updated.
    list_frozen: bool,
    /// Number of lists of VMs taken so far.
    lists_taken: u64,
    /// Number of the list that the store shows.
    list_shown: u64,
    /// Encoded bytes of the control messages sent, if messages go through the codec.
    pub control_bytes: u64,
}

impl Net {
    /// Creates a network whose store holds a configuration tree and a partition map, starts all nodes
    /// and waits until the roster is settled.
    pub fn start(options: Options) -> Self {
        let mut net = Self::empty(options);
        for _ in 0..options.nodes {
            net.add_node();
        }
        net.run_for(Duration::from_secs(20));
        net.assert_settled(options.nodes);
        net
    }

    /// Creates a network without nodes, whose store holds a configuration tree and a partition map.
    pub fn empty(options: Options) -> Self {
        let mut net = Self {
            now: Time::from_millis(1_000),
            options,
            queue: BinaryHeap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            next_link: 0,
            objects: BTreeMap::new(),
            revision: 0,
            store_down: false,
            lose_replies: 0,
            store_calls: 0,
            leafs: Leafs::new(options.seed, options.slots),
            cut_pairs: BTreeSet::new(),
            store_cut: BTreeSet::new(),
            stalled: BTreeSet::new(),
            stalled_events: Vec::new(),
            responses: Vec::new(),
            next_token: 0,
            list_frozen: false,
            lists_taken: 0,
            list_shown: 0,
            control_bytes: 0,
        };
        net.write_tree(&initial_tree(options.slots));
        let map = initial_map(options.groups, 1);
        net.publish_map(&map);
        net
    }

    /// Starts a node and returns its position in [`Net::nodes`].
    pub fn add_node(&mut self) -> usize {
        let at = self.nodes.len();
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + at as u16));
        let member = Member {
            node: NodeId(self.rng.random::<u64>() >> 1),
            peer: addr(10_000),
            admin: addr(20_000),
            domain: DOMAINS[at % DOMAINS.len()].to_owned(),
            vm: format!("vm-{at}"),
            position: 0,
            listed: false,
        };
        let seeds = self.nodes.iter().map(|n| n.member.peer).collect();
        let mut cell_settings = self.options.membership;
        if let Some((node, hold)) = self.options.lease_override
            && node == at
        {
            cell_settings.lease_duration = hold;
        }
        let skew = Duration::from_secs(self.rng.random_range(0..100_000));
        let engine = Engine::new(EngineSettings {
            cell: "main".to_owned(),
            me: member.clone(),
            seeds,
            membership: cell_settings,
            idempotency: self.options.idempotency,
            replicas: self.options.replicas,
            query: self.options.query,
            max_inflight: self.options.max_inflight,
            wall: WallClock {
                origin_millis: WALL_START - skew.as_millis() as i64,
            },
            seed: self.options.seed ^ at as u64,
        });
        self.nodes.push(Node {
            engine,
            member,
            skew,
            alive: true,
            frozen: false,
            held_inputs: Vec::new(),
            next_wake: None,
            watched: BTreeSet::new(),
            delivered: BTreeMap::new(),
            wanted_peers: BTreeSet::new(),
            stopped: false,
            trees: Vec::new(),
        });
        self.deliver(at, Input::Tick);
        self.schedule_vm_list();
        at
    }

    /// Advances the time by `duration` and handles all events that are due.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(queued)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(queued.at);
            self.handle_event(queued.event);
        }
        self.now = end;
    }

    /// Sends a caller's request to a node.
    pub fn request(&mut self, node: usize, kind: &str, key: Option<&str>) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        let request = Request {
            token,
            service: SERVICE.to_owned(),
            kind: kind.to_owned(),
            key: key.map(str::to_owned),
            partition_key: None,
            deadline: None,
            body: Bytes::from(format!("{{\"token\":{}}}", token.0)),
        };
        self.deliver(node, Input::Request(request));
        token
    }

    /// Notifies a node that the caller of a request has disconnected.
    pub fn disconnect_caller(&mut self, node: usize, token: Token) {
        self.deliver(node, Input::CallerGone(token));
    }

    /// Begins a planned stop of a node.
    pub fn stop(&mut self, node: usize) {
        self.deliver(node, Input::Stop);
    }

    /// Returns the response to a request, if there is one.
    pub fn response(&self, token: Token) -> Option<&Response> {
        self.responses
            .iter()
            .find(|e| e.token == token)
            .map(|e| &e.response)
    }

    /// Returns the positions of running nodes that watch the store.
    pub fn store_watchers(&self) -> Vec<usize> {
        let watches = |n: &usize| !self.nodes[*n].watched.is_empty();
        self.running_nodes().into_iter().filter(watches).collect()
    }

    /// Returns the positions of nodes that are neither killed nor frozen.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&n| self.nodes[n].alive && !self.nodes[n].frozen)
            .collect()
    }

    /// Returns a random node to which a load balancer would send requests: it runs and reports that it
    /// is ready.
    pub fn random_ready_node(&mut self) -> usize {
        let ready = |n: &usize| self.nodes[*n].engine.is_ready(self.node_time(*n));
        let ready: Vec<usize> = self.running_nodes().into_iter().filter(ready).collect();
        ready[self.rng.random_range(0..ready.len())]
    }

    /// Returns the node that coordinates version moves: the running store watcher with the lowest
    /// identity.
    pub fn coordinator(&self) -> usize {
        let watchers = self.store_watchers();
        let lowest = watchers
            .into_iter()
            .min_by_key(|n| self.nodes[*n].member.node);
        lowest.expect("some node watches the store")
    }

    /// Returns a random running node.
    pub fn random_running_node(&mut self) -> usize {
        let living = self.running_nodes();
        living[self.rng.random_range(0..living.len())]
    }

    /// Asserts that at every running node the roster has `count` members, contains the node and is
    /// settled.
    pub fn assert_settled(&self, count: usize) {
        for at in self.running_nodes() {
            let roster = self.nodes[at].engine.cell().roster();
            assert_eq!(
                roster.members.len(),
                count,
                "members at node {at}, epoch {}",
                roster.epoch
            );
            assert!(
                roster.previous.is_none(),
                "roster is not settled at node {at}"
            );
            assert!(
                roster.contains(self.nodes[at].member.node),
                "node {at} is not a member of its own roster"
            );
        }
    }

    /// Returns the time on a node's clock.
    pub fn node_time(&self, node: usize) -> Time {
        self.now + self.nodes[node].skew
    }

    fn random_delay(&mut self, micros: std::ops::Range<u64>) -> Duration {
        Duration::from_micros(self.rng.random_range(micros))
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(Queued {
            at: self.now + delay,
            seq: self.seq,
            event,
        }));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(node, input) => self.deliver(node, input),
            Event::Wake(node) => {
                if self.nodes[node].next_wake.is_some_and(|at| at <= self.now) {
                    self.nodes[node].next_wake = None;
                    self.deliver(node, Input::Tick);
                }
            }
            Event::OpenLink { dialer, addr } => self.open_link(dialer, addr),
            Event::ToAcceptor { link, message } => {
                if let Some(l) = self.links.get(&link) {
                    self.deliver(l.acceptor, Input::FromLink(LinkId(link), *message));
                }
            }
            Event::ToDialer { link, message } => {
                if let Some(l) = self.links.get(&link) {
                    self.deliver(l.dialer, Input::FromPeer(l.addr, *message));
                }
            }
            Event::LeafCallArrived { node, call } => self.start_leaf_call(node, *call),
            Event::LeafCallEnded {
                node,
                id,
                leaf,
                outcome,
            } => {
                self.leafs.end_call(node, leaf);
                self.deliver(node, Input::LeafCallEnded(id, outcome));
            }
            Event::StoreRead { node, key, sent } => {
                if self.store_down || self.store_cut.contains(&node) {
                    let failed = Event::Input(node, Input::ReadFailed(key));
                    return self.schedule(Duration::from_secs(1), failed);
                }
                let object = self.read_object(&key);
                self.deliver(node, Input::Object { key, object, sent });
            }
            Event::VmListShown(taken, _) if self.list_frozen || taken < self.list_shown => {}
            Event::VmListShown(taken, list) => {
                self.list_shown = taken;
                let value = serde_json::to_vec(&list).expect("lists can be serialized");
                self.put_object(VMS_KEY, Bytes::from(value));
            }
            Event::StoreWrite {
                node,
                key,
                expects,
                value,
            } => {
                self.apply_write(node, key, expects, value);
            }
        }
    }

    fn start_leaf_call(&mut self, node: usize, call: LeafCall) {
        if !self.nodes[node].alive {
            return;
        }
        let (service_time, outcome) = self.leafs.begin_call(node, &call, self.now);
        let (service_time, outcome) = if service_time > call.timeout {
            (call.timeout, LeafOutcome::Broken)
        } else {
            (service_time, outcome)
        };
        let event = Event::LeafCallEnded {
            node,
            id: call.id,
            leaf: call.leaf,
            outcome,
        };
        self.schedule(service_time, event);
    }

    fn deliver(&mut self, node: usize, input: Input) {
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].held_inputs.push(input);
            return;
        }
        let mut outputs = Vec::new();
        let now = self.node_time(node);
        let state = &mut self.nodes[node];
        state.engine.handle(input, now, &mut outputs);
        let tree = state.engine.tree_version();
        if state.trees.last() != Some(&tree) {
            state.trees.push(tree);
        }
        for output in outputs {
            self.execute(node, output);
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let Some(due) = self.nodes[node].engine.next_wake() else {
            return;
        };
        let wait = due.since(self.node_time(node));
        let at = self.now + wait;
        if self.nodes[node].next_wake.is_none_or(|known| at < known) {
            self.nodes[node].next_wake = Some(at);
            self.schedule(wait, Event::Wake(node));
        }
    }

    fn execute(&mut self, node: usize, output: Output) {
        match output {
            Output::Respond(token, response) => {
                self.responses.push(ResponseRecord {
                    node,
                    token,
                    response,
                    at: self.now,
                });
            }
            Output::SetPeers(addrs) => self.set_peers(node, &addrs),
            Output::ToPeer(addr, message) => {
                let link = self
                    .links
                    .iter()
                    .find(|(_, l)| l.dialer == node && l.addr == addr);
                if let Some(link) = link.map(|(id, _)| *id) {
                    self.send_message(link, true, message);
                }
            }
            Output::ToLink(link, message) => self.send_message(link.0, false, message),
            Output::CallLeaf(call) => {
                let delay = self.random_delay(200..600);
                self.schedule(delay, Event::LeafCallArrived { node, call });
            }
            Output::CloseLeaf(_) => {}
            Output::Watch(keys) => {
                self.nodes[node].watched = keys.into_iter().collect();
                self.notify_watches(node);
            }
            Output::Read(key) => {
                self.store_calls += 1;
                let sent = self.node_time(node);
                let delay = self.random_delay(1_000..4_000);
                self.schedule(delay, Event::StoreRead { node, key, sent });
            }
            Output::Write {
                key,
                expects,
                value,
            } => {
                self.store_calls += 1;
                let delay = self.random_delay(1_000..4_000);
                self.schedule(
                    delay,
                    Event::StoreWrite {
                        node,
                        key,
                        expects,
                        value,
                    },
                );
            }
            Output::Stopped => self.nodes[node].stopped = true,
        }
    }
}
