//! At-most-once requests at the home node of their idempotency key.
//!
//! Keys are hashed to [`KEY_BUCKETS`] buckets. One node, the home, holds each bucket under the same
//! kind of lease as a leaf. When a bucket moves, the old home hands its keys over to the new one. If
//! the old home is lost, the new one answers "unknown" for as long as copies of earlier requests may
//! arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, DeterministicMap, Epoch, Refusal, Time, UnknownReason};
use monsoondeal_limit::{IdempotencyTable, KeyState};
use monsoondeal_route::{Answer, LossReason, Plan, QuerySettings, hash_slot};

use crate::config::ServiceVersion;
use crate::context::{Context, MAX_MESSAGE_AGE};
use crate::event::{LocalEvent, Origin};
use crate::io::{Output, Request, Token};
use crate::message::{
    AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, KeyTransfer, Message,
};
use crate::placement::{KEY_BUCKETS, bucket_of, key_item};
use crate::query::{HomeRequest, QueryStart, ResultReceiver};

/// Tables of idempotency keys, by bucket, for the buckets that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Home {
    tables: DeterministicMap<u32, IdempotencyTable<AtMostOnceAnswer>>,
}

impl Home {
    pub(crate) fn key_count(&self) -> usize {
        self.tables.values().map(IdempotencyTable::len).sum()
    }

    /// Handles a request. Returns the query to start if the request is to run.
    pub(crate) fn on_at_most_once(
        &mut self,
        cx: &mut Context,
        from: Origin,
        message: AtMostOnceRequest,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<QueryStart> {
        let bucket = bucket_of(&message.service, &message.key);
        if !cx.holds_bucket(bucket, now) {
            send_outcome(cx, from, message.call, AtMostOnceOutcome::NotHome, out);
            return None;
        }
        if cx.message_age(from, message.sent, now) > MAX_MESSAGE_AGE {
            let outcome = AtMostOnceOutcome::Unknown(UnknownReason::EarlierRun);
            send_outcome(cx, from, message.call, outcome, out);
            return None;
        }
        let Some(table) = self.tables.get_mut(&bucket) else {
            send_outcome(cx, from, message.call, AtMostOnceOutcome::NotHome, out);
            return None;
        };
        let outcome = match table.admit(&message.key, now) {
            KeyState::New => return self.run_request(cx, from, message, bucket, now, out),
            KeyState::Answered(answer) => AtMostOnceOutcome::Answered(answer),
            KeyState::NotRun(reason) => AtMostOnceOutcome::NotRun(reason),
            KeyState::Unknown(reason) => AtMostOnceOutcome::Unknown(reason),
        };
        send_outcome(cx, from, message.call, outcome, out);
        None
    }

    /// Records the outcome of a request and reports it to the entry node.
    pub(crate) fn finish(
        &mut self,
        cx: &mut Context,
        home_request: HomeRequest,
        mut answer: Answer<Bytes>,
        out: &mut Vec<Output>,
    ) {
        let outcome = match (answer.parts.pop(), answer.lost.first()) {
            (Some((group, body)), _) => AtMostOnceOutcome::Answered(AtMostOnceAnswer {
                snapshot: answer.snapshot,
                group,
                body,
            }),
            (None, Some((_, LossReason::NotRun(reason)))) => AtMostOnceOutcome::NotRun(*reason),
            (None, Some((_, LossReason::Unknown(reason)))) => AtMostOnceOutcome::Unknown(*reason),
            (None, Some((_, LossReason::Deadline))) => {
                AtMostOnceOutcome::Unknown(UnknownReason::Timeout)
            }
            (None, Some((_, LossReason::NoLeaf)) | None) => {
                AtMostOnceOutcome::NotRun(Refusal::Unreachable)
            }
        };
        // Without a table the bucket has moved, and its new home treats the key as unknown.
        let Some(table) = self.tables.get_mut(&home_request.bucket) else {
            let outcome = match outcome {
                AtMostOnceOutcome::NotRun(_) => {
                    AtMostOnceOutcome::Unknown(UnknownReason::EarlierRun)
                }
                outcome => outcome,
            };
            return send_outcome(cx, home_request.from, home_request.call, outcome, out);
        };
        match &outcome {
            AtMostOnceOutcome::Answered(answer) => {
                table.record_answer(&home_request.key, answer.clone())
            }
            AtMostOnceOutcome::NotRun(reason) => table.record_not_run(&home_request.key, *reason),
            AtMostOnceOutcome::Unknown(reason) => table.record_unknown(&home_request.key, *reason),
            AtMostOnceOutcome::NotHome => {}
        }
        send_outcome(cx, home_request.from, home_request.call, outcome, out);
    }

    /// Creates tables for gained buckets. Returns the keys of lost buckets, with the address of the new
    /// home of each.
    pub(crate) fn reassign_buckets(
        &mut self,
        cx: &Context,
        now: Time,
    ) -> Vec<(SocketAddr, KeyTransfer)> {
        let mut transfers = Vec::new();
        let epoch = cx.cell.roster().epoch;
        let me = Some(cx.settings.me.node);
        for bucket in 0..KEY_BUCKETS {
            let item = key_item(bucket).leaf;
            let holder = cx.placements.keys.holder(item);
            if holder == me {
                let settings = cx.settings.idempotency;
                // In the first epoch of a cell no other node has held the bucket before.
                let first = epoch == Epoch(1);
                self.tables.entry(bucket).or_insert_with(|| {
                    if first {
                        IdempotencyTable::new(settings)
                    } else {
                        IdempotencyTable::with_lost_predecessor(settings, now)
                    }
                });
                continue;
            }
            let Some(mut table) = self.tables.remove(&bucket) else {
                continue;
            };
            let addr = holder.and_then(|node| cx.addr_of(node));
            if let Some(addr) = addr {
                let keys = KeyTransfer {
                    epoch,
                    bucket,
                    handover: table.hand_over(now),
                };
                transfers.push((addr, keys));
            }
        }
        transfers
    }

    /// Merges the keys of a bucket that has moved to this node.
    pub(crate) fn merge_keys(&mut self, keys: KeyTransfer, now: Time) {
        if let Some(table) = self.tables.get_mut(&keys.bucket) {
            table.take_over(keys.handover, now);
        }
    }

    fn run_request(
        &mut self,
        cx: &mut Context,
        from: Origin,
        message: AtMostOnceRequest,
        bucket: u32,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<QueryStart> {
        let refuse = message.refuse.or_else(|| request_refusal(&message));
        let plan = request_plan(cx, &message);
        let resolved = cx.config.resolve(&message.service, &message.kind);
        let (Some(plan), Some(resolved), None) = (plan, resolved, refuse) else {
            let reason = refuse.unwrap_or(Refusal::Unreachable);
            if let Some(table) = self.tables.get_mut(&bucket) {
                table.record_not_run(&message.key, reason);
            }
            send_outcome(
                cx,
                from,
                message.call,
                AtMostOnceOutcome::NotRun(reason),
                out,
            );
            return None;
        };
        let settings = QuerySettings {
            deadline: now + Duration::from_micros(message.budget),
            repeatable: false,
            refusal_timeout: Duration::from_micros(message.budget),
            ..cx.settings.query
        };
        let home_request = HomeRequest {
            from,
            call: message.call,
            bucket,
            key: message.key.clone(),
        };
        let request = Request {
            token: Token(0),
            service: message.service,
            kind: message.kind,
            key: Some(message.key),
            partition_key: None,
            deadline: None,
            body: message.body,
        };
        Some(QueryStart {
            receiver: ResultReceiver::Home(home_request),
            plan,
            settings,
            request,
            resolved,
        })
    }
}

/// Returns the reason to refuse a request before it is run, if there is one.
fn request_refusal(message: &AtMostOnceRequest) -> Option<Refusal> {
    (message.budget == 0).then_some(Refusal::Expired)
}

/// Returns the plan of a request: the one group that its partition key, or else its idempotency key,
/// selects.
fn request_plan(cx: &Context, message: &AtMostOnceRequest) -> Option<Rc<Plan>> {
    // At-most-once requests use the old version until the version move is done.
    let done = cx.moves.get(&message.service).is_some_and(|m| m.is_done());
    let next = done
        .then(|| {
            cx.config
                .plan_of(&message.service, Some(ServiceVersion::New))
        })
        .flatten();
    let plan = next.or_else(|| cx.config.plan_of(&message.service, None))?;
    let selector = message.partition_key.as_deref().unwrap_or(&message.key);
    let index = hash_slot(&message.service, selector, plan.groups.len());
    let group = plan.groups.get(index)?.clone();
    Some(Rc::new(Plan {
        snapshot: plan.snapshot,
        groups: vec![group],
    }))
}

/// Reports the outcome of a request to its entry node.
fn send_outcome(
    cx: &mut Context,
    from: Origin,
    call: CallId,
    outcome: AtMostOnceOutcome,
    out: &mut Vec<Output>,
) {
    match from {
        Origin::Local => cx
            .local_events
            .push_back(LocalEvent::AtMostOnceOutcome(call, outcome)),
        Origin::Link(link) => out.push(Output::ToLink(
            link,
            Message::AtMostOnceOutcome(call, outcome),
        )),
    }
}
