//! At-most-once requests at their entry node, the node that received them from the caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, Coverage, DeterministicMap, Refusal, Time, UnknownReason};
use monsoondeal_route::Answer;

use crate::context::Context;
use crate::event::{Destination, LocalEvent, Timer};
use crate::io::{Output, Request, Response, Token};
use crate::message::{AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, Message};

/// Delay before a request is sent to its home node again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request that waits for its home node.
#[derive(Debug)]
struct PendingRequest {
    token: Token,
    message: AtMostOnceRequest,
    deadline: Time,
    /// Node that it was sent to, or `None` between two attempts.
    destination: Option<Destination>,
}

/// Response to a request that has ended.
#[derive(Debug)]
pub(crate) struct CompletedRequest {
    pub(crate) token: Token,
    pub(crate) response: Response,
}

/// At-most-once requests in flight.
#[derive(Debug, Default)]
pub(crate) struct AtMostOnceRequests {
    requests: DeterministicMap<CallId, PendingRequest>,
}

impl AtMostOnceRequests {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn was_sent_to(&self, call: CallId, addr: SocketAddr) -> bool {
        let destination = self.requests.get(&call).and_then(|p| p.destination);
        destination == Some(Destination::Peer(addr))
    }

    /// Returns the requests in flight that were sent to a peer.
    pub(crate) fn sent_to(&self, addr: SocketAddr) -> Vec<CallId> {
        let requests = self.requests.iter();
        requests
            .filter(|(_, pending)| pending.destination == Some(Destination::Peer(addr)))
            .map(|(call, _)| *call)
            .collect()
    }

    /// Starts a request. Returns its response if it has already ended.
    ///
    /// With `refuse` the home node only records the refusal.
    pub(crate) fn start(
        &mut self,
        cx: &mut Context,
        request: Request,
        deadline: Time,
        refuse: Option<Refusal>,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<CompletedRequest> {
        let call = cx.allocate_id();
        let message = AtMostOnceRequest {
            call,
            service: request.service,
            kind: request.kind,
            key: request.key.unwrap_or_default(),
            partition_key: request.partition_key,
            budget: 0,
            sent: 0,
            refuse,
            body: request.body,
        };
        let pending = PendingRequest {
            token: request.token,
            message,
            deadline,
            destination: None,
        };
        self.requests.insert(call, pending);
        self.on_timer(cx, call, now, out)
    }

    /// Sends a request to its home node unless it has been sent already, or ends it at its deadline.
    pub(crate) fn on_timer(
        &mut self,
        cx: &mut Context,
        call: CallId,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<CompletedRequest> {
        let pending = self.requests.get_mut(&call)?;
        if now >= pending.deadline {
            let sent = pending.destination.is_some();
            let reason = if sent {
                UnknownReason::Timeout
            } else {
                UnknownReason::KeysUnreachable
            };
            return self.finish(cx, call, Response::Unknown(reason));
        }
        if pending.destination.is_some() {
            return None;
        }
        let mut message = pending.message.clone();
        message.budget = pending.deadline.since(now).as_micros() as u64;
        message.sent = now.as_micros();
        let deadline = pending.deadline;

        let home = cx.home_of(&message.service, &message.key);
        if home == Some(cx.settings.me.node) {
            self.set_destination(cx, call, Some(Destination::Local), deadline);
            cx.local_events
                .push_back(LocalEvent::AtMostOnce(Box::new(message)));
            return None;
        }
        match home.and_then(|node| cx.reachable_addr(node, now)) {
            Some(addr) => {
                self.set_destination(cx, call, Some(Destination::Peer(addr)), deadline);
                out.push(Output::ToPeer(addr, Message::AtMostOnce(Box::new(message))));
            }
            None => cx
                .timers
                .set(Timer::AtMostOnce(call), deadline.min(now + RETRY_DELAY)),
        }
        None
    }

    /// Handles the outcome from the home node of a request. Returns the response, if the request has
    /// ended.
    pub(crate) fn on_outcome(
        &mut self,
        cx: &mut Context,
        call: CallId,
        outcome: AtMostOnceOutcome,
        now: Time,
    ) -> Option<CompletedRequest> {
        let pending = self.requests.get_mut(&call)?;
        match outcome {
            AtMostOnceOutcome::Answered(answer) => {
                let answer = caller_answer(answer);
                self.finish(cx, call, Response::Answered(Box::new(answer)))
            }
            AtMostOnceOutcome::NotRun(reason) => self.finish(cx, call, Response::NotRun(reason)),
            AtMostOnceOutcome::Unknown(reason) => self.finish(cx, call, Response::Unknown(reason)),
            AtMostOnceOutcome::NotHome => {
                // That node has recorded nothing; the home may have moved to another node.
                pending.destination = None;
                let again = pending.deadline.min(now + RETRY_DELAY);
                cx.timers.set(Timer::AtMostOnce(call), again);
                None
            }
        }
    }

    fn set_destination(
        &mut self,
        cx: &mut Context,
        call: CallId,
        destination: Option<Destination>,
        deadline: Time,
    ) {
        if let Some(pending) = self.requests.get_mut(&call) {
            pending.destination = destination;
        }
        cx.timers.set(Timer::AtMostOnce(call), deadline);
    }

    fn finish(
        &mut self,
        cx: &mut Context,
        call: CallId,
        response: Response,
    ) -> Option<CompletedRequest> {
        cx.timers.clear(Timer::AtMostOnce(call));
        let token = self.requests.remove(&call)?.token;
        Some(CompletedRequest { token, response })
    }
}

/// Converts the answer of the home node into the answer to the caller.
fn caller_answer(answer: AtMostOnceAnswer) -> Answer<Bytes> {
    Answer {
        snapshot: answer.snapshot,
        coverage: Coverage {
            answered: 1,
            total: 1,
        },
        parts: vec![(answer.group, answer.body)],
        lost: Vec::new(),
        slowest: None,
        elapsed: Duration::ZERO,
        calls: 1,
        hedges: 0,
        errors: 0,
    }
}
