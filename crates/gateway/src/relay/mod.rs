//! The source of the node's updates: the store, or another node that reads the store.
//!
//! One task, the relay, sits between the reader of the store and the hub. [`SourceSelector`] decides which
//! source is used; the relay executes its actions, and forwards updates to the hub and to the followers of
//! this node.

mod link;
mod mirror;

use std::rc::Rc;
use std::time::Duration;

use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep_until;
use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{Stream, StreamExt};
use monsoondeal_core::{Clock, Time};
use monsoondeal_edge::{Name, Peer};
use monsoondeal_member::{
    FleetNode, SourceAction, SourceSelector, SourceTiming, StoreContact, store_role,
};
use monsoondeal_node::accept::Acceptor;
use monsoondeal_node::frame;

use crate::event::{Event, EventSender, ReaderMode, ReaderModeSender, Update, send};
use link::FrameSender;
use mirror::Mirror;

/// Maximum number of events handled before updates are sent to followers.
const EVENT_BATCH: usize = 256;
/// Longest time between two checks of timers.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// An event for the relay.
pub(crate) enum RelayEvent {
    /// An update that was read from the store.
    StoreUpdate(Update),
    /// Updates of the source with this id; an empty list is a heartbeat.
    SourceUpdates(u64, Vec<Update>),
    /// The connection to the source with this id ended.
    SourceDisconnected(u64),
    /// A node connected to follow this one.
    FollowerConnected(FrameSender),
}

/// Sender of events to the relay.
pub(crate) type RelaySender = mpsc::UnboundedSender<RelayEvent>;

/// A node that follows this one.
struct Follower {
    frames: FrameSender,
    /// Whether the follower has been sent a snapshot. From then on it is sent changes.
    is_current: bool,
}

/// `Relay` receives updates from the selected source and forwards them to the hub and the followers.
pub(crate) struct Relay {
    vm: Name,
    selector: SourceSelector,
    mirror: Mirror,
    clock: Clock,
    followers: Vec<Follower>,
    /// When the next heartbeat is due; `Time::MAX` without followers.
    next_heartbeat: Time,
    /// Updates not sent yet to followers that have the snapshot.
    pending: Vec<Update>,
    contact: StoreContact,
    /// Longest time between two messages to a follower.
    heartbeat_interval: Duration,
    /// The task that follows the source node. Dropping it closes the connection.
    source_task: Option<JoinHandle<()>>,
    /// Identity of the current source; events with an older one are ignored.
    source_id: u64,
    reader_mode: ReaderMode,
    mode_sender: ReaderModeSender,
    relay_events: RelaySender,
    events: EventSender,
}

impl Relay {
    /// Starts the relay, for at most `max_followers` followers at a time. `updates` are those read from the store,
    /// `mode_sender` turns the reader of the store on and off.
    pub(crate) fn start(
        vm: &str,
        timing: SourceTiming,
        (acceptor, max_followers): (Acceptor, usize),
        updates: mpsc::UnboundedReceiver<Update>,
        mode_sender: ReaderModeSender,
        events: EventSender,
    ) {
        let (relay_events, inbox) = mpsc::unbounded();
        let listening = link::listen(acceptor, max_followers, relay_events.clone());
        spawn(listening).detach();
        let relay = Self {
            vm: Name::from(vm),
            selector: SourceSelector::new(timing),
            mirror: Mirror::default(),
            clock: Clock::start(),
            followers: Vec::new(),
            next_heartbeat: Time::MAX,
            pending: Vec::new(),
            contact: StoreContact::new(timing),
            heartbeat_interval: timing.heartbeat(),
            source_task: None,
            source_id: 0,
            reader_mode: ReaderMode::Off,
            mode_sender,
            relay_events,
            events,
        };
        let updates = updates.map(RelayEvent::StoreUpdate);
        spawn(relay.run(futures_util::stream::select(updates, inbox))).detach();
    }

    async fn run<S>(mut self, inbox: S)
    where
        S: Stream<Item = RelayEvent> + Unpin,
    {
        let mut inbox = inbox.ready_chunks(EVENT_BATCH);
        loop {
            let wake = self.selector.next_wake().unwrap_or(Time::MAX);
            let wake = wake.min(self.next_heartbeat).min(self.contact_end());
            let wake = wake.min(self.clock.now() + MAX_WAIT);
            let timer = std::pin::pin!(sleep_until(self.clock.instant(wake)));
            match select(inbox.next(), timer).await {
                Either::Left((Some(events), _)) => {
                    events.into_iter().for_each(|event| self.on_event(event));
                }
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
            self.step(|selector, now, out| selector.tick(now, out));
            self.flush_pending();
            self.check_contact();
            self.send_heartbeat();
        }
    }

    fn on_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::StoreUpdate(update) => self.on_store_update(update),
            RelayEvent::SourceUpdates(id, updates) if id == self.source_id => {
                self.step(|selector, now, out| selector.on_message(now, out));
                for update in updates {
                    self.apply_update(update);
                }
            }
            RelayEvent::SourceDisconnected(id) if id == self.source_id => {
                log::warn!("the node that is followed was lost");
                self.step(|selector, now, out| selector.on_disconnect(now, out));
            }
            RelayEvent::SourceUpdates(..) | RelayEvent::SourceDisconnected(_) => {}
            RelayEvent::FollowerConnected(frames) => self.on_follower(frames),
        }
    }

    fn on_store_update(&mut self, update: Update) {
        match update {
            Update::StoreReachable(true) => {
                self.step(|selector, now, out| selector.set_store_reachable(true, now, out));
                self.contact.answered(self.clock.now());
                self.send_snapshots();
            }
            Update::StoreReachable(false) => {
                self.contact.lost();
                self.drop_followers("the store is unreachable");
                self.step(|selector, now, out| selector.set_store_reachable(false, now, out));
            }
            // Each node reads its settings and the first list of nodes itself.
            Update::Settings(_) | Update::Peers(_) => self.apply_update(update),
            // The configuration tells the followers, in a form that earlier programs read.
            Update::StoreRestored(era) => {
                if let Some(config) = self.mirror.restored_config(era) {
                    self.apply_update(Update::Config(Rc::new(config)));
                }
            }
            // Ignores what was read before this node began to follow another one.
            _ if self.selector.is_following() => {}
            update => self.apply_update(update),
        }
    }

    /// Applies an update and forwards it to the hub and the followers.
    fn apply_update(&mut self, mut update: Update) {
        let now = self.clock.now();
        if let Update::Peers(peers) = &mut update {
            self.mirror.add_known_peers(peers);
        }
        self.mirror.apply(&update, now);
        if let Update::Peers(peers) = &update {
            let role = store_role(&self.vm, peers.iter().map(fleet_node));
            self.step(|selector, now, out| selector.set_role(role, now, out));
        }
        if !matches!(update, Update::Settings(_)) {
            self.pending.push(update.clone());
        }
        send(&self.events, Event::Update(update));
    }

    fn on_follower(&mut self, frames: FrameSender) {
        if !self.selector.is_reading() || !self.contact.accepts_followers(self.clock.now()) {
            // Dropping the sender closes the connection, and the follower tries another source.
            return;
        }
        self.followers.push(Follower {
            frames,
            is_current: false,
        });
        self.next_heartbeat = self
            .next_heartbeat
            .min(self.clock.now() + self.heartbeat_interval);
        self.send_snapshots();
    }

    /// Returns whether this node's state is recent enough for followers.
    fn is_reliable(&self) -> bool {
        self.selector.is_reading() && self.contact.is_recent(self.clock.now())
    }

    /// Returns when the followers are dropped unless the store answers before; `Time::MAX` without any.
    fn contact_end(&self) -> Time {
        let is_followed = self.followers.iter().any(|follower| follower.is_current);
        let end = self.contact.ends_at().filter(|_| is_followed);
        end.unwrap_or(Time::MAX)
    }

    /// Drops the followers if this node's state may be outdated.
    fn check_contact(&mut self) {
        if self.clock.now() >= self.contact_end() {
            self.contact.lost();
            self.drop_followers("the store has not answered for too long");
        }
    }

    /// Sends a snapshot to followers that have none.
    fn send_snapshots(&mut self) {
        if self.followers.iter().all(|follower| follower.is_current) || !self.is_reliable() {
            return;
        }
        let Some(snapshot) = self.mirror.snapshot(self.clock.now()) else {
            return;
        };
        // The snapshot includes pending updates: flush them first, so that new followers don't get them twice.
        self.flush_pending();
        let Some(frame) = frame::encode(&[snapshot]) else {
            return;
        };
        for follower in &mut self.followers {
            if !follower.is_current {
                follower.is_current = follower.frames.try_send(frame.clone()).is_ok();
            }
        }
    }

    /// Sends pending updates to the followers.
    fn flush_pending(&mut self) {
        let updates = std::mem::take(&mut self.pending);
        if !updates.is_empty() {
            self.send_frame(&updates);
        }
    }

    /// Sends updates to the followers that have the snapshot; an empty list is a heartbeat.
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

    /// Sends heartbeats that are due.
    fn send_heartbeat(&mut self) {
        let now = self.clock.now();
        if now < self.next_heartbeat {
            return;
        }
        self.send_frame(&[]);
        self.followers
            .retain(|follower| !follower.frames.is_closed());
        if self.followers.is_empty() {
            self.next_heartbeat = Time::MAX;
        } else {
            self.next_heartbeat = now + self.heartbeat_interval;
        }
    }

    fn drop_followers(&mut self, cause: &str) {
        if !self.followers.is_empty() {
            log::warn!(followers = self.followers.len(); "no longer followed: {cause}");
        }
        self.followers.clear();
    }

    /// Passes an input to the source selector, and executes the resulting actions.
    fn step<F>(&mut self, act: F)
    where
        F: FnOnce(&mut SourceSelector, Time, &mut Vec<SourceAction>),
    {
        let mut out = Vec::new();
        act(&mut self.selector, self.clock.now(), &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: SourceAction) {
        match action {
            SourceAction::StartReading => {
                log::info!("reading the store");
                self.mirror.clear();
                self.contact.reset();
                self.set_reader_mode(ReaderMode::On);
            }
            SourceAction::StartProbing => {
                log::info!("waiting for the store or a node to follow");
                self.set_reader_mode(ReaderMode::Probe);
            }
            SourceAction::StopReading => {
                log::info!("leaving the store to the node that is followed");
                self.drop_followers("this node follows another one");
                self.contact.reset();
                self.set_reader_mode(ReaderMode::Off);
            }
            SourceAction::Connect(addr) => {
                log::info!(addr:% = addr; "following a node");
                self.source_id += 1;
                let task = link::follow(addr, self.source_id, self.relay_events.clone());
                self.source_task = Some(spawn(task));
            }
            SourceAction::Disconnect => {
                self.source_id += 1;
                self.source_task = None;
            }
        }
    }

    fn set_reader_mode(&mut self, mode: ReaderMode) {
        if self.reader_mode == mode {
            return;
        }
        self.reader_mode = mode;
        if self.mode_sender.unbounded_send(mode).is_err() {
            log::error!("cannot switch the reader of the store: its task has ended");
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
