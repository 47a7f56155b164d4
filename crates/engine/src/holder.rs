//! Calls to leafs whose lease this node holds, and their admission.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{CallId, DeterministicMap, LeafId, Refusal, Time, UnknownReason};
use monsoondeal_limit::{
    CallFeedback, CancelOutcome, Decision, LeafLimiter, LeafLimiterSettings, Offer,
};

use crate::config::Config;
use crate::context::{Context, MESSAGE_AGE_LIMIT};
use crate::event::{Local, Origin, Timer};
use crate::io::{LeafCall, LeafCallId, LeafOutcome, Output};
use crate::message::{Call, CallOutcome, Message};

/// Identifies a call at the holder of its leaf.
type CallKey = (Origin, CallId);

/// A warm leaf and its service time.
pub(crate) type WarmLeaf = (LeafId, Duration);

/// A call in flight to a leaf.
#[derive(Debug)]
struct Running {
    from: CallKey,
    leaf: LeafId,
    started: Time,
}

/// Gates and calls of the leafs that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    next_ticket: u64,
    gates: DeterministicMap<LeafId, LeafLimiter<CallKey>>,
    running: DeterministicMap<LeafCallId, Running>,
    /// Calls queued in a gate.
    waiting: DeterministicMap<CallKey, Call>,
}

impl Holder {
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Iterates over leafs and their gates, in no particular order.
    pub(crate) fn gates(&self) -> impl Iterator<Item = (LeafId, &LeafLimiter<CallKey>)> {
        self.gates.iter().map(|(leaf, gate)| (*leaf, gate))
    }

    pub(crate) fn on_call(
        &mut self,
        cx: &mut Context,
        from: Origin,
        call: Call,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if let Some(reason) = self.call_fault(cx, from, &call, now) {
            return self.end_call(cx, (from, call.call), CallOutcome::NotRun(reason), out);
        }
        let leaf = call.leaf;
        let id = (from, call.call);
        let offer = Offer {
            id,
            priority: call.priority,
            deadline: now + Duration::from_micros(call.budget),
            hedge: call.hedge,
        };
        match self.gate(cx, leaf).offer(offer, now) {
            Decision::Start => self.start_call(cx, id, call, now, out),
            Decision::Queued => {
                self.waiting.insert(id, call);
                self.pump(cx, leaf, now, out);
            }
            Decision::Refused(reason) => self.end_call(cx, id, CallOutcome::NotRun(reason), out),
        }
    }

    pub(crate) fn on_cancel(&mut self, cx: &mut Context, from: Origin, call: CallId) {
        // A running call keeps its slot until it ends, since it still loads the leaf.
        let id = (from, call);
        let Some(waiting) = self.waiting.get(&id) else {
            return;
        };
        let leaf = waiting.leaf;
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        if gate.cancel(id) == CancelOutcome::NotRun {
            self.waiting.remove(&id);
            self.set_gate_timer(cx, leaf);
        }
    }

    pub(crate) fn on_leaf_done(
        &mut self,
        cx: &mut Context,
        ticket: LeafCallId,
        end: LeafOutcome,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let service = now.since(running.started);
        let (verdict, end) = match end {
            LeafOutcome::Data { stamp, body } => (
                CallFeedback::Answered(service),
                CallOutcome::Data(stamp, body),
            ),
            LeafOutcome::Mismatch => {
                cx.counts.mismatches += 1;
                (
                    CallFeedback::Answered(service),
                    CallOutcome::NotRun(Refusal::Mismatch),
                )
            }
            LeafOutcome::Shed => (CallFeedback::Shed, CallOutcome::NotRun(Refusal::Shed)),
            LeafOutcome::Failed => (
                CallFeedback::Answered(service),
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
        if let Some(gate) = self.gates.get_mut(&running.leaf) {
            gate.finish(verdict, now);
        }
        self.end_call(cx, running.from, end, out);
        self.pump(cx, running.leaf, now, out);
    }

    pub(crate) fn on_leaf_closed(&mut self, leaf: LeafId, now: Time) {
        if let Some(gate) = self.gates.get_mut(&leaf) {
            gate.mark_cold(now);
        }
    }

    /// Starts or refuses the queued calls to a leaf that are due.
    pub(crate) fn pump(
        &mut self,
        cx: &mut Context,
        leaf: LeafId,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if !cx.holds(leaf, now) {
            return self.drain_gate(cx, leaf, out);
        }
        while let Some(gate) = self.gates.get_mut(&leaf) {
            let Some((id, decision)) = gate.poll(now) else {
                break;
            };
            let Some(call) = self.waiting.remove(&id) else {
                continue;
            };
            match decision {
                Decision::Start => self.start_call(cx, id, call, now, out),
                Decision::Refused(reason) => {
                    self.end_call(cx, id, CallOutcome::NotRun(reason), out)
                }
                Decision::Queued => {}
            }
        }
        self.set_gate_timer(cx, leaf);
    }

    /// Drains the gates of leafs that are placed on other nodes now. Returns the warm leafs among them, by
    /// the address of their new holder.
    pub(crate) fn retire_gates(
        &mut self,
        cx: &mut Context,
        out: &mut Vec<Output>,
    ) -> DeterministicMap<SocketAddr, Vec<WarmLeaf>> {
        let me = cx.settings.me.node;
        let seats = &cx.seats.leafs;
        let gates = self.gates.iter();
        let lost: Vec<(LeafId, Option<Duration>)> = gates
            .filter(|(leaf, _)| seats.holder(**leaf) != Some(me))
            .map(|(leaf, gate)| (*leaf, gate.warm_service_time()))
            .collect();
        let mut warm: DeterministicMap<SocketAddr, Vec<WarmLeaf>> = DeterministicMap::default();
        for (leaf, warmth) in lost {
            let addr = cx
                .seats
                .leafs
                .holder(leaf)
                .and_then(|node| cx.addr_of(node));
            if let (Some(addr), Some(service)) = (addr, warmth) {
                warm.entry(addr).or_default().push((leaf, service));
            }
            self.drain_gate(cx, leaf, out);
        }
        warm
    }

    /// Presumes leafs warm that were warm at their former holder.
    pub(crate) fn on_warm(&mut self, cx: &Context, leafs: Vec<WarmLeaf>) {
        let me = cx.settings.me.node;
        for (leaf, service) in leafs {
            if cx.seats.leafs.holder(leaf) != Some(me) {
                continue;
            }
            self.gate(cx, leaf).presume_warm(service);
        }
    }

    /// Processes all gates with queued calls, for example after a lease was gained.
    pub(crate) fn pump_waiting(&mut self, cx: &mut Context, now: Time, out: &mut Vec<Output>) {
        let gates = self.gates.iter();
        let leafs: Vec<LeafId> = gates
            .filter(|(_, gate)| gate.waiting() > 0)
            .map(|(leaf, _)| *leaf)
            .collect();
        for leaf in leafs {
            self.pump(cx, leaf, now, out);
        }
    }

    /// Returns whether a call is in flight on a leaf that is placed on another node now.
    pub(crate) fn has_lost_calls(&self, cx: &Context) -> bool {
        let me = cx.settings.me.node;
        let seats = &cx.seats.leafs;
        self.running
            .values()
            .any(|r| seats.holder(r.leaf) != Some(me))
    }

    /// Presumes leafs cold that have returned to service. `was_out` are those that were out before.
    pub(crate) fn chill_returned(&mut self, cx: &Context, was_out: &[LeafId], now: Time) {
        for leaf in was_out {
            if !cx.config.is_out(*leaf)
                && let Some(gate) = self.gates.get_mut(leaf)
            {
                gate.mark_cold(now);
            }
        }
    }

    /// Returns the leafs with a gate that operators have taken out of service.
    pub(crate) fn gates_out(&self, cx: &Context) -> Vec<LeafId> {
        let gates = self.gates.keys().copied();
        gates.filter(|leaf| cx.config.is_out(*leaf)).collect()
    }

    /// Applies the limits in force to all gates.
    pub(crate) fn update_gate_settings(&mut self, cx: &Context) {
        let leafs: Vec<LeafId> = self.gates.keys().copied().collect();
        for leaf in leafs {
            let settings = gate_settings(&cx.config, leaf);
            if let Some(gate) = self.gates.get_mut(&leaf) {
                gate.set_settings(settings);
            }
        }
    }

    /// Returns the gate of a leaf, and creates it if there is none.
    fn gate(&mut self, cx: &Context, leaf: LeafId) -> &mut LeafLimiter<CallKey> {
        let settings = gate_settings(&cx.config, leaf);
        let gates = &mut self.gates;
        gates
            .entry(leaf)
            .or_insert_with(|| LeafLimiter::new(settings))
    }

    /// Returns the reason to refuse a call, if it cannot run on this node.
    fn call_fault(&self, cx: &Context, from: Origin, call: &Call, now: Time) -> Option<Refusal> {
        if !cx.config.leafs.contains_key(&call.leaf) || !cx.holds(call.leaf, now) {
            return Some(Refusal::NotHolder);
        }
        if cx.config.is_out(call.leaf) {
            return Some(Refusal::Unreachable);
        }
        if call.key.is_some() && cx.message_age(from, call.sent, now) > MESSAGE_AGE_LIMIT {
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
        let ticket = LeafCallId(self.next_ticket);
        self.next_ticket += 1;
        cx.counts.leaf_calls += 1;
        let running = Running {
            from: id,
            leaf: call.leaf,
            started: now,
        };
        self.running.insert(ticket, running);
        out.push(Output::CallLeaf(Box::new(LeafCall {
            id: ticket,
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

    fn drain_gate(&mut self, cx: &mut Context, leaf: LeafId, out: &mut Vec<Output>) {
        cx.timers.clear(Timer::Gate(leaf));
        let Some(gate) = self.gates.get_mut(&leaf) else {
            return;
        };
        let refused = gate.drain();
        let placed_here = cx.seats.leafs.holder(leaf) == Some(cx.settings.me.node);
        if gate.running() == 0 && !placed_here {
            self.gates.remove(&leaf);
            out.push(Output::CloseLeaf(leaf));
        }
        for id in refused {
            self.waiting.remove(&id);
            self.end_call(cx, id, CallOutcome::NotRun(Refusal::NotHolder), out);
        }
    }

    fn set_gate_timer(&mut self, cx: &mut Context, leaf: LeafId) {
        match self.gates.get(&leaf).and_then(LeafLimiter::next_wake) {
            Some(at) => cx.timers.set(Timer::Gate(leaf), at),
            None => cx.timers.clear(Timer::Gate(leaf)),
        }
    }

    fn end_call(
        &mut self,
        cx: &mut Context,
        (from, call): CallKey,
        end: CallOutcome,
        out: &mut Vec<Output>,
    ) {
        if matches!(end, CallOutcome::NotRun(_)) {
            cx.counts.refused += 1;
        }
        match from {
            Origin::Local => cx.local.push_back(Local::CallOutcome(call, end)),
            Origin::Link(link) => out.push(Output::ToLink(link, Message::CallOutcome(call, end))),
        }
    }
}

fn gate_settings(config: &Config, leaf: LeafId) -> LeafLimiterSettings {
    let limits = config.limits_of(leaf);
    LeafLimiterSettings {
        slots: limits.slots,
        cold_slots: limits.cold_slots.min(limits.slots),
        cold_gap: limits.cold_gap,
        warm_after: limits.warm_after,
        ..LeafLimiterSettings::default()
    }
}
