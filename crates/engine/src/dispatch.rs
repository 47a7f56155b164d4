//! Routing of inputs, timers and messages to the components of an engine.

use std::net::SocketAddr;

use monsoondeal_core::Time;

use crate::engine::Engine;
use crate::event::{LocalEvent, Origin, Timer};
use crate::io::{Input, LinkId, Output};
use crate::message::Message;
use crate::transfers::Transfer;

impl Engine {
    /// Handles an input, and all timers that are due at `now`. Appends the resulting actions to `out`.
    pub fn handle(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        self.pause_detector.record_input(now);
        self.dispatch(input, now, out);
        self.handle_local_events(now, out);
        while let Some(timer) = self.cx.timers.pop_due(now) {
            self.on_timer(timer, now, out);
            self.handle_local_events(now, out);
        }
        self.check_drained(out);
        self.check_stopped(out);
    }

    fn dispatch(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        match input {
            Input::Request(request) => self.on_request(request, now, out),
            Input::CallerGone(token) => self.on_caller_gone(token, out),
            Input::PeerUp(addr) => self.on_peer_up(addr, now, out),
            Input::PeerDown(addr) => self.on_peer_down(addr, now, out),
            Input::FromPeer(addr, message) => self.on_peer_message(addr, message, now, out),
            Input::FromLink(link, message) => self.on_link_message(link, message, now, out),
            Input::LinkDown(link) => {
                self.cx.links.remove(&link);
            }
            Input::LeafClosed(leaf) => self.holder.on_leaf_closed(leaf, now),
            Input::LeafCallEnded(id, outcome) => {
                self.holder
                    .on_leaf_call_ended(&mut self.cx, id, outcome, now, out)
            }
            Input::Object { key, object, sent } => self.on_object(&key, object, sent, now, out),
            Input::ReadFailed(_) => self.roles.record_contact(&mut self.cx, false, now),
            Input::WriteEnded(key) => self.on_write_ended(&key, out),
            Input::Stop => self.on_stop(now, out),
            Input::Tick => {}
        }
    }

    fn on_timer(&mut self, timer: Timer, now: Time, out: &mut Vec<Output>) {
        match timer {
            Timer::Heartbeat => self.cx.on_heartbeat_timer(now, out),
            Timer::Maintenance => self.on_maintenance_timer(now, out),
            Timer::Query(id) => self.on_query_timer(id, now, out),
            Timer::LeafLimiter(leaf) => self.holder.poll_limiter(&mut self.cx, leaf, now, out),
            Timer::AtMostOnce(call) => self.on_at_most_once_timer(call, now, out),
        }
    }

    fn handle_local_events(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(event) = self.cx.local_events.pop_front() {
            match event {
                LocalEvent::Call(call) => {
                    self.holder
                        .on_call(&mut self.cx, Origin::Local, *call, now, out)
                }
                LocalEvent::Cancel(call) => {
                    self.holder.on_cancel(&mut self.cx, Origin::Local, call)
                }
                LocalEvent::CallOutcome(call, outcome) => {
                    self.on_call_outcome(call, outcome, now, out)
                }
                LocalEvent::AtMostOnce(message) => {
                    self.on_at_most_once(Origin::Local, *message, now, out)
                }
                LocalEvent::AtMostOnceOutcome(call, outcome) => {
                    self.on_at_most_once_outcome(call, outcome, now, out)
                }
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
            peer.last_heard = Some(now);
        }
        match message {
            Message::HeartbeatReply {
                node,
                heartbeat_sent,
                state,
                versions,
            } => {
                self.cx.cell.on_heartbeat(
                    node,
                    Some(Time::from_micros(heartbeat_sent)),
                    state,
                    now,
                );
                self.fetch_if_behind(addr, versions, now, out);
            }
            Message::ConfigState(state) => self.on_config_state(*state, now, out),
            Message::MoveGrant {
                service,
                report_sent,
                share,
            } => {
                self.cx.on_move_grant(&service, report_sent, share);
            }
            Message::CallOutcome(call, outcome) if self.queries.was_sent_to(call, addr) => {
                self.on_call_outcome(call, outcome, now, out);
            }
            Message::AtMostOnceOutcome(call, outcome)
                if self.at_most_once.was_sent_to(call, addr) =>
            {
                self.on_at_most_once_outcome(call, outcome, now, out);
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
            Message::Heartbeat { sent, .. } => self.cx.on_heartbeat(link, sent, now, out),
            Message::FetchConfig => self.send_config_state(link, out),
            Message::ConfigState(state) => self.on_config_state(*state, now, out),
            Message::Keys(keys) => self.on_transfer(keys.epoch, Transfer::Keys(keys), now),
            Message::WarmLeafs { epoch, leafs } => {
                self.on_transfer(epoch, Transfer::WarmLeafs(leafs), now);
            }
            Message::Call(call) => {
                self.holder
                    .on_call(&mut self.cx, Origin::Link(link), *call, now, out)
            }
            Message::Cancel(call) => self
                .holder
                .on_cancel(&mut self.cx, Origin::Link(link), call),
            Message::AtMostOnce(message) => {
                self.on_at_most_once(Origin::Link(link), *message, now, out)
            }
            Message::HeartbeatReply { .. }
            | Message::MoveGrant { .. }
            | Message::CallOutcome(..)
            | Message::AtMostOnceOutcome(..) => {}
        }
    }
}
