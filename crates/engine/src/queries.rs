//! Queries in flight and their calls.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use monsoondeal_core::{CallId, DeterministicMap, LeafId, Priority, Refusal, Time};
use monsoondeal_limit::Budget;
use monsoondeal_route::{Action, HedgeDelay, Query, QueryContext, ReplicaSelector, Reply};

use crate::config::Config;
use crate::context::Context;
use crate::event::{Destination, LocalEvent, QueryId, Timer};
use crate::io::Output;
use crate::message::{Call, CallOutcome, Message};
use crate::query::{FinishedQuery, QueryStart, ResultReceiver};
use crate::settings::EngineSettings;

/// Retries allowed per regular call, after calls that may have run.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of extra calls that a budget accumulates.
const BUDGET_RESERVE: f64 = 100.0;

/// A query in flight, and the content of its calls.
#[derive(Debug)]
struct RunningQuery {
    receiver: ResultReceiver,
    query: Query<Bytes>,
    hedging_key: Rc<str>,
    service: String,
    kind: String,
    key: Option<String>,
    priority: Priority,
    body: Bytes,
}

impl RunningQuery {
    /// Returns the message for a call of the query.
    fn message(&self, call: CallId, leaf: LeafId, hedge: bool, now: Time) -> Box<Call> {
        Box::new(Call {
            call,
            leaf,
            snapshot: self.query.snapshot(),
            priority: self.priority,
            hedge,
            budget: self.query.deadline().since(now).as_micros() as u64,
            sent: now.as_micros(),
            kind: self.kind.clone(),
            key: self.key.clone(),
            body: self.body.clone(),
        })
    }
}

/// Hedging state of one request kind.
#[derive(Debug)]
struct Hedging {
    budget: Budget,
    delay: HedgeDelay,
}

impl Hedging {
    fn new(ratio: f64) -> Self {
        Self {
            budget: Budget::new(ratio, BUDGET_RESERVE),
            delay: HedgeDelay::new(ratio),
        }
    }

    fn set_ratio(&mut self, ratio: f64) {
        self.budget.set_ratio(ratio);
        self.delay.set_ratio(ratio);
    }
}

/// Queries in flight.
#[derive(Debug)]
pub(crate) struct Queries {
    queries: DeterministicMap<QueryId, RunningQuery>,
    calls: DeterministicMap<CallId, (QueryId, Destination)>,
    replicas: ReplicaSelector,
    /// Hedging state by service and request kind.
    hedging: DeterministicMap<Rc<str>, Hedging>,
    retries: Budget,
}

impl Queries {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            queries: DeterministicMap::default(),
            calls: DeterministicMap::default(),
            replicas: ReplicaSelector::new(settings.replicas, settings.seed),
            hedging: DeterministicMap::default(),
            retries: Budget::new(RETRY_RATIO, BUDGET_RESERVE),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    pub(crate) fn count(&self) -> usize {
        self.queries.len()
    }

    pub(crate) fn was_sent_to(&self, call: CallId, addr: SocketAddr) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|(_, destination)| *destination == Destination::Peer(addr))
    }

    /// Returns the calls in flight that were sent to a peer.
    pub(crate) fn sent_to(&self, addr: SocketAddr) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, (_, destination))| *destination == Destination::Peer(addr))
            .map(|(call, _)| *call)
            .collect()
    }

    /// Drops the statistics of replicas that are no longer in the configuration.
    pub(crate) fn purge_replicas(&mut self, config: &Config) {
        let known = &config.leafs;
        self.replicas.retain(|leaf| known.contains_key(&leaf));
    }

    /// Starts a query. Returns its identifier, and its result if it has already ended.
    pub(crate) fn start(
        &mut self,
        cx: &mut Context,
        start: QueryStart,
        now: Time,
        out: &mut Vec<Output>,
    ) -> (QueryId, Option<FinishedQuery>) {
        let QueryStart {
            receiver,
            plan,
            settings,
            request,
            resolved,
        } = start;
        let id = cx.allocate_id().0;
        let hedging_key: Rc<str> = format!("{}/{}", request.service, request.kind).into();
        let ratio = resolved.kind.hedge_ratio;
        let hedging = self.hedging.entry(hedging_key.clone());
        let hedging = hedging.or_insert_with(|| Hedging::new(ratio));
        hedging.set_ratio(ratio);

        let mut actions = Vec::new();
        let mut query_cx = QueryContext {
            next_call: &mut cx.next_id,
            replicas: &mut self.replicas,
            hedges: &mut hedging.budget,
            delay: &mut hedging.delay,
            retries: &mut self.retries,
        };
        let query = Query::start(plan, settings, now, &mut query_cx, &mut actions);
        let running = RunningQuery {
            receiver,
            query,
            hedging_key,
            service: request.service,
            kind: request.kind,
            key: request.key,
            priority: resolved.kind.priority,
            body: request.body,
        };
        self.queries.insert(id, running);
        (id, self.apply_actions(cx, id, actions, now, out))
    }

    /// Cancels a query whose caller has disconnected.
    pub(crate) fn cancel(&mut self, cx: &mut Context, id: QueryId, out: &mut Vec<Output>) {
        cx.timers.clear(Timer::Query(id));
        self.queries.remove(&id);
        self.cancel_calls(cx, id, out);
    }

    pub(crate) fn on_timer(
        &mut self,
        cx: &mut Context,
        id: QueryId,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<FinishedQuery> {
        let mut actions = Vec::new();
        self.with_query(cx, id, |query, query_cx| {
            query.on_tick(now, query_cx, &mut actions)
        });
        self.apply_actions(cx, id, actions, now, out)
    }

    pub(crate) fn on_call_outcome(
        &mut self,
        cx: &mut Context,
        call: CallId,
        outcome: CallOutcome,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<FinishedQuery> {
        let (id, _) = self.calls.remove(&call)?;
        let reply = match outcome {
            CallOutcome::Data(stamp, part) => Reply::Data { stamp, part },
            CallOutcome::NotRun(reason) => Reply::NotRun(reason),
            CallOutcome::Unknown(reason) => Reply::Unknown(reason),
        };
        let mut actions = Vec::new();
        self.with_query(cx, id, |query, query_cx| {
            query.on_reply(call, reply, now, query_cx, &mut actions)
        });
        self.apply_actions(cx, id, actions, now, out)
    }

    fn with_query<F>(&mut self, cx: &mut Context, id: QueryId, step: F)
    where
        F: FnOnce(&mut Query<Bytes>, &mut QueryContext<'_>),
    {
        let Some(running) = self.queries.get_mut(&id) else {
            return;
        };
        let Some(hedging) = self.hedging.get_mut(&running.hedging_key) else {
            return;
        };
        let mut query_cx = QueryContext {
            next_call: &mut cx.next_id,
            replicas: &mut self.replicas,
            hedges: &mut hedging.budget,
            delay: &mut hedging.delay,
            retries: &mut self.retries,
        };
        step(&mut running.query, &mut query_cx);
    }

    /// Performs the actions of a query, and returns its result if it has ended.
    fn apply_actions(
        &mut self,
        cx: &mut Context,
        id: QueryId,
        actions: Vec<Action>,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<FinishedQuery> {
        for action in actions {
            match action {
                Action::Call {
                    call, leaf, hedge, ..
                } => {
                    if let Some(running) = self.queries.get(&id) {
                        let message = running.message(call, leaf, hedge, now);
                        self.send_call(cx, id, message, now, out);
                    }
                }
                Action::Cancel { call, .. } => self.cancel_call(cx, call, out),
            }
        }
        let running = self.queries.get(&id)?;
        if !running.query.is_done() {
            cx.timers.set(Timer::Query(id), running.query.next_wake());
            return None;
        }
        cx.timers.clear(Timer::Query(id));
        let running = self.queries.remove(&id)?;
        Some(FinishedQuery {
            answer: running.query.into_answer(now),
            receiver: running.receiver,
            service: running.service,
            kind: running.kind,
            priority: running.priority,
        })
    }

    /// Sends a call to the holder of its leaf.
    fn send_call(
        &mut self,
        cx: &mut Context,
        id: QueryId,
        message: Box<Call>,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let call = message.call;
        cx.counts.calls += 1;
        cx.counts.hedges += u64::from(message.hedge);
        let holder = cx.placements.leafs.holder(message.leaf);
        if holder == Some(cx.settings.me.node) {
            self.calls.insert(call, (id, Destination::Local));
            cx.local_events.push_back(LocalEvent::Call(message));
            return;
        }
        match holder.and_then(|node| cx.reachable_addr(node, now)) {
            Some(addr) => {
                self.calls.insert(call, (id, Destination::Peer(addr)));
                out.push(Output::ToPeer(addr, Message::Call(message)));
            }
            None => {
                // Nothing was sent, so the call is proved not to have run.
                self.calls.insert(call, (id, Destination::Local));
                let outcome = CallOutcome::NotRun(Refusal::Unreachable);
                cx.local_events
                    .push_back(LocalEvent::CallOutcome(call, outcome));
            }
        }
    }

    fn cancel_call(&mut self, cx: &mut Context, call: CallId, out: &mut Vec<Output>) {
        match self.calls.remove(&call) {
            Some((_, Destination::Local)) => cx.local_events.push_back(LocalEvent::Cancel(call)),
            Some((_, Destination::Peer(addr))) => {
                out.push(Output::ToPeer(addr, Message::Cancel(call)));
            }
            None => {}
        }
    }

    /// Cancels all calls of a removed query.
    fn cancel_calls(&mut self, cx: &mut Context, id: QueryId, out: &mut Vec<Output>) {
        let calls = self.calls.iter().filter(|(_, (query, _))| *query == id);
        let calls: Vec<CallId> = calls.map(|(call, _)| *call).collect();
        for call in calls {
            self.cancel_call(cx, call, out);
        }
    }
}
