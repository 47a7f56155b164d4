//! Calls to leafs whose lease this node holds.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_config::LeafLimits;
use monsoondeal_core::{CallId, Doubt, FixedMap, LeafId, Refusal, Time};
use monsoondeal_limit::{Cancelled, Decision, Gate, GateSettings, Offer, Verdict};
use monsoondeal_member::Lease;

use crate::engine::{Engine, Local, Origin, Timer};
use crate::io::{LeafCall, LeafEnd, Output, Ticket};
use crate::message::{Call, CallEnd, Message};

/// A call with an idempotency key that was sent longer ago than this is not run: a copy of it may
/// have left the memory of its home.
pub(crate) const MESSAGE_AGE_LIMIT: Duration = Duration::from_secs(10);

/// Identity of a call at its holder.
type CallKey = (Origin, CallId);

/// A call under way at a leaf.
#[derive(Debug)]
struct Running {
    from: CallKey,
    leaf: LeafId,
    started: Time,
}

/// State of the holder side.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    next_ticket: u64,
    gates: FixedMap<LeafId, Gate<CallKey>>,
    running: FixedMap<Ticket, Running>,
    /// Calls that wait in a gate.
    waiting: FixedMap<CallKey, Call>,
}

impl Holder {
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Iterates over leafs with their gates, in no order.
    pub(crate) fn gates(&self) -> impl Iterator<Item = (LeafId, &Gate<CallKey>)> {
        self.gates.iter().map(|(leaf, gate)| (*leaf, gate))
    }
}

impl Engine {
    pub(crate) fn on_call(&mut self, from: Origin, call: Call, now: Time, out: &mut Vec<Output>) {
        if let Some(reason) = self.call_fault(from, &call, now) {
            return self.end_call((from, call.call), CallEnd::NotRun(reason), out);
        }
        let leaf = call.leaf;
        let id = (from, call.call);
        let offer = Offer {
            id,
            priority: call.priority,
            deadline: now + Duration::from_micros(call.budget),
            hedge: call.hedge,
        };
        match self.gate(leaf).offer(offer, now) {
            Decision::Start => self.start_call(id, call, now, out),
            Decision::Queued => {
                self.holder.waiting.insert(id, call);
                self.pump(leaf, now, out);
            }
            Decision::Refused(reason) => self.end_call(id, CallEnd::NotRun(reason), out),
        }
    }

    pub(crate) fn on_cancel(&mut self, from: Origin, call: CallId) {
        // A running call keeps its slot until the leaf is done with it: the leaf still bears it.
        let id = (from, call);
        let Some(waiting) = self.holder.waiting.get(&id) else {
            return;
        };
        let leaf = waiting.leaf;
        let Some(gate) = self.holder.gates.get_mut(&leaf) else {
            return;
        };
        if gate.cancel(id) == Cancelled::NotRun {
            self.holder.waiting.remove(&id);
            self.set_gate_timer(leaf);
        }
    }

    pub(crate) fn on_leaf_done(
        &mut self,
        ticket: Ticket,
        end: LeafEnd,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.holder.running.remove(&ticket) else {
            return;
        };
        let service = now.since(running.started);
        let (verdict, end) = match end {
            LeafEnd::Data { stamp, body } => (Verdict::Good(service), CallEnd::Data(stamp, body)),
            LeafEnd::Mismatch => {
                self.counts.mismatches += 1;
                (Verdict::Good(service), CallEnd::NotRun(Refusal::Mismatch))
            }
            LeafEnd::Shed => (Verdict::Shed, CallEnd::NotRun(Refusal::Shed)),
            LeafEnd::Failed => (Verdict::Good(service), CallEnd::Unknown(Doubt::LeafError)),
            LeafEnd::NoConnection => (Verdict::Unreachable, CallEnd::NotRun(Refusal::Unreachable)),
            LeafEnd::Broken => (Verdict::Broken, CallEnd::Unknown(Doubt::ConnectionLost)),
            LeafEnd::TooLarge => {
                self.counts.too_large += 1;
                (Verdict::Broken, CallEnd::Unknown(Doubt::ConnectionLost))
            }
        };
        if let Some(gate) = self.holder.gates.get_mut(&running.leaf) {
            gate.finish(verdict, now);
        }
        self.end_call(running.from, end, out);
        self.pump(running.leaf, now, out);
    }

    pub(crate) fn on_leaf_closed(&mut self, leaf: LeafId, now: Time) {
        if let Some(gate) = self.holder.gates.get_mut(&leaf) {
            gate.chill(now);
        }
    }

    /// Starts and refuses what is due at a leaf.
    pub(crate) fn pump(&mut self, leaf: LeafId, now: Time, out: &mut Vec<Output>) {
        if !self.holds(leaf, now) {
            return self.drain_gate(leaf, out);
        }
        while let Some(gate) = self.holder.gates.get_mut(&leaf) {
            let Some((id, decision)) = gate.poll(now) else {
                break;
            };
            let Some(call) = self.holder.waiting.remove(&id) else {
                continue;
            };
            match decision {
                Decision::Start => self.start_call(id, call, now, out),
                Decision::Refused(reason) => self.end_call(id, CallEnd::NotRun(reason), out),
                Decision::Queued => {}
            }
        }
        self.set_gate_timer(leaf);
    }

    /// Gives up the gates of leafs that are placed elsewhere now, and tells the new holders which of
    /// them are warm.
    pub(crate) fn retire_gates(&mut self, out: &mut Vec<Output>) {
        let me = self.settings.me.node;
        let seats = &self.seats.leafs;
        let gates = self.holder.gates.iter();
        let lost: Vec<(LeafId, Option<Duration>)> = gates
            .filter(|(leaf, _)| seats.holder(**leaf) != Some(me))
            .map(|(leaf, gate)| (*leaf, gate.warmth()))
            .collect();
        let mut warm: FixedMap<SocketAddr, Vec<(LeafId, Duration)>> = FixedMap::default();
        for (leaf, warmth) in lost {
            let addr = self
                .seats
                .leafs
                .holder(leaf)
                .and_then(|node| self.addr_of(node));
            if let (Some(addr), Some(service)) = (addr, warmth) {
                warm.entry(addr).or_default().push((leaf, service));
            }
            self.drain_gate(leaf, out);
        }
        let epoch = self.cell.roster().epoch;
        for (addr, leafs) in warm {
            self.send_when_up(addr, epoch, Message::Warm { epoch, leafs }, out);
        }
    }

    /// Takes over what the former holders of leafs knew of them.
    pub(crate) fn on_warm(&mut self, leafs: Vec<(LeafId, Duration)>) {
        let me = self.settings.me.node;
        for (leaf, service) in leafs {
            if self.seats.leafs.holder(leaf) != Some(me) {
                continue;
            }
            self.gate(leaf).presume_warm(service);
        }
    }

    /// Looks at all gates where calls wait, as after a lease has been gained.
    pub(crate) fn pump_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        let gates = self.holder.gates.iter();
        let leafs: Vec<LeafId> = gates
            .filter(|(_, gate)| gate.waiting() > 0)
            .map(|(leaf, _)| *leaf)
            .collect();
        for leaf in leafs {
            self.pump(leaf, now, out);
        }
    }

    /// Returns whether a call is under way on a leaf that is placed elsewhere now.
    pub(crate) fn has_lost_calls(&self) -> bool {
        let me = self.settings.me.node;
        let seats = &self.seats.leafs;
        self.holder
            .running
            .values()
            .any(|r| seats.holder(r.leaf) != Some(me))
    }

    /// Returns whether this node may act on the leaf now.
    pub(crate) fn holds(&self, leaf: LeafId, now: Time) -> bool {
        let me = self.settings.me.node;
        self.seats.leafs.holder(leaf) == Some(me)
            && self.cell.lease(self.seats.leafs_before.holder(leaf), now) == Lease::Held
    }

    /// Presumes those leafs cold that were out before and are in now.
    pub(crate) fn chill_returned(&mut self, was_out: &[LeafId], now: Time) {
        for leaf in was_out {
            if !self.is_out(*leaf)
                && let Some(gate) = self.holder.gates.get_mut(leaf)
            {
                gate.chill(now);
            }
        }
    }

    /// Returns the leafs with gates that operators have taken out.
    pub(crate) fn gates_out(&self) -> Vec<LeafId> {
        let gates = self.holder.gates.keys().copied();
        gates.filter(|leaf| self.is_out(*leaf)).collect()
    }

    /// Replaces the limits of all gates by those in force.
    pub(crate) fn update_gate_settings(&mut self) {
        let leafs: Vec<LeafId> = self.holder.gates.keys().copied().collect();
        for leaf in leafs {
            let settings = self.gate_settings(leaf);
            if let Some(gate) = self.holder.gates.get_mut(&leaf) {
                gate.set_settings(settings);
            }
        }
    }

    /// Returns the gate of a leaf, made if there is none yet.
    fn gate(&mut self, leaf: LeafId) -> &mut Gate<CallKey> {
        let settings = self.gate_settings(leaf);
        let gates = &mut self.holder.gates;
        gates.entry(leaf).or_insert_with(|| Gate::new(settings))
    }

    fn gate_settings(&self, leaf: LeafId) -> GateSettings {
        let service = self.config.leafs.get(&leaf).map(|info| &*info.service);
        let resolved = service
            .zip(self.config.tree.as_ref())
            .and_then(|(s, t)| t.resolve(s, ""));
        let limits = resolved.map_or_else(LeafLimits::default, |r| r.limits);
        GateSettings {
            slots: limits.slots,
            cold_slots: limits.cold_slots.min(limits.slots),
            cold_gap: limits.cold_gap,
            warm_after: limits.warm_after,
            ..GateSettings::default()
        }
    }

    /// Returns why a call cannot be run here, if so.
    fn call_fault(&self, from: Origin, call: &Call, now: Time) -> Option<Refusal> {
        if !self.config.leafs.contains_key(&call.leaf) || !self.holds(call.leaf, now) {
            return Some(Refusal::NotHolder);
        }
        if self.is_out(call.leaf) {
            return Some(Refusal::Unreachable);
        }
        if call.key.is_some() && self.message_age(from, call.sent, now) > MESSAGE_AGE_LIMIT {
            return Some(Refusal::Expired);
        }
        None
    }

    /// Returns how long a message took to be handled.
    pub(crate) fn message_age(&self, from: Origin, sent: u64, now: Time) -> Duration {
        match from {
            Origin::Local => now.since(Time::from_micros(sent)),
            Origin::Link(link) => self
                .links
                .get(&link)
                .map_or(Duration::ZERO, |link| link.age(sent, now)),
        }
    }

    fn start_call(&mut self, id: CallKey, call: Call, now: Time, out: &mut Vec<Output>) {
        let Some(info) = self.config.leafs.get(&call.leaf) else {
            return;
        };
        let ticket = Ticket(self.holder.next_ticket);
        self.holder.next_ticket += 1;
        self.counts.leaf_calls += 1;
        let running = Running {
            from: id,
            leaf: call.leaf,
            started: now,
        };
        self.holder.running.insert(ticket, running);
        out.push(Output::CallLeaf(Box::new(LeafCall {
            ticket,
            leaf: call.leaf,
            addr: info.addr,
            group: info.group,
            snapshot: call.snapshot,
            kind: call.kind,
            key: call.key,
            budget: Duration::from_micros(call.budget),
            timeout: self.cell.settings().longest_call,
            body: call.body,
        })));
    }

    fn drain_gate(&mut self, leaf: LeafId, out: &mut Vec<Output>) {
        self.timers.clear(Timer::Gate(leaf));
        let Some(gate) = self.holder.gates.get_mut(&leaf) else {
            return;
        };
        let refused = gate.drain();
        let placed_here = self.seats.leafs.holder(leaf) == Some(self.settings.me.node);
        if gate.running() == 0 && !placed_here {
            self.holder.gates.remove(&leaf);
            out.push(Output::CloseLeaf(leaf));
        }
        for id in refused {
            self.holder.waiting.remove(&id);
            self.end_call(id, CallEnd::NotRun(Refusal::NotHolder), out);
        }
    }

    fn set_gate_timer(&mut self, leaf: LeafId) {
        match self.holder.gates.get(&leaf).and_then(Gate::next_wake) {
            Some(at) => self.timers.set(Timer::Gate(leaf), at),
            None => self.timers.clear(Timer::Gate(leaf)),
        }
    }

    fn end_call(&mut self, (from, call): CallKey, end: CallEnd, out: &mut Vec<Output>) {
        if matches!(end, CallEnd::NotRun(_)) {
            self.counts.refused += 1;
        }
        match from {
            Origin::Local => self.local.push_back(Local::CallEnd(call, end)),
            Origin::Link(link) => out.push(Output::ToLink(link, Message::CallEnd(call, end))),
        }
    }
}
