//! The life of one query over all groups of a partition map.
//!
//! A query is pinned to one snapshot. It calls one leaf of every group, retries refused calls on
//! another replica, hedges the last few groups under a budget, and ends when every group is
//! answered or lost, or at its deadline. Only answers stamped with the query's own snapshot count.

use std::time::Duration;

use monsoondeal_core::{CallId, Coverage, Refusal, Snapshot, Time, UnknownReason};
use smallvec::SmallVec;

use crate::plan::{Action, Answer, LossReason, Plan, QueryContext, QuerySettings, Reply};

/// Repeated calls that a group may have for each of its replicas after ends that may have run.
const DOUBTS_PER_REPLICA: u32 = 2;
/// Largest factor by which the wait between two tries of a refused group grows.
const BACKOFF_GROWTH: u32 = 16;
/// Extra calls that one group may have under hedging.
const HEDGES_PER_GROUP: u32 = 2;
/// Wait before a hedge is tried again that the budget did not allow.
const HEDGE_RETRY: Duration = Duration::from_millis(1);

/// A call under way.
#[derive(Clone, Copy, Debug)]
struct Running {
    call: CallId,
    replica: usize,
    sent: Time,
}

#[derive(Debug)]
struct Group<T> {
    running: SmallVec<[Running; 2]>,
    part: Option<T>,
    loss: Option<LossReason>,
    refusals: u32,
    /// Ends that may have run.
    doubts: u32,
    /// When the first call was refused.
    refused_at: Option<Time>,
    hedges: u32,
    /// Whether the call under way was noted as late.
    late: bool,
    /// No hedge is sent before then, since one was refused.
    hedge_after: Option<Time>,
    /// When the first call was sent.
    first_sent: Option<Time>,
    /// When a refused group is tried again.
    retry_at: Option<Time>,
    /// Replica that ended last without an answer; another is preferred.
    last: Option<usize>,
}

impl<T> Default for Group<T> {
    fn default() -> Self {
        Self {
            running: SmallVec::new(),
            part: None,
            loss: None,
            refusals: 0,
            doubts: 0,
            refused_at: None,
            hedges: 0,
            late: false,
            hedge_after: None,
            first_sent: None,
            retry_at: None,
            last: None,
        }
    }
}

impl<T> Group<T> {
    fn is_open(&self) -> bool {
        self.part.is_none() && self.loss.is_none()
    }
}

/// `Query` runs one query.
#[derive(Debug)]
pub struct Query<T> {
    plan: std::rc::Rc<Plan>,
    settings: QuerySettings,
    groups: Vec<Group<T>>,
    started: Time,
    /// Groups neither answered nor lost.
    open: usize,
    answered: usize,
    /// Delay before a call is hedged, as it was at the start.
    patience: Duration,
    slowest: Option<(u32, Duration)>,
    calls: u32,
    hedges: u32,
    errors: u32,
    /// No hedge is sent before then, since the budget was spent.
    hedge_after: Time,
}

impl<T> Query<T> {
    /// Starts a query and its first calls.
    pub fn start(
        plan: std::rc::Rc<Plan>,
        settings: QuerySettings,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) -> Self {
        let count = plan.groups.len();
        let mut query = Self {
            plan,
            settings,
            groups: std::iter::repeat_with(Group::default).take(count).collect(),
            started: now,
            open: count,
            answered: 0,
            patience: settings.hedge_delay.unwrap_or(env.delay.delay()),
            slowest: None,
            calls: 0,
            hedges: 0,
            errors: 0,
            hedge_after: now,
        };
        env.hedges.earn(count);
        env.retries.earn(count);
        for at in 0..count {
            query.call(at, false, now, env, actions);
        }
        query
    }

    /// Returns whether every group is answered or lost.
    pub fn is_done(&self) -> bool {
        self.open == 0
    }

    /// Returns the snapshot that the query is pinned to.
    pub fn snapshot(&self) -> Snapshot {
        self.plan.snapshot
    }

    /// Returns the deadline.
    pub fn deadline(&self) -> Time {
        self.settings.deadline
    }

    /// Handles the end of a call. Ends of calls that are no longer wanted are ignored.
    pub fn on_reply(
        &mut self,
        call: CallId,
        reply: Reply<T>,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some((at, running)) = self.take_running(call) else {
            return;
        };
        let leaf = self.plan.groups[at].leafs[running.replica];
        match reply {
            Reply::Data { stamp, part } if stamp == self.plan.snapshot => {
                env.replicas.answered(leaf, now.since(running.sent));
                self.on_part(at, part, now, env, actions);
            }
            Reply::Data { .. } if self.settings.repeatable => {
                env.replicas.failed(leaf, now);
                self.on_refusal(at, running.replica, Refusal::Mismatch, now);
            }
            Reply::Data { .. } => {
                // It ran, though on another snapshot; its answer cannot be used.
                env.replicas.failed(leaf, now);
                self.lose(
                    at,
                    LossReason::Unknown(UnknownReason::LeafError),
                    now,
                    env,
                    actions,
                );
            }
            Reply::NotRun(reason) => {
                if self.groups[at].running.is_empty() {
                    env.replicas.failed(leaf, now);
                    self.on_refusal(at, running.replica, reason, now);
                } else {
                    // A refused hedge costs nothing; the first call goes on.
                    env.replicas.abandoned(leaf, Duration::ZERO);
                    env.hedges.refund();
                    let group = &mut self.groups[at];
                    group.hedges = group.hedges.saturating_sub(1);
                    group.last = Some(running.replica);
                    group.hedge_after = Some(now + HEDGE_RETRY);
                }
            }
            Reply::Unknown(doubt) => {
                let leaf_error = matches!(
                    doubt,
                    UnknownReason::LeafError | UnknownReason::ConnectionLost
                );
                self.errors += u32::from(leaf_error);
                env.replicas.failed(leaf, now);
                self.on_doubt(at, running.replica, doubt, now, env, actions);
            }
        }
        self.on_tick(now, env, actions);
    }

    /// Sends due retries and hedges, and gives up at the deadline.
    pub fn on_tick(&mut self, now: Time, env: &mut QueryContext<'_>, actions: &mut Vec<Action>) {
        if now >= self.settings.deadline {
            self.give_up(now, env, actions);
            return;
        }
        for at in 0..self.groups.len() {
            let group = &mut self.groups[at];
            if group.retry_at.is_some_and(|due| now >= due) {
                group.retry_at = None;
                self.call(at, false, now, env, actions);
            }
        }
        self.hedge(now, env, actions);
    }

    /// Returns when [`Query::on_tick`] has something to do without a further reply.
    pub fn next_wake(&self) -> Time {
        let mut wake = self.settings.deadline;
        for group in self.groups.iter().filter(|g| g.is_open()) {
            if let Some(due) = group.retry_at {
                wake = wake.min(due);
            }
            if let (Some(last), true) = (group.running.last(), self.may_hedge(group)) {
                let due = self.hedge_due(group, last);
                wake = wake.min(due.max(self.hedge_after));
            }
        }
        wake
    }

    /// Takes the answer of an ended query.
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

    fn take_running(&mut self, call: CallId) -> Option<(usize, Running)> {
        for (at, group) in self.groups.iter_mut().enumerate() {
            if let Some(i) = group.running.iter().position(|r| r.call == call) {
                return Some((at, group.running.remove(i)));
            }
        }
        None
    }

    /// Calls a replica of the group, another than the one that failed last where there is one.
    fn call(
        &mut self,
        at: usize,
        hedge: bool,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let plan = &self.plan.groups[at];
        let group = &mut self.groups[at];
        let busy = |i: usize| group.running.iter().any(|r| r.replica == i);
        let last = group.last;
        let other = env
            .replicas
            .pick(&plan.leafs, now, |i| busy(i) || Some(i) == last);
        // Another call to a good leaf beats one to a leaf that is known to be slow.
        let useful = other.filter(|&i| !env.replicas.is_avoided(plan.leafs[i], now) || !hedge);
        let choice = useful
            .or_else(|| env.replicas.pick(&plan.leafs, now, |i| Some(i) == last))
            .or_else(|| env.replicas.pick(&plan.leafs, now, |_| false));
        let Some(replica) = choice else {
            group.loss = Some(LossReason::NoLeaf);
            self.open -= 1;
            return;
        };

        let leaf = plan.leafs[replica];
        let call = *env.next_call;
        env.next_call.0 += 1;
        self.calls += 1;
        env.replicas.sent(leaf);
        group.first_sent.get_or_insert(now);
        group.running.push(Running {
            call,
            replica,
            sent: now,
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
        at: usize,
        part: T,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(first) = self.groups[at].first_sent {
            env.delay.record(now.since(first));
        }
        self.groups[at].part = Some(part);
        self.open -= 1;
        self.answered += 1;
        let elapsed = now.since(self.started);
        self.slowest = Some((self.plan.groups[at].group, elapsed));
        self.cancel_running(at, now, env, actions);
    }

    fn on_refusal(&mut self, at: usize, replica: usize, reason: Refusal, now: Time) {
        let replicas = self.plan.groups[at].leafs.len() as u32;
        let group = &mut self.groups[at];
        group.last = Some(replica);
        group.refusals += 1;
        let since = *group.refused_at.get_or_insert(now);
        let round = group.refusals / replicas;
        // A full or cold leaf has told that it cannot answer in time; another try would add load.
        let hopeless = match reason {
            Refusal::Expired => true,
            Refusal::Overload | Refusal::Cold => round > 0,
            _ => now.since(since) >= self.settings.refusal_timeout,
        };
        if hopeless {
            group.loss = Some(LossReason::NotRun(reason));
            self.open -= 1;
            return;
        }
        // The first try of each replica is immediate; later rounds back off.
        let growth = 1_u32
            .checked_shl(round)
            .unwrap_or(BACKOFF_GROWTH)
            .min(BACKOFF_GROWTH);
        let wait = if round == 0 {
            Duration::ZERO
        } else {
            self.settings.backoff * growth
        };
        group.retry_at = Some(now + wait);
    }

    fn on_doubt(
        &mut self,
        at: usize,
        replica: usize,
        doubt: UnknownReason,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.repeatable {
            self.lose(at, LossReason::Unknown(doubt), now, env, actions);
            return;
        }
        if !self.groups[at].running.is_empty() {
            return;
        }
        let replicas = self.plan.groups[at].leafs.len() as u32;
        let group = &mut self.groups[at];
        group.last = Some(replica);
        group.doubts += 1;
        if group.doubts < replicas * DOUBTS_PER_REPLICA && env.retries.try_spend() {
            group.retry_at = Some(now);
        } else {
            self.lose(at, LossReason::Unknown(doubt), now, env, actions);
        }
    }

    fn lose(
        &mut self,
        at: usize,
        loss: LossReason,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        self.groups[at].loss = Some(loss);
        self.groups[at].retry_at = None;
        self.open -= 1;
        self.cancel_running(at, now, env, actions);
    }

    fn cancel_running(
        &mut self,
        at: usize,
        now: Time,
        env: &mut QueryContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        for running in std::mem::take(&mut self.groups[at].running) {
            let leaf = self.plan.groups[at].leafs[running.replica];
            env.replicas.abandoned(leaf, now.since(running.sent));
            actions.push(Action::Cancel {
                call: running.call,
                leaf,
            });
        }
    }

    /// Returns when a group's latest call counts as late and may be hedged.
    fn hedge_due(&self, group: &Group<T>, last: &Running) -> Time {
        (last.sent + self.patience).max(group.hedge_after.unwrap_or_default())
    }

    fn may_hedge(&self, group: &Group<T>) -> bool {
        self.settings.repeatable && group.is_open() && group.hedges < HEDGES_PER_GROUP
    }

    /// Hedges the calls that are late.
    fn hedge(&mut self, now: Time, env: &mut QueryContext<'_>, actions: &mut Vec<Action>) {
        for at in 0..self.groups.len() {
            let group = &self.groups[at];
            let Some(last) = group.running.last().copied() else {
                continue;
            };
            if !self.may_hedge(group) || now < self.hedge_due(group, &last) {
                continue;
            }
            if !std::mem::replace(&mut self.groups[at].late, true) {
                let leaf = self.plan.groups[at].leafs[last.replica];
                env.replicas.late(leaf, now);
            }
            if now < self.hedge_after {
                return;
            }
            if !env.hedges.try_spend() {
                self.hedge_after = now + HEDGE_RETRY;
                return;
            }
            self.groups[at].hedges += 1;
            self.hedges += 1;
            self.call(at, true, now, env, actions);
        }
    }

    fn give_up(&mut self, now: Time, env: &mut QueryContext<'_>, actions: &mut Vec<Action>) {
        for at in 0..self.groups.len() {
            if !self.groups[at].is_open() {
                continue;
            }
            let loss = if self.groups[at].running.is_empty() {
                LossReason::NotRun(Refusal::Expired)
            } else {
                LossReason::Unknown(UnknownReason::Timeout)
            };
            self.lose(at, loss, now, env, actions);
        }
    }
}
