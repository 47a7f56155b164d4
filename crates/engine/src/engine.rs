//! The struct that owns the components of an engine, and its public accessors.

use monsoondeal_core::Time;
use monsoondeal_member::CellView;

use crate::at_most_once::AtMostOnceRequests;
use crate::callers::Callers;
use crate::config_feed::ConfigFeed;
use crate::context::Context;
use crate::counts::Counts;
use crate::event::Timer;
use crate::holder::Holder;
use crate::home::Home;
use crate::pause_detector::PauseDetector;
use crate::queries::Queries;
use crate::roles::Roles;
use crate::settings::EngineSettings;
use crate::transfers::Transfers;

/// `Engine` is one node of the query tier.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cx: Context,
    pub(crate) feed: ConfigFeed,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) roles: Roles,
    pub(crate) callers: Callers,
    pub(crate) queries: Queries,
    pub(crate) at_most_once: AtMostOnceRequests,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
    pub(crate) transfers: Transfers,
    /// Whether a planned stop is in progress.
    pub(crate) stopping: bool,
    /// Whether a planned stop is complete.
    pub(crate) stopped: bool,
}

impl Engine {
    /// Creates an engine. The first [`Input::Tick`](crate::Input::Tick) makes it produce its first outputs.
    pub fn new(settings: EngineSettings) -> Self {
        let queries = Queries::new(&settings);
        let mut cx = Context::new(settings);
        cx.timers.set(Timer::Maintenance, Time::default());
        cx.timers.set(Timer::Heartbeat, Time::default());
        Self {
            cx,
            queries,
            feed: ConfigFeed::default(),
            pause_detector: PauseDetector::default(),
            roles: Roles::default(),
            callers: Callers::default(),
            at_most_once: AtMostOnceRequests::default(),
            holder: Holder::default(),
            home: Home::default(),
            transfers: Transfers::default(),
            stopping: false,
            stopped: false,
        }
    }

    /// Returns when the next [`Input::Tick`](crate::Input::Tick) is due, if any timer is set.
    pub fn next_wake(&self) -> Option<Time> {
        self.cx.timers.next_due()
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
        self.cx.config_versions().tree.0
    }
}
