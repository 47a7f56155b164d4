//! Inputs and outputs of version moves: orders, decisions and reports.

use std::time::Duration;

use monsoondeal_moves::{OrderId, Ruling, Totals};
use serde::{Deserialize, Serialize};

use crate::config::Name;

/// `MoveState` is the state of a version move, as all nodes know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum MoveState {
    /// The move is ordered, and no node has announced that it runs.
    Asked,
    /// The move runs.
    Running,
    /// All traffic goes to the new version from now on.
    Completed,
    /// No traffic goes to the new version.
    RolledBack,
}

impl MoveState {
    /// Returns whether no other state follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// `MoveOrder` is the order to move a service to another version of its leafs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MoveOrder {
    /// Service to move.
    pub service: Name,
    /// Identity of the order.
    #[serde(flatten)]
    pub id: OrderId,
    /// The new version.
    pub version: Name,
    /// Time from the order within which the move must be completed.
    pub duration: Duration,
    /// Lower bound of the time since the order.
    pub elapsed: Duration,
    /// State of the move.
    pub state: MoveState,
}

/// `MoveCause` is why a node changes a version move's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// The order is new.
    Ordered,
    /// The ledger of the move has reached this ruling.
    Ruled(Ruling),
}

/// `MoveCount` holds the counts of a version move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MoveCount {
    /// Calls of this node that reached the service.
    pub calls: u64,
    /// Calls of this node that were sent to the new version.
    pub trials: u64,
    /// Totals of all nodes as of this node's latest posting.
    pub totals: Totals,
}

/// `MoveDecision` is a change of a version move's state that the node asks to be recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveDecision {
    /// Service that is moved.
    pub service: Name,
    /// Identity of the order that is decided on. The decision holds for no other order of the version.
    pub id: OrderId,
    /// The new version.
    pub version: Name,
    /// New state of the move.
    pub state: MoveState,
    /// Reason for the change.
    pub cause: MoveCause,
    /// Counts until now.
    pub count: MoveCount,
}

/// `MoveReport` describes the progress of a running version move at the node, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReport {
    /// Service that is moved.
    pub service: Name,
    /// The new version.
    pub version: Name,
    /// Lower bound of the time since the order.
    pub elapsed: Duration,
    /// Counts until now.
    pub count: MoveCount,
}
