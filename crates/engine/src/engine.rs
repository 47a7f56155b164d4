//! The engine and its public queries.

use monsoondeal_core::Time;
use monsoondeal_member::CellView;

use crate::callers::Callers;
use crate::context::Context;
use crate::counts::Counts;
use crate::event::Timer;
use crate::feed::Feed;
use crate::holder::Holder;
use crate::home::Home;
use crate::orders::Orders;
use crate::pauses::Pauses;
use crate::queries::Queries;
use crate::roles::Roles;
use crate::settings::EngineSettings;
use crate::transfers::Transfers;

/// `Engine` is one node of the query tier.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cx: Context,
    pub(crate) feed: Feed,
    pub(crate) pauses: Pauses,
    pub(crate) roles: Roles,
    pub(crate) callers: Callers,
    pub(crate) queries: Queries,
    pub(crate) orders: Orders,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
    pub(crate) transfers: Transfers,
    /// Whether a planned stop is in progress.
    pub(crate) stopping: bool,
    /// Whether a planned stop is complete.
    pub(crate) stopped: bool,
}

impl Engine {
    /// Creates an engine. It produces no output before the first [`Input::Tick`](crate::Input::Tick).
    pub fn new(settings: EngineSettings) -> Self {
        let queries = Queries::new(&settings);
        let mut cx = Context::new(settings);
        cx.timers.set(Timer::Control, Time::default());
        cx.timers.set(Timer::Beat, Time::default());
        Self {
            cx,
            queries,
            feed: Feed::default(),
            pauses: Pauses::default(),
            roles: Roles::default(),
            callers: Callers::default(),
            orders: Orders::default(),
            holder: Holder::default(),
            home: Home::default(),
            transfers: Transfers::default(),
            stopping: false,
            stopped: false,
        }
    }

    /// Returns when the next [`Input::Tick`](crate::Input::Tick) is due, if any timer is set.
    pub fn next_wake(&self) -> Option<Time> {
        self.cx.timers.next()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.cx.counts
    }

    /// Returns this node's view of its cell.
    pub fn cell(&self) -> &CellView {
        &self.cx.cell
    }

    /// Returns whether this node can serve callers: it has a tree, hears enough members of its cell to
    /// reach the leafs, and isn't stopping.
    pub fn is_ready(&self, now: Time) -> bool {
        self.cx.config.tree.is_some() && self.cx.cell.hears_blocking_quorum(now) && !self.stopping
    }

    /// Returns the version of the tree in force, or 0 if there is none.
    pub fn tree_version(&self) -> u64 {
        self.cx.versions().tree.0
    }
}
