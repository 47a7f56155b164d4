//! What a query runs over, what goes into it and what comes out of it.

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
    /// Its replicas that may be called.
    pub leafs: SmallVec<[LeafId; 2]>,
}

/// `Plan` is the partition map that a query runs over.
///
/// Invariant: lists every group of the map, those without a callable leaf included, since coverage
/// counts against all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The pinned snapshot.
    pub snapshot: Snapshot,
    /// All groups.
    pub groups: Vec<PlanGroup>,
}

/// `QuerySettings` bound one query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuerySettings {
    /// Time of the answer at the latest.
    pub deadline: Time,
    /// Whether calls may be hedged, and repeated after an end that may have run.
    pub repeatable: bool,
    /// Delay before a call is hedged, in place of the tracked one.
    pub hedge_delay: Option<Duration>,
    /// Wait before a refused group is tried again, doubled each time round.
    pub backoff: Duration,
    /// How long a group is tried whose replicas all refuse, as while their leases move.
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

/// `Reply` is the end of one call.
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

/// `Action` is something the query wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Call {
        /// Identity of the call.
        call: CallId,
        /// Group that it is for.
        group: u32,
        /// Leaf to call.
        leaf: LeafId,
        /// Whether another call for the group is under way.
        hedge: bool,
    },
    /// Cancel a call whose answer is no longer wanted.
    Cancel {
        /// Identity of the call.
        call: CallId,
        /// Leaf that was called.
        leaf: LeafId,
    },
}

/// `Answer` is the end of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<T> {
    /// Snapshot of every part.
    pub snapshot: Snapshot,
    /// Groups with a part, against the whole partition map.
    pub coverage: Coverage,
    /// Parts by group.
    pub parts: Vec<(u32, T)>,
    /// Groups without a part and the last reason.
    pub lost: Vec<(u32, LossReason)>,
    /// Group that was answered last, and the time it took.
    pub slowest: Option<(u32, Duration)>,
    /// Time from the start to the end.
    pub elapsed: Duration,
    /// Calls sent to leafs, hedges and retries included.
    pub calls: u32,
    /// Hedged calls among them.
    pub hedges: u32,
    /// Calls that ended with an error of the leaf.
    pub errors: u32,
}

/// `LossReason` is the reason for which a group has no part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Every call was proved not to have run.
    NotRun(Refusal),
    /// A call may have run.
    Unknown(UnknownReason),
    /// The partition map lists no callable leaf.
    NoLeaf,
    /// Still waiting at the deadline.
    Deadline,
}

/// `QueryContext` is what queries of one node share.
#[derive(Debug)]
pub struct QueryContext<'a> {
    /// Identity of the next call; counted up with each.
    pub next_call: &'a mut CallId,
    /// Knowledge of leafs.
    pub replicas: &'a mut ReplicaSelector,
    /// Budget of hedged calls.
    pub hedges: &'a mut Budget,
    /// Delay before a call is hedged.
    pub delay: &'a mut HedgeDelay,
    /// Budget of repeated calls.
    pub retries: &'a mut Budget,
}
