//! Messages to the hub, and the channels between the gateway and the platform's adapter.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use hyper::{HeaderMap, Method, Uri};
use monsoondeal_core::{CallId, Time};
use monsoondeal_edge::{
    CallOutcome, Config, EdgeSettings, LeafEntry, LeafNotice, MoveDecision, MoveOrder, MovePost,
    Name, Peer, Reply, SegmentCall, Token,
};
use monsoondeal_moves::PostingReply;

use serde::{Deserialize, Serialize};

use crate::leafs::ConnectionEnd;

/// `Update` is a change of what the node knows about the configuration, the leafs, the version moves, the other
/// nodes or the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Update {
    /// A version of the configuration.
    Config(Rc<Config>),
    /// The configuration of the latest `Config` update is the newest one in the store.
    ConfigCurrent,
    /// All leafs. Only changes follow.
    Leafs(Vec<LeafEntry>),
    /// A leaf that is new, or whose entry has changed.
    Leaf(Box<LeafEntry>),
    /// A leaf whose entry was removed from the registry.
    LeafGone(Name),
    /// The registry of leafs could not be reached.
    RegistryLost,
    /// All failure domains that are closed.
    ClosedDomains(HashSet<Name>),
    /// Reloaded settings of the direct path. They are local to each node and not relayed.
    #[serde(skip)]
    Settings(EdgeSettings),
    /// The orders of all version moves that operators have requested.
    Moves(Vec<MoveOrder>),
    /// All nodes that share the leafs, this one included.
    Peers(Vec<Peer>),
    /// Whether the store answers and all kinds of objects in it can be watched. It is local to each node
    /// and not relayed.
    #[serde(skip)]
    StoreReachable(bool),
    /// The store was restored from an older copy, and is in this era now. It is local to each node and not relayed: the
    /// configuration that follows names the era.
    #[serde(skip)]
    StoreRestored(u64),
}

/// `ReaderMode` is how the node uses the store for its updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderMode {
    /// The store is not read: another node sends the updates.
    Off,
    /// The store is not read, but asked for signs of life, which are reported as [`Update::StoreReachable`].
    Probe,
    /// All updates are read, and each answer of the store is reported as [`Update::StoreReachable`].
    On,
}

/// Sender of reader modes to the store reader.
pub type ReaderModeSender = mpsc::UnboundedSender<ReaderMode>;

/// `StoreCommand` is a read or write of version moves, or of the node's entry, in the store.
#[derive(Debug)]
pub enum StoreCommand {
    /// Records a change of a move's state. It is retried for as long as the store is unreachable.
    RecordDecision(MoveDecision),
    /// Writes a posting to the ledger of a move, and replies once it is written. The sender is dropped if the write may
    /// have failed.
    Post(Box<MovePost>, oneshot::Sender<PostingReply>),
    /// Reads the current orders from the store. The sender is dropped if they cannot be read.
    FetchOrders(oneshot::Sender<Vec<MoveOrder>>),
    /// Writes the entry of this node again unless there is one, after a random part of the given time. It is retried for
    /// as long as the store is unreachable.
    Register(Duration),
}

/// Sender of commands about the store.
pub type StoreCommandSender = mpsc::UnboundedSender<StoreCommand>;

/// Sender of updates.
pub type UpdateSender = mpsc::UnboundedSender<Update>;

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    pub(crate) token: Token,
    /// Identity that the caller gave this attempt.
    pub(crate) id: Bytes,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Header fields that are forwarded to leafs.
    pub(crate) headers: HeaderMap,
    /// Host that the caller named.
    pub(crate) host: String,
    pub(crate) timeout: Option<Duration>,
    pub(crate) body: Bytes,
    pub(crate) purpose: Purpose,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A caller's request, which is routed by its host and path.
    Caller {
        /// Whether this is the first request on its connection.
        is_first: bool,
    },
    /// Another node asks for a segment of a query, which is routed by its plan.
    Segment(SegmentCall),
}

/// A message to the hub.
#[derive(Debug)]
pub(crate) enum Event {
    Request(Box<InboundRequest>, oneshot::Sender<Reply>),
    /// The caller disconnected before the reply.
    CallerGone(Token),
    /// There was no descriptor for a connection to a leaf.
    DescriptorShortage,
    /// A leaf, given by its name and start, said something about itself in an answer.
    LeafNotice(Name, u64, LeafNotice),
    /// A call ended, and so did its connection or not.
    CallEnded(CallId, CallOutcome, ConnectionEnd),
    Update(Update),
    /// A posting to the ledger of a version move ended, with the reply if it was written.
    PostEnded(Box<MovePost>, Option<PostingReply>),
    /// The orders of version moves, and the time at which the read was sent.
    OrdersFetched(Vec<MoveOrder>, Time),
    /// Requests the metrics in text form.
    Metrics(oneshot::Sender<String>),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Begins a planned stop.
    Stop,
}

/// Sender of events to the hub.
pub(crate) type EventSender = mpsc::UnboundedSender<Event>;

/// Sends an event. The hub outlives all other tasks, so a failure means that the process is ending.
pub(crate) fn send(events: &EventSender, event: Event) {
    let _ = events.unbounded_send(event);
}
