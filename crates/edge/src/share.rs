//! A node's share of what all nodes may use together.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_limit::Budget;

use crate::config::Name;

/// Part of a common bound that is used; the rest covers nodes that are counted late.
const USED_PART: f64 = 0.8;
/// Part of the reserve for repeats that a node starts with: its predecessor may have used some.
const FIRST_PART: f64 = 0.3;
/// Longest time that a service without requests keeps its budget.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// `Shares` holds the node's part of connections and of repeats.
#[derive(Debug)]
pub struct Shares {
    nodes: usize,
    /// Repeats allowed per request.
    ratio: f64,
    /// Repeats of a service allowed beyond the ratio, for all nodes together.
    slack: f64,
    budgets: HashMap<Name, (Budget, Time)>,
}

impl Shares {
    /// Creates the shares of one of `nodes` nodes.
    pub fn new(nodes: usize, ratio: f64, slack: f64) -> Self {
        Self {
            nodes: nodes.max(1),
            ratio,
            slack,
            budgets: HashMap::new(),
        }
    }

    /// Sets the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        if nodes.max(1) != self.nodes {
            self.nodes = nodes.max(1);
            self.budgets.clear();
        }
    }

    /// Replaces the common bounds on repeats.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64) {
        if (ratio, slack) != (self.ratio, self.slack) {
            (self.ratio, self.slack) = (ratio, slack);
            self.budgets.clear();
        }
    }

    /// Returns the number of nodes.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Returns how many of a leaf's connections one of `callers` nodes may hold. At least one.
    pub fn connections(all: usize, callers: usize) -> usize {
        (all / callers.max(1)).max(1)
    }

    /// Counts a request for a service that `callers` nodes call.
    pub fn earn(&mut self, service: &Name, callers: usize, now: Time) {
        let entry = self.entry(service, callers, now);
        entry.0.earn(1);
        entry.1 = now;
    }

    /// Attempts to take the permission to repeat a call to a service that `callers` nodes call.
    pub fn try_repeat(&mut self, service: &Name, callers: usize, now: Time) -> bool {
        self.entry(service, callers, now).0.try_spend()
    }

    /// Forgets services that have had no request for long.
    pub fn expire(&mut self, now: Time) {
        self.budgets
            .retain(|_, (_, used)| now.since(*used) < IDLE_LIMIT);
    }

    fn entry(&mut self, service: &Name, callers: usize, now: Time) -> &mut (Budget, Time) {
        let reserve = (self.slack * USED_PART / callers.max(1) as f64).max(1.0);
        let ratio = self.ratio * USED_PART;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            (
                Budget::with_tokens(ratio, reserve, reserve * FIRST_PART),
                now,
            )
        })
    }
}
