//! The ends of calls: retries, lost shards and what is learnt of leafs.

use std::cmp::Reverse;
use std::time::Duration;

use monsoondeal_core::{CallId, LeafId, Time};

use super::{Call, Edge, LINGER};
use crate::action::{Action, CallOutcome, RequestEvent, Token};
use crate::admission::LoadSignal;
use crate::config::Name;
use crate::ledger_client::CallResult;
use crate::request::ShardState;
use crate::response_tracker::ResponseTracker;
use crate::segment::is_segment;
use crate::selector::LeafFeedback;

/// Most calls sent for one shard of a request, refused ones included.
const MOST_TRIES: usize = 4;
/// Wait before a leaf that refused is asked again; times the number of calls sent.
const REFUSED_WAIT: Duration = Duration::from_millis(12);

impl Edge {
    /// Notes the end of a call.
    pub fn call_ended(&mut self, id: CallId, end: CallOutcome, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let response = now.since(call.sent_at);
        self.count_end(&end);
        self.note_move(&call, &end, response, now);
        self.note_life(&call, &end, now);
        let verdict = self.judge(&call, &end, response, now);
        self.choice.ended(call.leaf, verdict, call.is_overdue, now);
        if let Some(job) = self.jobs.get_mut(&call.token) {
            let shard = &mut job.shards[call.shard];
            shard.open.retain(|open| *open != id);
            if shard.is_open() {
                self.shard_ended(&call, end, now, out);
            }
            self.settle(call.token, now, out);
        }
        self.pump(&call.service, now, out);
        self.decide_moves(now, out);
    }

    /// Notes that a caller has gone. Calls that may be repeated are given up.
    pub fn caller_gone(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&token) else {
            return;
        };
        self.counts.left += 1;
        if let Some(admission) = self.admission(&job) {
            admission.end(job.usual, LoadSignal::None);
        }
        let open: Vec<CallId> = job.shards.iter().flat_map(|s| s.open.clone()).collect();
        for id in open {
            if job.is_idempotent() {
                self.abandon(id, now, out);
            } else {
                let expiry = job.deadline + LINGER;
                self.linger_timers.push(Reverse((expiry, id)));
            }
        }
    }

    /// Decides on a shard after one of its calls ended.
    pub(super) fn shard_ended(
        &mut self,
        call: &Call,
        end: CallOutcome,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&call.token) else {
            return;
        };
        let is_idempotent = job.is_idempotent();
        let elapsed = now.since(job.began);
        let shard = &mut job.shards[call.shard];
        let cause = match end {
            CallOutcome::Answer(answer) if answer.is_success() => {
                shard.state = ShardState::Done(answer);
                shard.response = Some(elapsed);
                return;
            }
            CallOutcome::Answer(answer) => {
                shard.arrived = true;
                shard.failure = Some(answer);
                "failed"
            }
            CallOutcome::Refused => {
                shard.arrived = true;
                shard.runs -= 1;
                job.refused += 1;
                "refused"
            }
            CallOutcome::Misdirected => {
                shard.arrived = true;
                shard.runs -= 1;
                job.refused += 1;
                "misdirected"
            }
            CallOutcome::Unsent => {
                shard.runs -= 1;
                "unsent"
            }
            CallOutcome::Unchecked => {
                shard.runs -= 1;
                "unchecked"
            }
            CallOutcome::Displaced => {
                shard.runs -= 1;
                "displaced"
            }
            CallOutcome::Broken => {
                shard.arrived = true;
                "broken"
            }
            CallOutcome::TooLarge => {
                shard.arrived = true;
                "too_large"
            }
        };
        if !shard.open.is_empty() {
            return;
        }
        // A node that was asked for a segment may have used all attempts at its shards.
        let may_repeat = is_idempotent && !is_segment(&shard.service);
        let may_run = shard.runs == 0 || (may_repeat && shard.runs < job.route.attempts);
        if !may_run || shard.tries >= MOST_TRIES {
            self.lose(call.token, call.shard, cause, out);
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
        let (token, at) = (call.token, call.shard);
        let Some(job) = self.jobs.get(&token) else {
            return;
        };
        // A segment that was refused has reached no leaf.
        let is_repeat = job.shards[at].arrived && !is_segment(&call.service);
        if is_repeat && !self.may_repeat(&call.service, now) {
            self.lose(token, at, "no budget for a retry", out);
            return;
        }
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        job.retries += 1;
        self.counts.retries += 1;
        out.push(Action::Log(
            token,
            RequestEvent::Retried {
                service: call.service.clone(),
                cause,
                is_repeat,
            },
        ));
        let usable = self.callable(&call.service, now).without_trial();
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let shard = &mut job.shards[at];
        let is_untried = |id: &LeafId| !shard.tried.contains(id);
        if shard.runs == 0 && !usable.is_empty() && !usable.iter().any(is_untried) {
            // All leafs refused; one may have room a moment later.
            shard.tried.clear();
            let pause = REFUSED_WAIT * u32::try_from(shard.tries).unwrap_or(1);
            shard.earliest = now + pause;
            self.wait(token, at, now + pause);
            return;
        }
        self.launch(token, at, now, out);
    }

    /// Attempts to take the permission to repeat a call to a service.
    pub(super) fn may_repeat(&mut self, service: &Name, now: Time) -> bool {
        let callers = self.callers(service);
        let is_allowed = self.shares.try_repeat(service, callers, now);
        if is_allowed {
            self.counts.repeats += 1;
        } else {
            self.counts.denied += 1;
        }
        is_allowed
    }

    pub(super) fn lose(
        &mut self,
        token: Token,
        at: usize,
        cause: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let shard = &mut job.shards[at];
        shard.waiting = false;
        shard.state = ShardState::Lost(shard.failure.take());
        let service = shard.service.clone();
        out.push(Action::Log(token, RequestEvent::Lost { service, cause }));
    }

    /// Gives a call up and closes its connection.
    pub(super) fn abandon(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed = now.since(call.sent_at);
        self.note_move(&call, &CallOutcome::Broken, elapsed, now);
        let pace = self.paces.get(&call.route);
        let slowness = pace.map_or(1.0, |pace| pace.slowness(elapsed));
        let verdict = LeafFeedback::Abandoned(slowness);
        self.choice.ended(call.leaf, verdict, call.is_overdue, now);
        out.push(Action::Cancel(id));
        self.pump(&call.service, now, out);
    }

    pub(super) fn judge(
        &mut self,
        call: &Call,
        end: &CallOutcome,
        response: Duration,
        now: Time,
    ) -> LeafFeedback {
        match end {
            CallOutcome::Answer(answer) if answer.is_success() => {
                let Some(pace) = self.paces.get_mut(&call.route) else {
                    return LeafFeedback::Good(1.0);
                };
                pace.note(response, now);
                LeafFeedback::Good(pace.slowness(response))
            }
            CallOutcome::Answer(_) => LeafFeedback::Failed,
            CallOutcome::Refused => LeafFeedback::Refused,
            CallOutcome::Misdirected
            | CallOutcome::Unsent
            | CallOutcome::Unchecked
            | CallOutcome::Displaced
            | CallOutcome::Broken
            | CallOutcome::TooLarge => LeafFeedback::Broken,
        }
    }

    /// Notes what the end of a call tells of whether its leaf lives at its address.
    fn note_life(&mut self, call: &Call, end: &CallOutcome, now: Time) {
        match end {
            CallOutcome::Answer(_) | CallOutcome::Refused => {
                self.directory.heard(call.leaf, call.sent_at)
            }
            CallOutcome::Misdirected | CallOutcome::Displaced => {
                self.directory.displace(call.leaf, now)
            }
            CallOutcome::Unsent
            | CallOutcome::Unchecked
            | CallOutcome::Broken
            | CallOutcome::TooLarge => {
                self.directory.suspect(call.leaf);
            }
        }
    }

    /// Tells the version move of a call's service how the call ended.
    pub(super) fn note_move(
        &mut self,
        call: &Call,
        end: &CallOutcome,
        response: Duration,
        now: Time,
    ) {
        let failed = match end {
            CallOutcome::Answer(answer) => Some(!answer.is_success()),
            CallOutcome::Broken | CallOutcome::TooLarge => Some(true),
            CallOutcome::Refused
            | CallOutcome::Misdirected
            | CallOutcome::Unsent
            | CallOutcome::Unchecked
            | CallOutcome::Displaced => None,
        };
        let arrived = !matches!(
            end,
            CallOutcome::Unsent | CallOutcome::Unchecked | CallOutcome::Displaced
        );
        // A cold leaf is slow whatever its version.
        let is_cold = self.directory.is_cold(call.leaf, now);
        let outcome = failed.filter(|failed| *failed || !is_cold);
        let opening = match end {
            CallOutcome::Answer(answer) => Duration::from_micros(answer.setup_micros.into()),
            _ => Duration::ZERO,
        };
        let result = CallResult {
            arrived,
            outcome: outcome.map(|failed| (response.saturating_sub(opening), failed)),
        };
        let pace = self.paces.get(&call.route);
        let before = || pace.map(ResponseTracker::times).unwrap_or_default();
        let place = (&*call.service, &*call.route);
        self.shifts.note(place, &call.version, result, now, before);
    }

    pub(super) fn count_end(&mut self, end: &CallOutcome) {
        match end {
            CallOutcome::Answer(_) => {}
            CallOutcome::Refused => self.counts.refused += 1,
            CallOutcome::Misdirected => self.counts.misdirected += 1,
            CallOutcome::Unsent => self.counts.unsent += 1,
            CallOutcome::Unchecked => self.counts.unchecked += 1,
            CallOutcome::Displaced => self.counts.displaced += 1,
            CallOutcome::Broken | CallOutcome::TooLarge => self.counts.broken += 1,
        }
    }
}
