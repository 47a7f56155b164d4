//! What falls due: hedges, replies and calls that linger.

use std::cmp::Reverse;

use monsoondeal_core::{LeafId, Time};
use smallvec::SmallVec;

use super::{Edge, LINGER, pace};
use crate::action::{Action, Reply, RequestEvent, Token};
use crate::segment::is_segment;

impl Edge {
    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.is_young = now.since(Time::default()) < self.settings.former_time;
        for id in self.directory.expire(now) {
            self.retire(id, out);
        }
        self.decide_moves(now, out);
        while let Some(Reverse((at, id))) = self.linger_timers.peek().copied()
            && at <= now
        {
            self.linger_timers.pop();
            self.abandon(id, now, out);
        }
        while let Some(Reverse((at, token))) = self.job_timers.peek().copied()
            && at <= now
        {
            self.job_timers.pop();
            if self.jobs.get(&token).is_some_and(|job| job.wake == at) {
                self.look(token, now, out);
            }
        }
    }

    /// Looks at the shards of a request whose time has come.
    pub(super) fn look(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        job.wake = Time::MAX;
        let due: SmallVec<[usize; 8]> = (0..job.shards.len())
            .filter(|&at| job.shards[at].is_open() && job.shards[at].look_at <= now)
            .collect();
        for at in due {
            let is_waiting = self
                .jobs
                .get(&token)
                .is_some_and(|job| job.shards[at].waiting);
            if is_waiting {
                self.launch(token, at, now, out);
            } else {
                self.hedge(token, at, now, out);
            }
        }
        self.settle(token, now, out);
    }

    /// Sends a second call for a shard whose first one is overdue, if that promises something.
    ///
    /// Load pattern: a query to many shards meets a leaf that pauses in most cases; its other replica
    /// answers in the usual time.
    pub(super) fn hedge(&mut self, token: Token, at: usize, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let overdue = pace(&mut self.paces, &job.pace, &job.route).overdue();
        let is_idempotent = job.is_idempotent();
        let attempts = job.route.attempts;
        let shard = &mut job.shards[at];
        shard.look_at = now + overdue / 2;
        for id in &shard.open {
            if let Some(call) = self.calls.get_mut(id)
                && !call.is_overdue
            {
                call.is_overdue = true;
                self.choice.overdue(call.leaf);
            }
        }
        // The nodes that serve a segment hedge its calls themselves.
        let is_segment = is_segment(&shard.service);
        if !is_idempotent || is_segment || shard.runs >= attempts || shard.open.len() > 1 {
            shard.look_at = Time::MAX;
            return;
        }
        let after = now.since(shard.sent_at);
        let service = shard.service.clone();
        let tried = shard.tried.clone();
        let mut sound: SmallVec<[LeafId; 4]> = self.callable(&service, now).without_trial();
        sound.retain(|id| !tried.contains(id) && !self.choice.is_doubtful(*id, now));
        let Some(leaf) = self.pick(&sound, &service, now) else {
            return;
        };
        if !self.may_repeat(&service, now) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&token) {
            job.hedges += 1;
        }
        self.counts.hedges += 1;
        if let Some(entry) = self.directory.entry(leaf) {
            let leaf = entry.name.clone();
            let note = RequestEvent::Hedged {
                service,
                leaf,
                after,
            };
            out.push(Action::Log(token, note));
        }
        self.send(token, at, leaf, now, out);
    }

    /// Replies if the time has come, or sets the next timer.
    pub(super) fn settle(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        if let Some(reply) = job.reply(now) {
            self.finish(token, reply, now, out);
            return;
        }
        let next = job.next_look(now);
        if next < job.wake {
            job.wake = next;
            self.job_timers.push(Reverse((next, token)));
        }
    }

    pub(super) fn finish(&mut self, token: Token, reply: Reply, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&token) else {
            return;
        };
        self.count_reply(&reply);
        let sign = job.sign(now);
        if let Some(admission) = self.admission(&job) {
            admission.end(job.usual, sign);
        }
        for id in job.shards.iter().flat_map(|shard| shard.open.iter()) {
            self.linger_timers.push(Reverse((now + LINGER, *id)));
        }
        out.push(Action::Reply(token, reply, job.summary(now)));
    }

    pub(super) fn count_reply(&mut self, reply: &Reply) {
        let counts = &mut self.counts;
        match reply {
            Reply::Merged { missing: 0, .. } | Reply::Answer(_) => counts.answered += 1,
            Reply::Merged { .. } => counts.partial += 1,
            Reply::Rejected { .. } => counts.rejected += 1,
            Reply::Failed(_) => counts.failed += 1,
            Reply::TimedOut => counts.timed_out += 1,
            Reply::NoRoute => counts.no_route += 1,
        }
    }
}
