//! The engine and the dispatch of its inputs.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use monsoondeal_core::{FixedMap, Time};
use monsoondeal_member::Cell;

use crate::control::{Config, Control};
use crate::counts::Counts;
use crate::entry::Entry;
use crate::event::{Local, Origin, Timer};
use crate::holder::Holder;
use crate::home::Home;
use crate::io::{Input, LinkId, Output};
use crate::links::{Link, Peer};
use crate::message::Message;
use crate::placement::Seats;
use crate::roles::Roles;
use crate::settings::EngineSettings;
use crate::shift::Moving;
use crate::timers::Timers;

/// `Engine` is one node of the query tier.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) cell: Cell,
    pub(crate) config: Config,
    pub(crate) seats: Seats,
    pub(crate) control: Control,
    pub(crate) roles: Roles,
    /// Version moves by service.
    pub(crate) moves: BTreeMap<String, Moving>,
    /// Peers that this node connects to.
    pub(crate) peers: FixedMap<SocketAddr, Peer>,
    pub(crate) links: FixedMap<LinkId, Link>,
    pub(crate) entry: Entry,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
    pub(crate) timers: Timers<Timer>,
    /// Events between parts. Invariant: empty between two inputs.
    pub(crate) local: VecDeque<Local>,
    pub(crate) counts: Counts,
}

impl Engine {
    /// Creates an engine. Its first outputs come with the first [`Input::Tick`].
    pub fn new(settings: EngineSettings) -> Self {
        let cell = Cell::new(settings.spans, settings.me.clone());
        let entry = Entry::new(&settings);
        let mut timers = Timers::default();
        timers.set(Timer::Control, Time::default());
        timers.set(Timer::Beat, Time::default());
        Self {
            cell,
            entry,
            timers,
            settings,
            config: Config::default(),
            seats: Seats::default(),
            control: Control::default(),
            roles: Roles::default(),
            moves: BTreeMap::new(),
            peers: FixedMap::default(),
            links: FixedMap::default(),
            holder: Holder::default(),
            home: Home::default(),
            local: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Handles an input and all that is due.
    pub fn handle(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        self.note_pause(now);
        self.dispatch(input, now, out);
        self.settle_locals(now, out);
        while let Some(timer) = self.timers.pop(now) {
            self.on_timer(timer, now, out);
            self.settle_locals(now, out);
        }
        self.check_drained(out);
        self.check_stopped(out);
    }

    /// Returns when [`Input::Tick`] is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the view of the cell.
    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    fn dispatch(&mut self, input: Input, now: Time, out: &mut Vec<Output>) {
        match input {
            Input::Request(request) => self.on_request(request, now, out),
            Input::Gone(token) => self.on_gone(token, out),
            Input::PeerUp(addr) => self.on_peer_up(addr, now, out),
            Input::PeerDown(addr) => self.on_peer_down(addr, now, out),
            Input::FromPeer(addr, message) => self.on_peer_message(addr, message, now, out),
            Input::FromLink(link, message) => self.on_link_message(link, message, now, out),
            Input::LinkDown(link) => self.on_link_down(link),
            Input::LeafClosed(leaf) => self.on_leaf_closed(leaf, now),
            Input::LeafDone(ticket, end) => self.on_leaf_done(ticket, end, now, out),
            Input::Object { key, object, asked } => self.on_object(&key, object, asked, now, out),
            Input::ReadFailed(_) => self.note_contact(false, now),
            Input::Written(key) => self.on_written(&key, out),
            Input::Stop => self.on_stop(now, out),
            Input::Tick => {}
        }
    }

    fn on_timer(&mut self, timer: Timer, now: Time, out: &mut Vec<Output>) {
        match timer {
            Timer::Beat => self.on_beat_timer(now, out),
            Timer::Control => self.on_control_timer(now, out),
            Timer::Query(id) => self.on_query_timer(id, now, out),
            Timer::Gate(leaf) => self.pump(leaf, now, out),
            Timer::Order(call) => self.on_order_timer(call, now, out),
        }
    }

    fn settle_locals(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(local) = self.local.pop_front() {
            match local {
                Local::Call(call) => self.on_call(Origin::Local, *call, now, out),
                Local::Cancel(call) => self.on_cancel(Origin::Local, call),
                Local::CallEnd(call, end) => self.on_call_end(call, end, now, out),
                Local::Order(order) => self.on_order(Origin::Local, *order, now, out),
                Local::OrderEnd(call, end) => self.on_order_end(call, end, now, out),
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
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.heard = Some(now);
        }
        match message {
            Message::BeatReply {
                node,
                asked,
                said,
                versions,
            } => {
                self.cell
                    .on_heartbeat(node, Some(Time::from_micros(asked)), said, now);
                self.compare_versions(addr, versions, now, out);
            }
            Message::State(state) => self.on_state(*state, now, out),
            Message::MoveGrant {
                service,
                asked,
                share,
            } => {
                self.on_move_grant(&service, asked, share);
            }
            Message::CallEnd(call, end) if self.entry.was_sent_to(call, addr) => {
                self.on_call_end(call, end, now, out);
            }
            Message::OrderEnd(call, end) if self.entry.order_was_sent_to(call, addr) => {
                self.on_order_end(call, end, now, out);
            }
            // Ends of calls that were sent elsewhere, and requests on the wrong connection.
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
            Message::Hello { node, .. } => self.on_hello(link, node),
            Message::MoveReport(report) => {
                if let Some(node) = self.link_node(link) {
                    self.on_move_report(Origin::Link(link), node, *report, now, out);
                }
            }
            Message::MoveStop(service) => {
                if let Some(node) = self.link_node(link) {
                    self.on_move_stop(&service, node, now, out);
                }
            }
            Message::Beat { sent, .. } => self.on_beat(link, sent, now, out),
            Message::Fetch => self.send_state(link, out),
            Message::State(state) => self.on_state(*state, now, out),
            Message::Keys(keys) => self.on_move(keys.epoch, Message::Keys(keys), now),
            Message::Warm { epoch, leafs } => {
                self.on_move(epoch, Message::Warm { epoch, leafs }, now);
            }
            Message::Call(call) => self.on_call(Origin::Link(link), *call, now, out),
            Message::Cancel(call) => self.on_cancel(Origin::Link(link), call),
            Message::Order(order) => self.on_order(Origin::Link(link), *order, now, out),
            Message::BeatReply { .. }
            | Message::MoveGrant { .. }
            | Message::CallEnd(..)
            | Message::OrderEnd(..) => {}
        }
    }
}
