//! Sending of calls: the choice of a leaf, and the queue of shards that wait for one.

use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::{CallId, LeafId, Time};
use smallvec::SmallVec;

use super::arrival::QUEUE_SHARE;
use super::{Call, Edge, Waiter, tracker};
use crate::action::{Action, LeafCall, Token};
use crate::config::{Config, Name, Service};
use crate::segment::{SegmentCall, callers_per_leaf, is_segment};
use crate::shares::Shares;
use crate::version_moves::CallableLeafs;

/// Number of connections per leaf assumed for a service that the configuration does not describe.
const FALLBACK_CONNECTIONS: usize = 8;
/// Maximum number of calls under way at one node that serves a segment.
const MAX_PEER_CALLS: usize = 64;
/// Divisor of the share of a leaf's connections while the leaf may hold those of the node's previous
/// process.
const RESTART_DIVISOR: usize = 3;
/// Part of `EdgeSettings::address_reuse` during which a leaf that was alive needs no check of its name. The
/// rest covers the time to open a connection and delays of this node.
const VERIFIED_PART: f64 = 0.5;
/// Minimum rate at which a node calls a cold leaf, in requests per second.
const MIN_COLD_RATE: f64 = 0.01;
/// Factor on the time between two calls to a cold leaf, since calls take unequally long to arrive.
const COLD_SPACING: f64 = 1.05;
/// Maximum time that a call waits for a permit to call a version on trial.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(25);
/// Maximum share of the route's objective that the wait for a permit may take.
const MAX_PERMIT_SHARE: f64 = 0.25;
/// Time between two checks of a shard that waits for a leaf.
const RECHECK_PERIOD: Duration = Duration::from_millis(20);

impl Edge {
    /// Returns the maximum number of calls that this node may have under way at one leaf of a service.
    ///
    /// Load pattern: all nodes lose power and restart, and leafs hold the connections of the previous
    /// processes until these have been idle for long enough. New connections beyond the leaf's limit are
    /// reset.
    pub(super) fn connection_limit(&self, service: &str) -> usize {
        if is_segment(service) {
            return MAX_PEER_CALLS;
        }
        let spec = self.service_spec(service);
        let all = spec.map_or(FALLBACK_CONNECTIONS, |spec| spec.connections);
        let share = Shares::connections(all, self.caller_count(service));
        if self.after_restart {
            (share / RESTART_DIVISOR).max(1)
        } else {
            share
        }
    }

    /// Returns how many nodes call the leafs of a service: all nodes, or those that serve the segment that
    /// a shard belongs to.
    pub(super) fn caller_count(&self, service: &str) -> usize {
        let is_shard = |config: &Rc<Config>| config.is_shard(service);
        let is_segmented = self.has_segments
            && !self.direct_shards.contains(service)
            && self.config.as_ref().is_some_and(is_shard);
        if is_segmented {
            return callers_per_leaf().min(self.shares.nodes());
        }
        self.shares.nodes()
    }

    pub(super) fn service_spec(&self, service: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(service)
    }

    /// Returns whether a leaf may get a call now under the rate limit for cold leafs.
    pub(super) fn is_within_cold_rate(&self, id: LeafId, service: &str, now: Time) -> bool {
        let is_bounded = self
            .service_spec(service)
            .is_some_and(|spec| spec.cold_rate.is_some());
        !is_bounded
            || !self.directory.is_cold(id, now)
            || self.next_cold.get(&id).is_none_or(|next| *next <= now)
    }

    /// Returns whether a leaf was alive so recently that no other one can have its address.
    fn is_verified(&self, id: LeafId, now: Time) -> bool {
        let span = self.settings.address_reuse.mul_f64(VERIFIED_PART);
        self.directory.was_alive(id, span, now)
    }

    /// Sets when a cold leaf may get its next call, after a number of requests were sent to it.
    fn count_cold_requests(&mut self, id: LeafId, service: &str, requests: u32, now: Time) {
        let rate = self.service_spec(service).and_then(|spec| spec.cold_rate);
        let Some(rate) = rate else { return };
        if !self.directory.is_cold(id, now) {
            self.next_cold.remove(&id);
            return;
        }
        let bound = rate * self.settings.cold_factor + self.settings.cold_slack;
        let share = bound / self.shares.nodes() as f64;
        // Rounded down to a whole number, so that no second contains more calls than the bound, however the
        // calls of the nodes coincide.
        let share = if share >= 1.0 { share.floor() } else { share };
        let pause = Duration::from_secs_f64(COLD_SPACING / share.max(MIN_COLD_RATE)) * requests;
        self.next_cold.insert(id, now + pause);
    }

    /// Returns which of a service's leafs a call may go to. Leafs that asked for a break are left out only after
    /// the version move has decided: a break of the old leafs sends no more calls to the new version.
    pub(super) fn callable(&mut self, service: &str, now: Time) -> CallableLeafs {
        let usable = self.directory.usable(service);
        let mut leafs = self.moves.callable(service, usable, &self.directory, now);
        let directory = &self.directory;
        leafs.retain(|id| directory.break_end(id, now).is_none());
        leafs
    }

    /// Returns when the first leaf of a service that asked for a break may be called again, if there is one.
    pub(super) fn first_return(&self, service: &str, now: Time) -> Option<Time> {
        let usable = self.directory.usable(service).into_iter();
        usable
            .filter_map(|id| self.directory.break_end(id, now))
            .min()
    }

    /// Sends a call for a shard, lets the shard wait for a leaf, or gives it up if no leaf is left.
    pub(super) fn dispatch(
        &mut self,
        token: Token,
        shard_index: usize,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        let shard = &request.shards[shard_index];
        let (service, is_first_call) = (shard.service.clone(), shard.calls_sent == 0);
        let tried = shard.tried.clone();
        let waited = now.since(request.received_at);
        let max_wait = MAX_PERMIT_WAIT.min(request.route.objective.mul_f64(MAX_PERMIT_SHARE));
        let leafs = self.callable(&service, now);
        let may_wait = is_first_call && waited < max_wait && leafs.trial.is_empty();
        if may_wait && self.moves.waits_for_permit(&service, now) {
            self.enqueue(token, shard_index, now + (max_wait - waited));
            return;
        }
        let trial = if is_first_call {
            leafs.trial.clone()
        } else {
            SmallVec::new()
        };
        let mut leafs = leafs.stable_or_trial();
        leafs.retain(|id| !tried.contains(id));
        if leafs.is_empty() {
            self.await_return(token, shard_index, now, out);
            return;
        }
        let picked = self.pick(&trial, &service, now);
        match picked.or_else(|| self.pick(&leafs, &service, now)) {
            Some(leaf) => self.send(token, shard_index, leaf, now, out),
            None => self.enqueue(token, shard_index, now + RECHECK_PERIOD),
        }
    }

    /// Lets a shard without a leaf to call wait for the end of a break, if that comes soon enough, or gives it up.
    fn await_return(&mut self, token: Token, shard_index: usize, now: Time, out: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&token) else {
            return;
        };
        let shard = &request.shards[shard_index];
        let Some(return_at) = self.first_return(&shard.service, now) else {
            self.lose_shard(token, shard_index, "no leaf is left", out);
            return;
        };
        let latest = request.received_at + request.route.objective.mul_f64(QUEUE_SHARE);
        let may_wait = shard.possible_runs.is_none() && return_at <= latest;
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        if !may_wait {
            request.retry_at = request.retry_at.max(return_at);
            self.lose_shard(token, shard_index, "the leafs want no calls", out);
            return;
        }
        let shard = &mut request.shards[shard_index];
        shard.tried.clear();
        shard.not_before = return_at;
        self.enqueue(token, shard_index, return_at);
    }

    /// Returns whether a leaf that returns from a break may get one more call of this node.
    fn is_within_return_limit(&self, id: LeafId) -> bool {
        let limit = self.directory.call_limit(id);
        limit.is_none_or(|limit| self.selector.running(id) < limit)
    }

    pub(super) fn pick(&mut self, leafs: &[LeafId], service: &str, now: Time) -> Option<LeafId> {
        let limit = self.connection_limit(service);
        let within_rate = leafs.iter().copied().filter(|&id| {
            self.is_within_cold_rate(id, service, now) && self.is_within_return_limit(id)
        });
        let within_rate: SmallVec<[LeafId; 4]> = within_rate.collect();
        self.selector.pick(within_rate, limit, now, &mut self.rng)
    }

    pub(super) fn send(
        &mut self,
        token: Token,
        shard_index: usize,
        leaf: LeafId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_verified = self.is_verified(leaf, now);
        let (Some(request), Some(entry)) =
            (self.pending.get_mut(&token), self.directory.entry(leaf))
        else {
            return;
        };
        let tracker = tracker(&mut self.trackers, &request.tracker_key, &request.route);
        let id = CallId(self.next_call);
        self.next_call += 1;
        let shard = &mut request.shards[shard_index];
        shard.is_waiting = false;
        shard.tried.push(leaf);
        shard.open_calls.push(id);
        shard.possible_runs.add();
        shard.calls_sent += 1;
        shard.sent_at = now;
        shard.check_at = now + tracker.overdue_after();
        let service = shard.service.clone();
        let spec = self.config.as_ref().and_then(|c| c.services.get(&service));
        let check_path = spec.and_then(|spec| spec.check_path.clone());
        let requests = if is_verified || check_path.is_none() {
            1
        } else {
            2
        };
        let segment = request.split.map(|plan| SegmentCall {
            plan,
            version: request.version,
            index: shard_index,
            count: request.shards.len(),
            timeout: request.answer_by.since(now + request.reply_reserve),
        });
        out.push(Action::Send(LeafCall {
            call: id,
            token,
            leaf,
            instance: entry.name.clone(),
            born: entry.born,
            addr: entry.addr,
            timeout: request.deadline.since(now),
            check_path,
            is_verified,
            at_most_once: !request.is_idempotent(),
            segment,
        }));
        self.counts.calls += 1;
        let version = entry.version.clone();
        let name = entry.name.clone();
        if self.directory.note_call(leaf, now) {
            out.push(Action::LogProbe(name));
        }
        self.counts.trials += u64::from(self.moves.call_sent(&service, &version, now));
        self.selector.call_sent(leaf);
        self.calls.insert(
            id,
            Call {
                token,
                shard: shard_index,
                leaf,
                service: service.clone(),
                version,
                tracker_key: request.tracker_key.clone(),
                sent_at: now,
                is_overdue: false,
            },
        );
        self.count_cold_requests(leaf, &service, requests, now);
    }

    /// Puts a shard into the queue for a leaf, to be checked again at `check_at`.
    pub(super) fn enqueue(&mut self, token: Token, shard_index: usize, check_at: Time) {
        let Some(request) = self.pending.get_mut(&token) else {
            return;
        };
        let waiter = Waiter {
            priority: request.route.priority,
            received_at: request.received_at,
            token,
            shard: shard_index,
        };
        let shard = &mut request.shards[shard_index];
        shard.check_at = check_at;
        shard.is_waiting = true;
        let queue = self.waiters.entry(shard.service.clone()).or_default();
        // A shard that waits again may still have its earlier place in the queue.
        let is_listed = queue
            .iter()
            .any(|w| (w.token, w.shard) == (token, shard_index));
        if !is_listed {
            queue.push(waiter);
        }
    }

    /// Tries again to send calls for the shards that wait for a leaf of a service, by priority and then by
    /// age. Stops at the first shard that gets no call.
    pub(super) fn serve_waiters(&mut self, service: &Name, now: Time, out: &mut Vec<Action>) {
        let Some(queue) = self.waiters.get_mut(service) else {
            return;
        };
        let pending = &self.pending;
        queue.retain(|waiter| {
            let shard = pending
                .get(&waiter.token)
                .map(|request| &request.shards[waiter.shard]);
            shard.is_some_and(|shard| shard.is_open() && shard.is_waiting)
        });
        queue.sort_by_key(|waiter| (waiter.priority, waiter.received_at));
        let is_ready =
            |waiter: &Waiter| pending[&waiter.token].shards[waiter.shard].not_before <= now;
        let waiters: Vec<Waiter> = queue.iter().copied().filter(is_ready).collect();
        if queue.is_empty() {
            self.waiters.remove(service);
        }
        for waiter in waiters {
            let calls_before = self.counts.calls;
            self.dispatch(waiter.token, waiter.shard, now, out);
            self.reply_or_schedule(waiter.token, now, out);
            if self.counts.calls == calls_before {
                return;
            }
        }
    }
}
