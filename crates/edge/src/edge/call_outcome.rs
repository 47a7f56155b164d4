//! Ends of calls: retries, lost shards and feedback about leafs.

use std::cmp::Reverse;
use std::time::Duration;

use monsoondeal_core::{CallId, LeafId, Time};

use super::{Call, Edge, LINGER_TIME};
use crate::action::{Action, CallOutcome, RequestEvent, Token};
use crate::admission::LoadSignal;
use crate::config::Name;
use crate::ledger_client::CallRecord;
use crate::proof::NotRunCause;
use crate::request::ShardState;
use crate::response_tracker::ResponseTracker;
use crate::segment::is_segment;
use crate::selector::LeafFeedback;

/// Maximum number of calls sent for one shard of a request, refused ones included.
const MAX_CALLS: usize = 4;
/// Wait before leafs that refused are called again; multiplied by the number of calls sent.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(12);

impl Edge {
    /// Handles the end of a call.
    pub fn call_ended(
        &mut self,
        id: CallId,
        outcome: CallOutcome,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let response = now.since(call.sent_at);
        self.count_outcome(&outcome);
        self.record_for_move(&call, &outcome, response, now);
        self.update_liveness(&call, &outcome, now);
        let feedback = self.feedback(&call, &outcome, response, now);
        self.selector
            .call_ended(call.leaf, feedback, call.is_overdue, now);
        if let Some(request) = self.pending.get_mut(&call.token) {
            let shard = &mut request.shards[call.shard];
            shard.open_calls.retain(|open_call| *open_call != id);
            if shard.is_open() {
                self.shard_call_ended(&call, outcome, now, out);
            }
            self.reply_or_schedule(call.token, now, out);
        }
        self.serve_waiters(&call.service, now, out);
        self.drive_moves(now, out);
    }

    /// Handles the disconnection of a caller. Calls that may be repeated are cancelled. Others are taken back if
    /// nothing of them has been written, and run on otherwise.
    pub fn caller_gone(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&token) else {
            return;
        };
        self.counts.left += 1;
        if let Some(admission) = self.admission(&request) {
            admission.end(request.unloaded_time, LoadSignal::None);
        }
        let open_calls: Vec<CallId> = request.open_calls().collect();
        let calls = open_calls.len();
        let waited = now.since(request.received_at);
        out.push(Action::Log(
            token,
            RequestEvent::CallerLeft { calls, waited },
        ));
        for id in open_calls {
            if request.is_idempotent() {
                self.cancel(id, now, out);
            } else {
                out.push(Action::Withhold(id));
                let linger_until = request.deadline + LINGER_TIME;
                self.linger_timers.push(Reverse((linger_until, id)));
            }
        }
    }

    /// Updates a shard after one of its calls ended, and retries it or gives it up if it is not served.
    pub(super) fn shard_call_ended(
        &mut self,
        call: &Call,
        outcome: CallOutcome,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get_mut(&call.token) else {
            return;
        };
        let is_idempotent = request.is_idempotent();
        let elapsed = now.since(request.received_at);
        let shard = &mut request.shards[call.shard];
        let is_segment = is_segment(&shard.service);
        let cause = match outcome {
            CallOutcome::Answer(answer) if answer.is_success() && !is_segment => {
                shard.state = ShardState::Done(answer);
                shard.response = Some(elapsed);
                return;
            }
            CallOutcome::Segment(answer)
                if is_segment && answer.signatures.len() <= shard.weight =>
            {
                shard.state = ShardState::Gathered(answer);
                shard.response = Some(elapsed);
                return;
            }
            CallOutcome::Segment(_) => {
                shard.has_arrived = true;
                "too_many_parts"
            }
            CallOutcome::Answer(answer) => {
                shard.has_arrived = true;
                shard.failure = Some(answer);
                "failed"
            }
            CallOutcome::NotRun(proof) => {
                let cause = proof.cause();
                shard.possible_runs.disprove(&proof);
                shard.has_arrived |= cause.has_arrived();
                request.refused += usize::from(cause.has_arrived());
                cause.name()
            }
            CallOutcome::Broken => {
                shard.has_arrived = true;
                "broken"
            }
            CallOutcome::TooLarge => {
                shard.has_arrived = true;
                "too_large"
            }
        };
        if !shard.open_calls.is_empty() {
            return;
        }
        // A node that serves a segment may have used all attempts at its shards.
        let may_repeat = is_idempotent && !is_segment;
        let may_run = shard.possible_runs.is_none()
            || (may_repeat && shard.possible_runs.count() < request.route.attempts);
        if !may_run || shard.calls_sent >= MAX_CALLS {
            self.lose_shard(call.token, call.shard, cause, out);
            return;
        }
        self.retry(call, cause, now, out);
    }

    pub(super) fn retry(
        &mut self,
        call: &Call,
        cause: &'static str,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let (token, shard_index) = (call.token, call.shard);
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        // A call for a segment that was refused has reached no leaf.
        let is_repeat = request.shards[shard_index].has_arrived && !is_segment(&call.service);
        if is_repeat && !self.try_repeat(&call.service, now) {
            self.lose_shard(token, shard_index, "no budget for a retry", out);
            return;
        }
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        request.retries += 1;
        self.counts.retries += 1;
        out.push(Action::Log(
            token,
            RequestEvent::Retried {
                service: call.service.clone(),
                cause,
                is_repeat,
            },
        ));
        let callable = self.callable(&call.service, now).stable_or_trial();
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let shard = &mut request.shards[shard_index];
        let is_untried = |id: &LeafId| !shard.tried.contains(id);
        if shard.possible_runs.is_none() && !callable.is_empty() && !callable.iter().any(is_untried)
        {
            // All leafs refused; one of them may have capacity a moment later.
            shard.tried.clear();
            let pause = REFUSED_RETRY_DELAY * u32::try_from(shard.calls_sent).unwrap_or(1);
            shard.not_before = now + pause;
            self.enqueue(token, shard_index, now + pause);
            return;
        }
        self.dispatch(token, shard_index, now, out);
    }

    /// Takes a repeat of a call to a service from the budget. Returns whether there was one.
    pub(super) fn try_repeat(&mut self, service: &Name, now: Time) -> bool {
        let callers = self.caller_count(service);
        let is_allowed = self.shares.try_repeat(service, callers, now);
        if is_allowed {
            self.counts.repeats += 1;
        } else {
            self.counts.denied += 1;
        }
        is_allowed
    }

    /// Gives a shard up.
    pub(super) fn lose_shard(
        &mut self,
        token: Token,
        shard_index: usize,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let shard = &mut request.shards[shard_index];
        shard.is_waiting = false;
        shard.state = ShardState::Lost(shard.failure.take());
        let service = shard.service.clone();
        out.push(Action::Log(token, RequestEvent::Lost { service, cause }));
    }

    /// Cancels a call and closes its connection.
    pub(super) fn cancel(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed = now.since(call.sent_at);
        self.record_for_move(&call, &CallOutcome::Broken, elapsed, now);
        let feedback = self.cancelled_feedback(&call, elapsed);
        self.selector
            .call_ended(call.leaf, feedback, call.is_overdue, now);
        out.push(Action::Cancel(id));
        self.serve_waiters(&call.service, now, out);
    }

    /// Returns the feedback of a call that this node ended after some time.
    fn cancelled_feedback(&self, call: &Call, elapsed: Duration) -> LeafFeedback {
        let tracker = self.trackers.get(&call.tracker_key);
        LeafFeedback::Cancelled(tracker.map_or(1.0, |tracker| tracker.slowness(elapsed)))
    }

    /// Returns the feedback of a call for the selector, and tracks the response time of a good answer.
    pub(super) fn feedback(
        &mut self,
        call: &Call,
        outcome: &CallOutcome,
        response: Duration,
        now: Time,
    ) -> LeafFeedback {
        match outcome {
            outcome if outcome.is_success() => {
                let Some(tracker) = self.trackers.get_mut(&call.tracker_key) else {
                    return LeafFeedback::Success(1.0);
                };
                tracker.record(response, now);
                LeafFeedback::Success(tracker.slowness(response))
            }
            CallOutcome::Answer(_) | CallOutcome::Segment(_) => LeafFeedback::Failed,
            CallOutcome::NotRun(proof) => match proof.cause() {
                NotRunCause::Refused => LeafFeedback::Refused,
                NotRunCause::Withdrawn => self.cancelled_feedback(call, response),
                NotRunCause::Misdirected
                | NotRunCause::Unsent
                | NotRunCause::Unchecked
                | NotRunCause::Displaced => LeafFeedback::ConnectionLost,
            },
            CallOutcome::Broken | CallOutcome::TooLarge => LeafFeedback::ConnectionLost,
        }
    }

    /// Records what the end of a call shows about whether its leaf is alive at its address.
    fn update_liveness(&mut self, call: &Call, outcome: &CallOutcome, now: Time) {
        if outcome.is_success() {
            self.directory.note_served(call.leaf, call.sent_at, now);
        }
        match outcome {
            CallOutcome::Answer(_) | CallOutcome::Segment(_) => {
                self.directory.note_alive(call.leaf, call.sent_at)
            }
            CallOutcome::NotRun(proof) => match proof.cause() {
                NotRunCause::Refused => self.directory.note_alive(call.leaf, call.sent_at),
                NotRunCause::Misdirected | NotRunCause::Displaced => {
                    self.directory.note_displaced(call.leaf, now)
                }
                NotRunCause::Unsent | NotRunCause::Unchecked => {
                    self.directory.note_connection_loss(call.leaf)
                }
                NotRunCause::Withdrawn => {}
            },
            CallOutcome::Broken | CallOutcome::TooLarge => {
                self.directory.note_connection_loss(call.leaf);
            }
        }
    }

    /// Records the end of a call for the version move of its service.
    pub(super) fn record_for_move(
        &mut self,
        call: &Call,
        outcome: &CallOutcome,
        response: Duration,
        now: Time,
    ) {
        let failed = match outcome {
            CallOutcome::Answer(_) | CallOutcome::Segment(_) => Some(!outcome.is_success()),
            CallOutcome::Broken | CallOutcome::TooLarge => Some(true),
            CallOutcome::NotRun(_) => None,
        };
        let has_arrived = match outcome {
            CallOutcome::NotRun(proof) => proof.cause().has_arrived(),
            _ => true,
        };
        // A cold leaf is slow regardless of its version.
        let is_cold = self.directory.is_cold(call.leaf, now);
        let sample = failed.filter(|failed| *failed || !is_cold);
        let setup = match outcome {
            CallOutcome::Answer(answer) => Duration::from_micros(answer.setup_micros.into()),
            CallOutcome::Segment(answer) => Duration::from_micros(answer.setup_micros.into()),
            _ => Duration::ZERO,
        };
        let result = CallRecord {
            has_arrived,
            sample: sample.map(|failed| (response.saturating_sub(setup), failed)),
        };
        let tracker = self.trackers.get(&call.tracker_key);
        let earlier_times = || tracker.map(ResponseTracker::times).unwrap_or_default();
        let scope = (&*call.service, &*call.tracker_key);
        self.moves
            .call_ended(scope, &call.version, result, now, earlier_times);
    }

    pub(super) fn count_outcome(&mut self, outcome: &CallOutcome) {
        match outcome {
            CallOutcome::Answer(_) | CallOutcome::Segment(_) => {}
            CallOutcome::NotRun(proof) => match proof.cause() {
                NotRunCause::Refused => self.counts.refused += 1,
                NotRunCause::Misdirected => self.counts.misdirected += 1,
                NotRunCause::Unsent => self.counts.unsent += 1,
                NotRunCause::Unchecked => self.counts.unchecked += 1,
                NotRunCause::Displaced => self.counts.displaced += 1,
                NotRunCause::Withdrawn => self.counts.withdrawn += 1,
            },
            CallOutcome::Broken | CallOutcome::TooLarge => self.counts.broken += 1,
        }
    }
}
