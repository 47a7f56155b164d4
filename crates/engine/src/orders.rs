//! At-most-once requests at their entry node, the node that received them from the caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, Coverage, DeterministicMap, Refusal, Time, UnknownReason};
use monsoondeal_route::Answer;

use crate::context::Context;
use crate::event::{Local, Target, Timer};
use crate::io::{Output, Request, Response, Token};
use crate::message::{AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, Message};

/// Delay before a request is sent to its home node again.
const ORDER_BACKOFF: Duration = Duration::from_millis(20);

/// A request that waits for its home node.
#[derive(Debug)]
struct Pending {
    token: Token,
    order: AtMostOnceRequest,
    deadline: Time,
    /// Node that it was sent to, or `None` between two attempts.
    target: Option<Target>,
}

/// Response to a request that has ended.
#[derive(Debug)]
pub(crate) struct OrderDone {
    pub(crate) token: Token,
    pub(crate) response: Response,
}

/// At-most-once requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    orders: DeterministicMap<CallId, Pending>,
}

impl Orders {
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    pub(crate) fn count(&self) -> usize {
        self.orders.len()
    }

    pub(crate) fn was_sent_to(&self, call: CallId, addr: SocketAddr) -> bool {
        let target = self.orders.get(&call).and_then(|p| p.target);
        target == Some(Target::Peer(addr))
    }

    /// Returns the requests in flight that were sent to a peer.
    pub(crate) fn sent_to(&self, addr: SocketAddr) -> Vec<CallId> {
        let orders = self.orders.iter();
        orders
            .filter(|(_, pending)| pending.target == Some(Target::Peer(addr)))
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
    ) -> Option<OrderDone> {
        let call = cx.take_id();
        let order = AtMostOnceRequest {
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
        let pending = Pending {
            token: request.token,
            order,
            deadline,
            target: None,
        };
        self.orders.insert(call, pending);
        self.on_timer(cx, call, now, out)
    }

    /// Sends a request to its home node unless it is there, or ends it at its deadline.
    pub(crate) fn on_timer(
        &mut self,
        cx: &mut Context,
        call: CallId,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<OrderDone> {
        let pending = self.orders.get_mut(&call)?;
        if now >= pending.deadline {
            let sent = pending.target.is_some();
            let doubt = if sent {
                UnknownReason::Timeout
            } else {
                UnknownReason::KeysUnreachable
            };
            return self.end(cx, call, Response::Unknown(doubt));
        }
        if pending.target.is_some() {
            return None;
        }
        let mut order = pending.order.clone();
        order.budget = pending.deadline.since(now).as_micros() as u64;
        order.sent = now.as_micros();
        let deadline = pending.deadline;

        let home = cx.home_of(&order.service, &order.key);
        if home == Some(cx.settings.me.node) {
            self.set_target(cx, call, Some(Target::Local), deadline);
            cx.local.push_back(Local::AtMostOnce(Box::new(order)));
            return None;
        }
        match home.and_then(|node| cx.reachable(node, now)) {
            Some(addr) => {
                self.set_target(cx, call, Some(Target::Peer(addr)), deadline);
                out.push(Output::ToPeer(addr, Message::AtMostOnce(Box::new(order))));
            }
            None => cx
                .timers
                .set(Timer::AtMostOnce(call), deadline.min(now + ORDER_BACKOFF)),
        }
        None
    }

    /// Handles the outcome from the home node of a request. Returns the response, if the request has ended.
    pub(crate) fn on_end(
        &mut self,
        cx: &mut Context,
        call: CallId,
        end: AtMostOnceOutcome,
        now: Time,
    ) -> Option<OrderDone> {
        let pending = self.orders.get_mut(&call)?;
        match end {
            AtMostOnceOutcome::Answered(answer) => {
                let answer = whole_answer(answer);
                self.end(cx, call, Response::Answered(Box::new(answer)))
            }
            AtMostOnceOutcome::NotRun(reason) => self.end(cx, call, Response::NotRun(reason)),
            AtMostOnceOutcome::Unknown(doubt) => self.end(cx, call, Response::Unknown(doubt)),
            AtMostOnceOutcome::NotHome => {
                // That node has recorded nothing; the home may have moved to another node.
                pending.target = None;
                let again = pending.deadline.min(now + ORDER_BACKOFF);
                cx.timers.set(Timer::AtMostOnce(call), again);
                None
            }
        }
    }

    fn set_target(
        &mut self,
        cx: &mut Context,
        call: CallId,
        target: Option<Target>,
        deadline: Time,
    ) {
        if let Some(pending) = self.orders.get_mut(&call) {
            pending.target = target;
        }
        cx.timers.set(Timer::AtMostOnce(call), deadline);
    }

    fn end(&mut self, cx: &mut Context, call: CallId, response: Response) -> Option<OrderDone> {
        cx.timers.clear(Timer::AtMostOnce(call));
        let token = self.orders.remove(&call)?.token;
        Some(OrderDone { token, response })
    }
}

/// Converts the answer of the home node into the answer to the caller.
fn whole_answer(answer: AtMostOnceAnswer) -> Answer<Bytes> {
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
