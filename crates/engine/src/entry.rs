//! Requests of callers and the queries made from them.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use monsoondeal_config::Resolved;
use monsoondeal_core::{CallId, Doubt, Findings, FixedMap, Priority, Refusal, Time};
use monsoondeal_limit::{Admission, Budget};
use monsoondeal_route::{
    Action, Answer, Env, HedgeDelay, Loss, Plan, Query, QuerySettings, Replicas, Reply,
};

use crate::engine::Engine;
use crate::event::{Local, QueryId, Target, Timer};
use crate::home::HomeJob;
use crate::io::{Fault, Output, Request, Response, Token};
use crate::message::{Call, CallEnd, Message};
use crate::orders::Pending;
use crate::settings::EngineSettings;
use crate::shift::Version;

/// Retries allowed per regular call, after ends that may have run.
const RETRY_RATIO: f64 = 0.1;
/// Extra calls that a budget can save up.
const BUDGET_RESERVE: f64 = 100.0;
/// Longest idempotency or partition key, in bytes.
const KEY_LIMIT: usize = 200;
/// Longest request body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// What a query is run for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// A caller's request; during a version move, the version that it went to.
    Caller(Token, Option<Version>),
    /// A request that may run at most once, by this node as the home of its key.
    Home(HomeJob),
}

#[derive(Debug)]
struct Live {
    purpose: Purpose,
    query: Query<Bytes>,
    budget: Rc<str>,
    service: String,
    kind: String,
    key: Option<String>,
    priority: Priority,
    body: Bytes,
}

/// What a caller waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    Query(QueryId),
    Order,
}

/// Hedging of one request kind.
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

/// State of the entry side.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Identity of the next call, order or query.
    next_id: CallId,
    queries: FixedMap<QueryId, Live>,
    calls: FixedMap<CallId, (QueryId, Target)>,
    pub(crate) orders: FixedMap<CallId, Pending>,
    pub(crate) work: FixedMap<Token, Work>,
    pub(crate) replicas: Replicas,
    /// Hedging by service and kind.
    hedging: FixedMap<Rc<str>, Hedging>,
    retries: Budget,
    /// Admission by service.
    admission: FixedMap<String, Admission>,
}

impl Entry {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            next_id: CallId(0),
            queries: FixedMap::default(),
            calls: FixedMap::default(),
            orders: FixedMap::default(),
            work: FixedMap::default(),
            replicas: Replicas::new(settings.replicas, settings.seed),
            hedging: FixedMap::default(),
            retries: Budget::new(RETRY_RATIO, BUDGET_RESERVE),
            admission: FixedMap::default(),
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queries.is_empty() && self.orders.is_empty()
    }

    pub(crate) fn query_count(&self) -> usize {
        self.queries.len()
    }

    pub(crate) fn order_count(&self) -> usize {
        self.orders.len()
    }

    pub(crate) fn was_sent_to(&self, call: CallId, addr: SocketAddr) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|(_, target)| *target == Target::Peer(addr))
    }

    pub(crate) fn order_was_sent_to(&self, call: CallId, addr: SocketAddr) -> bool {
        let target = self.orders.get(&call).and_then(|p| p.target);
        target == Some(Target::Peer(addr))
    }
}

impl Engine {
    pub(crate) fn on_request(&mut self, request: Request, now: Time, out: &mut Vec<Output>) {
        self.counts.requests += 1;
        let token = request.token;
        let resolved = match self.check_request(&request) {
            Ok(resolved) => resolved,
            Err(response) => return self.respond(token, response, out),
        };
        let kind = resolved.kind;
        let deadline = now
            + request
                .deadline
                .map_or(kind.deadline, |d| d.min(kind.deadline));
        let refuse = self.admission(&request.service, kind.priority);
        if !kind.repeatable {
            self.start_order(request, deadline, refuse, now, out);
            return;
        }
        if let Some(reason) = refuse {
            return self.respond(token, Response::NotRun(reason), out);
        }
        let version = self.pick_version(&request.service, now);
        let Some(plan) = self.plan_of(&request.service, version) else {
            return self.respond(token, Response::NotRun(Refusal::Unreachable), out);
        };
        let settings = QuerySettings {
            deadline,
            ..self.settings.query
        };
        let id = self.start_query(
            Purpose::Caller(token, version),
            plan,
            settings,
            &request,
            &resolved,
            now,
            out,
        );
        if self.entry.queries.contains_key(&id) {
            self.entry.work.insert(token, Work::Query(id));
        }
    }

    /// Handles a caller that no longer waits.
    pub(crate) fn on_gone(&mut self, token: Token, out: &mut Vec<Output>) {
        match self.entry.work.remove(&token) {
            Some(Work::Query(id)) => {
                self.timers.clear(Timer::Query(id));
                self.entry.queries.remove(&id);
                self.cancel_calls(id, out);
            }
            // An order goes on to its end, which the home remembers for the caller's retry.
            Some(Work::Order) | None => {}
        }
    }

    pub(crate) fn on_query_timer(&mut self, id: QueryId, now: Time, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.with_query(id, |query, env| query.on_tick(now, env, &mut actions));
        self.after_step(id, actions, now, out);
    }

    pub(crate) fn on_call_end(
        &mut self,
        call: CallId,
        end: CallEnd,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some((id, _)) = self.entry.calls.remove(&call) else {
            return;
        };
        let reply = match end {
            CallEnd::Data(stamp, part) => Reply::Data { stamp, part },
            CallEnd::NotRun(reason) => Reply::NotRun(reason),
            CallEnd::Unknown(doubt) => Reply::Unknown(doubt),
        };
        let mut actions = Vec::new();
        self.with_query(id, |query, env| {
            query.on_reply(call, reply, now, env, &mut actions)
        });
        self.after_step(id, actions, now, out);
    }

    /// Ends the calls that were sent to a lost peer: they may have run.
    pub(crate) fn lose_peer_calls(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        let lost: Vec<CallId> = self
            .entry
            .calls
            .iter()
            .filter(|(_, (_, target))| *target == Target::Peer(addr))
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.on_call_end(call, CallEnd::Unknown(Doubt::NodeLost), now, out);
        }
    }

    /// Starts a query for a caller or for the home of a key.
    #[allow(
        clippy::too_many_arguments,
        reason = "each argument is a different part of the query"
    )]
    pub(crate) fn start_query(
        &mut self,
        purpose: Purpose,
        plan: Rc<Plan>,
        settings: QuerySettings,
        request: &Request,
        resolved: &Resolved,
        now: Time,
        out: &mut Vec<Output>,
    ) -> QueryId {
        let id = self.take_id().0;
        let budget: Rc<str> = format!("{}/{}", request.service, request.kind).into();
        let ratio = resolved.kind.hedge_ratio;
        let entry = &mut self.entry;
        let hedging = entry.hedging.entry(budget.clone());
        let hedging = hedging.or_insert_with(|| Hedging::new(ratio));
        hedging.set_ratio(ratio);

        let mut actions = Vec::new();
        let mut env = Env {
            next_call: &mut entry.next_id,
            replicas: &mut entry.replicas,
            hedges: &mut hedging.budget,
            delay: &mut hedging.delay,
            retries: &mut entry.retries,
        };
        let query = Query::start(plan, settings, now, &mut env, &mut actions);
        let live = Live {
            purpose,
            query,
            budget,
            service: request.service.clone(),
            kind: request.kind.clone(),
            key: request.key.clone(),
            priority: resolved.kind.priority,
            body: request.body.clone(),
        };
        self.entry.queries.insert(id, live);
        self.after_step(id, actions, now, out);
        id
    }

    fn check_request(&self, request: &Request) -> Result<Resolved, Response> {
        let Some(tree) = &self.config.tree else {
            return Err(unconfigured(request));
        };
        let Some(service) = tree.services.get(&request.service) else {
            let text = format!("no service '{}'", request.service);
            let findings = Findings::single("request path", text);
            return Err(Response::Fault(Fault::NoService(findings)));
        };
        if service.cell != self.settings.cell {
            let text = format!("service is served by cell '{}'", service.cell);
            let findings = Findings::single("request path", text);
            return Err(Response::Fault(Fault::OtherCell(findings)));
        }
        let Some(resolved) = tree.resolve(&request.service, &request.kind) else {
            return Err(unconfigured(request));
        };
        let mut findings = Findings::default();
        if !monsoondeal_config::tree::is_name(&request.kind) {
            let rule = monsoondeal_config::tree::NAME_RULE;
            let text = format!("request kind must be {rule}");
            findings.0.extend(Findings::single("request path", text).0);
        }
        if request.body.len() > BODY_LIMIT {
            let text = format!("at most {BODY_LIMIT} bytes are allowed");
            findings.0.extend(Findings::single("request body", text).0);
        }
        for (name, key) in [
            ("idempotency-key", &request.key),
            ("partition-key", &request.partition_key),
        ] {
            if key
                .as_deref()
                .is_some_and(|k| k.is_empty() || k.len() > KEY_LIMIT)
            {
                let text = format!("must have 1 to {KEY_LIMIT} bytes");
                findings.0.extend(Findings::single(name, text).0);
            }
        }
        if !resolved.kind.repeatable && request.key.is_none() {
            let text = "is required, since this kind is not repeatable";
            findings
                .0
                .extend(Findings::single("idempotency-key", text).0);
        }
        findings
            .or_ok(resolved)
            .map_err(|f| Response::Fault(Fault::Malformed(f)))
    }

    /// Returns the plan of a service's present version, or of the next one.
    pub(crate) fn plan_of(&self, service: &str, version: Option<Version>) -> Option<Rc<Plan>> {
        let map = self.config.maps.get(service)?;
        match version {
            Some(Version::New) => map.next.clone(),
            Some(Version::Old) | None => Some(map.plan.clone()),
        }
    }

    /// Returns the reason to refuse a request of that priority, if the node or the service is too
    /// busy for it.
    fn admission(&mut self, service: &str, priority: Priority) -> Option<Refusal> {
        let limit = self.settings.inflight;
        let share = match priority {
            Priority::First => limit,
            Priority::Normal => limit * 4 / 5,
            Priority::Bulk => limit / 2,
        };
        if self.entry.work.len() >= share.max(1) {
            return Some(Refusal::Overload);
        }
        let admission = self.entry.admission.get_mut(service)?;
        (!admission.admit(priority)).then_some(Refusal::Overload)
    }

    /// Notes for the admission whether a query lost a group to overload.
    fn note_load(&mut self, service: &str, priority: Priority, answer: &Answer<Bytes>, now: Time) {
        let overloaded = answer.lost.iter().any(|(_, loss)| is_overload(loss));
        let admission = self.entry.admission.get_mut(service);
        let admission = match admission {
            Some(admission) => admission,
            None if overloaded => self.entry.admission.entry(service.to_owned()).or_default(),
            None => return,
        };
        admission.note(priority, overloaded, now - answer.elapsed, now);
    }

    fn with_query<F>(&mut self, id: QueryId, step: F)
    where
        F: FnOnce(&mut Query<Bytes>, &mut Env<'_>),
    {
        let entry = &mut self.entry;
        let Some(live) = entry.queries.get_mut(&id) else {
            return;
        };
        let Some(hedging) = entry.hedging.get_mut(&live.budget) else {
            return;
        };
        let mut env = Env {
            next_call: &mut entry.next_id,
            replicas: &mut entry.replicas,
            hedges: &mut hedging.budget,
            delay: &mut hedging.delay,
            retries: &mut entry.retries,
        };
        step(&mut live.query, &mut env);
    }

    /// Carries out what a query asked for, and ends it if it is done.
    fn after_step(&mut self, id: QueryId, actions: Vec<Action>, now: Time, out: &mut Vec<Output>) {
        for action in actions {
            match action {
                Action::Call {
                    call, leaf, hedge, ..
                } => {
                    self.send_call(id, call, leaf, hedge, now, out);
                }
                Action::Cancel { call, .. } => self.cancel_call(call, out),
            }
        }
        let Some(live) = self.entry.queries.get(&id) else {
            return;
        };
        if !live.query.is_done() {
            self.timers.set(Timer::Query(id), live.query.next_wake());
            return;
        }
        self.timers.clear(Timer::Query(id));
        let Some(live) = self.entry.queries.remove(&id) else {
            return;
        };
        let answer = live.query.into_answer(now);
        self.note_load(&live.service, live.priority, &answer, now);
        match live.purpose {
            Purpose::Caller(token, version) => {
                if let Some(version) = version {
                    self.note_version(&live.service, &live.kind, version, &answer, now, out);
                }
                self.respond(token, response(answer), out);
            }
            Purpose::Home(job) => self.finish_home_job(job, answer, out),
        }
    }

    fn send_call(
        &mut self,
        id: QueryId,
        call: CallId,
        leaf: monsoondeal_core::LeafId,
        hedge: bool,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(live) = self.entry.queries.get(&id) else {
            return;
        };
        self.counts.calls += 1;
        self.counts.hedges += u64::from(hedge);
        let snapshot = live.query.snapshot();
        let deadline = live.query.deadline();
        let message = Box::new(Call {
            call,
            leaf,
            snapshot,
            priority: live.priority,
            hedge,
            budget: deadline.since(now).as_micros() as u64,
            sent: now.as_micros(),
            kind: live.kind.clone(),
            key: live.key.clone(),
            body: live.body.clone(),
        });
        let holder = self.seats.leafs.holder(leaf);
        if holder == Some(self.settings.me.node) {
            self.entry.calls.insert(call, (id, Target::Local));
            self.local.push_back(Local::Call(message));
            return;
        }
        match holder.and_then(|node| self.reachable(node, now)) {
            Some(addr) => {
                self.entry.calls.insert(call, (id, Target::Peer(addr)));
                out.push(Output::ToPeer(addr, Message::Call(message)));
            }
            None => {
                // Nothing was sent, so the call is proved not run.
                self.entry.calls.insert(call, (id, Target::Local));
                let end = CallEnd::NotRun(Refusal::Unreachable);
                self.local.push_back(Local::CallEnd(call, end));
            }
        }
    }

    fn cancel_call(&mut self, call: CallId, out: &mut Vec<Output>) {
        match self.entry.calls.remove(&call) {
            Some((_, Target::Local)) => self.local.push_back(Local::Cancel(call)),
            Some((_, Target::Peer(addr))) => {
                out.push(Output::ToPeer(addr, Message::Cancel(call)));
            }
            None => {}
        }
    }

    /// Cancels all calls of a query that is gone.
    fn cancel_calls(&mut self, id: QueryId, out: &mut Vec<Output>) {
        let calls = self
            .entry
            .calls
            .iter()
            .filter(|(_, (query, _))| *query == id);
        let calls: Vec<CallId> = calls.map(|(call, _)| *call).collect();
        for call in calls {
            self.cancel_call(call, out);
        }
    }

    pub(crate) fn respond(&mut self, token: Token, response: Response, out: &mut Vec<Output>) {
        self.entry.work.remove(&token);
        match &response {
            Response::Answered(answer) => {
                self.counts.answered += 1;
                self.counts.full += u64::from(answer.coverage.is_full());
            }
            Response::NotRun(_) => self.counts.not_run += 1,
            Response::Unknown(_) => self.counts.unknown += 1,
            Response::Fault(_) => self.counts.faults += 1,
        }
        out.push(Output::Respond(token, response));
    }

    pub(crate) fn take_id(&mut self) -> CallId {
        let id = self.entry.next_id;
        self.entry.next_id.0 += 1;
        id
    }
}

/// Returns whether a group was lost since leafs could not serve it in time.
fn is_overload(loss: &Loss) -> bool {
    match loss {
        Loss::NotRun(reason) => {
            matches!(reason, Refusal::Overload | Refusal::Cold | Refusal::Expired)
        }
        Loss::Unknown(doubt) => *doubt == Doubt::Timeout,
        Loss::Deadline => true,
        Loss::NoLeaf => false,
    }
}

/// Returns the response of a node that does not know yet how to treat a request. This copy of it was
/// not run, but with an idempotency key another one may have been.
fn unconfigured(request: &Request) -> Response {
    match request.key {
        Some(_) => Response::Unknown(Doubt::KeysUnreachable),
        None => Response::NotRun(Refusal::Unreachable),
    }
}

/// Returns the response for the end of a query: without any part it is no answer.
fn response(answer: Answer<Bytes>) -> Response {
    if answer.coverage.answered > 0 || answer.lost.is_empty() {
        return Response::Answered(Box::new(answer));
    }
    for (_, loss) in &answer.lost {
        match loss {
            Loss::Unknown(doubt) => return Response::Unknown(*doubt),
            Loss::Deadline => return Response::Unknown(Doubt::Timeout),
            Loss::NotRun(_) | Loss::NoLeaf => {}
        }
    }
    match answer.lost.first() {
        Some((_, Loss::NotRun(reason))) => Response::NotRun(*reason),
        _ => Response::NotRun(Refusal::Unreachable),
    }
}
