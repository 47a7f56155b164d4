//! Version moves to good and bad versions, with many seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use monsoondeal::core::{NodeId, Time};
use monsoondeal::moves::{
    CoordinatorState, Evidence, Grant, MoveAgent, MoveCoordinator, Outcome, Plan, VerdictSettings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of moves of each kind.
const MOVES_PER_KIND: u64 = 1_000;
/// Number of nodes of the cell.
const NODES: usize = 9;
const ROUTES: [&str; 4] = ["urgent", "lookup", "review", "report"];
/// Requests per second on all routes together.
const REQUEST_RATE: f64 = 100.0;
/// Time from the start of a move to its deadline.
const TIME_TO_DEADLINE: Duration = Duration::from_secs(3_600);
/// Failure rate of the old version and of a good new version.
const BASE_FAILURE_RATE: f64 = 0.001;
/// Share of slow requests of the old version; slow means above its own third quartile.
const BASE_SLOW_SHARE: f64 = 0.25;
/// Share of slow requests of a version whose requests take twice as long, if response times are
/// log-normal with sigma 0.4.
const TWICE_SLOW_SHARE: f64 = 0.855;
/// Duration of a request.
const REQUEST_TIME: Duration = Duration::from_millis(20);
/// Delay of a message between nodes.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);

/// Time at which a fault begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Onset {
    Never,
    AtOnce,
    Later,
    UnderLoad,
}

/// Kind of move: the fault of the new version, and the limit for exposed requests.
#[derive(Clone, Copy, Debug)]
struct MoveKind {
    name: &'static str,
    onset: Onset,
    failure_rate: f64,
    slow_share: f64,
    /// Whether the fault affects only one route.
    one_route: bool,
    /// Whether the fault affects the old version as much as the new one.
    common_cause: bool,
    /// Limit for the requests of the new version on an affected route after the onset, which 95 of 100
    /// moves must keep.
    max_exposed: Option<u64>,
}

fn move_kinds() -> Vec<MoveKind> {
    let good = MoveKind {
        name: "good",
        onset: Onset::Never,
        failure_rate: BASE_FAILURE_RATE,
        slow_share: BASE_SLOW_SHARE,
        one_route: false,
        common_cause: false,
        max_exposed: None,
    };
    let failing = MoveKind {
        name: "20 % fail at once",
        onset: Onset::AtOnce,
        failure_rate: 0.2,
        max_exposed: Some(50),
        ..good
    };
    let rare = MoveKind {
        name: "2 % fail at once",
        failure_rate: 0.02,
        max_exposed: Some(1_000),
        ..failing
    };
    let slow = MoveKind {
        name: "twice as slow at once",
        failure_rate: BASE_FAILURE_RATE,
        slow_share: TWICE_SLOW_SHARE,
        max_exposed: Some(300),
        ..failing
    };
    vec![
        good,
        MoveKind {
            name: "good, both fail 5 % later",
            onset: Onset::Later,
            failure_rate: 0.05,
            common_cause: true,
            ..good
        },
        failing,
        MoveKind {
            name: "20 % fail later",
            onset: Onset::Later,
            ..failing
        },
        MoveKind {
            name: "20 % fail under load",
            onset: Onset::UnderLoad,
            ..failing
        },
        MoveKind {
            name: "20 % fail on one route",
            one_route: true,
            ..failing
        },
        rare,
        MoveKind {
            name: "2 % fail later",
            onset: Onset::Later,
            ..rare
        },
        MoveKind {
            name: "2 % fail on one route",
            one_route: true,
            ..rare
        },
        slow,
        MoveKind {
            name: "twice as slow later",
            onset: Onset::Later,
            ..slow
        },
        MoveKind {
            name: "twice as slow, one route",
            one_route: true,
            ..slow
        },
    ]
}

/// Result of one move.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MoveEnd {
    done: bool,
    in_time: bool,
    /// Requests of the new version after the onset, on the route with the most of them.
    exposed: u64,
    /// Largest share of the new version in the first step, before the first verdict.
    first_step_share: f64,
}

/// Runs all kinds and prints a table.
pub(crate) fn run(seed: u64) {
    println!(
        "moves: seeds from {seed} on, {MOVES_PER_KIND} of each kind, {NODES} nodes, 4 routes, \
         {REQUEST_RATE} requests/s,"
    );
    println!(
        "1 h to the deadline; old version: 0.1 % failures. Requests on an affected route from the"
    );
    println!("onset until the rollback has reached every node, including those in flight");
    println!(
        "  kind                        done  reversed  in time  p50 req  p95 req  target  met"
    );
    for kind in move_kinds() {
        let ends = run_kind(seed, kind);
        let n = ends.len() as f64;
        let share = |f: &dyn Fn(&MoveEnd) -> bool| ends.iter().filter(|e| f(e)).count() as f64 / n;
        let mut exposed: Vec<u64> = ends.iter().map(|e| e.exposed).collect();
        exposed.sort_unstable();
        let at = |q: f64| exposed[((exposed.len() - 1) as f64 * q) as usize];
        let (p50, p95) = if kind.max_exposed.is_some() {
            (at(0.5), at(0.95))
        } else {
            (0, 0)
        };
        let met = kind
            .max_exposed
            .map_or("-", |t| if p95 <= t { "yes" } else { "no" });
        println!(
            "  {:<26} {:>4.1}%  {:>7.1}%  {:>6.1}%  {p50:>7}  {p95:>7}  {:>6}  {met}",
            kind.name,
            share(&|e| e.done) * 100.0,
            share(&|e| !e.done) * 100.0,
            share(&|e| e.in_time) * 100.0,
            kind.max_exposed.map_or("-".to_owned(), |t| t.to_string()),
        );
        assert!(
            ends.iter().all(|e| e.first_step_share <= 0.01),
            "share before the first verdict"
        );
    }
}

/// Runs the moves of a kind on all cores.
fn run_kind(seed: u64, kind: MoveKind) -> Vec<MoveEnd> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    std::thread::scope(|scope| {
        let part = |t: u64| {
            scope.spawn(move || {
                let own_moves = (0..MOVES_PER_KIND).filter(|m| m % threads == t);
                own_moves
                    .map(|m| MoveRun::new(seed + m, kind).run())
                    .collect::<Vec<MoveEnd>>()
            })
        };
        let parts: Vec<_> = (0..threads).map(part).collect();
        parts
            .into_iter()
            .flat_map(|p| p.join().expect("the thread ends"))
            .collect()
    })
}

/// Scheduled event.
#[derive(Debug)]
enum Event {
    /// A request of the new version ends.
    RequestEnded { node: usize, route: usize },
    /// A node's report reaches the coordinator.
    Report {
        node: usize,
        sent: Time,
        evidence: Box<Evidence>,
    },
    /// A grant reaches a node.
    Grant {
        node: usize,
        report_sent: Time,
        share: f64,
    },
    /// The coordinator learns that a node's agent has stopped the move.
    Stopped { node: usize },
}

struct MoveRun {
    kind: MoveKind,
    rng: SmallRng,
    now: Time,
    onset: Option<Time>,
    agents: Vec<MoveAgent>,
    coordinator: MoveCoordinator,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next_event: u64,
    exposed: [u64; ROUTES.len()],
    first_step_share: f64,
}

impl MoveRun {
    fn new(seed: u64, kind: MoveKind) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Time::from_millis(1_000);
        let onset = match kind.onset {
            Onset::AtOnce => Some(start),
            Onset::Later => Some(start + TIME_TO_DEADLINE.mul_f64(rng.random_range(0.05..0.6))),
            Onset::Never | Onset::UnderLoad => None,
        };
        let settings = VerdictSettings::default();
        let plan = Plan {
            start,
            deadline: start + TIME_TO_DEADLINE,
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
            agents: (0..NODES).map(|_| MoveAgent::new(settings)).collect(),
            coordinator: MoveCoordinator::new(plan, settings, state),
            queue: BinaryHeap::new(),
            events: Default::default(),
            next_event: 0,
            exposed: [0; ROUTES.len()],
            first_step_share: 0.0,
        }
    }

    fn run(mut self) -> MoveEnd {
        let end = self.now + TIME_TO_DEADLINE + Duration::from_secs(5);
        let interval = Duration::from_secs_f64(1.0 / REQUEST_RATE);
        let mut stopped_at = None;
        while self.now < end {
            self.handle_due();
            self.request();
            self.now = self.now + interval;
            // One second after the move has ended, no events are pending.
            if !matches!(self.coordinator.state(), CoordinatorState::Running { .. }) {
                let since = *stopped_at.get_or_insert(self.now);
                if self.now > since + Duration::from_secs(1) {
                    break;
                }
            }
        }
        let deadline = Time::from_millis(1_000) + TIME_TO_DEADLINE;
        MoveEnd {
            done: *self.coordinator.state() == CoordinatorState::Done,
            in_time: stopped_at.is_some_and(|at| at <= deadline),
            exposed: self.exposed.into_iter().max().unwrap_or(0),
            first_step_share: self.first_step_share,
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let route = self.rng.random_range(0..ROUTES.len());
        if self.agents[node].pick_new(self.now) {
            if self.is_affected(route) {
                self.exposed[route] += 1;
            }
            self.schedule(REQUEST_TIME, Event::RequestEnded { node, route });
            return;
        }
        let common = self.kind.common_cause && self.is_affected(route);
        let outcome = self.draw_outcome(common);
        self.record(node, route, false, outcome);
    }

    fn handle_due(&mut self) {
        if self.kind.onset == Onset::UnderLoad
            && self.onset.is_none()
            && self.coordinator.share() >= 0.5
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
            Event::RequestEnded { node, route } => {
                let outcome = self.draw_outcome(self.is_affected(route));
                self.record(node, route, true, outcome);
            }
            Event::Report {
                node,
                sent,
                evidence,
            } => {
                let running = matches!(self.coordinator.state(), CoordinatorState::Running { .. });
                self.coordinator
                    .on_report(NodeId(node as u64), *evidence, self.now);
                let share = self.coordinator.share();
                if matches!(
                    self.coordinator.state(),
                    CoordinatorState::Running { step: 0, .. }
                ) {
                    self.first_step_share = self.first_step_share.max(share);
                }
                self.schedule(
                    MESSAGE_DELAY,
                    Event::Grant {
                        node,
                        report_sent: sent,
                        share,
                    },
                );
                if running && share == 0.0 {
                    self.revoke_all_shares();
                }
            }
            Event::Grant {
                node,
                report_sent,
                share,
            } => {
                // A revocation answers no report. Its time is `Time::MAX`, so that no later grant overrides
                // it.
                self.agents[node].on_grant(Grant { share }, report_sent);
            }
            Event::Stopped { node } => {
                self.coordinator.on_node_stop(NodeId(node as u64));
                self.revoke_all_shares();
            }
        }
    }

    /// Sends every node a grant with share 0.
    fn revoke_all_shares(&mut self) {
        for node in 0..NODES {
            self.schedule(
                MESSAGE_DELAY,
                Event::Grant {
                    node,
                    report_sent: Time::MAX,
                    share: 0.0,
                },
            );
        }
    }

    fn record(&mut self, node: usize, route: usize, new: bool, outcome: Outcome) {
        if self.agents[node].record(ROUTES[route], new, outcome) {
            self.schedule(MESSAGE_DELAY, Event::Stopped { node });
        }
        if let Some(evidence) = self.agents[node].due_report(self.now) {
            let evidence = Box::new(evidence.clone());
            self.schedule(
                MESSAGE_DELAY,
                Event::Report {
                    node,
                    sent: self.now,
                    evidence,
                },
            );
        }
    }

    fn is_affected(&self, route: usize) -> bool {
        let has_begun = self.onset.is_some_and(|onset| self.now >= onset);
        has_begun && (!self.kind.one_route || route == 2)
    }

    fn draw_outcome(&mut self, affected: bool) -> Outcome {
        let (failures, slow) = match affected {
            true => (self.kind.failure_rate, self.kind.slow_share),
            false => (BASE_FAILURE_RATE, BASE_SLOW_SHARE),
        };
        Outcome {
            failed: self.rng.random_bool(failures),
            slow: self.rng.random_bool(slow),
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
    }
}
