//! A version move at this node.

use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_moves::{MoveLimits, OrderId};
use smallvec::SmallVec;

use super::messages::{MoveCause, MoveCount, MoveOrder, MoveState};
use crate::config::Name;
use crate::ledger_client::LedgerClient;
use crate::versions::Versions;

/// Time after which a node announces that a move runs if no other node has, and the longest part of the
/// move's duration that this time may be.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(1);
const ANNOUNCE_PART: f64 = 0.1;
/// Least time until a node writes a state again that a restored store lacks, in addition to its share of the spread.
const REWRITE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of former identities of an order that are remembered.
const MAX_FORMER: usize = 8;

/// A version move at this node.
#[derive(Debug)]
pub(super) struct Move {
    pub(super) order: MoveOrder,
    /// Identities that the order had before the store was restored from an older copy.
    pub(super) former_ids: SmallVec<[OrderId; 1]>,
    pub(super) ledger: LedgerClient,
    pub(super) seen_at: Time,
    /// Versions that the service had before the move was completed. Calls to their leafs stop at once.
    pub(super) previous: SmallVec<[Name; 2]>,
    /// Since when the order has been missing in the listings, which may be older than what this node knows.
    pub(super) missing_since: Option<Time>,
    /// Whether the store has confirmed that the order was withdrawn before this node knew the end of the move.
    pub(super) is_withdrawn: bool,
    /// Reason for the present state.
    pub(super) cause: MoveCause,
    /// Latest state that this node asked to be recorded.
    pub(super) requested: Option<MoveState>,
    /// Set when the store was restored from an older copy: no state is written again before. `None` once the store is known
    /// to hold the state.
    pub(super) rewrite_after: Option<Time>,
    /// Whether the restored store is known to lack the end of the move.
    pub(super) is_end_lost: bool,
    /// Part of this node in the spread of writes after a return of the store.
    pub(super) jitter: Duration,
    /// Number of calls at the latest report, and its time.
    pub(super) reported: (u64, Time),
}

impl Move {
    /// Begins the move of an order that is new to this node.
    pub(super) fn new(order: MoveOrder, ledger: LedgerClient, now: Time) -> Self {
        Self {
            order,
            former_ids: SmallVec::new(),
            ledger,
            seen_at: now,
            previous: SmallVec::new(),
            missing_since: None,
            is_withdrawn: false,
            cause: MoveCause::Ordered,
            requested: None,
            rewrite_after: None,
            is_end_lost: false,
            jitter: Duration::ZERO,
            reported: (0, now),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        !self.order.state.is_final()
    }

    /// Applies the end of the move to the versions.
    pub(super) fn apply_end(&mut self, versions: &mut Versions) {
        let (service, version) = (&self.order.service, &self.order.version);
        match self.order.state {
            MoveState::Completed if self.previous.is_empty() => {
                self.previous = versions.complete(service, version);
            }
            MoveState::RolledBack => versions.roll_back(service, version),
            MoveState::Asked | MoveState::Running | MoveState::Completed => {}
        }
    }

    /// Returns when this node announces that the move runs if no other node has.
    pub(super) fn announce_at(&self) -> Time {
        let delay = ANNOUNCE_DELAY.min(self.order.duration.mul_f64(ANNOUNCE_PART));
        (self.seen_at + delay).max(self.rewrite_after.unwrap_or_default())
    }

    /// Returns when the end of the move is written again, if the store lacks it.
    pub(super) fn rewrite_at(&self) -> Option<Time> {
        self.rewrite_after.filter(|_| self.is_end_lost)
    }

    pub(super) fn is_for(&self, order: &MoveOrder) -> bool {
        self.order.version == order.version && self.has_id(order.id)
    }

    /// Returns whether this is, or was before a return of the store, the identity of the order.
    pub(super) fn has_id(&self, id: OrderId) -> bool {
        let mut former = self.former_ids.iter();
        self.order.id.is_same(id) || former.any(|former| former.is_same(id))
    }

    /// Returns whether an order is the same as this one, written again after a return of the store. Once the store has
    /// settled, it is a new one, unless the service has been moved already.
    pub(super) fn is_restored_by(&self, order: &MoveOrder, is_settled: bool) -> bool {
        let (held, listed) = (self.order.id.revision, order.id.revision);
        let is_later_era = held.is_of_earlier_era(listed);
        let was_renamed = held.era == listed.era && !self.former_ids.is_empty();
        let is_completed = self.order.state == MoveState::Completed;
        let is_rewritten = match is_settled {
            false => is_later_era || was_renamed,
            true => is_later_era && is_completed,
        };
        let is_same = self.order.version == order.version && self.order.duration == order.duration;
        is_rewritten && is_same && !self.is_withdrawn
    }

    /// Applies the order as it is listed, also if a restored store lists it under another identity.
    pub(super) fn listed(&mut self, order: MoveOrder, limits: MoveLimits, now: Time) {
        self.missing_since = None;
        if !self.has_id(order.id) {
            self.rename(order.id, now);
        }
        self.ledger.set_limits(limits);
        self.update(order, now);
    }

    /// Takes over the identity that the order has in the restored store.
    fn rename(&mut self, id: OrderId, now: Time) {
        self.rewrite_after
            .get_or_insert(now + REWRITE_DELAY + self.jitter);
        self.former_ids.push(self.order.id);
        if self.former_ids.len() > MAX_FORMER {
            self.former_ids.remove(0);
        }
        self.order.id = id;
        // What was asked for under the former identity may have come to nothing.
        if self.is_running() {
            self.requested = None;
        }
    }

    /// Has the state of the move written again if the store lacks it, and the postings, since the store was restored from
    /// an older copy.
    pub(super) fn store_restored(&mut self, jitter: Duration, now: Time) {
        self.jitter = jitter;
        self.rewrite_after = Some(now + REWRITE_DELAY + jitter);
        self.is_end_lost = false;
        if self.is_running() {
            self.requested = None;
        }
        self.ledger.store_restored(now + jitter);
    }

    pub(super) fn count(&self) -> MoveCount {
        MoveCount {
            calls: self.ledger.calls,
            trials: self.ledger.trials,
            totals: self.ledger.totals.clone(),
        }
    }

    /// Applies a listed order. A state that is final at this node stays, unless the listed state is final
    /// as well.
    fn update(&mut self, order: MoveOrder, now: Time) {
        self.ledger.note_elapsed(order.elapsed, now);
        let state = match (self.order.state, order.state) {
            (held, listed) if held.is_final() && !listed.is_final() => held,
            (_, listed) => listed,
        };
        if self.rewrite_after.is_some() {
            self.is_end_lost = state.is_final() && order.state != state && !self.is_withdrawn;
        }
        if order.state == state && state != MoveState::Asked {
            self.rewrite_after = None;
        }
        // An earlier program, or the state from before a return of the store, names the order otherwise.
        let is_current = order.id.revision.number > 0 && self.order.id.is_same(order.id);
        let id = if is_current { order.id } else { self.order.id };
        self.order = MoveOrder { id, state, ..order };
    }

    /// Returns the state that is to be recorded next, if any.
    pub(super) fn due_state(&self, now: Time) -> Option<MoveState> {
        if let Some(at) = self.rewrite_at() {
            return (now >= at).then_some(self.order.state);
        }
        let state = match (self.order.state, self.cause) {
            (MoveState::Asked, _) => {
                // One announcement is enough. The process that began the ledger makes it, the others only if it
                // is late.
                let is_first = self.ledger.totals.processes == 1;
                let is_late = now >= self.announce_at();
                (is_first || is_late).then_some(MoveState::Running)?
            }
            (MoveState::Running, _) | (_, MoveCause::Ordered) => return None,
            (state, MoveCause::Ruled(_)) => state,
        };
        (self.requested != Some(state)).then_some(state)
    }
    /// Records that this node has asked for a state to be recorded.
    pub(super) fn state_requested(&mut self, state: MoveState, now: Time) {
        self.requested = Some(state);
        if std::mem::take(&mut self.is_end_lost) {
            self.rewrite_after = Some(now + REWRITE_DELAY);
        }
    }
}
