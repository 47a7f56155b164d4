//! A simulation of load in virtual time: callers send requests to nodes that share leafs, which have slots,
//! queues and pauses.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{CallOutcome, LeafEntry, Reply, Token};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Node, good};

/// Step of the virtual time: a node learns of the end of a call at most this much late.
const STEP: Duration = Duration::from_micros(500);
/// Network delay from node to leaf, and from leaf to node.
const WAY: Duration = Duration::from_micros(500);

/// Index of a node, and one of its calls.
type NodeCall = (usize, CallId);

/// `Mode` is how a leaf handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It runs them.
    Serves,
    /// It accepts them and never answers.
    Dark,
    /// It refuses them all.
    Refuses,
    /// It refuses this share of them at random and runs the others.
    Sheds(f64),
    /// It accepts no connections, so that calls to it are not sent.
    Gone,
}

/// `Leafs` holds the properties that all leafs have in common.
#[derive(Clone, Copy, Debug)]
pub struct Leafs {
    /// Calls that a leaf runs at once.
    pub slots: usize,
    /// Most calls that wait for a slot; further ones are refused.
    pub queue: usize,
    /// Shortest and longest service time of a call.
    pub work: (Duration, Duration),
    /// Length of a pause, zero for none, and time from the start of one pause to that of the next.
    pub pause: (Duration, Duration),
}

struct Leaf {
    running: usize,
    queue: VecDeque<NodeCall>,
    /// Offset of the pauses, which differs between leafs.
    phase: Duration,
    /// Factor on the service time.
    slow: f64,
    mode: Mode,
}

/// `Tally` counts the requests of a route by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// All requests.
    pub asked: usize,
    /// Answered within the objective.
    pub in_time: usize,
    /// Answered within the objective, weighted by the square of the coverage.
    pub credit: f64,
    /// Answered after the objective.
    pub late: usize,
    /// Rejected as not run.
    pub rejected: usize,
    /// Failed, timed out or without a route.
    pub failed: usize,
    /// Longest time from a request to its rejection.
    pub slowest_rejection: Duration,
}

/// `Farm` simulates callers, nodes and their leafs.
pub struct Farm {
    /// The nodes.
    pub nodes: Vec<Node>,
    behaviour: Leafs,
    leafs: HashMap<String, Leaf>,
    /// Leafs that calls were sent to, by call. Calls that have ended stay listed.
    at: HashMap<NodeCall, String>,
    /// Arrivals of calls at leafs and ends of calls (true), by time.
    events: BinaryHeap<Reverse<(Time, bool, NodeCall)>>,
    /// Route and objective of all requests, by node and token.
    asked: BTreeMap<(usize, Token), (String, Duration)>,
    rng: SmallRng,
}

impl Farm {
    /// Creates a simulation of nodes that know all leafs and have the same virtual time. Requests, service times and
    /// pauses are random with `seed`.
    pub fn new(nodes: Vec<Node>, entries: &[LeafEntry], behaviour: Leafs, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let leafs = entries.iter().map(|entry| {
            let leaf = Leaf {
                running: 0,
                queue: VecDeque::new(),
                phase: behaviour.pause.1.mul_f64(rng.random_range(0.0..1.0)),
                slow: 1.0,
                mode: Mode::Serves,
            };
            (entry.name.to_string(), leaf)
        });
        let leafs = leafs.collect();
        Self {
            nodes,
            behaviour,
            leafs,
            at: HashMap::new(),
            events: BinaryHeap::new(),
            asked: BTreeMap::new(),
            rng,
        }
    }

    /// Sets the factor on the service times of a leaf.
    pub fn slow(&mut self, name: &str, factor: f64) {
        self.leafs.get_mut(name).expect("the leaf exists").slow = factor;
    }

    /// Sets how a leaf handles the calls that arrive from now on.
    pub fn set_mode(&mut self, name: &str, mode: Mode) {
        self.leafs.get_mut(name).expect("the leaf exists").mode = mode;
    }

    /// Returns the present virtual time of all nodes.
    pub fn now(&self) -> Time {
        self.nodes[0].now
    }

    /// Sends `per_second` requests a second on a route, at random times and to random nodes, for `span`. Callers
    /// set a timeout of ten times the objective.
    pub fn play(&mut self, route: &str, objective: Duration, per_second: f64, span: Duration) {
        let end = self.now() + span;
        let chance = per_second * STEP.as_secs_f64();
        while self.now() < end {
            let mut due = chance;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    let at = self.rng.random_range(0..self.nodes.len());
                    let token = self.nodes[at].request_within(route, objective * 10);
                    self.asked
                        .insert((at, token), (route.to_owned(), objective));
                }
                due -= 1.0;
            }
            self.advance();
        }
    }

    /// Waits until no request is under way, for 10 s at most, and returns the counts of all requests sent on a route
    /// since the start of the simulation.
    pub fn finish(&mut self, route: &str) -> Tally {
        let end = self.now() + Duration::from_secs(10);
        let is_open = |node: &Node| node.edge.open_requests() > 0;
        while self.nodes.iter().any(is_open) && self.now() < end {
            self.advance();
        }
        let mut tally = Tally::default();
        for ((at, token), (asked, objective)) in &self.asked {
            if asked != route {
                continue;
            }
            tally.asked += 1;
            let (reply, summary) = &self.nodes[*at].replies[token];
            let in_time = summary.elapsed <= *objective;
            let is_answer = matches!(reply, Reply::Merged { .. } | Reply::Answer(_));
            tally.in_time += usize::from(in_time && is_answer);
            match reply {
                Reply::Merged {
                    stamps, missing, ..
                } if in_time => {
                    let share = stamps.len() as f64 / (stamps.len() + missing) as f64;
                    tally.credit += share * share;
                }
                Reply::Answer(_) if in_time => tally.credit += 1.0,
                Reply::Merged { .. } | Reply::Answer(_) => tally.late += 1,
                Reply::Rejected { .. } => {
                    tally.rejected += 1;
                    tally.slowest_rejection = tally.slowest_rejection.max(summary.elapsed);
                }
                _ => tally.failed += 1,
            }
        }
        tally
    }

    fn advance(&mut self) {
        self.take_up_calls();
        let until = self.now() + STEP;
        while let Some(Reverse((at, is_end, call))) = self.events.peek().copied()
            && at <= until
        {
            self.events.pop();
            if is_end {
                self.end(call, at);
            } else {
                self.arrive(call, at);
            }
        }
        for node in &mut self.nodes {
            node.pass(STEP);
        }
        self.take_up_calls();
    }

    fn take_up_calls(&mut self) {
        for (at, node) in self.nodes.iter().enumerate() {
            for call in &node.calls {
                let id = (at, call.call);
                if self.at.contains_key(&id) {
                    continue;
                }
                self.at.insert(id, call.instance.to_string());
                self.events.push(Reverse((node.now + WAY, false, id)));
            }
        }
    }

    fn arrive(&mut self, call: NodeCall, now: Time) {
        let behaviour = self.behaviour;
        let leaf = self
            .leafs
            .get_mut(&self.at[&call])
            .expect("the leaf exists");
        match leaf.mode {
            Mode::Sheds(share) if self.rng.random_bool(share) => {
                return self.nodes[call.0].end(call.1, CallOutcome::Refused);
            }
            Mode::Serves | Mode::Sheds(_) => {}
            Mode::Dark => return,
            Mode::Refuses => return self.nodes[call.0].end(call.1, CallOutcome::Refused),
            Mode::Gone => return self.nodes[call.0].end(call.1, CallOutcome::Unsent),
        }
        if leaf.running < behaviour.slots {
            leaf.running += 1;
            let end = work(leaf, &behaviour, now, &mut self.rng);
            self.events.push(Reverse((end, true, call)));
        } else if leaf.queue.len() < behaviour.queue {
            leaf.queue.push_back(call);
        } else {
            self.nodes[call.0].end(call.1, CallOutcome::Refused);
        }
    }

    fn end(&mut self, call: NodeCall, now: Time) {
        let behaviour = self.behaviour;
        let leaf = self
            .leafs
            .get_mut(&self.at[&call])
            .expect("the leaf exists");
        // A leaf drops queued calls that their node has cancelled by closing the connection.
        let nodes = &self.nodes;
        leaf.queue
            .retain(|(at, id)| !nodes[*at].abandoned.contains(id));
        match leaf.queue.pop_front() {
            Some(next) => {
                let end = work(leaf, &behaviour, now, &mut self.rng);
                self.events.push(Reverse((end, true, next)));
            }
            None => leaf.running -= 1,
        }
        self.nodes[call.0].end(call.1, good(&call.1.0.to_string()));
    }
}

/// Returns when the node gets the answer to a call that starts now: after the service time, a pause that falls
/// into it, and the network delay.
fn work(leaf: &Leaf, behaviour: &Leafs, now: Time, rng: &mut SmallRng) -> Time {
    let (shortest, longest) = behaviour.work;
    let part = rng.random_range(0.0..1.0);
    let work = (shortest + (longest - shortest).mul_f64(part)).mul_f64(leaf.slow);
    let (pause, period) = behaviour.pause;
    if pause.is_zero() {
        return now + work + WAY;
    }
    let period_micros = period.as_micros() as u64;
    let into = (now.as_micros() + leaf.phase.as_micros() as u64) % period_micros;
    let into = Duration::from_micros(into);
    let next_pause = if into < pause {
        // The call starts within a pause and runs after it.
        return now + (pause - into) + work + WAY;
    } else {
        period - into
    };
    let paused = if work > next_pause {
        pause
    } else {
        Duration::ZERO
    };
    now + work + paused + WAY
}
