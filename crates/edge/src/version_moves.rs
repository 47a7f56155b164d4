//! Version moves: which version of a service's leafs a request goes to.
//!
//! While a move runs, a call goes to the new version only with a permit of the move's ledger, which all
//! nodes share ([`monsoondeal_moves::Ledger`]). Hedges and retries stay with the old version while there is
//! one, so that a bad one costs a caller at most one call.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::{LeafId, Time};
use monsoondeal_moves::{LatencyHistogram, MoveLimits, PostingReply, Ruling, Totals};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Name;
use crate::directory::Directory;
use crate::ledger_client::{CallResult, MovePost, Trial};
use crate::versions::Versions;

/// Time between two reports of what a running move has got.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Part of the move's time in which new leafs that are cold are not called.
const WARM_PART: f64 = 0.4;
/// Time after which a node notes that a move runs if nobody has, and the longest part of the move's time that
/// this may be.
const NOTE_TIME: Duration = Duration::from_secs(1);
const NOTE_PART: f64 = 0.1;

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

impl MoveState {
    /// Returns whether nothing follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// `MoveOrder` asks to move a service to another version of its leafs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MoveOrder {
    /// The service.
    pub service: Name,
    /// Grows with each order of the service.
    pub id: u64,
    /// The new version.
    pub version: Name,
    /// Time from the order within which the move must be completed.
    pub duration: Duration,
    /// How long the order has been known at least.
    pub elapsed: Duration,
    /// How far it has come.
    pub state: MoveState,
}

/// `MoveCause` is why a node asks for a change of a version move's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// The order is new.
    Ordered,
    /// The ledger of the move rules so.
    Ruled(Ruling),
}

/// `MoveCount` is what has been sent and seen in a version move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MoveCount {
    /// Calls of this node that have reached the service.
    pub calls: u64,
    /// Calls of this node that were sent to the new version.
    pub trials: u64,
    /// What all nodes together had sent and seen when this node last posted.
    pub totals: Totals,
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
    /// What has been sent and seen until now.
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
    /// What has been sent and seen until now.
    pub count: MoveCount,
}

/// A version move at this node.
#[derive(Debug)]
struct Move {
    order: MoveOrder,
    trial: Trial,
    seen_at: Time,
    /// Versions that the service had before the move was completed. Their leafs stop at once.
    former: SmallVec<[Name; 2]>,
    /// Since when the order is missing in what this node is told, which may be older than what it knows.
    missing_since: Option<Time>,
    /// Whether the store has confirmed that the order was withdrawn before this node knew the end of the move.
    is_withdrawn: bool,
    /// Why the state was asked for that the move has here.
    cause: MoveCause,
    /// The latest state asked for.
    wanted: Option<MoveState>,
    /// Calls when the move was last reported, and when that was.
    reported: (u64, Time),
}

impl Move {
    fn is_running(&self) -> bool {
        !self.order.state.is_final()
    }

    /// Notes what the end of the move means for the versions.
    fn end(&mut self, versions: &mut Versions) {
        let (service, version) = (&self.order.service, &self.order.version);
        match self.order.state {
            MoveState::Completed if self.former.is_empty() => {
                self.former = versions.moved(service, version);
            }
            MoveState::RolledBack => versions.bar(service, version),
            MoveState::Asked | MoveState::Running | MoveState::Completed => {}
        }
    }

    /// Returns when this node notes that the move runs if nobody has.
    fn note_time(&self) -> Time {
        self.seen_at + NOTE_TIME.min(self.order.duration.mul_f64(NOTE_PART))
    }

    fn is_of(&self, order: &MoveOrder) -> bool {
        self.order.version == order.version && self.order.id == order.id
    }

    fn count(&self) -> MoveCount {
        MoveCount {
            calls: self.trial.calls,
            trials: self.trial.trials,
            totals: self.trial.totals.clone(),
        }
    }

    /// Takes in what the store tells. What this node knows to be final stays, unless the store tells of
    /// another end.
    fn update(&mut self, order: MoveOrder, now: Time) {
        self.trial.note_elapsed(order.elapsed, now);
        let state = match (self.order.state, order.state) {
            (held, told) if held.is_final() && !told.is_final() => held,
            (_, told) => told,
        };
        self.order = MoveOrder { state, ..order };
    }
}

/// `Leafs` are those of a service's leafs that a call may go to.
#[derive(Debug, Default)]
pub(crate) struct Leafs {
    /// Leafs that any call may go to.
    pub(crate) usual: SmallVec<[LeafId; 4]>,
    /// Leafs on trial, for first calls, and for others while there are no usual ones.
    pub(crate) trial: SmallVec<[LeafId; 4]>,
}

impl Leafs {
    /// Returns whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.usual.is_empty() && self.trial.is_empty()
    }

    /// Returns the number of leafs.
    pub(crate) fn len(&self) -> usize {
        self.usual.len() + self.trial.len()
    }

    /// Drops those on trial unless there are no others.
    pub(crate) fn without_trial(self) -> SmallVec<[LeafId; 4]> {
        if self.usual.is_empty() {
            self.trial
        } else {
            self.usual
        }
    }
}

/// `Shifts` are the version moves that the node knows of.
#[derive(Debug, Default)]
pub(crate) struct Shifts {
    /// The latest move of each service, also once it is over.
    moves: HashMap<Name, Move>,
    versions: Versions,
}

impl Shifts {
    /// Returns whether the orders have been listed.
    pub(crate) fn knows_orders(&self) -> bool {
        self.versions.knows_orders()
    }

    /// Notes the version of a leaf.
    pub(crate) fn saw(&mut self, service: &Name, version: &Name, now: Time) {
        let is_moved = |shift: &Move| shift.order.version == *version;
        if !self.moves.get(service).is_some_and(is_moved) {
            self.versions.saw(service, version, now);
        }
    }

    /// Replaces the orders, each with what its move must keep to. `begin` creates a node's side of a move
    /// that is new to it.
    pub(crate) fn set<F>(&mut self, orders: Vec<(MoveOrder, MoveLimits)>, now: Time, mut begin: F)
    where
        F: FnMut(&Name, MoveLimits) -> Trial,
    {
        self.versions.note_orders();
        let is_listed = |name: &Name| orders.iter().any(|(order, _)| order.service == *name);
        for (name, shift) in &mut self.moves {
            if shift.is_running() && !is_listed(name) && shift.missing_since.is_none() {
                shift.missing_since = Some(now);
                self.versions.doubt(now);
            }
        }
        for (order, terms) in orders {
            self.set_one(order, terms, now, &mut begin);
        }
    }

    fn set_one<F>(&mut self, order: MoveOrder, terms: MoveLimits, now: Time, begin: &mut F)
    where
        F: FnMut(&Name, MoveLimits) -> Trial,
    {
        let service = order.service.clone();
        let mut shift = match self.moves.remove(&service) {
            // Told by someone who is behind.
            Some(held) if held.order.id > order.id => held,
            Some(mut held) if held.is_of(&order) => {
                held.missing_since = None;
                held.trial.set_terms(terms);
                held.update(order, now);
                held
            }
            _ => {
                self.versions.on_trial(&service, &order.version);
                let mut trial = begin(&service, terms);
                trial.note_elapsed(order.elapsed, now);
                Move {
                    trial,
                    seen_at: now,
                    former: SmallVec::new(),
                    missing_since: None,
                    is_withdrawn: false,
                    cause: MoveCause::Ordered,
                    wanted: None,
                    reported: (0, now),
                    order,
                }
            }
        };
        shift.end(&mut self.versions);
        self.moves.insert(service, shift);
    }

    /// Returns those of a service's leafs that a call may go to.
    pub(crate) fn sort(
        &mut self,
        service: &str,
        leafs: SmallVec<[LeafId; 4]>,
        directory: &Directory,
        now: Time,
    ) -> Leafs {
        let shift = self.moves.get_mut(service);
        if shift.is_none() && self.versions.are_proven(service) {
            return Leafs {
                usual: leafs,
                ..Leafs::default()
            };
        }
        let version = |id: &LeafId| directory.entry(*id).map(|entry| &entry.version);
        let versions = &self.versions;
        let is_proven = |id: &LeafId| version(id).is_some_and(|v| versions.is_proven(service, v));
        let is_open = |id: &LeafId| version(id).is_some_and(|v| versions.is_open(service, v));
        let Some(shift) = shift else {
            let usual = leafs.into_iter().filter(is_proven).collect();
            return Leafs {
                usual,
                ..Leafs::default()
            };
        };
        let is_new = |id: &LeafId| match shift.order.state {
            MoveState::Completed => version(id).is_none_or(|v| !shift.former.contains(v)),
            _ => version(id) == Some(&shift.order.version),
        };
        let (new, old): (SmallVec<[LeafId; 4]>, SmallVec<[LeafId; 4]>) =
            leafs.into_iter().partition(is_new);
        let (proven, others): (SmallVec<[LeafId; 4]>, SmallVec<[LeafId; 4]>) =
            old.into_iter().partition(is_proven);
        let old: SmallVec<[LeafId; 4]> = if proven.is_empty() {
            others.into_iter().filter(is_open).collect()
        } else {
            proven
        };
        let (usual, trial) = match shift.order.state {
            MoveState::Completed if new.is_empty() => (old, new),
            MoveState::Completed => (new, SmallVec::new()),
            MoveState::RolledBack if old.is_empty() && shift.is_withdrawn => (new, old),
            MoveState::RolledBack => (old, SmallVec::new()),
            MoveState::Asked | MoveState::Running => {
                let warm_after = shift.order.duration.mul_f64(WARM_PART);
                let may_be_cold = shift.trial.elapsed(now) >= warm_after;
                let is_ready = |id: &LeafId| may_be_cold || !directory.is_cold(*id, now);
                let trial: SmallVec<[LeafId; 4]> = new.into_iter().filter(is_ready).collect();
                if shift.trial.has_permit() {
                    (old, trial)
                } else {
                    if old.is_empty() && !trial.is_empty() {
                        shift.trial.starve();
                    }
                    (old, SmallVec::new())
                }
            }
        };
        Leafs { usual, trial }
    }

    /// Notes a call that is sent to a leaf. Returns whether it goes to a version on trial.
    pub(crate) fn sent(&mut self, service: &str, version: &Name, now: Time) -> bool {
        let Some(shift) = self.moves.get_mut(service).filter(|s| s.is_running()) else {
            return false;
        };
        let is_new = shift.order.version == *version;
        shift.trial.sent(is_new, now);
        is_new
    }

    /// Counts a call that was wanted and found no leaf.
    pub(crate) fn missed(&mut self, service: &str) {
        if let Some(shift) = self.moves.get_mut(service) {
            shift.trial.missed();
        }
    }

    /// Returns whether a first call is to wait for a permit.
    pub(crate) fn awaits_permit(&mut self, service: &str, now: Time) -> bool {
        let shift = self.moves.get_mut(service).filter(|s| s.is_running());
        shift.is_some_and(|shift| shift.trial.awaits_permit(now))
    }

    /// Notes the end of a call to a leaf. `before` returns the route's response times until now.
    pub(crate) fn note<F>(
        &mut self,
        (service, route): (&str, &str),
        version: &Name,
        result: CallResult,
        now: Time,
        before: F,
    ) where
        F: FnOnce() -> LatencyHistogram,
    {
        let Some(shift) = self.moves.get_mut(service).filter(|s| s.is_running()) else {
            return;
        };
        let is_new = shift.order.version == *version;
        shift.trial.note_before(route, before);
        shift.trial.note(route, is_new, result, now);
    }

    /// Returns the postings that are due.
    pub(crate) fn posts(&mut self, now: Time) -> Vec<MovePost> {
        let running = self.moves.values_mut().filter(|shift| shift.is_running());
        let posts = running.filter_map(|shift| {
            let posting = shift.trial.post(now)?;
            Some(MovePost {
                service: shift.order.service.clone(),
                id: shift.order.id,
                version: shift.order.version.clone(),
                terms: *shift.trial.terms(),
                posting,
            })
        });
        posts.collect()
    }

    /// Takes in the answer to a posting; `None` if it may not have been written.
    pub(crate) fn posted(
        &mut self,
        post: &MovePost,
        answer: Option<&PostingReply>,
        chance: f64,
        now: Time,
    ) {
        let is_of =
            |shift: &&mut Move| shift.order.version == post.version && shift.order.id == post.id;
        let Some(shift) = self.moves.get_mut(&post.service).filter(is_of) else {
            return;
        };
        let Some(ruling) = shift.trial.posted(answer, chance, now) else {
            return;
        };
        if !shift.is_running() {
            return;
        }
        shift.cause = MoveCause::Ruled(ruling);
        shift.order.state = if ruling == Ruling::Completed {
            MoveState::Completed
        } else {
            MoveState::RolledBack
        };
        shift.end(&mut self.versions);
    }

    /// Returns whether the orders are to be asked for, and notes that they are.
    pub(crate) fn ask_orders(&mut self, now: Time) -> bool {
        self.versions.ask(now)
    }

    /// Notes that the store has told the orders that it was asked for at `asked_at`, and that they are known.
    pub(crate) fn orders_fetched(&mut self, asked_at: Time) {
        self.versions.answered(asked_at);
        // A version whose order was withdrawn is not called, unless the service turns out to have moved: the
        // word of the completion may have been missed.
        for shift in self.moves.values_mut() {
            if shift.missing_since.is_some_and(|since| since <= asked_at) && shift.is_running() {
                shift.order.state = MoveState::RolledBack;
                shift.wanted = Some(MoveState::RolledBack);
                shift.is_withdrawn = true;
            }
        }
    }

    /// Returns the states to ask for, each once.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for shift in self.moves.values_mut() {
            let Some(due) = due(shift, now) else {
                continue;
            };
            shift.wanted = Some(due);
            decisions.push(MoveDecision {
                service: shift.order.service.clone(),
                version: shift.order.version.clone(),
                state: due,
                cause: shift.cause,
                count: shift.count(),
            });
        }
        decisions
    }

    /// Returns what is to be reported of running moves.
    pub(crate) fn report(&mut self, now: Time) -> Vec<MoveReport> {
        let due = self.moves.values_mut().filter(|shift| {
            let (calls, at) = shift.reported;
            shift.is_running() && shift.trial.calls > calls && now >= at + COUNT_PERIOD
        });
        let reports = due.map(|shift| {
            shift.reported = (shift.trial.calls, now);
            MoveReport {
                service: shift.order.service.clone(),
                version: shift.order.version.clone(),
                elapsed: shift.trial.elapsed(now),
                count: shift.count(),
            }
        });
        reports.collect()
    }

    /// Returns when a move needs a look.
    pub(crate) fn next_look(&self) -> Option<Time> {
        let running = self.moves.values().filter(|shift| shift.is_running());
        let looks = running.flat_map(|shift| {
            let is_noted = shift.order.state != MoveState::Asked || shift.wanted.is_some();
            let note = (!is_noted).then(|| shift.note_time());
            [shift.trial.next_post(), note]
        });
        looks.flatten().chain(self.versions.next_ask()).min()
    }
}

/// Returns the state to ask for, if there is one.
fn due(shift: &Move, now: Time) -> Option<MoveState> {
    let state = match (shift.order.state, shift.cause) {
        (MoveState::Asked, _) => {
            // One note is enough, and the process that began the ledger has the first say.
            let is_first = shift.trial.totals.processes == 1;
            let is_late = now >= shift.note_time();
            (is_first || is_late).then_some(MoveState::Running)?
        }
        (MoveState::Running, _) | (_, MoveCause::Ordered) => return None,
        (state, MoveCause::Ruled(_)) => state,
    };
    (shift.wanted != Some(state)).then_some(state)
}
