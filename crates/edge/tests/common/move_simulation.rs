//! A simulation of a version move on a fleet of nodes in virtual time, with counts taken at the leafs.
//!
//! Times are milliseconds from the order unless they say otherwise.

use std::collections::HashSet;
use std::time::Duration;

use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{EdgeSettings, LeafEntry, MoveOrder, MovePost, MoveState, Name, Repeat};
use monsoondeal_moves::{Ledger, PostingReply};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Node, apply_posting, config, failure, leaf, service_route, success, unsent};

/// Duration of the traffic to the old leafs alone, before the order, in milliseconds.
const BASELINE_MS: i64 = 4_000;
/// Time from the order to its deadline, in milliseconds.
pub const MOVE_DURATION_MS: i64 = 12_000;
/// Duration of the simulation after the deadline, in milliseconds.
const TAIL_MS: i64 = 12_000;
/// Time from a write to the store until the nodes learn of it, in milliseconds.
const PROPAGATION_MS: i64 = 150;
/// Time from a posting until the store's reply, in milliseconds.
const STORE_REPLY_MS: i64 = 10;
/// Time from a posting until a node learns that the store is not reachable, in milliseconds.
const STORE_REFUSAL_MS: i64 = 5;
/// Time after which a node stops waiting for a reply of the store that is lost, in milliseconds.
const STORE_TIMEOUT_MS: i64 = 1_000;
/// Replies of the store that [`Disruption::StoreLosesReplies`] loses, in percent.
const LOST_REPLY_PERCENT: u32 = 35;
/// Usual service time of a leaf, in milliseconds.
const USUAL_SERVICE_MS: i64 = 8;
/// Share of the calls that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.1;
/// Calls that a bad version may get beyond that share.
const EXPOSURE_SLACK: f64 = 50.0;
/// Number of bad answers from which on a bad version may get calls for another [`ROLLBACK_LIMIT_MS`] only.
const BAD_ANSWER_THRESHOLD: usize = 50;
/// Longest time from the last of these answers to the last call, in milliseconds.
const ROLLBACK_LIMIT_MS: i64 = 5_000;
/// Window over which the load on the new version is measured, in milliseconds.
const LOAD_WINDOW_MS: i64 = 250;
/// Share of the request rate from which on [`VersionBehaviour::FailsUnderLoad`] fails.
const HIGH_LOAD_SHARE: f64 = 0.6;
/// One request in this many is sent on the second route.
const SECOND_ROUTE_EVERY: usize = 4;

/// `VersionBehaviour` is how the leafs of the new version handle calls.
#[derive(Clone, Copy, Debug)]
pub enum VersionBehaviour {
    /// They serve all calls in the usual time.
    Healthy,
    /// They fail this percentage of the calls, from this time on.
    Fails(u32, i64),
    /// They take this many times the usual service time, from this time on.
    Slow(i64, i64),
    /// They fail this percentage of the calls while they get most of the load.
    FailsUnderLoad(u32),
    /// They fail this percentage of the calls on the second route.
    FailsOnSecondRoute(u32),
}

/// `Disruption` is an outage or another fault at the nodes, the store or the old leafs during the move.
#[derive(Clone, Copy, Debug)]
pub enum Disruption {
    /// No disruption.
    Undisturbed,
    /// No node reaches the store between these times.
    StoreOutage(i64, i64),
    /// Every third node cannot reach the store from this time on.
    StoreRefusesSome(i64),
    /// Some replies to postings are lost between these times, although the postings are applied.
    StoreLosesReplies(i64, i64),
    /// The old leafs are lost between these times.
    OldLeafsLost(i64, i64),
    /// Half of the nodes restart at this time.
    HalfRestart(i64),
    /// All nodes restart at this time.
    AllRestart(i64),
    /// Half of the nodes restart at this time, from which on no node reaches the store any more.
    RestartInOutage(i64),
    /// A third of the nodes learns of the order this much later.
    LateOrder(i64),
    /// A third of the nodes has a wall clock that is wrong by up to this much in either direction. The simulation runs
    /// this like [`Disruption::Undisturbed`], since orders hold no wall-clock time.
    ClockSkew(i64),
}

/// `Load` is the number of nodes and the request rate.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Requests a second, all nodes together.
    pub rate: usize,
}

/// `MoveStats` is the result of a simulation, as counted at the leafs and the store.
#[derive(Debug, Default)]
pub struct MoveStats {
    /// Calls that arrived at the service between the order and its deadline.
    pub arrivals: usize,
    /// Calls among them that arrived at the new version.
    pub new_arrivals: usize,
    /// Bad answers of the new version: failed or slow.
    pub bad_answers: usize,
    /// When the fiftieth bad answer was sent.
    pub fiftieth_bad: Option<i64>,
    /// Calls that arrived at the new version more than [`ROLLBACK_LIMIT_MS`] after the fiftieth bad answer.
    pub late_calls: usize,
    /// When the rollback was written to the store.
    pub rolled_back: Option<i64>,
    /// When the completion was written to the store.
    pub completed: Option<i64>,
    /// Requests of callers between the order and its deadline.
    pub requests: usize,
    /// Requests answered between the order and its deadline.
    pub served: usize,
}

impl MoveStats {
    /// Returns the most calls that a bad version may get.
    pub fn exposure_limit(&self) -> f64 {
        EXPOSURE_SHARE * self.arrivals as f64 + EXPOSURE_SLACK
    }

    /// Returns whether the bounds on the number of calls and on the time to the last one were kept.
    pub fn is_within_bounds(&self) -> bool {
        self.new_arrivals as f64 <= self.exposure_limit() && self.late_calls == 0
    }
}

/// A call that runs at a leaf, and the result that it will have.
struct RunningCall {
    end_at: i64,
    call: CallId,
    is_failure: bool,
}

/// What the store holds of the move.
#[derive(Default)]
struct Store {
    /// State that a node has written, if any.
    state: Option<MoveState>,
    changed_at: i64,
    ledger: Option<Ledger>,
}

/// `MoveSimulation` simulates a version move on a fleet of nodes.
pub struct MoveSimulation {
    load: Load,
    behaviour: VersionBehaviour,
    disruption: Disruption,
    nodes: Vec<Node>,
    store: Store,
    rng: SmallRng,
    /// Calls that run at leafs, by node.
    running_calls: Vec<Vec<RunningCall>>,
    /// Calls that have arrived at leafs, by node.
    arrived: Vec<HashSet<CallId>>,
    /// Times of the latest arrivals at the new version.
    recent_arrivals: Vec<i64>,
    /// Postings of each node that it has got no reply to yet, with the time at which the reply arrives. Without a
    /// reply (`None`) the node stops waiting at that time.
    store_replies: Vec<Vec<(i64, MovePost, Option<PostingReply>)>>,
    /// States that each node has decided on and not yet written to the store.
    unwritten: Vec<Vec<MoveState>>,
    /// State of the move that each node was last informed of.
    known_states: Vec<Option<MoveState>>,
    stats: MoveStats,
}

fn order(state: MoveState) -> MoveOrder {
    MoveOrder {
        service: "s".into(),
        id: super::order_id(1),
        version: "v2".into(),
        duration: Duration::from_millis(MOVE_DURATION_MS as u64),
        elapsed: Duration::ZERO,
        state,
    }
}

fn leafs(old: bool, new: bool) -> Vec<LeafEntry> {
    let mut leafs = Vec::new();
    if old {
        leafs.extend(["old-1", "old-2"].map(|name| leaf(name, "s")));
    }
    if new {
        leafs.extend(["new-1", "new-2"].map(|name| LeafEntry {
            version: Name::from("v2"),
            ..leaf(name, "s")
        }));
    }
    leafs
}

impl MoveSimulation {
    /// Creates a simulation with a fixed seed.
    pub fn new(load: Load, behaviour: VersionBehaviour, disruption: Disruption) -> Self {
        Self::with_seed(load, behaviour, disruption, 12_345)
    }

    /// Creates a simulation.
    pub fn with_seed(
        load: Load,
        behaviour: VersionBehaviour,
        disruption: Disruption,
        seed: u64,
    ) -> Self {
        let mut simulation = Self {
            load,
            behaviour,
            disruption,
            nodes: Vec::new(),
            store: Store::default(),
            rng: SmallRng::seed_from_u64(seed),
            running_calls: (0..load.nodes).map(|_| Vec::new()).collect(),
            arrived: vec![HashSet::new(); load.nodes],
            recent_arrivals: Vec::new(),
            store_replies: vec![Vec::new(); load.nodes],
            unwritten: vec![Vec::new(); load.nodes],
            known_states: vec![None; load.nodes],
            stats: MoveStats::default(),
        };
        let start = Time::from_millis(1_000);
        simulation.nodes = (0..load.nodes)
            .map(|_| simulation.create_node(leafs(true, false), start))
            .collect();
        simulation
    }

    fn create_node(&mut self, entries: Vec<LeafEntry>, now: Time) -> Node {
        let settings = EdgeSettings {
            nodes: self.load.nodes,
            repeat_ratio: 0.2,
            repeat_slack: 58.0,
            exposure_share: EXPOSURE_SHARE,
            exposure_slack: EXPOSURE_SLACK,
            seed: self.rng.random(),
            ..EdgeSettings::default()
        };
        let routes = ["r", "q"].map(|name| service_route(name, "s", Repeat::Idempotent));
        let mut node = Node::with_settings(settings, config(1, routes.to_vec(), 40), entries);
        node.now = now;
        node
    }

    /// Runs the simulation to its end and prints the result.
    pub fn run(mut self) -> MoveStats {
        let mut sent = 0;
        for t in -BASELINE_MS..MOVE_DURATION_MS + TAIL_MS {
            self.apply_disruption(t);
            self.propagate_state(t);
            let due = (t + BASELINE_MS) as usize * self.load.rate / 1_000;
            while sent <= due {
                self.send_request(t, sent);
                sent += 1;
            }
            for index in 0..self.load.nodes {
                self.deliver_calls(index, t);
                self.end_answered_calls(index, t);
                self.nodes[index].run_for(Duration::from_millis(1));
                self.write_decisions(index, t);
                self.apply_posts(index, t);
                self.answer_order_fetch(index, t);
                self.deliver_replies(index, t);
            }
        }
        println!(
            "{:?} {:?} {:?}: allowed {:.0}, {:?}",
            self.load,
            self.behaviour,
            self.disruption,
            self.stats.exposure_limit(),
            self.stats
        );
        self.stats
    }

    /// Returns whether a node reaches the store at a time.
    fn reaches_store(&self, index: usize, t: i64) -> bool {
        match self.disruption {
            Disruption::StoreOutage(from, to) => !(from..to).contains(&t),
            Disruption::RestartInOutage(from) => t < from,
            Disruption::StoreRefusesSome(from) => t < from || !index.is_multiple_of(3),
            _ => true,
        }
    }

    fn has_old_leafs(&self, t: i64) -> bool {
        let is_lost = matches!(
            self.disruption,
            Disruption::OldLeafsLost(from, to) if (from..to).contains(&t)
        );
        !is_lost && self.stats.completed.is_none()
    }

    /// Passes the leafs to all nodes if they change at a time, and restarts the nodes that are to restart then.
    fn apply_disruption(&mut self, t: i64) {
        let leafs_change = t == 0
            || matches!(self.disruption, Disruption::OldLeafsLost(from, to) if t == from || t == to)
            || self.stats.completed == Some(t - PROPAGATION_MS);
        let entries = leafs(self.has_old_leafs(t), true);
        for index in 0..self.load.nodes {
            if leafs_change {
                let entries = entries.clone();
                self.nodes[index].apply(|edge, now, out| edge.replace_leafs(entries, now, out));
            }
            let restarts = match self.disruption {
                Disruption::HalfRestart(when) | Disruption::RestartInOutage(when) => {
                    t == when && index < self.load.nodes / 2
                }
                Disruption::AllRestart(when) => t == when,
                _ => false,
            };
            if restarts {
                self.restart(index, entries.clone());
            }
        }
    }

    /// Replaces a node by one without state.
    fn restart(&mut self, index: usize, entries: Vec<LeafEntry>) {
        let now = self.nodes[index].now;
        self.nodes[index] = self.create_node(entries, now);
        self.running_calls[index].clear();
        self.arrived[index].clear();
        self.unwritten[index].clear();
        self.store_replies[index].clear();
        self.known_states[index] = None;
    }

    /// Informs nodes of the state in the store, once it has propagated to them.
    fn propagate_state(&mut self, t: i64) {
        if t < 0 {
            return;
        }
        for index in 0..self.load.nodes {
            let is_delayed = matches!(
                self.disruption,
                Disruption::LateOrder(delay) if index % 3 == 0 && t < delay
            );
            let state = self.store.state.unwrap_or(MoveState::Asked);
            let is_propagated =
                t >= self.store.changed_at + PROPAGATION_MS || self.known_states[index].is_none();
            if self.known_states[index] == Some(state) || !is_propagated || is_delayed {
                continue;
            }
            // Other nodes inform a restarted node if it does not reach the store.
            if !self.reaches_store(index, t) && self.known_states[index].is_some() {
                continue;
            }
            // Orders hold no wall-clock time, so that wrong clocks have no effect.
            self.known_states[index] = Some(state);
            self.nodes[index].apply(|edge, now, out| {
                edge.set_moves(vec![order(state)], now, out);
            });
        }
    }

    fn send_request(&mut self, t: i64, count: usize) {
        let index = count % self.load.nodes;
        let route = if count.is_multiple_of(SECOND_ROUTE_EVERY) {
            "q"
        } else {
            "r"
        };
        self.nodes[index].request(route);
        self.stats.requests += usize::from((0..MOVE_DURATION_MS).contains(&t));
    }

    /// Delivers the calls that a node has sent since the last step to their leafs.
    fn deliver_calls(&mut self, index: usize, t: i64) {
        for call in self.nodes[index].calls.clone() {
            if !self.arrived[index].insert(call.call) {
                continue;
            }
            let is_new = call.instance.starts_with("new");
            if !is_new && !self.has_old_leafs(t) {
                self.nodes[index].end_call(call.call, unsent());
                continue;
            }
            let is_second = self.nodes[index].route_of(call.token) == "q";
            let (service_ms, is_bad, fails) = self.call_result(is_new, is_second, t);
            self.count_arrival(is_new, t);
            self.stats.bad_answers += usize::from(is_bad);
            if self.stats.bad_answers >= BAD_ANSWER_THRESHOLD {
                self.stats.fiftieth_bad.get_or_insert(t + service_ms);
            }
            self.running_calls[index].push(RunningCall {
                end_at: t + service_ms,
                call: call.call,
                is_failure: fails,
            });
        }
    }

    /// Returns the service time of a call, whether its answer is bad, and whether the call fails.
    fn call_result(&mut self, is_new: bool, is_second: bool, t: i64) -> (i64, bool, bool) {
        let mut service_ms = USUAL_SERVICE_MS * self.rng.random_range(60..140) / 100;
        if self.rng.random_ratio(1, 100) {
            service_ms *= 5;
        }
        if !is_new {
            return (service_ms, false, false);
        }
        let recent = self
            .recent_arrivals
            .iter()
            .filter(|time| **time > t - LOAD_WINDOW_MS)
            .count();
        let load = recent as f64 / (LOAD_WINDOW_MS as f64 * self.load.rate as f64 / 1_000.0);
        let percent = match self.behaviour {
            VersionBehaviour::Slow(factor, from) if t >= from => {
                return (service_ms * factor, true, false);
            }
            VersionBehaviour::Fails(percent, from) if t >= from => percent,
            VersionBehaviour::FailsUnderLoad(percent) if load >= HIGH_LOAD_SHARE => percent,
            VersionBehaviour::FailsOnSecondRoute(percent) if is_second => percent,
            _ => 0,
        };
        let fails = self.rng.random_ratio(percent, 100);
        (service_ms, fails, fails)
    }

    fn count_arrival(&mut self, is_new: bool, t: i64) {
        let stats = &mut self.stats;
        if (0..MOVE_DURATION_MS).contains(&t) {
            stats.arrivals += 1;
            stats.new_arrivals += usize::from(is_new);
        }
        if !is_new {
            return;
        }
        let is_late = |fiftieth_bad| t > fiftieth_bad + ROLLBACK_LIMIT_MS;
        stats.late_calls += usize::from(stats.fiftieth_bad.is_some_and(is_late));
        self.recent_arrivals.push(t);
        if self.recent_arrivals.len() > 4 * self.load.rate {
            self.recent_arrivals.drain(..2 * self.load.rate);
        }
    }

    /// Ends the calls of a node that are answered by now.
    fn end_answered_calls(&mut self, index: usize, t: i64) {
        let running: Vec<RunningCall> = std::mem::take(&mut self.running_calls[index]);
        let (ended, remaining): (Vec<RunningCall>, Vec<RunningCall>) =
            running.into_iter().partition(|call| call.end_at <= t);
        self.running_calls[index] = remaining;
        for done in ended {
            let node = &mut self.nodes[index];
            if !node.calls.iter().any(|call| call.call == done.call) {
                continue;
            }
            let outcome = if done.is_failure {
                failure()
            } else {
                success("1")
            };
            let answered_before = node.edge.counts().answered;
            node.end_call(done.call, outcome);
            let served = node.edge.counts().answered - answered_before;
            if (0..MOVE_DURATION_MS).contains(&t) {
                self.stats.served += served as usize;
            }
        }
    }

    /// Applies the postings of a node to the ledger.
    fn apply_posts(&mut self, index: usize, t: i64) {
        for post in std::mem::take(&mut self.nodes[index].posts) {
            let mut reply = None;
            let mut delay = STORE_REFUSAL_MS;
            if self.reaches_store(index, t) {
                reply = Some(apply_posting(&mut self.store.ledger, &post));
                delay = STORE_REPLY_MS;
            }
            if self.loses_reply(t) {
                (reply, delay) = (None, STORE_TIMEOUT_MS);
            }
            self.store_replies[index].push((t + delay, post, reply));
        }
    }

    fn loses_reply(&mut self, t: i64) -> bool {
        let may_lose = matches!(
            self.disruption,
            Disruption::StoreLosesReplies(from, to) if (from..to).contains(&t)
        );
        may_lose && self.rng.random_ratio(LOST_REPLY_PERCENT, 100)
    }

    /// Answers a node that has asked the store for the orders.
    fn answer_order_fetch(&mut self, index: usize, t: i64) {
        let Some(fetch_time) = self.nodes[index].fetch_time.take() else {
            return;
        };
        if self.reaches_store(index, t) {
            let state = self.store.state.unwrap_or(MoveState::Asked);
            let orders = if t < 0 {
                Vec::new()
            } else {
                vec![order(state)]
            };
            self.nodes[index]
                .apply(|edge, now, out| edge.orders_fetched(orders, fetch_time, now, out));
        }
    }

    /// Delivers the replies of the store that have arrived at a node by now.
    fn deliver_replies(&mut self, index: usize, t: i64) {
        let replies = std::mem::take(&mut self.store_replies[index]);
        let (due, remaining): (Vec<_>, Vec<_>) =
            replies.into_iter().partition(|(time, ..)| *time <= t);
        self.store_replies[index] = remaining;
        for (_, post, reply) in due {
            self.nodes[index]
                .apply(|edge, now, out| edge.post_ended(&post, reply.as_ref(), now, out));
        }
    }

    /// Writes the states that a node has decided on once it reaches the store. A final state is not overwritten.
    fn write_decisions(&mut self, index: usize, t: i64) {
        let states = self.nodes[index].decisions.drain(..).map(|d| d.state);
        self.unwritten[index].extend(states);
        if !self.reaches_store(index, t) {
            return;
        }
        for state in std::mem::take(&mut self.unwritten[index]) {
            let current = self.store.state;
            let is_overwritable =
                current.is_none_or(|current| current == MoveState::Running && state != current);
            if !is_overwritable {
                continue;
            }
            self.store.state = Some(state);
            self.store.changed_at = t;
            match state {
                MoveState::Completed => self.stats.completed = Some(t),
                MoveState::RolledBack => self.stats.rolled_back = Some(t),
                MoveState::Asked | MoveState::Running => {}
            }
        }
    }
}
