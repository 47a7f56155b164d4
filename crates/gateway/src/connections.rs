//! Open connections of a listener: how many there may be, and which are closed to make room for others.
//!
//! Load pattern: the other nodes are lost, and all callers connect to the last one and keep their connections. Without
//! a bound the connections use up the process's descriptors, and neither calls to leafs nor those to the store can be
//! made.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Add;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use monsoondeal_edge::Limits;
use monsoondeal_node::accept::LogThrottle;

/// Part of the process's descriptors for the connections of callers. What the parts leave, and what callers and nodes
/// do not use of theirs, is for calls to leafs and to the store.
const CALLERS_PART: f64 = 0.5;
/// Part for connections of nodes that ask for segments of queries.
const PEERS_PART: f64 = 0.25;
/// Part for connections of followers.
const FOLLOWERS_PART: f64 = 0.06;
/// Part for connections of each listener that serves pages: readiness, and metrics.
const PAGES_PART: f64 = 0.03;
/// Part of a listener's connections from which on responses close theirs.
const KEEP_PART: f64 = 0.75;
/// Fewest connections of a listener.
const MIN_CONNECTIONS: usize = 8;
/// Part of a listener's connections that are closed together, as finding the ones that have been idle for longest
/// means looking at all.
const BATCH_PART: f64 = 0.02;

/// `ConnectionShares` divides the descriptors of a process among its listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionShares {
    pub(crate) callers: usize,
    pub(crate) peers: usize,
    pub(crate) followers: usize,
    pub(crate) pages: usize,
}

impl ConnectionShares {
    /// Divides `descriptors`.
    pub(crate) fn new(descriptors: usize) -> Self {
        let part = |part: f64| ((descriptors as f64 * part) as usize).max(MIN_CONNECTIONS);
        Self {
            callers: part(CALLERS_PART),
            peers: part(PEERS_PART),
            followers: part(FOLLOWERS_PART),
            pages: part(PAGES_PART),
        }
    }
}

/// What a connection is doing. Those further up are closed first to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No byte of the next request has arrived.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request is being served. The connection is not closed.
    Serving,
}

/// `Activity` is what a connection is doing, for its timeouts.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Whether no request has been read yet.
    is_new: Cell<bool>,
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            is_new: Cell::new(true),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
        }
    }
}

impl Activity {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Records that bytes have been read.
    pub(crate) fn on_read(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    /// Records that the head of a request has been read, and returns whether the request is the first one.
    pub(crate) fn on_head(&self) -> bool {
        self.enter(Phase::Body);
        self.is_new.replace(false)
    }

    /// Records that a whole request has been read.
    pub(crate) fn on_request(&self) {
        self.enter(Phase::Serving);
    }

    /// Records that a response is ready.
    pub(crate) fn on_response(&self) {
        self.enter(Phase::Idle);
    }

    /// Returns whether a request has been read in part.
    pub(crate) fn is_reading(&self) -> bool {
        matches!(self.phase.get(), Phase::Head | Phase::Body)
    }

    /// Returns whether the last response has been ready for some time, and no byte of another request has arrived.
    pub(crate) fn is_idle_for(&self, span: Duration) -> bool {
        self.phase.get() == Phase::Idle && self.since.get().elapsed() >= span
    }

    /// Returns whether the connection has carried no byte yet.
    pub(crate) fn is_unused(&self) -> bool {
        self.is_new.get() && self.phase.get() == Phase::Idle
    }

    /// Returns whether the connection has been idle, or slow to send a head, for too long.
    pub(crate) fn is_expired(&self, limits: &Limits) -> bool {
        let elapsed = self.since.get().elapsed();
        match self.phase.get() {
            Phase::Idle => elapsed > limits.idle_timeout,
            Phase::Head => elapsed > limits.head_timeout,
            Phase::Body | Phase::Serving => false,
        }
    }
}

/// A connection of the table.
#[derive(Debug)]
struct OpenConnection {
    activity: Rc<Activity>,
    /// Asks the connection's task to close it; `None` once that has been done.
    close: Option<oneshot::Sender<()>>,
}

/// `RoomCounts` count what was done to make room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RoomCounts {
    /// Connections closed to make room for others.
    pub(crate) closed: u64,
    /// Connections closed unread, as there was no room for them.
    pub(crate) turned_away: u64,
}

impl Add for RoomCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            closed: self.closed + other.closed,
            turned_away: self.turned_away + other.turned_away,
        }
    }
}

/// `ConnectionTable` holds the open connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    /// Purpose of the listener, for the log.
    purpose: &'static str,
    limit: usize,
    /// By the order in which they were opened.
    open: RefCell<BTreeMap<u64, OpenConnection>>,
    /// Number of those that have been asked to close.
    closing: Cell<usize>,
    next_id: Cell<u64>,
    counts: Cell<RoomCounts>,
    throttle: RefCell<LogThrottle>,
}

impl ConnectionTable {
    /// Creates a table for at most `limit` connections.
    pub(crate) fn new(purpose: &'static str, limit: usize) -> Rc<Self> {
        Rc::new(Self {
            purpose,
            limit,
            open: RefCell::default(),
            closing: Cell::new(0),
            next_id: Cell::new(0),
            counts: Cell::default(),
            throttle: RefCell::default(),
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub(crate) fn counts(&self) -> RoomCounts {
        self.counts.get()
    }

    /// Returns the number of connections that go on.
    fn staying(&self) -> usize {
        self.len() - self.closing.get()
    }

    /// Returns whether there are so many connections that a response should close its own.
    pub(crate) fn is_crowded(&self) -> bool {
        self.staying() as f64 >= self.limit as f64 * KEEP_PART
    }

    /// Admits a new connection. Others that have no request under way are closed for it if there are too many, those
    /// first that have been idle for longest. Returns `None` if all have one: then the connection is to be closed.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<Admission> {
        if self.staying() >= self.limit && self.make_room() == 0 {
            let mut counts = self.counts.get();
            counts.turned_away += 1;
            self.counts.set(counts);
            self.log("connection closed unread: all others have requests under way");
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let activity = Rc::new(Activity::default());
        let (close, closing) = oneshot::channel();
        let connection = OpenConnection {
            activity: activity.clone(),
            close: Some(close),
        };
        self.open.borrow_mut().insert(id, connection);
        let slot = Slot {
            id,
            table: self.clone(),
        };
        Some(Admission {
            activity,
            closing,
            _slot: slot,
        })
    }

    /// Closes some connections that have no request under way. Returns their number.
    pub(crate) fn make_room(&self) -> usize {
        let batch = ((self.limit as f64 * BATCH_PART) as usize).max(1);
        let mut open = self.open.borrow_mut();
        let mut candidates: Vec<_> = open
            .values_mut()
            .filter(|connection| connection.close.is_some())
            .map(|connection| (connection.activity.phase.get(), connection))
            .filter(|(phase, _)| *phase != Phase::Serving)
            .collect();
        candidates.sort_by_key(|(phase, connection)| (*phase, connection.activity.since.get()));
        let mut closed = 0;
        for (_, connection) in candidates.into_iter().take(batch) {
            if let Some(close) = connection.close.take() {
                // Fails only if the connection has just ended by itself.
                let _ = close.send(());
                closed += 1;
            }
        }
        drop(open);
        self.closing.set(self.closing.get() + closed);
        if closed > 0 {
            let mut counts = self.counts.get();
            counts.closed += closed as u64;
            self.counts.set(counts);
            self.log("connections closed to make room");
        }
        closed
    }

    fn log(&self, what: &'static str) {
        if self.throttle.borrow_mut().count().is_some() {
            let RoomCounts {
                closed,
                turned_away,
            } = self.counts.get();
            log::warn!(
                listener = self.purpose, open = self.len(), limit = self.limit, closed, turned_away;
                "{what}"
            );
        }
    }
}

/// `Admission` is the place of an open connection in its table.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) activity: Rc<Activity>,
    /// Resolves when the connection is to be closed for others.
    pub(crate) closing: oneshot::Receiver<()>,
    /// Held as long as the connection is open.
    pub(crate) _slot: Slot,
}

/// Frees the place of a connection when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    id: u64,
    table: Rc<ConnectionTable>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let table = &self.table;
        let removed = table.open.borrow_mut().remove(&self.id);
        if removed.is_some_and(|connection| connection.close.is_none()) {
            table.closing.set(table.closing.get() - 1);
        }
    }
}
