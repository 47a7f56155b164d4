//! The engine: its parts and what may be asked of it.

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
    /// Whether a planned stop is under way.
    pub(crate) stopping: bool,
    /// Whether a planned stop is done.
    pub(crate) stopped: bool,
}

impl Engine {
    /// Creates an engine. Its first outputs come with the first [`Input::Tick`](crate::Input::Tick).
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

    /// Returns when [`Input::Tick`](crate::Input::Tick) is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.cx.timers.next()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.cx.counts
    }

    /// Returns the view of the cell.
    pub fn cell(&self) -> &CellView {
        &self.cx.cell
    }

    /// Returns whether this node can serve callers: it has a tree, and hears enough of its cell to
    /// reach the leafs.
    pub fn is_ready(&self, now: Time) -> bool {
        self.cx.config.tree.is_some() && self.cx.cell.hears_blocking_quorum(now) && !self.stopping
    }

    /// Returns the version of the tree in force, for reports on changes.
    pub fn tree_version(&self) -> u64 {
        self.cx.versions().tree.0
    }
}
