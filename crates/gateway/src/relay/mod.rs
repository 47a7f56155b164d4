//! Where the node's updates come from: the store, or another node that reads it.
//!
//! One task, the relay, stands between the reader of the store and the hub. Which of the two sources
//! is used is decided by [`SourceSelector`]; the relay carries it out, and passes updates on to the nodes that
//! follow this one.

mod link;
mod mirror;

use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep_until;
use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{Stream, StreamExt};
use monsoondeal_core::{Clock, Time};
use monsoondeal_edge::{Name, Peer};
use monsoondeal_member::{FleetNode, SourceAction, SourceSelector, store_role};
use monsoondeal_node::frame;

use crate::event::{Event, EventSender, ReaderMode, ReaderModeSender, Update, send};
use link::FrameSender;
use mirror::Mirror;

/// Time between two messages to a follower, at most.
const BEAT_TIME: Duration = Duration::from_millis(400);
/// Age of the last sign of life of the store from which on others must not rely on this node.
const CONTACT_LIMIT: Duration = Duration::from_millis(2_500);

/// Most events handled before updates are passed on.
const EVENT_BATCH: usize = 256;
/// Longest time without a look at timers.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// An event for the relay.
pub(crate) enum RelayEvent {
    /// An update that was read from the store.
    Read(Update),
    /// Updates of the node that is followed; none is a sign of life.
    Heard(u64, Vec<Update>),
    /// The connection to the node that is followed ended.
    LinkEnded(u64),
    /// A node that wants to follow this one.
    Follower(FrameSender),
}

/// Sender of events to the relay.
pub(crate) type RelaySender = mpsc::UnboundedSender<RelayEvent>;

/// A node that follows this one.
struct Follower {
    frames: FrameSender,
    /// Whether it has been sent all that is known. It gets changes from then on.
    is_current: bool,
}

/// `Relay` owns the choice of the source and the followers.
pub(crate) struct Relay {
    vm: Name,
    follow: SourceSelector,
    mirror: Mirror,
    clock: Clock,
    followers: Vec<Follower>,
    beat_at: Time,
    /// Updates that current followers have not been sent.
    pending: Vec<Update>,
    /// When the store last gave a sign of life.
    contact_at: Option<Time>,
    /// The task that follows a node, and the mark of its events. Dropping it closes the connection.
    link: Option<JoinHandle<()>>,
    link_mark: u64,
    wanted: ReaderMode,
    reading: ReaderModeSender,
    relay_events: RelaySender,
    events: EventSender,
}

impl Relay {
    /// Starts the relay. `updates` are those read from the store, `reading` takes what is wanted of it.
    pub(crate) fn start(
        vm: &str,
        listener: TcpListener,
        updates: mpsc::UnboundedReceiver<Update>,
        reading: ReaderModeSender,
        events: EventSender,
    ) {
        let (relay_events, inbox) = mpsc::unbounded();
        spawn(link::listen(listener, relay_events.clone())).detach();
        let relay = Self {
            vm: Name::from(vm),
            follow: SourceSelector::default(),
            mirror: Mirror::default(),
            clock: Clock::start(),
            followers: Vec::new(),
            beat_at: Time::MAX,
            pending: Vec::new(),
            contact_at: None,
            link: None,
            link_mark: 0,
            wanted: ReaderMode::Off,
            reading,
            relay_events,
            events,
        };
        let updates = updates.map(RelayEvent::Read);
        spawn(relay.run(futures_util::stream::select(updates, inbox))).detach();
    }

    async fn run<S>(mut self, inbox: S)
    where
        S: Stream<Item = RelayEvent> + Unpin,
    {
        let mut inbox = inbox.ready_chunks(EVENT_BATCH);
        loop {
            let wake = self.follow.next_wake().unwrap_or(Time::MAX);
            let wake = wake.min(self.beat_at);
            let wake = wake.min(self.clock.now() + LONGEST_WAIT);
            let timer = std::pin::pin!(sleep_until(self.clock.instant(wake)));
            match select(inbox.next(), timer).await {
                Either::Left((Some(events), _)) => {
                    events.into_iter().for_each(|event| self.on_event(event));
                }
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
            self.step(|follow, now, out| follow.tick(now, out));
            self.pass_on();
            self.beat();
        }
    }

    fn on_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Read(update) => self.on_read(update),
            RelayEvent::Heard(mark, updates) if mark == self.link_mark => {
                self.step(|follow, now, out| follow.on_message(now, out));
                for update in updates {
                    self.learn(update);
                }
            }
            RelayEvent::LinkEnded(mark) if mark == self.link_mark => {
                log::warn!("the node that is followed was lost");
                self.step(|follow, now, out| follow.on_disconnect(now, out));
            }
            RelayEvent::Heard(..) | RelayEvent::LinkEnded(_) => {}
            RelayEvent::Follower(frames) => self.on_follower(frames),
        }
    }

    fn on_read(&mut self, update: Update) {
        match update {
            Update::StoreReachable(true) => {
                self.step(|follow, now, out| follow.set_store_reachable(true, now, out));
                self.contact_at = Some(self.clock.now());
                self.bring_up_to_date();
            }
            Update::StoreReachable(false) => {
                self.contact_at = None;
                self.drop_followers("the store gave no sign of life");
                self.step(|follow, now, out| follow.set_store_reachable(false, now, out));
            }
            // The settings and the first list of nodes are this node's own.
            Update::Settings(_) | Update::Peers(_) => self.learn(update),
            // Read before this node began to follow another one.
            _ if self.follow.is_following() => {}
            update => self.learn(update),
        }
    }

    /// Applies an update and passes it on.
    fn learn(&mut self, update: Update) {
        let now = self.clock.now();
        self.mirror.apply(&update, now);
        if let Update::Peers(peers) = &update {
            let role = store_role(&self.vm, peers.iter().map(fleet_node));
            self.step(|follow, now, out| follow.set_role(role, now, out));
        }
        if !matches!(update, Update::Settings(_)) {
            self.pending.push(update.clone());
        }
        send(&self.events, Event::Update(update));
    }

    fn on_follower(&mut self, frames: FrameSender) {
        if !self.follow.is_reading() {
            // Dropping the sender closes the connection: the node looks for another one.
            return;
        }
        self.followers.push(Follower {
            frames,
            is_current: false,
        });
        self.beat_at = self.beat_at.min(self.clock.now() + BEAT_TIME);
        self.bring_up_to_date();
    }

    /// Returns whether other nodes may rely on what this one knows.
    fn is_reliable(&self) -> bool {
        let now = self.clock.now();
        self.follow.is_reading()
            && self
                .contact_at
                .is_some_and(|at| now.since(at) < CONTACT_LIMIT)
    }

    /// Sends all that is known to followers that have not got it.
    fn bring_up_to_date(&mut self) {
        if self.followers.iter().all(|follower| follower.is_current) || !self.is_reliable() {
            return;
        }
        let Some(snapshot) = self.mirror.snapshot(self.clock.now()) else {
            return;
        };
        // The snapshot holds what is pending.
        self.pass_on();
        let Some(frame) = frame::encode(&[snapshot]) else {
            return;
        };
        for follower in &mut self.followers {
            if !follower.is_current {
                follower.is_current = follower.frames.try_send(frame.clone()).is_ok();
            }
        }
    }

    /// Sends what is pending to the followers.
    fn pass_on(&mut self) {
        let updates = std::mem::take(&mut self.pending);
        if !updates.is_empty() {
            self.send_frame(&updates);
        }
    }

    /// Sends updates to the followers; none is a sign of life.
    fn send_frame(&mut self, updates: &[Update]) {
        if !self.followers.iter().any(|follower| follower.is_current) {
            return;
        }
        let Some(frame) = frame::encode(&[updates]) else {
            return;
        };
        self.followers.retain_mut(|follower| {
            !follower.is_current || follower.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends signs of life while the node can be relied on.
    fn beat(&mut self) {
        let now = self.clock.now();
        if now < self.beat_at {
            return;
        }
        let is_current = self.followers.iter().any(|follower| follower.is_current);
        if is_current && !self.is_reliable() {
            self.drop_followers("the store has been silent for too long");
        }
        self.send_frame(&[]);
        self.followers
            .retain(|follower| !follower.frames.is_closed());
        if self.followers.is_empty() {
            self.beat_at = Time::MAX;
        } else {
            self.beat_at = now + BEAT_TIME;
        }
    }

    fn drop_followers(&mut self, cause: &str) {
        if !self.followers.is_empty() {
            log::warn!(followers = self.followers.len(); "no longer followed: {cause}");
        }
        self.followers.clear();
    }

    fn step<F>(&mut self, act: F)
    where
        F: FnOnce(&mut SourceSelector, Time, &mut Vec<SourceAction>),
    {
        let mut out = Vec::new();
        act(&mut self.follow, self.clock.now(), &mut out);
        for step in out {
            self.carry_out(step);
        }
    }

    fn carry_out(&mut self, step: SourceAction) {
        match step {
            SourceAction::StartReading => {
                log::info!("reading the store");
                self.mirror.clear();
                self.want(ReaderMode::On);
            }
            SourceAction::StopReading => {
                log::info!("leaving the store to the node that is followed");
                self.drop_followers("another node is followed");
                self.contact_at = None;
                self.want(ReaderMode::Off);
            }
            SourceAction::Connect(addr) => {
                log::info!(addr:% = addr; "following a node");
                self.link_mark += 1;
                let following = link::follow(addr, self.link_mark, self.relay_events.clone());
                self.link = Some(spawn(following));
            }
            SourceAction::Disconnect => {
                self.link_mark += 1;
                self.link = None;
            }
        }
    }

    fn want(&mut self, reading: ReaderMode) {
        if self.wanted == reading {
            return;
        }
        self.wanted = reading;
        if self.reading.unbounded_send(reading).is_err() {
            log::error!("nobody reads the store");
        }
    }
}

fn fleet_node(peer: &Peer) -> FleetNode<'_> {
    FleetNode {
        name: &peer.name,
        domain: &peer.domain,
        cores: peer.cores,
        addr: peer.updates,
    }
}
