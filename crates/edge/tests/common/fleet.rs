//! A simulation of a version move on a fleet of nodes in virtual time, with counts taken at the leafs.
//!
//! Times are milliseconds from the order unless they say otherwise.

use std::collections::HashSet;
use std::time::Duration;

use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{
    CallOutcome, EdgeSettings, LeafEntry, MoveOrder, MovePost, MoveState, Name, Repeat,
};
use monsoondeal_moves::{Ledger, PostingReply};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Node, config, failure, good, leaf, post_to, single};

/// Duration of the traffic to the old leafs alone, before the order, in milliseconds.
const BEFORE: i64 = 4_000;
/// Time from the order to its deadline, in milliseconds.
pub const DURATION: i64 = 12_000;
/// Duration of the simulation after the deadline, in milliseconds.
const AFTER: i64 = 12_000;
/// Time from a write to the store until the nodes learn of it, in milliseconds.
const TOLD_AFTER: i64 = 150;
/// Time from a posting until the store's reply, in milliseconds.
const ANSWER_AFTER: i64 = 10;
/// Time from a posting until a node learns that the store is not reachable, in milliseconds.
const REFUSED_AFTER: i64 = 5;
/// Time after which a node stops waiting for a reply of the store that is lost, in milliseconds.
const LOST_AFTER: i64 = 1_000;
/// Replies of the store that [`Trouble::LosesAnswers`] loses, in percent.
const LOST_PERCENT: u32 = 35;
/// Usual service time of a leaf, in milliseconds.
const USUAL: i64 = 8;
/// Share of the calls that a bad version may get.
const SHARE: f64 = 0.1;
/// Calls that a bad version may get beyond that share.
const SLACK: f64 = 50.0;
/// Number of bad answers from which on a bad version may get calls for another [`ROLLBACK`] only.
const BAD: usize = 50;
/// Longest time from the last of these answers to the last call, in milliseconds.
const ROLLBACK: i64 = 5_000;
/// Window over which the load on the new version is measured, in milliseconds.
const LOAD_SPAN: i64 = 250;
/// Share of the request rate from which on [`Badness::UnderLoad`] fails.
const LOAD_PART: f64 = 0.6;
/// One request in this many is sent on the second route.
const SECOND_ROUTE: usize = 4;

/// `Badness` is the fault of the new version.
#[derive(Clone, Copy, Debug)]
pub enum Badness {
    /// It has none.
    Good,
    /// It fails this percentage of its calls, from this time on.
    Fails(u32, i64),
    /// Its service times are multiplied by this factor, from this time on.
    Slow(i64, i64),
    /// It fails this percentage of its calls while it gets most of the load.
    UnderLoad(u32),
    /// It fails this percentage of its calls on the second route.
    OneRoute(u32),
}

/// `Trouble` is what disturbs the nodes, the store or the old leafs during the move.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Nothing disturbs them.
    Calm,
    /// No node reaches the store between these times.
    StoreAway(i64, i64),
    /// Every third node cannot reach the store from this time on.
    TurnsAway(i64),
    /// Some replies to postings are lost between these times, although the postings are applied.
    LosesAnswers(i64, i64),
    /// The old leafs are lost between these times.
    OldLost(i64, i64),
    /// Half of the nodes restart at this time.
    HalfRestart(i64),
    /// All nodes restart at this time.
    AllRestart(i64),
    /// Half of the nodes restart at this time, from which on no node reaches the store any more.
    RestartStoreAway(i64),
    /// A third of the nodes learns of the order this much later.
    LateOrder(i64),
    /// A third of the nodes has a wall clock that is wrong by up to this much in either direction.
    Clocks(i64),
}

/// `Load` is the number of nodes and the request rate.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Requests a second, all nodes together.
    pub rate: usize,
}

/// `Played` is the result of a simulation, as counted at the leafs and the store.
#[derive(Debug, Default)]
pub struct Played {
    /// Calls that arrived at the service between the order and its deadline.
    pub arrivals: usize,
    /// Calls among them that arrived at the new version.
    pub to_new: usize,
    /// Bad answers of the new version: failed or slow.
    pub bad: usize,
    /// When the fiftieth bad answer was sent.
    pub fiftieth: Option<i64>,
    /// Calls that arrived at the new version more than [`ROLLBACK`] after the fiftieth bad answer.
    pub late: usize,
    /// When the rollback was written to the store.
    pub rolled_back: Option<i64>,
    /// When the completion was written to the store.
    pub completed: Option<i64>,
    /// Requests of callers between the order and its deadline.
    pub requests: usize,
    /// Requests answered between the order and its deadline.
    pub served: usize,
}

impl Played {
    /// Returns the most calls that a bad version may get.
    pub fn allowed(&self) -> f64 {
        SHARE * self.arrivals as f64 + SLACK
    }

    /// Returns whether the bounds on the number of calls and on the time to the last one were kept.
    pub fn is_within(&self) -> bool {
        self.to_new as f64 <= self.allowed() && self.late == 0
    }
}

/// A call that runs at a leaf, and the result that it will have.
struct Due {
    at: i64,
    call: CallId,
    is_bad: bool,
}

/// What the store holds of the move.
#[derive(Default)]
struct Store {
    /// State that a node has written, if any.
    state: Option<MoveState>,
    changed_at: i64,
    ledger: Option<Ledger>,
}

/// `Fleet` simulates a version move on a fleet of nodes.
pub struct Fleet {
    load: Load,
    badness: Badness,
    trouble: Trouble,
    nodes: Vec<Node>,
    store: Store,
    rng: SmallRng,
    /// Calls that run at leafs, by node.
    due: Vec<Vec<Due>>,
    /// Calls that have arrived at leafs, by node.
    seen: Vec<HashSet<CallId>>,
    /// Times of the latest arrivals at the new version.
    latest: Vec<i64>,
    /// Postings of each node, with the time and the content of the store's reply; `None` for no reply.
    answers: Vec<Vec<(i64, MovePost, Option<PostingReply>)>>,
    /// States that each node has decided on and not yet written to the store.
    unwritten: Vec<Vec<MoveState>>,
    /// State of the move that each node was last informed of.
    told: Vec<Option<MoveState>>,
    played: Played,
}

fn order(state: MoveState) -> MoveOrder {
    MoveOrder {
        service: "s".into(),
        id: 1,
        version: "v2".into(),
        duration: Duration::from_millis(DURATION as u64),
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

impl Fleet {
    /// Creates a simulation with a fixed seed.
    pub fn new(load: Load, badness: Badness, trouble: Trouble) -> Self {
        Self::with_seed(load, badness, trouble, 12_345)
    }

    /// Creates a simulation.
    pub fn with_seed(load: Load, badness: Badness, trouble: Trouble, seed: u64) -> Self {
        let mut fleet = Self {
            load,
            badness,
            trouble,
            nodes: Vec::new(),
            store: Store::default(),
            rng: SmallRng::seed_from_u64(seed),
            due: (0..load.nodes).map(|_| Vec::new()).collect(),
            seen: vec![HashSet::new(); load.nodes],
            latest: Vec::new(),
            answers: vec![Vec::new(); load.nodes],
            unwritten: vec![Vec::new(); load.nodes],
            told: vec![None; load.nodes],
            played: Played::default(),
        };
        let start = Time::from_millis(1_000);
        fleet.nodes = (0..load.nodes)
            .map(|_| fleet.node(leafs(true, false), start))
            .collect();
        fleet
    }

    fn node(&mut self, known: Vec<LeafEntry>, at: Time) -> Node {
        let settings = EdgeSettings {
            nodes: self.load.nodes,
            repeat_ratio: 0.2,
            repeat_slack: 58.0,
            exposure_share: SHARE,
            exposure_slack: SLACK,
            seed: self.rng.random(),
            ..EdgeSettings::default()
        };
        let routes = ["r", "q"].map(|name| single(name, "s", Repeat::Idempotent));
        let mut node = Node::with_settings(settings, config(1, routes.to_vec(), 40), known);
        node.now = at;
        node
    }

    /// Runs the simulation to its end and prints the result.
    pub fn play(mut self) -> Played {
        let mut arrived = 0;
        for t in -BEFORE..DURATION + AFTER {
            self.trouble(t);
            self.tell(t);
            let due = (t + BEFORE) as usize * self.load.rate / 1_000;
            while arrived <= due {
                self.request(t, arrived);
                arrived += 1;
            }
            for at in 0..self.load.nodes {
                self.arrive(at, t);
                self.answer(at, t);
                self.nodes[at].pass(Duration::from_millis(1));
                self.take_decisions(at, t);
                self.take_posts(at, t);
                self.take_question(at, t);
                self.give_answers(at, t);
            }
        }
        println!(
            "{:?} {:?} {:?}: allowed {:.0}, {:?}",
            self.load,
            self.badness,
            self.trouble,
            self.played.allowed(),
            self.played
        );
        self.played
    }

    /// Returns whether a node reaches the store at a time.
    fn is_reached(&self, at: usize, t: i64) -> bool {
        match self.trouble {
            Trouble::StoreAway(from, to) => !(from..to).contains(&t),
            Trouble::RestartStoreAway(from) => t < from,
            Trouble::TurnsAway(from) => t < from || !at.is_multiple_of(3),
            _ => true,
        }
    }

    fn has_old(&self, t: i64) -> bool {
        let is_lost = matches!(self.trouble, Trouble::OldLost(from, to) if (from..to).contains(&t));
        !is_lost && self.played.completed.is_none()
    }

    /// Passes the leafs to all nodes if they change at a time, and restarts the nodes that are to restart then.
    fn trouble(&mut self, t: i64) {
        let is_listed = t == 0
            || matches!(self.trouble, Trouble::OldLost(from, to) if t == from || t == to)
            || self.played.completed == Some(t - TOLD_AFTER);
        let known = leafs(self.has_old(t), true);
        for at in 0..self.load.nodes {
            if is_listed {
                let known = known.clone();
                self.nodes[at].step(|edge, now, out| edge.replace_leafs(known, now, out));
            }
            let is_new = match self.trouble {
                Trouble::HalfRestart(when) | Trouble::RestartStoreAway(when) => {
                    t == when && at < self.load.nodes / 2
                }
                Trouble::AllRestart(when) => t == when,
                _ => false,
            };
            if is_new {
                self.restart(at, known.clone());
            }
        }
    }

    /// Replaces a node by one without state.
    fn restart(&mut self, at: usize, known: Vec<LeafEntry>) {
        let now = self.nodes[at].now;
        self.nodes[at] = self.node(known, now);
        self.due[at].clear();
        self.seen[at].clear();
        self.unwritten[at].clear();
        self.answers[at].clear();
        self.told[at] = None;
    }

    /// Informs nodes of the state in the store, once it has propagated to them.
    fn tell(&mut self, t: i64) {
        if t < 0 {
            return;
        }
        for at in 0..self.load.nodes {
            let is_late = matches!(self.trouble, Trouble::LateOrder(by) if at % 3 == 0 && t < by);
            let state = self.store.state.unwrap_or(MoveState::Asked);
            let is_known = t >= self.store.changed_at + TOLD_AFTER || self.told[at].is_none();
            if self.told[at] == Some(state) || !is_known || is_late {
                continue;
            }
            // Other nodes inform a restarted node if it does not reach the store.
            if !self.is_reached(at, t) && self.told[at].is_some() {
                continue;
            }
            // Orders hold no wall-clock time, so that wrong clocks have no effect.
            self.told[at] = Some(state);
            self.nodes[at].step(|edge, now, out| {
                edge.set_moves(vec![order(state)], now, out);
            });
        }
    }

    fn request(&mut self, t: i64, count: usize) {
        let at = count % self.load.nodes;
        let route = if count.is_multiple_of(SECOND_ROUTE) {
            "q"
        } else {
            "r"
        };
        self.nodes[at].request(route);
        self.played.requests += usize::from((0..DURATION).contains(&t));
    }

    /// Delivers the calls that a node has sent since the last step to their leafs.
    fn arrive(&mut self, at: usize, t: i64) {
        for call in self.nodes[at].calls.clone() {
            if !self.seen[at].insert(call.call) {
                continue;
            }
            let is_new = call.instance.starts_with("new");
            if !is_new && !self.has_old(t) {
                self.nodes[at].end(call.call, CallOutcome::Unsent);
                continue;
            }
            let is_second = self.nodes[at].route_of(call.token) == "q";
            let (span, is_bad, fails) = self.work(is_new, is_second, t);
            self.count(is_new, t);
            self.played.bad += usize::from(is_bad);
            if self.played.bad >= BAD {
                self.played.fiftieth.get_or_insert(t + span);
            }
            self.due[at].push(Due {
                at: t + span,
                call: call.call,
                is_bad: fails,
            });
        }
    }

    /// Returns the service time of a call, whether its answer is bad, and whether the call fails.
    fn work(&mut self, is_new: bool, is_second: bool, t: i64) -> (i64, bool, bool) {
        let mut span = USUAL * self.rng.random_range(60..140) / 100;
        if self.rng.random_ratio(1, 100) {
            span *= 5;
        }
        if !is_new {
            return (span, false, false);
        }
        let latest = self.latest.iter().filter(|at| **at > t - LOAD_SPAN).count();
        let load = latest as f64 / (LOAD_SPAN as f64 * self.load.rate as f64 / 1_000.0);
        let percent = match self.badness {
            Badness::Slow(factor, from) if t >= from => return (span * factor, true, false),
            Badness::Fails(percent, from) if t >= from => percent,
            Badness::UnderLoad(percent) if load >= LOAD_PART => percent,
            Badness::OneRoute(percent) if is_second => percent,
            _ => 0,
        };
        let fails = self.rng.random_ratio(percent, 100);
        (span, fails, fails)
    }

    fn count(&mut self, is_new: bool, t: i64) {
        let played = &mut self.played;
        if (0..DURATION).contains(&t) {
            played.arrivals += 1;
            played.to_new += usize::from(is_new);
        }
        if !is_new {
            return;
        }
        let is_late = |fiftieth| t > fiftieth + ROLLBACK;
        played.late += usize::from(played.fiftieth.is_some_and(is_late));
        self.latest.push(t);
        if self.latest.len() > 4 * self.load.rate {
            self.latest.drain(..2 * self.load.rate);
        }
    }

    /// Ends the calls of a node that are answered by now.
    fn answer(&mut self, at: usize, t: i64) {
        let due: Vec<Due> = std::mem::take(&mut self.due[at]);
        let (ended, later): (Vec<Due>, Vec<Due>) = due.into_iter().partition(|due| due.at <= t);
        self.due[at] = later;
        for due in ended {
            let node = &mut self.nodes[at];
            if !node.calls.iter().any(|call| call.call == due.call) {
                continue;
            }
            let end = if due.is_bad { failure() } else { good("1") };
            let answered = node.edge.counts().answered;
            node.end(due.call, end);
            let served = node.edge.counts().answered - answered;
            if (0..DURATION).contains(&t) {
                self.played.served += served as usize;
            }
        }
    }

    /// Applies the postings of a node to the ledger.
    fn take_posts(&mut self, at: usize, t: i64) {
        for post in std::mem::take(&mut self.nodes[at].posts) {
            let mut answer = None;
            let mut after = REFUSED_AFTER;
            if self.is_reached(at, t) {
                answer = Some(post_to(&mut self.store.ledger, &post));
                after = ANSWER_AFTER;
            }
            if self.loses_answer(t) {
                (answer, after) = (None, LOST_AFTER);
            }
            self.answers[at].push((t + after, post, answer));
        }
    }

    fn loses_answer(&mut self, t: i64) -> bool {
        let is_such =
            matches!(self.trouble, Trouble::LosesAnswers(from, to) if (from..to).contains(&t));
        is_such && self.rng.random_ratio(LOST_PERCENT, 100)
    }

    /// Answers a node that has asked the store for the orders.
    fn take_question(&mut self, at: usize, t: i64) {
        let Some(asked) = self.nodes[at].asked.take() else {
            return;
        };
        if self.is_reached(at, t) {
            let state = self.store.state.unwrap_or(MoveState::Asked);
            let orders = if t < 0 {
                Vec::new()
            } else {
                vec![order(state)]
            };
            self.nodes[at].step(|edge, now, out| edge.orders_fetched(orders, asked, now, out));
        }
    }

    /// Delivers the replies of the store that have arrived at a node by now.
    fn give_answers(&mut self, at: usize, t: i64) {
        let answers = std::mem::take(&mut self.answers[at]);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(when, ..)| *when <= t);
        self.answers[at] = later;
        for (_, post, answer) in due {
            self.nodes[at].step(|edge, now, out| edge.post_ended(&post, answer.as_ref(), now, out));
        }
    }

    /// Writes the states that a node has decided on once it reaches the store. A final state is not overwritten.
    fn take_decisions(&mut self, at: usize, t: i64) {
        let decided = self.nodes[at].decisions.drain(..).map(|d| d.state);
        self.unwritten[at].extend(decided);
        if !self.is_reached(at, t) {
            return;
        }
        for state in std::mem::take(&mut self.unwritten[at]) {
            let held = self.store.state;
            let is_open = held.is_none_or(|held| held == MoveState::Running && state != held);
            if !is_open {
                continue;
            }
            self.store.state = Some(state);
            self.store.changed_at = t;
            match state {
                MoveState::Completed => self.played.completed = Some(t),
                MoveState::RolledBack => self.played.rolled_back = Some(t),
                MoveState::Asked | MoveState::Running => {}
            }
        }
    }
}
