//! A harness that runs the direct path of one node in virtual time. The test itself ends the node's calls.
#![allow(dead_code)]

pub mod load_simulation;
pub mod move_simulation;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, Revision, Time};
use monsoondeal_edge::{
    Action, Answer, AnswerHead, Attribution, CallOutcome, Config, Edge, EdgeSettings, Exchanges,
    Gather, LeafCall, LeafEntry, Limits, MoveDecision, MovePost, MoveReport, Name, NoticeTaken,
    Repeat, Reply, RequestEvent, RequestHead, Route, Service, Summary, Target, Token,
    UnwrittenCause, WriteMark,
};
use monsoondeal_moves::{Ledger, OrderId, OrderKey, PostingReply};

/// Most ticks at one point in virtual time; a node that needs more makes no progress.
const MAX_TICKS: usize = 1_000;
/// Host of all routes.
pub const HOST: &str = "search.example";

/// Returns a route to one service.
pub fn service_route(name: &str, service: &str, repeat: Repeat) -> Route {
    Route {
        name: Name::from(name),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        target: Target::Service(Name::from(service)),
        repeat,
        timeout: Duration::from_secs(8),
        objective: Duration::from_millis(800),
        attempts: 2,
        priority: 2,
    }
}

/// Returns a route to `count` shards.
pub fn fan_out_route(name: &str, count: usize, min_coverage: f64) -> Route {
    let shards = (0..count).map(shard).collect();
    let gather = Gather {
        top_k: 5,
        min_coverage,
    };
    Route {
        target: Target::FanOut(shards, gather),
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        priority: 1,
        ..service_route(name, "", Repeat::Idempotent)
    }
}

/// Returns the name of the shard at an index.
pub fn shard(index: usize) -> Name {
    Name::from(format!("shard-{index}"))
}

/// Returns a configuration in which each leaf of the routes' services accepts `connections` connections.
pub fn config(version: u64, routes: Vec<Route>, connections: usize) -> Config {
    let mut services = HashMap::new();
    for route in &routes {
        let names: Vec<Name> = match &route.target {
            Target::Service(name) => vec![name.clone()],
            Target::Split(parts) => parts.iter().map(|(name, _)| name.clone()).collect(),
            Target::FanOut(shards, _) => shards.clone(),
        };
        for name in names {
            let service = Service {
                connections,
                cold_rate: None,
                warmup: Duration::ZERO,
                check_path: None,
            };
            services.insert(name, service);
        }
    }
    Config::new(version, routes, services, Limits::default())
}

/// Returns the registry entry of a leaf of version `v1` that is neither cold nor draining.
pub fn leaf(name: &str, service: &str) -> LeafEntry {
    LeafEntry {
        name: Name::from(name),
        born: 1,
        service: Name::from(service),
        addr: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 3,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// Returns a successful answer of a leaf: status 200 and a signature.
pub fn success(body: &str) -> CallOutcome {
    CallOutcome::Answer(Answer {
        status: 200,
        signature: Bytes::from(format!("stamp-{body}")),
        body: Bytes::from(format!("{body:016}")),
        ..Answer::default()
    })
}

/// Returns an answer with which a leaf itself reports a failure: status 500 and a signature.
pub fn failure() -> CallOutcome {
    CallOutcome::Answer(Answer {
        status: 500,
        signature: Bytes::from_static(b"stamp"),
        ..Answer::default()
    })
}

/// Returns the outcome of a call that its leaf answers with a head that states that it has not run.
fn answered_not_run(status: u16, is_marked: bool) -> CallOutcome {
    let mut exchanges = Exchanges::default();
    exchanges.begin(b"id");
    let head = AnswerHead {
        status,
        id: Some(b"id"),
        is_marked,
        is_signed: false,
    };
    let Attribution::Own(answer) = exchanges.attribute(b"id", head) else {
        panic!("the answer belongs to the call");
    };
    CallOutcome::NotRun(answer.refusal().expect("a refusal"))
}

/// Returns the outcome of a call that its leaf refuses.
pub fn refused() -> CallOutcome {
    answered_not_run(503, true)
}

/// Returns the outcome of a call that arrives at another leaf.
pub fn misdirected() -> CallOutcome {
    answered_not_run(421, false)
}

fn unwritten(cause: UnwrittenCause) -> CallOutcome {
    let proof = WriteMark::default().unwritten(cause);
    CallOutcome::NotRun(proof.expect("nothing was written"))
}

/// Returns the outcome of a call that could not be sent.
pub fn unsent() -> CallOutcome {
    unwritten(UnwrittenCause::Unsent)
}

/// Returns the outcome of a call that was taken back before any of it was written.
pub fn withdrawn() -> CallOutcome {
    let mark = WriteMark::default();
    mark.withdraw();
    let proof = mark.unwritten(UnwrittenCause::Unsent);
    CallOutcome::NotRun(proof.expect("nothing was written"))
}

/// Returns the outcome of a call whose leaf did not report its name.
pub fn unchecked() -> CallOutcome {
    unwritten(UnwrittenCause::Unchecked)
}

/// Returns the outcome of a call whose address another leaf has.
pub fn displaced() -> CallOutcome {
    unwritten(UnwrittenCause::Displaced)
}

/// Returns the identity of an order that is not given by a change of another one.
pub fn order_id(number: u64) -> OrderId {
    OrderId {
        created: number,
        revision: Revision::new(None, number),
    }
}

/// Applies a posting to a ledger, which is created if there is none yet, and returns the ledger's reply.
pub fn apply_posting(ledger: &mut Option<Ledger>, post: &MovePost) -> PostingReply {
    let key = OrderKey {
        id: post.id,
        version: post.version.to_string(),
    };
    let ledger = ledger.get_or_insert_with(|| Ledger::new(key));
    ledger.restore(post.posting.process, &post.history);
    ledger.post(&post.posting, &post.limits)
}

/// `Node` is a node under test.
pub struct Node {
    /// The state machine under test.
    pub edge: Edge,
    /// The present virtual time.
    pub now: Time,
    /// Calls under way, oldest first.
    pub calls: Vec<LeafCall>,
    /// Calls that the node cancelled.
    pub cancelled: HashSet<CallId>,
    /// Calls that the node wants back if nothing of them has been written.
    pub withheld: HashSet<CallId>,
    /// What leafs said about themselves, as logged.
    pub notices: Vec<NoticeTaken>,
    /// Leafs that got a single call during a break.
    pub probes: Vec<Name>,
    /// Replies to callers, at most one for each request.
    pub replies: BTreeMap<Token, (Reply, Summary)>,
    /// Events of requests that the node logged.
    pub events: Vec<RequestEvent>,
    /// Changes of version moves that the node asked for.
    pub decisions: Vec<MoveDecision>,
    /// Progress reports on version moves that the node logged.
    pub reports: Vec<MoveReport>,
    /// Postings to the ledgers of version moves that have no reply yet.
    pub posts: Vec<MovePost>,
    /// When the node last asked the store for the orders of version moves, until the test takes the value.
    pub fetch_time: Option<Time>,
    /// Eras of the store for which the node asked to be registered again.
    pub registrations: Vec<u64>,
    /// Routes of the requests sent, indexed by token.
    routes: Vec<String>,
}

impl Node {
    /// Creates the only node of a fleet, with a configuration and leafs.
    pub fn new(config: Config, leafs: Vec<LeafEntry>) -> Self {
        let settings = EdgeSettings {
            nodes: 1,
            repeat_ratio: 0.25,
            repeat_slack: 50.0,
            ..EdgeSettings::default()
        };
        Self::with_settings(settings, config, leafs)
    }

    /// Creates a node with settings, a configuration and leafs, and without version moves or closed failure domains.
    pub fn with_settings(settings: EdgeSettings, config: Config, leafs: Vec<LeafEntry>) -> Self {
        let mut node = Self {
            edge: Edge::new(settings),
            now: Time::from_millis(1_000),
            calls: Vec::new(),
            cancelled: HashSet::new(),
            withheld: HashSet::new(),
            notices: Vec::new(),
            probes: Vec::new(),
            replies: BTreeMap::new(),
            events: Vec::new(),
            decisions: Vec::new(),
            reports: Vec::new(),
            posts: Vec::new(),
            fetch_time: None,
            registrations: Vec::new(),
            routes: Vec::new(),
        };
        assert!(node.edge.set_config(config));
        node.edge.close_domains(HashSet::new(), Time::default());
        node.apply(|edge, now, out| edge.set_moves(Vec::new(), now, out));
        node.apply(|edge, now, out| edge.replace_leafs(leafs, now, out));
        node
    }

    /// Passes an input to the state machine and records the actions that it returns.
    pub fn apply<F>(&mut self, input: F)
    where
        F: FnOnce(&mut Edge, Time, &mut Vec<Action>),
    {
        let mut out = Vec::new();
        input(&mut self.edge, self.now, &mut out);
        for action in out {
            match action {
                Action::Send(call) => self.calls.push(call),
                Action::Cancel(id) => {
                    self.calls.retain(|call| call.call != id);
                    self.cancelled.insert(id);
                }
                Action::Reply(token, reply, summary) => {
                    let previous = self.replies.insert(token, (reply, summary));
                    assert!(previous.is_none(), "two replies to {token:?}");
                }
                Action::Withhold(id) => {
                    self.withheld.insert(id);
                }
                Action::Log(_, event) => self.events.push(event),
                Action::LogNotice(taken) => self.notices.push(taken),
                Action::LogProbe(leaf) => self.probes.push(leaf),
                Action::CloseIdle(_) => {}
                Action::Move(decision) => self.decisions.push(decision),
                Action::Report(report) => self.reports.push(report),
                Action::Post(post) => self.posts.push(post),
                Action::FetchOrders => self.fetch_time = Some(self.now),
                Action::Register { era, .. } => self.registrations.push(era),
            }
        }
    }

    /// Sends a request on a route, with a timeout of 8 s.
    pub fn request(&mut self, route: &str) -> Token {
        self.request_with_timeout(route, Duration::from_secs(8))
    }

    /// Sends a request on a route, with a timeout set by the caller.
    pub fn request_with_timeout(&mut self, route: &str, timeout: Duration) -> Token {
        let token = Token(self.routes.len() as u64);
        self.routes.push(route.to_owned());
        let path = format!("/{route}/x");
        self.apply(|edge, now, out| {
            let head = RequestHead {
                token,
                host: HOST,
                path: &path,
                timeout: Some(timeout),
                is_first: false,
            };
            edge.request(&head, now, out);
        });
        token
    }

    /// Returns the name of the route that a request was sent on.
    pub fn route_of(&self, token: Token) -> &str {
        &self.routes[token.0 as usize]
    }

    /// Advances the virtual time and runs the timers that expire meanwhile.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        let mut idle_ticks = 0;
        while let Some(wake) = self.edge.next_wake().filter(|wake| *wake <= end) {
            idle_ticks = if wake > self.now { 0 } else { idle_ticks + 1 };
            assert!(
                idle_ticks < MAX_TICKS,
                "{idle_ticks} ticks at {wake:?} without progress"
            );
            self.now = self.now.max(wake);
            self.apply(|edge, now, out| edge.tick(now, out));
        }
        self.now = end;
    }

    /// Serves a request on a route, and returns the posting that follows it.
    pub fn first_post(&mut self, route: &str) -> MovePost {
        self.request(route);
        let call = self.calls[0].call;
        self.end_call(call, success("1"));
        self.run_for(Duration::from_secs(1));
        self.posts.remove(0)
    }

    /// Applies all pending postings to a ledger and passes the replies to the node.
    pub fn answer_posts(&mut self, ledger: &mut Option<Ledger>) {
        while let Some(post) = self.posts.pop() {
            let reply = apply_posting(ledger, &post);
            self.apply(|edge, now, out| edge.post_ended(&post, Some(&reply), now, out));
        }
    }

    /// Ends a call.
    pub fn end_call(&mut self, id: CallId, outcome: CallOutcome) {
        self.calls.retain(|call| call.call != id);
        self.apply(|edge, now, out| edge.call_ended(id, outcome, now, out));
    }

    /// Answers all calls under way successfully, except those to leafs for which `skip` returns true.
    pub fn answer_all_except<F>(&mut self, skip: F)
    where
        F: Fn(&str) -> bool,
    {
        let open_calls: Vec<LeafCall> = self.calls.clone();
        for call in open_calls.into_iter().filter(|call| !skip(&call.instance)) {
            self.end_call(call.call, success(&call.call.0.to_string()));
        }
    }

    /// Returns the reply to a request, if it was sent.
    pub fn reply(&self, token: Token) -> Option<&Reply> {
        self.replies.get(&token).map(|(reply, _)| reply)
    }

    /// Returns the leafs of the calls under way, one entry for each call.
    pub fn called_leafs(&self) -> Vec<&str> {
        self.calls.iter().map(|call| &*call.instance).collect()
    }
}
