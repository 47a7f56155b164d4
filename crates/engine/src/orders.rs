//! Requests that may run at most once, on their way to the home of their key.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{CallId, Doubt, Refusal, Time};

use crate::engine::Engine;
use crate::entry::Work;
use crate::event::{Local, Target, Timer};
use crate::io::{Output, Request, Response, Token};
use crate::message::{Message, Order, OrderEnd};

/// Wait before an order is offered to its home again.
const ORDER_BACKOFF: Duration = Duration::from_millis(20);

/// An order that waits for its home.
#[derive(Debug)]
pub(crate) struct Pending {
    token: Token,
    order: Order,
    deadline: Time,
    /// Where it is, or `None` between two tries.
    pub(crate) target: Option<Target>,
}

impl Engine {
    pub(crate) fn start_order(
        &mut self,
        request: Request,
        deadline: Time,
        refuse: Option<Refusal>,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        // A request that waited out a pause of this process may be a copy that is older than the
        // home remembers.
        if now < self.control.suspect_until {
            return self.respond(request.token, Response::Unknown(Doubt::EarlierRun), out);
        }
        let call = self.take_id();
        let order = Order {
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
        self.entry.work.insert(request.token, Work::Order);
        let pending = Pending {
            token: request.token,
            order,
            deadline,
            target: None,
        };
        self.entry.orders.insert(call, pending);
        self.on_order_timer(call, now, out);
    }

    /// Offers an order to its home, or gives it up at its deadline.
    pub(crate) fn on_order_timer(&mut self, call: CallId, now: Time, out: &mut Vec<Output>) {
        let Some(pending) = self.entry.orders.get_mut(&call) else {
            return;
        };
        if now >= pending.deadline {
            let sent = pending.target.is_some();
            let doubt = if sent {
                Doubt::Timeout
            } else {
                Doubt::KeysUnreachable
            };
            return self.end_order(call, Response::Unknown(doubt), out);
        }
        if pending.target.is_some() {
            return;
        }
        let mut order = pending.order.clone();
        order.budget = pending.deadline.since(now).as_micros() as u64;
        order.sent = now.as_micros();
        let deadline = pending.deadline;

        let home = self.home_of(&order.service, &order.key);
        if home == Some(self.settings.me.node) {
            self.set_order_target(call, Some(Target::Local), deadline);
            self.local.push_back(Local::Order(Box::new(order)));
            return;
        }
        match home.and_then(|node| self.reachable(node, now)) {
            Some(addr) => {
                self.set_order_target(call, Some(Target::Peer(addr)), deadline);
                out.push(Output::ToPeer(addr, Message::Order(Box::new(order))));
            }
            None => self
                .timers
                .set(Timer::Order(call), deadline.min(now + ORDER_BACKOFF)),
        }
    }

    pub(crate) fn on_order_end(
        &mut self,
        call: CallId,
        end: OrderEnd,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.entry.orders.get_mut(&call) else {
            return;
        };
        match end {
            OrderEnd::Answered(answer) => {
                let answer = answer.into_answer();
                self.end_order(call, Response::Answered(Box::new(answer)), out);
            }
            OrderEnd::NotRun(reason) => self.end_order(call, Response::NotRun(reason), out),
            OrderEnd::Unknown(doubt) => self.end_order(call, Response::Unknown(doubt), out),
            OrderEnd::NotHome => {
                // Nothing was recorded there; the home may have moved.
                pending.target = None;
                let again = pending.deadline.min(now + ORDER_BACKOFF);
                self.timers.set(Timer::Order(call), again);
            }
        }
    }

    /// Ends the orders that were sent to a lost peer: they may have run.
    pub(crate) fn lose_peer_orders(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        let orders = self.entry.orders.iter();
        let lost: Vec<CallId> = orders
            .filter(|(_, pending)| pending.target == Some(Target::Peer(addr)))
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.on_order_end(call, OrderEnd::Unknown(Doubt::NodeLost), now, out);
        }
    }

    fn set_order_target(&mut self, call: CallId, target: Option<Target>, deadline: Time) {
        if let Some(pending) = self.entry.orders.get_mut(&call) {
            pending.target = target;
        }
        self.timers.set(Timer::Order(call), deadline);
    }

    fn end_order(&mut self, call: CallId, response: Response, out: &mut Vec<Output>) {
        self.timers.clear(Timer::Order(call));
        if let Some(pending) = self.entry.orders.remove(&call) {
            self.respond(pending.token, response, out);
        }
    }
}
