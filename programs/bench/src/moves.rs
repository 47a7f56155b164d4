//! Version moves, good and bad, over many seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use monsoondeal::core::{NodeId, Time};
use monsoondeal::moves::{
    CoordinatorState, Evidence, Grant, MoveAgent, MoveCoordinator, Outcome, Plan, VerdictSettings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Moves of each kind.
const MOVES: u64 = 1_000;
/// Nodes of the cell.
const NODES: usize = 9;
const ROUTES: [&str; 4] = ["urgent", "lookup", "review", "report"];
/// Requests a second on all routes together.
const RATE: f64 = 100.0;
/// Time from the start of a move to its set time.
const SPAN: Duration = Duration::from_secs(3_600);
/// Failure rate of the old version, and of a good new one.
const BASE_FAILURES: f64 = 0.001;
/// Share of the old version's requests that are slow, by definition.
const BASE_SLOW: f64 = 0.25;
/// Share of requests above the old version's third quartile when all take twice as long, with a
/// log-normal response time of sigma 0.4.
const TWICE_SLOW: f64 = 0.855;
/// Time of a request, and of a message between nodes.
const REQUEST: Duration = Duration::from_millis(20);
const MESSAGE: Duration = Duration::from_millis(2);

/// When a fault begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Onset {
    Never,
    AtOnce,
    Later,
    UnderLoad,
}

/// A kind of move.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    onset: Onset,
    failures: f64,
    slow: f64,
    /// Whether only one route is affected.
    one_route: bool,
    /// Whether the old version gets as bad as the new one, from a common cause.
    common: bool,
    /// Most requests of the new version on an affected route after the onset, in 95 of 100 moves.
    target: Option<u64>,
}

fn kinds() -> Vec<Kind> {
    let good = Kind {
        name: "good",
        onset: Onset::Never,
        failures: BASE_FAILURES,
        slow: BASE_SLOW,
        one_route: false,
        common: false,
        target: None,
    };
    let fails = Kind {
        name: "20 % fail at once",
        onset: Onset::AtOnce,
        failures: 0.2,
        target: Some(50),
        ..good
    };
    let few = Kind {
        name: "2 % fail at once",
        failures: 0.02,
        target: Some(1_000),
        ..fails
    };
    let slow = Kind {
        name: "twice as slow at once",
        failures: BASE_FAILURES,
        slow: TWICE_SLOW,
        target: Some(300),
        ..fails
    };
    vec![
        good,
        Kind {
            name: "good, both fail 5 % later",
            onset: Onset::Later,
            failures: 0.05,
            common: true,
            ..good
        },
        fails,
        Kind {
            name: "20 % fail later",
            onset: Onset::Later,
            ..fails
        },
        Kind {
            name: "20 % fail under load",
            onset: Onset::UnderLoad,
            ..fails
        },
        Kind {
            name: "20 % fail on one route",
            one_route: true,
            ..fails
        },
        few,
        Kind {
            name: "2 % fail later",
            onset: Onset::Later,
            ..few
        },
        Kind {
            name: "2 % fail on one route",
            one_route: true,
            ..few
        },
        slow,
        Kind {
            name: "twice as slow later",
            onset: Onset::Later,
            ..slow
        },
        Kind {
            name: "twice as slow, one route",
            one_route: true,
            ..slow
        },
    ]
}

/// How one move ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct End {
    done: bool,
    in_time: bool,
    /// Requests of the new version after the onset, on the route that had most.
    exposed: u64,
    /// Largest share before the first verdict.
    first_share: f64,
}

/// Runs all kinds and prints a table.
pub(crate) fn run(seed: u64) {
    println!(
        "moves: seeds from {seed} on, {MOVES} of each kind, {NODES} nodes, 4 routes, {RATE} requests/s,"
    );
    println!(
        "1 h to the set time; old version: 0.1 % failures. Requests on an affected route from the"
    );
    println!("onset until the stop has reached every node, those in flight included");
    println!(
        "  kind                        done  reversed  in time  p50 req  p95 req  target  met"
    );
    for kind in kinds() {
        let ends = run_kind(seed, kind);
        let count = ends.len() as f64;
        let share = |f: &dyn Fn(&End) -> bool| ends.iter().filter(|e| f(e)).count() as f64 / count;
        let mut exposed: Vec<u64> = ends.iter().map(|e| e.exposed).collect();
        exposed.sort_unstable();
        let at = |q: f64| exposed[((exposed.len() - 1) as f64 * q) as usize];
        let (p50, p95) = if kind.target.is_some() {
            (at(0.5), at(0.95))
        } else {
            (0, 0)
        };
        let met = kind
            .target
            .map_or("-", |t| if p95 <= t { "yes" } else { "no" });
        println!(
            "  {:<26} {:>4.1}%  {:>7.1}%  {:>6.1}%  {p50:>7}  {p95:>7}  {:>6}  {met}",
            kind.name,
            share(&|e| e.done) * 100.0,
            share(&|e| !e.done) * 100.0,
            share(&|e| e.in_time) * 100.0,
            kind.target.map_or("-".to_owned(), |t| t.to_string()),
        );
        assert!(
            ends.iter().all(|e| e.first_share <= 0.01),
            "share before the first verdict"
        );
    }
}

/// Runs the moves of a kind on all cores.
fn run_kind(seed: u64, kind: Kind) -> Vec<End> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    std::thread::scope(|scope| {
        let part = |t: u64| {
            scope.spawn(move || {
                let mine = (0..MOVES).filter(|m| m % threads == t);
                mine.map(|m| Move::new(seed + m, kind).run())
                    .collect::<Vec<End>>()
            })
        };
        let parts: Vec<_> = (0..threads).map(part).collect();
        parts
            .into_iter()
            .flat_map(|p| p.join().expect("the thread ends"))
            .collect()
    })
}

/// Something on its way.
#[derive(Debug)]
enum Event {
    /// A request of the new version ends.
    Ended { node: usize, route: usize },
    /// A node's report reaches the conductor.
    Report {
        node: usize,
        sent: Time,
        evidence: Box<Evidence>,
    },
    /// A grant reaches a node.
    Grant {
        node: usize,
        asked: Time,
        share: f64,
    },
    /// Word of a node's own stop reaches the conductor.
    Stopped { node: usize },
}

struct Move {
    kind: Kind,
    rng: SmallRng,
    now: Time,
    onset: Option<Time>,
    guards: Vec<MoveAgent>,
    conduct: MoveCoordinator,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next_event: u64,
    exposed: [u64; ROUTES.len()],
    first_share: f64,
}

impl Move {
    fn new(seed: u64, kind: Kind) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Time::from_millis(1_000);
        let onset = match kind.onset {
            Onset::AtOnce => Some(start),
            Onset::Later => Some(start + SPAN.mul_f64(rng.random_range(0.05..0.6))),
            Onset::Never | Onset::UnderLoad => None,
        };
        let settings = VerdictSettings::default();
        let plan = Plan {
            start,
            deadline: start + SPAN,
        };
        let state = CoordinatorState::Running {
            step: 0,
            since: start,
        };
        Self {
            kind,
            rng,
            now: start,
            onset,
            guards: (0..NODES).map(|_| MoveAgent::new(settings)).collect(),
            conduct: MoveCoordinator::new(plan, settings, state),
            queue: BinaryHeap::new(),
            events: Default::default(),
            next_event: 0,
            exposed: [0; ROUTES.len()],
            first_share: 0.0,
        }
    }

    fn run(mut self) -> End {
        let end = self.now + SPAN + Duration::from_secs(5);
        let gap = Duration::from_secs_f64(1.0 / RATE);
        let mut stopped_at = None;
        while self.now < end {
            self.handle_due();
            self.request();
            self.now = self.now + gap;
            // A while after the end nothing is on its way any more.
            if !matches!(self.conduct.state(), CoordinatorState::Running { .. }) {
                let since = *stopped_at.get_or_insert(self.now);
                if self.now > since + Duration::from_secs(1) {
                    break;
                }
            }
        }
        let by = Time::from_millis(1_000) + SPAN;
        End {
            done: *self.conduct.state() == CoordinatorState::Done,
            in_time: stopped_at.is_some_and(|at| at <= by),
            exposed: self.exposed.into_iter().max().unwrap_or(0),
            first_share: self.first_share,
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let route = self.rng.random_range(0..ROUTES.len());
        if self.guards[node].pick_new(self.now) {
            if self.is_affected(route) {
                self.exposed[route] += 1;
            }
            self.push(REQUEST, Event::Ended { node, route });
            return;
        }
        let common = self.kind.common && self.is_affected(route);
        let outcome = self.draw(common);
        self.note(node, route, false, outcome);
    }

    fn handle_due(&mut self) {
        if self.kind.onset == Onset::UnderLoad
            && self.onset.is_none()
            && self.conduct.share() >= 0.5
        {
            self.onset = Some(self.now);
        }
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ended { node, route } => {
                let outcome = self.draw(self.is_affected(route));
                self.note(node, route, true, outcome);
            }
            Event::Report {
                node,
                sent,
                evidence,
            } => {
                let running = matches!(self.conduct.state(), CoordinatorState::Running { .. });
                self.conduct
                    .on_report(NodeId(node as u64), *evidence, self.now);
                let share = self.conduct.share();
                if matches!(
                    self.conduct.state(),
                    CoordinatorState::Running { step: 0, .. }
                ) {
                    self.first_share = self.first_share.max(share);
                }
                self.push(
                    MESSAGE,
                    Event::Grant {
                        node,
                        asked: sent,
                        share,
                    },
                );
                if running && share == 0.0 {
                    self.tell_all();
                }
            }
            Event::Grant { node, asked, share } => {
                // A reversal carries no question; it goes before any grant.
                self.guards[node].on_grant(Grant { share }, asked);
            }
            Event::Stopped { node } => {
                self.conduct.on_node_stop(NodeId(node as u64));
                self.tell_all();
            }
        }
    }

    /// Tells every node that its share is gone.
    fn tell_all(&mut self) {
        for node in 0..NODES {
            self.push(
                MESSAGE,
                Event::Grant {
                    node,
                    asked: Time::MAX,
                    share: 0.0,
                },
            );
        }
    }

    fn note(&mut self, node: usize, route: usize, new: bool, outcome: Outcome) {
        if self.guards[node].record(ROUTES[route], new, outcome) {
            self.push(MESSAGE, Event::Stopped { node });
        }
        if let Some(evidence) = self.guards[node].due_report(self.now) {
            let evidence = Box::new(evidence.clone());
            self.push(
                MESSAGE,
                Event::Report {
                    node,
                    sent: self.now,
                    evidence,
                },
            );
        }
    }

    fn is_affected(&self, route: usize) -> bool {
        let begun = self.onset.is_some_and(|onset| self.now >= onset);
        begun && (!self.kind.one_route || route == 2)
    }

    fn draw(&mut self, affected: bool) -> Outcome {
        let (failures, slow) = match affected {
            true => (self.kind.failures, self.kind.slow),
            false => (BASE_FAILURES, BASE_SLOW),
        };
        Outcome {
            failed: self.rng.random_bool(failures),
            slow: self.rng.random_bool(slow),
        }
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
    }
}
