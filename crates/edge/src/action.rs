//! What goes into and comes out of the state machine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use monsoondeal_core::{CallId, LeafId};

use crate::config::Name;
use crate::ledger_client::MovePost;
use crate::segment::SegmentCall;
use crate::version_moves::{MoveDecision, MoveReport};

/// `Token` identifies a caller's request within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// `RequestHead` is what decides on a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The request.
    pub token: Token,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path, with or without a query.
    pub path: &'a str,
    /// How long the caller waits; without it the route's timeout holds.
    pub timeout: Option<Duration>,
    /// Whether the caller opened its connection for this request.
    pub is_first: bool,
    /// Set if another node asks for a segment of a query.
    pub segment: Option<SegmentCall>,
}

/// `Answer` is a leaf's whole answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Header fields that go to the caller.
    pub headers: HeaderMap,
    /// The leaf's signature.
    pub stamp: Option<Bytes>,
    /// Signatures of the parts, in the answer of a node that served a segment.
    pub part_stamps: Vec<Bytes>,
    /// The whole body.
    pub body: Bytes,
    /// Microseconds until the call was written: a connection had to be opened, and the leaf to tell its name.
    pub setup_micros: u32,
}

impl Answer {
    /// Returns whether the leaf served the request.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && (self.stamp.is_some() || !self.part_stamps.is_empty())
    }
}

/// `CallOutcome` is how a call to a leaf ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The leaf's whole answer arrived.
    Answer(Answer),
    /// The leaf stated that it did not run the call.
    Refused,
    /// Another leaf answered at the address; the call did not run.
    Misdirected,
    /// Nothing of the call was written.
    Unsent,
    /// Nothing of the call was written: who accepted the connection did not tell its name in time.
    Unchecked,
    /// Nothing of the call was written: another leaf has the address.
    Displaced,
    /// The call may have run, and its answer is lost or unusable.
    Broken,
    /// The call may have run, and its answer went over the limit.
    TooLarge,
}

/// `LeafCall` is a call to a leaf.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafCall {
    /// The call.
    pub call: CallId,
    /// Request that it is part of.
    pub token: Token,
    /// The leaf.
    pub leaf: LeafId,
    /// Name of the leaf's incarnation.
    pub instance: Name,
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// How long the leaf may work on it.
    pub timeout: Duration,
    /// Path at which the leaf tells its name; `None` if it cannot be asked.
    pub check_path: Option<Name>,
    /// The leaf was heard of so lately that no other one can have its address. Otherwise a new connection
    /// must not carry the call until the leaf has told its name on it.
    pub is_verified: bool,
    /// The call may run at most once: it must not be put on a connection that has been idle for long.
    pub at_most_once: bool,
    /// Set if the call goes to a node, for a segment of the query.
    pub segment: Option<SegmentCall>,
}

/// `Summary` tells how a request was served, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Route, once found.
    pub route: Option<Name>,
    /// Version of the configuration that decided.
    pub version: u64,
    /// Shards, or 1.
    pub shards: usize,
    /// Calls sent.
    pub calls: usize,
    /// Hedged calls among them.
    pub hedges: usize,
    /// Retried calls among them.
    pub retries: usize,
    /// Time from the request to the reply.
    pub elapsed: Duration,
}

/// `Reply` is the response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The merged records of several shards.
    Merged {
        /// Signatures of the parts.
        stamps: Vec<Bytes>,
        /// Shards left out.
        missing: usize,
        /// The records.
        body: Bytes,
    },
    /// The answer of one leaf.
    Answer(Answer),
    /// The request has not run and never will.
    Rejected {
        /// Why.
        reason: &'static str,
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The request may have run, and no usable answer came.
    Failed(&'static str),
    /// No answer came in time.
    TimedOut,
    /// The configuration has no such route.
    NoRoute,
}

/// `RequestEvent` is a decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// A call was overdue and a second one was sent.
    Hedged {
        /// Service of the calls.
        service: Name,
        /// Leaf of the second call.
        leaf: Name,
        /// How long the first call had been under way.
        after: Duration,
    },
    /// A call ended without use and another leaf is asked.
    Retried {
        /// Service of the calls.
        service: Name,
        /// How the first call ended.
        cause: &'static str,
        /// Whether a call has arrived before, so that this one is charged to the budget.
        is_repeat: bool,
    },
    /// A shard is given up.
    Lost {
        /// The shard.
        service: Name,
        /// Why.
        cause: &'static str,
    },
}

/// `Action` is what the tasks around the state machine have to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call to a leaf.
    Send(LeafCall),
    /// Close the connection of a call.
    Cancel(CallId),
    /// Respond to a caller.
    Reply(Token, Reply, Summary),
    /// Close the idle connections to a leaf.
    CloseIdle(LeafId),
    /// Log a decision on a request.
    Log(Token, RequestEvent),
    /// Ask for a change of a version move's state.
    Move(MoveDecision),
    /// Write to the ledger of a version move, and tell [`Edge::post_ended`](crate::Edge::post_ended).
    Post(MovePost),
    /// Ask the store for the orders of version moves as they are now, and tell
    /// [`Edge::orders_fetched`](crate::Edge::orders_fetched).
    FetchOrders,
    /// Log how far a version move has come.
    Report(MoveReport),
}
