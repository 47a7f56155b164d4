//! A node's direct path in virtual time, with simple leafs.
#![allow(dead_code)]

pub mod farm;
pub mod fleet;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{
    Action, Answer, CallOutcome, Config, Edge, EdgeSettings, Gather, LeafCall, LeafEntry, Limits,
    MoveDecision, MovePost, MoveReport, Name, Repeat, Reply, RequestEvent, RequestHead, Route,
    Service, Summary, Target, Token,
};
use monsoondeal_moves::{Ledger, OrderKey, PostingReply};

/// Most times that a node may fall due at one moment.
const MOST_TICKS: usize = 1_000;
/// Host of all routes.
pub const HOST: &str = "search.example";

/// Returns a route to one service.
pub fn single(name: &str, service: &str, repeat: Repeat) -> Route {
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
pub fn fan_out(name: &str, count: usize, min_coverage: f64) -> Route {
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
        ..single(name, "", Repeat::Idempotent)
    }
}

/// Returns the name of a shard.
pub fn shard(at: usize) -> Name {
    Name::from(format!("shard-{at}"))
}

/// Returns a configuration whose services all accept `connections` a leaf.
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

/// Returns a leaf that is ready.
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

/// Returns a good answer.
pub fn good(body: &str) -> CallOutcome {
    CallOutcome::Answer(Answer {
        status: 200,
        stamp: Some(Bytes::from(format!("stamp-{body}"))),
        body: Bytes::from(format!("{body:016}")),
        ..Answer::default()
    })
}

/// Returns a leaf's own failure.
pub fn failure() -> CallOutcome {
    CallOutcome::Answer(Answer {
        status: 500,
        stamp: Some(Bytes::from_static(b"stamp")),
        ..Answer::default()
    })
}

/// Writes a posting to a ledger, which it begins if there is none.
pub fn post_to(ledger: &mut Option<Ledger>, post: &MovePost) -> PostingReply {
    let key = OrderKey {
        id: post.id,
        version: post.version.to_string(),
    };
    let ledger = ledger.get_or_insert_with(|| Ledger::new(key));
    ledger.post(&post.posting, &post.limits)
}

/// A node under test.
pub struct Node {
    pub edge: Edge,
    pub now: Time,
    /// Calls sent and not yet ended, oldest first.
    pub calls: Vec<LeafCall>,
    /// Calls given up.
    pub abandoned: HashSet<CallId>,
    pub replies: BTreeMap<Token, (Reply, Summary)>,
    pub notes: Vec<RequestEvent>,
    pub decisions: Vec<MoveDecision>,
    pub reports: Vec<MoveReport>,
    /// Postings to ledgers of moves that are not answered yet.
    pub posts: Vec<MovePost>,
    /// When the node asked for the orders of moves.
    pub asked: Option<Time>,
    /// Routes of the requests sent, by token.
    routes: Vec<String>,
}

impl Node {
    /// Creates a node with a configuration and leafs, alone in using them.
    pub fn new(config: Config, leafs: Vec<LeafEntry>) -> Self {
        let settings = EdgeSettings {
            nodes: 1,
            repeat_ratio: 0.25,
            repeat_slack: 50.0,
            ..EdgeSettings::default()
        };
        Self::with_settings(settings, config, leafs)
    }

    /// Creates a node with settings, a configuration and leafs.
    pub fn with_settings(settings: EdgeSettings, config: Config, leafs: Vec<LeafEntry>) -> Self {
        let mut node = Self {
            edge: Edge::new(settings),
            now: Time::from_millis(1_000),
            calls: Vec::new(),
            abandoned: HashSet::new(),
            replies: BTreeMap::new(),
            notes: Vec::new(),
            decisions: Vec::new(),
            reports: Vec::new(),
            posts: Vec::new(),
            asked: None,
            routes: Vec::new(),
        };
        assert!(node.edge.set_config(config));
        node.edge.close_domains(HashSet::new());
        node.step(|edge, now, out| edge.set_moves(Vec::new(), now, out));
        node.step(|edge, now, out| edge.replace_leafs(leafs, now, out));
        node
    }

    pub fn step<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Edge, Time, &mut Vec<Action>),
    {
        let mut out = Vec::new();
        act(&mut self.edge, self.now, &mut out);
        for action in out {
            match action {
                Action::Send(call) => self.calls.push(call),
                Action::Cancel(id) => {
                    self.calls.retain(|call| call.call != id);
                    self.abandoned.insert(id);
                }
                Action::Reply(token, reply, summary) => {
                    let earlier = self.replies.insert(token, (reply, summary));
                    assert!(earlier.is_none(), "two replies to {token:?}");
                }
                Action::Log(_, note) => self.notes.push(note),
                Action::CloseIdle(_) => {}
                Action::Move(decision) => self.decisions.push(decision),
                Action::Report(report) => self.reports.push(report),
                Action::Post(post) => self.posts.push(post),
                Action::FetchOrders => self.asked = Some(self.now),
            }
        }
    }

    /// Sends a request on a route.
    pub fn request(&mut self, route: &str) -> Token {
        self.request_within(route, Duration::from_secs(8))
    }

    /// Sends a request whose caller waits for `patience`.
    pub fn request_within(&mut self, route: &str, patience: Duration) -> Token {
        let token = Token(self.routes.len() as u64);
        self.routes.push(route.to_owned());
        let path = format!("/{route}/x");
        self.step(|edge, now, out| {
            let inquiry = RequestHead {
                token,
                host: HOST,
                path: &path,
                timeout: Some(patience),
                is_first: false,
                segment: None,
            };
            edge.request(&inquiry, now, out);
        });
        token
    }

    /// Returns the route of a request that was sent.
    pub fn route_of(&self, token: Token) -> &str {
        &self.routes[token.0 as usize]
    }

    /// Lets time pass and does what falls due.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        let mut idle = 0;
        while let Some(wake) = self.edge.next_wake().filter(|wake| *wake <= end) {
            idle = if wake > self.now { 0 } else { idle + 1 };
            assert!(idle < MOST_TICKS, "the node wakes for nothing at {wake:?}");
            self.now = self.now.max(wake);
            self.step(|edge, now, out| edge.tick(now, out));
        }
        self.now = end;
    }

    /// Answers all postings by a ledger that is always there.
    pub fn answer_posts(&mut self, ledger: &mut Option<Ledger>) {
        while let Some(post) = self.posts.pop() {
            let answer = post_to(ledger, &post);
            self.step(|edge, now, out| edge.post_ended(&post, Some(&answer), now, out));
        }
    }

    /// Ends a call.
    pub fn end(&mut self, id: CallId, end: CallOutcome) {
        self.calls.retain(|call| call.call != id);
        self.step(|edge, now, out| edge.call_ended(id, end, now, out));
    }

    /// Ends all calls under way except those to leafs for which `skip` holds.
    pub fn serve_except<F>(&mut self, skip: F)
    where
        F: Fn(&str) -> bool,
    {
        let served: Vec<LeafCall> = self.calls.clone();
        for call in served.into_iter().filter(|call| !skip(&call.instance)) {
            self.end(call.call, good(&call.call.0.to_string()));
        }
    }

    /// Returns the reply to a request, if there is one.
    pub fn reply(&self, token: Token) -> Option<&Reply> {
        self.replies.get(&token).map(|(reply, _)| reply)
    }

    /// Returns the names of the leafs that calls are under way at.
    pub fn called(&self) -> Vec<&str> {
        self.calls.iter().map(|call| &*call.instance).collect()
    }
}
