//! A node's share of limits that hold for all nodes together.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_limit::Budget;

use crate::config::Name;

/// Part of the ratio of repeats to requests that is used. The rest covers requests that one node counts and
/// others do not.
const RATIO_PART: f64 = 0.8;
/// Part of the slack that all nodes together may hold as a reserve.
const RESERVE_PART: f64 = 0.55;
/// Part of the slack that all nodes together are granted when they start. The slack beyond this part and
/// [`RESERVE_PART`] covers nodes that are counted late, and further starts.
const INITIAL_PART: f64 = 0.25;
/// How long a service without requests keeps its budget: well above the span to which the bound applies.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// How long a service counts as used after a request for it.
const RECENT_USE: Duration = Duration::from_secs(10);

/// `Shares` holds the node's share of connections and of repeats.
///
/// Over any span in which each node starts at most once, the repeats of all nodes stay below the ratio
/// times the requests plus the slack. After its start a node gets repeats by requests only: changes of the
/// bounds or of the number of nodes grant none.
#[derive(Debug)]
pub struct Shares {
    nodes: usize,
    /// Repeats allowed per request.
    ratio: f64,
    /// Repeats of a service allowed beyond the ratio, for all nodes together.
    slack: f64,
    /// Repeat budgets of services, with the time of the latest request or repeat.
    budgets: HashMap<Name, (Budget, Time)>,
    /// When idle budgets are removed next.
    sweep_at: Time,
}

impl Shares {
    /// Creates the shares of one of `nodes` nodes.
    pub fn new(nodes: usize, ratio: f64, slack: f64) -> Self {
        Self {
            nodes: nodes.max(1),
            ratio,
            slack,
            budgets: HashMap::new(),
            sweep_at: Time::default(),
        }
    }

    /// Sets the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Replaces the bounds on the repeats of all nodes together.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64) {
        (self.ratio, self.slack) = (ratio, slack);
    }

    /// Returns the number of nodes.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Returns how many of a leaf's connections one of `callers` nodes may hold. At least one.
    pub fn connections(all: usize, callers: usize) -> usize {
        (all / callers.max(1)).max(1)
    }

    /// Returns whether the node has had requests for a service recently.
    pub fn is_used(&self, service: &str, now: Time) -> bool {
        let budget = self.budgets.get(service);
        budget.is_some_and(|(_, used)| now.since(*used) < RECENT_USE)
    }

    /// Counts a request for a service that `callers` nodes call.
    pub fn count_request(&mut self, service: &Name, callers: usize, now: Time) {
        self.sweep(now);
        self.budget(service, callers, now).earn(1);
    }

    /// Takes a repeat from the budget of a service that `callers` nodes call. Returns whether there was one.
    pub fn try_repeat(&mut self, service: &Name, callers: usize, now: Time) -> bool {
        self.budget(service, callers, now).try_spend()
    }

    /// Removes the budgets of services that have been idle for long.
    fn sweep(&mut self, now: Time) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + IDLE_LIMIT;
        self.budgets
            .retain(|_, (_, used)| now.since(*used) < IDLE_LIMIT);
    }

    /// Returns the budget of a service under the present bounds.
    fn budget(&mut self, service: &Name, callers: usize, now: Time) -> &mut Budget {
        let part = self.slack / callers.max(1) as f64;
        let ratio = self.ratio * RATIO_PART;
        let reserve = (part * RESERVE_PART).max(1.0);
        let initial = || Budget::with_tokens(ratio, reserve, part * INITIAL_PART);
        let (budget, used) = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| (initial(), now));
        *used = now;
        budget.set_ratio(ratio);
        budget.set_reserve(reserve);
        budget
    }
}
