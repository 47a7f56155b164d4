//! A simulation of load in virtual time: callers send requests to nodes that share leafs, which have slots,
//! queues and pauses.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{LeafEntry, LeafNotice, Name, Reply, Token};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Node, refused, success, unsent};

/// Step of the virtual time: a node learns of the end of a call at most this much late.
const TIME_STEP: Duration = Duration::from_micros(500);
/// Network delay from node to leaf, and from leaf to node.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Index of a node, and one of its calls.
type NodeCall = (usize, CallId);

/// `LeafMode` is how a leaf handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafMode {
    /// Runs all calls.
    Healthy,
    /// Accepts all calls and never answers.
    Silent,
    /// Refuses all calls.
    Shedding,
    /// Refuses all calls, and wants none from the same node for this long.
    Resting(Duration),
    /// Refuses this share of the calls, chosen at random, and runs the others.
    PartlyShedding(f64),
    /// Accepts no connections, so that calls are not sent.
    Unreachable,
}

/// `LeafProfile` holds the properties that all leafs have in common.
#[derive(Clone, Copy, Debug)]
pub struct LeafProfile {
    /// Calls that a leaf runs at once.
    pub slots: usize,
    /// Most calls that wait for a slot; further ones are refused.
    pub max_queued: usize,
    /// Shortest and longest service time of a call.
    pub service_time: (Duration, Duration),
    /// Length of a pause, zero for none, and time from the start of one pause to that of the next.
    pub pause: (Duration, Duration),
}

/// Break that a leaf asked a node for, and the calls that arrived in it nevertheless.
struct Break {
    /// Calls that arrive from then on count; earlier ones may have been under way.
    since: Time,
    until: Time,
    arrivals: usize,
}

/// Time for which calls may arrive after a leaf has asked for a break.
const BREAK_GRACE: Duration = Duration::from_millis(500);

struct Leaf {
    running: usize,
    queue: VecDeque<NodeCall>,
    /// Offset of the pauses, which differs between leafs.
    pause_offset: Duration,
    /// Factor on the service time.
    slowdown: f64,
    mode: LeafMode,
}

/// `RequestStats` counts the requests of a route by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestStats {
    /// All requests.
    pub total: usize,
    /// Answered within the objective.
    pub in_time: usize,
    /// Answered within the objective, weighted by the square of the coverage.
    pub score: f64,
    /// Answered after the objective.
    pub late: usize,
    /// Rejected as not run.
    pub rejected: usize,
    /// Failed, timed out or without a route.
    pub failed: usize,
    /// Longest time from a request to its rejection.
    pub slowest_rejection: Duration,
}

/// `LoadSimulation` simulates callers, nodes and their leafs.
pub struct LoadSimulation {
    /// The nodes.
    pub nodes: Vec<Node>,
    profile: LeafProfile,
    leafs: HashMap<String, Leaf>,
    /// Leafs that calls were sent to, by call. Calls that have ended stay listed.
    called_leafs: HashMap<NodeCall, String>,
    /// Arrivals of calls at leafs (flag `false`) and ends of calls (flag `true`), by time.
    events: BinaryHeap<Reverse<(Time, bool, NodeCall)>>,
    /// Route and objective of all requests, by node and token.
    requests: BTreeMap<(usize, Token), (String, Duration)>,
    /// Breaks by node and leaf.
    breaks: HashMap<(usize, String), Vec<Break>>,
    rng: SmallRng,
}

impl LoadSimulation {
    /// Creates a simulation of nodes that know all leafs and have the same virtual time. Requests, service times and
    /// pauses are random with `seed`.
    pub fn new(nodes: Vec<Node>, entries: &[LeafEntry], profile: LeafProfile, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let leafs = entries.iter().map(|entry| {
            let leaf = Leaf {
                running: 0,
                queue: VecDeque::new(),
                pause_offset: profile.pause.1.mul_f64(rng.random_range(0.0..1.0)),
                slowdown: 1.0,
                mode: LeafMode::Healthy,
            };
            (entry.name.to_string(), leaf)
        });
        let leafs = leafs.collect();
        Self {
            nodes,
            profile,
            leafs,
            called_leafs: HashMap::new(),
            events: BinaryHeap::new(),
            requests: BTreeMap::new(),
            breaks: HashMap::new(),
            rng,
        }
    }

    /// Sets the factor on the service times of a leaf.
    pub fn set_slowdown(&mut self, name: &str, factor: f64) {
        self.leafs.get_mut(name).expect("the leaf exists").slowdown = factor;
    }

    /// Sets how a leaf handles the calls that arrive from now on.
    pub fn set_mode(&mut self, name: &str, mode: LeafMode) {
        self.leafs.get_mut(name).expect("the leaf exists").mode = mode;
    }

    /// Returns the present virtual time of all nodes.
    pub fn now(&self) -> Time {
        self.nodes[0].now
    }

    /// Sends `rate` requests a second on a route, at random times and to random nodes, for `span`. The callers'
    /// timeout is ten times the objective.
    pub fn send_requests(&mut self, route: &str, objective: Duration, rate: f64, span: Duration) {
        let end = self.now() + span;
        let expected = rate * TIME_STEP.as_secs_f64();
        while self.now() < end {
            let mut remaining = expected;
            while remaining > 0.0 {
                if self.rng.random_bool(remaining.min(1.0)) {
                    let index = self.rng.random_range(0..self.nodes.len());
                    let token = self.nodes[index].request_with_timeout(route, objective * 10);
                    self.requests
                        .insert((index, token), (route.to_owned(), objective));
                }
                remaining -= 1.0;
            }
            self.advance();
        }
    }

    /// Waits until no request is under way, for 10 s at most, and returns the counts of all requests sent on a route
    /// since the start of the simulation.
    pub fn finish_requests(&mut self, route: &str) -> RequestStats {
        let end = self.now() + Duration::from_secs(10);
        let is_open = |node: &Node| node.edge.open_requests() > 0;
        while self.nodes.iter().any(is_open) && self.now() < end {
            self.advance();
        }
        let mut stats = RequestStats::default();
        for ((index, token), (sent_route, objective)) in &self.requests {
            if sent_route != route {
                continue;
            }
            stats.total += 1;
            let (reply, summary) = &self.nodes[*index].replies[token];
            let in_time = summary.elapsed <= *objective;
            let is_answer = matches!(reply, Reply::Merged { .. } | Reply::Answer(_));
            stats.in_time += usize::from(in_time && is_answer);
            match reply {
                Reply::Merged {
                    signatures,
                    missing,
                    ..
                } if in_time => {
                    let coverage = signatures.len() as f64 / (signatures.len() + missing) as f64;
                    stats.score += coverage * coverage;
                }
                Reply::Answer(_) if in_time => stats.score += 1.0,
                Reply::Merged { .. } | Reply::Answer(_) => stats.late += 1,
                Reply::Rejected { .. } => {
                    stats.rejected += 1;
                    stats.slowest_rejection = stats.slowest_rejection.max(summary.elapsed);
                }
                _ => stats.failed += 1,
            }
        }
        stats
    }

    /// Returns the most calls of one node that arrived at a leaf in one break.
    pub fn most_arrivals_in_break(&self) -> usize {
        let breaks = self.breaks.values().flatten();
        breaks.map(|one| one.arrivals).max().unwrap_or(0)
    }

    /// Returns how many breaks leafs have asked for.
    pub fn break_count(&self) -> usize {
        self.breaks.values().map(Vec::len).sum()
    }

    /// Refuses a call of a node to a leaf that wants no calls from it for `pause`.
    fn refuse_for(&mut self, call: NodeCall, leaf: &str, pause: Duration, now: Time) {
        let breaks = self.breaks.entry((call.0, leaf.to_owned())).or_default();
        breaks.push(Break {
            since: now + BREAK_GRACE,
            until: now + pause,
            arrivals: 0,
        });
        let notice = LeafNotice {
            leaving: false,
            pause: Some(pause),
        };
        let node = &mut self.nodes[call.0];
        node.apply(|edge, now, out| edge.note_leaf((&Name::from(leaf), 1), notice, now, out));
        node.end_call(call.1, refused());
    }

    fn advance(&mut self) {
        self.schedule_arrivals();
        let until = self.now() + TIME_STEP;
        while let Some(Reverse((time, is_end, call))) = self.events.peek().copied()
            && time <= until
        {
            self.events.pop();
            if is_end {
                self.handle_call_end(call, time);
            } else {
                self.handle_arrival(call, time);
            }
        }
        for node in &mut self.nodes {
            node.run_for(TIME_STEP);
        }
        self.schedule_arrivals();
    }

    fn schedule_arrivals(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            for call in &node.calls {
                let id = (index, call.call);
                if self.called_leafs.contains_key(&id) {
                    continue;
                }
                self.called_leafs.insert(id, call.instance.to_string());
                self.events
                    .push(Reverse((node.now + ONE_WAY_DELAY, false, id)));
            }
        }
    }

    fn handle_arrival(&mut self, call: NodeCall, now: Time) {
        let profile = self.profile;
        let name = self.called_leafs[&call].clone();
        for one in self.breaks.entry((call.0, name.clone())).or_default() {
            one.arrivals += usize::from(now >= one.since && now < one.until);
        }
        let leaf = self.leafs.get_mut(&name).expect("the leaf exists");
        match leaf.mode {
            LeafMode::PartlyShedding(share) if self.rng.random_bool(share) => {
                return self.nodes[call.0].end_call(call.1, refused());
            }
            LeafMode::Healthy | LeafMode::PartlyShedding(_) => {}
            LeafMode::Silent => return,
            LeafMode::Shedding => return self.nodes[call.0].end_call(call.1, refused()),
            LeafMode::Resting(pause) => return self.refuse_for(call, &name, pause, now),
            LeafMode::Unreachable => {
                return self.nodes[call.0].end_call(call.1, unsent());
            }
        }
        if leaf.running < profile.slots {
            leaf.running += 1;
            let end = completion_time(leaf, &profile, now, &mut self.rng);
            self.events.push(Reverse((end, true, call)));
        } else if leaf.queue.len() < profile.max_queued {
            leaf.queue.push_back(call);
        } else {
            self.nodes[call.0].end_call(call.1, refused());
        }
    }

    fn handle_call_end(&mut self, call: NodeCall, now: Time) {
        let profile = self.profile;
        let leaf = self
            .leafs
            .get_mut(&self.called_leafs[&call])
            .expect("the leaf exists");
        // A leaf drops queued calls that their node has cancelled by closing the connection.
        let nodes = &self.nodes;
        leaf.queue
            .retain(|(index, id)| !nodes[*index].cancelled.contains(id));
        match leaf.queue.pop_front() {
            Some(next) => {
                let end = completion_time(leaf, &profile, now, &mut self.rng);
                self.events.push(Reverse((end, true, next)));
            }
            None => leaf.running -= 1,
        }
        self.nodes[call.0].end_call(call.1, success(&call.1.0.to_string()));
    }
}

/// Returns when the node gets the answer to a call that starts now: after the service time, a pause that falls
/// into it, and the network delay.
fn completion_time(leaf: &Leaf, profile: &LeafProfile, now: Time, rng: &mut SmallRng) -> Time {
    let (shortest, longest) = profile.service_time;
    let fraction = rng.random_range(0.0..1.0);
    let service_time = (shortest + (longest - shortest).mul_f64(fraction)).mul_f64(leaf.slowdown);
    let (pause, period) = profile.pause;
    if pause.is_zero() {
        return now + service_time + ONE_WAY_DELAY;
    }
    let period_micros = period.as_micros() as u64;
    let since_pause = (now.as_micros() + leaf.pause_offset.as_micros() as u64) % period_micros;
    let since_pause = Duration::from_micros(since_pause);
    let until_pause = if since_pause < pause {
        // The call starts within a pause and runs after it.
        return now + (pause - since_pause) + service_time + ONE_WAY_DELAY;
    } else {
        period - since_pause
    };
    let added_pause = if service_time > until_pause {
        pause
    } else {
        Duration::ZERO
    };
    now + service_time + added_pause + ONE_WAY_DELAY
}
