//! A node's access to the ledger of a version move: its permits and its postings.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_moves::ledger::LOAD_INTERVAL;
use monsoondeal_moves::{
    LatencyHistogram, MoveLimits, OrderId, Posting, PostingHistory, PostingReply, RecordedPosting,
    Ruling, Totals,
};

use smallvec::SmallVec;

use crate::config::Name;

/// Wait after a posting that could not be written; doubles with each further one.
const INITIAL_RETRY_WAIT: Duration = Duration::from_millis(100);
/// Maximum of this wait.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);
/// Wait after a posting that got no permits.
const DENIED_WAIT: Duration = Duration::from_millis(500);
/// The same in the load phase, while the new version is tried under load.
const LOAD_DENIED_WAIT: Duration = Duration::from_millis(200);
/// How long results other than failures of the new version may wait to be posted.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// In the load phase, permits are asked for as many calls as arrive in this span.
const LOAD_SPAN: Duration = Duration::from_millis(150);
/// Maximum number of permits that a node asks for at a time.
const MAX_PERMITS: u64 = 16;
/// Part of the longest final phase (between completion and deadline) that is left when a node without calls
/// asks for completion. The nodes with calls have asked by then.
const IDLE_FINISH_PART: f64 = 0.8;
/// Span over which the nodes spread their first postings for permits: its maximum, and the time per node.
const MAX_FIRST_SPREAD: Duration = Duration::from_millis(500);
const FIRST_SPREAD_PER_NODE: Duration = Duration::from_millis(10);
/// Span over which the nodes spread their postings for completion: its maximum, and the time per node.
const MAX_FINISH_SPREAD: Duration = Duration::from_millis(250);
const FINISH_SPREAD_PER_NODE: Duration = Duration::from_millis(5);
/// Wait before completion is asked for again.
const FINISH_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Minimum span over which a call rate is measured.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Time between two postings of a node that has no other reason to post: its minimum, and the time per node.
/// All nodes together are to write the ledger a few times per second.
const MIN_IDLE_PERIOD: Duration = Duration::from_secs(1);
const IDLE_PERIOD_PER_NODE: Duration = Duration::from_millis(250);
/// Time between two reads of the ledger by a node that received the order late.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// How long a node keeps what it has posted: longer than the age of a copy from which the store is restored.
const HISTORY_TIME: Duration = Duration::from_secs(60);

/// End of a call to a leaf, as the ledger counts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallRecord {
    /// Whether the call reached a leaf.
    pub(crate) has_arrived: bool,
    /// Response time and whether the call failed; `None` if the call shows nothing about the version.
    pub(crate) sample: Option<(Duration, bool)>,
}

/// `LedgerClient` is a node's side of a running move.
///
/// Invariant: calls sent to the new version never exceed the permits that the ledger granted.
#[derive(Debug)]
pub(crate) struct LedgerClient {
    limits: MoveLimits,
    /// Earliest time at which the order is known to have existed; the order was not given later.
    ordered_at: Time,
    /// When this node began to count calls.
    created_at: Time,
    /// Identifies this process in the ledger.
    process: u64,
    /// Unused permits.
    permits: u64,
    /// Permits whose calls are under way.
    open_permits: u64,
    /// Calls that reached the service since the order.
    pub(crate) calls: u64,
    /// Calls sent to the new version.
    pub(crate) trials: u64,
    /// Calls for which there was no leaf.
    missed_calls: u64,
    /// Permits that calls have earned since permits were last asked for.
    permit_credit: f64,
    /// Whether permits have been asked for.
    has_requested: bool,
    /// Whether the permit credit has got its random start, so that the nodes ask for permits at different
    /// times.
    is_staggered: bool,
    /// Whether unused permits from before the load phase have been returned.
    has_returned: bool,
    /// Whether a call found neither a leaf of the old version nor a permit.
    is_starved: bool,
    /// Whether a call waits for a permit.
    is_awaited: bool,
    /// Routes whose response times from before the order have been recorded.
    known_routes: Vec<Name>,
    /// Content of the next posting.
    pending: Posting,
    /// Since when there has been something to post.
    pending_since: Option<Time>,
    /// Whether the next posting reports a failure of the new version.
    is_urgent: bool,
    /// The posting that is being sent, or must be sent again.
    unanswered: Option<Posting>,
    is_sending: bool,
    /// No posting is sent before this time.
    not_before: Time,
    /// When the ledger is read for the time since the order, if this node received the order late. What the
    /// ledger reports lags by the time since it was last written.
    sync_at: Option<Time>,
    /// When the node posts its calls and the elapsed time without any other reason.
    idle_post_at: Time,
    /// Wait after the next posting that cannot be written.
    retry_wait: Duration,
    /// Time since the order at which completion is asked for.
    finish_after: Duration,
    /// Random delay added to `finish_after`, so that not all nodes ask at the same time.
    finish_spread: Duration,
    /// Totals of all nodes as of the latest posting.
    pub(crate) totals: Totals,
    /// Postings that the ledger has recorded, oldest first, each with the time of the reply. A ledger that was restored from
    /// an older copy may lack some.
    recorded: VecDeque<(Time, Rc<RecordedPosting>)>,
    /// Totals as they were when the store was restored from an older copy; `None` once a posting that tells them has been
    /// recorded.
    totals_before: Option<Totals>,
}

impl LedgerClient {
    /// Creates a node's ledger client. `is_used` says whether the node has called the service recently,
    /// `jitter` is between 0 and 1.
    pub(crate) fn new(
        limits: MoveLimits,
        process: u64,
        is_used: bool,
        jitter: f64,
        now: Time,
    ) -> Self {
        let nodes = u32::try_from(limits.nodes).unwrap_or(u32::MAX);
        let finish_spread = FINISH_SPREAD_PER_NODE
            .saturating_mul(nodes)
            .min(MAX_FINISH_SPREAD);
        let first_spread = FIRST_SPREAD_PER_NODE
            .saturating_mul(nodes)
            .min(MAX_FIRST_SPREAD);
        Self {
            limits,
            ordered_at: now,
            created_at: now,
            process,
            permits: 0,
            open_permits: 0,
            calls: 0,
            trials: 0,
            missed_calls: 0,
            permit_credit: f64::from(u8::from(is_used)),
            has_requested: false,
            is_staggered: false,
            has_returned: false,
            is_starved: false,
            is_awaited: false,
            known_routes: Vec::new(),
            pending: Posting::default(),
            pending_since: None,
            is_urgent: false,
            unanswered: None,
            is_sending: false,
            not_before: now + first_spread.mul_f64(jitter),
            sync_at: None,
            idle_post_at: now + idle_period(&limits),
            retry_wait: INITIAL_RETRY_WAIT,
            finish_after: limits.duration - limits.max_final_phase().mul_f64(IDLE_FINISH_PART),
            finish_spread: finish_spread.mul_f64(jitter),
            totals: Totals::default(),
            recorded: VecDeque::new(),
            totals_before: None,
        }
    }

    /// Has the ledger written again at `at`, since the store was restored from an older copy.
    pub(crate) fn store_restored(&mut self, at: Time) {
        if !self.recorded.is_empty() {
            self.totals_before
                .get_or_insert_with(|| self.totals.clone());
            self.pending_since = Some(self.pending_since.map_or(at, |since| since.min(at)));
        }
    }

    /// Returns what the ledger must hold of this node.
    pub(crate) fn history(&self) -> PostingHistory {
        PostingHistory {
            postings: self.recorded.iter().map(|(_, p)| p.clone()).collect(),
            totals_before: self.totals_before.clone(),
        }
    }

    /// Records that the ledger holds what a posting told of this node's history.
    pub(crate) fn history_recorded(&mut self, history: &PostingHistory) {
        if history.totals_before.is_some() {
            self.totals_before = None;
        }
    }

    /// Remembers a posting that the ledger has recorded.
    fn remember(&mut self, posting: &Posting, permits: u64, now: Time) {
        let recorded = RecordedPosting {
            posting: posting.clone(),
            permits,
        };
        self.recorded.push_back((now, Rc::new(recorded)));
        let is_over = |(at, _): &(Time, _)| now.since(*at) > HISTORY_TIME;
        while self.recorded.front().is_some_and(is_over) {
            self.recorded.pop_front();
        }
    }

    /// Returns a lower bound of the time since the order.
    pub(crate) fn elapsed(&self, now: Time) -> Duration {
        now.since(self.ordered_at)
    }

    /// Takes into account how long the order has been known elsewhere.
    pub(crate) fn note_elapsed(&mut self, elapsed: Duration, now: Time) {
        self.ordered_at = self.ordered_at.min(now - elapsed);
    }

    /// Replaces the limits of the move.
    pub(crate) fn set_limits(&mut self, limits: MoveLimits) {
        self.limits = limits;
    }

    /// Returns the limits of the move.
    pub(crate) fn limits(&self) -> &MoveLimits {
        &self.limits
    }

    /// Returns whether a call may go to the new version.
    pub(crate) fn has_permit(&self) -> bool {
        self.permits > 0
    }

    /// Records that a call found neither a leaf of the old version nor a permit.
    pub(crate) fn note_starved(&mut self) {
        self.is_starved = true;
    }

    /// Counts a call for which there was no leaf.
    pub(crate) fn call_missed(&mut self) {
        self.missed_calls += 1;
    }

    /// Returns whether a first call should wait for a permit that may arrive in a moment: in the load phase
    /// the new version is to get as many calls as possible, also from nodes with few calls.
    pub(crate) fn waits_for_permit(&mut self, now: Time) -> bool {
        let is_load_phase = now >= self.load_phase_at();
        if self.permits > 0 || !is_load_phase || (now < self.not_before && !self.is_sending) {
            return false;
        }
        self.is_awaited = true;
        true
    }

    /// Records a call that is sent. A call to the new version uses a permit.
    pub(crate) fn call_sent(&mut self, is_new: bool, now: Time) {
        if !is_new {
            return;
        }
        debug_assert!(
            self.permits > 0,
            "call to the new version sent without a permit"
        );
        let interval = self.elapsed(now).as_millis() / LOAD_INTERVAL.as_millis();
        *self
            .pending
            .interval_calls
            .entry(interval as u64)
            .or_default() += 1;
        self.trials += 1;
        self.permits = self.permits.saturating_sub(1);
        self.open_permits += 1;
    }

    /// Records the route's response times from before the order, unless they are known.
    pub(crate) fn record_earlier<F>(&mut self, route: &str, earlier_times: F)
    where
        F: FnOnce() -> LatencyHistogram,
    {
        if !self.known_routes.iter().any(|known| &**known == route) {
            self.known_routes.push(route.into());
            let samples = self.pending.samples.entry(route.to_owned()).or_default();
            samples.before = earlier_times();
        }
    }

    /// Records the end of a call.
    pub(crate) fn call_ended(&mut self, route: &str, is_new: bool, record: CallRecord, now: Time) {
        if is_new && self.open_permits > 0 {
            self.open_permits -= 1;
            if record.has_arrived {
                self.pending.settled += 1;
            } else {
                self.pending.returned += 1;
            }
            self.pending_since.get_or_insert(now);
        }
        if record.has_arrived {
            // Calls that never reached a leaf of the service must not raise the exposure allowed to the new
            // version.
            self.calls += 1;
            self.pending.calls += 1;
            self.permit_credit += self.limits.permits_per_call();
        }
        let Some((response, failed)) = record.sample else {
            return;
        };
        let samples = match self.pending.samples.get_mut(route) {
            Some(samples) => samples,
            None => self.pending.samples.entry(route.to_owned()).or_default(),
        };
        let sample = if is_new {
            &mut samples.new
        } else {
            &mut samples.old
        };
        sample.times.record(response);
        sample.failed += u64::from(failed);
        self.is_urgent |= is_new && failed;
    }

    /// Returns the posting that is due, if any.
    pub(crate) fn due_posting(&mut self, now: Time) -> Option<Posting> {
        if self.is_sending || now < self.not_before {
            return None;
        }
        self.return_idle(now);
        let wants_completion = now >= self.finish_at();
        let is_retry = self.unanswered.is_some();
        if !is_retry {
            let needs_permits = self.needs_permits(now);
            let is_report_due = self
                .pending_since
                .is_some_and(|at| now >= at + REPORT_DELAY);
            let is_sync_due = self.sync_at.is_some_and(|at| now >= at);
            let is_idle_due = self.pending.calls > 0 && now >= self.idle_post_at;
            if !(needs_permits
                || wants_completion
                || self.is_urgent
                || is_report_due
                || is_sync_due
                || is_idle_due)
            {
                return None;
            }
            let mut posting = std::mem::take(&mut self.pending);
            posting.process = self.process;
            posting.sequence += 1;
            posting.wanted_permits = if needs_permits {
                self.permits_wanted(now)
            } else {
                0
            };
            self.pending.sequence = posting.sequence;
            self.pending_since = None;
            self.is_urgent = false;
            self.has_requested |= needs_permits;
            self.unanswered = Some(posting);
        }
        let elapsed = self.elapsed(now);
        let rate = if now.since(self.created_at) >= RATE_SPAN {
            self.call_rate(now)
        } else {
            0.0
        };
        let posting = self.unanswered.as_mut()?;
        posting.elapsed = elapsed;
        posting.rate = rate;
        posting.wants_completion = wants_completion;
        posting.is_retry = is_retry;
        self.is_sending = true;
        Some(posting.clone())
    }

    /// Returns unused permits of a node with few calls to the ledger when the load phase begins: nodes that
    /// get calls need them.
    fn return_idle(&mut self, now: Time) {
        if self.has_returned || now < self.load_phase_at() {
            return;
        }
        self.has_returned = true;
        if self.permits > 0 && !self.asks_ahead(now) {
            self.pending.returned += std::mem::take(&mut self.permits);
            self.pending_since.get_or_insert(now);
        }
    }

    /// Returns whether the node gets so many calls that it asks for permits in advance.
    fn asks_ahead(&self, now: Time) -> bool {
        self.call_rate(now) * LOAD_SPAN.as_secs_f64() >= 1.0
    }

    /// Returns when the load phase begins.
    fn load_phase_at(&self) -> Time {
        self.ordered_at + self.limits.load_phase_start()
    }

    /// Returns when completion is asked for.
    fn finish_at(&self) -> Time {
        self.ordered_at + self.finish_after + self.finish_spread
    }

    /// Returns whether permits are to be asked for.
    fn needs_permits(&self, now: Time) -> bool {
        let is_first_request = !self.has_requested && (self.calls > 0 || self.permit_credit >= 1.0);
        // A node with few calls asks when it has one, so that no permits stay unused.
        let asks_ahead_now = now >= self.load_phase_at() && self.asks_ahead(now);
        let has_demand = self.is_starved || self.is_awaited;
        self.permits == 0
            && (is_first_request || asks_ahead_now || self.permit_credit >= 1.0 || has_demand)
    }

    /// Returns the rate of calls, including those without a leaf, in calls per second.
    fn call_rate(&self, now: Time) -> f64 {
        let span = now.since(self.created_at).max(RATE_SPAN);
        (self.calls + self.missed_calls) as f64 / span.as_secs_f64()
    }

    /// Returns how many permits to ask for.
    fn permits_wanted(&self, now: Time) -> u64 {
        if now < self.load_phase_at() && !self.is_starved {
            return (self.permit_credit as u64).clamp(1, MAX_PERMITS);
        }
        let calls = (self.call_rate(now) * LOAD_SPAN.as_secs_f64()).ceil();
        (calls as u64).clamp(1, MAX_PERMITS)
    }

    /// Handles the reply to the posting that was sent; `None` if it is not certain that the posting was
    /// written. `jitter` is between 0 and 1. Returns the ruling if it is final.
    pub(crate) fn post_ended(
        &mut self,
        reply: Option<&PostingReply>,
        jitter: f64,
        now: Time,
    ) -> Option<Ruling> {
        self.is_sending = false;
        let delayed = |wait: Duration| now + wait.mul_f64(0.7 + 0.6 * jitter);
        let Some(reply) = reply else {
            self.not_before = delayed(self.retry_wait);
            self.retry_wait = (self.retry_wait * 2).min(MAX_RETRY_WAIT);
            return None;
        };
        self.retry_wait = INITIAL_RETRY_WAIT;
        self.idle_post_at = now + idle_period(&self.limits).mul_f64(0.7 + 0.6 * jitter);
        let was_late = reply.elapsed > now.since(self.created_at) + SYNC_PERIOD;
        if was_late || self.sync_at.is_some() {
            self.sync_at = Some(now + SYNC_PERIOD);
        }
        self.note_elapsed(reply.elapsed, now);
        self.totals = reply.totals.clone();
        let posting = self.unanswered.take().unwrap_or_default();
        if reply.is_recorded {
            self.remember(&posting, reply.permits, now);
        } else {
            self.requeue(&posting);
        }
        if reply.ruling != Ruling::Running {
            return Some(reply.ruling);
        }
        if self.calls > 0 {
            self.finish_after = reply.earliest_completion;
        }
        self.permits += reply.permits;
        if posting.wanted_permits > 0 {
            // The random start makes the nodes ask for their next permits at different times, so that permits
            // are asked for as evenly as if one node had all calls.
            self.permit_credit = if self.is_staggered { 0.0 } else { jitter };
            self.is_staggered = true;
            self.is_starved = false;
            self.is_awaited = false;
        }
        if posting.wanted_permits > 0 && reply.permits == 0 {
            let is_load_phase = now >= self.load_phase_at();
            self.not_before = delayed(if is_load_phase {
                LOAD_DENIED_WAIT
            } else {
                DENIED_WAIT
            });
        }
        if posting.wants_completion {
            self.not_before = self.not_before.max(now + FINISH_RETRY_WAIT);
        }
        None
    }

    /// Moves the content of a posting that was not recorded into the next one. Such a posting reports no
    /// end of a call to the new version.
    fn requeue(&mut self, posting: &Posting) {
        self.pending.sequence = posting.sequence - 1;
        self.pending.calls += posting.calls;
        for (route, samples) in &posting.samples {
            let kept = self.pending.samples.entry(route.clone()).or_default();
            kept.old.times.merge(&samples.old.times);
            kept.old.failed += samples.old.failed;
            kept.before.merge(&samples.before);
        }
        for (interval, calls) in &posting.interval_calls {
            *self.pending.interval_calls.entry(*interval).or_default() += calls;
        }
    }

    /// Returns when the next posting is due, as far as it depends on time.
    pub(crate) fn next_post_at(&self) -> Option<Time> {
        if self.is_sending {
            return None;
        }
        let report_at = self.pending_since.map(|at| at + REPORT_DELAY);
        let finish = self.finish_at();
        let has_demand = self.is_starved || self.is_awaited;
        let is_due = self.unanswered.is_some() || (has_demand && self.permits == 0);
        let due = if is_due {
            self.not_before
        } else {
            let load_at = (!self.has_returned && self.permits > 0).then(|| self.load_phase_at());
            let idle = (self.pending.calls > 0).then_some(self.idle_post_at);
            [Some(finish), report_at, self.sync_at, load_at, idle]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(finish)
        };
        Some(due.max(self.not_before))
    }
}

/// Returns the time between two postings of a node that has no other reason to post.
fn idle_period(limits: &MoveLimits) -> Duration {
    let nodes = u32::try_from(limits.nodes).unwrap_or(u32::MAX);
    IDLE_PERIOD_PER_NODE
        .saturating_mul(nodes)
        .max(MIN_IDLE_PERIOD)
}

/// `MovePost` is a posting to the ledger of a service's move.
#[derive(Clone, Debug, PartialEq)]
pub struct MovePost {
    /// Service that is moved.
    pub service: Name,
    /// Identity of the order.
    pub id: OrderId,
    /// Identities that the order had before the store was restored from an older copy.
    pub former_ids: SmallVec<[OrderId; 1]>,
    /// The new version.
    pub version: Name,
    /// Limits of the move.
    pub limits: MoveLimits,
    /// What the node has posted lately.
    pub history: PostingHistory,
    /// Content of the posting.
    pub posting: Posting,
}
