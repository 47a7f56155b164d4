//! Timers, origins and destinations of calls, and events between the components of an engine.

use std::net::SocketAddr;

use monsoondeal_core::{CallId, LeafId};

use crate::io::LinkId;
use crate::message::{AtMostOnceOutcome, AtMostOnceRequest, Call, CallOutcome};

/// Identifier of a query within the node.
pub(crate) type QueryId = u64;

/// Key of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Sends heartbeats.
    Heartbeat,
    /// Updates peers, roles and version moves.
    Maintenance,
    /// Hedges, retries or ends a query.
    Query(QueryId),
    /// Starts or refuses calls queued in a leaf limiter.
    LeafLimiter(LeafId),
    /// Resends an at-most-once request, or ends it at its deadline.
    AtMostOnce(CallId),
}

/// Sender of a call or an at-most-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Origin {
    /// This node.
    Local,
    /// The peer that opened a connection.
    Link(LinkId),
}

/// Receiver of a call or an at-most-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    Local,
    Peer(SocketAddr),
}

/// Message from one component of the engine to another, the local form of a [`Message`](crate::Message).
#[derive(Debug)]
pub(crate) enum LocalEvent {
    Call(Box<Call>),
    Cancel(CallId),
    CallOutcome(CallId, CallOutcome),
    AtMostOnce(Box<AtMostOnceRequest>),
    AtMostOnceOutcome(CallId, AtMostOnceOutcome),
}
