//! At-most-once requests at the home node of their idempotency key.
//!
//! Keys are hashed to [`KEY_PLACES`] places. One node, the home, holds each place under the same kind of
//! lease as a leaf. When a place moves, the old home hands its keys over to the new one. If the old home
//! is lost, the new one answers "unknown" for as long as copies of earlier requests may arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, DeterministicMap, Epoch, Refusal, Time, UnknownReason};
use monsoondeal_limit::{IdempotencyTable, KeyState};
use monsoondeal_route::{Answer, LossReason, Plan, QuerySettings, hash_slot};

use crate::config::Version;
use crate::context::{Context, MESSAGE_AGE_LIMIT};
use crate::event::{Local, Origin};
use crate::io::{Output, Request, Token};
use crate::job::{HomeJob, Purpose, QueryStart};
use crate::message::{AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, Keys, Message};
use crate::placement::{KEY_PLACES, key_seat, place_of};

/// Tables of idempotency keys, by place, for the places that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Home {
    tables: DeterministicMap<u32, IdempotencyTable<AtMostOnceAnswer>>,
}

impl Home {
    pub(crate) fn key_count(&self) -> usize {
        self.tables.values().map(IdempotencyTable::len).sum()
    }

    /// Handles a request. Returns the query to start if the request is to run.
    pub(crate) fn on_order(
        &mut self,
        cx: &mut Context,
        from: Origin,
        order: AtMostOnceRequest,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<QueryStart> {
        let place = place_of(&order.service, &order.key);
        if !cx.holds_place(place, now) {
            end_job(cx, from, order.call, AtMostOnceOutcome::NotHome, out);
            return None;
        }
        if cx.message_age(from, order.sent, now) > MESSAGE_AGE_LIMIT {
            let end = AtMostOnceOutcome::Unknown(UnknownReason::EarlierRun);
            end_job(cx, from, order.call, end, out);
            return None;
        }
        let Some(table) = self.tables.get_mut(&place) else {
            end_job(cx, from, order.call, AtMostOnceOutcome::NotHome, out);
            return None;
        };
        let end = match table.admit(&order.key, now) {
            KeyState::New => return self.run_order(cx, from, order, place, now, out),
            KeyState::Answered(answer) => AtMostOnceOutcome::Answered(answer),
            KeyState::NotRun(reason) => AtMostOnceOutcome::NotRun(reason),
            KeyState::Unknown(doubt) => AtMostOnceOutcome::Unknown(doubt),
        };
        end_job(cx, from, order.call, end, out);
        None
    }

    /// Records the outcome of a request and reports it to the entry node.
    pub(crate) fn finish(
        &mut self,
        cx: &mut Context,
        job: HomeJob,
        mut answer: Answer<Bytes>,
        out: &mut Vec<Output>,
    ) {
        let end = match (answer.parts.pop(), answer.lost.first()) {
            (Some((group, body)), _) => AtMostOnceOutcome::Answered(AtMostOnceAnswer {
                snapshot: answer.snapshot,
                group,
                body,
            }),
            (None, Some((_, LossReason::NotRun(reason)))) => AtMostOnceOutcome::NotRun(*reason),
            (None, Some((_, LossReason::Unknown(doubt)))) => AtMostOnceOutcome::Unknown(*doubt),
            (None, Some((_, LossReason::Deadline))) => {
                AtMostOnceOutcome::Unknown(UnknownReason::Timeout)
            }
            (None, Some((_, LossReason::NoLeaf)) | None) => {
                AtMostOnceOutcome::NotRun(Refusal::Unreachable)
            }
        };
        // Without a table the place has moved, and its new home treats the key as unknown.
        let Some(table) = self.tables.get_mut(&job.place) else {
            let end = match end {
                AtMostOnceOutcome::NotRun(_) => {
                    AtMostOnceOutcome::Unknown(UnknownReason::EarlierRun)
                }
                end => end,
            };
            return end_job(cx, job.from, job.call, end, out);
        };
        match &end {
            AtMostOnceOutcome::Answered(answer) => table.record_answer(&job.key, answer.clone()),
            AtMostOnceOutcome::NotRun(reason) => table.record_not_run(&job.key, *reason),
            AtMostOnceOutcome::Unknown(doubt) => table.record_unknown(&job.key, *doubt),
            AtMostOnceOutcome::NotHome => {}
        }
        end_job(cx, job.from, job.call, end, out);
    }

    /// Creates tables for gained places. Returns the keys of lost places, with the addresses of their new
    /// homes.
    pub(crate) fn move_keys(&mut self, cx: &Context, now: Time) -> Vec<(SocketAddr, Keys)> {
        let mut moved = Vec::new();
        let epoch = cx.cell.roster().epoch;
        let me = Some(cx.settings.me.node);
        for place in 0..KEY_PLACES {
            let seat = key_seat(place).leaf;
            let holder = cx.seats.keys.holder(seat);
            if holder == me {
                let once = cx.settings.idempotency;
                // In the first epoch of a cell no other node has held the place before.
                let first = epoch == Epoch(1);
                self.tables.entry(place).or_insert_with(|| {
                    if first {
                        IdempotencyTable::new(once)
                    } else {
                        IdempotencyTable::with_lost_predecessor(once, now)
                    }
                });
                continue;
            }
            let Some(mut table) = self.tables.remove(&place) else {
                continue;
            };
            let addr = holder.and_then(|node| cx.addr_of(node));
            if let Some(addr) = addr {
                let keys = Keys {
                    epoch,
                    place,
                    handover: table.hand_over(now),
                };
                moved.push((addr, keys));
            }
        }
        moved
    }

    /// Merges the keys of a place that has moved to this node.
    pub(crate) fn take_over(&mut self, keys: Keys, now: Time) {
        if let Some(table) = self.tables.get_mut(&keys.place) {
            table.take_over(keys.handover, now);
        }
    }

    fn run_order(
        &mut self,
        cx: &mut Context,
        from: Origin,
        order: AtMostOnceRequest,
        place: u32,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<QueryStart> {
        let refuse = order.refuse.or_else(|| order_fault(&order));
        let plan = order_plan(cx, &order);
        let resolved = cx.config.resolve(&order.service, &order.kind);
        let (Some(plan), Some(resolved), None) = (plan, resolved, refuse) else {
            let reason = refuse.unwrap_or(Refusal::Unreachable);
            if let Some(table) = self.tables.get_mut(&place) {
                table.record_not_run(&order.key, reason);
            }
            end_job(cx, from, order.call, AtMostOnceOutcome::NotRun(reason), out);
            return None;
        };
        let settings = QuerySettings {
            deadline: now + Duration::from_micros(order.budget),
            repeatable: false,
            refusal_timeout: Duration::from_micros(order.budget),
            ..cx.settings.query
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
        Some(QueryStart {
            purpose: Purpose::Home(job),
            plan,
            settings,
            request,
            resolved,
        })
    }
}

/// Returns the reason to refuse a request before it is run, if there is one.
fn order_fault(order: &AtMostOnceRequest) -> Option<Refusal> {
    (order.budget == 0).then_some(Refusal::Expired)
}

/// Returns the plan of a request: the one group that its partition key, or else its idempotency key,
/// selects.
fn order_plan(cx: &Context, order: &AtMostOnceRequest) -> Option<Rc<Plan>> {
    // At-most-once requests use the old version until the version move is done.
    let done = cx.moves.get(&order.service).is_some_and(|m| m.is_done());
    let next = done
        .then(|| cx.config.plan_of(&order.service, Some(Version::New)))
        .flatten();
    let plan = next.or_else(|| cx.config.plan_of(&order.service, None))?;
    let selector = order.partition_key.as_deref().unwrap_or(&order.key);
    let at = hash_slot(&order.service, selector, plan.groups.len());
    let group = plan.groups.get(at)?.clone();
    Some(Rc::new(Plan {
        snapshot: plan.snapshot,
        groups: vec![group],
    }))
}

/// Reports the outcome of a request to its entry node.
fn end_job(
    cx: &mut Context,
    from: Origin,
    call: CallId,
    end: AtMostOnceOutcome,
    out: &mut Vec<Output>,
) {
    match from {
        Origin::Local => cx.local.push_back(Local::AtMostOnceOutcome(call, end)),
        Origin::Link(link) => out.push(Output::ToLink(link, Message::AtMostOnceOutcome(call, end))),
    }
}
