//! State machine of one query over all groups of a partition map.
//!
//! A query is pinned to one snapshot. It calls one leaf of every group, retries refused calls on
//! another replica, hedges late calls within a budget, and ends when every group is answered or
//! lost, or at its deadline. Only answers stamped with the query's own snapshot count.

use std::time::Duration;

use monsoondeal_core::{CallId, Coverage, Refusal, Snapshot, Time, UnknownReason};
use smallvec::SmallVec;

use crate::plan::{Action, Answer, LossReason, Plan, QueryContext, QuerySettings, Reply};

/// Calls with an unknown outcome, per replica of a group, at which the group is lost.
const MAX_UNKNOWN_PER_REPLICA: u32 = 2;
/// Largest factor by which the wait between two attempts at a refused group grows.
const MAX_BACKOFF_FACTOR: u32 = 16;
/// Largest number of hedged calls for one group.
const MAX_HEDGES_PER_GROUP: u32 = 2;
/// Wait before the next hedge after one was refused or the budget was spent.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A call under way.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    call: CallId,
    replica: usize,
    sent_at: Time,
}

#[derive(Debug)]
struct GroupState<T> {
    running: SmallVec<[RunningCall; 2]>,
    part: Option<T>,
    loss: Option<LossReason>,
    refusals: u32,
    /// Calls that ended with an unknown outcome.
    unknown_ends: u32,
    /// Time of the first refusal.
    first_refused: Option<Time>,
    hedges: u32,
    /// Whether a late call of the group was recorded.
    is_late: bool,
    /// Earliest time of the next hedge, set when a hedge is refused.
    hedge_after: Option<Time>,
    /// When the first call was sent.
    first_sent: Option<Time>,
    /// When the group is called again after a refusal or an unknown outcome.
    retry_at: Option<Time>,
    /// Replica whose call was the last to end without an answer; another is preferred.
    last_failed: Option<usize>,
}

impl<T> Default for GroupState<T> {
    fn default() -> Self {
        Self {
            running: SmallVec::new(),
            part: None,
            loss: None,
            refusals: 0,
            unknown_ends: 0,
            first_refused: None,
            hedges: 0,
            is_late: false,
            hedge_after: None,
            first_sent: None,
            retry_at: None,
            last_failed: None,
        }
    }
}

impl<T> GroupState<T> {
    fn is_open(&self) -> bool {
        self.part.is_none() && self.loss.is_none()
    }
}

/// `Query` is the state machine of one query.
#[derive(Debug)]
pub struct Query<T> {
    plan: std::rc::Rc<Plan>,
    settings: QuerySettings,
    groups: Vec<GroupState<T>>,
    started: Time,
    /// Groups neither answered nor lost.
    open_groups: usize,
    answered_groups: usize,
    /// Delay before a call is hedged, fixed at the start of the query.
    hedge_delay: Duration,
    slowest: Option<(u32, Duration)>,
    calls: u32,
    hedges: u32,
    errors: u32,
    /// Earliest time of the next hedge of any group, set when the budget is spent.
    hedge_after: Time,
}

impl<T> Query<T> {
    /// Starts a query and sends its first calls.
    pub fn start(
        plan: std::rc::Rc<Plan>,
        settings: QuerySettings,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) -> Self {
        let count = plan.groups.len();
        let mut query = Self {
            plan,
            settings,
            groups: std::iter::repeat_with(GroupState::default)
                .take(count)
                .collect(),
            started: now,
            open_groups: count,
            answered_groups: 0,
            hedge_delay: settings.hedge_delay.unwrap_or(cx.delay.delay()),
            slowest: None,
            calls: 0,
            hedges: 0,
            errors: 0,
            hedge_after: now,
        };
        cx.hedges.earn(count);
        cx.retries.earn(count);
        for index in 0..count {
            query.send_call(index, false, now, cx, actions);
        }
        query
    }

    /// Returns whether every group is answered or lost.
    pub fn is_done(&self) -> bool {
        self.open_groups == 0
    }

    /// Returns the snapshot that the query is pinned to.
    pub fn snapshot(&self) -> Snapshot {
        self.plan.snapshot
    }

    /// Returns the deadline.
    pub fn deadline(&self) -> Time {
        self.settings.deadline
    }

    /// Handles the outcome of a call. Outcomes of cancelled calls are ignored.
    pub fn on_reply(
        &mut self,
        call: CallId,
        reply: Reply<T>,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some((index, running)) = self.take_running(call) else {
            return;
        };
        let leaf = self.plan.groups[index].leafs[running.replica];
        match reply {
            Reply::Data { stamp, part } if stamp == self.plan.snapshot => {
                cx.replicas.record_answer(leaf, now.since(running.sent_at));
                self.on_part(index, part, now, cx, actions);
            }
            Reply::Data { .. } if self.settings.repeatable => {
                cx.replicas.record_failure(leaf, now);
                self.on_refusal(index, running.replica, Refusal::Mismatch, now);
            }
            Reply::Data { .. } => {
                // The call ran on another snapshot: its answer cannot be used, and a retry might run
                // the request again.
                cx.replicas.record_failure(leaf, now);
                self.lose_group(
                    index,
                    LossReason::Unknown(UnknownReason::LeafError),
                    now,
                    cx,
                    actions,
                );
            }
            Reply::NotRun(reason) => {
                if self.groups[index].running.is_empty() {
                    cx.replicas.record_failure(leaf, now);
                    self.on_refusal(index, running.replica, reason, now);
                } else {
                    // Another call for the group is in flight, so this one counts as a refused hedge, and its
                    // token is given back.
                    cx.replicas.record_abandoned(leaf, Duration::ZERO);
                    cx.hedges.refund();
                    let group = &mut self.groups[index];
                    group.hedges = group.hedges.saturating_sub(1);
                    group.last_failed = Some(running.replica);
                    group.hedge_after = Some(now + HEDGE_RETRY_DELAY);
                }
            }
            Reply::Unknown(reason) => {
                let leaf_error = matches!(
                    reason,
                    UnknownReason::LeafError | UnknownReason::ConnectionLost
                );
                self.errors += u32::from(leaf_error);
                cx.replicas.record_failure(leaf, now);
                self.on_unknown(index, running.replica, reason, now, cx, actions);
            }
        }
        self.on_tick(now, cx, actions);
    }

    /// Sends due retries and hedges, and gives up all open groups at the deadline.
    pub fn on_tick(&mut self, now: Time, cx: &mut QueryContext<'_>, actions: &mut Vec<Action>) {
        if now >= self.settings.deadline {
            self.on_deadline(now, cx, actions);
            return;
        }
        for index in 0..self.groups.len() {
            let group = &mut self.groups[index];
            if group.retry_at.is_some_and(|due| now >= due) {
                group.retry_at = None;
                self.send_call(index, false, now, cx, actions);
            }
        }
        self.hedge_late_calls(now, cx, actions);
    }

    /// Returns when [`Query::on_tick`] is to be called next if no reply arrives earlier.
    pub fn next_wake(&self) -> Time {
        let mut wake = self.settings.deadline;
        for group in self.groups.iter().filter(|g| g.is_open()) {
            if let Some(due) = group.retry_at {
                wake = wake.min(due);
            }
            if let (Some(latest), true) = (group.running.last(), self.may_hedge(group)) {
                let due = self.hedge_due(group, latest);
                wake = wake.min(due.max(self.hedge_after));
            }
        }
        wake
    }

    /// Returns the answer of an ended query.
    pub fn into_answer(self, now: Time) -> Answer<T> {
        let total = self.groups.len() as u32;
        let mut parts = Vec::with_capacity(self.groups.len());
        let mut lost = Vec::new();
        for (group, state) in self.plan.groups.iter().zip(self.groups) {
            match state.part {
                Some(part) => parts.push((group.group, part)),
                None => lost.push((group.group, state.loss.unwrap_or(LossReason::Deadline))),
            }
        }
        Answer {
            snapshot: self.plan.snapshot,
            coverage: Coverage {
                answered: parts.len() as u32,
                total,
            },
            parts,
            lost,
            slowest: self.slowest,
            elapsed: now.since(self.started),
            calls: self.calls,
            hedges: self.hedges,
            errors: self.errors,
        }
    }

    fn take_running(&mut self, call: CallId) -> Option<(usize, RunningCall)> {
        for (index, group) in self.groups.iter_mut().enumerate() {
            if let Some(i) = group.running.iter().position(|r| r.call == call) {
                return Some((index, group.running.remove(i)));
            }
        }
        None
    }

    /// Calls a replica of the group, not the one that failed last where there is another.
    fn send_call(
        &mut self,
        index: usize,
        hedge: bool,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let plan = &self.plan.groups[index];
        let group = &mut self.groups[index];
        let is_called = |i: usize| group.running.iter().any(|r| r.replica == i);
        let last_failed = group.last_failed;
        let candidate = cx
            .replicas
            .pick(&plan.leafs, now, |i| is_called(i) || Some(i) == last_failed);
        // A hedge goes to a leaf that is already being called rather than to one that is avoided.
        let preferred =
            candidate.filter(|&i| !cx.replicas.is_avoided(plan.leafs[i], now) || !hedge);
        let choice = preferred
            .or_else(|| {
                cx.replicas
                    .pick(&plan.leafs, now, |i| Some(i) == last_failed)
            })
            .or_else(|| cx.replicas.pick(&plan.leafs, now, |_| false));
        let Some(replica) = choice else {
            group.loss = Some(LossReason::NoLeaf);
            self.open_groups -= 1;
            return;
        };

        let leaf = plan.leafs[replica];
        let call = *cx.next_call;
        cx.next_call.0 += 1;
        self.calls += 1;
        cx.replicas.record_sent(leaf);
        group.first_sent.get_or_insert(now);
        group.running.push(RunningCall {
            call,
            replica,
            sent_at: now,
        });
        actions.push(Action::Call {
            call,
            group: plan.group,
            leaf,
            hedge,
        });
    }

    fn on_part(
        &mut self,
        index: usize,
        part: T,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(first) = self.groups[index].first_sent {
            cx.delay.record(now.since(first));
        }
        self.groups[index].part = Some(part);
        self.open_groups -= 1;
        self.answered_groups += 1;
        let elapsed = now.since(self.started);
        self.slowest = Some((self.plan.groups[index].group, elapsed));
        self.cancel_running(index, now, cx, actions);
    }

    fn on_refusal(&mut self, index: usize, replica: usize, reason: Refusal, now: Time) {
        let replicas = self.plan.groups[index].leafs.len() as u32;
        let group = &mut self.groups[index];
        group.last_failed = Some(replica);
        group.refusals += 1;
        let first_refused = *group.first_refused.get_or_insert(now);
        let round = group.refusals / replicas;
        // A refusal for overload or cold start means that the leaf cannot answer in time; calling it
        // again would add load.
        let gives_up = match reason {
            Refusal::Expired => true,
            Refusal::Overload | Refusal::Cold => round > 0,
            _ => now.since(first_refused) >= self.settings.refusal_timeout,
        };
        if gives_up {
            group.loss = Some(LossReason::NotRun(reason));
            self.open_groups -= 1;
            return;
        }
        // The first call to each replica is immediate; later rounds back off.
        let factor = 1_u32
            .checked_shl(round)
            .unwrap_or(MAX_BACKOFF_FACTOR)
            .min(MAX_BACKOFF_FACTOR);
        let wait = if round == 0 {
            Duration::ZERO
        } else {
            self.settings.backoff * factor
        };
        group.retry_at = Some(now + wait);
    }

    fn on_unknown(
        &mut self,
        index: usize,
        replica: usize,
        reason: UnknownReason,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.repeatable {
            self.lose_group(index, LossReason::Unknown(reason), now, cx, actions);
            return;
        }
        if !self.groups[index].running.is_empty() {
            return;
        }
        let replicas = self.plan.groups[index].leafs.len() as u32;
        let group = &mut self.groups[index];
        group.last_failed = Some(replica);
        group.unknown_ends += 1;
        if group.unknown_ends < replicas * MAX_UNKNOWN_PER_REPLICA && cx.retries.try_spend() {
            group.retry_at = Some(now);
        } else {
            self.lose_group(index, LossReason::Unknown(reason), now, cx, actions);
        }
    }

    fn lose_group(
        &mut self,
        index: usize,
        loss: LossReason,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        self.groups[index].loss = Some(loss);
        self.groups[index].retry_at = None;
        self.open_groups -= 1;
        self.cancel_running(index, now, cx, actions);
    }

    fn cancel_running(
        &mut self,
        index: usize,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        for running in std::mem::take(&mut self.groups[index].running) {
            let leaf = self.plan.groups[index].leafs[running.replica];
            cx.replicas
                .record_abandoned(leaf, now.since(running.sent_at));
            actions.push(Action::Cancel {
                call: running.call,
                leaf,
            });
        }
    }

    /// Returns when a group's latest call counts as late and may be hedged.
    fn hedge_due(&self, group: &GroupState<T>, latest: &RunningCall) -> Time {
        (latest.sent_at + self.hedge_delay).max(group.hedge_after.unwrap_or_default())
    }

    fn may_hedge(&self, group: &GroupState<T>) -> bool {
        self.settings.repeatable && group.is_open() && group.hedges < MAX_HEDGES_PER_GROUP
    }

    /// Hedges late calls as far as the budget allows.
    fn hedge_late_calls(
        &mut self,
        now: Time,
        cx: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let Some(latest) = group.running.last().copied() else {
                continue;
            };
            if !self.may_hedge(group) || now < self.hedge_due(group, &latest) {
                continue;
            }
            if !std::mem::replace(&mut self.groups[index].is_late, true) {
                let leaf = self.plan.groups[index].leafs[latest.replica];
                cx.replicas.record_late(leaf, now);
            }
            if now < self.hedge_after {
                return;
            }
            if !cx.hedges.try_spend() {
                self.hedge_after = now + HEDGE_RETRY_DELAY;
                return;
            }
            self.groups[index].hedges += 1;
            self.hedges += 1;
            self.send_call(index, true, now, cx, actions);
        }
    }

    fn on_deadline(&mut self, now: Time, cx: &mut QueryContext<'_>, actions: &mut Vec<Action>) {
        for index in 0..self.groups.len() {
            if !self.groups[index].is_open() {
                continue;
            }
            let loss = if self.groups[index].running.is_empty() {
                LossReason::NotRun(Refusal::Expired)
            } else {
                LossReason::Unknown(UnknownReason::Timeout)
            };
            self.lose_group(index, loss, now, cx, actions);
        }
    }
}
