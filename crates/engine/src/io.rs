//! What goes into an engine and what comes out of it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{Findings, LeafId, Refusal, Snapshot, Time, UnknownReason};
use monsoondeal_route::Answer;

use crate::message::Message;

/// `Token` identifies a caller's request towards the I/O side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// `LinkId` identifies a connection that a peer has opened to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// `LeafCallId` identifies a call under way at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafCallId(pub u64);

/// `Request` is a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Where to send the response.
    pub token: Token,
    /// Service asked for.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key; required for kinds that are not repeatable.
    pub key: Option<String>,
    /// Key that selects the group of a request for one group.
    pub partition_key: Option<String>,
    /// Deadline set by the caller; never extends that of the kind.
    pub deadline: Option<Duration>,
    /// Content, passed on to leafs.
    pub body: Bytes,
}

/// `Response` is the end of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Answered, with coverage.
    Answered(Box<Answer<Bytes>>),
    /// Proved not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(UnknownReason),
    /// The request itself is at fault.
    Invalid(RequestError),
}

/// `RequestError` says what is wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// There is no such service.
    NoService(Findings),
    /// A part of the request is missing or malformed.
    Malformed(Findings),
    /// The service belongs to another cell.
    OtherCell(Findings),
}

/// `LeafCall` is a call to send to a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafCall {
    /// Identity of the call.
    pub id: LeafCallId,
    /// The leaf.
    pub leaf: LeafId,
    /// Its address.
    pub addr: SocketAddr,
    /// Group that is asked for.
    pub group: u32,
    /// Snapshot that the answer must come from.
    pub snapshot: Snapshot,
    /// Request kind.
    pub kind: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Time that the caller still waits.
    pub budget: Duration,
    /// Time after which the call is given up and its connection closed.
    pub timeout: Duration,
    /// Content.
    pub body: Bytes,
}

/// `LeafOutcome` is the end of a call to a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafOutcome {
    /// An answer.
    Data {
        /// Snapshot stamped on it.
        stamp: Snapshot,
        /// Content.
        body: Bytes,
    },
    /// The leaf refused the call without running it.
    Shed,
    /// The leaf serves another snapshot and did not run the call.
    Mismatch,
    /// The leaf answered with an error.
    Failed,
    /// No connection could be opened, so nothing was sent.
    NoConnection,
    /// The connection broke or the timeout passed after the first byte was sent.
    Broken,
    /// The answer went over the limit.
    TooLarge,
}

/// `Object` is a value read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version in the store; grows with each write.
    pub version: u64,
    /// Content.
    pub value: Bytes,
}

/// `Input` is an event that an engine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request.
    Request(Request),
    /// The caller has gone.
    CallerGone(Token),
    /// The connection to a peer is up.
    PeerUp(SocketAddr),
    /// The connection to a peer is down; what was sent may or may not have arrived.
    PeerDown(SocketAddr),
    /// A message from a peer on the connection that this node opened.
    FromPeer(SocketAddr, Message),
    /// A message on a connection that a peer opened.
    FromLink(LinkId, Message),
    /// A connection that a peer opened is down.
    LinkDown(LinkId),
    /// A call to a leaf has ended.
    LeafCallEnded(LeafCallId, LeafOutcome),
    /// A leaf has closed an idle connection; it may have restarted.
    LeafClosed(LeafId),
    /// An object was read, or found to be absent. `sent` is when the read was sent, by this node's
    /// clock.
    Object {
        /// Key.
        key: String,
        /// Content, if there is any.
        object: Option<Object>,
        /// Time of the read.
        sent: Time,
    },
    /// A read of this key has failed.
    ReadFailed(String),
    /// A write to this key has ended; it may or may not have taken effect.
    WriteEnded(String),
    /// A planned stop is wanted.
    Stop,
    /// Time has passed.
    Tick,
}

/// `Output` is something that an engine wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a caller.
    Respond(Token, Response),
    /// Keep connections to exactly these peers.
    SetPeers(Vec<SocketAddr>),
    /// Send on the connection to a peer.
    ToPeer(SocketAddr, Message),
    /// Send on a connection that a peer opened.
    ToLink(LinkId, Message),
    /// Call a leaf.
    CallLeaf(Box<LeafCall>),
    /// Close the connections to a leaf once its calls have ended.
    CloseLeaf(LeafId),
    /// Watch exactly these objects of the store.
    Watch(Vec<String>),
    /// Read an object.
    Read(String),
    /// Write an object if it has the given version, or if it is absent.
    Write {
        /// Key.
        key: String,
        /// Version that it must have; `None` if it must be absent.
        expects: Option<u64>,
        /// New content.
        value: Bytes,
    },
    /// Nothing is left to do after [`Input::Stop`].
    Stopped,
}
