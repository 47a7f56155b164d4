//! Requests that may run at most once, at the home of their idempotency key.
//!
//! Keys are spread over [`KEY_PLACES`] places, and each place is held by one node under the same
//! lease as a leaf. When a place moves, its old home hands the keys to the new one; if the old home
//! is lost, the new one answers "unknown" for as long as copies of old requests may arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, Coverage, Doubt, Epoch, FixedMap, NodeId, Refusal, Time};
use monsoondeal_limit::{Once, Seen};
use monsoondeal_member::Lease;
use monsoondeal_route::Loss;
use monsoondeal_route::{Answer, Plan, QuerySettings, slot_of};

use crate::engine::Engine;
use crate::entry::Purpose;
use crate::event::{Local, Origin};
use crate::holder::MESSAGE_AGE_LIMIT;
use crate::io::{Output, Request, Token};
use crate::message::{Keys, Message, Order, OrderAnswer, OrderEnd};
use crate::placement::{KEY_PLACES, key_seat};
use crate::shift::Version;

/// An order under way at its home.
#[derive(Debug)]
pub(crate) struct HomeJob {
    from: Origin,
    call: CallId,
    place: u32,
    key: String,
}

/// State of the home side.
#[derive(Debug, Default)]
pub(crate) struct Home {
    tables: FixedMap<u32, Once<OrderAnswer>>,
    /// Messages on moves that arrived before the roster that causes them.
    early: Vec<(Epoch, Message)>,
    /// Messages on moves that wait for the connection to the receiver.
    outgoing: Vec<(SocketAddr, Epoch, Message)>,
    /// Latest epoch for which the tables are in place.
    epoch: Epoch,
}

impl Home {
    pub(crate) fn key_count(&self) -> usize {
        self.tables.values().map(Once::len).sum()
    }
}

impl OrderAnswer {
    /// Returns the answer to the caller.
    pub(crate) fn into_answer(self) -> Answer<Bytes> {
        Answer {
            snapshot: self.snapshot,
            coverage: Coverage {
                answered: 1,
                total: 1,
            },
            parts: vec![(self.group, self.body)],
            lost: Vec::new(),
            slowest: None,
            elapsed: Duration::ZERO,
            calls: 1,
            hedges: 0,
            errors: 0,
        }
    }
}

impl Engine {
    /// Returns the home of a key.
    pub(crate) fn home_of(&self, service: &str, key: &str) -> Option<NodeId> {
        self.seats
            .keys
            .holder(key_seat(place_of(service, key)).leaf)
    }

    pub(crate) fn on_order(
        &mut self,
        from: Origin,
        order: Order,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let place = place_of(&order.service, &order.key);
        if !self.holds_place(place, now) {
            return self.end_job(from, order.call, OrderEnd::NotHome, out);
        }
        if self.message_age(from, order.sent, now) > MESSAGE_AGE_LIMIT {
            let end = OrderEnd::Unknown(Doubt::EarlierRun);
            return self.end_job(from, order.call, end, out);
        }
        let Some(table) = self.home.tables.get_mut(&place) else {
            return self.end_job(from, order.call, OrderEnd::NotHome, out);
        };
        let end = match table.admit(&order.key, now) {
            Seen::New => return self.run_order(from, order, place, now, out),
            Seen::Answered(answer) => OrderEnd::Answered(answer),
            Seen::NotRun(reason) => OrderEnd::NotRun(reason),
            Seen::Unknown(doubt) => OrderEnd::Unknown(doubt),
        };
        self.end_job(from, order.call, end, out);
    }

    /// Records the end of an order and reports it.
    pub(crate) fn finish_home_job(
        &mut self,
        job: HomeJob,
        mut answer: Answer<Bytes>,
        out: &mut Vec<Output>,
    ) {
        let end = match (answer.parts.pop(), answer.lost.first()) {
            (Some((group, body)), _) => OrderEnd::Answered(OrderAnswer {
                snapshot: answer.snapshot,
                group,
                body,
            }),
            (None, Some((_, Loss::NotRun(reason)))) => OrderEnd::NotRun(*reason),
            (None, Some((_, Loss::Unknown(doubt)))) => OrderEnd::Unknown(*doubt),
            (None, Some((_, Loss::Deadline))) => OrderEnd::Unknown(Doubt::Timeout),
            (None, Some((_, Loss::NoLeaf)) | None) => OrderEnd::NotRun(Refusal::Unreachable),
        };
        // Without a table the place has moved, and its new home counts the key as unknown.
        let Some(table) = self.home.tables.get_mut(&job.place) else {
            let end = match end {
                OrderEnd::NotRun(_) => OrderEnd::Unknown(Doubt::EarlierRun),
                end => end,
            };
            return self.end_job(job.from, job.call, end, out);
        };
        match &end {
            OrderEnd::Answered(answer) => table.answer(&job.key, answer.clone()),
            OrderEnd::NotRun(reason) => table.refuse(&job.key, *reason),
            OrderEnd::Unknown(doubt) => table.doubt(&job.key, *doubt),
            OrderEnd::NotHome => {}
        }
        self.end_job(job.from, job.call, end, out);
    }

    /// Hands the keys of lost places on and prepares tables for gained ones.
    pub(crate) fn move_keys(&mut self, now: Time, out: &mut Vec<Output>) {
        let epoch = self.cell.roster().epoch;
        let me = Some(self.settings.me.node);
        for place in 0..KEY_PLACES {
            let seat = key_seat(place).leaf;
            let holder = self.seats.keys.holder(seat);
            if holder == me {
                let once = self.settings.once;
                // In the first epoch of a cell no node has held the place before.
                let first = epoch == Epoch(1);
                self.home.tables.entry(place).or_insert_with(|| {
                    if first {
                        Once::first(once)
                    } else {
                        Once::successor(once, now)
                    }
                });
                continue;
            }
            let Some(mut table) = self.home.tables.remove(&place) else {
                continue;
            };
            let addr = holder.and_then(|node| self.addr_of(node));
            if let Some(addr) = addr {
                let keys = Keys {
                    epoch,
                    place,
                    handover: table.hand_over(now),
                };
                self.send_when_up(addr, epoch, Message::Keys(Box::new(keys)), out);
            }
        }
        self.home.epoch = epoch;
        for (epoch, message) in std::mem::take(&mut self.home.early) {
            self.on_move(epoch, message, now);
        }
    }

    /// Sends a message on a move now, or once the receiver is connected. The ages of keys grow
    /// meanwhile, so that the receiver remembers them longer than it needs to.
    pub(crate) fn send_when_up(
        &mut self,
        addr: SocketAddr,
        epoch: Epoch,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.home.outgoing.push((addr, epoch, message));
        if self.peers.get(&addr).is_some_and(|peer| peer.up) {
            self.send_moves(addr, out);
        }
    }

    /// Sends the messages on moves that wait for a connection; those of older epochs are dropped.
    pub(crate) fn send_moves(&mut self, addr: SocketAddr, out: &mut Vec<Output>) {
        let present = self.cell.roster().epoch;
        let outgoing = std::mem::take(&mut self.home.outgoing);
        for (to, epoch, message) in outgoing {
            if epoch != present {
                continue;
            }
            if to != addr {
                self.home.outgoing.push((to, epoch, message));
                continue;
            }
            self.counts.control_messages += 1;
            out.push(Output::ToPeer(addr, message));
        }
    }

    /// Handles a message on a move in the epoch that causes it, waiting for that epoch if need be.
    pub(crate) fn on_move(&mut self, epoch: Epoch, message: Message, now: Time) {
        if epoch > self.home.epoch {
            self.home.early.push((epoch, message));
            return;
        }
        if epoch < self.home.epoch {
            return;
        }
        match message {
            Message::Keys(keys) => {
                if let Some(table) = self.home.tables.get_mut(&keys.place) {
                    table.take_over(keys.handover, now);
                }
            }
            Message::Warm { leafs, .. } => self.on_warm(leafs),
            _ => {}
        }
    }

    fn run_order(
        &mut self,
        from: Origin,
        order: Order,
        place: u32,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let refuse = order.refuse.or_else(|| self.order_fault(&order));
        let plan = self.order_plan(&order);
        let resolved = self
            .config
            .tree
            .as_ref()
            .and_then(|t| t.resolve(&order.service, &order.kind));
        let (Some(plan), Some(resolved), None) = (plan, resolved, refuse) else {
            let reason = refuse.unwrap_or(Refusal::Unreachable);
            if let Some(table) = self.home.tables.get_mut(&place) {
                table.refuse(&order.key, reason);
            }
            return self.end_job(from, order.call, OrderEnd::NotRun(reason), out);
        };
        let settings = QuerySettings {
            deadline: now + Duration::from_micros(order.budget),
            repeatable: false,
            patience: Duration::from_micros(order.budget),
            ..self.settings.query
        };
        let job = HomeJob {
            from,
            call: order.call,
            place,
            key: order.key.clone(),
        };
        let request = Request {
            token: Token(0),
            service: order.service,
            kind: order.kind,
            key: Some(order.key),
            partition_key: None,
            deadline: None,
            body: order.body,
        };
        self.start_query(
            Purpose::Home(job),
            plan,
            settings,
            &request,
            &resolved,
            now,
            out,
        );
    }

    /// Returns why an order is refused outright, if so.
    fn order_fault(&self, order: &Order) -> Option<Refusal> {
        (order.budget == 0).then_some(Refusal::Expired)
    }

    /// Returns the plan of the one group that an order is for.
    fn order_plan(&self, order: &Order) -> Option<Rc<Plan>> {
        // Orders stay on the old version until a move is done.
        let done = self.moves.get(&order.service).is_some_and(|m| m.is_done());
        let next = done
            .then(|| self.plan_of(&order.service, Some(Version::New)))
            .flatten();
        let plan = next.or_else(|| self.plan_of(&order.service, None))?;
        let selector = order.partition_key.as_deref().unwrap_or(&order.key);
        let at = slot_of(&order.service, selector, plan.groups.len());
        let group = plan.groups.get(at)?.clone();
        Some(Rc::new(Plan {
            snapshot: plan.snapshot,
            groups: vec![group],
        }))
    }

    fn holds_place(&self, place: u32, now: Time) -> bool {
        let seat = key_seat(place).leaf;
        self.seats.keys.holder(seat) == Some(self.settings.me.node)
            && self.cell.lease(self.seats.keys_before.holder(seat), now) == Lease::Held
    }

    fn end_job(&mut self, from: Origin, call: CallId, end: OrderEnd, out: &mut Vec<Output>) {
        match from {
            Origin::Local => self.local.push_back(Local::OrderEnd(call, end)),
            Origin::Link(link) => out.push(Output::ToLink(link, Message::OrderEnd(call, end))),
        }
    }
}

fn place_of(service: &str, key: &str) -> u32 {
    slot_of(service, key, KEY_PLACES as usize) as u32
}
