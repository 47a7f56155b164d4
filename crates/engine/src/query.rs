//! Start parameters and results of queries.

use std::rc::Rc;

use bytes::Bytes;
use monsoondeal_config::ResolvedSettings;
use monsoondeal_core::{CallId, Priority};
use monsoondeal_route::{Answer, Plan, QuerySettings};

use crate::config::ServiceVersion;
use crate::event::Origin;
use crate::io::{Request, Token};

/// An at-most-once request that runs at its home node.
#[derive(Debug)]
pub(crate) struct HomeRequest {
    pub(crate) from: Origin,
    pub(crate) call: CallId,
    pub(crate) bucket: u32,
    pub(crate) key: String,
}

/// Receiver of the result of a query.
#[derive(Debug)]
pub(crate) enum ResultReceiver {
    /// A caller's request, and the version that it was sent to during a version move.
    Caller(Token, Option<ServiceVersion>),
    /// An at-most-once request whose home node is this node.
    Home(HomeRequest),
}

/// Parameters of a query to start.
#[derive(Debug)]
pub(crate) struct QueryStart {
    pub(crate) receiver: ResultReceiver,
    pub(crate) plan: Rc<Plan>,
    pub(crate) settings: QuerySettings,
    pub(crate) request: Request,
    pub(crate) resolved: ResolvedSettings,
}

/// Result of a query.
#[derive(Debug)]
pub(crate) struct FinishedQuery {
    pub(crate) receiver: ResultReceiver,
    pub(crate) service: String,
    pub(crate) kind: String,
    pub(crate) priority: Priority,
    pub(crate) answer: Answer<Bytes>,
}
