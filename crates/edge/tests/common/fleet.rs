//! A version move on a fleet of nodes in virtual time, counted from what leafs see.

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

/// Traffic before the order, on the old leafs alone, in milliseconds.
const BEFORE: i64 = 4_000;
/// Time from the order to its deadline, in milliseconds.
pub const DURATION: i64 = 12_000;
/// How long the play goes on after the deadline, in milliseconds.
const AFTER: i64 = 12_000;
/// Time until all nodes know of a change in the store, in milliseconds.
const TOLD_AFTER: i64 = 150;
/// Time until a write to the store is answered, in milliseconds.
const ANSWER_AFTER: i64 = 10;
/// Time until a node knows that the store turns it away, in milliseconds.
const REFUSED_AFTER: i64 = 5;
/// Time until a node gives up an answer that is lost, in milliseconds.
const LOST_AFTER: i64 = 1_000;
/// Answers of a hundred that are lost.
const LOST_PERCENT: u32 = 35;
/// Usual response time of a leaf, in milliseconds.
const USUAL: i64 = 8;
/// Share of the requests that a bad version may get.
const SHARE: f64 = 0.1;
/// Requests that a bad version may get beyond that.
const SLACK: f64 = 50.0;
/// Bad answers after which a bad version may get requests for [`ROLLBACK`] only.
const BAD: usize = 50;
/// Longest time from the last of these answers to the last request, in milliseconds.
const ROLLBACK: i64 = 5_000;
/// Span over which the load on the new version is taken, in milliseconds.
const LOAD_SPAN: i64 = 250;
/// Part of the whole load from which on a version is bad that bears none.
const LOAD_PART: f64 = 0.6;
/// One of so many requests is for the second route.
const SECOND_ROUTE: usize = 4;

/// What is wrong with the new version. Times are milliseconds from the order.
#[derive(Clone, Copy, Debug)]
pub enum Badness {
    /// Nothing.
    Good,
    /// It fails so many of 100 requests from a time on.
    Fails(u32, i64),
    /// Its response times are so many times as long from a time on.
    Slow(i64, i64),
    /// It fails so many of 100 requests while it gets most of the load.
    UnderLoad(u32),
    /// It fails so many of 100 requests of the second route.
    OneRoute(u32),
}

/// What else happens. Times are milliseconds from the order.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// The store is away between two times.
    StoreAway(i64, i64),
    /// The store turns each third node away from a time on.
    TurnsAway(i64),
    /// The store's answers are lost though what was asked is done.
    LosesAnswers(i64, i64),
    /// The old leafs are lost between two times.
    OldLost(i64, i64),
    /// Half of the nodes start anew at a time.
    HalfRestart(i64),
    /// All nodes start anew at a time.
    AllRestart(i64),
    /// Half of the nodes start anew at a time at which the store has just left for good.
    RestartStoreAway(i64),
    /// A third of the nodes learns of the order so much later.
    LateOrder(i64),
    /// The time of day is off at a third of the nodes, by this at most, either way.
    Clocks(i64),
}

/// Nodes and load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub nodes: usize,
    /// Requests a second, all nodes together.
    pub rate: usize,
}

/// What leafs and the store have seen.
#[derive(Debug, Default)]
pub struct Played {
    /// Arrivals at the service from the order to its deadline.
    pub arrivals: usize,
    /// Those at the new version.
    pub to_new: usize,
    /// Bad answers of the new version.
    pub bad: usize,
    /// When the fiftieth was given.
    pub fiftieth: Option<i64>,
    /// Requests to the new version that were sent too long after it.
    pub late: usize,
    /// When the store got the final state.
    pub rolled_back: Option<i64>,
    pub completed: Option<i64>,
    /// Requests of callers, and those served, from the order to its deadline.
    pub requests: usize,
    pub served: usize,
}

impl Played {
    /// Returns the most requests that a bad version may get.
    pub fn allowed(&self) -> f64 {
        SHARE * self.arrivals as f64 + SLACK
    }

    /// Returns whether both halves of the rule on bad versions were kept.
    pub fn is_within(&self) -> bool {
        self.to_new as f64 <= self.allowed() && self.late == 0
    }
}

/// A call under way at a leaf.
struct Due {
    at: i64,
    call: CallId,
    is_bad: bool,
}

/// What the store holds, and how it treats the nodes.
#[derive(Default)]
struct Store {
    state: Option<MoveState>,
    changed_at: i64,
    ledger: Option<Ledger>,
}

/// A fleet and the version move that it plays.
pub struct Fleet {
    load: Load,
    badness: Badness,
    trouble: Trouble,
    nodes: Vec<Node>,
    store: Store,
    rng: SmallRng,
    due: Vec<Vec<Due>>,
    seen: Vec<HashSet<CallId>>,
    /// When calls arrived at the new version lately.
    latest: Vec<i64>,
    /// Answers of the store that are on their way.
    answers: Vec<Vec<(i64, MovePost, Option<PostingReply>)>>,
    /// Decisions that could not be written yet.
    unwritten: Vec<Vec<MoveState>>,
    /// The state that each node was told last.
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
    pub fn new(load: Load, badness: Badness, trouble: Trouble) -> Self {
        Self::with_seed(load, badness, trouble, 12_345)
    }

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

    /// Plays the move and what comes after it.
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

    /// Returns whether a node reaches the store.
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

    /// Brings about what is due at a time.
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

    fn restart(&mut self, at: usize, known: Vec<LeafEntry>) {
        let now = self.nodes[at].now;
        self.nodes[at] = self.node(known, now);
        self.due[at].clear();
        self.seen[at].clear();
        self.unwritten[at].clear();
        self.answers[at].clear();
        self.told[at] = None;
    }

    /// Tells nodes what the store holds, once they can know.
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
            // A node that starts anew is told by others if the store is away.
            if !self.is_reached(at, t) && self.told[at].is_some() {
                continue;
            }
            // What a node is told holds no time of day, so that clocks that are off change nothing.
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

    /// Lets calls that a node has just sent arrive.
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

    /// Returns how long a leaf works, whether its answer is bad, and whether it fails.
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

    /// Ends calls whose answers are due.
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

    /// Writes what a node posts to the ledger.
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

    /// Answers a node that asks for the orders.
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

    fn give_answers(&mut self, at: usize, t: i64) {
        let answers = std::mem::take(&mut self.answers[at]);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(when, ..)| *when <= t);
        self.answers[at] = later;
        for (_, post, answer) in due {
            self.nodes[at].step(|edge, now, out| edge.post_ended(&post, answer.as_ref(), now, out));
        }
    }

    /// Writes what a node has decided, once it reaches the store. The first final state stays.
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
