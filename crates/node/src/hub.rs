//! The hub: the task that owns the engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use compio::time::{sleep, sleep_until};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monsoondeal_config::NodeSettings;
use monsoondeal_core::{Clock, LeafId, NodeId, Time};
use monsoondeal_engine::io::{LeafCall, LinkId, Response, Token};
use monsoondeal_engine::{Counts, Engine, EngineSettings, Input, Output};
use monsoondeal_limit::IdempotencySettings;
use monsoondeal_member::{CellSettings, Member};
use monsoondeal_moves::WallClock;
use monsoondeal_route::{QuerySettings, ReplicaSelectorSettings};
use rand::RngExt;

use crate::accept::Acceptor;
use crate::callers::CallerState;
use crate::error::NodeError;
use crate::event::{Event, EventSender, MessageSender, send};
use crate::metrics::Metrics;
use crate::peers::{Identity, Outbox};
use crate::signals::SignalReceiver;
use crate::store::Store;
use crate::{admin, callers, counters, leafs, links, peers, store};

/// Maximum number of events handled before the progress of a stop is checked again. The engine checks its timers
/// with each input.
const EVENT_BATCH: usize = 256;
/// Minimum time for which a stopping node still accepts connections, so that load balancers notice the stop.
const LAME_DUCK_TIME: Duration = Duration::from_millis(1_500);
/// Time for the last responses to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval of the checks whether a stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node until the planned stop requested by `stop` is complete.
///
/// # Errors
///
/// If the node cannot start.
pub async fn run(settings: NodeSettings, stop: SignalReceiver) -> Result<(), NodeError> {
    let clock = Clock::start();
    let (events, inbox) = mpsc::unbounded();
    spawn(wait_for_stop(stop, events.clone())).detach();

    let callers = bind("callers", settings.callers).await?;
    let peers = bind("peers", settings.peers).await?;
    let admin = bind("operators", settings.admin).await?;
    let node = NodeId(rand::rng().random::<u64>() >> 1);
    let me = Member {
        node,
        peer: local_addr(&peers, settings.peers),
        admin: local_addr(&admin, settings.admin),
        domain: settings.domain.clone(),
        vm: settings.vm.clone(),
        position: 0,
        listed: false,
    };
    let caller_addr = local_addr(&callers, settings.callers);
    log::info!(
        node = node.0, callers:% = caller_addr, peers:% = me.peer, admin:% = me.admin;
        "listening"
    );

    let accept_failures = Rc::default();
    let acceptor =
        |purpose, listener| Acceptor::new(purpose, listener, Rc::clone(&accept_failures));
    let caller_state = CallerState::default();
    spawn(callers::listen(
        acceptor("callers", callers),
        caller_state.clone(),
        events.clone(),
    ))
    .detach();
    spawn(links::listen(acceptor("peers", peers), events.clone())).detach();
    spawn(admin::listen(acceptor("operators", admin), events.clone())).detach();

    let identity = Identity {
        node,
        cell: settings.cell.clone(),
    };
    let engine = Engine::new(engine_settings(&settings, me));
    let mut hub = Hub {
        engine,
        clock,
        events,
        identity,
        caller_state,
        metrics: Metrics::new(&counters::COUNTERS, &[], &counters::RESPONSE_BUCKETS)?,
        store: Store::new(&settings.store),
        drain_timeout: settings.drain_timeout,
        requests: HashMap::new(),
        peers: HashMap::new(),
        links: HashMap::new(),
        leafs: HashMap::new(),
        watches: HashMap::new(),
        stop: StopStage::Running,
        logged_tree: 0,
        logged_epoch: 0,
    };
    hub.serve(inbox).await;
    sleep(FLUSH_TIME).await;
    log::info!("stopped");
    Ok(())
}

fn engine_settings(settings: &NodeSettings, me: Member) -> EngineSettings {
    let membership = CellSettings {
        lease_duration: settings.lease_duration,
        peer_timeout: settings.lease_duration,
        heartbeat_interval: settings.heartbeat_interval,
        ..CellSettings::default()
    };
    EngineSettings {
        cell: settings.cell.clone(),
        seed: me.node.0,
        me,
        seeds: settings.seeds.clone(),
        membership,
        idempotency: IdempotencySettings::default(),
        replicas: ReplicaSelectorSettings::default(),
        query: QuerySettings::default(),
        max_inflight: settings.inflight,
        wall: wall_clock(),
    }
}

/// Returns the Unix time of the start of the node's clock, which has been started just before.
fn wall_clock() -> WallClock {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallClock {
        origin_millis: i64::try_from(since_epoch.as_millis()).unwrap_or(0),
    }
}

async fn bind(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| NodeError::Bind(purpose, addr, error))
}

fn local_addr(listener: &TcpListener, fallback: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(fallback)
}

async fn wait_for_stop(mut stop: SignalReceiver, events: EventSender) {
    if stop.next().await.is_some() {
        send(&events, Event::Stop);
    }
}

/// State of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopStage {
    Running,
    /// The node has been stopping since `since`; `idle` is set once the engine has completed its stop.
    Stopping {
        since: Time,
        idle: bool,
    },
}

/// A caller's request that waits for its response.
struct PendingRequest {
    arrival: Time,
    sender: oneshot::Sender<Response>,
}

struct Hub {
    engine: Engine,
    clock: Clock,
    events: EventSender,
    identity: Identity,
    caller_state: CallerState,
    metrics: Metrics<Counts>,
    store: Store,
    drain_timeout: Duration,
    requests: HashMap<Token, PendingRequest>,
    /// Outboxes of the connections to peers, with their tasks. Dropping a task closes its connection.
    peers: HashMap<SocketAddr, (Outbox, JoinHandle<()>)>,
    /// Connections that peers have opened.
    links: HashMap<LinkId, MessageSender>,
    /// Senders of calls to the tasks that own the connections to leafs.
    leafs: HashMap<(LeafId, SocketAddr), mpsc::UnboundedSender<LeafCall>>,
    watches: HashMap<String, JoinHandle<()>>,
    stop: StopStage,
    logged_tree: u64,
    logged_epoch: u64,
}

impl Hub {
    async fn serve(&mut self, mut inbox: mpsc::UnboundedReceiver<Event>) {
        self.handle_input(Input::Tick);
        while !self.is_done() {
            if let Some(event) = self.next_event(&mut inbox).await {
                self.on_event(event);
                self.drain_inbox(&mut inbox);
            } else {
                self.handle_input(Input::Tick);
            }
            self.log_changes();
        }
    }

    /// Waits for an event. Returns `None` when a timer is due.
    async fn next_event(&self, inbox: &mut mpsc::UnboundedReceiver<Event>) -> Option<Event> {
        let now = self.clock.now();
        let mut wake = self.engine.next_wake().unwrap_or(now + STOP_CHECK_INTERVAL);
        if self.stop != StopStage::Running {
            wake = wake.min(now + STOP_CHECK_INTERVAL);
        }
        let timer = std::pin::pin!(sleep_until(self.clock.instant(wake)));
        match select(inbox.next(), timer).await {
            Either::Left((event, _)) => event,
            Either::Right(_) => None,
        }
    }

    fn drain_inbox(&mut self, inbox: &mut mpsc::UnboundedReceiver<Event>) {
        for _ in 0..EVENT_BATCH {
            match inbox.try_recv() {
                Ok(event) => self.on_event(event),
                Err(_) => return,
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Input(Input::LinkDown(link)) => {
                self.links.remove(&link);
                self.handle_input(Input::LinkDown(link));
            }
            Event::Input(input) => self.handle_input(input),
            Event::Request(request, sender) => {
                let arrival = self.clock.now();
                self.requests
                    .insert(request.token, PendingRequest { arrival, sender });
                self.handle_input(Input::Request(request));
            }
            Event::CallerGone(token) => {
                self.requests.remove(&token);
                self.handle_input(Input::CallerGone(token));
            }
            Event::LinkUp(link, sender) => {
                self.links.insert(link, sender);
            }
            Event::Dump(sender) => {
                let _ = sender.send(self.engine.dump(self.clock.now()));
            }
            Event::Metrics(sender) => {
                let _ = sender.send(self.metrics.export(self.engine.counts()));
            }
            Event::Ready(sender) => {
                let ready = self.engine.is_ready(self.clock.now());
                let _ = sender.send(ready);
            }
            Event::Stop => self.start_stop(),
        }
    }

    fn start_stop(&mut self) {
        if self.stop != StopStage::Running {
            return;
        }
        log::info!("stopping");
        self.stop = StopStage::Stopping {
            since: self.clock.now(),
            idle: false,
        };
        self.caller_state.is_stopping.set(true);
        self.handle_input(Input::Stop);
    }

    /// Returns whether a planned stop is complete or has exceeded its time limit.
    fn is_done(&self) -> bool {
        let StopStage::Stopping { since, idle } = self.stop else {
            return false;
        };
        let elapsed = self.clock.now().since(since);
        let idle = idle && self.caller_state.open_requests.get() == 0;
        (idle && elapsed >= LAME_DUCK_TIME) || elapsed >= self.drain_timeout.max(LAME_DUCK_TIME)
    }

    fn handle_input(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.engine.handle(input, self.clock.now(), &mut outputs);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Respond(token, response) => self.respond(token, response),
            Output::SetPeers(addrs) => self.set_peers(&addrs),
            Output::ToPeer(addr, message) => {
                if let Some((outbox, _)) = self.peers.get(&addr) {
                    outbox.send(message);
                }
            }
            Output::ToLink(link, message) => {
                if let Some(sender) = self.links.get(&link) {
                    let _ = sender.unbounded_send(message);
                }
            }
            Output::CallLeaf(call) => self.call_leaf(*call),
            Output::CloseLeaf(leaf) => self.leafs.retain(|(id, _), _| *id != leaf),
            Output::Watch(keys) => self.set_watches(&keys),
            Output::Read(key) => {
                let (store, events) = (self.store.clone(), self.events.clone());
                spawn(store::read(store, key, self.clock, events)).detach();
            }
            Output::Write {
                key,
                expects,
                value,
            } => {
                let (store, events) = (self.store.clone(), self.events.clone());
                spawn(store::write(store, key, expects, value, events)).detach();
            }
            Output::Stopped => {
                if let StopStage::Stopping { idle, .. } = &mut self.stop {
                    *idle = true;
                }
            }
        }
    }

    fn respond(&mut self, token: Token, response: Response) {
        if let Some(pending) = self.requests.remove(&token) {
            let elapsed = self.clock.now().since(pending.arrival);
            self.metrics
                .on_response(counters::outcome_label(&response), elapsed);
            let _ = pending.sender.send(response);
        }
    }

    fn set_peers(&mut self, addrs: &[SocketAddr]) {
        self.peers.retain(|addr, _| addrs.contains(addr));
        for addr in addrs {
            let (events, identity) = (&self.events, &self.identity);
            self.peers.entry(*addr).or_insert_with(|| {
                let outbox = Outbox::default();
                let task = peers::maintain(*addr, identity.clone(), outbox.clone(), events.clone());
                (outbox, spawn(task))
            });
        }
    }

    fn set_watches(&mut self, keys: &[String]) {
        self.watches.retain(|key, _| keys.contains(key));
        for key in keys {
            let (store, events, clock) = (&self.store, &self.events, self.clock);
            self.watches.entry(key.clone()).or_insert_with(|| {
                spawn(store::watch(
                    store.clone(),
                    key.clone(),
                    clock,
                    events.clone(),
                ))
            });
        }
    }

    fn call_leaf(&mut self, call: LeafCall) {
        let events = &self.events;
        let calls = self.leafs.entry((call.leaf, call.addr)).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded();
            spawn(leafs::serve(receiver, events.clone())).detach();
            sender
        });
        let _ = calls.unbounded_send(call);
    }

    fn log_changes(&mut self) {
        let tree = self.engine.tree_version();
        if tree != self.logged_tree {
            self.logged_tree = tree;
            log::info!(version = tree; "tree in force");
        }
        let roster = self.engine.cell().roster();
        if roster.epoch.0 != self.logged_epoch {
            self.logged_epoch = roster.epoch.0;
            log::info!(epoch = roster.epoch.0, members = roster.members.len(); "roster in force");
        }
    }
}
