//! What the parts of an engine tell each other: origins, targets, timers and local events.

use std::net::SocketAddr;

use monsoondeal_core::{CallId, LeafId};

use crate::io::LinkId;
use crate::message::{AtMostOnceOutcome, AtMostOnceRequest, Call, CallOutcome};

/// Identity of a query within the node.
pub(crate) type QueryId = u64;

/// Key of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Time for heartbeats.
    Beat,
    /// Time to look at membership and roles.
    Control,
    /// A query has something to do.
    Query(QueryId),
    /// A gate has something to do.
    Gate(LeafId),
    /// An order is tried again or given up.
    AtMostOnce(CallId),
}

/// Where a call or an order comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Origin {
    /// From this node.
    Local,
    /// From the peer behind a connection.
    Link(LinkId),
}

/// Where a call or an order was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Local,
    Peer(SocketAddr),
}

/// Something that one part of the engine asks of another.
#[derive(Debug)]
pub(crate) enum Local {
    Call(Box<Call>),
    Cancel(CallId),
    CallOutcome(CallId, CallOutcome),
    AtMostOnce(Box<AtMostOnceRequest>),
    AtMostOnceOutcome(CallId, AtMostOnceOutcome),
}
