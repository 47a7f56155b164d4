//! Inputs and outputs of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{Findings, LeafId, Refusal, Snapshot, Time, UnknownReason};
use monsoondeal_route::Answer;

use crate::message::Message;

/// `Token` identifies a caller's request. It is chosen by the code that drives the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// `LinkId` identifies an inbound connection, opened by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// `LeafCallId` identifies a call in flight to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafCallId(pub u64);

/// `Request` is a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in [`Output::Respond`].
    pub token: Token,
    /// Requested service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key; required for kinds that are not repeatable.
    pub key: Option<String>,
    /// Partition key: selects the group of an at-most-once request.
    pub partition_key: Option<String>,
    /// Time limit set by the caller; ignored if longer than that of the request kind.
    pub deadline: Option<Duration>,
    /// Body, passed on to leafs unchanged.
    pub body: Bytes,
}

/// `Response` is the outcome of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request was answered, in full or in part; see its coverage.
    Answered(Box<Answer<Bytes>>),
    /// The request is proved not to have run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request is invalid.
    Invalid(RequestError),
}

/// `RequestError` is the reason why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The service doesn't exist.
    NoService(Findings),
    /// The request body, a key or the request kind is missing or malformed.
    Malformed(Findings),
    /// The service belongs to another cell.
    OtherCell(Findings),
}

/// `LeafCall` is a call to send to a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafCall {
    /// Identifies the call in [`Input::LeafCallEnded`].
    pub id: LeafCallId,
    /// Leaf to call.
    pub leaf: LeafId,
    /// Address of the leaf.
    pub addr: SocketAddr,
    /// Group that the leaf serves.
    pub group: u32,
    /// Snapshot that the answer must come from.
    pub snapshot: Snapshot,
    /// Request kind.
    pub kind: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Time left until the deadline of the request.
    pub budget: Duration,
    /// Time after which the call is aborted and its connection closed.
    pub timeout: Duration,
    /// Request body.
    pub body: Bytes,
}

/// `LeafOutcome` is the outcome of a call to a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafOutcome {
    /// The leaf answered.
    Data {
        /// Snapshot that the answer was computed from, as stated by the leaf.
        stamp: Snapshot,
        /// Response body.
        body: Bytes,
    },
    /// The leaf refused the call without running it.
    Shed,
    /// The leaf serves another snapshot and did not run the call.
    Mismatch,
    /// The leaf answered with an error; the call may have run.
    Failed,
    /// No connection could be opened, so nothing was sent.
    NoConnection,
    /// The connection broke or the timeout passed after the first byte was sent.
    Broken,
    /// The answer exceeded the size limit.
    TooLarge,
}

/// `Object` is a value read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version in the store; grows with each write.
    pub version: u64,
    /// Value.
    pub value: Bytes,
}

/// `Input` is an event that an engine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request.
    Request(Request),
    /// The caller has disconnected.
    CallerGone(Token),
    /// The connection to a peer is up.
    PeerUp(SocketAddr),
    /// The connection to a peer is down; what was sent may or may not have arrived.
    PeerDown(SocketAddr),
    /// A message from a peer on the connection that this node opened to it.
    FromPeer(SocketAddr, Message),
    /// A message on a connection that a peer opened.
    FromLink(LinkId, Message),
    /// A connection that a peer opened is down.
    LinkDown(LinkId),
    /// A call to a leaf has ended.
    LeafCallEnded(LeafCallId, LeafOutcome),
    /// A leaf has closed an idle connection; it may have restarted.
    LeafClosed(LeafId),
    /// An object was read, or doesn't exist.
    Object {
        /// Key.
        key: String,
        /// The object, or `None` if it doesn't exist.
        object: Option<Object>,
        /// When the read was sent, by this node's clock.
        sent: Time,
    },
    /// A read of the object with this key has failed.
    ReadFailed(String),
    /// A write of the object with this key has ended; it may or may not have taken effect.
    WriteEnded(String),
    /// Begins a planned stop.
    Stop,
    /// A timer may be due; see [`Engine::next_wake`](crate::Engine::next_wake).
    Tick,
}

/// `Output` is an action that an engine requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send the response of a request to its caller.
    Respond(Token, Response),
    /// Connect to exactly these peers, and close connections to others.
    SetPeers(Vec<SocketAddr>),
    /// Send a message on the connection that this node opened to a peer.
    ToPeer(SocketAddr, Message),
    /// Send a message on a connection that a peer opened.
    ToLink(LinkId, Message),
    /// Call a leaf.
    CallLeaf(Box<LeafCall>),
    /// Close the connections to a leaf after its calls in flight have ended.
    CloseLeaf(LeafId),
    /// Watch exactly the objects with these keys in the store.
    Watch(Vec<String>),
    /// Read the object with this key.
    Read(String),
    /// Write an object, provided that it still has the expected version.
    Write {
        /// Key.
        key: String,
        /// Expected version; `None` if the object must not exist yet.
        expects: Option<u64>,
        /// New value.
        value: Bytes,
    },
    /// The stop requested by [`Input::Stop`] is complete.
    Stopped,
}
