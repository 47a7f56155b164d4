//! Queries to start, and the ends of queries.

use std::rc::Rc;

use bytes::Bytes;
use monsoondeal_config::ResolvedSettings;
use monsoondeal_core::{CallId, Priority};
use monsoondeal_route::{Answer, Plan, QuerySettings};

use crate::config::Version;
use crate::event::Origin;
use crate::io::{Request, Token};

/// An order under way at its home.
#[derive(Debug)]
pub(crate) struct HomeJob {
    pub(crate) from: Origin,
    pub(crate) call: CallId,
    pub(crate) place: u32,
    pub(crate) key: String,
}

/// What a query is run for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// A caller's request; during a version move, the version that it went to.
    Caller(Token, Option<Version>),
    /// A request that may run at most once, by this node as the home of its key.
    Home(HomeJob),
}

/// A query to start.
#[derive(Debug)]
pub(crate) struct QueryStart {
    pub(crate) purpose: Purpose,
    pub(crate) plan: Rc<Plan>,
    pub(crate) settings: QuerySettings,
    pub(crate) request: Request,
    pub(crate) resolved: ResolvedSettings,
}

/// The end of a query.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) purpose: Purpose,
    pub(crate) service: String,
    pub(crate) kind: String,
    pub(crate) priority: Priority,
    pub(crate) answer: Answer<Bytes>,
}
