//! Version moves: to which version of a service's leafs a call goes.
//!
//! While a move runs, a call goes to the new version only with a permit from the move's ledger, which all
//! nodes share ([`monsoondeal_moves::Ledger`]). Hedges and retries stay with the old version while it has
//! leafs, so that a bad version costs a caller at most one call.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{LatencyHistogram, MoveLimits, OrderId, PostingReply, Ruling, Totals};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Name;
use crate::directory::{Directory, SETTLE_TIME};
use crate::ledger_client::{CallRecord, LedgerClient, MovePost};
use crate::versions::Versions;

/// Time between two reports on a running move.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Part of the move's duration in which cold leafs of the new version are not called.
const WARM_ONLY_PART: f64 = 0.4;
/// Time after which a node announces that a move runs if no other node has, and the longest part of the
/// move's duration that this time may be.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(1);
const ANNOUNCE_PART: f64 = 0.1;
/// Least time until a node writes a state again that a restored store lacks, in addition to its share of the spread.
const REWRITE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of earlier orders and identities per service that are remembered.
const MAX_FORMER: usize = 8;

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

/// A version move at this node.
#[derive(Debug)]
struct Move {
    order: MoveOrder,
    /// Identities that the order had before the store was restored from an older copy.
    former_ids: SmallVec<[OrderId; 1]>,
    ledger: LedgerClient,
    seen_at: Time,
    /// Versions that the service had before the move was completed. Calls to their leafs stop at once.
    previous: SmallVec<[Name; 2]>,
    /// Since when the order has been missing in the listings, which may be older than what this node knows.
    missing_since: Option<Time>,
    /// Whether the store has confirmed that the order was withdrawn before this node knew the end of the move.
    is_withdrawn: bool,
    /// Reason for the present state.
    cause: MoveCause,
    /// Latest state that this node asked to be recorded.
    requested: Option<MoveState>,
    /// Set when the store was restored from an older copy: no state is written again before. `None` once the store is known
    /// to hold the state.
    rewrite_after: Option<Time>,
    /// Whether the restored store is known to lack the end of the move.
    is_end_lost: bool,
    /// Part of this node in the spread of writes after a return of the store.
    jitter: Duration,
    /// Number of calls at the latest report, and its time.
    reported: (u64, Time),
}

impl Move {
    fn is_running(&self) -> bool {
        !self.order.state.is_final()
    }

    /// Applies the end of the move to the versions.
    fn apply_end(&mut self, versions: &mut Versions) {
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
    fn announce_at(&self) -> Time {
        let delay = ANNOUNCE_DELAY.min(self.order.duration.mul_f64(ANNOUNCE_PART));
        (self.seen_at + delay).max(self.rewrite_after.unwrap_or_default())
    }

    /// Returns when the end of the move is written again, if the store lacks it.
    fn rewrite_at(&self) -> Option<Time> {
        self.rewrite_after.filter(|_| self.is_end_lost)
    }

    fn is_for(&self, order: &MoveOrder) -> bool {
        self.order.version == order.version && self.has_id(order.id)
    }

    /// Returns whether this is, or was before a return of the store, the identity of the order.
    fn has_id(&self, id: OrderId) -> bool {
        let mut former = self.former_ids.iter();
        self.order.id.is_same(id) || former.any(|former| former.is_same(id))
    }

    /// Returns whether an order is the same as this one, written again after a return of the store. Once the store has
    /// settled, it is a new one, unless the service has been moved already.
    fn is_restored_by(&self, order: &MoveOrder, is_settled: bool) -> bool {
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
    fn store_restored(&mut self, jitter: Duration, now: Time) {
        self.jitter = jitter;
        self.rewrite_after = Some(now + REWRITE_DELAY + jitter);
        self.is_end_lost = false;
        if self.is_running() {
            self.requested = None;
        }
        self.ledger.store_restored(now + jitter);
    }

    fn count(&self) -> MoveCount {
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
}

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
    /// Orders that others of their service have replaced, oldest first.
    replaced: HashMap<Name, SmallVec<[Replaced; 2]>>,
    /// When the store has settled after it was restored from an older copy: what the operators had written since the copy
    /// has been written again.
    settles_at: Time,
    versions: Versions,
}

/// An order that another one has replaced.
#[derive(Debug)]
struct Replaced {
    id: OrderId,
    version: Name,
}

impl Replaced {
    /// Returns whether an order that a restored store lists is this one: a copy keeps the numbers.
    fn is_copy(&self, order: &MoveOrder) -> bool {
        let (held, listed) = (self.id, order.id);
        self.version == order.version
            && held.created == listed.created
            && held.revision.number == listed.revision.number
            && held.revision.is_of_earlier_era(listed.revision)
    }
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

    /// Returns whether an order is one that another has replaced, in the older copy from which the store was restored a
    /// moment ago.
    fn is_outdated(&self, order: &MoveOrder, now: Time) -> bool {
        let replaced = self.replaced.get(&order.service);
        let is_copy = replaced.is_some_and(|list| list.iter().any(|r| r.is_copy(order)));
        is_copy && now < self.settles_at
    }

    /// Remembers an order that another one replaces.
    fn remember_replaced(&mut self, order: &MoveOrder) {
        let list = self.replaced.entry(order.service.clone()).or_default();
        list.push(Replaced {
            id: order.id,
            version: order.version.clone(),
        });
        if list.len() > MAX_FORMER {
            list.remove(0);
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
            Some(mut held) if held.is_for(&order) => {
                held.missing_since = None;
                held.ledger.set_limits(limits);
                held.update(order, now);
                held
            }
            Some(mut held) if held.is_restored_by(&order, is_settled) => {
                held.missing_since = None;
                held.rename(order.id, now);
                held.ledger.set_limits(limits);
                held.update(order, now);
                held
            }
            // The listing is older than what this node knows.
            Some(held) if order.id.is_before(held.order.id) || self.is_outdated(&order, now) => {
                held
            }
            held => {
                if let Some(held) = held {
                    self.remember_replaced(&held.order);
                }
                self.versions.mark_tried(&service, &order.version);
                let mut ledger = begin(&service, limits);
                ledger.note_elapsed(order.elapsed, now);
                Move {
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
                    former_ids: SmallVec::new(),
                    order,
                }
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
            let Some(next_state) = due_state(mv, now) else {
                continue;
            };
            mv.requested = Some(next_state);
            if mv.is_end_lost {
                mv.is_end_lost = false;
                mv.rewrite_after = Some(now + REWRITE_DELAY);
            }
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

/// Returns the state that is to be recorded next, if any.
fn due_state(mv: &Move, now: Time) -> Option<MoveState> {
    if let Some(at) = mv.rewrite_at() {
        return (now >= at).then_some(mv.order.state);
    }
    let state = match (mv.order.state, mv.cause) {
        (MoveState::Asked, _) => {
            // One announcement is enough. The process that began the ledger makes it, the others only if it
            // is late.
            let is_first = mv.ledger.totals.processes == 1;
            let is_late = now >= mv.announce_at();
            (is_first || is_late).then_some(MoveState::Running)?
        }
        (MoveState::Running, _) | (_, MoveCause::Ordered) => return None,
        (state, MoveCause::Ruled(_)) => state,
    };
    (mv.requested != Some(state)).then_some(state)
}
