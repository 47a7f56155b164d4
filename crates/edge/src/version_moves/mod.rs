//! Version moves: to which version of a service's leafs a call goes.
//!
//! While a move runs, a call goes to the new version only with a permit from the move's ledger, which all
//! nodes share ([`monsoondeal_moves::Ledger`]). Hedges and retries stay with the old version while it has
//! leafs, so that a bad version costs a caller at most one call.

mod messages;
mod replaced_orders;
mod single_move;

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{LatencyHistogram, MoveLimits, PostingReply, Ruling};
use smallvec::SmallVec;

pub use self::messages::{MoveCause, MoveCount, MoveDecision, MoveOrder, MoveReport, MoveState};
use self::replaced_orders::ReplacedOrders;
use self::single_move::Move;
use crate::config::Name;
use crate::directory::{Directory, SETTLE_TIME};
use crate::ledger_client::{CallRecord, LedgerClient, MovePost};
use crate::versions::Versions;

/// Time between two reports on a running move.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Part of the move's duration in which cold leafs of the new version are not called.
const WARM_ONLY_PART: f64 = 0.4;

/// `CallableLeafs` are the leafs of a service that a call may go to.
#[derive(Debug, Default)]
pub(crate) struct CallableLeafs {
    /// Leafs that any call may go to.
    pub(crate) stable: SmallVec<[LeafId; 4]>,
    /// Leafs on trial, for first calls, and for other calls while there are no stable leafs.
    pub(crate) trial: SmallVec<[LeafId; 4]>,
}

impl CallableLeafs {
    /// Keeps the leafs for which `keep` returns true.
    pub(crate) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(LeafId) -> bool,
    {
        self.stable.retain(|id| keep(*id));
        self.trial.retain(|id| keep(*id));
    }

    /// Returns whether there are no leafs.
    pub(crate) fn is_empty(&self) -> bool {
        self.stable.is_empty() && self.trial.is_empty()
    }

    /// Returns the number of leafs.
    pub(crate) fn len(&self) -> usize {
        self.stable.len() + self.trial.len()
    }

    /// Returns the stable leafs, or those on trial if there are no others.
    pub(crate) fn stable_or_trial(self) -> SmallVec<[LeafId; 4]> {
        if self.stable.is_empty() {
            self.trial
        } else {
            self.stable
        }
    }
}

/// `VersionMoves` are the version moves that the node knows.
#[derive(Debug, Default)]
pub(crate) struct VersionMoves {
    /// The latest move of each service, kept after its end.
    moves: HashMap<Name, Move>,
    /// Orders that others of their service have replaced.
    replaced: ReplacedOrders,
    /// When the store has settled after it was restored from an older copy: what the operators had written since the copy
    /// has been written again.
    settles_at: Time,
    versions: Versions,
}

impl VersionMoves {
    /// Returns whether the orders have been listed.
    pub(crate) fn orders_listed(&self) -> bool {
        self.versions.orders_listed()
    }

    /// Records the version of a leaf.
    pub(crate) fn leaf_seen(&mut self, service: &Name, version: &Name, now: Time) {
        let is_target_version = |mv: &Move| mv.order.version == *version;
        if !self.moves.get(service).is_some_and(is_target_version) {
            self.versions.leaf_seen(service, version, now);
        }
    }

    /// Records that the store was restored from an older copy: until it has settled, orders that it lacks are not taken to
    /// be withdrawn. After `jitter` the ends of moves and the postings are written again.
    pub(crate) fn store_restored(&mut self, jitter: Duration, now: Time) {
        self.settles_at = now + SETTLE_TIME;
        for mv in self.moves.values_mut() {
            mv.store_restored(jitter, now);
        }
    }

    /// Replaces the orders, each with the limits of its move. `begin` creates the ledger client of a move
    /// that is new to this node.
    pub(crate) fn set_orders<F>(
        &mut self,
        orders: Vec<(MoveOrder, MoveLimits)>,
        now: Time,
        mut begin: F,
    ) where
        F: FnMut(&Name, MoveLimits) -> LedgerClient,
    {
        self.versions.note_orders_listed();
        let is_listed = |name: &Name| orders.iter().any(|(order, _)| order.service == *name);
        for (name, mv) in &mut self.moves {
            if mv.is_running() && !is_listed(name) && mv.missing_since.is_none() {
                mv.missing_since = Some(now);
                self.versions.recheck_orders(now);
            }
        }
        for (order, limits) in orders {
            self.set_order(order, limits, now, &mut begin);
        }
    }

    fn set_order<F>(&mut self, order: MoveOrder, limits: MoveLimits, now: Time, begin: &mut F)
    where
        F: FnMut(&Name, MoveLimits) -> LedgerClient,
    {
        let service = order.service.clone();
        let is_settled = now >= self.settles_at;
        let mut mv = match self.moves.remove(&service) {
            Some(mut held) if held.is_for(&order) || held.is_restored_by(&order, is_settled) => {
                held.listed(order, limits, now);
                held
            }
            // The listing is older than what this node knows.
            Some(held)
                if order.id.is_before(held.order.id)
                    || (!is_settled && self.replaced.has_copy(&order)) =>
            {
                held
            }
            held => {
                if let Some(held) = held {
                    self.replaced.remember(&held.order);
                }
                self.versions.mark_tried(&service, &order.version);
                let mut ledger = begin(&service, limits);
                ledger.note_elapsed(order.elapsed, now);
                Move::new(order, ledger, now)
            }
        };
        mv.apply_end(&mut self.versions);
        self.moves.insert(service, mv);
    }

    /// Returns which of a service's leafs a call may go to.
    pub(crate) fn callable(
        &mut self,
        service: &str,
        leafs: SmallVec<[LeafId; 4]>,
        directory: &Directory,
        now: Time,
    ) -> CallableLeafs {
        let mv = self.moves.get_mut(service);
        if mv.is_none() && self.versions.all_established(service) {
            return CallableLeafs {
                stable: leafs,
                ..CallableLeafs::default()
            };
        }
        let version = |id: &LeafId| directory.entry(*id).map(|entry| &entry.version);
        let versions = &self.versions;
        let is_established =
            |id: &LeafId| version(id).is_some_and(|v| versions.is_established(service, v));
        let is_unjudged =
            |id: &LeafId| version(id).is_some_and(|v| versions.is_unjudged(service, v));
        let Some(mv) = mv else {
            let stable = leafs.into_iter().filter(is_established).collect();
            return CallableLeafs {
                stable,
                ..CallableLeafs::default()
            };
        };
        let is_new = |id: &LeafId| match mv.order.state {
            MoveState::Completed => version(id).is_none_or(|v| {
                let is_confirmed = *v == mv.order.version || versions.is_established(service, v);
                is_confirmed && !mv.previous.contains(v)
            }),
            _ => version(id) == Some(&mv.order.version),
        };
        let (new, old): (SmallVec<[LeafId; 4]>, SmallVec<[LeafId; 4]>) =
            leafs.into_iter().partition(is_new);
        let (established, others): (SmallVec<[LeafId; 4]>, SmallVec<[LeafId; 4]>) =
            old.into_iter().partition(is_established);
        let old: SmallVec<[LeafId; 4]> = if established.is_empty() {
            others.into_iter().filter(is_unjudged).collect()
        } else {
            established
        };
        let (stable, trial) = match mv.order.state {
            MoveState::Completed if new.is_empty() => (old, new),
            MoveState::Completed => (new, SmallVec::new()),
            MoveState::RolledBack if old.is_empty() && mv.is_withdrawn => (new, old),
            MoveState::RolledBack => (old, SmallVec::new()),
            MoveState::Asked | MoveState::Running => {
                let warm_after = mv.order.duration.mul_f64(WARM_ONLY_PART);
                let may_be_cold = mv.ledger.elapsed(now) >= warm_after;
                let is_ready = |id: &LeafId| may_be_cold || !directory.is_cold(*id, now);
                let trial: SmallVec<[LeafId; 4]> = new.into_iter().filter(is_ready).collect();
                if mv.ledger.has_permit() {
                    (old, trial)
                } else {
                    if old.is_empty() && !trial.is_empty() {
                        mv.ledger.note_starved();
                    }
                    (old, SmallVec::new())
                }
            }
        };
        CallableLeafs { stable, trial }
    }

    /// Records a call that is sent to a leaf. Returns whether it goes to a version on trial.
    pub(crate) fn call_sent(&mut self, service: &str, version: &Name, now: Time) -> bool {
        let Some(mv) = self.moves.get_mut(service).filter(|s| s.is_running()) else {
            return false;
        };
        let is_new = mv.order.version == *version;
        mv.ledger.call_sent(is_new, now);
        is_new
    }

    /// Counts a call for which there was no leaf.
    pub(crate) fn call_missed(&mut self, service: &str) {
        if let Some(mv) = self.moves.get_mut(service) {
            mv.ledger.call_missed();
        }
    }

    /// Returns whether a first call should wait for a permit.
    pub(crate) fn waits_for_permit(&mut self, service: &str, now: Time) -> bool {
        let mv = self.moves.get_mut(service).filter(|s| s.is_running());
        mv.is_some_and(|mv| mv.ledger.waits_for_permit(now))
    }

    /// Records the end of a call to a leaf. `earlier_times` returns the response times that have been tracked
    /// under `tracker_key` until now.
    pub(crate) fn call_ended<F>(
        &mut self,
        (service, tracker_key): (&str, &str),
        version: &Name,
        record: CallRecord,
        now: Time,
        earlier_times: F,
    ) where
        F: FnOnce() -> LatencyHistogram,
    {
        let Some(mv) = self.moves.get_mut(service).filter(|s| s.is_running()) else {
            return;
        };
        let is_new = mv.order.version == *version;
        mv.ledger.record_earlier(tracker_key, earlier_times);
        mv.ledger.call_ended(tracker_key, is_new, record, now);
    }

    /// Returns the postings that are due.
    pub(crate) fn due_posts(&mut self, now: Time) -> Vec<MovePost> {
        let running = self.moves.values_mut().filter(|mv| mv.is_running());
        let due = running.filter_map(|mv| {
            let posting = mv.ledger.due_posting(now)?;
            Some(MovePost {
                service: mv.order.service.clone(),
                id: mv.order.id,
                former_ids: mv.former_ids.clone(),
                version: mv.order.version.clone(),
                limits: *mv.ledger.limits(),
                history: mv.ledger.history(),
                posting,
            })
        });
        due.collect()
    }

    /// Handles the reply to a posting; `None` if it is not certain that the posting was written.
    pub(crate) fn post_ended(
        &mut self,
        post: &MovePost,
        reply: Option<&PostingReply>,
        jitter: f64,
        now: Time,
    ) {
        let is_for = |mv: &&mut Move| mv.order.version == post.version && mv.has_id(post.id);
        let Some(mv) = self.moves.get_mut(&post.service).filter(is_for) else {
            return;
        };
        if reply.is_some_and(|reply| reply.is_recorded) {
            mv.ledger.history_recorded(&post.history);
        }
        let Some(ruling) = mv.ledger.post_ended(reply, jitter, now) else {
            return;
        };
        if !mv.is_running() {
            return;
        }
        mv.cause = MoveCause::Ruled(ruling);
        mv.order.state = if ruling == Ruling::Completed {
            MoveState::Completed
        } else {
            MoveState::RolledBack
        };
        mv.apply_end(&mut self.versions);
    }

    /// Returns whether the orders must be fetched now, and records that the fetch starts. A restored store that has not
    /// settled can't tell that an order was withdrawn.
    pub(crate) fn start_fetch(&mut self, now: Time) -> bool {
        now >= self.settles_at && self.versions.start_fetch(now)
    }

    /// Records that the orders of a fetch that started at `started_at` have been applied.
    pub(crate) fn orders_fetched(&mut self, started_at: Time) {
        if started_at < self.settles_at {
            self.versions.fetch_failed();
            return;
        }
        self.versions.orders_fetched(started_at);
        // A version whose order was withdrawn is not called, unless the service has no other leafs left:
        // this node may have missed the completion of the move.
        for mv in self.moves.values_mut() {
            if mv.missing_since.is_some_and(|since| since <= started_at) && mv.is_running() {
                mv.order.state = MoveState::RolledBack;
                mv.requested = Some(MoveState::RolledBack);
                mv.is_withdrawn = true;
            }
        }
    }

    /// Returns the state changes to be recorded, each once.
    pub(crate) fn due_decisions(&mut self, now: Time) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for mv in self.moves.values_mut() {
            let Some(next_state) = mv.due_state(now) else {
                continue;
            };
            mv.state_requested(next_state, now);
            decisions.push(MoveDecision {
                service: mv.order.service.clone(),
                id: mv.order.id,
                version: mv.order.version.clone(),
                state: next_state,
                cause: mv.cause,
                count: mv.count(),
            });
        }
        decisions
    }

    /// Returns the reports on running moves that are due.
    pub(crate) fn due_reports(&mut self, now: Time) -> Vec<MoveReport> {
        let due_moves = self.moves.values_mut().filter(|mv| {
            let (calls, at) = mv.reported;
            mv.is_running() && mv.ledger.calls > calls && now >= at + REPORT_PERIOD
        });
        let reports = due_moves.map(|mv| {
            mv.reported = (mv.ledger.calls, now);
            MoveReport {
                service: mv.order.service.clone(),
                version: mv.order.version.clone(),
                elapsed: mv.ledger.elapsed(now),
                count: mv.count(),
            }
        });
        reports.collect()
    }

    /// Returns when a posting, an announcement or a fetch of the orders is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let running = self.moves.values().filter(|mv| mv.is_running());
        let wakes = running.flat_map(|mv| {
            let is_announced = mv.order.state != MoveState::Asked || mv.requested.is_some();
            let announce = (!is_announced).then(|| mv.announce_at());
            [mv.ledger.next_post_at(), announce]
        });
        let rewrites = self.moves.values().filter_map(Move::rewrite_at);
        let fetch = self.versions.next_fetch().map(|at| at.max(self.settles_at));
        wakes.flatten().chain(rewrites).chain(fetch).min()
    }
}
