//! Coordination of a move by one node of the cell.

use std::collections::BTreeMap;
use std::fmt;

use monsoondeal_core::{NodeId, Time};

use crate::evidence::Evidence;
use crate::plan::Plan;
use crate::verdict::{Detector, Fault, Verdict, VerdictSettings};

/// `RollbackReason` is why a move was rolled back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollbackReason {
    /// A route shows a fault.
    Fault {
        /// The route.
        route: String,
        /// The fault that it shows.
        fault: Fault,
    },
    /// The move could not be completed by the deadline.
    TooLate,
    /// An operator ordered the rollback.
    Operator,
    /// A node has stopped the new version on its own evidence.
    NodeStop {
        /// The node.
        node: NodeId,
    },
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault {
                route,
                fault: Fault::Failing,
            } => {
                write!(
                    f,
                    "route '{route}' fails more often than on the old version"
                )
            }
            Self::Fault {
                route,
                fault: Fault::Slow,
            } => {
                write!(f, "route '{route}' is slower than on the old version")
            }
            Self::TooLate => f.write_str("it could not be done by the set time"),
            Self::Operator => f.write_str("an operator took it back"),
            Self::NodeStop { node } => write!(f, "node {node} saw a fault by itself"),
        }
    }
}

/// `CoordinatorState` is the state of a move at its coordinator. [`CoordinatorState::Done`] and
/// [`CoordinatorState::Reversed`] are final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorState {
    /// The new version gets the share of a step.
    Running {
        /// Index of the step.
        step: usize,
        /// When the step began.
        since: Time,
    },
    /// All traffic goes to the new version, and the soak is over.
    Done,
    /// The move was rolled back: all traffic goes to the old version.
    Reversed(RollbackReason),
}

/// `MoveCoordinator` decides on the share of the traffic that the new version gets.
#[derive(Clone, Debug)]
pub struct MoveCoordinator {
    plan: Plan,
    detector: Detector,
    state: CoordinatorState,
    /// The latest report of each node. That of a node that is gone is kept.
    reports: BTreeMap<NodeId, Evidence>,
}

impl MoveCoordinator {
    /// Begins a move, or resumes one that another node coordinated up to `state`.
    pub fn new(plan: Plan, settings: VerdictSettings, state: CoordinatorState) -> Self {
        Self {
            plan,
            detector: Detector::new(settings),
            state,
            reports: BTreeMap::new(),
        }
    }

    /// Returns the state of the move.
    pub fn state(&self) -> &CoordinatorState {
        &self.state
    }

    /// Returns the share of the new version.
    pub fn share(&self) -> f64 {
        match &self.state {
            CoordinatorState::Running { step, .. } => {
                self.plan.step(*step).map_or(1.0, |s| s.share)
            }
            CoordinatorState::Done => 1.0,
            CoordinatorState::Reversed(_) => 0.0,
        }
    }

    /// Replaces a node's counts and evaluates those of all nodes.
    pub fn on_report(&mut self, node: NodeId, evidence: Evidence, now: Time) {
        self.reports.insert(node, evidence);
        self.evaluate(now);
    }

    /// Rolls the move back because a node has stopped the new version on its own evidence.
    pub fn on_node_stop(&mut self, node: NodeId) {
        self.roll_back(RollbackReason::NodeStop { node });
    }

    /// Rolls the move back because an operator ordered it.
    pub fn on_operator_rollback(&mut self) {
        self.roll_back(RollbackReason::Operator);
    }

    /// Evaluates the evidence and the time: starts the next step, completes the move or rolls it back.
    pub fn evaluate(&mut self, now: Time) {
        let CoordinatorState::Running { step, since } = self.state else {
            return;
        };
        let evidence = self.evidence();
        let verdict = self.detector.evaluate(&evidence);
        if let Verdict::Bad { route, fault } = verdict {
            return self.roll_back(RollbackReason::Fault { route, fault });
        }
        let is_next_late =
            step + 1 < self.plan.step_count() && now > self.plan.latest_start(step + 1);
        if is_next_late || now >= self.plan.deadline {
            return self.roll_back(RollbackReason::TooLate);
        }
        let Some(current) = self.plan.step(step) else {
            return;
        };
        // The share stays as it is until the verdict is good.
        if now < since + current.min_duration || verdict != Verdict::Good {
            return;
        }
        self.state = match self.plan.step(step + 1) {
            Some(_) => CoordinatorState::Running {
                step: step + 1,
                since: now,
            },
            None => CoordinatorState::Done,
        };
    }

    /// Returns the counts of all nodes.
    pub fn evidence(&self) -> Evidence {
        let mut all = Evidence::default();
        self.reports.values().for_each(|report| all.merge(report));
        all
    }

    fn roll_back(&mut self, reason: RollbackReason) {
        if matches!(self.state, CoordinatorState::Running { .. }) {
            self.state = CoordinatorState::Reversed(reason);
        }
    }
}
