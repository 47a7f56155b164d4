//! What tasks tell the hub.

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use hyper::{HeaderMap, Method, Uri};
use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{
    CallOutcome, Config, EdgeSettings, LeafEntry, MoveDecision, MoveOrder, MovePost, Name, Peer,
    Reply, SegmentCall, Token,
};
use monsoondeal_moves::PostingReply;

use serde::{Deserialize, Serialize};

use crate::leafs::Connection;

/// `Update` changes what the node believes of its surroundings.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Update {
    /// A version of the configuration.
    Config(Rc<Config>),
    /// The configuration told last is the newest one that the store holds.
    ConfigCurrent,
    /// All leafs, after which only changes are told.
    Leafs(Vec<LeafEntry>),
    /// A leaf that is new or says something new.
    Leaf(Box<LeafEntry>),
    /// A leaf whose entry vanished.
    LeafGone(Name),
    /// The registry of leafs was out of reach.
    RegistryLost,
    /// All failure domains that are closed.
    ClosedDomains(HashSet<Name>),
    /// Settings of the direct path, read again. They are each node's own.
    #[serde(skip)]
    Settings(EdgeSettings),
    /// All version moves that are asked for.
    Moves(Vec<MoveOrder>),
    /// All nodes that share the leafs, this one included.
    Peers(Vec<Peer>),
    /// Whether the store was heard of, and all kinds that it holds can be followed. It is each node's own
    /// view.
    #[serde(skip)]
    StoreReachable(bool),
}

/// `ReaderMode` says what the node wants of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderMode {
    /// Nothing: its updates come from another node.
    Off,
    /// All updates, and [`Update::StoreReachable`] with each sign of life of the store.
    On,
}

/// Sender of what is wanted of the store.
pub type ReaderModeSender = mpsc::UnboundedSender<ReaderMode>;

/// `MoveCommand` is what the node has to say or to ask about version moves.
#[derive(Debug)]
pub enum MoveCommand {
    /// Note a change of a move's state, however long the store is away.
    RecordDecision(MoveDecision),
    /// Write to the ledger of a move, and tell the answer once it is written. No answer is told if it may not
    /// have been written.
    Post(Box<MovePost>, oneshot::Sender<PostingReply>),
    /// Tell the orders as the store holds them now. No answer is told if they cannot be had.
    FetchOrders(oneshot::Sender<Vec<MoveOrder>>),
}

/// Sender of what there is to say or to ask about version moves.
pub type MoveCommandSender = mpsc::UnboundedSender<MoveCommand>;

/// Sender of updates.
pub type UpdateSender = mpsc::UnboundedSender<Update>;

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    pub(crate) token: Token,
    /// The caller's identity of this attempt.
    pub(crate) id: Bytes,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Header fields that go on to leafs.
    pub(crate) headers: HeaderMap,
    pub(crate) host: String,
    pub(crate) timeout: Option<std::time::Duration>,
    pub(crate) body: Bytes,
    /// Whether it is the first one on its connection.
    pub(crate) is_first: bool,
    /// Set if another node asks for a segment of a query.
    pub(crate) segment: Option<SegmentCall>,
}

/// A message to the hub.
#[derive(Debug)]
pub(crate) enum Event {
    Request(Box<InboundRequest>, oneshot::Sender<Reply>),
    /// The caller of a request has gone.
    CallerGone(Token),
    /// A call ended; its connection is returned if it can be used again.
    CallEnded(CallId, CallOutcome, Option<Connection>),
    Update(Update),
    /// The answer to a posting to the ledger of a version move, if it was written.
    PostEnded(Box<MovePost>, Option<PostingReply>),
    /// The orders of version moves that were asked for at a time.
    OrdersFetched(Vec<MoveOrder>, Time),
    /// A wish for the metrics in text form.
    Metrics(oneshot::Sender<String>),
    /// A wish for the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// A planned stop is wanted.
    Stop,
}

/// Sender of events to the hub.
pub(crate) type EventSender = mpsc::UnboundedSender<Event>;

/// Sends an event. The hub outlives all other tasks, so a failure means that the process is ending.
pub(crate) fn send(events: &EventSender, event: Event) {
    let _ = events.unbounded_send(event);
}
