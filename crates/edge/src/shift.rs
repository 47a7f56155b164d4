//! Version moves: which version of a service's leafs a request goes to.
//!
//! While a move runs, each node sends a small share of first calls to the new version, judges it by its
//! own calls, and asks to take the move back as soon as they show a fault. Late in the move's time all
//! traffic goes over, and the move is completed with time to spare. Hedges and retries stay with the
//! old version, so that a bad one costs a caller at most one call.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{Evidence, Grant, Guard, Outcome, VerdictSettings};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Name;
use crate::directory::Directory;

/// Share of first calls that go to a version on trial.
const TRIAL_SHARE: f64 = 0.07;
/// Part of the move's time that the trial takes.
const TRIAL_PART: f64 = 0.6;
/// Part of the move's time after which it is completed. The rest is for a slow store.
const COMPLETE_PART: f64 = 0.75;
/// Time between two reports of what a running move has got.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// `MoveState` is how far a version move has come, as all nodes know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum MoveState {
    /// It is asked for, and no node has noted that it runs.
    Asked,
    /// It runs.
    Running,
    /// All traffic goes to the new version for good.
    Completed,
    /// No traffic goes to the new version.
    RolledBack,
}

/// `MoveOrder` asks to move a service to another version of its leafs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MoveOrder {
    /// The service.
    pub service: Name,
    /// The new version.
    pub version: Name,
    /// Time from the order within which the move must be completed.
    pub duration: Duration,
    /// How long the move has been running when this was learnt.
    pub elapsed: Duration,
    /// How far it has come.
    pub state: MoveState,
}

/// `MoveCause` is why a node asks for a change of a version move's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// The order is new.
    Ordered,
    /// The node's own calls show a fault of the new version.
    Evidence,
    /// The time has come.
    Time,
}

/// `MoveCount` is what a node has sent and seen in a version move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MoveCount {
    /// Calls to the service.
    pub calls: u64,
    /// Calls to the new version among them.
    pub trials: u64,
    /// Calls to the new version that no share was asked for, since no other leaf was left.
    pub forced: u64,
    /// Ends of calls to both versions, by route.
    pub evidence: Evidence,
}

/// `MoveDecision` is a change of a version move's state that the node asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveDecision {
    /// The service.
    pub service: Name,
    /// The new version.
    pub version: Name,
    /// The state that the move is to have.
    pub state: MoveState,
    /// Why.
    pub cause: MoveCause,
    /// What the node has sent and seen until now.
    pub count: MoveCount,
}

/// `MoveReport` tells how far a running version move has come at the node, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReport {
    /// The service.
    pub service: Name,
    /// The new version.
    pub version: Name,
    /// Time since the order as the node knows it.
    pub elapsed: Duration,
    /// What the node has sent and seen until now.
    pub count: MoveCount,
}

/// A version move at this node.
#[derive(Debug)]
struct Move {
    order: MoveOrder,
    began: Time,
    guard: Guard,
    /// The latest state asked for.
    wanted: Option<MoveState>,
    calls: u64,
    trials: u64,
    forced: u64,
    /// Calls when the move was last reported, and when that was.
    reported: (u64, Time),
}

impl Move {
    fn new(order: MoveOrder, now: Time) -> Self {
        Self {
            began: now - order.elapsed,
            guard: Guard::new(VerdictSettings::default()),
            wanted: None,
            calls: 0,
            trials: 0,
            forced: 0,
            reported: (0, now),
            order,
        }
    }

    fn count(&self) -> MoveCount {
        MoveCount {
            calls: self.calls,
            trials: self.trials,
            forced: self.forced,
            evidence: self.guard.evidence().clone(),
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.order.state, MoveState::Asked | MoveState::Running)
    }

    /// Returns the part of the move's time that has passed.
    fn part(&self, now: Time) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(1e-3);
        now.since(self.began).as_secs_f64() / duration
    }

    fn goes_to_new(&mut self, now: Time) -> bool {
        match self.order.state {
            MoveState::Completed => true,
            MoveState::RolledBack => false,
            MoveState::Asked | MoveState::Running => {
                let share = if self.part(now) < TRIAL_PART {
                    TRIAL_SHARE
                } else {
                    1.0
                };
                self.guard.on_grant(Grant { share }, now);
                self.guard.pick_new(now)
            }
        }
    }

    /// Returns the state that the move should have now, and why.
    fn due(&self, now: Time) -> (MoveState, MoveCause) {
        if self.guard.is_stopped() {
            (MoveState::RolledBack, MoveCause::Evidence)
        } else if self.part(now) >= COMPLETE_PART {
            (MoveState::Completed, MoveCause::Time)
        } else {
            (MoveState::Running, MoveCause::Ordered)
        }
    }
}

/// `Shifts` are the version moves that the node knows of.
#[derive(Debug, Default)]
pub(crate) struct Shifts {
    moves: HashMap<Name, Move>,
}

impl Shifts {
    /// Replaces the orders. What is known of a move that goes on is kept.
    pub(crate) fn set(&mut self, orders: Vec<MoveOrder>, now: Time) {
        let mut held = std::mem::take(&mut self.moves);
        for order in orders {
            let known = held
                .remove(&order.service)
                .filter(|known| known.order.version == order.version);
            let mut shift = match known {
                Some(known) => Move { order, ..known },
                None => Move::new(order, now),
            };
            if shift.order.state == MoveState::RolledBack {
                shift.guard.stop();
            }
            self.moves.insert(shift.order.service.clone(), shift);
        }
    }

    /// Returns those of a service's leafs that a call may go to.
    pub(crate) fn choose(
        &mut self,
        service: &str,
        leafs: SmallVec<[LeafId; 4]>,
        directory: &Directory,
        is_first: bool,
        now: Time,
    ) -> SmallVec<[LeafId; 4]> {
        let Some(shift) = self.moves.get_mut(service) else {
            return leafs;
        };
        let version = &shift.order.version;
        let is_new = |id: &LeafId| directory.entry(*id).is_some_and(|e| e.version == *version);
        let (new, old): (SmallVec<[LeafId; 4]>, SmallVec<[LeafId; 4]>) =
            leafs.into_iter().partition(is_new);
        let is_over = shift.order.state == MoveState::Completed;
        let wants_new = !new.is_empty() && (is_first || is_over) && shift.goes_to_new(now);
        match (wants_new, old.is_empty(), shift.guard.is_stopped()) {
            (true, ..) => new,
            (false, true, false) => {
                shift.forced += u64::from(!is_over && !new.is_empty());
                new
            }
            (false, _, true) | (false, false, false) => old,
        }
    }

    /// Counts a call that is sent to a leaf. Returns whether it goes to a version on trial.
    pub(crate) fn sent(&mut self, service: &str, version: &Name) -> bool {
        let Some(shift) = self.moves.get_mut(service) else {
            return false;
        };
        let is_trial = shift.is_running() && shift.order.version == *version;
        shift.calls += 1;
        shift.trials += u64::from(is_trial);
        is_trial
    }

    /// Returns what is to be reported of running moves.
    pub(crate) fn report(&mut self, now: Time) -> Vec<MoveReport> {
        let due = self.moves.values_mut().filter(|shift| {
            let (calls, at) = shift.reported;
            shift.is_running() && shift.calls > calls && now >= at + COUNT_PERIOD
        });
        due.map(|shift| {
            shift.reported = (shift.calls, now);
            MoveReport {
                service: shift.order.service.clone(),
                version: shift.order.version.clone(),
                elapsed: now.since(shift.began),
                count: shift.count(),
            }
        })
        .collect()
    }

    /// Notes the end of a call to a leaf.
    pub(crate) fn note(
        &mut self,
        service: &str,
        route: &str,
        version: Option<&Name>,
        outcome: Outcome,
    ) {
        let Some(shift) = self.moves.get_mut(service) else {
            return;
        };
        let is_new = version == Some(&shift.order.version);
        shift.guard.note(route, is_new, outcome);
    }

    /// Returns the states to ask for, each once.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for shift in self.moves.values_mut() {
            let is_final = matches!(
                shift.order.state,
                MoveState::Completed | MoveState::RolledBack
            );
            let (due, cause) = shift.due(now);
            if is_final || due == shift.order.state || shift.wanted == Some(due) {
                continue;
            }
            shift.wanted = Some(due);
            decisions.push(MoveDecision {
                service: shift.order.service.clone(),
                version: shift.order.version.clone(),
                state: due,
                cause,
                count: shift.count(),
            });
        }
        decisions
    }

    /// Returns when a move needs a look.
    pub(crate) fn next_look(&self) -> Option<Time> {
        let running = self.moves.values().filter(|shift| {
            matches!(shift.order.state, MoveState::Asked | MoveState::Running)
                && matches!(shift.wanted, None | Some(MoveState::Running))
        });
        running
            .map(|shift| shift.began + shift.order.duration.mul_f64(COMPLETE_PART))
            .min()
    }
}
