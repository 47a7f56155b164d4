//! Requests of callers, from their arrival to their response.

use std::net::SocketAddr;

use monsoondeal_core::{CallId, Refusal, Time, UnknownReason};
use monsoondeal_route::QuerySettings;

use crate::at_most_once::CompletedRequest;
use crate::callers::PendingWork;
use crate::engine::Engine;
use crate::event::{Origin, QueryId};
use crate::io::{Output, Request, Response, Token};
use crate::message::{AtMostOnceOutcome, AtMostOnceRequest, CallOutcome};
use crate::query::{FinishedQuery, QueryStart, ResultReceiver};
use crate::request;

impl Engine {
    pub(crate) fn on_request(&mut self, request: Request, now: Time, out: &mut Vec<Output>) {
        self.cx.counts.requests += 1;
        let token = request.token;
        let resolved = match request::validate(&request, &self.cx.settings.cell, &self.cx.config) {
            Ok(resolved) => resolved,
            Err(response) => return self.respond(token, response, out),
        };
        let kind = resolved.kind;
        let deadline = now
            + request
                .deadline
                .map_or(kind.deadline, |d| d.min(kind.deadline));
        let limit = self.cx.settings.max_inflight;
        let refuse = self
            .callers
            .check_admission(limit, &request.service, kind.priority);
        if !kind.repeatable {
            self.start_at_most_once(request, deadline, refuse, now, out);
            return;
        }
        if let Some(reason) = refuse {
            return self.respond(token, Response::NotRun(reason), out);
        }
        let version = self.cx.pick_version(&request.service, now);
        let Some(plan) = self.cx.config.plan_of(&request.service, version) else {
            return self.respond(token, Response::NotRun(Refusal::Unreachable), out);
        };
        let settings = QuerySettings {
            deadline,
            ..self.cx.settings.query
        };
        let start = QueryStart {
            receiver: ResultReceiver::Caller(token, version),
            plan,
            settings,
            request,
            resolved,
        };
        match self.queries.start(&mut self.cx, start, now, out) {
            (_, Some(finished)) => self.finish_query(finished, now, out),
            (id, None) => {
                self.callers.pending.insert(token, PendingWork::Query(id));
            }
        }
    }

    /// Handles a caller that has disconnected.
    pub(crate) fn on_caller_gone(&mut self, token: Token, out: &mut Vec<Output>) {
        match self.callers.pending.remove(&token) {
            Some(PendingWork::Query(id)) => self.queries.cancel(&mut self.cx, id, out),
            // An at-most-once request continues: the home node keeps its outcome for the caller's retry.
            Some(PendingWork::AtMostOnce) | None => {}
        }
    }

    pub(crate) fn on_query_timer(&mut self, id: QueryId, now: Time, out: &mut Vec<Output>) {
        if let Some(finished) = self.queries.on_timer(&mut self.cx, id, now, out) {
            self.finish_query(finished, now, out);
        }
    }

    pub(crate) fn on_call_outcome(
        &mut self,
        call: CallId,
        outcome: CallOutcome,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if let Some(finished) = self
            .queries
            .on_call_outcome(&mut self.cx, call, outcome, now, out)
        {
            self.finish_query(finished, now, out);
        }
    }

    /// Handles an at-most-once request, as the home node of its idempotency key.
    pub(crate) fn on_at_most_once(
        &mut self,
        from: Origin,
        message: AtMostOnceRequest,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(start) = self
            .home
            .on_at_most_once(&mut self.cx, from, message, now, out)
        else {
            return;
        };
        if let (_, Some(finished)) = self.queries.start(&mut self.cx, start, now, out) {
            self.finish_query(finished, now, out);
        }
    }

    pub(crate) fn on_at_most_once_timer(&mut self, call: CallId, now: Time, out: &mut Vec<Output>) {
        let done = self.at_most_once.on_timer(&mut self.cx, call, now, out);
        self.finish_at_most_once(done, out);
    }

    pub(crate) fn on_at_most_once_outcome(
        &mut self,
        call: CallId,
        outcome: AtMostOnceOutcome,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let done = self
            .at_most_once
            .on_outcome(&mut self.cx, call, outcome, now);
        self.finish_at_most_once(done, out);
    }

    /// Ends the calls and at-most-once requests that were sent to a lost peer. They may have run.
    pub(crate) fn fail_peer_requests(
        &mut self,
        addr: SocketAddr,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        for call in self.queries.sent_to(addr) {
            self.on_call_outcome(
                call,
                CallOutcome::Unknown(UnknownReason::NodeLost),
                now,
                out,
            );
        }
        for call in self.at_most_once.sent_to(addr) {
            self.on_at_most_once_outcome(
                call,
                AtMostOnceOutcome::Unknown(UnknownReason::NodeLost),
                now,
                out,
            );
        }
    }

    fn start_at_most_once(
        &mut self,
        request: Request,
        deadline: Time,
        refuse: Option<Refusal>,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        // A request that waited in a socket while this process was paused may be a copy of a request
        // that the home node has already forgotten.
        if self.pause_detector.is_suspect(now) {
            return self.respond(
                request.token,
                Response::Unknown(UnknownReason::EarlierRun),
                out,
            );
        }
        self.callers
            .pending
            .insert(request.token, PendingWork::AtMostOnce);
        let done = self
            .at_most_once
            .start(&mut self.cx, request, deadline, refuse, now, out);
        self.finish_at_most_once(done, out);
    }

    fn finish_query(&mut self, finished: FinishedQuery, now: Time, out: &mut Vec<Output>) {
        let FinishedQuery {
            receiver,
            service,
            kind,
            priority,
            answer,
        } = finished;
        self.callers.record_load(&service, priority, &answer, now);
        match receiver {
            ResultReceiver::Caller(token, version) => {
                if let Some(version) = version {
                    self.cx
                        .record_outcome(&service, &kind, version, &answer, now, out);
                }
                self.respond(token, request::query_response(answer), out);
            }
            ResultReceiver::Home(home_request) => {
                self.home.finish(&mut self.cx, home_request, answer, out)
            }
        }
    }

    fn finish_at_most_once(&mut self, done: Option<CompletedRequest>, out: &mut Vec<Output>) {
        if let Some(CompletedRequest { token, response }) = done {
            self.respond(token, response, out);
        }
    }

    fn respond(&mut self, token: Token, response: Response, out: &mut Vec<Output>) {
        self.callers.respond(&mut self.cx, token, response, out);
    }
}
