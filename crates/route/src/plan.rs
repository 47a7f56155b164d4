//! Inputs and outputs of a query: partition map, settings, replies, actions and answer.

use std::time::Duration;

use monsoondeal_core::{CallId, Coverage, LeafId, Refusal, Snapshot, Time, UnknownReason};
use monsoondeal_limit::Budget;
use smallvec::SmallVec;

use crate::delay::HedgeDelay;
use crate::replica::ReplicaSelector;

/// `PlanGroup` is one group of the partition map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanGroup {
    /// Number of the group.
    pub group: u32,
    /// Replicas of the group that may be called.
    pub leafs: SmallVec<[LeafId; 2]>,
}

/// `Plan` is the partition map that a query runs over.
///
/// Invariant: lists every group of the map, those without a callable leaf included, since coverage
/// counts against all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Snapshot that the query is pinned to.
    pub snapshot: Snapshot,
    /// All groups of the map.
    pub groups: Vec<PlanGroup>,
}

/// `QuerySettings` are the limits of one query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuerySettings {
    /// Latest time of the answer.
    pub deadline: Time,
    /// Whether calls may be hedged, and retried after an unknown outcome.
    pub repeatable: bool,
    /// Fixed delay before a call is hedged; `None` stands for the delay of [`HedgeDelay`].
    pub hedge_delay: Option<Duration>,
    /// Base of the wait before a group is called again after all its replicas have refused; doubled
    /// in each round over the replicas.
    pub backoff: Duration,
    /// How long a group is called again while all its replicas refuse, for example while their leases
    /// move.
    pub refusal_timeout: Duration,
}

impl Default for QuerySettings {
    fn default() -> Self {
        Self {
            deadline: Time::MAX,
            repeatable: true,
            hedge_delay: None,
            backoff: Duration::from_millis(1),
            refusal_timeout: Duration::from_millis(250),
        }
    }
}

/// `Reply` is the outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// The leaf answered from the snapshot in the stamp.
    Data {
        /// Snapshot that the leaf stamped on the answer.
        stamp: Snapshot,
        /// Content of the answer.
        part: T,
    },
    /// The call was proved not to have run.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(UnknownReason),
}

/// `Action` is a command of the query to the code that sends its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Call {
        /// Identity of the call.
        call: CallId,
        /// Group that the call is for.
        group: u32,
        /// Leaf to call.
        leaf: LeafId,
        /// Whether another call for the group is under way.
        hedge: bool,
    },
    /// Cancel a call whose answer is no longer needed.
    Cancel {
        /// Identity of the call.
        call: CallId,
        /// Leaf that was called.
        leaf: LeafId,
    },
}

/// `Answer` is the result of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<T> {
    /// Snapshot of every part.
    pub snapshot: Snapshot,
    /// Number of groups with a part, out of the whole partition map.
    pub coverage: Coverage,
    /// Parts, each with the number of its group.
    pub parts: Vec<(u32, T)>,
    /// Groups without a part, each with the reason.
    pub lost: Vec<(u32, LossReason)>,
    /// Group that was answered last, and the time from the start of the query to its answer.
    pub slowest: Option<(u32, Duration)>,
    /// Time from the start of the query to its end.
    pub elapsed: Duration,
    /// Calls sent to leafs, hedges and retries included.
    pub calls: u32,
    /// Hedged calls among `calls`.
    pub hedges: u32,
    /// Calls that ended with an error of the leaf or with a lost connection.
    pub errors: u32,
}

/// `LossReason` is the reason why a group has no part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Every call was proved not to have run.
    NotRun(Refusal),
    /// A call may have run.
    Unknown(UnknownReason),
    /// The partition map lists no callable leaf for the group.
    NoLeaf,
    /// The group was still open at the deadline.
    Deadline,
}

/// `QueryContext` is the state that a query shares with other queries of the node.
#[derive(Debug)]
pub struct QueryContext<'a> {
    /// Identity of the next call; incremented with each call.
    pub next_call: &'a mut CallId,
    /// Statistics of leafs, and the choice between replicas.
    pub replicas: &'a mut ReplicaSelector,
    /// Budget of hedged calls.
    pub hedges: &'a mut Budget,
    /// Tracker of the delay before a call is hedged.
    pub delay: &'a mut HedgeDelay,
    /// Budget of retries after unknown outcomes.
    pub retries: &'a mut Budget,
}
