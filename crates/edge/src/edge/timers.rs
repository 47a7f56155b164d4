//! Timers: hedges, replies and calls that linger after their request.

use std::cmp::Reverse;

use monsoondeal_core::{LeafId, Time};
use smallvec::SmallVec;

use super::{Edge, LINGER_TIME, tracker};
use crate::action::{Action, Reply, RequestEvent, Token};
use crate::segment::is_segment;

impl Edge {
    /// Handles everything that is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.after_restart = now.since(Time::default()) < self.settings.former_time;
        for id in self.directory.expire(now) {
            self.drop_leaf(id, out);
        }
        self.drive_moves(now, out);
        while let Some(Reverse((at, id))) = self.linger_timers.peek().copied()
            && at <= now
        {
            self.linger_timers.pop();
            self.cancel(id, now, out);
        }
        while let Some(Reverse((at, token))) = self.request_timers.peek().copied()
            && at <= now
        {
            self.request_timers.pop();
            if self
                .pending
                .get(&token)
                .is_some_and(|request| request.wake_at == at)
            {
                self.check_shards(token, now, out);
            }
        }
    }

    /// Checks the shards of a request that are due.
    pub(super) fn check_shards(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        request.wake_at = Time::MAX;
        let due_shards: SmallVec<[usize; 8]> = (0..request.shards.len())
            .filter(|&at| request.shards[at].is_open() && request.shards[at].check_at <= now)
            .collect();
        for shard_index in due_shards {
            let is_waiting = self
                .pending
                .get(&token)
                .is_some_and(|request| request.shards[shard_index].is_waiting);
            if is_waiting {
                self.dispatch(token, shard_index, now, out);
            } else {
                self.hedge(token, shard_index, now, out);
            }
        }
        self.reply_or_schedule(token, now, out);
    }

    /// Sends a second call for a shard whose first one is overdue, if another leaf can be expected to
    /// answer.
    ///
    /// Load pattern: most queries to many shards meet a leaf that pauses; another leaf of the same shard
    /// answers in the usual time.
    pub(super) fn hedge(
        &mut self,
        token: Token,
        shard_index: usize,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let overdue_after =
            tracker(&mut self.trackers, &request.tracker_key, &request.route).overdue_after();
        let is_idempotent = request.is_idempotent();
        let attempts = request.route.attempts;
        let shard = &mut request.shards[shard_index];
        shard.check_at = now + overdue_after / 2;
        for id in &shard.open_calls {
            if let Some(call) = self.calls.get_mut(id)
                && !call.is_overdue
            {
                call.is_overdue = true;
                self.selector.call_overdue(call.leaf);
            }
        }
        // The nodes that serve a segment hedge its calls themselves.
        let is_segment = is_segment(&shard.service);
        if !is_idempotent
            || is_segment
            || shard.possible_runs.count() >= attempts
            || shard.open_calls.len() > 1
        {
            shard.check_at = Time::MAX;
            return;
        }
        let after = now.since(shard.sent_at);
        let service = shard.service.clone();
        let tried = shard.tried.clone();
        let mut healthy: SmallVec<[LeafId; 4]> = self.callable(&service, now).stable_or_trial();
        healthy.retain(|id| !tried.contains(id) && !self.selector.is_suspect(*id, now));
        let Some(leaf) = self.pick(&healthy, &service, now) else {
            return;
        };
        if !self.try_repeat(&service, now) {
            return;
        }
        if let Some(request) = self.pending.get_mut(&token) {
            request.hedges += 1;
        }
        self.counts.hedges += 1;
        if let Some(entry) = self.directory.entry(leaf) {
            let leaf = entry.name.clone();
            let event = RequestEvent::Hedged {
                service,
                leaf,
                after,
            };
            out.push(Action::Log(token, event));
        }
        self.send(token, shard_index, leaf, now, out);
    }

    /// Replies if the reply is due; otherwise sets the request's next timer.
    pub(super) fn reply_or_schedule(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        if let Some(reply) = request.reply(now) {
            self.finish(token, reply, now, out);
            return;
        }
        let next = request.next_check(now);
        if next < request.wake_at {
            request.wake_at = next;
            self.request_timers.push(Reverse((next, token)));
        }
    }

    /// Replies to a request. Its open calls may go on for [`LINGER_TIME`], but one that may run at most once must
    /// not be written after the reply.
    pub(super) fn finish(&mut self, token: Token, reply: Reply, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&token) else {
            return;
        };
        self.count_reply(&reply);
        let load_signal = request.load_signal(now);
        if let Some(admission) = self.admission(&request) {
            admission.end(request.unloaded_time, load_signal);
        }
        for id in request.open_calls() {
            if !request.is_idempotent() {
                out.push(Action::Withhold(id));
            }
            self.linger_timers.push(Reverse((now + LINGER_TIME, id)));
        }
        out.push(Action::Reply(token, reply, request.summary(now)));
    }

    pub(super) fn count_reply(&mut self, reply: &Reply) {
        let counts = &mut self.counts;
        match reply {
            Reply::Merged { missing: 0, .. } | Reply::Answer(_) => counts.answered += 1,
            Reply::Merged { .. } => counts.partial += 1,
            Reply::Rejected { .. } => counts.rejected += 1,
            Reply::Failed(_) | Reply::Withheld(_) => counts.failed += 1,
            Reply::TimedOut => counts.timed_out += 1,
            Reply::NoRoute => counts.no_route += 1,
        }
    }
}
