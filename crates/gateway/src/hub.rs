//! The hub: the task that owns the state machine.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use compio::time::{sleep, sleep_until};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monsoondeal_core::{CallId, Clock, LeafId, Time};
use monsoondeal_edge::{
    Action, CallOutcome, Edge, LeafCall, MovePost, NotRunCause, Removal, Reply, RequestHead,
    SegmentHead, Summary, Token, UnwrittenCause, WriteMark,
};

use monsoondeal_node::accept::Acceptor;
use monsoondeal_node::budget::ReadBudget;
use monsoondeal_node::client::MAX_ANSWERS_BYTES;
use monsoondeal_node::metrics::Metrics;
use monsoondeal_node::signals::SignalReceiver;

use crate::connections::{ConnectionShares, ConnectionTable};
use crate::counters::{self, MetricValues};
use crate::error::GatewayError;
use crate::event::{
    Event, EventSender, InboundRequest, Purpose, ReaderModeSender, StoreCommand,
    StoreCommandSender, Update, send,
};
use crate::front::FrontState;
use crate::leafs::{CallTask, CloseCause, Connection, ConnectionEnd, take_idle};
use crate::logs::{RequestLog, millis, outcome};
use crate::relay::Relay;
use crate::settings::{GatewaySettings, HeaderNames, StopSettings};
use crate::{admin, front, leafs, logs};

/// Maximum number of events handled before timers are checked again.
const EVENT_BATCH: usize = 64;
/// Longest time between two checks of timers.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for the last responses to be sent before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Reason of replies to requests that a stopping node does not serve.
const STOP_REASON: &str = "the node is stopping";
/// `Retry-After` of requests that a stopping node rejects: short, as other nodes can serve them.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time between two checks of whether a stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until `stop` signals a planned stop. `updates` are those read from the store,
/// `reader_modes` turns the reader of the store on and off, and `store_commands` reads and writes version
/// moves, and the node's entry.
///
/// # Errors
///
/// If a listening address cannot be bound, or the metrics cannot be set up.
pub async fn run(
    settings: GatewaySettings,
    updates: mpsc::UnboundedReceiver<Update>,
    reader_modes: ReaderModeSender,
    store_commands: StoreCommandSender,
    stop: SignalReceiver,
) -> Result<(), GatewayError> {
    let (events, inbox) = mpsc::unbounded();
    let front = bind("callers", settings.front).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let peers = bind("nodes", settings.peers).await?;
    let admin = bind("operators", settings.admin).await?;
    let followers = bind("followers", settings.updates).await?;
    let names = Rc::new(settings.headers.clone());
    let (close, closed) = oneshot::channel();
    let shares = ConnectionShares::new(settings.descriptors);
    let callers = ConnectionTable::new("callers", shares.callers);
    let nodes = ConnectionTable::new("nodes", shares.peers);
    let state = FrontState::new(names.clone(), callers, closed);
    let peer_state = state.for_peers(nodes.clone());
    let accept_failures = Rc::new(Cell::new(0));
    let acceptor = |purpose, listener| Acceptor::new(purpose, listener, accept_failures.clone());
    let is_ready = Rc::new(Cell::new(false));
    let front = acceptor("callers", front);
    spawn(front::listen(front, state.clone(), events.clone())).detach();
    let peers = acceptor("nodes", peers);
    spawn(front::listen(peers, peer_state, events.clone())).detach();
    spawn(admin::listen_ready(
        acceptor("readiness", readiness),
        shares.pages,
        settings.ready_path,
        is_ready.clone(),
    ))
    .detach();
    let admin = acceptor("operators", admin);
    spawn(admin::listen(admin, shares.pages, events.clone())).detach();
    Relay::start(
        &settings.vm,
        settings.source_timing,
        (acceptor("followers", followers), shares.followers),
        updates,
        reader_modes,
        events.clone(),
    );
    spawn(forward(stop, |()| Event::Stop, events.clone())).detach();
    log::info!(
        vm:% = settings.vm, domain:% = settings.domain,
        callers:% = settings.front, operators:% = settings.admin,
        descriptors = settings.descriptors, max_callers = shares.callers;
        "started"
    );

    let mut hub = Hub {
        edge: Edge::new(settings.edge.clone()),
        clock: Clock::start(),
        events,
        names,
        front: state,
        nodes,
        accept_failures,
        is_ready,
        metrics: Metrics::new(
            &counters::COUNTERS,
            &counters::GAUGES,
            &counters::RESPONSE_BUCKETS,
        )?,
        request_log: RequestLog::default(),
        requests: HashMap::new(),
        config_confirmed: None,
        calls: HashMap::new(),
        idle: HashMap::new(),
        faulty_ends: 0,
        answer_budget: ReadBudget::new(MAX_ANSWERS_BYTES),
        stop_settings: settings.stop,
        store_commands,
        stop_stage: StopStage::Running,
        close: Some(close),
    };
    hub.run(inbox).await;
    sleep(FLUSH_TIME).await;
    log::info!("stopped");
    Ok(())
}

async fn bind(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| GatewayError::Bind(purpose, addr, error))
}

/// Forwards messages to the hub.
async fn forward<T, F>(mut inbox: mpsc::UnboundedReceiver<T>, wrap: F, events: EventSender)
where
    F: Fn(T) -> Event,
{
    while let Some(message) = inbox.next().await {
        send(&events, wrap(message));
    }
}

/// Returns the reply to a request that arrives while the node drains or after it has stopped. It has not
/// run.
pub(crate) fn stopping_reply() -> Reply {
    Reply::unaccepted(STOP_REASON, STOP_RETRY_AFTER)
}

/// `StopStage` is the stage of a planned stop, with the time at which the stop began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopStage {
    /// No stop has begun.
    Running,
    /// Readiness is withdrawn; callers are accepted until load balancers have noticed.
    LameDuck(Time),
    /// Only requests under way are served; new ones are rejected.
    Draining(Time),
}

/// A caller's request that waits for its reply.
struct PendingRequest {
    inbound: Rc<InboundRequest>,
    responder: Responder,
}

/// Replies to a request that was passed to the state machine. If it is dropped without a reply, the request has failed
/// and may have run: only a request that never got this far is told that it has not run.
struct Responder(Option<oneshot::Sender<Reply>>);

impl Responder {
    fn reply(mut self, reply: Reply) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(reply);
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(Reply::Failed(STOP_REASON));
        }
    }
}

/// A call under way.
struct OpenCall {
    leaf: LeafId,
    inbound: Rc<InboundRequest>,
    /// Whether any of the call may have been written.
    write: WriteMark,
    /// Dropping the task closes the connection of the call.
    _task: JoinHandle<()>,
}

/// State of the hub task.
struct Hub {
    edge: Edge,
    clock: Clock,
    events: EventSender,
    names: Rc<HeaderNames>,
    front: FrontState,
    /// Connections of nodes that ask for segments.
    nodes: Rc<ConnectionTable>,
    /// Connections that could not be accepted.
    accept_failures: Rc<Cell<u64>>,
    is_ready: Rc<Cell<bool>>,
    metrics: Metrics<MetricValues>,
    request_log: RequestLog,
    requests: HashMap<Token, PendingRequest>,
    /// When the configuration was last confirmed to be the newest one.
    config_confirmed: Option<Time>,
    calls: HashMap<CallId, OpenCall>,
    /// Connections without a call, by leaf; the most recently used one is last.
    idle: HashMap<LeafId, Vec<Connection>>,
    /// Number of connections to leafs that were closed for a fault of their answers.
    faulty_ends: u64,
    /// Memory for the answers of all calls.
    answer_budget: ReadBudget,
    stop_settings: StopSettings,
    store_commands: StoreCommandSender,
    stop_stage: StopStage,
    /// Closes the listener and idle connections when dropped.
    close: Option<oneshot::Sender<()>>,
}

impl Hub {
    async fn run(&mut self, mut inbox: mpsc::UnboundedReceiver<Event>) {
        while !self.is_done() {
            if let Some(event) = self.next_event(&mut inbox).await {
                self.on_event(event);
                self.drain_inbox(&mut inbox);
            }
            self.step(|edge, now, out| edge.tick(now, out));
            self.advance_stop();
        }
        self.step(|edge, now, out| edge.stop(now, out));
    }

    /// Waits for an event, or returns `None` when a timer is due.
    async fn next_event(&self, inbox: &mut mpsc::UnboundedReceiver<Event>) -> Option<Event> {
        let now = self.clock.now();
        let max_wait = match self.stop_stage {
            StopStage::Running => MAX_WAIT,
            StopStage::LameDuck(_) | StopStage::Draining(_) => STOP_CHECK_INTERVAL,
        };
        let wake = self.edge.next_wake().unwrap_or(Time::MAX);
        let wake = wake.min(now + max_wait);
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
            Event::Request(inbound, sender) => self.on_request(*inbound, sender),
            Event::CallerGone(token) => {
                self.step(|edge, now, out| edge.caller_gone(token, now, out));
                self.requests.remove(&token);
            }
            Event::DescriptorShortage => self.make_room(),
            Event::CallEnded(call, outcome, connection) => {
                if let Some(open_call) = self.calls.remove(&call) {
                    self.log_call_end(&open_call, &outcome);
                    self.on_connection_end(&open_call, connection);
                }
                self.step(|edge, now, out| edge.call_ended(call, outcome, now, out));
            }
            Event::LeafNotice(leaf, born, notice) => {
                self.step(|edge, now, out| edge.note_leaf((&leaf, born), notice, now, out));
            }
            Event::Update(update) => self.on_update(update),
            Event::PostEnded(post, reply) => {
                logs::move_posted(&post, reply.as_ref());
                self.step(|edge, now, out| edge.post_ended(&post, reply.as_ref(), now, out));
            }
            Event::OrdersFetched(orders, sent_at) => {
                log::info!(orders:? = orders; "version moves asked for");
                self.step(|edge, now, out| edge.orders_fetched(orders, sent_at, now, out));
            }
            Event::Metrics(sender) => {
                let _ = sender.send(self.metrics.export(self.metric_values()));
            }
            Event::Dump(sender) => {
                let _ = sender.send(self.dump());
            }
            Event::Stop => self.start_stop(),
        }
    }

    fn on_request(&mut self, inbound: InboundRequest, sender: oneshot::Sender<Reply>) {
        if let StopStage::Draining(_) = self.stop_stage {
            // If it were served, a leaf might still work on it when this node exits.
            let id = String::from_utf8_lossy(&inbound.id);
            self.request_log
                .reply(&id, &stopping_reply(), &Summary::default(), None);
            self.edge.count_stop_rejection();
            let _ = sender.send(stopping_reply());
            return;
        }
        let inbound = Rc::new(inbound);
        let pending = PendingRequest {
            inbound: inbound.clone(),
            responder: Responder(Some(sender)),
        };
        self.requests.insert(inbound.token, pending);
        let (token, timeout) = (inbound.token, inbound.timeout);
        match inbound.purpose {
            Purpose::Caller { is_first } => {
                let head = RequestHead {
                    token,
                    host: &inbound.host,
                    path: inbound.uri.path(),
                    timeout,
                    is_first,
                };
                self.step(|edge, now, out| edge.request(&head, now, out));
            }
            Purpose::Segment(call) => {
                let head = SegmentHead {
                    token,
                    call,
                    timeout,
                };
                self.step(|edge, now, out| edge.segment(&head, now, out));
            }
        }
    }

    fn on_update(&mut self, update: Update) {
        match update {
            Update::Config(config) => {
                let (version, limits) = (config.version, config.limits);
                let (routes, era) = (config.route_count(), config.listed.era);
                self.step(|edge, now, out| edge.note_store_era(era, now, out));
                if self.edge.set_config(config) {
                    self.front.limits.set(limits);
                    log::info!(version, routes; "configuration in force");
                }
            }
            Update::ConfigCurrent => self.config_confirmed = Some(self.clock.now()),
            Update::Leafs(entries) => {
                log::info!(leafs = entries.len(); "leafs listed");
                self.step(|edge, now, out| edge.replace_leafs(entries, now, out));
            }
            Update::Leaf(entry) => {
                log::info!(
                    leaf:% = entry.name, service:% = entry.service, addr:% = entry.addr,
                    version:% = entry.version, draining = entry.draining, warmup_ms = entry.warmup.as_millis() as u64;
                    "leaf changed"
                );
                self.step(|edge, now, out| edge.upsert_leaf(*entry, now, out));
            }
            Update::LeafGone(name) => {
                let mut removal = Removal::Unknown;
                self.step(|edge, now, out| removal = edge.remove_leaf(&name, now, out));
                log::info!(leaf:% = name, removal:? = removal; "leaf entry vanished");
            }
            Update::RegistryLost => {
                let now = self.clock.now();
                self.edge.note_registry_outage(now);
            }
            Update::ClosedDomains(domains) => {
                log::info!(domains:? = domains; "failure domains closed");
                let now = self.clock.now();
                self.edge.close_domains(domains, now);
            }
            Update::Settings(settings) => {
                log::info!(settings:? = settings; "settings reloaded");
                self.edge.set_settings(settings);
            }
            Update::Moves(orders) => {
                log::info!(orders:? = orders; "version moves");
                self.step(|edge, now, out| edge.set_moves(orders, now, out));
            }
            Update::StoreReachable(_) | Update::StoreRestored(_) => {}
            Update::Peers(peers) => {
                let nodes = peers.len();
                if nodes != self.edge.nodes() {
                    log::info!(nodes; "number of nodes changed");
                }
                self.step(|edge, _, out| edge.set_peers(peers, out));
            }
        }
        self.update_readiness();
    }

    fn update_readiness(&mut self) {
        let is_ready = self.edge.is_ready() && self.stop_stage == StopStage::Running;
        if self.is_ready.replace(is_ready) != is_ready {
            log::info!(ready = is_ready; "readiness changed");
        }
    }

    fn start_stop(&mut self) {
        if self.stop_stage != StopStage::Running {
            return;
        }
        log::info!(requests = self.edge.open_requests(); "stopping");
        self.stop_stage = StopStage::LameDuck(self.clock.now());
        self.front.is_stopping.set(true);
        self.update_readiness();
    }

    fn advance_stop(&mut self) {
        if let StopStage::LameDuck(since) = self.stop_stage
            && self.clock.now().since(since) >= self.stop_settings.accept_duration
        {
            self.stop_stage = StopStage::Draining(since);
            self.close = None;
        }
    }

    /// Returns whether a planned stop is complete or has reached its maximum duration.
    fn is_done(&self) -> bool {
        let StopStage::Draining(since) = self.stop_stage else {
            return false;
        };
        let is_idle = self.front.connections.len() == 0 && self.edge.open_requests() == 0;
        is_idle || self.clock.now().since(since) >= self.stop_settings.max_duration
    }

    /// Closes connections that nothing is under way on, so that calls to leafs can be sent.
    fn make_room(&mut self) {
        let closed = self.front.connections.make_room() + self.nodes.make_room();
        if closed == 0 {
            self.idle.clear();
        }
    }

    /// Passes an input to the state machine, and executes the resulting actions.
    fn step<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Edge, Time, &mut Vec<Action>),
    {
        let mut out = Vec::new();
        let now = self.clock.now();
        act(&mut self.edge, now, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(call) => self.start_call(call),
            Action::Cancel(call) => {
                self.calls.remove(&call);
            }
            Action::Withhold(call) => self.withhold(call),
            Action::Reply(token, reply, summary) => self.reply(token, reply, &summary),
            Action::CloseIdle(leaf) => {
                self.idle.remove(&leaf);
            }
            Action::Move(decision) => {
                logs::move_decided(&decision);
                self.send_store_command(StoreCommand::RecordDecision(decision));
            }
            Action::Post(post) => self.post(post),
            Action::FetchOrders => self.fetch_orders(),
            Action::Report(report) => logs::move_counted(&report),
            Action::Register { era, spread } => {
                log::info!(era, spread_ms = spread.as_millis() as u64; "registering again: the store was restored");
                self.send_store_command(StoreCommand::Register(spread));
            }
            Action::LogNotice(taken) => self.request_log.notice(&taken),
            Action::LogProbe(leaf) => self.request_log.probe(&leaf),
            Action::Log(token, event) => {
                if let Some(pending) = self.requests.get(&token) {
                    let id = String::from_utf8_lossy(&pending.inbound.id);
                    self.request_log.event(&id, &event);
                }
            }
        }
    }

    fn send_store_command(&self, command: StoreCommand) {
        if self.store_commands.unbounded_send(command).is_err() {
            log::error!("command dropped: the task that writes to the store has ended");
        }
    }

    /// Posts to the ledger of a version move, and sends the reply to the hub.
    fn post(&self, post: MovePost) {
        let (sender, reply) = oneshot::channel();
        let post = Box::new(post);
        self.send_store_command(StoreCommand::Post(post.clone(), sender));
        let events = self.events.clone();
        spawn(async move {
            send(&events, Event::PostEnded(post, reply.await.ok()));
        })
        .detach();
    }

    /// Reads the orders of version moves, and sends them to the hub. If there is no reply, the state machine
    /// requests them again.
    fn fetch_orders(&self) {
        let (sender, answer) = oneshot::channel();
        let sent_at = self.clock.now();
        self.send_store_command(StoreCommand::FetchOrders(sender));
        let events = self.events.clone();
        spawn(async move {
            if let Ok(orders) = answer.await {
                send(&events, Event::OrdersFetched(orders, sent_at));
            }
        })
        .detach();
    }

    fn start_call(&mut self, call: LeafCall) {
        let Some(pending) = self.requests.get(&call.token) else {
            return;
        };
        let (id, leaf) = (call.call, call.leaf);
        let inbound = pending.inbound.clone();
        let idle = self.idle.get_mut(&leaf);
        let idle = idle.and_then(|list| take_idle(list, &inbound.id, call.at_most_once));
        let write = WriteMark::default();
        let task = CallTask {
            call,
            inbound: inbound.clone(),
            names: self.names.clone(),
            events: self.events.clone(),
            budget: self.answer_budget.clone(),
            write: write.clone(),
        };
        let open_call = OpenCall {
            leaf,
            inbound,
            write,
            _task: spawn(leafs::run_call(idle, task)),
        };
        self.calls.insert(id, open_call);
    }

    /// Ends a call as taken back if nothing of it has been written.
    fn withhold(&mut self, call: CallId) {
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        open_call.write.withdraw();
        let proof = open_call.write.unwritten(UnwrittenCause::Unsent);
        if let Some(leaf) = self.edge.directory().entry(open_call.leaf) {
            let id = String::from_utf8_lossy(&open_call.inbound.id);
            self.request_log.withheld(&id, leaf, proof.is_none());
        }
        let Some(proof) = proof else {
            return;
        };
        // Ends the task, and with it the attempt to open a connection.
        self.calls.remove(&call);
        let end = ConnectionEnd::Closed(CloseCause::Failed);
        let event = Event::CallEnded(call, CallOutcome::NotRun(proof), end);
        send(&self.events, event);
    }

    /// Logs the end of a call that found another leaf at the address.
    fn log_call_end(&mut self, open_call: &OpenCall, outcome: &CallOutcome) {
        let Some(intended) = self.edge.directory().entry(open_call.leaf) else {
            return;
        };
        let id = String::from_utf8_lossy(&open_call.inbound.id);
        let CallOutcome::NotRun(proof) = outcome else {
            return;
        };
        match proof.cause() {
            NotRunCause::Misdirected => self.request_log.misdirected(&id, intended),
            NotRunCause::Displaced => self.request_log.displaced(&id, intended),
            NotRunCause::Refused
            | NotRunCause::Unsent
            | NotRunCause::Unchecked
            | NotRunCause::Withdrawn => {}
        }
    }

    /// Keeps the connection of a call that has ended, or logs why it had to be closed.
    fn on_connection_end(&mut self, open_call: &OpenCall, end: ConnectionEnd) {
        let leaf = open_call.leaf;
        match end {
            ConnectionEnd::Kept(connection) => {
                if self.edge.directory().is_usable(leaf) {
                    self.idle.entry(leaf).or_default().push(connection);
                }
            }
            ConnectionEnd::Closed(cause) => {
                let Some(name) = cause.log_name() else {
                    return;
                };
                self.faulty_ends += 1;
                let id = String::from_utf8_lossy(&open_call.inbound.id);
                if let Some(leaf) = self.edge.directory().entry(leaf) {
                    self.request_log.connection_closed(&id, leaf, name);
                }
            }
        }
    }

    fn reply(&mut self, token: Token, reply: Reply, summary: &Summary) {
        let Some(pending) = self.requests.remove(&token) else {
            return;
        };
        let id = String::from_utf8_lossy(&pending.inbound.id);
        self.metrics.on_response(outcome(&reply).0, summary.elapsed);
        self.request_log
            .reply(&id, &reply, summary, self.config_age());
        pending.responder.reply(reply);
    }

    /// Returns how long ago the configuration was last confirmed to be the newest one.
    fn config_age(&self) -> Option<Duration> {
        Some(self.clock.now().since(self.config_confirmed?))
    }

    fn metric_values(&self) -> MetricValues {
        MetricValues {
            counts: self.edge.counts(),
            faulty_ends: self.faulty_ends,
            room: self.front.connections.counts() + self.nodes.counts(),
            accept_failures: self.accept_failures.get(),
            caller_connections: self.front.connections.len(),
            config_age: self.config_age(),
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "ready": self.is_ready.get(),
            "config": self.edge.config().map(|config| config.version),
            "config_age_ms": millis(self.config_age()),
            "routes": self.edge.config().map_or(0, |config| config.route_count()),
            "leafs": self.edge.directory().len(),
            "nodes": self.edge.nodes(),
            "store_era": self.edge.store_era(),
            "requests": self.edge.open_requests(),
            "calls": self.edge.open_calls(),
            "idle_connections": self.idle.values().map(Vec::len).sum::<usize>(),
            "caller_connections": self.front.connections.len(),
            "counts": self.edge.counts(),
        })
    }
}
