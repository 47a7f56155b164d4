//! Calls to leafs whose lease this node holds, and their admission.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{CallId, DeterministicMap, LeafId, Refusal, Time, UnknownReason};
use monsoondeal_limit::{
    CallFeedback, CancelOutcome, Decision, LeafLimiter, LeafLimiterSettings, Offer,
};

use crate::config::Config;
use crate::context::{Context, MAX_MESSAGE_AGE};
use crate::event::{LocalEvent, Origin, Timer};
use crate::io::{LeafCall, LeafCallId, LeafOutcome, Output};
use crate::message::{Call, CallOutcome, Message};

/// Identifies a call at the holder of its leaf.
type CallKey = (Origin, CallId);

/// A warm leaf and its service time.
pub(crate) type WarmLeaf = (LeafId, Duration);

/// A call in flight to a leaf.
#[derive(Debug)]
struct RunningCall {
    key: CallKey,
    leaf: LeafId,
    started: Time,
}

/// Limiters and calls of the leafs that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    next_leaf_call: u64,
    limiters: DeterministicMap<LeafId, LeafLimiter<CallKey>>,
    running: DeterministicMap<LeafCallId, RunningCall>,
    /// Calls queued in a limiter.
    waiting: DeterministicMap<CallKey, Call>,
}

impl Holder {
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Iterates over leafs and their limiters, in no particular order.
    pub(crate) fn limiters(&self) -> impl Iterator<Item = (LeafId, &LeafLimiter<CallKey>)> {
        self.limiters.iter().map(|(leaf, limiter)| (*leaf, limiter))
    }

    pub(crate) fn on_call(
        &mut self,
        cx: &mut Context,
        from: Origin,
        call: Call,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if let Some(reason) = self.call_refusal(cx, from, &call, now) {
            return self.send_outcome(cx, (from, call.call), CallOutcome::NotRun(reason), out);
        }
        let leaf = call.leaf;
        let id = (from, call.call);
        let offer = Offer {
            id,
            priority: call.priority,
            deadline: now + Duration::from_micros(call.budget),
            hedge: call.hedge,
        };
        match self.limiter(cx, leaf).offer(offer, now) {
            Decision::Start => self.start_call(cx, id, call, now, out),
            Decision::Queued => {
                self.waiting.insert(id, call);
                self.poll_limiter(cx, leaf, now, out);
            }
            Decision::Refused(reason) => {
                self.send_outcome(cx, id, CallOutcome::NotRun(reason), out)
            }
        }
    }

    pub(crate) fn on_cancel(&mut self, cx: &mut Context, from: Origin, call: CallId) {
        // A running call keeps its slot until it ends, since it still loads the leaf.
        let id = (from, call);
        let Some(waiting) = self.waiting.get(&id) else {
            return;
        };
        let leaf = waiting.leaf;
        let Some(limiter) = self.limiters.get_mut(&leaf) else {
            return;
        };
        if limiter.cancel(id) == CancelOutcome::NotRun {
            self.waiting.remove(&id);
            self.set_limiter_timer(cx, leaf);
        }
    }

    pub(crate) fn on_leaf_call_ended(
        &mut self,
        cx: &mut Context,
        leaf_call: LeafCallId,
        outcome: LeafOutcome,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.running.remove(&leaf_call) else {
            return;
        };
        let service_time = now.since(running.started);
        let (feedback, outcome) = match outcome {
            LeafOutcome::Data { stamp, body } => (
                CallFeedback::Answered(service_time),
                CallOutcome::Data(stamp, body),
            ),
            LeafOutcome::Mismatch => {
                cx.counts.mismatches += 1;
                (
                    CallFeedback::Answered(service_time),
                    CallOutcome::NotRun(Refusal::Mismatch),
                )
            }
            LeafOutcome::Shed => (CallFeedback::Shed, CallOutcome::NotRun(Refusal::Shed)),
            LeafOutcome::Failed => (
                CallFeedback::Answered(service_time),
                CallOutcome::Unknown(UnknownReason::LeafError),
            ),
            LeafOutcome::NoConnection => (
                CallFeedback::Unreachable,
                CallOutcome::NotRun(Refusal::Unreachable),
            ),
            LeafOutcome::Broken => (
                CallFeedback::ConnectionLost,
                CallOutcome::Unknown(UnknownReason::ConnectionLost),
            ),
            LeafOutcome::TooLarge => {
                cx.counts.too_large += 1;
                (
                    CallFeedback::ConnectionLost,
                    CallOutcome::Unknown(UnknownReason::ConnectionLost),
                )
            }
        };
        if let Some(limiter) = self.limiters.get_mut(&running.leaf) {
            limiter.finish(feedback, now);
        }
        self.send_outcome(cx, running.key, outcome, out);
        self.poll_limiter(cx, running.leaf, now, out);
    }

    pub(crate) fn on_leaf_closed(&mut self, leaf: LeafId, now: Time) {
        if let Some(limiter) = self.limiters.get_mut(&leaf) {
            limiter.mark_cold(now);
        }
    }

    /// Starts or refuses the queued calls to a leaf that are due. Refuses all of them if this node
    /// doesn't hold the lease.
    pub(crate) fn poll_limiter(
        &mut self,
        cx: &mut Context,
        leaf: LeafId,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if !cx.holds_leaf(leaf, now) {
            return self.drain_limiter(cx, leaf, out);
        }
        while let Some(limiter) = self.limiters.get_mut(&leaf) {
            let Some((id, decision)) = limiter.poll(now) else {
                break;
            };
            let Some(call) = self.waiting.remove(&id) else {
                continue;
            };
            match decision {
                Decision::Start => self.start_call(cx, id, call, now, out),
                Decision::Refused(reason) => {
                    self.send_outcome(cx, id, CallOutcome::NotRun(reason), out)
                }
                Decision::Queued => {}
            }
        }
        self.set_limiter_timer(cx, leaf);
    }

    /// Drains the limiters of leafs that are placed on other nodes now. Returns the warm leafs among
    /// them, by the address of their new holder.
    pub(crate) fn release_lost_leafs(
        &mut self,
        cx: &mut Context,
        out: &mut Vec<Output>,
    ) -> DeterministicMap<SocketAddr, Vec<WarmLeaf>> {
        let me = cx.settings.me.node;
        let placement = &cx.placements.leafs;
        let limiters = self.limiters.iter();
        let lost: Vec<(LeafId, Option<Duration>)> = limiters
            .filter(|(leaf, _)| placement.holder(**leaf) != Some(me))
            .map(|(leaf, limiter)| (*leaf, limiter.warm_service_time()))
            .collect();
        let mut warm: DeterministicMap<SocketAddr, Vec<WarmLeaf>> = DeterministicMap::default();
        for (leaf, warm_service_time) in lost {
            let addr = cx
                .placements
                .leafs
                .holder(leaf)
                .and_then(|node| cx.addr_of(node));
            if let (Some(addr), Some(service_time)) = (addr, warm_service_time) {
                warm.entry(addr).or_default().push((leaf, service_time));
            }
            self.drain_limiter(cx, leaf, out);
        }
        warm
    }

    /// Presumes leafs warm that were warm at their former holder.
    pub(crate) fn on_warm_leafs(&mut self, cx: &Context, leafs: Vec<WarmLeaf>) {
        let me = cx.settings.me.node;
        for (leaf, service_time) in leafs {
            if cx.placements.leafs.holder(leaf) != Some(me) {
                continue;
            }
            self.limiter(cx, leaf).presume_warm(service_time);
        }
    }

    /// Processes all limiters with queued calls after a new roster, which may have changed the leases.
    pub(crate) fn poll_waiting(&mut self, cx: &mut Context, now: Time, out: &mut Vec<Output>) {
        let limiters = self.limiters.iter();
        let leafs: Vec<LeafId> = limiters
            .filter(|(_, limiter)| limiter.waiting() > 0)
            .map(|(leaf, _)| *leaf)
            .collect();
        for leaf in leafs {
            self.poll_limiter(cx, leaf, now, out);
        }
    }

    /// Returns whether a call is in flight on a leaf that is placed on another node now.
    pub(crate) fn has_calls_on_lost_leafs(&self, cx: &Context) -> bool {
        let me = cx.settings.me.node;
        let placement = &cx.placements.leafs;
        self.running
            .values()
            .any(|r| placement.holder(r.leaf) != Some(me))
    }

    /// Presumes leafs cold that have returned to service. `was_out` are those that were out before.
    pub(crate) fn mark_returned_cold(&mut self, cx: &Context, was_out: &[LeafId], now: Time) {
        for leaf in was_out {
            if !cx.config.is_out(*leaf)
                && let Some(limiter) = self.limiters.get_mut(leaf)
            {
                limiter.mark_cold(now);
            }
        }
    }

    /// Returns the leafs with a limiter that operators have taken out of service.
    pub(crate) fn leafs_out(&self, cx: &Context) -> Vec<LeafId> {
        let limiters = self.limiters.keys().copied();
        limiters.filter(|leaf| cx.config.is_out(*leaf)).collect()
    }

    /// Applies the limits in force to all limiters.
    pub(crate) fn update_limiter_settings(&mut self, cx: &Context) {
        let leafs: Vec<LeafId> = self.limiters.keys().copied().collect();
        for leaf in leafs {
            let settings = limiter_settings(&cx.config, leaf);
            if let Some(limiter) = self.limiters.get_mut(&leaf) {
                limiter.set_settings(settings);
            }
        }
    }

    /// Returns the limiter of a leaf, and creates it if there is none.
    fn limiter(&mut self, cx: &Context, leaf: LeafId) -> &mut LeafLimiter<CallKey> {
        let settings = limiter_settings(&cx.config, leaf);
        let limiters = &mut self.limiters;
        limiters
            .entry(leaf)
            .or_insert_with(|| LeafLimiter::new(settings))
    }

    /// Returns the reason to refuse a call, if it cannot run on this node.
    fn call_refusal(&self, cx: &Context, from: Origin, call: &Call, now: Time) -> Option<Refusal> {
        if !cx.config.leafs.contains_key(&call.leaf) || !cx.holds_leaf(call.leaf, now) {
            return Some(Refusal::NotHolder);
        }
        if cx.config.is_out(call.leaf) {
            return Some(Refusal::Unreachable);
        }
        if call.key.is_some() && cx.message_age(from, call.sent, now) > MAX_MESSAGE_AGE {
            return Some(Refusal::Expired);
        }
        None
    }

    fn start_call(
        &mut self,
        cx: &mut Context,
        id: CallKey,
        call: Call,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(info) = cx.config.leafs.get(&call.leaf) else {
            return;
        };
        let leaf_call = LeafCallId(self.next_leaf_call);
        self.next_leaf_call += 1;
        cx.counts.leaf_calls += 1;
        let running = RunningCall {
            key: id,
            leaf: call.leaf,
            started: now,
        };
        self.running.insert(leaf_call, running);
        out.push(Output::CallLeaf(Box::new(LeafCall {
            id: leaf_call,
            leaf: call.leaf,
            addr: info.addr,
            group: info.group,
            snapshot: call.snapshot,
            kind: call.kind,
            key: call.key,
            budget: Duration::from_micros(call.budget),
            timeout: cx.cell.settings().max_call_duration,
            body: call.body,
        })));
    }

    fn drain_limiter(&mut self, cx: &mut Context, leaf: LeafId, out: &mut Vec<Output>) {
        cx.timers.clear(Timer::LeafLimiter(leaf));
        let Some(limiter) = self.limiters.get_mut(&leaf) else {
            return;
        };
        let refused = limiter.drain();
        let placed_here = cx.placements.leafs.holder(leaf) == Some(cx.settings.me.node);
        if limiter.running() == 0 && !placed_here {
            self.limiters.remove(&leaf);
            out.push(Output::CloseLeaf(leaf));
        }
        for id in refused {
            self.waiting.remove(&id);
            self.send_outcome(cx, id, CallOutcome::NotRun(Refusal::NotHolder), out);
        }
    }

    fn set_limiter_timer(&mut self, cx: &mut Context, leaf: LeafId) {
        match self.limiters.get(&leaf).and_then(LeafLimiter::next_wake) {
            Some(at) => cx.timers.set(Timer::LeafLimiter(leaf), at),
            None => cx.timers.clear(Timer::LeafLimiter(leaf)),
        }
    }

    fn send_outcome(
        &mut self,
        cx: &mut Context,
        (from, call): CallKey,
        outcome: CallOutcome,
        out: &mut Vec<Output>,
    ) {
        if matches!(outcome, CallOutcome::NotRun(_)) {
            cx.counts.refused += 1;
        }
        match from {
            Origin::Local => cx
                .local_events
                .push_back(LocalEvent::CallOutcome(call, outcome)),
            Origin::Link(link) => {
                out.push(Output::ToLink(link, Message::CallOutcome(call, outcome)))
            }
        }
    }
}

fn limiter_settings(config: &Config, leaf: LeafId) -> LeafLimiterSettings {
    let limits = config.limits_of(leaf);
    LeafLimiterSettings {
        slots: limits.slots,
        cold_slots: limits.cold_slots.min(limits.slots),
        cold_gap: limits.cold_gap,
        warm_after: limits.warm_after,
        ..LeafLimiterSettings::default()
    }
}
