//! Routing of inputs, timers and messages to the components of an engine.

use std::net::SocketAddr;

use monsoondeal_core::Time;

use crate::engine::Engine;
use crate::event::{Local, Origin, Timer};
use crate::io::{Input, LinkId, Output};
use crate::message::Message;
use crate::transfers::Transfer;

impl Engine {
    /// Handles an input, and all timers that are due at `now`. Appends the resulting actions to `out`.
    pub fn handle(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        self.pauses.note_input(now);
        self.dispatch(input, now, out);
        self.settle_locals(now, out);
        while let Some(timer) = self.cx.timers.pop(now) {
            self.on_timer(timer, now, out);
            self.settle_locals(now, out);
        }
        self.check_drained(out);
        self.check_stopped(out);
    }

    fn dispatch(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        match input {
            Input::Request(request) => self.on_request(request, now, out),
            Input::CallerGone(token) => self.on_gone(token, out),
            Input::PeerUp(addr) => self.on_peer_up(addr, now, out),
            Input::PeerDown(addr) => self.on_peer_down(addr, now, out),
            Input::FromPeer(addr, message) => self.on_peer_message(addr, message, now, out),
            Input::FromLink(link, message) => self.on_link_message(link, message, now, out),
            Input::LinkDown(link) => {
                self.cx.links.remove(&link);
            }
            Input::LeafClosed(leaf) => self.holder.on_leaf_closed(leaf, now),
            Input::LeafCallEnded(ticket, end) => {
                self.holder
                    .on_leaf_done(&mut self.cx, ticket, end, now, out)
            }
            Input::Object { key, object, sent } => self.on_object(&key, object, sent, now, out),
            Input::ReadFailed(_) => self.roles.note_contact(&mut self.cx, false, now),
            Input::WriteEnded(key) => self.on_written(&key, out),
            Input::Stop => self.on_stop(now, out),
            Input::Tick => {}
        }
    }

    fn on_timer(&mut self, timer: Timer, now: Time, out: &mut Vec<Output>) {
        match timer {
            Timer::Beat => self.cx.on_beat_timer(now, out),
            Timer::Control => self.on_control_timer(now, out),
            Timer::Query(id) => self.on_query_timer(id, now, out),
            Timer::Gate(leaf) => self.holder.pump(&mut self.cx, leaf, now, out),
            Timer::AtMostOnce(call) => self.on_order_timer(call, now, out),
        }
    }

    fn settle_locals(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(local) = self.cx.local.pop_front() {
            match local {
                Local::Call(call) => {
                    self.holder
                        .on_call(&mut self.cx, Origin::Local, *call, now, out)
                }
                Local::Cancel(call) => self.holder.on_cancel(&mut self.cx, Origin::Local, call),
                Local::CallOutcome(call, end) => self.on_call_end(call, end, now, out),
                Local::AtMostOnce(order) => self.on_order(Origin::Local, *order, now, out),
                Local::AtMostOnceOutcome(call, end) => self.on_order_end(call, end, now, out),
            }
        }
    }

    fn on_peer_message(
        &mut self,
        addr: SocketAddr,
        message: Message,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.cx.peers.get_mut(&addr) {
            peer.heard = Some(now);
        }
        match message {
            Message::BeatReply {
                node,
                asked,
                said,
                versions,
            } => {
                self.cx
                    .cell
                    .on_heartbeat(node, Some(Time::from_micros(asked)), said, now);
                self.compare_versions(addr, versions, now, out);
            }
            Message::State(state) => self.on_state(*state, now, out),
            Message::MoveGrant {
                service,
                asked,
                share,
            } => {
                self.cx.on_move_grant(&service, asked, share);
            }
            Message::CallOutcome(call, end) if self.queries.was_sent_to(call, addr) => {
                self.on_call_end(call, end, now, out);
            }
            Message::AtMostOnceOutcome(call, end) if self.orders.was_sent_to(call, addr) => {
                self.on_order_end(call, end, now, out);
            }
            // Outcomes of calls that were not sent to this peer, and messages that are only valid on
            // inbound connections.
            _ => {}
        }
    }

    fn on_link_message(
        &mut self,
        link: LinkId,
        message: Message,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Hello { node, .. } => self.cx.on_hello(link, node),
            Message::MoveReport(report) => {
                if let Some(node) = self.cx.link_node(link) {
                    self.cx
                        .on_move_report(Origin::Link(link), node, *report, now, out);
                }
            }
            Message::MoveStop(service) => {
                if let Some(node) = self.cx.link_node(link) {
                    self.cx.on_move_stop(&service, node, now, out);
                }
            }
            Message::Beat { sent, .. } => self.cx.on_beat(link, sent, now, out),
            Message::Fetch => self.send_state(link, out),
            Message::State(state) => self.on_state(*state, now, out),
            Message::Keys(keys) => self.on_transfer(keys.epoch, Transfer::Keys(keys), now),
            Message::Warm { epoch, leafs } => {
                self.on_transfer(epoch, Transfer::Warm(leafs), now);
            }
            Message::Call(call) => {
                self.holder
                    .on_call(&mut self.cx, Origin::Link(link), *call, now, out)
            }
            Message::Cancel(call) => self
                .holder
                .on_cancel(&mut self.cx, Origin::Link(link), call),
            Message::AtMostOnce(order) => self.on_order(Origin::Link(link), *order, now, out),
            Message::BeatReply { .. }
            | Message::MoveGrant { .. }
            | Message::CallOutcome(..)
            | Message::AtMostOnceOutcome(..) => {}
        }
    }
}
